#include <galenabay/steer/service_room.hpp>

#include "upstream_evidence.hpp"
#include "upstream_selection.hpp"

namespace galenabay::steer
{

service_room measure_room(const upstream_registry& registry, const evacuation_table& evacuations,
                          const std::string& service, double open_requests, base::time_point now)
{
    service_room measured;
    measured.fleet.open_requests = open_requests;
    double known_requests = 0;
    for (const auto* upstream : registry.of_service(service))
    {
        const bool is_usable =
            takes_new_flows(*upstream, evacuations) && !upstream->missing_since && !is_avoided(*upstream, now);
        auto& part = measured.data_centres[upstream->entry.data_centre];
        const double slots = is_usable ? upstream->entry.slots / upstream->relative_answer_time : 0;
        const double requests = upstream->open_requests + upstream->remote_requests;
        part.slots += slots;
        measured.fleet.slots += slots;
        part.open_requests += requests;
        known_requests += requests;
    }
    for (auto& [data_centre, part] : measured.data_centres)
    {
        part.open_requests = known_requests > 0 ? open_requests * part.open_requests / known_requests : 0;
    }
    return measured;
}

} // namespace galenabay::steer
