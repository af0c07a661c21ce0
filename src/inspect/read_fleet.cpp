#include <galenabay/inspect/read_fleet.hpp>

#include "../edge/peer_state.hpp"

#include <galenabay/peers/answer_time_report_codec.hpp>
#include <galenabay/peers/message_codec.hpp>
#include <platform/store_client.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <thread>
#include <utility>

namespace galenabay::inspect
{

namespace
{

using adapter::object_kind;
using std::chrono::milliseconds;

constexpr milliseconds store_timeout{3'000};
constexpr milliseconds host_timeout{1'000};
/// Pauses after which estimates that a host has been asked for are read. The last one is longer than a process with
/// a CPU quota may not run.
constexpr std::array<milliseconds, 4> answer_time_pauses{milliseconds{5}, milliseconds{30}, milliseconds{100},
                                                         milliseconds{300}};

base::result<adapter::store_page> list_all(const base::endpoint& store, object_kind kind)
{
    return adapter::store_client::make(store, kind, store_timeout).list_all(adapter::read_freshness::latest, [] {});
}

base::result<store_contents> read_store(const base::endpoint& store)
{
    BOOST_OUTCOME_TRY(configurations, list_all(store, object_kind::configuration));
    BOOST_OUTCOME_TRY(upstreams, list_all(store, object_kind::upstreams));
    BOOST_OUTCOME_TRY(evacuations, list_all(store, object_kind::evacuations));
    store_contents read;
    read.revision = upstreams.revision;
    for (const auto& object : configurations.objects)
    {
        if (object.configuration)
        {
            read.configuration_version = object.configuration->version;
            read.routes = object.configuration->routes.size();
        }
    }
    for (const auto& object : upstreams.objects)
    {
        if (object.upstream)
        {
            read.data_centres.insert(object.upstream->data_centre);
            auto& counts = read.services[object.upstream->service];
            ++(object.upstream->draining ? counts.draining : counts.ready);
        }
    }
    read.evacuations.revision = evacuations.revision;
    for (const auto& object : evacuations.objects)
    {
        if (object.is_evacuation)
        {
            read.evacuations.evacuations.push_back(
                {.data_centre = object.name, .revision_number = object.revision.number});
        }
    }
    for (const auto* objects : {&configurations.objects, &upstreams.objects, &evacuations.objects})
    {
        for (const auto& object : *objects)
        {
            if (!object.fault.empty())
            {
                read.unusable.push_back(object.name + " (" + object.fault + ")");
            }
        }
    }
    if (const auto unnamed = configurations.unnamed + upstreams.unnamed + evacuations.unnamed; unnamed > 0)
    {
        read.unusable.push_back(std::to_string(unnamed) + " without a readable name");
    }
    return read;
}

base::result<peers::edge_state> read_state(const base::endpoint& host, object_kind kind)
{
    BOOST_OUTCOME_TRY(state, edge::fetch_peer_state(host, kind, host_timeout));
    return peers::decode_state(state);
}

base::result<steer::answer_time_report> read_answer_times(const base::endpoint& host)
{
    const auto fetch = [&] { return edge::fetch_from_peer(host, edge::answer_times_path, host_timeout); };
    auto answer = fetch();
    for (const auto pause : answer_time_pauses)
    {
        if (answer || answer.error().code() != base::error_code::unavailable)
        {
            break;
        }
        std::this_thread::sleep_for(pause);
        answer = fetch();
    }
    return answer ? peers::decode_answer_times(answer.value()) : answer.error();
}

/// Returns nothing for a host of an earlier release.
std::optional<std::uint64_t> read_refusals(const base::endpoint& host)
{
    const auto body = edge::fetch_from_peer(host, edge::refusals_path, host_timeout);
    std::uint64_t count = 0;
    if (!body)
    {
        return std::nullopt;
    }
    const auto* end = body.value().data() + body.value().size();
    const auto [rest, failure] = std::from_chars(body.value().data(), end, count);
    return failure == std::errc{} && rest == end ? std::optional{count} : std::nullopt;
}

host_answer read_host(host_answer host)
{
    const auto configuration = read_state(host.address, object_kind::configuration);
    const auto upstreams = read_state(host.address, object_kind::upstreams);
    if (!configuration || !upstreams)
    {
        host.failure = configuration ? upstreams.error() : configuration.error();
        return host;
    }
    host.configuration_version = configuration.value().configuration.version;
    host.upstreams_revision = upstreams.value().upstreams.revision;
    host.upstreams = upstreams.value().upstreams.entries.size();
    host.evacuations = upstreams.value().evacuations;
    if (auto answer_times = read_answer_times(host.address))
    {
        host.answer_times = std::move(answer_times.value());
    }
    else
    {
        host.answer_times_failure = answer_times.error();
    }
    host.refused_with_free_slots = read_refusals(host.address);
    for (const auto& one : upstreams.value().starting)
    {
        host.share_rates.emplace(one.id, one.share_rate);
    }
    host.limited_flows = upstreams.value().limited_flows;
    host.relayed_syns = upstreams.value().relayed_syns;
    host.opened_for_others = upstreams.value().opened_for_others;
    return host;
}

} // namespace

base::result<fleet_report> read_fleet(const base::endpoint& store, const std::vector<base::endpoint>& hosts)
{
    BOOST_OUTCOME_TRY(contents, read_store(store));
    BOOST_OUTCOME_TRY(listed, list_all(store, object_kind::hosts));
    fleet_report report{.store = std::move(contents), .hosts = {}};
    const auto add = [&](const std::string& name, const std::string& data_centre, const base::endpoint& address)
    {
        report.hosts.push_back(read_host({.name = name,
                                          .data_centre = data_centre,
                                          .address = address,
                                          .failure = {},
                                          .configuration_version = 0,
                                          .upstreams_revision = {},
                                          .upstreams = 0}));
    };
    for (const auto& object : listed.objects)
    {
        if (object.host)
        {
            add(object.name, object.host_data_centre, *object.host);
        }
    }
    for (const auto& address : hosts)
    {
        const bool is_listed = std::any_of(report.hosts.begin(), report.hosts.end(),
                                           [&](const host_answer& known) { return known.address == address; });
        if (!is_listed)
        {
            add("", "", address);
        }
    }
    return report;
}

base::result<std::map<std::string, service_capacity>> read_capacities(const base::endpoint& store)
{
    BOOST_OUTCOME_TRY(upstreams, list_all(store, object_kind::upstreams));
    std::map<std::string, service_capacity> capacities;
    for (const auto& object : upstreams.objects)
    {
        if (!object.upstream || object.upstream->draining)
        {
            continue;
        }
        auto& capacity = capacities[object.upstream->service];
        capacity.fewest_slots =
            capacity.upstreams == 0 ? object.upstream->slots : std::min(capacity.fewest_slots, object.upstream->slots);
        ++capacity.upstreams;
    }
    return capacities;
}

} // namespace galenabay::inspect
