#include <galenabay/config/host_settings.hpp>

#include "yaml_decoder.hpp"

#include <generated/config.capnp.h>

#include <capnp/message.h>

#include <set>
#include <utility>

namespace galenabay::config
{

namespace
{

base::duration milliseconds(std::uint32_t count)
{
    return std::chrono::milliseconds{count};
}

base::log_level convert(schema::LogLevel level)
{
    switch (level)
    {
    case schema::LogLevel::DEBUG:
        return base::log_level::debug;
    case schema::LogLevel::WARNING:
        return base::log_level::warning;
    case schema::LogLevel::ERROR:
        return base::log_level::error;
    default:
        return base::log_level::info;
    }
}

base::result<peer_settings> convert(schema::PeerSettings::Reader reader)
{
    BOOST_OUTCOME_TRY(control, base::endpoint::parse(reader.getControl().cStr()));
    BOOST_OUTCOME_TRY(relay, base::endpoint::parse(reader.getRelay().cStr()));
    return peer_settings{reader.getName().cStr(), reader.getDataCentre().cStr(), control, relay};
}

void copy_numbers(schema::HostSettings::Reader reader, host_settings& settings)
{
    settings.control_port = reader.getControlPort();
    settings.relay_port = reader.getRelayPort();
    settings.upstream_port = reader.getUpstreamPort();
    settings.metrics_port = reader.getMetricsPort();
    settings.bind_service_addresses = reader.getBindServiceAddresses();
    settings.log_level = convert(reader.getLogLevel());
    settings.stop_timeout = milliseconds(reader.getStopTimeoutMs());
    settings.heartbeat_interval = milliseconds(reader.getHeartbeatIntervalMs());
    settings.peer_timeout = milliseconds(reader.getPeerTimeoutMs());
    settings.control_bytes_per_second = reader.getControlBytesPerSecond();
    settings.platform_calls_per_second = reader.getPlatformCallsPerSecond();
    settings.flow_table_size = reader.getFlowTableSize();
    settings.ring_size = reader.getRingSize();
}

base::result<host_settings> convert(schema::HostSettings::Reader reader)
{
    host_settings settings;
    settings.name = reader.getName().cStr();
    settings.data_centre = reader.getDataCentre().cStr();
    BOOST_OUTCOME_TRY(address, base::endpoint::parse(reader.getAddress().cStr(), 0));
    BOOST_OUTCOME_TRY(platform, base::endpoint::parse(reader.getPlatform().cStr()));
    settings.address = address;
    settings.platform = platform;
    copy_numbers(reader, settings);
    for (const auto peer : reader.getPeers())
    {
        BOOST_OUTCOME_TRY(converted, convert(peer));
        settings.peers.push_back(std::move(converted));
    }
    settings.drop_peers_file = reader.getTest().getDropPeersFile().cStr();
    return settings;
}

/// Runs the checks that concern several fields.
base::result<void> check_consistency(const host_settings& settings, const yaml_node& root, const std::string& file)
{
    const std::set<std::uint16_t> udp{settings.relay_port, settings.upstream_port};
    const std::set<std::uint16_t> tcp{settings.control_port, settings.metrics_port};
    if (udp.size() != 2 || tcp.size() != 2)
    {
        return error_at(base::error_code::conflict, file, root.line,
                        "relay_port, upstream_port and control_port, metrics_port: expected different ports");
    }
    if (settings.peer_timeout < 2 * settings.heartbeat_interval)
    {
        return error_at(base::error_code::out_of_range, file, root.line,
                        "peer_timeout_ms: expected at least twice heartbeat_interval_ms");
    }
    return base::outcome::success();
}

} // namespace

base::result<host_settings> parse_host_settings(std::string_view text, const std::string& file)
{
    BOOST_OUTCOME_TRY(root, parse_yaml(text, file));
    capnp::MallocMessageBuilder message;
    auto decoded = message.initRoot<schema::HostSettings>();
    BOOST_OUTCOME_TRY(decode_yaml(root, file, decoded));
    BOOST_OUTCOME_TRY(settings, convert(decoded.asReader()));
    BOOST_OUTCOME_TRY(check_consistency(settings, root, file));
    return std::move(settings);
}

base::result<host_settings> load_host_settings(const std::string& file)
{
    BOOST_OUTCOME_TRY(text, read_bounded_file(file));
    return parse_host_settings(text, file);
}

} // namespace galenabay::config
