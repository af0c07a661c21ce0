// Measures control traffic and CPU time of nine idle hosts in one process, with real
// sockets, RPC and threads and a stub of the platform.

#include "../tools/platform_stub/server.hpp"

#include <galenabay/base/log.hpp>
#include <galenabay/config/codec.hpp>
#include <galenabay/config/load.hpp>
#include <galenabay/daemon/balancer.hpp>
#include <galenabay/object_api/revision_store.hpp>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace
{

using namespace galenabay;

constexpr std::uint32_t host_count = 9;
constexpr std::uint32_t first_address = 0x7f000401; // 127.0.4.1
constexpr double bytes_per_second_bound = 3072;
constexpr double cpu_percent_bound = 1;
constexpr std::chrono::seconds settle_time{6};
constexpr std::chrono::seconds measurement_time{15};
constexpr std::chrono::seconds platform_timeout{3};

std::string name_of_host(std::uint32_t index)
{
    return "bench-" + std::to_string(index);
}

/// Returns the host's loopback address with port 0.
base::endpoint address_of(std::uint32_t index)
{
    return base::endpoint::make_v4(first_address + index, 0);
}

std::string data_centre_of(std::uint32_t index)
{
    const char* names[] = {"worcester", "manchester", "hartford"};
    return names[index % 3];
}

config::host_settings settings_of(std::uint32_t index, const base::endpoint& platform)
{
    config::host_settings settings;
    settings.name = name_of_host(index);
    settings.data_centre = data_centre_of(index);
    settings.address = address_of(index);
    settings.platform = platform;
    for (std::uint32_t other = 0; other < host_count; ++other)
    {
        if (other != index)
        {
            const auto address = address_of(other);
            settings.peers.push_back({name_of_host(other), data_centre_of(other),
                                      address.with_port(settings.control_port),
                                      address.with_port(settings.relay_port)});
        }
    }
    return settings;
}

std::string read_metrics(std::uint32_t index)
{
    const config::host_settings defaults;
    Poco::Net::HTTPClientSession session{address_of(index).address_string(), defaults.metrics_port};
    Poco::Net::HTTPRequest request{"GET", "/metrics"};
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string text;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
    return text;
}

/// Returns the value of a metric, or 0 when it is missing. `name` includes the labels.
double value_of(const std::string& metrics, std::string_view name)
{
    const auto at = metrics.find("\n" + std::string{name} + " ");
    return at == std::string::npos ? 0 : std::stod(metrics.substr(at + name.size() + 2));
}

/// Returns the number of control bytes that the host has sent since it started.
double bytes_sent(std::uint32_t index)
{
    return value_of(read_metrics(index), "galenabay_control_bytes_total{direction=\"sent\"}");
}

/// Returns the user and system CPU time of this process.
double cpu_seconds()
{
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    const auto seconds = [](const timeval& time)
    { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6; };
    return seconds(used.ru_utime) + seconds(used.ru_stime);
}

/// Stores the services of `file` as the platform's first revision. Returns false when
/// the file is invalid or the platform does not accept the revision.
bool store_example_revision(const base::endpoint& platform, const std::string& file)
{
    const std::vector<std::string> files{file};
    auto set = config::load_service_set(files);
    if (!set)
    {
        std::cerr << "bench_control: " << set.error() << '\n';
        return false;
    }
    const object_api::revision_store store{object_api::object_client::make(platform, platform_timeout)};
    return store.accept(config::make_next_revision(nullptr, std::move(set).value(), "bench", 0), 0).has_value();
}

void print(const char* name, double value, double bound)
{
    std::cout << name << ' ' << value << ' ' << bound << ' ' << (value <= bound ? "ok" : "short") << '\n';
}

int run(const std::string& file)
{
    base::configure_log("bench", "bench", base::log_level::error);
    stub::server platform{stub::server_settings{}};
    const auto platform_address = base::endpoint::make_v4(0x7f000001, platform.port());
    if (!store_example_revision(platform_address, file))
    {
        return 2;
    }
    std::vector<daemon::balancer> hosts;
    for (std::uint32_t index = 0; index < host_count; ++index)
    {
        auto started = daemon::balancer::start(settings_of(index, platform_address));
        if (!started)
        {
            std::cerr << "bench_control: " << started.error() << '\n';
            return 2;
        }
        hosts.push_back(std::move(started).value());
    }
    std::this_thread::sleep_for(settle_time);
    std::vector<double> before;
    for (std::uint32_t index = 0; index < host_count; ++index)
    {
        before.push_back(bytes_sent(index));
    }
    const double cpu_before = cpu_seconds();
    std::this_thread::sleep_for(measurement_time);
    const double cpu = cpu_seconds() - cpu_before;
    double max_bytes_per_second = 0;
    for (std::uint32_t index = 0; index < host_count; ++index)
    {
        max_bytes_per_second = std::max(max_bytes_per_second, (bytes_sent(index) - before[index]) /
                                                                  static_cast<double>(measurement_time.count()));
    }
    print("control_idle_bytes_per_second_per_host", max_bytes_per_second, bytes_per_second_bound);
    print("control_idle_bytes_per_second_per_peer", max_bytes_per_second / (host_count - 1),
          bytes_per_second_bound / (host_count - 1));
    print("control_idle_cpu_percent_per_host", 100 * cpu / static_cast<double>(measurement_time.count()) / host_count,
          cpu_percent_bound);
    std::cout.flush();
    // A normal exit would have to join threads that wait until the open watches of the
    // platform end.
    std::quick_exit(0);
}

} // namespace

int main(int argc, char** argv)
{
    return run(argc > 1 ? argv[1] : "examples/alliance.yaml");
}
