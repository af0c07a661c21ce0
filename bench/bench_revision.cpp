#include "revision_bench/large_set.hpp"
#include "revision_bench/live_fleet.hpp"
#include "revision_torture/world.hpp"

#include <galenabay/config/codec.hpp>
#include <galenabay/config/diff.hpp>
#include <galenabay/config/revision_log.hpp>
#include <galenabay/object_api/status_codec.hpp>
#include <galenabay/revision/watcher.hpp>

#include <tools/platform_stub/server.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace galenabay;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t hosts_today = 9;
constexpr std::size_t hosts_at_target = 3'900;
constexpr std::size_t data_centres_at_target = 8;
constexpr double changes_per_day = 7'400;
constexpr double seconds_per_day = 86'400;
/// Delay that the slow platform adds to each call.
constexpr auto slow_call = 100ms;
constexpr int changes = 8;
constexpr auto idle_time = 30s;
constexpr double heartbeat_interval_s = 0.5;
/// Peers that a host of a large data centre exchanges reports with per interval.
constexpr double gossip_fan_out = 8;
constexpr std::uint64_t virtual_seeds = 20;

/// Prints a figure with its upper bound.
void print_figure(const char* name, double value, double bound)
{
    std::printf("%s %.3f %.3f %s\n", name, value, bound, value <= bound ? "ok" : "short");
}

/// Returns the CPU time of the calling thread in milliseconds.
double cpu_ms()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

double seconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

stub::server_settings unlimited_settings()
{
    stub::server_settings settings;
    settings.writes_per_second = 1e6;
    settings.reads_per_second = 1e6;
    return settings;
}

/// Returns `set` with a weight that differs in each round.
config::service_set with_change(config::service_set set, int round)
{
    set.services[0].upstreams[0].weight = 101 + static_cast<std::uint32_t>(round);
    return set;
}

/// Results of the run with 9 hosts over real sockets.
struct live_figures
{
    double worst_seconds = 0;
    double writes_per_change = 0;
    /// Per host that reaches the platform; idle calls also per second.
    double reads_per_change_and_host = 0;
    double idle_calls_per_host = 0;
    /// Bytes of updates that a host sends per change, mean of all hosts.
    double peer_bytes_per_host = 0;
    std::uint64_t reversions = 0;
};

/// Runs nine hosts with a slow platform, which three of them cannot reach.
class live_run
{
public:
    live_run() : platform_{base::endpoint::parse("127.0.0.1", server_.port()).value()}
    {
        for (std::size_t i = 0; i < hosts_today; ++i)
        {
            const bool reaches = i >= 3;
            const auto target = reaches ? platform_ : platform_.with_port(1);
            fleet_.push_back(std::make_unique<bench::live_host>(i, target, reaches));
        }
    }

    live_figures run()
    {
        object_api::revision_store store{object_api::object_client::make(platform_, 3000ms)};
        auto latest = store.accept(config::make_next_revision(nullptr, bench::make_small_set(), "bench", 0), 0).value();
        server_.state().apply("{\"delay_ms\": " + std::to_string(slow_call.count()) + "}");
        for (const auto& host : fleet_)
        {
            host->start(fleet_);
        }
        wait_for(1);
        measure_idle();
        const auto before = server_.state().counts();
        const auto bytes_before = bytes_sent();
        for (int round = 1; round <= changes; ++round)
        {
            const auto next =
                config::make_next_revision(&latest.revision, with_change(latest.revision.set, round), "bench", round);
            const auto start = std::chrono::steady_clock::now();
            latest = store.accept(next, latest.manifest_version).value();
            wait_for(next.number);
            figures_.worst_seconds = std::max(figures_.worst_seconds, seconds_since(start));
        }
        compute_change_figures(before, bytes_before);
        stop();
        return figures_;
    }

private:
    /// Waits until all hosts have revision `number` in force, at most 30 s.
    void wait_for(std::uint64_t number) const
    {
        const auto deadline = std::chrono::steady_clock::now() + 30s;
        const auto is_up_to_date = [&](const auto& host) { return host->number() >= number; };
        while (!std::all_of(fleet_.begin(), fleet_.end(), is_up_to_date) && std::chrono::steady_clock::now() < deadline)
        {
            std::this_thread::sleep_for(1ms);
        }
    }

