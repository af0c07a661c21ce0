#pragma once

#include <galenabay/config/service_set.hpp>

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace galenabay::dispatch
{

/// One data centre's part of a service. Plain value.
struct shard
{
    std::string data_centre;
    /// Slots of all upstreams of the shard that aren't draining; the shard's weight.
    std::uint32_t slots = 0;
    /// Upstreams that the shard's deciding host uses, draining ones included.
    std::vector<config::upstream> upstreams;

    friend auto operator<=>(const shard&, const shard&) = default;
};

/// How the requests of one service are divided among data centres.
///
/// Depends on the configuration and on which data centres have hosts, never on
/// which hosts are alive, so that a request has the same home during a network
/// partition.
/// Immutable value.
class shard_map
{
public:
    shard_map() = default;

    /// `data_centres` are the ones that have hosts. An upstream in another one is
    /// assigned to one of them.
    static shard_map make(const std::vector<config::upstream>& upstreams, std::span<const std::string> data_centres);

    /// Returns the home of a request: the shard whose data centre decides it, by
    /// weighted rendezvous hashing of `routing`, a hash of the request. Null when
    /// there is no shard.
    const shard* home(std::uint64_t routing) const noexcept;

    /// Returns the shard of a data centre; null when it has none.
    const shard* find(const std::string& data_centre) const noexcept;
    const std::vector<shard>& shards() const noexcept { return shards_; }

    friend auto operator<=>(const shard_map&, const shard_map&) = default;

private:
    std::vector<shard> shards_;
};

} // namespace galenabay::dispatch
