#pragma once

#include "address_block.hpp"
#include "process_output.hpp"

#include <galenabay/base/endpoint.hpp>

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace galenabay::edge_soak
{

/// Time within which an evacuation must be in force on all hosts.
constexpr int evacuation_bound_ms = 5'000;
/// Bound on new flows of a starting upstream in a second: the service's rate times the overshoot, plus the slack.
constexpr double warm_up_overshoot = 1.2;
constexpr double warm_up_slack = 1;

/// Ports of the hosts; each host has an address of its own.
struct host_ports
{
    std::uint16_t packets = 29100;
    std::uint16_t readiness = 29101;
    std::uint16_t peers = 29110;
    std::uint16_t metrics = 29102;
};

/// How a settings file is written.
enum class settings_write
{
    in_place,
    /// Only the first part of the text is written.
    half,
    /// A complete new file takes the place of the old one.
    rename,
};

/// Runs `galena_edged` processes and maintains the routers' rotation: each process is
/// probed at /readyz twice a second and is removed from the rotation after two failures.
/// Processes are signalled by process id only. Owns the probing thread.
class host_processes
{
public:
    /// Writes the settings of `count` hosts, none of which is in use yet. `directory` is where
    /// their settings and logs are written. The store of host N is at the N-th address from
    /// `first_store`.
    host_processes(std::string program, std::string directory, std::size_t count, const base::endpoint& first_store,
                   address_block block);
    host_processes(const host_processes&) = delete;
    host_processes& operator=(const host_processes&) = delete;
    ~host_processes();

    /// Calls `started` after each start of a host's process.
    void on_start(std::function<void(std::size_t, double)> started) { started_ = std::move(started); }
    /// Sends a signal to a host; returns false if it is not running.
    bool signal(std::size_t host, int number);
    /// Returns true once the host's program handles its signals. Before that, the kernel carries out a signal's default
    /// action, which ends a program whose libraries are still being loaded.
    bool handles_signals(std::size_t host) const;
    /// Ends a host by a signal, and starts it again `delay` seconds after it has ended.
    void end(std::size_t host, int number, double delay);
    /// Sends SIGTERM to a host and starts its next process at once, while the old one runs.
    void replace(std::size_t host, double now);
    /// Kills the processes that `replace` has left.
    void kill_replaced(std::size_t host);
    /// Adds a host to the deployment; it is started at `start_at`.
    void add(std::size_t host, double start_at);
    /// Removes a host from the deployment with SIGTERM.
    void remove(std::size_t host);
    bool in_use(std::size_t host) const { return hosts_[host].in_use; }
    void write_settings(std::size_t host, settings_write how) const;
    /// The host need not be ready because of a fault that lasts until then.
    void disturb(std::size_t host, double until);
    /// The host does not run, or runs for a small share of the time, until then.
    void hold_up(std::size_t host, double now, double until);
    /// Beginning and end of the last time in which the host was held up.
    std::pair<double, double> held_up(std::size_t host) const;
    double started_at(std::size_t host) const { return hosts_[host].started_at; }
    std::string data_centre_of(std::size_t host) const;
    /// Returns the host whose packets come from an address; `size()` if there is none.
    std::size_t find(const base::endpoint& packets) const;
    /// Returns true when the host runs and is not held up.
    bool runs(std::size_t host, double now) const;
    /// Returns true when the last probe of the host was answered.
    bool is_ready(std::size_t host) const;

    /// Starts the processes that are due. Returns a line for each process that has ended
    /// although nobody ended it.
    std::vector<std::string> restart_ended(double now);
    /// Returns a line for each process that is not ready although it has run, undisturbed,
    /// for the time in which a host has to get ready. Names each process once.
    std::vector<std::string> late_hosts(double now);
    bool all_ready() const;
    /// Returns the largest resident memory of a process so far, in kB.
    long peak_memory_kb() const;

    process_output& output() { return output_; }
    std::size_t size() const { return hosts_.size(); }
    base::endpoint address_of(std::size_t host, std::uint16_t port) const;
    base::endpoint store_of(std::size_t host) const;
    const host_ports& ports() const { return ports_; }
    /// Returns the hosts that the routers use: those that are ready, or all if fewer than
    /// half are.
    std::vector<base::endpoint> rotation() const;

private:
    struct host_process
    {
        pid_t process = -1;
        std::vector<pid_t> replaced;
        bool exit_expected = false;
        bool in_use = false;
        bool reported_late = false;
        double started_at = 0;
        double start_at = 0;
        double restart_delay = 0;
        double disturbed_until = 0;
        std::pair<double, double> held_up{0, 0};
        std::size_t data_centre = 0;
    };

    void start(std::size_t host, double now);
    void set_in_use(std::size_t host, bool in_use);
    [[noreturn]] void run_program(std::size_t host, int output) const;
    void probe();
    std::string file_path(std::size_t host, const char* suffix) const;
    std::string settings_text(std::size_t host) const;
    /// Returns the seeds of a host's settings, as a YAML list: every second host has none and
    /// finds the others through the store.
    std::string seeds_of(std::size_t host) const;

    std::string program_;
    std::string directory_;
    base::endpoint first_store_;
    address_block block_;
    host_ports ports_;
    process_output output_;
    std::function<void(std::size_t, double)> started_;
    std::vector<host_process> hosts_;
    std::atomic<bool> stop_{false};
    mutable std::mutex mutex_;
    std::vector<int> misses_;
    std::vector<char> in_rotation_;
    std::thread prober_;
};

} // namespace galenabay::edge_soak