    std::uint64_t bytes_sent() const
    {
        std::uint64_t sum = 0;
        for (const auto& host : fleet_)
        {
            sum += host->bytes_sent();
        }
        return sum;
    }

    void measure_idle()
    {
        const auto before = server_.state().counts();
        std::this_thread::sleep_for(idle_time);
        const auto after = server_.state().counts();
        const auto calls = after.reads + after.watches - before.reads - before.watches;
        figures_.idle_calls_per_host =
            static_cast<double>(calls) / 6 / std::chrono::duration<double>(idle_time).count();
    }

    void compute_change_figures(const stub::call_counts& before, std::uint64_t bytes_before)
    {
        const auto after = server_.state().counts();
        figures_.writes_per_change = static_cast<double>(after.writes - before.writes) / changes;
        const auto reads = after.reads + after.watches - before.reads - before.watches;
        figures_.reads_per_change_and_host = static_cast<double>(reads) / changes / 6;
        figures_.peer_bytes_per_host = static_cast<double>(bytes_sent() - bytes_before) / changes / hosts_today;
    }

    void stop()
    {
        server_.state().apply("{\"delay_ms\": 0}");
        server_.objects().stop();
        for (const auto& host : fleet_)
        {
            host->stop();
            figures_.reversions += host->reversions();
        }
    }

    stub::server server_{unlimited_settings()};
    base::endpoint platform_;
    std::vector<std::unique_ptr<bench::live_host>> fleet_;
    live_figures figures_;
};

/// Costs of one change at the target size of the fleet.
struct large_figures
{
    double accept_seconds = 0;
    double cpu_from_platform_ms = 0;
    double cpu_from_peer_ms = 0;
    double update_bytes = 0;
    double platform_bytes = 0;
    double status_bytes = 0;
};

