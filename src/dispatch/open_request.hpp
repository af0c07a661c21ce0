#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/dispatch/action.hpp>
#include <galenabay/dispatch/request.hpp>

#include "admission_queue.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace galenabay::dispatch
{

/// State of a request that this host decides.
enum class request_phase
{
    /// Waits until witnesses have acknowledged its claim.
    claiming,
    /// Waits for a slot.
    queued,
    /// Waits for a retry.
    backing_off,
    /// Runs at one or more upstreams.
    running,
    /// Is about to be refused; waits until witnesses have confirmed that it hasn't
    /// run.
    refusing,
    /// Another host holds the claim or may have run the request.
    claimed_elsewhere,
};

/// State of one attempt to run a request at an upstream.
enum class run_state
{
    /// Sent, and not answered yet.
    waiting,
    /// Answered with 5.03: the request did not run.
    refused,
    /// Ended in any other way: answered, or given up by this host.
    abandoned,
};

/// One attempt to run a request at an upstream.
struct upstream_run
{
    config::upstream_id upstream = 0;
    base::endpoint endpoint;
    base::time_point sent{};
    run_state state = run_state::waiting;
    /// True: counts among the slots held by the long class.
    bool is_long = false;
};

/// A host that is asked to record this host's claim on a request before the
/// request runs or is refused, and whether it has acknowledged the claim.
struct claim_witness
{
    std::string host;
    bool acknowledged = false;
    /// True: decides for another home of the request, so that its acknowledgement
    /// can't be left out.
    bool is_required = false;
};

/// This host's claim on a request, which the witnesses accept or decline. The
/// sequence identifies the claim among those of this host and stays the same when
/// the intents are sent again.
struct claim
{
    std::uint64_t sequence = 0;
    bool is_granted = false;
    std::vector<claim_witness> witnesses;
    base::time_point requested_at{};
    base::time_point next_send{};
};

/// A request that this host decides and that isn't finished.
struct open_request
{
    request arrived;
    request_phase phase = request_phase::queued;
    base::time_point deadline{};
    /// True: goes to the upstream that served the first block, and waits in
    /// `service_state::pinned` instead of the queue.
    bool is_pinned = false;
    /// Queue position; meaningful in phase `queued` when not pinned.
    queue_position position;
    std::vector<upstream_run> runs;
    claim own_claim;
    /// Earliest time of a retry or hedge.
    base::time_point next_attempt = base::time_point::max();
    /// Reason of the next retry, counted when it is sent.
    retry_reason retry = retry_reason::upstream_refused;
    /// Reason of the pending refusal; meaningful in phase `refusing`.
    refusal refusal_reason = refusal::queue_full;

    /// Returns true when an upstream may have run it.
    bool may_have_run() const noexcept
    {
        for (const auto& run : runs)
        {
            if (run.state != run_state::refused)
            {
                return true;
            }
        }
        return false;
    }
};

} // namespace galenabay::dispatch
