#pragma once

#include <algorithm>

namespace galenabay::steer
{

/// Limits the retransmitted SYNs that go to a further upstream to a share of the new flows. An
/// upstream without room answers late, so each of its callers would otherwise load a second one.
class retry_budget
{
public:
    void on_new_flow() { tokens_ = std::min(max_tokens, tokens_ + share); }

    /// Returns true when one more SYN may go to a further upstream.
    bool take()
    {
        const bool allowed = tokens_ >= 1;
        tokens_ -= allowed ? 1 : 0;
        return allowed;
    }

private:
    static constexpr double share = 0.1;
    /// Retransmissions come in bursts, 200 ms after the SYNs of one moment; a host gets about
    /// 20 new flows a second.
    static constexpr double max_tokens = 4;

    double tokens_ = 1;
};

} // namespace galenabay::steer
