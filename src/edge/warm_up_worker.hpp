#pragma once

#include "call_queue.hpp"
#include "edge_metrics.hpp"
#include "shared_state.hpp"

#include <galenabay/base/ring.hpp>
#include <galenabay/net/wakeup_event.hpp>
#include <galenabay/steer/warm_up_claims.hpp>
#include <platform/store_client.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace galenabay::edge
{

/// A call to the store about owners of starting upstreams.
struct warm_up_call
{
    enum class kind
    {
        /// Create the object `name` for the incarnation `token`, or read it when it exists.
        claim,
        /// Remove the object `name`.
        remove,
        /// Read the names of all objects.
        list,
    };

    kind what = kind::list;
    steer::upstream_token token = 0;
    std::string name;
    /// For a claim: the processes that the object is to list, this one first.
    std::vector<steer::share_holder> holders{};
};

/// Result of a claim or list.
struct warm_up_report
{
    warm_up_call::kind what = warm_up_call::kind::list;
    steer::claim_answer claim{};
    /// Names of all objects, for a list.
    std::vector<std::string> names{};
};

/// Makes the calls to the store that decide which host owns a starting upstream, on a thread of its
/// own, and passes the results to the packet thread. Makes none that was not requested.
class warm_up_worker
{
public:
    /// `consumer` belongs to the packet thread and outlives this worker.
    warm_up_worker(steer::share_holder self, shared_state& state, edge_metrics& metrics, net::wakeup_event& consumer);
    warm_up_worker(const warm_up_worker&) = delete;
    warm_up_worker& operator=(const warm_up_worker&) = delete;
    ~warm_up_worker();

    /// Starts the thread, which ends when the state says that the process stops.
    void start();

    /// Requests a call; called on the packet thread. Returns false when too many wait.
    bool request(warm_up_call call);
    /// Takes a result; called on the packet thread. Returns null when there is none.
    std::shared_ptr<const warm_up_report> take_report();
    bool has_reports() const { return reports_.size() > 0; }

private:
    /// Upstreams of a data centre in a large deployment that start at once.
    static constexpr std::size_t ring_capacity = 256;

    void run();
    /// Makes the calls that wait, and sleeps until there are others.
    void run_step();
    void make_call(const warm_up_call& call);
    /// Answers a claim whose call ended with an exception, so that it is repeated as after a call without an answer.
    void answer_failed(const warm_up_call& call);
    steer::claim_answer claim(const warm_up_call& call);
    void remove(const std::string& name);
    void list();
    /// Logs and counts a failed call.
    void report_failure(const char* event, const std::string& name, const base::error& failure);
    void push(warm_up_report report);

    steer::share_holder self_;
    shared_state& state_;
    edge_metrics& metrics_;
    net::wakeup_event& consumer_;
    net::wakeup_event wakeup_;
    call_queue<warm_up_call> calls_{ring_capacity};
    base::ring<std::shared_ptr<const warm_up_report>> reports_{ring_capacity};
    std::thread thread_;
};

} // namespace galenabay::edge
