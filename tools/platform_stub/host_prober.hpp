#pragma once

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace galenabay::stub
{

/// A host in the hosts file.
struct host_row
{
    std::string name;
    std::string data_centre;
    std::string control;
    std::string relay;
    /// ADDRESS:PORT of /healthz.
    std::string health;
    bool leaving = false;
};

/// Maintains the platform's list of live and leaving hosts: sends GET /healthz to each
/// host of the hosts file about once a second and publishes the results after a delay.
/// Owns one thread.
class host_prober
{
public:
    /// `file`: YAML list of maps with the keys name, data_centre, control, relay
    /// and health; an empty name means no hosts. `lag`: delay before a result is published.
    host_prober(std::string file, std::chrono::milliseconds lag);
    host_prober(const host_prober&) = delete;
    host_prober& operator=(const host_prober&) = delete;
    ~host_prober();

    /// Reads the file again. Keeps the previous rows if it is malformed.
    void reload();
    /// Returns the list as it was `lag` ago.
    std::vector<host_row> published() const;

private:
    void run();
    void probe_all();

    std::string file_;
    std::chrono::milliseconds lag_;
    mutable std::mutex mutex_;
    std::vector<host_row> hosts_;
    std::map<std::string, int> failures_;
    mutable std::deque<std::pair<std::chrono::steady_clock::time_point, std::vector<host_row>>> results_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace galenabay::stub
