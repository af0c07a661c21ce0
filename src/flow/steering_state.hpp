#pragma once

#include "flow_table.hpp"
#include "service_index.hpp"

#include <galenabay/flow/steering.hpp>

#include <array>
#include <optional>

namespace galenabay::flow
{

/// Implementation of `steering`.
class steering::state
{
public:
    explicit state(steering_settings settings);

    void on_revision(const config::accepted_revision& revision, base::time_point now);
    void on_hosts(std::span<const membership::live_host> hosts, base::time_point now);
    void on_health(config::upstream_id upstream, bool healthy, base::time_point now);
    decision on_packet(const base::endpoint& caller, const base::endpoint& address, std::uint8_t hops,
                       base::time_point now);
    void on_upstream_packet(const base::endpoint& caller, const base::endpoint& address, const base::endpoint& upstream,
                            base::time_point now);
    void on_records(std::span<const flow_record> records, base::time_point now);
    std::vector<flow_record> take_records(std::size_t host, std::size_t budget_bytes, base::time_point now);
    void on_tick(base::time_point now, bool paused);
    bool may_reach(const base::endpoint& address, const base::endpoint& upstream) const;
    const steering_counters& counters() noexcept;

private:
    decision drop(drop_reason reason);
    decision forward(std::uint32_t upstream);
    decision decide_unknown(std::uint32_t service, std::uint64_t key, base::time_point now);
    bool is_expired(const flow_entry& entry, base::time_point now) const;

    steering_settings settings_;
    service_index index_;
    flow_table table_;
    std::vector<membership::live_host> hosts_;
    std::uint64_t revision_ = 0;
    base::time_point now_{};
    steering_counters counters_;
};

} // namespace galenabay::flow
