#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/config/service_set.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace galenabay::dispatch
{

/// Which upstream served the first block of an answer, so that the other
/// blocks come from the same one.
class block_affinity
{
public:
    explicit block_affinity(base::duration memory) : memory_{memory} {}

    /// `transfer`: hash of caller, service and path.
    void remember(std::uint64_t transfer, config::upstream_id upstream, base::time_point now);
    std::optional<config::upstream_id> find(std::uint64_t transfer) const;
    void on_tick(base::time_point now);

private:
    struct entry
    {
        config::upstream_id upstream = 0;
        base::time_point used{};
    };
    struct dated_transfer
    {
        std::uint64_t transfer = 0;
        base::time_point at{};
    };

    base::duration memory_;
    std::unordered_map<std::uint64_t, entry> entries_;
    std::deque<dated_transfer> order_;
};

} // namespace galenabay::dispatch
