#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/hash.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace galenabay::config
{

/// Identifies a service across revisions: hash of its name.
using service_id = std::uint64_t;
/// Identifies an upstream across revisions: hash of service name, upstream name
/// and endpoint. Never 0.
using upstream_id = std::uint64_t;

/// How the balancer handles the packets of a service.
enum class service_kind
{
    /// Opaque datagrams; the balancer handles flows only.
    datagram,
    /// RFC 7252; the balancer handles single requests.
    coap,
};

/// A back end of a service. Plain value.
struct upstream
{
    std::string name;
    base::endpoint endpoint;
    std::string data_centre;
    /// Share of new flows in relation to the other upstreams; at least 1.
    std::uint32_t weight = 100;
    /// Largest number of concurrent requests; at least 1.
    std::uint32_t slots = 3;
    /// Largest number of concurrent flows; at least 1.
    std::uint32_t connections = 2000;
    /// Accepts no new flows or requests; established flows stay.
    bool draining = false;

    friend auto operator<=>(const upstream&, const upstream&) = default;
};

/// Limits for the flows of a service; see FlowPolicy in schema/config.capnp.
struct flow_policy
{
    std::uint32_t idle_timeout_s = 300;

    friend auto operator<=>(const flow_policy&, const flow_policy&) = default;
};

/// Limits for the requests to a service; see RequestPolicy in
/// schema/config.capnp.
struct request_policy
{
    std::uint32_t deadline_ms = 5000;
    std::uint32_t queue_limit = 256;
    std::uint32_t retry_budget_percent = 10;
    std::uint32_t max_age_s = 2;

    friend auto operator<=>(const request_policy&, const request_policy&) = default;
};

/// An address that callers send to and the upstreams behind it. Plain value.
struct service
{
    std::string name;
    service_kind kind = service_kind::datagram;
    /// Address and port that callers send to.
    base::endpoint address;
    std::vector<upstream> upstreams;
    flow_policy flows;
    request_policy requests;
    /// Accepts no new flows or requests; established flows stay.
    bool draining = false;

    service_id id() const noexcept { return base::hash_text(name); }

    friend auto operator<=>(const service&, const service&) = default;
};

/// All services of a deployment, as one operator applied them. Plain value;
/// validated by `validate()` before it is accepted.
struct service_set
{
    std::string name;
    std::vector<service> services;

    friend auto operator<=>(const service_set&, const service_set&) = default;
};

/// Returns the id of `target`, an upstream of `owner`.
inline upstream_id id_of(const service& owner, const upstream& target) noexcept
{
    const std::uint64_t value = base::hash_endpoint(target.endpoint, base::hash_text(target.name, owner.id()));
    return value == 0 ? 1 : value;
}

} // namespace galenabay::config
