#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/config/service_set.hpp>

#include "admission_queue.hpp"
#include "retry_budget.hpp"
#include "shard_map.hpp"
#include "upstream_pool.hpp"
#include "work_estimator.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace galenabay::dispatch
{

/// A replaced shard map. Until `until`, a retransmitted request may have run
/// where this map assigned it.
struct former_map
{
    shard_map map;
    base::time_point until{};
};

/// State of one service at this host. Owned by `dispatcher::state`.
struct service_state
{
    config::service settings;
    shard_map map;
    std::vector<former_map> former_maps;
    /// Live hosts of each data centre in the order in which they decide.
    std::map<std::string, std::vector<std::string>> deciders;
    /// Hosts that are witnesses of this host's claims.
    std::vector<std::string> witnesses;
    /// Hosts of other data centres that are witnesses too for a while after this
    /// host's start: some, or all when there are few neighbours.
    std::vector<std::string> remote_witnesses;
    upstream_pool pool;
    admission_queue queue;
    /// Requests that have to go to one particular upstream, oldest first.
    std::deque<request_key> pinned;
    retry_budget budget;
    work_estimator estimator;
    /// Slots held by requests of the long class.
    std::uint32_t long_running = 0;
    /// Requests that are open here, in any phase.
    std::uint32_t open = 0;
};

} // namespace galenabay::dispatch
