#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/dispatch/request.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace galenabay::dispatch
{

/// A claim that is to be recorded by another host too.
struct replicated_claim
{
    std::string host;
    request_key key = 0;

    friend auto operator<=>(const replicated_claim&, const replicated_claim&) = default;
};

/// Replicates claims to new witnesses of this host, a few at a time, and sends
/// each again until it is answered or the attempts are used up.
class claim_replicator
{
public:
    /// Queues a claim, unless it is queued already or the queue is full.
    void add(const replicated_claim& claim);
    /// Stops sending a claim whose receiver has accepted or declined it.
    void on_reply(const replicated_claim& claim) { waiting_.erase(claim); }

    /// Returns the claims to send now.
    std::vector<replicated_claim> take_due(base::time_point now);

    /// Number of claims that are neither answered nor given up.
    std::size_t size() const noexcept { return waiting_.size(); }

private:
    struct attempt
    {
        replicated_claim claim;
        base::time_point due{};
        std::uint32_t sent_count = 0;
    };

    std::deque<attempt> queue_;
    std::set<replicated_claim> waiting_;
};

} // namespace galenabay::dispatch
