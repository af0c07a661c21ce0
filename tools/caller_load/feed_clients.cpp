#include "feed_clients.hpp"

#include "../stand_in/content.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <utility>

namespace galenabay::stand_in
{

namespace
{

constexpr std::uint8_t code_get = 0x01;
constexpr std::uint8_t token_bytes = 8;
/// The first registrations are spread evenly over this time.
constexpr base::duration registration_spread{2'000'000};
constexpr std::uint32_t default_max_age_s = 2;
constexpr std::int64_t microseconds_per_second = 1'000'000;

std::string describe(const std::string& upstream, std::uint64_t sequence, std::string_view text)
{
    return "upstream=" + upstream + " sequence=" + std::to_string(sequence) + " got=\"" + std::string{text} + "\"";
}

} // namespace

feed_clients::feed_clients(const load_settings& settings, exchange_table& exchanges, summary& results,
                           base::time_point now)
    : settings_{settings}, exchanges_{&exchanges}, results_{&results}
{
    std::vector<target_service> services;
    std::copy_if(settings.services.begin(), settings.services.end(), std::back_inserter(services),
                 [](const target_service& each) { return each.feeds; });
    for (std::size_t i = 0; !services.empty() && i < settings.feeds; ++i)
    {
        client added;
        added.caller = i % exchanges.callers();
        added.service = services[i % services.size()];
        added.next_registration =
            now + registration_spread * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(settings.feeds);
        feeds_.emplace(exchanges.make_token(), std::move(added));
    }
}

void feed_clients::register_feed(std::uint64_t token, client& each, base::time_point now)
{
    outgoing_request request;
    request.caller = each.caller;
    request.port = each.service.port;
    request.message.code = code_get;
    request.message.token = token;
    request.message.token_length = token_bytes;
    request.message.observe = 0;
    request.message.path = "/feed";
    exchanges_->send(request, now);
    each.open = true;
    each.next_registration = now + settings_.feed_keepalive;
}

void feed_clients::on_tick(base::time_point now)
{
    for (auto& [token, each] : feeds_)
    {
        const bool renewal = each.established && now - each.last_seen > settings_.feed_renewal;
        if (!each.open && (renewal || now >= each.next_registration))
        {
            register_feed(token, each, now);
        }
        if (each.established && !each.silent && now - each.last_seen > settings_.feed_silence)
        {
            each.silent = true;
            report_broken(each, "feeds_silent", describe(each.upstream, each.sequence, ""));
        }
    }
}

void feed_clients::on_event(const exchange_event& event, base::time_point now)
{
    auto& each = feeds_.at(event.token);
    if (event.kind != event_kind::unmatched)
    {
        each.open = false;
    }
    if (event.kind == event_kind::timed_out || event.kind == event_kind::reset)
    {
        results_->add("feed_registrations_unanswered");
        each.next_registration = now;
        return;
    }
    exchanges_->acknowledge(event, now);
    if (event.view.code == wire::code_content && event.view.observe)
    {
        on_notification(each, event, now);
        return;
    }
    const auto max_age = std::int64_t{event.view.max_age.value_or(default_max_age_s)};
    each.next_registration = now + base::duration{max_age * microseconds_per_second};
    results_->add(each.established ? "feed_renewals_refused" : "feed_registrations_refused");
}

void feed_clients::on_notification(client& each, const exchange_event& event, base::time_point now)
{
    const auto text = as_text(event.payload);
    if (field(text, "service") != each.service.name || event.port != each.service.port)
    {
        results_->violation("wrong", "what=feed_of_another_service " + describe(each.upstream, each.sequence, text));
        return;
    }
    if (each.earlier_registrations.contains(std::string{field(text, "registration")}))
    {
        results_->add("feed_notifications_of_earlier_registrations");
        return;
    }
    results_->add("feed_notifications");
    results_->add_answer_from(each.service.name + "-feeds", std::string{field(text, "upstream")});
    each.last_seen = now;
    if (!each.established)
    {
        each.established = true;
        each.upstream = field(text, "upstream");
        each.registration = field(text, "registration");
    }
    if (std::exchange(each.silent, false))
    {
        results_->add("feeds_heard_again");
    }
    check_sequence(each, text);
}

void feed_clients::check_sequence(client& each, std::string_view text)
{
    std::uint64_t sequence = 0;
    const auto digits = field(text, "sequence");
    std::from_chars(digits.data(), digits.data() + digits.size(), sequence);
    if (field(text, "upstream") != each.upstream || field(text, "registration") != each.registration)
    {
        each.earlier_registrations.insert(each.registration);
        const bool moved = field(text, "upstream") != each.upstream;
        report_broken(each, moved ? "feeds_moved" : "feeds_registered_anew",
                      describe(each.upstream, each.sequence, text));
        each.upstream = field(text, "upstream");
        each.registration = field(text, "registration");
        each.sequence = sequence;
        return;
    }
    if (sequence <= each.sequence)
    {
        results_->add(sequence == each.sequence ? "feed_repetitions" : "feed_reorderings");
        return;
    }
    results_->add("feed_gaps", sequence - each.sequence - 1);
    each.sequence = sequence;
}

bool feed_clients::is_excused(const std::string& upstream) const
{
    std::ifstream in{settings_.excused_upstreams};
    for (std::string line; std::getline(in, line);)
    {
        if (line == upstream)
        {
            return true;
        }
    }
    return false;
}

void feed_clients::report_broken(client& each, const std::string& key, const std::string& detail)
{
    if (is_excused(each.upstream))
    {
        results_->add("feeds_excused");
        return;
    }
    results_->violation(key, detail);
    results_->add("feeds_broken");
}

void feed_clients::finish(base::time_point now)
{
    std::uint64_t established = 0;
    std::uint64_t held = 0;
    for (const auto& [token, each] : feeds_)
    {
        established += each.established ? 1 : 0;
        held += each.established && now - each.last_seen <= settings_.feed_silence ? 1 : 0;
    }
    results_->set("feeds_wanted", feeds_.size());
    results_->set("feeds_established", established);
    results_->set("feeds_held", held);
    results_->add("feeds_broken", 0);
}

} // namespace galenabay::stand_in
