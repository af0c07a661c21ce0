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

/// Where a request that this host decides stands.
enum class request_phase
{
    /// Waits for the witnesses of its claim.
    claiming,
    /// Waits for a slot.
    queued,
    /// Waits for a retry.
    backing_off,
    /// Runs at one or more upstreams.
    running,
    /// Is about to be refused; the witnesses are asked whether it may have run.
    refusing,
    /// Another host holds it.
    claimed_elsewhere,
};

enum class run_state
{
    waiting,
    refused,
    abandoned,
};

/// One sending of a request to an upstream.
struct upstream_run
{
    config::upstream_id upstream = 0;
    base::endpoint endpoint;
    base::time_point sent{};
    run_state state = run_state::waiting;
    /// True: counts among the slots held by the long class.
    bool is_long = false;
};

/// A host that is asked to remember a request before it runs or is refused.
struct claim_witness
{
    std::string host;
    bool acknowledged = false;
    /// True: decides for another home of the request and is never passed over.
    bool is_required = false;
};

/// The question to the witnesses. The sequence belongs to one host's one
/// request and stays the same when the question is repeated.
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
    /// True: goes to the upstream that served the first block, and waits apart
    /// from the queue.
    bool is_pinned = false;
    /// Queue position; meaningful in phase `queued` when not pinned.
    queue_position position;
    std::vector<upstream_run> runs;
    claim own_claim;
    /// Earliest time of a retry or hedge.
    base::time_point next_attempt = base::time_point::max();
    /// Reason of the retry under way, counted when it is sent.
    retry_reason retry = retry_reason::upstream_refused;
    /// Reason of the refusal under way, in phase `refusing`.
    refusal refusal_reason = refusal::queue_full;

    /// True when an upstream may have run it.
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
