#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/log.hpp>
#include <galenabay/base/result.hpp>
#include <galenabay/base/time.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace galenabay::config
{

/// A peer listed in the settings of a host. Plain value.
struct peer_settings
{
    std::string name;
    std::string data_centre;
    base::endpoint control;
    base::endpoint relay;

    friend auto operator<=>(const peer_settings&, const peer_settings&) = default;
};

/// Settings of one galena_balancerd process; see schema/config.capnp for the
/// meaning, units and range of each. Plain value.
struct host_settings
{
    std::string name;
    std::string data_centre;
    /// The address with port 0; the ports below are ports of it.
    base::endpoint address;
    std::uint16_t control_port = 7100;
    std::uint16_t relay_port = 7101;
    std::uint16_t upstream_port = 0;
    std::uint16_t metrics_port = 7103;
    bool bind_service_addresses = false;
    base::endpoint platform;
    std::vector<peer_settings> peers;
    base::log_level log_level = base::log_level::info;
    base::duration stop_timeout{10'000'000};
    base::duration heartbeat_interval{1'000'000};
    base::duration peer_timeout{3'000'000};
    std::uint32_t control_bytes_per_second = 3072;
    std::uint32_t platform_calls_per_second = 10;
    std::size_t flow_table_size = 262144;
    std::size_t ring_size = 8192;
    std::string drop_peers_file;

    friend auto operator<=>(const host_settings&, const host_settings&) = default;
};

/// Reads and validates a host's YAML settings. The error's peer is "FILE:LINE"
/// and its detail gives the key and what was expected.
base::result<host_settings> load_host_settings(const std::string& file);

/// As `load_host_settings`, but from text; `file` is used in errors only.
base::result<host_settings> parse_host_settings(std::string_view text, const std::string& file);

} // namespace galenabay::config
