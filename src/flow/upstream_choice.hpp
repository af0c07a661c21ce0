#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace galenabay::flow
{

/// Largest number of versions of one service: the one in force and the
/// generations before it.
constexpr std::size_t max_versions = 9;
constexpr std::uint32_t no_upstream_index = 0x0fffffff;

/// Chooses the upstream for a key in each of several versions of one service.
///
/// Weighted rendezvous hashing: each upstream has a cost for a key that does not
/// depend on the other upstreams, and the lowest cost wins. A change therefore
/// moves only keys of the upstreams that it affects. All versions share the
/// hashes.
class upstream_choice
{
public:
    /// Adds the next older version; the first one added is the version in force.
    /// At most `max_versions`.
    void add_version();
    /// Adds an upstream that accepts new flows to the version added last.
    void add(std::uint32_t upstream, std::uint64_t id, std::uint32_t weight);

    std::size_t versions() const noexcept { return versions_.size(); }

    /// Writes the upstream of each version to `result`, `no_upstream_index`
    /// where a version has none. Returns true when all versions agree.
    /// `result` has at least `versions()` elements.
    bool choose_all(std::uint64_t key, std::span<std::uint32_t> result) const;

    /// Returns the upstream in the version in force among those for which
    /// `usable(upstream)` returns true; `no_upstream_index` when there is none.
    template <typename Predicate> std::uint32_t choose(std::uint64_t key, const Predicate& usable) const;

private:
    struct candidate
    {
        std::uint32_t upstream = 0;
        std::uint64_t id = 0;
    };
    struct member
    {
        std::uint32_t candidate = 0;
        std::uint32_t weight = 1;
    };
    struct version
    {
        std::vector<member> members;
        bool equal_weights = true;
    };

    std::uint32_t best_of(const version& table, std::span<const std::uint64_t> hashes) const noexcept;
    static double cost(std::uint64_t hash, std::uint32_t weight) noexcept;
    static std::uint64_t hash_of(const candidate& target, std::uint64_t key) noexcept;

    std::vector<candidate> candidates_;
    std::vector<version> versions_;
};

template <typename Predicate> std::uint32_t upstream_choice::choose(std::uint64_t key, const Predicate& usable) const
{
    std::uint32_t best = no_upstream_index;
    double lowest = 0;
    for (const auto& [index, weight] : versions_.front().members)
    {
        if (!usable(candidates_[index].upstream))
        {
            continue;
        }
        const double candidate_cost = cost(hash_of(candidates_[index], key), weight);
        if (best == no_upstream_index || candidate_cost < lowest)
        {
            best = candidates_[index].upstream;
            lowest = candidate_cost;
        }
    }
    return best;
}

} // namespace galenabay::flow
