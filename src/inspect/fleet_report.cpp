#include <galenabay/inspect/fleet_report.hpp>

#include "answer_time_lines.hpp"

#include <platform/store_objects.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <system_error>

namespace galenabay::inspect
{

namespace
{

std::string to_string(const steer::store_revision& revision)
{
    return std::to_string(revision.number) + " of epoch " + std::to_string(revision.epoch);
}

std::string join(const std::vector<std::string>& words)
{
    std::string joined;
    for (const auto& word : words)
    {
        joined += (joined.empty() ? "" : ", ") + word;
    }
    return joined;
}

std::set<std::string> names_of(const steer::evacuation_set& set)
{
    std::set<std::string> names;
    for (const auto& one : set.evacuations)
    {
        names.insert(one.data_centre);
    }
    return names;
}

std::string describe_evacuations(const store_contents& store)
{
    std::vector<std::string> words;
    for (const auto& one : store.evacuations.evacuations)
    {
        words.push_back(one.data_centre + " since revision " + std::to_string(one.revision_number) +
                        (store.data_centres.contains(one.data_centre) ? "" : " (no upstreams there)"));
    }
    return "evacuated: " + (words.empty() ? "none" : join(words));
}

std::string describe_evacuations(const host_answer& host)
{
    if (!host.evacuations)
    {
        return "";
    }
    const auto names = names_of(*host.evacuations);
    return ", evacuated " + (names.empty() ? "none" : join({names.begin(), names.end()})) + " at revision " +
           to_string(host.evacuations->revision);
}

std::string describe_refusals(const host_answer& host)
{
    return host.refused_with_free_slots
               ? ", " + std::to_string(*host.refused_with_free_slots) + " flows refused with free slots"
               : "";
}

/// Returns the text of a rate with two decimal places.
std::string to_string(double rate)
{
    std::array<char, 32> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), rate, std::chars_format::fixed, 2);
    return end.ec == std::errc{} ? std::string(text.data(), end.ptr) : "many";
}

std::string describe_starting(const host_answer& host)
{
    std::vector<std::string> words;
    for (const auto& [id, rate] : host.share_rates)
    {
        words.push_back(id + " " + to_string(rate) + "/s");
    }
    const auto describe = [](std::uint64_t count, const char* what)
    { return count == 0 ? std::string{} : ", " + std::to_string(count) + what; };
    return (words.empty() ? "" : ", starting " + join(words)) +
           describe(host.limited_flows, " refused by warm-up limits") + describe(host.relayed_syns, " SYNs passed on") +
           describe(host.opened_for_others, " flows opened for other hosts");
}

bool has_configuration(const host_answer& host, const store_contents& store)
{
    return host.configuration_version >= store.configuration_version;
}

bool has_epoch(const host_answer& host, const store_contents& store)
{
    return host.upstreams_revision.epoch >= store.revision.epoch;
}

/// Returns in what a host that answered lags; empty when it is current.
std::string describe_lag(const host_answer& host, const store_contents& store)
{
    std::vector<std::string> words;
    if (!has_configuration(host, store))
    {
        words.emplace_back("configuration");
    }
    if (!has_epoch(host, store))
    {
        words.emplace_back("epoch");
    }
    if (!has_evacuated(host, store))
    {
        words.emplace_back(name_of(adapter::object_kind::evacuations));
    }
    return words.empty() ? "" : ": lags (" + join(words) + ")";
}

std::string describe(const host_answer& host, const store_contents& store)
{
    const auto label = label_of(host);
    if (host.failure)
    {
        return label + "no answer" + describe_failure(*host.failure);
    }
    return label + "configuration " + std::to_string(host.configuration_version) + ", " +
           std::to_string(host.upstreams) + " upstreams at revision " + to_string(host.upstreams_revision) +
           describe_evacuations(host) + describe_refusals(host) + describe_starting(host) + describe_lag(host, store);
}

} // namespace

bool has_evacuated(const host_answer& host, const store_contents& store)
{
    if (!host.evacuations)
    {
        return store.evacuations.evacuations.empty();
    }
    return host.evacuations->revision > store.evacuations.revision ||
           names_of(*host.evacuations) == names_of(store.evacuations);
}

bool is_current(const host_answer& host, const store_contents& store)
{
    return !host.failure && has_configuration(host, store) && has_epoch(host, store) && has_evacuated(host, store);
}

bool is_current(const fleet_report& report)
{
    return std::all_of(report.hosts.begin(), report.hosts.end(),
                       [&](const host_answer& host) { return is_current(host, report.store); });
}

std::vector<std::string> describe(const fleet_report& report)
{
    const auto& store = report.store;
    std::vector<std::string> lines{"store: revision " + to_string(store.revision),
                                   store.configuration_version == 0
                                       ? "configuration: none"
                                       : "configuration: version " + std::to_string(store.configuration_version) +
                                             ", " + std::to_string(store.routes) + " routes"};
    for (const auto& [service, counts] : store.services)
    {
        lines.push_back("service " + service + ": " + std::to_string(counts.ready) + " upstreams ready, " +
                        std::to_string(counts.draining) + " draining");
    }
    lines.push_back(describe_evacuations(store));
    for (const auto& name : store.unusable)
    {
        lines.push_back("unusable object: " + name);
    }
    for (const auto& host : report.hosts)
    {
        lines.push_back(describe(host, store));
    }
    add_answer_times(report.hosts, lines);
    return lines;
}

} // namespace galenabay::inspect
