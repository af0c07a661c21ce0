#include <galenabay/base/hash.hpp>
#include <galenabay/steer/steering_decision.hpp>
#include <galenabay/steer/upstream_probe.hpp>

namespace galenabay::steer
{

const char* name_of(steering_action action)
{
    switch (action)
    {
    case steering_action::forward:
        return "forward";
    case steering_action::reset:
        return "reset";
    case steering_action::drop:
        return "drop";
    case steering_action::relay:
        return "relay";
    }
    return "unknown";
}

const char* name_of(steering_reason reason)
{
    switch (reason)
    {
    case steering_reason::token:
        return "token";
    case steering_reason::new_flow:
        return "new_flow";
    case steering_reason::next_upstream:
        return "next_upstream";
    case steering_reason::no_route:
        return "no_route";
    case steering_reason::route_removed:
        return "route_removed";
    case steering_reason::no_upstream:
        return "no_upstream";
    case steering_reason::token_unknown:
        return "token_unknown";
    case steering_reason::token_missing:
        return "token_missing";
    case steering_reason::upstream_ended:
        return "upstream_ended";
    case steering_reason::upstream_silent:
        return "upstream_silent";
    case steering_reason::not_ready:
        return "not_ready";
    case steering_reason::evacuated:
        return "evacuated";
    case steering_reason::warm_up_limit:
        return "warm_up_limit";
    case steering_reason::no_room:
        return "no_room";
    case steering_reason::relayed:
        return "relayed";
    }
    return "unknown";
}

std::uint32_t host_key(std::string_view name) noexcept
{
    return static_cast<std::uint32_t>(base::hash_text(name));
}

const char* name_of(probe_result result)
{
    switch (result)
    {
    case probe_result::reachable:
        return "reachable";
    case probe_result::refused:
        return "refused";
    case probe_result::unreachable:
        return "unreachable";
    }
    return "unknown";
}

} // namespace galenabay::steer

std::size_t std::hash<galenabay::steer::flow_key>::operator()(const galenabay::steer::flow_key& key) const noexcept
{
    const auto addresses = (std::uint64_t{key.caller_address} << 32U) | key.service_address;
    const auto ports = (std::uint64_t{key.caller_port} << 16U) | key.service_port;
    return galenabay::base::mix(addresses, ports);
}
