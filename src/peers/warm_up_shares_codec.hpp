#pragma once

#include <galenabay/peers/upstream_changes.hpp>
#include <galenabay/steer/warm_up_shares.hpp>
#include <generated/edge.capnp.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace galenabay::peers
{

inline void write_shares(const steer::warm_up_shares& from, schema::WarmUpShares::Builder out)
{
    out.setId(from.id);
    out.setStartedMs(from.started_ms);
    out.setEpoch(from.epoch);
    auto holders = out.initHolders(static_cast<unsigned>(from.holders.size()));
    for (unsigned i = 0; i < holders.size(); ++i)
    {
        holders[i].setHost(from.holders[i].host);
        holders[i].setStartedUs(from.holders[i].process_started_us);
    }
}

/// A list of more holders than a process may write names nobody: elements without content take no bytes, so that a
/// datagram can state a million of them.
inline steer::warm_up_shares read_shares(schema::WarmUpShares::Reader in)
{
    steer::warm_up_shares read{
        .id = in.getId(), .started_ms = in.getStartedMs(), .epoch = in.getEpoch(), .holders = {}};
    if (in.getHolders().size() > steer::max_share_holders)
    {
        return read;
    }
    for (const auto holder : in.getHolders())
    {
        read.holders.push_back({.host = holder.getHost(), .process_started_us = holder.getStartedUs()});
    }
    return read;
}

/// Writes the starting upstreams into a state; leaves the field null when there are none.
inline void write_starting(const edge_state& from, schema::EdgeState::Builder out)
{
    out.setLimitedFlows(from.limited_flows);
    out.setRelayedSyns(from.relayed_syns);
    out.setOpenedForOthers(from.opened_for_others);
    if (from.starting.empty())
    {
        return;
    }
    auto list = out.initStartingUpstreams(static_cast<unsigned>(from.starting.size()));
    for (unsigned i = 0; i < list.size(); ++i)
    {
        list[i].setId(from.starting[i].id);
        list[i].setShareRate(from.starting[i].share_rate);
    }
}

inline std::vector<starting_upstream> read_starting(schema::EdgeState::Reader in)
{
    std::vector<starting_upstream> read;
    for (const auto one : in.getStartingUpstreams())
    {
        if (read.size() == max_starting_upstreams)
        {
            break;
        }
        const auto rate = one.getShareRate();
        read.push_back({.id = one.getId(), .share_rate = std::isfinite(rate) ? std::max(rate, 0.0) : 0});
    }
    return read;
}

} // namespace galenabay::peers
