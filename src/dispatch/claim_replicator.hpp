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

/// A claim that another host is to remember too.
struct replicated_claim
{
    std::string host;
    request_key key = 0;

    friend auto operator<=>(const replicated_claim&, const replicated_claim&) = default;
};

/// Passes claims on to hosts that newly witness for this one, a few at a time,
/// and repeats each until it is answered or a few attempts have been made.
class claim_replicator
{
public:
    void add(const replicated_claim& claim);
    void on_reply(const replicated_claim& claim) { waiting_.erase(claim); }

    /// Claims to send now.
    std::vector<replicated_claim> take_due(base::time_point now);

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
