#pragma once

#include <galenabay/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace galenabay::flow
{

/// Coarse time of a flow entry in units of 16 ms. Only differences of less than
/// two years are meaningful.
class coarse_time
{
public:
    static constexpr std::int64_t unit_us = 16'000;

    constexpr coarse_time() noexcept = default;
    static constexpr coarse_time of(base::time_point now) noexcept
    {
        return coarse_time{static_cast<std::uint32_t>(now.time_since_epoch().count() / unit_us)};
    }

    /// Returns the time from `earlier` to this one; 0 when `earlier` is later.
    constexpr base::duration since(coarse_time earlier) const noexcept
    {
        const auto units = static_cast<std::int32_t>(units_ - earlier.units_);
        return base::duration{units < 0 ? 0 : units * unit_us};
    }

private:
    explicit constexpr coarse_time(std::uint32_t units) noexcept : units_{units} {}

    std::uint32_t units_ = 0;
};

/// State of one flow in the flow table. 16 bytes.
struct flow_entry
{
    /// Index of the upstream in `service_index`.
    std::uint32_t upstream : 28 = 0;
    /// The flow has received packets for longer than `flow_table::probation`.
    std::uint32_t established : 1 = 0;
    /// This host holds the entry on behalf of all hosts. It expires later,
    /// because the other hosts do not report each packet.
    std::uint32_t registered : 1 = 0;
    /// The flow was moved away from an unhealthy upstream.
    std::uint32_t moved : 1 = 0;
    std::uint32_t unused : 1 = 0;
    coarse_time first_seen;
    coarse_time last_seen;
    /// When the upstream was last selected, received in a record, or sent to the
    /// hosts that hold records of the flow.
    coarse_time confirmed;
};

/// Bounded map from flow key to upstream, held by one host.
///
/// Set-associative: the key selects one bucket of `ways` entries. A new flow
/// takes, in this order, a free entry, an expired one, or that of the flow on
/// probation with the longest idle time. Established flows may fill all but
/// `probation_ways` entries of a bucket, so a flood of new flows evicts only
/// other new flows. Owned by one thread.
class flow_table
{
public:
    static constexpr std::size_t ways = 16;
    /// Entries of a bucket that established flows can't take.
    static constexpr std::size_t probation_ways = 2;
    /// A flow that receives a packet this long after its first one becomes
    /// established.
    static constexpr base::duration probation{5'000'000};
    static constexpr std::uint64_t no_key = 0;

    /// `capacity` is in flows and is rounded up to whole buckets.
    explicit flow_table(std::size_t capacity);

    /// Returns nullptr when the flow is unknown.
    flow_entry* find(std::uint64_t key) noexcept;

    /// Adds a flow that the table does not contain. `is_expired(entry)` returns
    /// true for flows that have timed out. Never fails.
    template <typename Predicate>
    flow_entry& insert(std::uint64_t key, base::time_point now, const Predicate& is_expired);

    /// Sets the flow's last packet time to `now`; establishes it when its
    /// probation has ended.
    void touch(std::uint64_t key, flow_entry& entry, base::time_point now) noexcept;

    /// Marks a flow as established. When its bucket has no room for another
    /// established flow, the one with the longest idle time returns to
    /// probation.
    void establish(std::uint64_t key, flow_entry& entry) noexcept;

    /// Removes a flow; does nothing when it is unknown.
    void erase(std::uint64_t key) noexcept;

    std::size_t bucket_count() const noexcept { return buckets_.size(); }

    /// Calls `visit(key, entry)` for each flow of a bucket and erases the flows
    /// for which it returns false.
    template <typename Visitor> void visit_bucket(std::size_t bucket, const Visitor& visit);

    std::size_t size() const noexcept { return size_; }
    std::size_t memory_bytes() const noexcept { return buckets_.size() * sizeof(bucket); }
    std::uint64_t evicted_idle() const noexcept { return evicted_idle_; }
    std::uint64_t evicted_full() const noexcept { return evicted_full_; }
    /// Counts a flow that the caller erases because it has timed out.
    void count_idle_eviction() noexcept { ++evicted_idle_; }

private:
    struct bucket
    {
        std::array<std::uint64_t, ways> keys{};
        std::array<flow_entry, ways> entries{};
    };

    bucket& bucket_of(std::uint64_t key) noexcept;
    std::size_t longest_idle(const bucket& target, bool established, coarse_time now) const noexcept;
    flow_entry& assign(bucket& target, std::size_t way, std::uint64_t key, coarse_time now) noexcept;

    std::vector<bucket> buckets_;
    std::size_t size_ = 0;
    std::uint64_t evicted_idle_ = 0;
    std::uint64_t evicted_full_ = 0;
};

template <typename Predicate>
flow_entry& flow_table::insert(std::uint64_t key, base::time_point now, const Predicate& is_expired)
{
    bucket& target = bucket_of(key);
    const auto time = coarse_time::of(now);
    for (std::size_t way = 0; way < ways; ++way)
    {
        if (target.keys[way] == no_key)
        {
            ++size_;
            return assign(target, way, key, time);
        }
    }
    for (std::size_t way = 0; way < ways; ++way)
    {
        if (is_expired(target.entries[way]))
        {
            ++evicted_idle_;
            return assign(target, way, key, time);
        }
    }
    ++evicted_full_;
    return assign(target, longest_idle(target, false, time), key, time);
}

template <typename Visitor> void flow_table::visit_bucket(std::size_t index, const Visitor& visit)
{
    bucket& target = buckets_[index];
    for (std::size_t way = 0; way < ways; ++way)
    {
        if (target.keys[way] != no_key && !visit(target.keys[way], target.entries[way]))
        {
            target.keys[way] = no_key;
            --size_;
        }
    }
}

} // namespace galenabay::flow
