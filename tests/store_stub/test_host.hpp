#pragma once

#include <edge_soak/store_stub.hpp>
#include <galenabay/edge/edge_host.hpp>
#include <galenabay/net/http_session.hpp>
#include <galenabay/peers/message_codec.hpp>

#include <CppUTest/TestHarness.h>

#include <unistd.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// Entry hosts in the process of a test, and what they read from the store stub.
namespace galenabay::store_test
{

using namespace std::chrono_literals;

/// Loopback addresses that only this process uses, so that its ports are free.
constexpr std::uint32_t first_loopback = 0x7f4d0000;
constexpr std::uint16_t first_port = 7100;
/// Time within which a change must be in force, and the time for a host to start.
constexpr auto in_force_bound = 3s;
constexpr auto start_bound = 4s;

inline base::endpoint next_endpoint()
{
    static std::uint16_t port = first_port;
    const auto process = static_cast<std::uint32_t>(getpid()) & 0xffffU;
    return base::endpoint::make_v4(first_loopback + process, port++);
}

inline std::string configuration(std::uint64_t version)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"feed","host":"198.18.0.1","path-prefix":"/8443/","service":"feed"}],)"
           R"("services":[],"limits":{}})";
}

inline std::string registration(const std::string& state, std::uint64_t sequence)
{
    return R"({"service":"feed","address":"127.0.0.9:8443","zone":"east","version":"v1","max-concurrency":3,)"
           R"("state":")" +
           state + R"(","warmup-left-ms":0,"sequence":)" + std::to_string(sequence) + R"(,"born":1785880304094})";
}

template <typename Condition> bool holds_within(std::chrono::milliseconds limit, Condition condition)
{
    for (const auto end = std::chrono::steady_clock::now() + limit; std::chrono::steady_clock::now() < end;)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(20ms);
    }
    return condition();
}

/// An entry host in the process of the test.
struct test_host
{
    base::endpoint peers = next_endpoint();
    /// Of the latest start.
    base::endpoint packets;
    base::endpoint readiness;
    base::endpoint metrics;
    std::unique_ptr<edge::edge_host> running;
    /// New flows a second beyond the stated rate that a starting upstream may get.
    double warm_up_slack = 0;

    void start(const std::string& name, const base::endpoint& store, std::vector<base::endpoint> seeds = {},
               const std::string& data_centre = "east", std::optional<base::duration> evacuation_bound = {})
    {
        packets = next_endpoint();
        readiness = next_endpoint();
        metrics = packets.with_port(next_endpoint().port());
        auto started = edge::edge_host::start({.host = name,
                                               .data_centre = data_centre,
                                               .packets = packets,
                                               .readiness = readiness,
                                               .peers = peers,
                                               .seeds = std::move(seeds),
                                               .store = store,
                                               .config_bound = in_force_bound,
                                               .stop_bound = 1s,
                                               .flow_age_limit = 60s,
                                               .evacuation_bound = evacuation_bound,
                                               .warm_up_slack = warm_up_slack},
                                              metrics.port());
        CHECK(started.has_value());
        running = std::make_unique<edge::edge_host>(std::move(started).value());
    }
    /// Returns the state of one kind of objects that the host serves to other hosts.
    std::optional<peers::edge_state> state(const std::string& kind) const
    {
        const auto known = peers::decode_state(read(peers, "/state/" + kind));
        return known ? std::optional{known.value()} : std::nullopt;
    }
    /// Returns the answer of one of the host's status servers; empty when there is none.
    static std::string read(const base::endpoint& server, const std::string& path)
    {
        const auto answer = net::http_session::make(server, 500ms)
                                .call({.step = "read_status",
                                       .method = "GET",
                                       .path = path,
                                       .body = {},
                                       .expected_version = {},
                                       .timeout = 500ms,
                                       .max_response = 1U << 20U});
        return answer ? answer.value().body : std::string{};
    }
    bool is_ready() const { return read(readiness, "/readyz") == "ready"; }
    /// Returns the value of one of the host's metrics that has no labels; 0 when there is none.
    std::uint64_t metric(const std::string& name) const
    {
        const auto line = "\n" + name + " ";
        const auto text = read(metrics, "/metrics");
        const auto at = text.find(line);
        return at == std::string::npos ? 0 : static_cast<std::uint64_t>(std::stod(text.substr(at + line.size())));
    }
    /// Returns the version in force, whatever the size of the configuration.
    std::uint64_t adopted_version() const { return metric("galenabay_configuration_version"); }
    bool watches_store() const { return metric("galenabay_follows_store") == 1; }
    std::uint64_t version_in_force() const
    {
        const auto known = state("config");
        return known ? known->configuration.version : 0;
    }
    std::optional<steer::upstream_entry> upstream() const
    {
        const auto known = state("servers");
        return known && !known->upstreams.entries.empty() ? std::optional{known->upstreams.entries.front()}
                                                          : std::nullopt;
    }
};

} // namespace galenabay::store_test
