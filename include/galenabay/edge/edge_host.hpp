#pragma once

#include <galenabay/base/result.hpp>
#include <platform/settings.hpp>

#include <chrono>
#include <memory>

namespace galenabay::edge
{

/// An entry host on the users' platform: steers the packets that the platform's
/// routers hand to it, and follows the platform's store.
///
/// Owns its threads: one for packets, one for each kind of object that it follows,
/// and those of the status server. All members are for the thread that started it.
class edge_host
{
public:
    /// `metrics_port`: where /metrics is served, on the address of the packets.
    /// Errors: `io_failure` when an address can't be bound.
    static base::result<edge_host> start(const adapter::settings& settings, std::uint16_t metrics_port);

    edge_host(edge_host&&) noexcept;
    edge_host& operator=(edge_host&&) noexcept;
    ~edge_host();

    /// Takes over settings that may change while running: the store's address.
    /// Another address of this host needs a restart, which is logged.
    void reload(const adapter::settings& settings);

    /// Says "not ready" to the routers and goes on steering until they have moved on
    /// or the stop bound is near. Returns how long that took.
    std::chrono::milliseconds drain();

private:
    class implementation;
    explicit edge_host(std::unique_ptr<implementation> running);

    std::unique_ptr<implementation> running_;
};

} // namespace galenabay::edge
