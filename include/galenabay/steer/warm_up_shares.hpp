#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace galenabay::steer
{

/// A process that may send new flows to a starting upstream. Plain value.
struct share_holder
{
    std::string host;
    /// Start of the process in microseconds of Unix time; distinguishes the processes of a host.
    std::uint64_t process_started_us = 0;

    friend auto operator<=>(const share_holder&, const share_holder&) = default;
};

/// The processes that share the rate of a starting incarnation, as the store's object lists them,
/// the owner first. Each of the n may send a n-th of the rate. Plain value.
struct warm_up_shares
{
    /// Identify the incarnation on all hosts.
    std::string id;
    std::uint64_t started_ms = 0;
    /// Epoch of the store's answer that contained the list; 0 when unknown.
    std::uint64_t epoch = 0;
    std::vector<share_holder> holders;

    friend auto operator<=>(const warm_up_shares&, const warm_up_shares&) = default;
};

/// Largest number of holders, with which a list fits into a datagram.
constexpr std::size_t max_share_holders = 16;

/// Returns how many flows any span of one second may have beyond the stated `rate`, that is what `rate` x `overshoot` +
/// `slack` leaves, without the one that is left for delays that differ between links; at most `max_share_holders`.
std::size_t spare_flows(double rate, double overshoot, double slack);

/// Returns the largest number of holders for a stated `rate` of new flows a second, from 1 to
/// `max_share_holders`. Any span of one second may have `rate` x `overshoot` + `slack` new flows.
/// Each holder's bucket adds up to one of the `spare_flows` to its part of the rate.
std::size_t share_limit(double rate, double overshoot, double slack);

} // namespace galenabay::steer
