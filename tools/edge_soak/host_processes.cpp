#include "host_processes.hpp"

#include <galenabay/base/invariant.hpp>
#include <galenabay/net/http_session.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <fstream>

namespace galenabay::edge_soak
{

namespace
{

using namespace std::chrono_literals;

constexpr auto probe_interval = 500ms;
constexpr auto probe_timeout = 200ms;
constexpr int misses_until_removed = 2;
constexpr double restart_delay_s = 0.5;

} // namespace

host_processes::host_processes(std::string program, std::string directory, std::size_t count,
                               const base::endpoint& store, address_block block)
    : program_{std::move(program)}, directory_{std::move(directory)}, store_{store}, block_{block}, hosts_(count),
      misses_(count, misses_until_removed)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        hosts_[i].data_centre = i % 3;
        write_settings(i);
        start(i);
    }
    prober_ = std::thread{[this] { probe(); }};
}

host_processes::~host_processes()
{
    stop_.store(true);
    prober_.join();
    for (auto& host : hosts_)
    {
        if (host.process > 0)
        {
            ::kill(host.process, SIGCONT);
            ::kill(host.process, SIGKILL);
            ::waitpid(host.process, nullptr, 0);
        }
    }
}

base::endpoint host_processes::address_of(std::size_t host, std::uint16_t port) const
{
    return base::endpoint::make_v4(block_.hosts() + static_cast<std::uint32_t>(host), port);
}

std::string host_processes::file_path(std::size_t host, const char* suffix) const
{
    return directory_ + "/host-" + std::to_string(host) + suffix;
}

void host_processes::write_settings(std::size_t host) const
{
    std::ofstream out{file_path(host, ".yaml"), std::ios::trunc};
    out << "node: \"host-" << host << "\"\nzone: \"zone-" << hosts_[host].data_centre << "\"\nbind-addrs:\n"
        << "  datagram-addr: \"" << address_of(host, ports_.packets).to_string() << "\"\n"
        << "  readiness-addr: \"" << address_of(host, ports_.readiness).to_string() << "\"\n"
        << "port-range:\n  - " << ports_.peers << "\n  - " << ports_.peers + 9 << "\nseeds: [" << seeds_of(host)
        << "]\n"
        << "bounds:\n  config-ms: 3000\n  grace-s: 6\n  flow-ttl-s: 60\n"
        << "platform:\n  address: \"" << store_.to_string() << "\"\n";
}

std::string host_processes::seeds_of(std::size_t host) const
{
    constexpr std::size_t seed_count = 3;
    std::string seeds;
    for (std::size_t seed = 0; host % 2 == 0 && seed < std::min(seed_count, hosts_.size()); ++seed)
    {
        seeds += (seeds.empty() ? "\"" : ", \"") + address_of(seed, ports_.peers).to_string() + "\"";
    }
    return seeds;
}

void host_processes::start(std::size_t host)
{
    const auto settings = file_path(host, ".yaml");
    const auto log = file_path(host, ".log");
    const auto metrics = std::to_string(ports_.metrics);
    const pid_t process = ::fork();
    GALENABAY_INVARIANT(process >= 0);
    if (process == 0)
    {
        // If the soak is killed, no host stays behind and occupies its addresses.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execl(program_.c_str(), program_.c_str(), "--settings", settings.c_str(), "--metrics-port", metrics.c_str(),
                static_cast<char*>(nullptr));
        ::_exit(127);
    }
    hosts_[host].process = process;
    hosts_[host].exit_expected = false;
}

bool host_processes::signal(std::size_t host, int number)
{
    return hosts_[host].process > 0 && ::kill(hosts_[host].process, number) == 0;
}

std::size_t host_processes::restart_exited(double now)
{
    std::size_t unexpected = 0;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        auto& host = hosts_[i];
        if (host.process > 0 && ::waitpid(host.process, nullptr, WNOHANG) == host.process)
        {
            unexpected += host.exit_expected ? 0 : 1;
            host.process = -1;
            host.start_at = now + restart_delay_s;
        }
        if (host.process < 0 && now >= host.start_at)
        {
            start(i);
        }
    }
    return unexpected;
}

void host_processes::probe()
{
    while (!stop_.load())
    {
        for (std::size_t i = 0; i < hosts_.size() && !stop_.load(); ++i)
        {
            auto session = net::http_session::make(address_of(i, ports_.readiness), probe_timeout);
            const auto answer = session.call({.step = "probe",
                                              .method = "GET",
                                              .path = "/readyz",
                                              .body = {},
                                              .expected_version = {},
                                              .timeout = probe_timeout,
                                              .max_response = 4096});
            const std::lock_guard lock{mutex_};
            misses_[i] = answer ? 0 : misses_[i] + 1;
        }
        std::this_thread::sleep_for(probe_interval);
    }
}

std::vector<base::endpoint> host_processes::rotation() const
{
    const std::lock_guard lock{mutex_};
    std::vector<base::endpoint> ready;
    std::vector<base::endpoint> all;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        all.push_back(address_of(i, ports_.packets));
        if (misses_[i] < misses_until_removed)
        {
            ready.push_back(all.back());
        }
    }
    return ready.size() * 2 < all.size() ? all : ready;
}

} // namespace galenabay::edge_soak
