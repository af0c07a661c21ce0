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

/// A host that the platform knows of.
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

/// The platform's list of live and leaving hosts: asks each known host for
/// GET /healthz about once a second and publishes the answers after a lag.
/// Owns one thread.
class host_prober
{
public:
    /// `file`: YAML list of maps with the keys name, data_centre, control, relay
    /// and health; may be empty.
    host_prober(std::string file, std::chrono::milliseconds lag);
    host_prober(const host_prober&) = delete;
    host_prober& operator=(const host_prober&) = delete;
    ~host_prober();

    /// Reads the file again. Keeps the previous rows when it is malformed.
    void reload();
    /// The list as it was `lag` ago.
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
