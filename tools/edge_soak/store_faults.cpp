#include "store_faults.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <utility>

namespace galenabay::edge_soak
{

namespace
{

/// A crashed upstream stays registered for three heartbeats of 1.2 s.
constexpr double registration_ttl_s = 3.6;
constexpr std::chrono::milliseconds usual_stale_age{2'000};
constexpr std::chrono::milliseconds longest_stale_age{6'000};
constexpr std::size_t usual_routes = 60;
constexpr std::size_t many_routes = 420;
/// A configuration that hosts send to one another compressed.
constexpr std::size_t large_routes = 1'400;
constexpr std::size_t quick_versions = 25;
constexpr double quick_gap_s = 0.06;

constexpr std::array unavailable{store_fault::busy, store_fault::limited, store_fault::silent, store_fault::reset};

bool is_unavailable(store_fault fault)
{
    return std::find(unavailable.begin(), unavailable.end(), fault) != unavailable.end();
}

} // namespace

std::string configuration_text(std::uint64_t version, std::size_t extra, bool starting_rate)
{
    const auto limits = R"(,"warmup-s":)" + std::to_string(starting_time_s) + R"(,"warmup-per-s":)" +
                        std::to_string(starting_rate_per_s) + "}";
    const auto services = R"({"name":"feed")" + limits + R"(,{"name":"vault")" + limits;
    std::string routes =
        R"({"name":"feed","host":"198.18.0.1","path-prefix":"/8443/","type":"idempotent","service":"feed"},)"
        R"({"name":"vault","host":"198.18.0.1","path-prefix":"/8080/","type":"download","service":"vault"})";
    for (std::size_t i = 0; i < extra; ++i)
    {
        routes += R"(,{"name":"x)" + std::to_string(i) + R"(","host":"198.18.1.1","path-prefix":"/)" +
                  std::to_string(1000 + i) + R"(/","type":"idempotent","service":"feed"})";
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[)" +
           (starting_rate ? services : "") + R"(],"limits":{"idle-timeout-ms":15000}})";
}

store_faults::store_faults(fault_schedule& schedule, store_stub& store, host_processes& hosts,
                           upstream_fleet& upstreams, bool starting_rate)
    : schedule_{schedule}, store_{store}, hosts_{hosts}, upstreams_{upstreams}, starting_rate_{starting_rate}
{
}

void store_faults::begin(double now)
{
    const double seconds = schedule_.between(0.5, 4.5);
    switch (schedule_.random.below(9))
    {
    case 0:
        if (schedule_.begin("store_away"))
        {
            disturb_all(now, unavailable[schedule_.random.below(unavailable.size())], seconds);
        }
        break;
    case 1:
        if (schedule_.begin("store_slow"))
        {
            disturb_all(now, store_fault::slow, seconds);
        }
        break;
    case 2:
        if (schedule_.begin("store_loses_answers"))
        {
            disturb_all(now, schedule_.chance(0.5) ? store_fault::lost_writes : store_fault::late_writes, seconds);
        }
        break;
    case 3:
    case 4:
        disturb_some(now);
        break;
    case 5:
        lose_history(now);
        break;
    case 6:
        restore(now);
        break;
    case 7:
        expire_registrations(now);
        break;
    default:
        write_many(now);
        break;
    }
}

void store_faults::begin_unavailable()
{
    if (schedule_.chance(0.5) && schedule_.begin("store_away_at_start"))
    {
        disturb_all(0, unavailable[schedule_.random.below(unavailable.size())], schedule_.between(0.5, 3));
    }
}

void store_faults::disturb_all(double now, store_fault fault, double seconds)
{
    // A store that is slow or loses answers can be read, so such a fault does not end an outage: registrations may
    // have expired in it, and hosts would find them missing until the upstreams register again.
    if (is_unavailable(fault) || !is_unavailable(store_.fault()))
    {
        store_.set_fault(fault);
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        hosts_.disturb(i, now + seconds);
    }
    // Another fault may have begun meanwhile. Upstreams whose registrations have expired must be registered again
    // soon after the store has returned, so none of several faults may end before the last one.
    away_until_ = std::max(away_until_, now + seconds);
    schedule_.add(now + seconds,
                  [this](double at)
                  {
                      if (at >= away_until_)
                      {
                          store_.set_fault(store_fault::none);
                      }
                  });
}

void store_faults::disturb_some(double now)
{
    const bool serves_one = schedule_.chance(0.5);
    if (!schedule_.begin(serves_one ? "store_serves_one" : "store_refuses_some"))
    {
        return;
    }
    const double until = now + schedule_.between(2, 9);
    const auto served = schedule_.random.below(hosts_.size());
    const auto extra = schedule_.chance(0.3) ? large_routes : schedule_.random.below(usual_routes);
    schedule_.add(now + schedule_.between(0, 2), [this, extra](double) { write_configuration(extra); });
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        if (serves_one ? i != served : schedule_.chance(0.35))
        {
            const auto address = hosts_.store_of(i).to_string();
            hosts_.disturb(i, until);
            store_.set_fault_at(address, unavailable[schedule_.random.below(unavailable.size())]);
            schedule_.add(until, [this, address](double) { store_.set_fault_at(address, store_fault::none); });
        }
    }
}

