#include <galenabay/steer/steerer.hpp>

#include "answer_time_sampler.hpp"
#include "flow_table.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

// Admission of new flows, and the demand that this host reports.
namespace galenabay::steer
{

bool steerer::has_room(const packet_header& header, const route_table::route_choice& route, const flow_state* known,
                       base::time_point now)
{
    if (route.admission.service == admission_class::no_service || header.acknowledged > 0 || known != nullptr)
    {
        return true;
    }
    return admission_.admit(route.admission, header.flow.caller_address, random_.unit(), now);
}

steerer::service_totals steerer::add_up(const std::string& service) const
{
    service_totals totals;
    for (const auto* upstream : registry_.of_service(service))
    {
        totals.open_requests += upstream->open_requests;
        totals.rejected_flows += upstream->rejected_flows;
    }
    return totals;
}

std::vector<steerer::service_totals> steerer::add_up(const std::vector<admitted_service>& services) const
{
    std::vector<service_totals> totals;
    totals.reserve(services.size());
    for (const auto& service : services)
    {
        totals.push_back(add_up(service.name));
    }
    return totals;
}

void steerer::update_totals(base::time_point now)
{
    for (std::size_t i = 0; i < totals_.size(); ++i)
    {
        const auto before = std::exchange(totals_[i], add_up(admission_.services()[i].name)).rejected_flows;
        // The total falls when an incarnation ends.
        if (const auto total = totals_[i].rejected_flows; total > before)
        {
            admission_.of(i).count_rejected(static_cast<std::uint32_t>(total - before), now);
        }
    }
}

std::vector<service_demand> steerer::report_demands(base::time_point now)
{
    std::vector<service_demand> demands;
    const auto& services = admission_.services();
    for (std::size_t i = 0; i < services.size(); ++i)
    {
        auto demand = admission_.of(i).report(services[i].key, totals_[i].open_requests, now);
        if (!is_idle(demand))
        {
            demands.push_back(std::move(demand));
        }
    }
    std::sort(demands.begin(), demands.end());
    return demands;
}

service_room steerer::room_of(std::size_t service, const fleet_demand& known, base::time_point now) const
{
    const auto& [name, key, urgencies, answer_target] = admission_.services()[service];
    double open = totals_[service].open_requests;
    for (const auto* sum : {&known.local, &known.remote})
    {
        const auto* demand = sum->find(key);
        open += demand == nullptr ? 0 : demand->open_requests;
    }
    // The sum contains what this host reported last.
    open -= admission_.of(service).reported(known.local.age, now).open_requests;
    return measure_room(registry_, evacuations_, name, std::max(0.0, open), now);
}

std::vector<std::size_t> steerer::on_demands(const std::optional<fleet_demand>& known, base::time_point now)
{
    std::vector<std::size_t> changed;
    const bool is_known = known && known->received_ago < admission::longest_silence;
    const auto total = is_known ? known->total() : demand_sum{};
    const auto& services = admission_.services();
    for (std::size_t i = 0; i < services.size(); ++i)
    {
        auto& state = admission_.of(i);
        const auto* demand = total.find(services[i].key);
        // Most work of a service with long flows comes with open flows, which are never refused:
        // refusing new ones would free little room.
        const bool is_limited = demand != nullptr && answer_times_->has_short_flows(services[i].name);
        const bool has_changed = is_limited ? state.update(*demand, total.age, room_of(i, *known, now).fleet,
                                                           known->hosts, services[i].answer_target, now)
                                            : state.suspend();
        if (has_changed)
        {
            changed.push_back(i);
        }
    }
    return changed;
}

} // namespace galenabay::steer
