#pragma once

#include <galenabay/base/random.hpp>
#include <galenabay/steer/configuration.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace galenabay::steer
{

/// Which service takes the new flows to an address and port. Adopts newer
/// versions only. Not thread-safe; owned by the `steerer`.
class route_table
{
public:
    /// False when `next` is not newer than the version in force.
    bool adopt(const configuration& next);

    /// 0 before the first version.
    std::uint64_t version() const noexcept { return version_; }
    base::duration idle_timeout() const noexcept { return idle_timeout_; }
    std::size_t size() const noexcept { return routes_.size(); }

    /// Draws a service by the route's weights; null when there is no route.
    const std::string* select_service(std::uint32_t address, std::uint16_t port, base::random_source& random) const;
    /// True when an earlier version had a route that the version in force dropped.
    bool was_removed(std::uint32_t address, std::uint16_t port) const;

private:
    static std::uint64_t key_of(std::uint32_t address, std::uint16_t port)
    {
        return (std::uint64_t{address} << 16U) | port;
    }

    std::uint64_t version_ = 0;
    base::duration idle_timeout_{0};
    std::unordered_map<std::uint64_t, std::vector<weighted_service>> routes_;
    std::unordered_set<std::uint64_t> removed_;
};

} // namespace galenabay::steer