/// Returns the encoded size of the status of a data centre at the target size.
double status_document_bytes()
{
    revision::status_document document{"data-centre-1", "host-10000", 1, 1'700'000'000, {}};
    for (std::size_t i = 0; i < hosts_at_target / data_centres_at_target; ++i)
    {
        document.hosts.push_back(
            {"host-" + std::to_string(10'000 + i), "", membership::host_state::ready, 123'456 + i % 2, true, 0});
    }
    return static_cast<double>(object_api::encode_status(document).size());
}

/// Returns the CPU time in milliseconds that a host spends from the receipt of a
/// peer's update until it can forward the revision. Sets `figures.update_bytes`.
double measure_peer_path(const config::accepted_revision& first, const config::accepted_revision& second,
                         large_figures& figures)
{
    config::revision_log sender;
    sender.add(&first, second);
    const auto update = sender.update_since(first.number);
    figures.update_bytes = static_cast<double>(update.size());
    config::revision_log receiver;
    receiver.add(nullptr, first);
    const double start = cpu_ms();
    const auto decoded = config::decode_update(&first, update).value();
    receiver.add(&first, decoded);
    return cpu_ms() - start;
}

large_figures measure_large()
{
    large_figures figures;
    figures.status_bytes = status_document_bytes();
    stub::server server{unlimited_settings()};
    const auto endpoint = base::endpoint::parse("127.0.0.1", server.port()).value();
    object_api::revision_store writer{object_api::object_client::make(endpoint, 3000ms)};
    object_api::revision_store reader{object_api::object_client::make(endpoint, 3000ms)};
    const auto first =
        writer.accept(config::make_next_revision(nullptr, bench::make_large_set(), "bench", 0), 0).value();
    static_cast<void>(reader.read().value());
    const auto next = config::make_next_revision(&first.revision, with_change(first.revision.set, 1), "bench", 1);
    server.state().apply("{\"delay_ms\": " + std::to_string(slow_call.count()) + "}");
    const auto start = std::chrono::steady_clock::now();
    const auto second = writer.accept(next, first.manifest_version).value();
    figures.accept_seconds = seconds_since(start);
    config::revision_log log;
    log.add(nullptr, first.revision);
    const auto bytes_before = server.state().counts().bytes_out;
    const double cpu_start = cpu_ms();
    const auto read = reader.read().value();
    log.add(&first.revision, read->revision);
    figures.cpu_from_platform_ms = cpu_ms() - cpu_start;
    figures.platform_bytes = static_cast<double>(server.state().counts().bytes_out - bytes_before);
    figures.cpu_from_peer_ms = measure_peer_path(first.revision, second.revision, figures);
    return figures;
}

/// Returns the number of simulated seeds that violate a guarantee.
std::uint64_t count_virtual_violations()
{
    std::uint64_t violations = 0;
    for (std::uint64_t seed = 1; seed <= virtual_seeds; ++seed)
    {
        violations += revision_torture::world{seed}.run().violation.empty() ? 0U : 1U;
    }
    return violations;
}

/// Prints figures of a fleet of the target size. They are calculated from the
/// measurements above; no such fleet is run.
void print_target(const live_figures& live, const large_figures& large)
{
    const double change_interval = seconds_per_day / changes_per_day;
    const double per_centre = static_cast<double>(hosts_at_target) / data_centres_at_target;
    const double watchers = revision::watchers_per_data_centre * data_centres_at_target;
    const double slow_s = std::chrono::duration<double>(slow_call).count();
    // Gossip hops from the watchers to all hosts of a data centre, plus one hop for
    // a data centre that cannot reach the platform.
    const double hops =
        std::ceil(std::log(per_centre / revision::watchers_per_data_centre) / std::log(1 + gossip_fan_out)) + 1;
    const double hop_s = heartbeat_interval_s + slow_s + large.cpu_from_peer_ms / 1e3;
    const double watch_s = 3 * slow_s + large.cpu_from_platform_ms / 1e3;
    print_figure("revision_seconds_in_force_3900_worked_out", large.accept_seconds + watch_s + hops * hop_s, 11);
    const double idle_reads = watchers * live.idle_calls_per_host + static_cast<double>(hosts_at_target) / 60;
    const double change_reads = watchers * live.reads_per_change_and_host / change_interval;
    print_figure("revision_platform_reads_per_second_3900_worked_out", idle_reads + change_reads, 2000);
    // Per data centre: two status writes for each change, and one for each refresh
    // every 5 s.
    const double status_writes = data_centres_at_target * (2 / change_interval + 1.0 / 5);
    print_figure("revision_platform_writes_per_second_3900_worked_out",
                 status_writes + live.writes_per_change / change_interval, 300);
    const double watcher_bytes = large.platform_bytes / change_interval;
    const double status_writer_bytes = large.status_bytes * (2 / change_interval + 1.0 / 5);
    const double update_bytes = large.update_bytes * (1 + gossip_fan_out) / change_interval;
    print_figure("revision_bytes_without_heartbeats_per_host_second_3900_worked_out",
                 watcher_bytes + status_writer_bytes + update_bytes, 22'000);
}

} // namespace

int main()
{
    const auto live = live_run{}.run();
    const auto large = measure_large();
    print_figure("revision_seconds_in_force_9", live.worst_seconds, 2);
    print_figure("revision_platform_writes_per_change_9", live.writes_per_change, 300);
    print_figure("revision_platform_reads_per_change_9", live.reads_per_change_and_host * hosts_today, 2000);
    print_figure("revision_platform_calls_per_idle_second_9", live.idle_calls_per_host * hosts_today, 2000);
    print_figure("revision_update_bytes_per_host_second_9",
                 live.peer_bytes_per_host * changes_per_day / seconds_per_day, 3072);
    print_figure("revision_cpu_ms_per_change_from_platform", large.cpu_from_platform_ms, 100);
    print_figure("revision_cpu_ms_per_change_from_peer", large.cpu_from_peer_ms, 100);
    print_target(live, large);
    print_figure("revision_reversions", static_cast<double>(live.reversions + count_virtual_violations()), 0);
    return 0;
}
