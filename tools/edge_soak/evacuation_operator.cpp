#include "evacuation_operator.hpp"

#include <algorithm>
#include <array>

namespace galenabay::edge_soak
{

namespace
{

constexpr const char* kind = "evacuations";
constexpr const char* evacuation_spec = "{}";
constexpr double bound_s = evacuation_bound_ms / 1000.0;
/// One data centre at least takes new flows.
constexpr std::size_t max_evacuated = 2;
constexpr std::size_t data_centre_count = 3;
/// A host that started this long before a restore has been ready and knew the evacuations.
constexpr double start_time_s = 10;

/// Specifications that name no evacuation; the last one is not closed.
constexpr std::array odd_specs{"null", "[]", "7", R"("x")", "[[{}]]", "1e400", R"({"a":[{"b":)"};

} // namespace

void evacuation_operator::run(double now, double last_fault_s)
{
    if (const auto restores = store_.restores(); restores != restores_)
    {
        restores_ = restores;
        on_restore(now);
    }
    postpone(now);
    if (now >= last_fault_s)
    {
        return;
    }
    if (now >= next_)
    {
        next_ = now + between(1.5, 6);
        const auto data_centre = "zone-" + std::to_string(random_.below(data_centre_count));
        if (evacuated_.size() < max_evacuated && !evacuated_.contains(data_centre) && schedule_.begin("evacuation"))
        {
            evacuate(now, data_centre);
            // Some are withdrawn before they are in force everywhere.
            const double seconds = random_.unit() < 0.3 ? between(0.05, 2) : between(6, 14);
            schedule_.add(now + seconds, [this, data_centre](double) { take_back(data_centre); });
        }
    }
    if (now >= next_odd_)
    {
        next_odd_ = now + between(2, 10);
        write_odd(now);
    }
}

void evacuation_operator::evacuate(double now, const std::string& data_centre)
{
    // An odd entry of this name may exist; the write replaces it.
    store_.put(kind, data_centre, evacuation_spec);
    evacuated_[data_centre] = {.in_force_by = now + bound_s};
}

void evacuation_operator::take_back(const std::string& data_centre)
{
    store_.remove(kind, data_centre);
    evacuated_.erase(data_centre);
}

void evacuation_operator::write_odd(double now)
{
    if (!schedule_.begin("odd_evacuation"))
    {
        return;
    }
    const bool is_unknown = random_.unit() < 0.3;
    const auto name = is_unknown ? "zone-9" + std::to_string(odd_count_++)
                                 : "zone-" + std::to_string(random_.below(data_centre_count));
    if (evacuated_.contains(name))
    {
        return;
    }
    store_.put(kind, name, is_unknown ? evacuation_spec : odd_specs[random_.below(odd_specs.size())]);
    schedule_.add(now + between(1, 8),
                  [this, name](double)
                  {
                      if (!evacuated_.contains(name))
                      {
                          store_.remove(kind, name);
                      }
                  });
}

bool evacuation_operator::store_is_readable(double now) const
{
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        if (hosts_.in_use(i) && hosts_.runs(i, now) && store_.serves(hosts_.store_of(i).to_string()))
        {
            return true;
        }
    }
    return false;
}

void evacuation_operator::postpone(double now)
{
    if (store_is_readable(now))
    {
        return;
    }
    for (auto& [name, one] : evacuated_)
    {
        for (auto* by : {&one.in_force_by, &one.in_force_again_by})
        {
            *by = now < *by ? std::max(*by, now + bound_s) : *by;
        }
    }
}

void evacuation_operator::on_restore(double now)
{
    for (auto& [name, one] : evacuated_)
    {
        const bool was_in_force = now >= one.in_force_by;
        (was_in_force ? one.in_force_again_by : one.in_force_by) = acknowledged_evacuation::never;
        one.lacking_since = was_in_force ? now - start_time_s : one.lacking_since;
    }
    // The operator may need a moment; hosts that knew the evacuations keep them for the bound.
    schedule_.add(now + (random_.unit() < 0.5 ? 0 : between(0, 3)), [this](double at) { write_again(at); });
}

void evacuation_operator::write_again(double now)
{
    for (const auto& name : store_.names(kind))
    {
        if (!evacuated_.contains(name))
        {
            store_.remove(kind, name);
        }
    }
    for (auto& [name, one] : evacuated_)
    {
        store_.put(kind, name, evacuation_spec);
        for (auto* by : {&one.in_force_by, &one.in_force_again_by})
        {
            *by = *by == acknowledged_evacuation::never ? now + bound_s : *by;
        }
    }
}

} // namespace galenabay::edge_soak
