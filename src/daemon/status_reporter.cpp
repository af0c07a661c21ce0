#include "status_reporter.hpp"

#include <galenabay/object_api/status_codec.hpp>

#include <chrono>
#include <variant>
#include <vector>

namespace galenabay::daemon
{

namespace
{

constexpr base::duration tick_interval{100'000};

revision::aggregator_settings settings_of(const config::host_settings& settings, std::uint64_t incarnation,
                                          std::uint64_t seed)
{
    revision::aggregator_settings result;
    result.self = settings.name;
    result.data_centre = settings.data_centre;
    result.incarnation = incarnation;
    result.seed = seed;
    result.report_timeout = settings.peer_timeout;
    return result;
}

std::int64_t seconds_since_epoch()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count();
}

std::vector<revision::observed_host> observed_by(const membership::member_view& members, base::time_point now)
{
    std::vector<revision::observed_host> hosts;
    for (auto& report : members.reports(now))
    {
        const bool own = hosts.empty();
        const auto report_age = own ? base::duration{0} : members.report_age(report.name, now);
        hosts.push_back({std::move(report), report_age});
    }
    return hosts;
}

revision::write_result result_of(const object_written& outcome)
{
    if (!outcome.failure)
    {
        return revision::write_result::written;
    }
    return outcome.failure->code() == base::error_code::conflict ? revision::write_result::conflict
                                                                 : revision::write_result::unknown;
}

} // namespace

status_reporter::status_reporter(const config::host_settings& settings, std::uint64_t incarnation, std::uint64_t seed,
                                 platform_worker& platform_calls, metric_table& metrics)
    : aggregator_{settings_of(settings, incarnation, seed)}, platform_calls_{platform_calls}, metrics_{metrics}
{
}

void status_reporter::tick(const membership::member_view& members, base::time_point now)
{
    if (now < next_tick_)
    {
        return;
    }
    next_tick_ = now + tick_interval;
    aggregator_.on_hosts(observed_by(members, now), now);
    carry_out(aggregator_.on_tick(now));
}

void status_reporter::carry_out(const revision::status_actions& decided)
{
    for (const auto& each : decided)
    {
        if (const auto* read = std::get_if<revision::read_status>(&each))
        {
            platform_calls_.submit(read_request{read->key});
        }
        else if (const auto* write = std::get_if<revision::write_status>(&each))
        {
            auto document = write->document;
            document.written_at = seconds_since_epoch();
            platform_calls_.submit(write_request{write->key, object_api::encode_status(document), write->expected});
        }
        else if (std::holds_alternative<revision::list_statuses>(each))
        {
            platform_calls_.submit(list_objects_request{revision::status_prefix});
        }
        else if (const auto* removed = std::get_if<revision::remove_status>(&each))
        {
            platform_calls_.submit(remove_request{removed->key, removed->expected});
        }
    }
}

void status_reporter::handle(const platform_event& event, base::time_point now)
{
    if (const auto* written = std::get_if<object_written>(&event))
    {
        const auto result = result_of(*written);
        metrics_.add(result == revision::write_result::conflict ? metric::status_conflicts : metric::status_writes);
        aggregator_.on_status_written(result, written->version, now);
    }
    else if (const auto* read = std::get_if<object_read>(&event))
    {
        const bool missing = read->failure && read->failure->code() == base::error_code::not_found;
        if (read->failure && !missing)
        {
            aggregator_.on_read_failure(now);
            return;
        }
        const auto document = object_api::decode_status(read->value);
        aggregator_.on_status_read(read->version, document ? document.value().writer : "", now);
    }
    else if (const auto* listed = std::get_if<objects_listed>(&event))
    {
        carry_out(aggregator_.on_status_list(listed->versions, now));
    }
}

} // namespace galenabay::daemon
