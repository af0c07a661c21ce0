#pragma once

#include "settings.hpp"

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/wire/coap_view.hpp>
#include <galenabay/wire/proxy_header.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace galenabay::stand_in
{

/// Where a datagram came from and where its answer goes. Plain value.
struct origin
{
    base::endpoint sender;
    wire::proxy_header header;
};

/// One request that waits or runs. Plain value.
struct job
{
    origin from;
    wire::coap_view request;
    std::string nonce;
    /// Later than this the job is not started; the epoch when none was given.
    base::time_point deadline;
    base::time_point ends;
    /// Identity of the run; 0 while the job waits.
    std::uint64_t run = 0;
};

/// The slots of one upstream and the bounded backlog in front of them. Owned by
/// one thread.
class run_queue
{
public:
    run_queue(const stub_settings& settings, std::uint64_t seed) : settings_{settings}, random_{seed} {}

    /// False when slots and backlog are full.
    bool try_enqueue(job work);

    /// Starts what fits into free slots; returns the started jobs. Jobs past their
    /// deadline go to `expired`.
    std::vector<job> start_queued(base::time_point now, std::vector<job>& expired);

    /// Removes and returns the jobs that have ended.
    std::vector<job> take_finished(base::time_point now);

    /// Removes a caller's job by message id, waiting or running.
    std::optional<job> cancel(const base::endpoint& caller, std::uint16_t message_id);

    /// Removes and returns the jobs that run; forgets those that wait.
    std::vector<job> clear();

    std::size_t running() const noexcept { return running_.size(); }
    bool contains(const base::endpoint& caller, std::uint16_t message_id) const;

    /// Runs take `factor` times as long from now on.
    void set_slowdown(double factor) { slowdown_ = factor; }
    /// Runs that start before `end` take longer, as after a start.
    void set_cold_until(base::time_point end) { cold_until_ = end; }

private:
    base::duration sample_service_time(const job& work, base::time_point now);

    stub_settings settings_;
    base::random_source random_;
    double slowdown_ = 1;
    base::time_point cold_until_{};
    std::uint64_t last_run_ = 0;
    std::deque<job> waiting_;
    std::vector<job> running_;
};

} // namespace galenabay::stand_in
