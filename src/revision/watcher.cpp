#include <galenabay/revision/watcher.hpp>

#include <galenabay/base/hash.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace galenabay::revision
{

namespace
{

constexpr std::uint64_t rank_seed = 0x77617463686572ULL;

std::pair<std::uint64_t, std::string> rank_of(const std::string& host)
{
    return {base::hash_text(host, rank_seed), host};
}

} // namespace

bool is_watcher(std::span<const std::string> live_hosts, const std::string& self, std::size_t count)
{
    const auto own = rank_of(self);
    const auto before = std::count_if(live_hosts.begin(), live_hosts.end(),
                                      [&](const std::string& host) { return rank_of(host) < own; });
    return static_cast<std::size_t>(before) < count;
}

} // namespace galenabay::revision
