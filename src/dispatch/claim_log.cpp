#include "claim_log.hpp"

#include <cstddef>

namespace galenabay::dispatch
{

namespace
{

constexpr std::size_t max_claims = 1U << 20U;

} // namespace

bool claim_log::accept(request_key key, const std::string& holder, std::uint64_t sequence, base::time_point now)
{
    if (const auto known = claims_.find(key); known != claims_.end())
    {
        return known->second.holder == holder && known->second.sequence == sequence;
    }
    if (claims_.size() >= max_claims)
    {
        return false;
    }
    claims_.emplace(key, remote_claim{holder, sequence});
    order_.push_back({key, now});
    return true;
}

remote_claim* claim_log::find(request_key key)
{
    const auto known = claims_.find(key);
    return known == claims_.end() ? nullptr : &known->second;
}

void claim_log::on_tick(base::time_point now)
{
    while (!order_.empty() && now - order_.front().added > retention_)
    {
        claims_.erase(order_.front().key);
        order_.pop_front();
    }
}

} // namespace galenabay::dispatch
