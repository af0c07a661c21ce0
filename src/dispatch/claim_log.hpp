#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/dispatch/request.hpp>

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenabay::dispatch
{

/// A request that another host has claimed.
struct remote_claim
{
    std::string holder;
    std::uint64_t sequence = 0;
    /// Last time a retransmission was relayed to the holder.
    base::time_point last_relayed = base::time_point::min();
};

/// The claims of other hosts that this host has accepted as a witness.
///
/// A claim is kept for as long as its caller may retransmit. When the log is
/// full, new claims are declined: evicting one could let a request run twice.
class claim_log
{
public:
    explicit claim_log(base::duration retention) : retention_{retention} {}

    /// Records a claim. Returns false when another claim for the key is recorded,
    /// or the log is full. A repeated claim is accepted again.
    bool accept(request_key key, const std::string& holder, std::uint64_t sequence, base::time_point now);

    /// Returns the accepted claim for a key; null when there is none.
    remote_claim* find(request_key key);

    /// Returns the keys of the claims that were accepted less than `span` ago and
    /// whose holder fulfils `predicate`.
    template <typename Predicate>
    std::vector<request_key> recent(base::duration span, base::time_point now, Predicate predicate) const
    {
        std::vector<request_key> keys;
        for (auto entry = order_.rbegin(); entry != order_.rend() && now - entry->added < span; ++entry)
        {
            if (const auto known = claims_.find(entry->key); known != claims_.end() && predicate(known->second.holder))
            {
                keys.push_back(entry->key);
            }
        }
        return keys;
    }

    /// Erases expired claims.
    void on_tick(base::time_point now);

private:
    struct timestamped_key
    {
        request_key key = 0;
        base::time_point added{};
    };

    base::duration retention_;
    std::unordered_map<request_key, remote_claim> claims_;
    std::deque<timestamped_key> order_;
};

} // namespace galenabay::dispatch
