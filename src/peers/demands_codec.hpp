#pragma once

#include <galenabay/steer/service_demand.hpp>

#include <generated/edge.capnp.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace galenabay::peers
{

/// Bytes of the demands in one list of a message: those of 13 services with two urgencies. Both
/// lists of a digest leave room for 22 loads. A deployment with more services that have both
/// admission and traffic at a time has no sums for the rest.
constexpr std::size_t max_demand_bytes = 400;

/// Returns an upper limit of the packed size of demands of usual rates.
inline std::size_t bytes_of(const std::vector<steer::service_demand>& demands)
{
    constexpr std::size_t demand_bytes = 24;
    constexpr std::size_t rate_pair_bytes = 5;
    std::size_t bytes = 0;
    for (const auto& demand : demands)
    {
        bytes += demand_bytes + (demand.offered.size() + 1) / 2 * rate_pair_bytes;
    }
    return bytes;
}

/// Returns the number of loads that have to be left out so that a message with these demands is
/// no larger than one without.
inline std::size_t loads_displaced_by(const std::vector<steer::service_demand>& demands)
{
    constexpr std::size_t load_bytes = 11;
    return (bytes_of(demands) + load_bytes - 1) / load_bytes;
}

/// Writes demands into the list that `init(size)` returns; leaves the field null when there are none.
template <typename Init> void write_demands(const std::vector<steer::service_demand>& from, Init init)
{
    if (from.empty())
    {
        return;
    }
    capnp::List<schema::ServiceDemand>::Builder out = init(static_cast<unsigned>(from.size()));
    for (unsigned i = 0; i < out.size(); ++i)
    {
        out[i].setService(from[i].service);
        out[i].setOpenRequests(from[i].open_requests);
        out[i].setAdmitted(from[i].admitted);
        out[i].setRejected(from[i].rejected);
        auto offered = out[i].initOffered(static_cast<unsigned>(from[i].offered.size()));
        for (unsigned rank = 0; rank < offered.size(); ++rank)
        {
            offered.set(rank, from[i].offered[rank]);
        }
    }
}

/// Reads demands ordered by service. Rows that are out of order are left out, as are urgencies
/// beyond the limit.
inline std::vector<steer::service_demand> read_demands(capnp::List<schema::ServiceDemand>::Reader in)
{
    std::vector<steer::service_demand> demands;
    for (const auto row : in)
    {
        if (!demands.empty() && row.getService() <= demands.back().service)
        {
            continue;
        }
        steer::service_demand read{.service = row.getService(),
                                   .open_requests = row.getOpenRequests(),
                                   .admitted = row.getAdmitted(),
                                   .rejected = row.getRejected(),
                                   .offered = {}};
        for (const auto rate : row.getOffered())
        {
            if (read.offered.size() < steer::max_urgency_ranks)
            {
                read.offered.push_back(rate);
            }
        }
        demands.push_back(std::move(read));
    }
    return demands;
}

/// Age of a sum in a message, in milliseconds, and back; 0 for a sum without services, so that a
/// message of a deployment without admission is no larger for it. An age beyond a minute is cut to it:
/// such a sum is not used.
inline std::uint32_t milliseconds_of(const steer::demand_sum& sum)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(sum.age);
    return sum.services.empty() ? 0 : static_cast<std::uint32_t>(age.count());
}

inline base::duration age_of(std::uint32_t milliseconds)
{
    constexpr std::uint32_t longest = 60'000;
    return std::chrono::milliseconds{std::min(milliseconds, longest)};
}

} // namespace galenabay::peers
