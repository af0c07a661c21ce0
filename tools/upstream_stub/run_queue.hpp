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

/// Source of a datagram, to which its answer is sent. Plain value.
struct origin
{
    base::endpoint sender;
    wire::proxy_header header;
};

/// A queued or running request. Plain value.
struct job
{
    origin from;
    wire::coap_view request;
    std::string nonce;
    /// The job is not started after this time; the epoch if there is no deadline.
    base::time_point deadline;
    base::time_point ends;
    /// Identifies the run; 0 while the job is queued.
    std::uint64_t run = 0;
};

/// Execution slots of one upstream and the bounded queue for them. Owned by one thread.
class run_queue
{
public:
    run_queue(const stub_settings& settings, std::uint64_t seed) : settings_{settings}, random_{seed} {}

    /// Adds a job; returns false if slots and backlog are full.
    bool try_enqueue(job work);

    /// Starts queued jobs while slots are free and returns them. Jobs past their deadline
    /// are moved to `expired`.
    std::vector<job> start_queued(base::time_point now, std::vector<job>& expired);

    /// Removes and returns the finished jobs.
    std::vector<job> take_finished(base::time_point now);

    /// Removes a caller's job by message id, whether queued or running.
    std::optional<job> cancel(const base::endpoint& caller, std::uint16_t message_id);

    /// Removes all jobs; returns those that were running.
    std::vector<job> clear();

    std::size_t running() const noexcept { return running_.size(); }
    bool contains(const base::endpoint& caller, std::uint16_t message_id) const;

    /// Sets the factor by which later runs take longer.
    void set_slowdown(double factor) { slowdown_ = factor; }
    /// Makes runs that start before `end` take longer, like those after a cold start.
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
