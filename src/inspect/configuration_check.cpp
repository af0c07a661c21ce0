#include <galenabay/inspect/configuration_check.hpp>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <set>

namespace galenabay::inspect
{

namespace
{

using adapter::configuration_draft;
using adapter::draft_fault;
using adapter::draft_route;
using adapter::draft_service;

/// Hosts keep no flow for longer.
constexpr std::chrono::milliseconds flow_age_limit{60'000};
/// Most flows carry one request, which takes an upstream 15 to 20 ms.
constexpr double flows_per_slot_and_second = 50;

std::string to_text(std::chrono::milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

std::string to_text(double number)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%g", number);
    return text.data();
}

/// Collects what is wrong with a draft.
class draft_check
{
public:
    draft_check(const configuration_draft& draft, const check_context& context)
        : draft_{draft}, context_{context}, findings_{draft.faults}
    {
        for (const auto& service : draft.services)
        {
            listed_.insert(service.name);
        }
    }

    std::vector<draft_fault> run()
    {
        if (context_.in_force && draft_.version <= context_.in_force->version)
        {
            add("version", std::to_string(draft_.version) + " is not above " +
                               std::to_string(context_.in_force->version) + ", which is in force: hosts ignore it");
        }
        for (const auto& route : draft_.routes)
        {
            check_route(route);
        }
        check_repeated();
        for (const auto& service : draft_.services)
        {
            check_service(service);
        }
        if (draft_.idle_timeout && *draft_.idle_timeout > flow_age_limit)
        {
            add("limits", "flows may be idle for " + to_text(*draft_.idle_timeout) + ", but none gets older than " +
                              to_text(flow_age_limit));
        }
        return std::move(findings_);
    }

private:
    void add(const std::string& place, const std::string& detail)
    {
        findings_.push_back({.place = place, .detail = detail});
    }

    void check_route(const draft_route& route)
    {
        std::uint64_t total = 0;
        for (const auto& part : route.services)
        {
            total += part.weight;
            if (part.weight == 0)
            {
                add(route.place, "service " + part.service + " has the weight 0 and gets no flow");
            }
            check_named(route.place, part.service);
        }
        if (!route.services.empty() && total == 0)
        {
            add(route.place, "no service has a weight above 0: all flows are dropped");
        }
        if (route.time_limit && route.answer_target && *route.time_limit < *route.answer_target)
        {
            add(route.place, "the time limit of " + to_text(*route.time_limit) +
                                 " is below the time in which callers want the answer, " +
                                 to_text(*route.answer_target));
        }
    }

    void check_named(const std::string& place, const std::string& service)
    {
        named_.insert(service);
        // A configuration that states nothing of services need not list them.
        if (!listed_.empty() && !listed_.contains(service))
        {
            add(place, "service " + service + " is not listed");
        }
        if (context_.capacities && !context_.capacities->contains(service))
        {
            add(place, "service " + service + " has no upstreams that take new flows");
        }
    }

    void check_repeated()
    {
        std::map<std::string, std::string> last;
        for (auto route = draft_.routes.rbegin(); route != draft_.routes.rend(); ++route)
        {
            if (!route->address)
            {
                continue;
            }
            const auto [known, added] = last.emplace(route->address->to_string(), route->place);
            if (!added)
            {
                add(route->place,
                    "never matches: " + known->second + " has the same address and port, " + known->first);
            }
        }
    }

    void check_service(const draft_service& service)
    {
        if (!named_.contains(service.name))
        {
            add(service.place, "no route names service " + service.name);
        }
        if (!described_.insert(service.name).second)
        {
            add(service.place, "service " + service.name + " is listed more than once; the last entry holds");
        }
        if (service.warm_up_rate == 0)
        {
            return;
        }
        if (service.warm_up_s == 0)
        {
            add(service.place, "a rate of starting upstreams without a time for which they are starting");
        }
        if (const auto* capacity = capacity_of(service.name);
            capacity != nullptr && service.warm_up_rate > capacity->fewest_slots * flows_per_slot_and_second)
        {
            add(service.place, "a starting upstream gets " + to_text(service.warm_up_rate) +
                                   " new flows a second, more than its slots take (" +
                                   std::to_string(capacity->fewest_slots) + " slots, about " +
                                   to_text(capacity->fewest_slots * flows_per_slot_and_second) + ")");
        }
    }

    const service_capacity* capacity_of(const std::string& service) const
    {
        if (!context_.capacities)
        {
            return nullptr;
        }
        const auto found = context_.capacities->find(service);
        return found == context_.capacities->end() ? nullptr : &found->second;
    }

    const configuration_draft& draft_;
    const check_context& context_;
    std::vector<draft_fault> findings_;
    std::set<std::string> listed_;
    std::set<std::string> named_;
    std::set<std::string> described_;
};

std::string label_of(const draft_route& route)
{
    return "route " + (route.address ? route.address->to_string() : route.place) +
           (route.name.empty() ? "" : " (" + route.name + ")");
}

std::string label_of(const draft_service& service)
{
    return "service " + service.name;
}

std::string key_of(const draft_route& route)
{
    return route.address ? route.address->to_string() : "";
}

std::string key_of(const draft_service& service)
{
    return service.name;
}

std::string describe(const draft_route& route)
{
    std::string text;
    for (const auto& part : route.services)
    {
        text += (text.empty() ? "to " : ", ") + part.service + " " + std::to_string(part.weight);
    }
    text += ", urgency " + std::to_string(route.urgency);
    text += route.time_limit ? ", time limit " + to_text(*route.time_limit) : "";
    return text + (route.answer_target ? ", answer wanted in " + to_text(*route.answer_target) : "");
}

std::string describe(const draft_service& service)
{
    return "flows " + std::to_string(service.max_flows) + ", starting for " + to_text(service.warm_up_s) + " s at " +
           to_text(service.warm_up_rate) + " flows a second";
}

/// Adds the entries that were added, changed and removed. The last entry of a key counts.
template <typename Entry>
void compare(const std::vector<Entry>& before, const std::vector<Entry>& after, std::vector<std::string>& differences)
{
    std::map<std::string, const Entry*> known;
    std::map<std::string, const Entry*> next;
    for (const auto& entry : before)
    {
        known[key_of(entry)] = &entry;
    }
    for (const auto& entry : after)
    {
        next[key_of(entry)] = &entry;
    }
    for (const auto& [key, entry] : next)
    {
        const auto found = known.find(key);
        if (found == known.end())
        {
            differences.push_back("added " + label_of(*entry) + ": " + describe(*entry));
        }
        else if (describe(*found->second) != describe(*entry))
        {
            differences.push_back("changed " + label_of(*entry) + ": " + describe(*found->second) + " -> " +
                                  describe(*entry));
        }
    }
    for (const auto& [key, entry] : known)
    {
        if (!next.contains(key))
        {
            differences.push_back("removed " + label_of(*entry));
        }
    }
}

std::vector<std::string> differences_of(const configuration_draft& before, const configuration_draft& after)
{
    std::vector<std::string> differences;
    if (before.version != after.version)
    {
        differences.push_back("version " + std::to_string(before.version) + " -> " + std::to_string(after.version));
    }
    compare(before.routes, after.routes, differences);
    compare(before.services, after.services, differences);
    if (before.idle_timeout != after.idle_timeout)
    {
        const auto text = [](const auto& time) { return time ? to_text(*time) : std::string{"not stated"}; };
        differences.push_back("idle time of flows " + text(before.idle_timeout) + " -> " + text(after.idle_timeout));
    }
    return differences;
}

} // namespace

check_report check_configuration(const configuration_draft& draft, const check_context& context)
{
    return {.findings = draft_check{draft, context}.run(),
            .differences = context.in_force ? differences_of(*context.in_force, draft) : std::vector<std::string>{}};
}

std::vector<std::string> describe(const check_report& report)
{
    std::vector<std::string> lines;
    for (const auto& finding : report.findings)
    {
        lines.push_back("finding: " + finding.place + ": " + finding.detail);
    }
    for (const auto& difference : report.differences)
    {
        lines.push_back("differs: " + difference);
    }
    lines.push_back(std::to_string(report.findings.size()) + " findings, " + std::to_string(report.differences.size()) +
                    " differences");
    return lines;
}

std::string to_json(const check_report& report)
{
    rapidjson::StringBuffer text;
    rapidjson::Writer<rapidjson::StringBuffer> writer{text};
    writer.StartObject();
    writer.Key("findings");
    writer.StartArray();
    for (const auto& finding : report.findings)
    {
        writer.StartObject();
        writer.Key("place");
        writer.String(finding.place.c_str());
        writer.Key("detail");
        writer.String(finding.detail.c_str());
        writer.EndObject();
    }
    writer.EndArray();
    writer.Key("differences");
    writer.StartArray();
    for (const auto& difference : report.differences)
    {
        writer.String(difference.c_str());
    }
    writer.EndArray();
    writer.EndObject();
    return text.GetString();
}

} // namespace galenabay::inspect
