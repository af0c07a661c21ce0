#pragma once

#include "sockets.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <array>
#include <atomic>
#include <fstream>
#include <mutex>
#include <thread>
#include <vector>

namespace review
{

/// The system's processes: the command of the deploy file, one process for each machine, each
/// with an address of its own; and the platform's readiness checks and routers.
class hosts
{
public:
    struct machine
    {
        std::string name;
        std::string zone;
        std::uint32_t address = 0;
        pid_t process = -1;
        int misses = 2;
        /// Times that the process ended although nobody ended it.
        int own_ends = 0;
        int last_status = 0;
    };
    static constexpr std::uint16_t packet_port = 8172;
    static constexpr std::uint16_t readiness_port = 8167;
    static constexpr std::uint16_t control_port = 8166;

    hosts(std::string program, std::string directory, const endpoint& store, record& log)
        : program_{std::move(program)}, directory_{std::move(directory)}, store_{store}, log_{log}
    {
    }
    hosts(const hosts&) = delete;
    hosts& operator=(const hosts&) = delete;
    ~hosts()
    {
        stop_.store(true);
        if (prober_.joinable())
        {
            prober_.join();
        }
        for (auto& one : machines_)
        {
            if (one.process > 0)
            {
                ::kill(one.process, SIGKILL);
                ::waitpid(one.process, nullptr, 0);
            }
        }
    }

    void add(const std::string& name, const std::string& zone, std::uint32_t address)
    {
        machines_.push_back({name, zone, address});
    }

    void start_all()
    {
        for (std::size_t i = 0; i < machines_.size(); ++i)
        {
            write_settings(i);
            start(i);
        }
        prober_ = std::thread{[this] { probe(); }};
    }

    bool all_ready()
    {
        const std::lock_guard lock{mutex_};
        for (const auto& one : machines_)
        {
            if (one.misses > 0)
            {
                return false;
            }
        }
        return true;
    }

    /// The router's choice among the machines of a zone, by a hash of addresses and ports.
    endpoint route(const std::string& zone, const endpoint& client, const endpoint& service)
    {
        const std::lock_guard lock{mutex_};
        std::vector<std::uint32_t> all;
        std::vector<std::uint32_t> ready;
        for (const auto& one : machines_)
        {
            if (one.zone == zone)
            {
                all.push_back(one.address);
                if (one.misses < 2)
                {
                    ready.push_back(one.address);
                }
            }
        }
        const auto& from = ready.size() * 2 < all.size() ? all : ready;
        const std::uint64_t hash =
            (std::uint64_t{client.address} * 31U + client.port) * 31U + service.address + service.port;
        return {from[hash % from.size()], packet_port};
    }

