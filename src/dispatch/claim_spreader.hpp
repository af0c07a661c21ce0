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
struct spread_claim
{
    std::string host;
    request_key key = 0;

    friend auto operator<=>(const spread_claim&, const spread_claim&) = default;
};

/// Passes claims on to hosts that newly witness for this one, a few at a time,
/// and repeats each until it is answered or a few attempts have been made.
class claim_spreader
{
public:
    void add(const spread_claim& claim);
    void on_reply(const spread_claim& claim) { waiting_.erase(claim); }

    /// Claims to send now.
    std::vector<spread_claim> take(base::time_point now);

    std::size_t size() const noexcept { return waiting_.size(); }

private:
    struct attempt
    {
        spread_claim claim;
        base::time_point due{};
        std::uint32_t made = 0;
    };

    std::deque<attempt> queue_;
    std::set<spread_claim> waiting_;
};

} // namespace galenabay::dispatch
