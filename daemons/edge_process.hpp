#pragma once

#include "settings_file.hpp"

#include <galenabay/base/result.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/edge/edge_host.hpp>
#include <platform/settings.hpp>

#include <cstdint>

#include <optional>
#include <utility>

namespace galenabay
{

/// The life of an entry host's process: start, reloads of its settings, planned stop. Used by the main thread, after
/// the process's signals are blocked.
class edge_process
{
public:
    edge_process(settings_file file, std::uint16_t metrics_port, edge::edge_features features)
        : file_{std::move(file)}, metrics_port_{metrics_port}, features_{features}
    {
    }

    /// Starts the host and serves until a planned stop; the host's threads still run afterwards. Returns the process's
    /// exit code: 0, 1 when the host cannot start, 2 when its settings cannot be used.
    int run();

private:
    /// Reads the settings; waits for a bounded time while they cannot be used, since the file may be incomplete.
    /// Returns false when a stop is asked for.
    base::result<bool> read_settings();
    /// Starts the host; while its addresses are in use or missing, waits for them, and for a bounded time for other
    /// resources. Returns false when a stop is asked for. Errors: as `edge_host::start`, for faults that remain.
    base::result<bool> start();
    /// Waits a moment, and on until every address can be bound or the settings change. Reports `fault` at a bounded
    /// rate. Returns false when a stop is asked for.
    bool wait_for_start(const char* event, base::error fault);
    void serve_until_stopped();
    /// Reads the settings again, for a signal or because the file changed. Returns false when they are the current ones
    /// or cannot be used.
    bool reload(int signal_number);

    settings_file file_;
    adapter::settings settings_;
    std::uint16_t metrics_port_;
    edge::edge_features features_;
    std::optional<edge::edge_host> host_;
    /// When a start that is delayed is next reported.
    base::time_point next_start_report_{};
    /// The fault of the settings that was logged last.
    std::optional<base::error> logged_fault_;
};

} // namespace galenabay
