#pragma once

#include <galenabay/base/hash.hpp>
#include <galenabay/dispatch/dispatcher.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace galenabay::dispatch::testing
{

using namespace std::chrono_literals;

inline base::time_point at(base::duration since_start)
{
    return base::time_point{since_start};
}

/// A service with `count` upstreams in data centre "a", three slots each.
inline config::service make_service(std::size_t count)
{
    config::service service;
    service.name = "parts";
    service.kind = config::service_kind::coap;
    service.address = base::endpoint::make_v4(0x0a000001, 5683);
    for (std::size_t i = 0; i < count; ++i)
    {
        config::upstream target;
        target.name = "u" + std::to_string(i);
        target.endpoint = base::endpoint::make_v4(0x0a010000U + static_cast<std::uint32_t>(i), 7000);
        target.data_centre = "a";
        service.upstreams.push_back(target);
    }
    return service;
}

inline config::accepted_revision make_revision(const config::service& service)
{
    config::accepted_revision revision;
    revision.number = 1;
    revision.set.services.push_back(service);
    return revision;
}

inline membership::live_host make_host(const std::string& name, const std::string& data_centre)
{
    return {name, data_centre, base::hash_text(name), {}};
}

inline request make_request(const config::service& service, method kind, std::uint16_t message_id,
                            std::uint64_t token = 1, std::uint16_t caller_port = 4000)
{
    request value;
    value.service = service.id();
    value.service_address = service.address;
    value.caller = base::endpoint::make_v4(0x0a020001, caller_port);
    value.token = token;
    value.token_length = 2;
    value.message_id = message_id;
    value.method = kind;
    value.path = 7;
    value.key = base::mix(base::mix(caller_port, token), message_id);
    return value;
}

inline answer make_answer(const send_to_upstream& sent, const request& asked, std::uint8_t code = 0x45)
{
    answer value;
    value.service_address = sent.service_address;
    value.caller = sent.caller;
    value.upstream = sent.upstream;
    value.token = asked.token;
    value.token_length = asked.token_length;
    value.message_id = asked.message_id;
    value.code = code;
    value.piggybacked = true;
    return value;
}

template <typename T> std::vector<T> all_of(const actions& list)
{
    std::vector<T> found;
    for (const auto& item : list)
    {
        if (const T* value = std::get_if<T>(&item))
        {
            found.push_back(*value);
        }
    }
    return found;
}

inline dispatcher_settings make_settings(const std::string& self)
{
    dispatcher_settings settings;
    settings.self = self;
    settings.data_centre = "a";
    settings.pause_limit = 1s;
    return settings;
}

/// A dispatcher alone in its data centre, past its settle time.
inline dispatcher make_lone_dispatcher(const config::service& service, base::duration age)
{
    dispatcher subject{make_settings("h0")};
    const std::vector<membership::live_host> hosts{make_host("h0", "a")};
    subject.on_hosts(hosts, at(0s));
    subject.on_revision(make_revision(service), at(0s));
    for (base::duration time{0}; time <= age; time += 500ms)
    {
        subject.on_tick(at(time));
    }
    return subject;
}

} // namespace galenabay::dispatch::testing
