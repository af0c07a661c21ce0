#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/config/accepted_revision.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace galenabay::daemon
{

/// A CoAP GET of an upstream's load report, ready to be sent.
struct probe
{
    config::service_id service = 0;
    base::endpoint service_address;
    base::endpoint upstream;
    std::vector<std::byte> bytes;
};

/// State of an upstream according to the response to a probe, or to missing responses.
struct health_change
{
    config::upstream_id upstream = 0;
    bool healthy = true;
    /// Requests that the upstream reports as running; 0 when it did not respond.
    std::uint32_t running = 0;
};

/// Requests the load report of every upstream of the CoAP services once a second. Does no I/O: returns the probes to
/// send and receives the responses. Owned by the decide thread.
class health_prober
{
public:
    explicit health_prober(std::uint64_t seed) : random_{seed} {}

    /// Probes the upstreams of `revision` from now on; the state of upstreams that remain is kept.
    void on_revision(const config::accepted_revision& revision, base::time_point now);

    /// Returns the probes that are due. Appends upstreams that have become unhealthy for lack of responses to
    /// `changes`.
    std::vector<probe> on_tick(base::time_point now, std::vector<health_change>& changes);

    /// Handles the response to a probe. Returns nullopt unless it matches the last probe of `upstream`.
    std::optional<health_change> on_answer(const base::endpoint& upstream, std::uint64_t token,
                                           std::span<const std::byte> payload);

    /// Returns how many upstreams are unhealthy.
    std::size_t unhealthy_count() const;

private:
    struct target
    {
        config::upstream_id id = 0;
        config::service_id service = 0;
        base::endpoint service_address;
        base::time_point due{};
        /// Token of the last probe.
        std::uint64_t token = 0;
        /// Probes sent since the last response.
        std::uint32_t unanswered = 0;
        bool healthy = true;
    };

    probe make_probe(const base::endpoint& upstream, target& entry);

    base::random_source random_;
    std::uint16_t next_message_id_ = 1;
    std::map<base::endpoint, target> targets_;
};

} // namespace galenabay::daemon