void store_faults::lose_history(double now)
{
    if (!schedule_.begin("store_compacted"))
    {
        return;
    }
    store_.set_stale_age(longest_stale_age);
    change_configuration();
    schedule_.add(now + schedule_.between(0, 1),
                  [this](double)
                  {
                      store_.compact();
                      store_.cut_watches();
                  });
    schedule_.add(now + schedule_.between(3, 12), [this](double) { store_.set_stale_age(usual_stale_age); });
}

void store_faults::restore(double now)
{
    if (restore_pending_ || !schedule_.begin("store_restored"))
    {
        return;
    }
    restore_pending_ = true;
    store_.save_copy();
    const auto lost_at = now + schedule_.between(1, 7);
    const double seconds = schedule_.between(0.2, 2.2);
    schedule_.add(lost_at, [this, seconds](double at) { disturb_all(at, store_fault::silent, seconds); });
    schedule_.add(lost_at + seconds,
                  [this](double at)
                  {
                      store_.restore();
                      if (!configuration_.empty())
                      {
                          store_.put("config", "main", configuration_);
                      }
                      upstreams_.register_again();
                      schedule_.add(at + registration_ttl_s, [this](double) { upstreams_.unregister_dead(); });
                      restore_pending_ = false;
                  });
}

void store_faults::expire_registrations(double now)
{
    if (!schedule_.begin("registrations_expired"))
    {
        return;
    }
    const double seconds = schedule_.between(2, 4.5);
    disturb_all(now, unavailable[schedule_.random.below(unavailable.size())], seconds);
    schedule_.add(now + seconds / 2,
                  [this](double)
                  {
                      if (!is_unavailable(store_.fault()))
                      {
                          std::printf("registrations_kept fault=store_available\n");
                          return;
                      }
                      for (const auto& name : store_.names("servers"))
                      {
                          store_.remove("servers", name);
                      }
                  });
    schedule_.add(now + seconds + schedule_.between(0, 1.5), [this](double) { upstreams_.register_again(); });
}

void store_faults::write_many(double now)
{
    if (!schedule_.begin("configuration_storm"))
    {
        return;
    }
    for (std::size_t i = 0; i < quick_versions; ++i)
    {
        schedule_.add(now + quick_gap_s * static_cast<double>(i), [this](double) { change_configuration(); });
    }
    schedule_.add(now + quick_gap_s * static_cast<double>(quick_versions),
                  [this](double) { write_configuration(many_routes); });
}

void store_faults::change_configuration()
{
    write_configuration(schedule_.random.below(usual_routes));
}

void store_faults::write_configuration(std::size_t extra)
{
    version_ += 1 + schedule_.random.below(4);
    configuration_ = configuration_text(version_, extra, starting_rate_);
    store_.put("config", "main", configuration_);
}

} // namespace galenabay::edge_soak
