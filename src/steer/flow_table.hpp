#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/steer/packet_header.hpp>

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <unordered_map>

namespace galenabay::steer
{

/// Retransmissions of one packet after which its upstream counts as silent for the flow:
/// the caller has then waited 200 ms and 400 ms, and a live upstream would have
/// acknowledged the first retransmission.
constexpr std::uint8_t silence_retransmissions = 2;

/// State of a flow as seen by this host. Used for load and failure detection only:
/// packets are steered by their tokens, also those of a flow that is not in the table.
struct flow_state
{
    upstream_token token = 0;
    /// Time from the SYN to the packet that showed its answer; 0 when this host did not see both.
    std::uint32_t round_trip_us = 0;
    base::time_point last_seen{};
    /// When this host saw the flow's SYN, or its first packet when the SYN went through another host.
    base::time_point opened_at{};
    /// When the newest request was sent that the upstream has answered since, as far as is certain:
    /// the upstream ran then, or later.
    base::time_point answered_request_at{};
    /// When this host first saw the caller's newest data.
    base::time_point sent_at{};
    /// Sequence number of the caller's newest data.
    std::uint32_t sequence = 0;
    /// Highest acknowledgement number that the caller has sent.
    std::uint32_t acknowledged = 0;
    /// `acknowledged` when the newest data was sent: what follows is its answer.
    std::uint32_t answer_start = 0;
    /// Number of times that the newest data was seen again.
    std::uint8_t retransmissions = 0;
    /// Requests that were seen: 0, 1, or 2 for more.
    std::uint8_t requests = 0;
    /// Requests that the upstream had when the last one came, it included.
    std::uint16_t open_requests = 0;
    /// The upstream answered the SYN.
    bool established = false;
    /// No answer to the SYN came in time: the flow does not count as load until one comes.
    bool unanswered = false;
    /// The caller sent data that the upstream has not answered yet.
    bool waiting = false;
    /// The caller sent new data while it waited, so that it is unknown to what an answer belongs.
    bool pipelined = false;
    /// The flow was reset because its upstream's incarnation has ended.
    bool was_reset = false;
    /// The caller closed its side; the flow no longer counts as load.
    bool closing = false;
};

/// Bounded table of the flows seen by this host. Not thread-safe; owned by the
/// `steerer`.
class flow_table
{
public:
    explicit flow_table(std::size_t max_flows) : max_flows_{max_flows} {}

    flow_state* find(const flow_key& key)
    {
        const auto found = flows_.find(key);
        return found == flows_.end() ? nullptr : &found->second;
    }

    /// Returns the flow's state, new or existing; null when the table is full.
    flow_state* insert(const flow_key& key)
    {
        return flows_.size() < max_flows_ ? &flows_.try_emplace(key).first->second : nullptr;
    }

    void erase(const flow_key& key) { flows_.erase(key); }
    std::size_t size() const noexcept { return flows_.size(); }

    /// Calls `visit(state)` with each flow.
    template <typename Visitor> void for_each(Visitor visit) const
    {
        for (const auto& [key, state] : flows_)
        {
            visit(state);
        }
    }

    /// Removes the flows for which `decide(key, state)` is true.
    template <typename Decision> void erase_if(Decision decide)
    {
        for (auto row = flows_.begin(); row != flows_.end();)
        {
            row = decide(row->first, row->second) ? flows_.erase(row) : std::next(row);
        }
    }

private:
    std::size_t max_flows_;
    std::unordered_map<flow_key, flow_state> flows_;
};

} // namespace galenabay::steer