    /// Restarts processes that ended, after half a second, and counts those ends.
    void restart_ended()
    {
        for (std::size_t i = 0; i < machines_.size(); ++i)
        {
            auto& one = machines_[i];
            int status = 0;
            if (one.process > 0 && ::waitpid(one.process, &status, WNOHANG) == one.process)
            {
                one.process = -1;
                ++one.own_ends;
                one.last_status = status;
                log_.line("process of %s ended by itself: %s %d", one.name.c_str(),
                          WIFSIGNALED(status) ? "signal" : "exit",
                          WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
                std::this_thread::sleep_for(std::chrono::milliseconds{200});
                start(i);
            }
        }
    }

    const std::vector<machine>& machines() const { return machines_; }

private:
    void write_settings(std::size_t index) const
    {
        const auto& one = machines_[index];
        const auto at = [&](std::uint16_t port) { return text_of({one.address, port}); };
        std::ofstream out{directory_ + "/" + one.name + ".yaml"};
        out << "node: \"" << one.name << "\"\nrole: \"edge-host\"\nmachine-class: \"edge\"\n"
            << "serves:\n  - \"edge\"\n  - \"control_plane\"\nip: \"" << address_text(one.address) << "\"\nzone: \""
            << one.zone << "\"\nregion: \"region\"\nbind-addrs:\n  datagram-addr: \"" << at(packet_port)
            << "\"\n  readiness-addr: \"" << at(readiness_port) << "\"\n  control: \"" << at(control_port)
            << "\"\nport-range:\n  - 7720\n  - 7735\nseeds:\n";
        for (std::size_t seed = 0; seed < machines_.size() && seed < 9; seed += 3)
        {
            out << "  - \"" << text_of({machines_[seed].address, control_port}) << "\"\n";
        }
        out << "bootstrap: true\nin-tolerance: false\nlimits:\n  cpu-share: 0.055\n  cores: 1\n  memory-mb: 260\n"
            << "  max-fds: 4100\n  link-mbps: 1000.0\n  disk-mb: 0\ndata-dir: null\ndiscovery: \"platform\"\n"
            << "entry: \"advertise\"\nheartbeat-ms: 1200\nfault-tolerance:\n  machines: 1\n  zones: 1\n  regions: 0\n"
            << "bounds:\n  seed-lag-s: 3\n  reuse-after-s: 2\n  stable-window-ms: 4000\n  ack-ms: 5000\n"
            << "  catchup-s: 4\n  drain-ms: 3000\n  grace-s: 6\n  loss-slack-ms: 200\n  config-ms: 3000\n"
            << "  rollback-slack-ms: 250\n  max-skew-ms: 12000\n  recovery-s: 12\n  reorder-ms: 2000\n"
            << "  flow-ttl-s: 60\nhash: \"mod\"\nforwarding-mode: \"echo\"\nplatform:\n  address: \"" << text_of(store_)
            << "\"\n  forwarding-mode: \"objects\"\n  writes-per-s: 400\n  reads-per-s: 2000\n  retention-s: 20\n"
            << "  value-bytes: 1048576\n  ttl-min-ms: 1000\n";
    }

    void start(std::size_t index)
    {
        auto& one = machines_[index];
        const auto settings = "GALENABAY_SETTINGS=" + directory_ + "/" + one.name + ".yaml";
        const auto log = directory_ + "/" + one.name + ".log";
        const pid_t process = ::fork();
        if (process < 0)
        {
            give_up("a process couldn't be started");
        }
        if (process == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            std::string path = "PATH=/usr/bin:/bin";
            std::string home = "HOME=/tmp";
            auto variable = settings;
            std::array<char*, 4> environment{path.data(), home.data(), variable.data(), nullptr};
            auto name = program_;
            std::array<char*, 2> arguments{name.data(), nullptr};
            ::execve(program_.c_str(), arguments.data(), environment.data());
            ::_exit(127);
        }
        one.process = process;
    }

    void probe()
    {
        while (!stop_.load())
        {
            for (std::size_t i = 0; i < machines_.size() && !stop_.load(); ++i)
            {
                const bool ready = is_ready({machines_[i].address, readiness_port});
                const std::lock_guard lock{mutex_};
                machines_[i].misses = ready ? 0 : machines_[i].misses + 1;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{450});
        }
    }

    static bool is_ready(const endpoint& at)
    {
        const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const timeval limit{0, 200'000};
        ::setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        const auto address = to_sockaddr(at);
        std::string head;
        std::string body;
        const bool ready =
            ::connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
            send_all(connection, "GET /readyz HTTP/1.1\r\nHost: " + text_of(at) + "\r\nConnection: close\r\n\r\n") &&
            wait_readable(connection, 300) && read_http(connection, head, body) &&
            head.find(" 200 ") != std::string::npos;
        ::close(connection);
        return ready;
    }

    std::string program_;
    std::string directory_;
    endpoint store_;
    record& log_;
    std::mutex mutex_;
    std::vector<machine> machines_;
    std::atomic<bool> stop_{false};
    std::thread prober_;
};

} // namespace review
