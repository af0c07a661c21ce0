#include <galenabay/config/diff.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace galenabay::config
{

namespace
{

template <typename T> std::map<std::string, const T*> by_name(const std::vector<T>& elements)
{
    std::map<std::string, const T*> index;
    for (const auto& element : elements)
    {
        index.emplace(element.name, &element);
    }
    return index;
}

const char* name_of(service_kind kind)
{
    return kind == service_kind::coap ? "coap" : "datagram";
}

/// Collects "KEY OLD -> NEW" for each key whose value differs.
class detail_list
{
public:
    void add(const char* key, const std::string& before, const std::string& after)
    {
        if (before != after)
        {
            text_ += (text_.empty() ? "" : ", ") + std::string{key} + " " + before + " -> " + after;
        }
    }
    void add(const char* key, std::uint64_t before, std::uint64_t after)
    {
        add(key, std::to_string(before), std::to_string(after));
    }
    void add(const char* key, bool before, bool after)
    {
        add(key, std::string{before ? "true" : "false"}, std::string{after ? "true" : "false"});
    }
    const std::string& text() const { return text_; }

private:
    std::string text_;
};

std::string describe(const service& before, const service& after)
{
    detail_list details;
    details.add("kind", std::string{name_of(before.kind)}, std::string{name_of(after.kind)});
    details.add("address", before.address.to_string(), after.address.to_string());
    details.add("draining", before.draining, after.draining);
    details.add("idle_timeout_s", std::uint64_t{before.flows.idle_timeout_s}, after.flows.idle_timeout_s);
    details.add("deadline_ms", std::uint64_t{before.requests.deadline_ms}, after.requests.deadline_ms);
    details.add("queue_limit", std::uint64_t{before.requests.queue_limit}, after.requests.queue_limit);
    details.add("retry_budget_percent", std::uint64_t{before.requests.retry_budget_percent},
                after.requests.retry_budget_percent);
    details.add("max_age_s", std::uint64_t{before.requests.max_age_s}, after.requests.max_age_s);
    return details.text();
}

std::string describe(const upstream& before, const upstream& after)
{
    detail_list details;
    details.add("endpoint", before.endpoint.to_string(), after.endpoint.to_string());
    details.add("data_centre", before.data_centre, after.data_centre);
    details.add("weight", std::uint64_t{before.weight}, after.weight);
    details.add("slots", std::uint64_t{before.slots}, after.slots);
    details.add("connections", std::uint64_t{before.connections}, after.connections);
    details.add("draining", before.draining, after.draining);
    return details.text();
}

bool takes_new_flows(const service& owner)
{
    return !owner.draining && std::any_of(owner.upstreams.begin(), owner.upstreams.end(),
                                          [](const upstream& target) { return !target.draining; });
}

/// Returns the share of new flows of each upstream that accepts them.
std::map<upstream_id, double> shares_of(const service& owner)
{
    std::map<upstream_id, double> shares;
    double total = 0;
    for (const auto& target : owner.upstreams)
    {
        if (!target.draining)
        {
            shares[id_of(owner, target)] = target.weight;
            total += target.weight;
        }
    }
    for (auto& [id, share] : shares)
    {
        share /= total;
    }
    return shares;
}

/// Returns the smallest share of new flows that has to move to another upstream;
/// weighted rendezvous hashing moves no more.
double moved_share(const service& before, const service& after)
{
    const auto old_shares = shares_of(before);
    double moved = 0;
    for (const auto& [id, share] : shares_of(after))
    {
        const auto found = old_shares.find(id);
        moved += std::max(0.0, share - (found == old_shares.end() ? 0.0 : found->second));
    }
    return old_shares.empty() ? 0.0 : moved;
}

/// Compares two states of one service and appends the findings to `out`.
class service_comparison
{
public:
    service_comparison(const service& before, const service& after, difference& out)
        : before_{before}, after_{after}, out_{out}
    {
    }

    void run()
    {
        if (const auto detail = describe(before_, after_); !detail.empty())
        {
            out_.changes.push_back({change_kind::service_changed, after_.name, detail});
        }
        if (before_.address != after_.address)
        {
            out_.hazards.push_back({after_.name, "its address changes from " + before_.address.to_string() + " to " +
                                                     after_.address.to_string() + " while callers use it"});
        }
        compare_upstreams();
        if (takes_new_flows(before_) && !after_.draining && !takes_new_flows(after_))
        {
            out_.hazards.push_back({after_.name, "no upstream is left that accepts new flows"});
        }
        forecast();
    }

private:
    void compare_upstreams()
    {
        const auto earlier = by_name(before_.upstreams);
        const auto later = by_name(after_.upstreams);
        for (const auto& [name, target] : later)
        {
            const auto path = after_.name + "/" + name;
            const auto found = earlier.find(name);
            if (found == earlier.end())
            {
                out_.changes.push_back({change_kind::upstream_added, path, ""});
                continue;
            }
            if (const auto detail = describe(*found->second, *target); !detail.empty())
            {
                out_.changes.push_back({change_kind::upstream_changed, path, detail});
            }
            if (found->second->endpoint != target->endpoint && !found->second->draining)
            {
                out_.hazards.push_back({path, "its endpoint changes before it has drained"});
            }
        }
        for (const auto& [name, target] : earlier)
        {
            if (!later.contains(name))
            {
                remove_upstream(*target);
            }
        }
    }

    void remove_upstream(const upstream& target)
    {
        const auto path = before_.name + "/" + target.name;
        out_.changes.push_back({change_kind::upstream_removed, path, ""});
        if (!target.draining && !before_.draining)
        {
            out_.hazards.push_back({path, "it is removed before it has drained"});
        }
    }

    void forecast()
    {
        const auto earlier = by_name(before_.upstreams);
        const auto starts_to_drain = [&](const upstream& target)
        {
            const auto found = earlier.find(target.name);
            return target.draining && found != earlier.end() && !found->second->draining;
        };
        flow_forecast expected;
        expected.service = after_.name;
        expected.moved_share = moved_share(before_, after_);
        expected.draining =
            static_cast<std::size_t>(std::count_if(after_.upstreams.begin(), after_.upstreams.end(), starts_to_drain));
        if (expected.moved_share > 0 || expected.draining > 0)
        {
            out_.forecasts.push_back(expected);
        }
    }

    const service& before_;
    const service& after_;
    difference& out_;
};

void find_reassigned_addresses(const service_set& before, const service_set& after, difference& out)
{
    std::map<base::endpoint, std::string> owners;
    for (const auto& element : before.services)
    {
        owners.emplace(element.address, element.name);
    }
    for (const auto& element : after.services)
    {
        const auto found = owners.find(element.address);
        if (found != owners.end() && found->second != element.name)
        {
            out.hazards.push_back({element.name, "it takes over the address " + element.address.to_string() +
                                                     " of service '" + found->second +
                                                     "' and would receive its flows"});
        }
    }
}

} // namespace

difference compare(const service_set& before, const service_set& after)
{
    difference out;
    const auto earlier = by_name(before.services);
    const auto later = by_name(after.services);
    for (const auto& [name, element] : later)
    {
        const auto found = earlier.find(name);
        if (found == earlier.end())
        {
            out.changes.push_back({change_kind::service_added, name, ""});
            continue;
        }
        service_comparison{*found->second, *element, out}.run();
    }
    for (const auto& [name, element] : earlier)
    {
        if (later.contains(name))
        {
            continue;
        }
        out.changes.push_back({change_kind::service_removed, name, ""});
        if (!element->draining)
        {
            out.hazards.push_back({name, "it is removed before it has drained"});
        }
    }
    find_reassigned_addresses(before, after, out);
    return out;
}

std::string to_string(const change& value)
{
    static constexpr const char* prefixes[] = {"+ service ",  "- service ",  "~ service ",
                                               "+ upstream ", "- upstream ", "~ upstream "};
    return prefixes[static_cast<std::size_t>(value.kind)] + value.name +
           (value.detail.empty() ? "" : ": " + value.detail);
}

const hazard* first_unforced_hazard(const difference& value, std::span<const std::string> forced)
{
    const auto refused = [&](const hazard& found)
    { return std::find(forced.begin(), forced.end(), found.name) == forced.end(); };
    const auto found = std::find_if(value.hazards.begin(), value.hazards.end(), refused);
    return found == value.hazards.end() ? nullptr : &*found;
}

} // namespace galenabay::config
