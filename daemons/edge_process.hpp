#pragma once

#include "settings_file.hpp"

#include <galenabay/base/result.hpp>
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
    edge_process(settings_file file, adapter::settings settings, std::uint16_t metrics_port)
        : file_{std::move(file)}, settings_{std::move(settings)}, metrics_port_{metrics_port}
    {
    }

    /// Starts the host and serves until a planned stop. Returns the process's exit code: 0, or 1 when the host cannot
    /// start.
    int run();

private:
    /// Starts the host; while its addresses are in use or missing, waits for them. Returns none when a stop is asked
    /// for. Errors: as `edge_host::start`, for faults that waiting does not mend.
    base::result<std::optional<edge::edge_host>> start();
    /// Waits until every address can be bound, or the settings change. Returns false when a stop is asked for.
    bool wait_for_addresses(base::error fault);
    void serve_until_stopped(edge::edge_host& running);
    /// Reads the settings again. Returns false when they cannot be used; the current ones stay.
    bool reload();

    settings_file file_;
    adapter::settings settings_;
    std::uint16_t metrics_port_;
};

} // namespace galenabay
