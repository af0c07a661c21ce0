#pragma once

#include <galenabay/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace galenabay::steer
{

/// Rate of events over the last second. Not thread-safe.
class rate_window
{
public:
    void count(base::time_point now, std::uint32_t events = 1)
    {
        advance(now);
        buckets_[static_cast<std::size_t>(newest_ % bucket_count)] += events;
    }

    /// Events per second.
    double rate(base::time_point now)
    {
        advance(now);
        const auto in_newest = now.time_since_epoch() % bucket_time;
        const std::chrono::duration<double> covered = bucket_time * (bucket_count - 1) + in_newest;
        return std::accumulate(buckets_.begin(), buckets_.end(), 0.0) / covered.count();
    }

    /// Mean time that `latest` covers.
    static constexpr base::duration latest_time = std::chrono::milliseconds{450};
    /// Number of events in the last 400 to 500 ms.
    std::uint32_t latest(base::time_point now)
    {
        advance(now);
        std::uint32_t events = 0;
        for (std::int64_t back = 0; back < latest_buckets; ++back)
        {
            events += buckets_[static_cast<std::size_t>((newest_ + bucket_count - back) % bucket_count)];
        }
        return events;
    }

private:
    static constexpr std::int64_t bucket_count = 10;
    static constexpr base::duration bucket_time = std::chrono::milliseconds{100};
    static constexpr std::int64_t latest_buckets = 5;

    void advance(base::time_point now)
    {
        const auto current = now.time_since_epoch() / bucket_time;
        if (current - newest_ >= bucket_count)
        {
            buckets_.fill(0);
            newest_ = current;
        }
        while (newest_ < current)
        {
            ++newest_;
            buckets_[static_cast<std::size_t>(newest_ % bucket_count)] = 0;
        }
    }

    std::array<std::uint32_t, bucket_count> buckets_{};
    std::int64_t newest_ = 0;
};

} // namespace galenabay::steer
