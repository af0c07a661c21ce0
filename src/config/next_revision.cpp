#include <galenabay/config/codec.hpp>

#include "service_set_schema.hpp"

#include <galenabay/base/invariant.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace galenabay::config
{

namespace
{

bool same_target(const upstream& a, const upstream& b)
{
    return a.name == b.name && a.endpoint == b.endpoint && a.weight == b.weight && a.draining == b.draining;
}

/// Returns true when both states have the same address and give every flow the
/// same upstream.
bool has_equal_routing(const service& a, const service& b)
{
    return a.address == b.address &&
           std::equal(a.upstreams.begin(), a.upstreams.end(), b.upstreams.begin(), b.upstreams.end(), same_target);
}

void push_generation(std::vector<generation>& generations, std::uint64_t last_revision, const service& state)
{
    generations.insert(generations.begin(), generation{last_revision, state.address, state.upstreams});
    if (generations.size() > max_generations)
    {
        generations.resize(max_generations);
    }
}

bool is_lineage_expired(const std::vector<generation>& generations, std::uint64_t number)
{
    return generations.empty() || generations.front().last_revision + removed_service_revisions < number;
}

} // namespace

accepted_revision make_next_revision(const accepted_revision* previous, service_set next, std::string author,
                                     std::int64_t accepted_at)
{
    accepted_revision revision;
    revision.set = sorted(std::move(next));
    revision.digest = digest_of(revision.set);
    revision.author = std::move(author);
    revision.accepted_at = accepted_at;
    revision.number = previous == nullptr ? 1 : previous->number + 1;
    if (previous == nullptr)
    {
        return revision;
    }
    std::map<std::string, const service*> current;
    for (const auto& element : revision.set.services)
    {
        current.emplace(element.name, &element);
    }
    revision.lineage = previous->lineage;
    for (const auto& earlier : previous->set.services)
    {
        const auto found = current.find(earlier.name);
        if (found == current.end() || !has_equal_routing(*found->second, earlier))
        {
            push_generation(revision.lineage[earlier.name], previous->number, earlier);
        }
    }
    std::erase_if(revision.lineage, [&](const auto& entry)
                  { return !current.contains(entry.first) && is_lineage_expired(entry.second, revision.number); });
    GALENABAY_INVARIANT(revision.number > previous->number);
    return revision;
}

} // namespace galenabay::config
