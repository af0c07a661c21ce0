#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/steer/upstream_registry.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace galenabay::steer
{

/// Recognises flows that an upstream rejects by a short answer. The host does not see answers, only
/// how far the caller has acknowledged them, so a rejection is an answer that is far shorter than
/// those of the service usually are. Where flows carry one request, the time to it does not tell: it
/// contains the wait in a queue.
///
/// Keeps the mean and the mean deviation of the logarithm of the answers' sizes. A service whose
/// answers differ widely has a large deviation, and none of its flows counts as rejected.
class answer_sizes
{
public:
    /// Time from a request to the end of a rejected flow where flows carry one request. An upstream whose queue is full
    /// may reject only when it gets to the request: 20 to 90 ms later in a burst. An answer after the callers' answer
    /// target (400 ms) has another cause.
    static constexpr base::duration short_flow_limit = std::chrono::milliseconds{400};
    /// The same for other services, whose requests differ within a flow, so that its last answer may be short for
    /// another reason: less than a request takes to process (15 ms).
    static constexpr base::duration long_flow_limit = std::chrono::milliseconds{10};

    /// Records a flow that ended `elapsed` after its last request, of whose answer the caller
    /// acknowledged `size` bytes. Returns true when the upstream rejected it, within `limit`.
    bool on_end(std::uint32_t size, base::duration elapsed, base::duration limit)
    {
        if (size == 0)
        {
            // The caller closed its side before the answer, or cancelled the request.
            return false;
        }
        const double difference = std::log2(static_cast<double>(size)) - mean_;
        const bool rejected = samples_ >= required_samples && elapsed <= limit &&
                              difference < -std::max(least_difference, deviations * deviation_);
        if (samples_ < required_samples)
        {
            ++samples_;
        }
        // Rejections move the mean a little, too: the service's answers may have become shorter.
        const double gain = rejected ? rejection_gain : std::max(1.0 / samples_, least_gain);
        mean_ += gain * difference;
        deviation_ += rejected ? 0 : gain * (std::abs(difference) - deviation_);
        return rejected;
    }

private:
    /// Answers that tell what is typical.
    static constexpr std::uint32_t required_samples = 32;
    static constexpr double least_gain = 1.0 / 64;
    static constexpr double rejection_gain = 1.0 / 512;
    /// Base-2 logarithm of the least ratio of a typical answer's size to that of a rejection.
    static constexpr double least_difference = 2;
    /// Mean deviations between a typical size and that of a rejection: 0.1 % of log-normal sizes
    /// are further away.
    static constexpr double deviations = 4;

    std::uint32_t samples_ = 0;
    double mean_ = 0;
    double deviation_ = 0;
};

/// Time after a rejection for which the upstream counts as rejecting.
constexpr base::duration rejection_memory = std::chrono::seconds{1};

/// Returns the addition to the upstream's load because of the flows that it has rejected. It halves
/// every 250 ms and ends with `rejection_memory`: even a small rest would decide between idle
/// upstreams.
inline double rejection_load(const upstream_incarnation& upstream, base::time_point now)
{
    constexpr double half_life_s = 0.25;
    const std::chrono::duration<double> age = now - upstream.rejected_at;
    if (upstream.rejection_penalty <= 0 || age >= rejection_memory)
    {
        return 0;
    }
    return upstream.rejection_penalty * std::exp2(-age.count() / half_life_s);
}

/// Counts a rejected flow against the upstream.
inline void record_rejection(upstream_incarnation& upstream, base::time_point now)
{
    // An upstream whose queue of eight requests is full has about this load per slot more than one
    // without a queue; the bound lets it return within about a second.
    constexpr double penalty = 8;
    constexpr double max_penalty = 2 * penalty;
    upstream.rejection_penalty = std::min(max_penalty, rejection_load(upstream, now) + penalty);
    upstream.rejected_at = now;
    ++upstream.rejected_flows;
}

/// Returns true when the upstream rejected a flow of this host within `rejection_memory`.
inline bool is_rejecting(const upstream_incarnation& upstream, base::time_point now)
{
    return upstream.rejected_flows > 0 && now - upstream.rejected_at < rejection_memory;
}

} // namespace galenabay::steer
