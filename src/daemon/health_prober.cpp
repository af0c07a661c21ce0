#include "health_prober.hpp"

#include <galenabay/wire/coap_view.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace galenabay::daemon
{

namespace
{

constexpr base::duration probe_interval{1'000'000};
/// Consecutive unanswered probes after which an upstream is unhealthy.
constexpr std::uint32_t max_unanswered_probes = 3;
constexpr std::uint8_t token_bytes = 8;
constexpr std::uint8_t code_get = 0x01;
constexpr std::size_t max_report_bytes = 256;

/// Returns the decimal number that follows `key`; nullopt if the key or the number is missing.
std::optional<std::uint32_t> parse_field(std::string_view text, std::string_view key)
{
    const auto at = text.find(key);
    if (at == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto digits = text.substr(at + key.size());
    std::uint32_t value = 0;
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return status == std::errc{} ? std::optional{value} : std::nullopt;
}

} // namespace

void health_prober::on_revision(const config::accepted_revision& revision, base::time_point now)
{
    std::map<base::endpoint, target> next;
    for (const auto& service : revision.set.services)
    {
        if (service.kind != config::service_kind::coap)
        {
            continue;
        }
        for (const auto& upstream : service.upstreams)
        {
            target entry;
            if (const auto known = targets_.find(upstream.endpoint); known != targets_.end())
            {
                entry = known->second;
            }
            else
            {
                entry.due = now + base::duration{static_cast<std::int64_t>(random_.below(probe_interval.count()))};
            }
            entry.id = config::id_of(service, upstream);
            entry.service = service.id();
            entry.service_address = service.address;
            next.emplace(upstream.endpoint, entry);
        }
    }
    targets_ = std::move(next);
}

probe health_prober::make_probe(const base::endpoint& upstream, target& entry)
{
    entry.token = random_();
    wire::coap_message message;
    message.type = wire::coap_type::non_confirmable;
    message.code = code_get;
    message.message_id = next_message_id_++;
    message.token = entry.token;
    message.token_length = token_bytes;
    message.path = "/load";
    auto encoded = wire::encode_coap(message);
    return probe{entry.service, entry.service_address, upstream,
                 encoded ? std::move(encoded).value() : std::vector<std::byte>{}};
}

std::vector<probe> health_prober::on_tick(base::time_point now, std::vector<health_change>& changes)
{
    std::vector<probe> due;
    for (auto& [upstream, entry] : targets_)
    {
        if (now < entry.due)
        {
            continue;
        }
        entry.due = now + probe_interval;
        if (++entry.unanswered > max_unanswered_probes && entry.healthy)
        {
            entry.healthy = false;
            changes.push_back({entry.id, false, 0});
        }
        due.push_back(make_probe(upstream, entry));
    }
    return due;
}

std::optional<health_change> health_prober::on_answer(const base::endpoint& upstream, std::uint64_t token,
                                                      std::span<const std::byte> payload)
{
    const auto found = targets_.find(upstream);
    if (found == targets_.end() || found->second.token != token)
    {
        return std::nullopt;
    }
    auto& entry = found->second;
    entry.unanswered = 0;
    const std::string_view text{reinterpret_cast<const char*>(payload.data()),
                                std::min(payload.size(), max_report_bytes)};
    entry.healthy = parse_field(text, "healthy=").value_or(1) != 0;
    return health_change{entry.id, entry.healthy, parse_field(text, "running=").value_or(0)};
}

std::size_t health_prober::unhealthy_count() const
{
    return static_cast<std::size_t>(
        std::count_if(targets_.begin(), targets_.end(), [](const auto& entry) { return !entry.second.healthy; }));
}

} // namespace galenabay::daemon
