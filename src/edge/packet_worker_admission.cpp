#include "packet_worker.hpp"

#include <galenabay/base/log.hpp>

#include <chrono>
#include <string>

// Admission of new flows: the sums that it decides by, and its reports.
namespace galenabay::edge
{

namespace
{

using base::log_event;
using base::log_level;

/// Interval at which sums are passed to the `steerer`: a part of that of the digests.
constexpr base::duration demands_interval = std::chrono::milliseconds{200};

std::int64_t milliseconds(base::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

void packet_worker::apply_demands(base::time_point now)
{
    // Also without messages of other hosts: after a while without sums nothing is refused.
    if (now < next_demands_ || steerer_.admissions().services().empty())
    {
        return;
    }
    next_demands_ = now + demands_interval;
    const auto known = peers_.exchange().demands(now);
    for (const auto service : steerer_.on_demands(known, now))
    {
        report_shortage(service, known, now);
    }
    auto& admissions = steerer_.admissions();
    for (std::size_t i = 0; i < admissions.services().size(); ++i)
    {
        measure_admission(admissions.services()[i], admissions.of(i));
    }
}

void packet_worker::report_shortage(std::size_t service, const std::optional<steer::fleet_demand>& known,
                                    base::time_point now)
{
    const auto& [name, key, urgencies, answer_target] = steerer_.admissions().services()[service];
    const auto& state = steerer_.admissions().of(service);
    log_event line{log_level::info, state.is_short() ? "shortage_begun" : "shortage_ended"};
    line.with("service", name);
    if (!known)
    {
        line.with("cause", "no_sums");
        return;
    }
    line.with("hosts", known->hosts);
    line.with("local_age_ms", milliseconds(known->local.age)).with("remote_age_ms", milliseconds(known->remote.age));
    const auto measured = steerer_.room_of(service, *known, now);
    line.with("slots", measured.fleet.slots).with("open", measured.fleet.open_requests);
    if (const auto capacity = state.capacity())
    {
        line.with("flows_per_second", *capacity);
    }
    for (const auto& [data_centre, part] : measured.data_centres)
    {
        line.with(("occupancy_" + data_centre).c_str(), part.occupancy());
    }
}

void packet_worker::measure_admission(const steer::admitted_service& service, steer::service_admission& state)
{
    metrics_.service_occupancy.Add({{"service", service.name}}).Set(state.occupancy());
    const auto with_free_slots = state.take_refused_with_free_slots();
    metrics_.refused_with_free_slots.Add({{"service", service.name}}).Increment(static_cast<double>(with_free_slots));
    state_.refused_with_free_slots.fetch_add(with_free_slots);
    for (std::size_t rank = 0; rank < service.urgencies.size(); ++rank)
    {
        const prometheus::Labels labels{{"service", service.name},
                                        {"urgency", std::to_string(service.urgencies[rank])}};
        metrics_.admitted_share.Add(labels).Set(state.admitted_share(rank));
        if (const auto refused = state.take_refused(rank); refused > 0)
        {
            metrics_.refused_flows.Add(labels).Increment(static_cast<double>(refused));
        }
    }
}

} // namespace galenabay::edge
