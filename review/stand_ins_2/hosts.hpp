#pragma once

#include "record.hpp"

#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review
{

/// Ports of the hosts, the same on all of them. The program of the deploy file serves its metrics at 9100.
struct host_ports
{
    std::uint16_t packets = 18'172;
    std::uint16_t readiness = 18'167;
    std::uint16_t control = 18'166;
    std::uint16_t first_peer = 17'720;
};

/// Bounds of the settings that differ between deployments.
struct host_bounds
{
    int stable_window_ms = 4'000;
    int drain_ms = 3'000;
    int config_ms = 3'000;
};

/// Processes of the deploy file's program, one a host, and the platform's routers: they probe each host twice a second,
/// and take one that misses two probes out of the rotation. Thread-safe after `add`.
class hosts
{
public:
    hosts(record& out, std::string directory, host_bounds bounds = {})
        : out_{out}, directory_{std::move(directory)}, bounds_{bounds}
    {
    }
    hosts(const hosts&) = delete;
    hosts& operator=(const hosts&) = delete;
    ~hosts()
    {
        stopping_ = true;
        if (prober_.joinable())
        {
            prober_.join();
        }
        for (auto& one : all_)
        {
            end(one, SIGKILL);
        }
    }

    /// Adds a host; call it before `start_all`. `seeds`: hosts that it may ask for the others.
    void add(const std::string& zone, std::uint32_t address, const endpoint& store)
    {
        all_.push_back({.name = "edge-" + zone + "-" + std::to_string(all_.size() + 1),
                        .zone = zone,
                        .address = address,
                        .store = store});
    }
    void start_all()
    {
        misses_.assign(all_.size(), 2);
        for (std::size_t i = 0; i < all_.size(); ++i)
        {
            write_settings(all_[i]);
            start(i);
        }
        prober_ = std::thread{[this] { probe_all(); }};
    }
    void start(std::size_t host)
    {
        auto& one = all_[host];
        const auto file = settings_file(one);
        const auto log = directory_ + "/" + one.name + ".log";
        const pid_t process = ::fork();
        if (process < 0)
        {
            give_up("no process");
        }
        if (process == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("GALENABAY_SETTINGS", file.c_str(), 1);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::execl("target/bin/galena_edged", "target/bin/galena_edged", static_cast<char*>(nullptr));
            ::_exit(127);
        }
        one.process = process;
        out_.line("host " + one.name + " started");
    }
    /// Stops a host as the platform does: SIGTERM, and SIGKILL after the grace time.
    void stop(std::size_t host)
    {
        out_.line("host " + all_[host].name + " gets SIGTERM");
        end(all_[host], SIGTERM);
        out_.line("host " + all_[host].name + " ended");
    }

    std::size_t size() const { return all_.size(); }
    const std::string& name(std::size_t host) const { return all_[host].name; }
    const std::string& zone(std::size_t host) const { return all_[host].zone; }
    endpoint packets(std::size_t host) const { return {all_[host].address, ports_.packets}; }
    const endpoint& store_of(std::size_t host) const { return all_[host].store; }
    const host_ports& ports() const { return ports_; }
    /// The host whose packets come from an address.
    std::optional<std::size_t> find(const endpoint& from) const
    {
        for (std::size_t i = 0; i < all_.size(); ++i)
        {
            if (all_[i].address == from.address)
            {
                return i;
            }
        }
        return std::nullopt;
    }
    bool is_ready(std::size_t host) const
    {
        const std::lock_guard lock{mutex_};
        return misses_[host] == 0;
    }
    bool are_ready() const
    {
        for (std::size_t i = 0; i < all_.size(); ++i)
        {
            if (!is_ready(i))
            {
                return false;
            }
        }
        return true;
    }
    /// Hosts of a zone that the routers use: those in rotation, or all if fewer than half are.
    std::vector<std::size_t> rotation(const std::string& zone) const
    {
        std::vector<std::size_t> in_zone;
        std::vector<std::size_t> in_use;
        const std::lock_guard lock{mutex_};
        for (std::size_t i = 0; i < all_.size(); ++i)
        {
            if (all_[i].zone == zone)
            {
                in_zone.push_back(i);
                if (misses_[i] < 2)
                {
                    in_use.push_back(i);
                }
            }
        }
        return in_use.size() * 2 < in_zone.size() ? in_zone : in_use;
    }

private:
    struct host
    {
        std::string name;
        std::string zone;
        std::uint32_t address = 0;
        endpoint store;
        pid_t process = -1;
    };

    std::string settings_file(const host& one) const { return directory_ + "/" + one.name + ".yaml"; }

    void write_settings(const host& one) const
    {
        const auto at = [&](std::uint16_t port) { return "\"" + endpoint{one.address, port}.text() + "\""; };
        std::string zones;
        std::string seeds;
        for (std::size_t i = 0; i < all_.size(); ++i)
        {
            if (i < 3)
            {
                seeds += "  - \"" + endpoint{all_[i].address, ports_.control}.text() + "\"\n";
            }
            if (zones.find(all_[i].zone + ":") == std::string::npos)
            {
                zones += "  " + all_[i].zone + ": \"region-1\"\n";
            }
        }
        std::ofstream out{settings_file(one)};
        out << "node: \"" << one.name << "\"\nrole: \"edge-host\"\nmachine-class: \"edge\"\nserves:\n  - \"edge\"\n"
            << "  - \"control_plane\"\nip: \"" << endpoint{one.address, 0}.address_text() << "\"\nzone: \"" << one.zone
            << "\"\nregion: \"region-1\"\nzones:\n"
            << zones << "bind-addrs:\n  datagram-addr: " << at(ports_.packets)
            << "\n  readiness-addr: " << at(ports_.readiness) << "\n  control: " << at(ports_.control)
            << "\nport-range:\n  - " << ports_.first_peer << "\n  - " << ports_.first_peer + 15 << "\nseeds:\n"
            << seeds << "bootstrap: true\nin-tolerance: false\nlimits:\n  cpu-share: 0.055\n  cores: 1\n"
            << "  memory-mb: 260\n  max-fds: 4100\n  link-mbps: 1000.0\n  disk-mb: 0\ndata-dir: null\n"
            << "discovery: \"platform\"\nentry: \"advertise\"\nheartbeat-ms: 1200\ncontracts:\n  - \"base\"\n"
            << "  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"recover\"\n  - \"flows\"\n  - \"platform\"\n"
            << "fault-tolerance:\n  machines: 1\n  zones: 1\n  regions: 0\nbounds:\n  seed-lag-s: 3\n"
            << "  reuse-after-s: 2\n  stable-window-ms: " << bounds_.stable_window_ms
            << "\n  ack-ms: 5000\n  catchup-s: 4\n  drain-ms: " << bounds_.drain_ms << "\n"
            << "  grace-s: 6\n  loss-slack-ms: 200\n  config-ms: " << bounds_.config_ms
            << "\n  rollback-slack-ms: 250\n"
            << "  max-skew-ms: 12000\n  recovery-s: 12\n  reorder-ms: 2000\n  flow-ttl-s: 60\nhash: \"mod\"\n"
            << "forwarding-mode: \"echo\"\nplatform:\n  address: \"" << one.store.text()
            << "\"\n  forwarding-mode: \"objects\"\n  writes-per-s: 400\n  reads-per-s: 2000\n  retention-s: 20\n"
            << "  value-bytes: 1048576\n  ttl-min-ms: 1000\n";
    }

    static void end(host& one, int signal)
    {
        if (one.process < 0)
        {
            return;
        }
        ::kill(one.process, signal);
        constexpr double grace_ms = 6'000;
        const auto begun = now_ms();
        while (::waitpid(one.process, nullptr, WNOHANG) == 0)
        {
            if (now_ms() - begun > grace_ms)
            {
                ::kill(one.process, SIGKILL);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{5});
        }
        one.process = -1;
    }

    /// Returns true when the host answers a probe with 200.
    bool probe(const host& one) const
    {
        const descriptor connection{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
        const timeval limit{0, 300'000};
        ::setsockopt(connection.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        ::setsockopt(connection.get(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        const auto address = endpoint{one.address, ports_.readiness}.native();
        if (::connect(connection.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        {
            return false;
        }
        const std::string request = "GET /readyz HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n";
        ::send(connection.get(), request.data(), request.size(), MSG_NOSIGNAL);
        char answer[64] = {};
        return ::recv(connection.get(), answer, sizeof answer - 1, 0) > 0 &&
               std::string{answer}.find(" 200 ") != std::string::npos;
    }

    void probe_all()
    {
        while (!stopping_)
        {
            const auto begun = now_ms();
            for (std::size_t i = 0; i < all_.size(); ++i)
            {
                const bool answered = probe(all_[i]);
                const std::lock_guard lock{mutex_};
                misses_[i] = answered ? 0 : misses_[i] + 1;
            }
            while (!stopping_ && now_ms() - begun < 500)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds{5});
            }
        }
    }

    record& out_;
    std::string directory_;
    host_bounds bounds_;
    host_ports ports_;
    std::vector<host> all_;
    mutable std::mutex mutex_;
    std::vector<int> misses_;
    std::atomic<bool> stopping_{false};
    std::thread prober_;
};

} // namespace review
