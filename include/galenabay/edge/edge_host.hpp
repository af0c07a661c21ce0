#pragma once

#include <galenabay/base/result.hpp>
#include <platform/settings.hpp>

#include <chrono>
#include <memory>

namespace galenabay::edge
{

/// Behaviour that an operator can switch off. Plain value.
struct edge_features
{
    /// As in `steer::steering_options`.
    bool learned_capacity = true;
};

/// An entry host on the users' platform: steers the packets that the platform's
/// routers send to it, and follows the platform's store.
///
/// Owns its threads: one for packets, one for probes, one for each kind of object that it
/// follows, one for checks of the store, one for its registration and those of the status servers. Call all members on
/// the thread that started it.
class edge_host
{
public:
    /// Binds the addresses and starts the threads. `metrics_port`: port of /metrics, on the
    /// address of the packets; the host serves without it when another program holds it.
    /// Errors: `io_failure` when any other address cannot be bound.
    static base::result<edge_host> start(const adapter::settings& settings, std::uint16_t metrics_port,
                                         edge_features features = {});

    edge_host(edge_host&&) noexcept;
    edge_host& operator=(edge_host&&) noexcept;
    ~edge_host();

    /// Applies the settings that may change while running: the store's address and the stop
    /// bound. A change of the packet or readiness address needs a restart, which is logged.
    void reload(const adapter::settings& settings);

    /// Tries to serve /metrics again when its port was in use; does nothing otherwise. Call it
    /// each second or so.
    void retry_metrics();

    /// Reports "not ready" to the routers and goes on steering until they send no more
    /// packets or the stop bound is near. Then ends the threads, the packet thread after the packets
    /// that have reached its socket. Returns the time taken.
    std::chrono::milliseconds drain();

private:
    class implementation;
    explicit edge_host(std::unique_ptr<implementation> running);
    /// As `start`; throws when the system refuses a thread, an event or memory.
    static base::result<edge_host> start_threads(const adapter::settings& settings, std::uint16_t metrics_port,
                                                 edge_features features);

    std::unique_ptr<implementation> running_;
};

} // namespace galenabay::edge
