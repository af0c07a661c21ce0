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
    /// Slots of all upstreams of the shard; its weight.
    std::uint32_t slots = 0;
    /// Upstreams that the shard's deciding host uses, draining ones included.
    std::vector<config::upstream> upstreams;

    friend auto operator<=>(const shard&, const shard&) = default;
};

/// How the requests of one service are divided among data centres.
///
/// Depends on the configuration and on which data centres have hosts, never on
/// which hosts are alive, so that a request has the same home during a cut.
/// Immutable value.
class shard_map
{
public:
    shard_map() = default;

    /// `data_centres` are the ones that have hosts. An upstream elsewhere is
    /// given to one of them.
    static shard_map make(const std::vector<config::upstream>& upstreams, std::span<const std::string> data_centres);

    /// The shard that a request belongs to, by weighted rendezvous; null when
    /// there is none.
    const shard* home(std::uint64_t routing) const noexcept;

    const shard* find(const std::string& data_centre) const noexcept;
    const std::vector<shard>& shards() const noexcept { return shards_; }

    friend auto operator<=>(const shard_map&, const shard_map&) = default;

private:
    std::vector<shard> shards_;
};

} // namespace galenabay::dispatch
