#pragma once

#include "address_block.hpp"

#include <galenabay/base/endpoint.hpp>

#include <sys/types.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace galenabay::edge_soak
{

/// Ports of the hosts; each host has an address of its own.
struct host_ports
{
    std::uint16_t packets = 29100;
    std::uint16_t readiness = 29101;
    std::uint16_t peers = 29110;
    std::uint16_t metrics = 29102;
};

/// Runs `galena_edged` processes and maintains the routers' rotation: each process is
/// probed at /readyz twice a second and is removed from the rotation after two failures.
/// Processes are signalled by process id only. Owns the probing thread.
class host_processes
{
public:
    /// Starts `count` processes. `directory` is where their settings and logs are written.
    host_processes(std::string program, std::string directory, std::size_t count, const base::endpoint& store,
                   address_block block);
    host_processes(const host_processes&) = delete;
    host_processes& operator=(const host_processes&) = delete;
    ~host_processes();

    /// Starts the process of a host. Its output is appended to its log.
    void start(std::size_t host);
    /// Sends a signal to a host; returns false if it is not running.
    bool signal(std::size_t host, int number);
    /// Writes the settings file again.
    void write_settings(std::size_t host) const;
    /// Restarts hosts that have exited, as the platform does. Returns how many exited
    /// unexpectedly.
    std::size_t restart_exited(double now);
    /// Marks the next exit of a host as requested by a fault.
    void expect_exit(std::size_t host) { hosts_[host].exit_expected = true; }

    std::size_t size() const { return hosts_.size(); }
    /// Returns the hosts that the routers use: those that are ready, or all if fewer than
    /// half are.
    std::vector<base::endpoint> rotation() const;

private:
    struct host_process
    {
        pid_t process = -1;
        bool exit_expected = false;
        double start_at = 0;
        std::size_t data_centre = 0;
    };

    void probe();
    base::endpoint address_of(std::size_t host, std::uint16_t port) const;
    std::string file_path(std::size_t host, const char* suffix) const;
    /// Returns the seeds of a host's settings, as a YAML list: every second host has none and
    /// finds the others through the store.
    std::string seeds_of(std::size_t host) const;

    std::string program_;
    std::string directory_;
    base::endpoint store_;
    address_block block_;
    host_ports ports_;
    std::vector<host_process> hosts_;
    std::atomic<bool> stop_{false};
    mutable std::mutex mutex_;
    std::vector<int> misses_;
    std::thread prober_;
};

} // namespace galenabay::edge_soak
