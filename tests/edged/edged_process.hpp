#pragma once

#include <galenabay/base/endpoint.hpp>

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// Processes of galena_edged, and what a test sees of them from outside.
namespace galenabay::edged_test
{

using namespace std::chrono_literals;

/// Time within which a process must be ready after it was started.
constexpr auto start_bound = 4s;
/// Time within which a process must end after the request to stop, with the settings of these tests.
constexpr auto stop_bound = 3s;

/// Addresses and times of one host.
struct host_settings
{
    std::string name = "edge-1";
    std::string data_centre = "east";
    base::endpoint packets = next_address();
    base::endpoint readiness = next_address();
    base::endpoint peers = next_address();
    base::endpoint store = next_address();
    /// Empty where data centres are not evacuated.
    std::optional<std::chrono::milliseconds> evacuation_bound{};
    /// Time between the request to stop and the kill of the process.
    std::chrono::seconds stop_time{3};
    std::uint16_t metrics_port = next_address().port();

    std::string text() const;
    base::endpoint metrics() const { return packets.with_port(metrics_port); }

    /// Returns an address that no other test uses.
    static base::endpoint next_address();
};

/// Result of a process that ended.
struct exit_result
{
    /// Exit code, or 128 and the number of the signal that ended the process.
    int code = 0;
};

/// How a process is started.
struct start_options
{
    /// Arguments after the program's name.
    std::vector<std::string> arguments;
    /// Runs in the child process before the program; only calls that are safe after a fork.
    void (*prepare)() = nullptr;
    /// Descriptors of the child's standard output and error; its log file when negative.
    int output = -1;
};

/// A process of galena_edged with a directory for its files; killed by the destructor.
class edged_process
{
public:
    explicit edged_process(const host_settings& settings);
    edged_process(const edged_process&) = delete;
    edged_process& operator=(const edged_process&) = delete;
    ~edged_process();

    const host_settings& settings() const { return settings_; }
    std::string settings_path() const { return directory_ + "/settings.yaml"; }
    std::string log_path() const { return directory_ + "/log"; }
    void write_settings(const std::string& text) const;

    /// Starts the program with the settings file.
    void start(const start_options& options = {});
    pid_t id() const { return process_; }
    void signal(int number) const;
    /// Kills the process and waits for its end.
    void kill();
    bool is_running();
    /// Waits for the end of the process, at most `limit`.
    std::optional<exit_result> wait(std::chrono::milliseconds limit);

    /// Returns what a descriptor of the process refers to.
    std::string descriptor_target(int descriptor) const;
    bool is_ready() const { return answers(settings_.readiness, "/readyz"); }
    /// Returns true when a GET of `path` is answered with 200.
    static bool answers(const base::endpoint& server, const std::string& path);
    /// Returns the number of log lines with `event=NAME`.
    std::size_t count(const std::string& event) const;
    std::string log() const;

private:
    host_settings settings_;
    std::string directory_;
    pid_t process_ = -1;
    std::optional<exit_result> ended_;
};

template <typename Condition> bool holds_within(std::chrono::milliseconds limit, Condition condition)
{
    constexpr auto poll_interval = 10ms;
    for (const auto end = std::chrono::steady_clock::now() + limit; std::chrono::steady_clock::now() < end;)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return condition();
}

/// A configuration and a registration that make a host ready.
inline std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"feed","host":"198.18.0.1","path-prefix":"/8443/","service":"feed"}],)"
           R"("services":[],"limits":{}})";
}
inline std::string registration()
{
    return R"({"service":"feed","address":"127.0.0.9:8443","zone":"east","version":"v1","max-concurrency":3,)"
           R"("state":"ready","warmup-left-ms":0,"sequence":1,"born":1785880304094})";
}

} // namespace galenabay::edged_test
