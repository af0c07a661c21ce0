// The store turns away four hosts of one zone: the first four that call it. All others could read it. Meanwhile a route
// of a large configuration is removed.

#include "../stand_ins_2/client.hpp"
#include "../stand_ins_2/target.hpp"

#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace review;

namespace
{

/// Bounds of the deployment `nara-parts-exchange-grown`.
constexpr host_bounds bounds{.stable_window_ms = 5'000, .drain_ms = 5'000, .config_ms = 5'000};
constexpr double rejection_ms = 9'000;
constexpr double calm_ms = 8'000;
constexpr double ready_limit_ms = 30'000;
constexpr double open_interval_ms = 10;
constexpr std::uint32_t host_count = 36;
/// Of the twelve hosts of one zone: a share of 0.11 of all hosts.
constexpr std::size_t rejected_hosts = 4;
/// As after `big_config` with its largest count.
constexpr std::uint32_t idle_routes = 1'400;

int run(const std::string& directory, const std::string& record_file, bool with_trouble)
{
    record out{record_file};
    const auto block = 64 + static_cast<std::uint32_t>(::getpid()) % 128;
    const endpoint kept_route{loopback(block, 2, 1), 443};
    const endpoint removed_route{loopback(block, 2, 1), 8'443};
    const std::vector<std::string> zones{"zone-1", "zone-2", "zone-3"};
    store platform{out};
    const auto route = [](const std::string& name, const endpoint& at)
    {
        return R"({"name":")" + name + R"(","host":")" + at.address_text() + R"(","path-prefix":"/)" +
               std::to_string(at.port) +
               R"(/","type":"download","timeout-ms":8000,"aim-ms":1500,"priority":2,)"
               R"("service":"titles","attempts":2})";
    };
    const auto write_configuration = [&](int version, const std::string& routes)
    {
        const auto accepted =
            platform.put("config", "main",
                         R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
                             R"(],"services":[{"name":"titles","health-path":"/healthz","max-conns":2000,)"
                             R"("protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,)"
                             R"("max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}})");
        out.line("configuration " + std::to_string(version) + " accepted by the store");
        return accepted;
    };
    std::string others;
    for (std::uint32_t i = 0; i < idle_routes; ++i)
    {
        const endpoint at{loopback(block, 10 + i / 200, 1 + i % 200), static_cast<std::uint16_t>(10'000 + i)};
        others += "," + route("r-idle-" + std::to_string(i), at);
    }
    write_configuration(1, route("r-1", kept_route) + "," + route("r-2", removed_route) + others);

    hosts edge{out, directory, bounds};
    std::map<endpoint, std::string> zone_of_store;
    for (std::uint32_t i = 0; i < host_count; ++i)
    {
        const endpoint store_address{loopback(block, 1, i + 1), 18'169};
        platform.listen(store_address);
        edge.add(zones[i % 3], loopback(block, 3, i + 1), store_address);
        if (i % 3 == 0)
        {
            zone_of_store[store_address] = zones[0];
        }
    }
    std::vector<std::unique_ptr<target>> targets;
    for (std::uint32_t i = 0; i < 9; ++i)
    {
        const auto number = 0x5000000000U + 0x0123457bU * (i + 1);
        char id[32];
        std::snprintf(id, sizeof id, "i-%010llx", static_cast<unsigned long long>(number));
        targets.push_back(std::make_unique<target>(
            target::identity{
                id, number, 1'764'999'000'000U + i, "titles", zones[i % 3], {loopback(block, 4, i + 1), 8'080}},
            edge.ports().packets, platform, out));
    }
    edge.start_all();
    std::vector<std::unique_ptr<client>> clients;
    for (std::uint32_t i = 0; i < 9; ++i)
    {
        clients.push_back(std::make_unique<client>(loopback(block, 5, i + 1), zones[i % 3], edge, out));
    }

    double removed_at = 0;
    std::size_t late_by_route = 0;
    double latest = 0;
    const auto syn_time = [&](const flow_key& flow)
    {
        for (const auto& one : clients)
        {
            if (const auto known = one->flows().find(flow); known != one->flows().end())
            {
                return known->second.syn_sent;
            }
        }
        return 0.0;
    };
    for (auto& one : targets)
    {
        one->on_open(
            [&](const target& at, const target::opening& opened)
            {
                const auto host = edge.find(opened.from);
                if (!host || platform.turned_away().contains(edge.store_of(*host)))
                {
                    return;
                }
                const auto sent = syn_time(opened.flow);
                if (removed_at > 0 && opened.flow.service == removed_route && sent > removed_at + bounds.config_ms)
                {
                    ++late_by_route;
                    latest = std::max(latest, sent - removed_at);
                    out.line("CONFIG broken: " + at.self().id + " takes a flow of the route that was removed " +
                             std::to_string(sent - removed_at) + " ms before, through " + edge.name(*host));
                }
            });
    }

    double next_open = 0;
    std::size_t next_client = 0;
    const auto run_until = [&](double until)
    {
        while (now_ms() < until)
        {
            for (auto& one : targets)
            {
                one->run();
            }
            if (edge.are_ready() && now_ms() >= next_open)
            {
                next_open = now_ms() + open_interval_ms;
                auto& one = *clients[next_client++ % clients.size()];
                one.open(next_client % 2 == 0 ? kept_route : removed_route, 0);
            }
            for (auto& one : clients)
            {
                one->run();
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
    };
    while (!edge.are_ready())
    {
        if (now_ms() > ready_limit_ms)
        {
            give_up("the hosts did not get ready");
        }
        run_until(now_ms() + 50);
    }
    out.line("all hosts are ready");
    run_until(now_ms() + calm_ms);

    const auto begun = now_ms();
    if (with_trouble)
    {
        out.line("the store turns away the first four callers of zone-1");
        platform.turn_away_callers(zone_of_store, rejected_hosts);
    }
    run_until(begun + 500);
    removed_at = write_configuration(3, route("r-1", kept_route) + others);
    run_until(begun + rejection_ms);
    for (std::size_t i = 0; i < edge.size(); ++i)
    {
        if (platform.turned_away().contains(edge.store_of(i)))
        {
            out.line("turned away: " + edge.name(i));
        }
    }
    const auto rejected = platform.turned_away().size();
    platform.turn_away_callers({}, 0);
    out.line("the store serves all hosts");
    run_until(now_ms() + calm_ms);

    std::size_t flows = 0;
    std::size_t answered = 0;
    for (const auto& one : clients)
    {
        for (const auto& [key, state] : one->flows())
        {
            ++flows;
            answered += state.answered;
        }
    }
    out.result("flows=" + std::to_string(flows) + " answered=" + std::to_string(answered) + " turned_away=" +
               std::to_string(rejected) + " flows_of_the_removed_route=" + std::to_string(late_by_route) +
               " latest_ms=" + std::to_string(static_cast<int>(latest)));
    if (answered * 3 < flows)
    {
        give_up("too few requests were answered");
    }
    return late_by_route > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
    {
        give_up("usage: case FOLDER RECORD");
    }
    const char* trouble = std::getenv("TROUBLE");
    return run(argv[1], argv[2], trouble == nullptr || std::string{trouble} != "0");
}
