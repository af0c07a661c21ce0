#include "request_load.hpp"

#include <algorithm>
#include <cmath>

namespace galenabay::stand_in
{

namespace
{

constexpr std::uint8_t code_get = 0x01;
constexpr std::uint8_t code_post = 0x02;
constexpr std::uint8_t code_put = 0x03;
constexpr std::uint8_t token_bytes = 8;
constexpr std::size_t documents = 200;
constexpr std::uint8_t size_exponent = 6;
constexpr std::size_t block_size = 1024;
/// Share of each swing period with the higher rate.
constexpr double peak_share = 0.25;
/// Refusals of one block after which the transfer fails.
constexpr unsigned max_block_refusals = 3;
constexpr std::uint32_t default_max_age_s = 2;
constexpr std::int64_t microseconds_per_second = 1'000'000;
/// Answers are checked for this long after a request ended.
constexpr base::duration late_answer_window{60'000'000};

std::uint8_t expected_code(request_class value)
{
    switch (value)
    {
    case request_class::hold:
        return wire::code_created;
    case request_class::profile_put:
        return wire::code_changed;
    case request_class::profile_get:
    case request_class::title:
        break;
    }
    return wire::code_content;
}

std::uint8_t method_of(request_class value)
{
    switch (value)
    {
    case request_class::hold:
        return code_post;
    case request_class::profile_put:
        return code_put;
    case request_class::profile_get:
    case request_class::title:
        break;
    }
    return code_get;
}

std::string path_of(request_class value, std::uint64_t number)
{
    if (value == request_class::hold)
    {
        return "/hold";
    }
    return (value == request_class::title ? "/title/" : "/profile/") + std::to_string(number);
}

bool serves(const target_service& service, request_class value)
{
    switch (value)
    {
    case request_class::hold:
        return service.holds;
    case request_class::title:
        return service.titles;
    case request_class::profile_get:
    case request_class::profile_put:
        break;
    }
    return service.profiles;
}

request_outcome outcome_of(std::uint8_t code)
{
    if (code == wire::code_unavailable)
    {
        return request_outcome::refused;
    }
    return code == wire::code_gateway_timeout ? request_outcome::unknown : request_outcome::ok;
}

} // namespace

const char* name_of(request_class value)
{
    switch (value)
    {
    case request_class::hold:
        return "hold";
    case request_class::profile_get:
        return "profile_get";
    case request_class::profile_put:
        return "profile_put";
    case request_class::title:
        break;
    }
    return "title";
}

const char* name_of(request_outcome value)
{
    switch (value)
    {
    case request_outcome::open:
        return "open";
    case request_outcome::ok:
        return "ok";
    case request_outcome::refused:
        return "refused";
    case request_outcome::unknown:
        return "unknown";
    case request_outcome::lost:
        return "lost";
    case request_outcome::wrong:
        break;
    }
    return "wrong";
}

request_load::request_load(const load_settings& settings, exchange_table& exchanges, summary& results,
                           base::time_point now)
    : settings_{settings}, exchanges_{&exchanges}, results_{&results}, random_{settings.seed + 77}, start_{now},
      next_arrival_{now}
{
    if (!settings.record.empty())
    {
        record_.open(settings.record, std::ios::app);
    }
}

double request_load::rate(base::time_point now) const
{
    const double position =
        std::fmod(static_cast<double>((now - start_).count()), static_cast<double>(settings_.swing_period.count()));
    const bool peak = position > (1 - peak_share) * static_cast<double>(settings_.swing_period.count());
    return settings_.requests_per_second * (peak ? settings_.swing_factor : 1);
}

void request_load::on_tick(base::time_point now)
{
    while (!delayed_blocks_.empty() && delayed_blocks_.begin()->first <= now)
    {
        auto [token, item] = std::move(delayed_blocks_.begin()->second);
        delayed_blocks_.erase(delayed_blocks_.begin());
        send(token, item, now);
        requests_[token] = std::move(item);
    }
    while (settings_.requests_per_second > 0 && next_arrival_ <= now && now - start_ < settings_.length)
    {
        start_request(now);
        const double gap_s = -std::log(1 - random_.unit()) / rate(now);
        next_arrival_ += base::duration{static_cast<std::int64_t>(gap_s * microseconds_per_second)};
    }
    expire_finished(now);
}

request_load::request request_load::make_random_request(base::time_point now)
{
    request item;
    const double drawn = random_.unit() * 100;
    if (drawn < settings_.title_percent)
    {
        item.type = request_class::title;
    }
    else if (drawn >= settings_.title_percent + settings_.post_percent)
    {
        item.type = random_.below(2) == 0 ? request_class::profile_get : request_class::profile_put;
    }
    item.caller = random_.below(exchanges_->callers());
    item.number = random_.below(documents);
    item.started = now;
    item.nonce = "s" + std::to_string(settings_.seed) + "-" + std::to_string(++last_nonce_);
    return item;
}

void request_load::start_request(base::time_point now)
{
    auto item = make_random_request(now);
    std::vector<target_service> candidates;
    std::copy_if(settings_.services.begin(), settings_.services.end(), std::back_inserter(candidates),
                 [&](const target_service& each) { return serves(each, item.type); });
    if (candidates.empty())
    {
        return;
    }
    const auto& service = candidates[random_.below(candidates.size())];
    item.port = service.port;
    item.service = service.name;
    results_->add("requests");
    ++open_;
    const auto token = exchanges_->make_token();
    send(token, item, now);
    requests_.emplace(token, std::move(item));
}

void request_load::send(std::uint64_t token, const request& item, base::time_point now)
{
    outgoing_request out;
    out.caller = item.caller;
    out.port = item.port;
    out.message.code = method_of(item.type);
    out.message.token = token;
    out.message.token_length = token_bytes;
    out.message.path = path_of(item.type, item.number);
    if (item.type == request_class::title)
    {
        out.message.block2 = wire::block_option{item.block, false, size_exponent};
    }
    else
    {
        out.message.payload = as_payload("nonce=" + item.nonce);
    }
    exchanges_->send(out, now);
}

void request_load::on_event(const exchange_event& event, base::time_point now)
{
    const auto found = requests_.find(event.token);
    if (found == requests_.end())
    {
        results_->add("stray_answers");
        exchanges_->reset(event, now);
        return;
    }
    auto& item = found->second;
    if (event.kind == event_kind::timed_out)
    {
        finish(event.token, item, request_outcome::lost, now);
        return;
    }
    if (event.kind == event_kind::reset)
    {
        results_->violation("wrong", "what=reset " + describe(item, event));
        finish(event.token, item, request_outcome::wrong, now);
        return;
    }
    exchanges_->acknowledge(event, now);
    if (event.kind == event_kind::unmatched)
    {
        on_late_answer(item, event);
        return;
    }
    on_answer(event.token, item, event, now);
}

void request_load::on_answer(std::uint64_t token, request& item, const exchange_event& event, base::time_point now)
{
    const auto outcome = outcome_of(event.view.code);
    if (outcome == request_outcome::refused)
    {
        results_->add("refused_max_age_" + std::to_string(event.view.max_age.value_or(0)));
    }
    if (outcome == request_outcome::ok && !is_correct(item, event))
    {
        results_->violation("wrong", "what=answer " + describe(item, event));
        finish(token, item, request_outcome::wrong, now);
        return;
    }
    if (item.type == request_class::title)
    {
        on_title_answer(token, item, event, now);
        return;
    }
    const auto text = as_text(event.payload);
    if (outcome == request_outcome::ok)
    {
        item.run = field(text, "run");
        results_->add_answer_from(item.service, std::string{field(text, "upstream")});
    }
    finish(token, item, outcome, now);
}

void request_load::on_title_answer(std::uint64_t token, request& item, const exchange_event& event,
                                   base::time_point now)
{
    const auto outcome = outcome_of(event.view.code);
    request next = item;
    if (outcome == request_outcome::ok && event.view.block2->more)
    {
        ++next.block;
        next.block_refusals = 0;
        results_->add("blocks");
        delayed_blocks_.emplace(now, delayed_block{exchanges_->make_token(), next});
    }
    else if (outcome == request_outcome::refused && ++next.block_refusals < max_block_refusals)
    {
        const auto max_age = std::int64_t{event.view.max_age.value_or(default_max_age_s)};
        results_->add("blocks_refused");
        delayed_blocks_.emplace(now + base::duration{max_age * microseconds_per_second},
                                delayed_block{exchanges_->make_token(), next});
    }
    else
    {
        finish(token, item, outcome, now);
        return;
    }
    item.outcome = outcome;
    finished_order_.emplace_back(now, token);
}

void request_load::on_late_answer(request& item, const exchange_event& event)
{
    const auto outcome = outcome_of(event.view.code);
    if (outcome == request_outcome::ok && !is_correct(item, event))
    {
        results_->violation("wrong", "what=late_answer " + describe(item, event));
        return;
    }
    const auto run = field(as_text(event.payload), "run");
    if (outcome == request_outcome::ok && item.outcome == request_outcome::ok && run != item.run)
    {
        results_->violation("doubled", describe(item, event));
    }
    else if ((outcome == request_outcome::ok && item.outcome == request_outcome::refused) ||
             (outcome == request_outcome::refused && item.outcome == request_outcome::ok))
    {
        results_->violation("contradicted", describe(item, event));
    }
    else
    {
        results_->add("repeated_answers");
    }
}

bool request_load::is_correct(const request& item, const exchange_event& event) const
{
    if (event.view.code != expected_code(item.type) || event.port != item.port)
    {
        return false;
    }
    if (item.type == request_class::title)
    {
        return is_correct_block(item, event);
    }
    const auto text = as_text(event.payload);
    const bool nonce_needed = item.type != request_class::profile_get;
    return field(text, "service") == item.service && field(text, "path") == path_of(item.type, item.number) &&
           (!nonce_needed || field(text, "nonce") == item.nonce);
}

bool request_load::is_correct_block(const request& item, const exchange_event& event) const
{
    const document expected{item.service, item.number};
    const std::size_t offset = item.block * block_size;
    const bool more = offset + block_size < expected.size();
    const wire::block_option block{item.block, more, size_exponent};
    return event.view.block2 == block && event.view.etag == expected.etag() &&
           event.payload == expected.slice(offset, block_size);
}

void request_load::finish(std::uint64_t token, request& item, request_outcome outcome, base::time_point now)
{
    item.outcome = outcome;
    --open_;
    finished_order_.emplace_back(now, token);
    results_->add(name_of(outcome));
    results_->add(std::string{name_of(item.type)} + "_" + name_of(outcome));
    if (outcome == request_outcome::ok)
    {
        results_->add_latency(name_of(item.type), now - item.started);
    }
    if (outcome == request_outcome::lost)
    {
        results_->violation("lost_reported", describe(item, {}));
    }
    if (item.type == request_class::hold && record_.is_open())
    {
        record_ << "nonce=" << item.nonce << " service=" << item.service << " outcome=" << name_of(outcome)
                << " run=" << item.run << std::endl; // NOLINT(performance-avoid-endl)
    }
}

void request_load::expire_finished(base::time_point now)
{
    while (!finished_order_.empty() && finished_order_.front().first + late_answer_window < now)
    {
        requests_.erase(finished_order_.front().second);
        finished_order_.pop_front();
    }
}

std::string request_load::describe(const request& item, const exchange_event& event) const
{
    const bool text = item.type != request_class::title;
    return "class=" + std::string{name_of(item.type)} + " service=" + item.service + " nonce=" + item.nonce +
           " path=" + path_of(item.type, item.number) + " block=" + std::to_string(item.block) +
           " outcome=" + name_of(item.outcome) + " run=" + item.run + " code=" + std::to_string(event.view.code >> 5) +
           "." + std::to_string(event.view.code & 0x1f) + " port=" + std::to_string(event.port) + " got=\"" +
           (text ? std::string{as_text(event.payload)} : std::to_string(event.payload.size()) + " bytes") + "\"";
}

} // namespace galenabay::stand_in
