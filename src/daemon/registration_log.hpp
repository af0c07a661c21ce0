#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/hash.hpp>
#include <galenabay/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace galenabay::daemon
{

/// Observe registrations that this host forwarded within `retention`, at most `capacity` of them. They distinguish a
/// response to a registration that carries no Observe option from a stray response. Owned by the decide thread.
class registration_log
{
public:
    static constexpr std::size_t capacity = 65536;
    static constexpr base::duration retention{60'000'000};

    /// Records a registration that was forwarded at `now`.
    void add(const base::endpoint& caller, const base::endpoint& service, std::uint64_t token, base::time_point now)
    {
        const auto key = key_of(caller, service, token);
        expires_[key] = now + retention;
        order_.emplace_back(now + retention, key);
        remove_expired(now);
    }

    /// Returns true if the registration was recorded and `retention` has not passed since.
    bool contains(const base::endpoint& caller, const base::endpoint& service, std::uint64_t token,
                  base::time_point now) const
    {
        const auto found = expires_.find(key_of(caller, service, token));
        return found != expires_.end() && now < found->second;
    }

private:
    static std::uint64_t key_of(const base::endpoint& caller, const base::endpoint& service, std::uint64_t token)
    {
        return base::mix(base::hash_endpoint(caller, base::hash_endpoint(service)), token);
    }

    void remove_expired(base::time_point now)
    {
        while (!order_.empty() && (order_.front().first <= now || order_.size() > capacity))
        {
            const auto [when, key] = order_.front();
            if (const auto found = expires_.find(key); found != expires_.end() && found->second == when)
            {
                expires_.erase(found);
            }
            order_.pop_front();
        }
    }

    std::unordered_map<std::uint64_t, base::time_point> expires_;
    std::deque<std::pair<base::time_point, std::uint64_t>> order_;
};

} // namespace galenabay::daemon
