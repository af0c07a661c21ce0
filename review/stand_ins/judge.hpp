#pragma once

#include "deployment.hpp"

#include <map>
#include <set>
#include <string>

namespace review
{

/// Opens a flow in each zone every 60 ms, with one request on it, for `time` milliseconds.
inline void use_route(deployment& world, const endpoint& service, double time)
{
    for (const auto end = now_ms() + time; now_ms() < end;)
    {
        for (std::size_t zone = 0; zone < deployment::zone_count; ++zone)
        {
            auto& from = world.clients_of(zone);
            from.request(from.open(service), "POST", "/hold", 300, true);
        }
        world.system().restart_ended();
        pause_ms(60);
    }
}

/// Number of flows whose opening packet was sent, and arrived at the target, later than `bound_ms`
/// after the acknowledgement. Writes one line for each.
inline std::size_t count_late_openings(const deployment& world, const target& at, double acknowledged, double bound_ms,
                                       const char* rule, record& log)
{
    std::map<flow_key, double> sent;
    for (const auto& one : world.results())
    {
        sent[one.key] = one.syn_at;
    }
    std::size_t late = 0;
    for (const auto& one : at.opened())
    {
        if (sent[one.key] > acknowledged + bound_ms)
        {
            ++late;
            log.line("%s: target %s took the opening packet of %s, sent %.0f ms and taken %.0f ms after the "
                     "acknowledgement",
                     rule, at.options().id.c_str(), text_of(one.key.client).c_str(), sent[one.key] - acknowledged,
                     one.at - acknowledged);
        }
    }
    return late;
}

/// Writes the totals. A run in which next to nothing was served shows nothing.
inline void write_totals(const deployment& world, record& log)
{
    std::size_t opened = 0;
    std::size_t sent = 0;
    std::size_t answered = 0;
    for (const auto& one : world.results())
    {
        opened += one.opened ? 1 : 0;
        sent += one.sent;
        answered += one.answered;
    }
    log.line("totals: %zu flows, %zu opened, %zu requests sent, %zu answered", world.results().size(), opened, sent,
             answered);
    if (answered * 10 < sent || answered == 0)
    {
        give_up("less than a tenth of the requests were answered");
    }
    for (const auto& one : world.system().machines())
    {
        if (one.own_ends > 0)
        {
            log.line("totals: the process of %s ended by itself %d times", one.name.c_str(), one.own_ends);
        }
    }
}

/// Opens the record and writes what kind of run it is.
inline void begin(record& log, const char* disruption)
{
    if (!log.is_open())
    {
        give_up("record.txt can't be written");
    }
    log.line("disruption: %s", has_trouble() ? disruption : "none");
}

/// Returns the exit code of a case, and writes the outcome.
inline int outcome(record& log, const char* rule, std::size_t breaches)
{
    log.line("%s: %zu breaches", rule, breaches);
    std::printf("%s: %zu breaches\n", rule, breaches);
    return breaches > 0 ? 1 : 0;
}

} // namespace review
