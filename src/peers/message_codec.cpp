#include <galenabay/peers/message_codec.hpp>

#include "demands_codec.hpp"
#include "evacuations_codec.hpp"
#include "load_sums_codec.hpp"
#include "relayed_syn_codec.hpp"
#include "warm_up_shares_codec.hpp"

#include <galenabay/base/gzip.hpp>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <cmath>
#include <exception>
#include <type_traits>
#include <utility>

namespace galenabay::peers
{

namespace
{

using base::error;
using base::error_code;

/// Largest unpacked message in words of 8 bytes: 8 MB, several times the size of a
/// configuration with thousands of routes.
constexpr std::uint64_t max_words = 1U << 20U;
constexpr int max_nesting = 8;
/// Longest times that a message can give.
constexpr base::duration longest_warm_up = std::chrono::hours{1};
constexpr base::duration longest_idle = std::chrono::hours{24};
constexpr std::chrono::milliseconds longest_interval{60'000};

void write_upstream(const steer::upstream_entry& from, schema::UpstreamEntry::Builder out)
{
    out.setId(from.id);
    out.setNumber(from.number);
    out.setStartedMs(from.started_ms);
    out.setService(from.service);
    out.setAddress(from.address.v4());
    out.setPort(from.address.port());
    out.setDataCentre(from.data_centre);
    out.setSlots(from.slots);
    out.setDraining(from.draining);
    out.setWarmUpLeftUs(from.warm_up_left.count());
    out.setSequence(from.sequence);
    out.setRevision(from.revision.number);
    out.setEpoch(from.revision.epoch);
}

/// Returns `time` if it is in the range from 0 to `longest`, or the nearer end of the range.
base::duration bounded_time(std::int64_t time_us, base::duration longest)
{
    return std::clamp(base::duration{time_us}, base::duration{0}, longest);
}

/// Returns true when packets can be steered to the upstream.
bool is_usable(schema::UpstreamEntry::Reader in)
{
    return in.getId().size() > 0 && in.getNumber() != 0 &&
           base::endpoint::make_v4(in.getAddress(), in.getPort()).is_v4_unicast();
}

steer::upstream_entry read_upstream(schema::UpstreamEntry::Reader in)
{
    return {.id = in.getId(),
            .number = in.getNumber(),
            .started_ms = in.getStartedMs(),
            .service = in.getService(),
            .address = base::endpoint::make_v4(in.getAddress(), in.getPort()),
            .data_centre = in.getDataCentre(),
            .slots = in.getSlots() == 0 ? 1 : in.getSlots(),
            .draining = in.getDraining(),
            .warm_up_left = bounded_time(in.getWarmUpLeftUs(), longest_warm_up),
            .sequence = in.getSequence(),
            .revision = {.epoch = in.getEpoch(), .number = in.getRevision()}};
}

void write_changes(const upstream_changes& from, schema::UpstreamChanges::Builder out)
{
    out.setPreviousRevision(from.previous_revision.number);
    out.setPreviousEpoch(from.previous_revision.epoch);
    out.setRevision(from.revision.number);
    out.setEpoch(from.revision.epoch);
    out.setDataCentre(from.data_centre);
    auto entries = out.initEntries(static_cast<unsigned>(from.entries.size()));
    for (unsigned i = 0; i < entries.size(); ++i)
    {
        write_upstream(from.entries[i], entries[i]);
    }
    auto removed = out.initRemoved(static_cast<unsigned>(from.removed.size()));
    for (unsigned i = 0; i < removed.size(); ++i)
    {
        removed[i].setId(from.removed[i].id);
        removed[i].setRevision(from.removed[i].revision.number);
        removed[i].setEpoch(from.removed[i].revision.epoch);
    }
}

upstream_changes read_changes(schema::UpstreamChanges::Reader in)
{
    upstream_changes changes{.previous_revision = {.epoch = in.getPreviousEpoch(), .number = in.getPreviousRevision()},
                             .revision = {.epoch = in.getEpoch(), .number = in.getRevision()},
                             .entries = {},
                             .removed = {},
                             .data_centre = in.getDataCentre()};
    for (const auto entry : in.getEntries())
    {
        if (is_usable(entry))
        {
            changes.entries.push_back(read_upstream(entry));
        }
        else
        {
            ++changes.unusable;
        }
    }
    for (const auto entry : in.getRemoved())
    {
        changes.removed.push_back(
            {.id = entry.getId(), .revision = {.epoch = entry.getEpoch(), .number = entry.getRevision()}});
    }
    return changes;
}

using token_list = capnp::List<std::uint32_t>;

void write_tokens(const std::vector<steer::upstream_token>& from, token_list::Builder out)
{
    for (unsigned i = 0; i < out.size(); ++i)
    {
        out.set(i, from[i]);
    }
}

std::vector<steer::upstream_token> read_tokens(token_list::Reader in)
{
    std::vector<steer::upstream_token> tokens;
    tokens.reserve(in.size());
    for (const auto token : in)
    {
        tokens.push_back(token);
    }
    return tokens;
}

void write_status(const host_status& from, schema::HostStatus::Builder out)
{
    out.setName(from.name);
    out.setStartedUs(from.started_us);
    out.setSequence(from.sequence);
    out.setDataCentre(from.data_centre);
    out.setFollowsStore(from.follows_store);
    out.setLeaving(from.leaving);
    out.setConfigurationVersion(from.configuration_version);
    out.setUpstreamsRevision(from.upstreams_revision.number);
    out.setUpstreamsEpoch(from.upstreams_revision.epoch);
    out.setUpstreamsDigest(from.upstreams_digest);
    out.setWithLoads(from.with_loads);
    out.setJoining(from.joining);
    out.setStoreLost(from.store_lost);
    out.setIntervalMs(static_cast<std::uint32_t>(from.interval.count()));
    write_loads(from.loads, out.initLoads(static_cast<unsigned>(from.loads.size())));
    write_tokens(from.silent, out.initSilent(static_cast<unsigned>(from.silent.size())));
    write_tokens(from.unreachable, out.initUnreachable(static_cast<unsigned>(from.unreachable.size())));
    write_evacuations(from.evacuations, out);
    write_demands(from.demands, [&](unsigned size) { return out.initDemands(size); });
}

host_status read_status(schema::HostStatus::Reader in)
{
    return {.name = in.getName(),
            .started_us = in.getStartedUs(),
            .sequence = in.getSequence(),
            .data_centre = in.getDataCentre(),
            .follows_store = in.getFollowsStore(),
            .store_lost = in.getStoreLost(),
            .leaving = in.getLeaving(),
            .configuration_version = in.getConfigurationVersion(),
            .upstreams_revision = {.epoch = in.getUpstreamsEpoch(), .number = in.getUpstreamsRevision()},
            .upstreams_digest = in.getUpstreamsDigest(),
            .with_loads = in.getWithLoads(),
            .loads = read_loads(in.getLoads()),
            .silent = read_tokens(in.getSilent()),
            .unreachable = read_tokens(in.getUnreachable()),
            .joining = in.getJoining(),
            .interval = std::min(std::chrono::milliseconds{in.getIntervalMs()}, longest_interval),
            .evacuations = read_evacuations(in),
            .demands = read_demands(in.getDemands())};
}

void write_configuration(const steer::configuration& from, schema::EdgeConfiguration::Builder out)
{
    out.setVersion(from.version);
    out.setIdleTimeoutUs(from.idle_timeout.count());
    auto routes = out.initRoutes(static_cast<unsigned>(from.routes.size()));
    for (unsigned i = 0; i < routes.size(); ++i)
    {
        const auto& route = from.routes[i];
        routes[i].setName(route.name);
        routes[i].setAddress(route.address);
        routes[i].setPort(route.port);
        auto services = routes[i].initServices(static_cast<unsigned>(route.services.size()));
        for (unsigned j = 0; j < services.size(); ++j)
        {
            services[j].setService(route.services[j].service);
            services[j].setWeight(route.services[j].weight);
        }
        routes[i].setUrgency(route.urgency);
        routes[i].setAnswerTargetUs(route.answer_target.count());
    }
    auto limits = out.initLimits(static_cast<unsigned>(from.limits.size()));
    for (unsigned i = 0; i < limits.size(); ++i)
    {
        limits[i].setService(from.limits[i].service);
        limits[i].setMaxFlows(from.limits[i].max_flows);
        limits[i].setWarmUpTimeUs(from.limits[i].warm_up_time.count());
        limits[i].setWarmUpRate(from.limits[i].warm_up_rate);
    }
}

steer::configuration read_configuration(schema::EdgeConfiguration::Reader in)
{
    steer::configuration read{.version = in.getVersion(),
                              .routes = {},
                              .idle_timeout = bounded_time(in.getIdleTimeoutUs(), longest_idle),
                              .limits = {}};
    for (const auto route : in.getRoutes())
    {
        steer::service_route next{
            .name = route.getName(), .address = route.getAddress(), .port = route.getPort(), .services = {}};
        for (const auto service : route.getServices())
        {
            next.services.push_back({.service = service.getService(), .weight = service.getWeight()});
        }
        next.urgency = route.getUrgency();
        next.answer_target = bounded_time(route.getAnswerTargetUs(), longest_idle);
        read.routes.push_back(std::move(next));
    }
    for (const auto limit : in.getLimits())
    {
        const auto rate = limit.getWarmUpRate();
        read.limits.push_back({.service = limit.getService(),
                               .max_flows = limit.getMaxFlows(),
                               .warm_up_time = bounded_time(limit.getWarmUpTimeUs(), longest_warm_up),
                               .warm_up_rate = std::isfinite(rate) && rate > 0 ? rate : 0});
    }
    return read;
}

kj::ArrayPtr<const kj::byte> as_array(const void* data, std::size_t size)
{
    return {static_cast<const kj::byte*>(data), size};
}

template <typename Bytes> Bytes pack(capnp::MessageBuilder& built)
{
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, built);
    const auto packed = stream.getArray();
    const auto* begin = reinterpret_cast<const typename Bytes::value_type*>(packed.begin());
    return Bytes(begin, begin + packed.size());
}

/// Unpacks bytes and returns the result of `read` for the root. Errors: `malformed`, with
/// `step`.
template <typename Root, typename Read>
auto unpack(kj::ArrayPtr<const kj::byte> bytes, const char* step, Read read)
    -> base::result<decltype(read(std::declval<typename Root::Reader>()))>
{
    const capnp::ReaderOptions bounds{max_words, max_nesting};
    try
    {
        kj::ArrayInputStream stream{bytes};
        capnp::PackedMessageReader reader{stream, bounds};
        return read(reader.getRoot<Root>());
    }
    catch (const kj::Exception& failure)
    {
        return error::make(error_code::malformed, step, "", failure.getDescription().cStr());
    }
    catch (const std::exception& failure)
    {
        return error::make(error_code::malformed, step, "", failure.what());
    }
}

base::result<edge_state> unpack_state(const std::string& packed)
{
    const auto read = [](schema::EdgeState::Reader in)
    {
        return edge_state{.configuration = read_configuration(in.getConfiguration()),
                          .upstreams = read_changes(in.getUpstreams()),
                          .evacuations = read_evacuations(in),
                          .starting = read_starting(in),
                          .limited_flows = in.getLimitedFlows(),
                          .relayed_syns = in.getRelayedSyns(),
                          .opened_for_others = in.getOpenedForOthers()};
    };
    return unpack<schema::EdgeState>(as_array(packed.data(), packed.size()), "decode_peer_state", read);
}

} // namespace

std::vector<std::byte> encode(const message& value)
{
    capnp::MallocMessageBuilder built;
    auto root = built.initRoot<schema::EdgeMessage>();
    std::visit(
        [&](const auto& content)
        {
            using content_type = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<content_type, host_status>)
            {
                write_status(content, root.initStatus());
            }
            else if constexpr (std::is_same_v<content_type, upstream_changes>)
            {
                write_changes(content, root.initChanges());
            }
            else if constexpr (std::is_same_v<content_type, load_summary>)
            {
                write_summary(content, root.initSummary());
            }
            else if constexpr (std::is_same_v<content_type, load_digest>)
            {
                write_digest(content, root.initDigest());
            }
            else if constexpr (std::is_same_v<content_type, steer::warm_up_shares>)
            {
                write_shares(content, root.initShares());
            }
            else if constexpr (std::is_same_v<content_type, relayed_syn>)
            {
                write_relayed(content, root.initRelayedSyn());
            }
            else
            {
                write_members(content.members, root.initMembers(static_cast<unsigned>(content.members.size())));
            }
        },
        value);
    return pack<std::vector<std::byte>>(built);
}

base::result<message> decode_message(std::span<const std::byte> bytes)
{
    const auto read = [](schema::EdgeMessage::Reader in) -> message
    {
        switch (in.which())
        {
        case schema::EdgeMessage::STATUS:
            return read_status(in.getStatus());
        case schema::EdgeMessage::CHANGES:
            return read_changes(in.getChanges());
        case schema::EdgeMessage::SUMMARY:
            return read_summary(in.getSummary());
        case schema::EdgeMessage::DIGEST:
            return read_digest(in.getDigest());
        case schema::EdgeMessage::MEMBERS:
            return member_list{.members = read_members(in.getMembers())};
        case schema::EdgeMessage::SHARES:
            return read_shares(in.getShares());
        case schema::EdgeMessage::RELAYED_SYN:
            return read_relayed(in.getRelayedSyn());
        }
        // A newer build may send other kinds of messages.
        kj::throwFatalException(KJ_EXCEPTION(UNIMPLEMENTED, "unknown kind of message"));
    };
    return unpack<schema::EdgeMessage>(as_array(bytes.data(), bytes.size()), "decode_peer_message", read);
}

std::string encode(const edge_state& state)
{
    capnp::MallocMessageBuilder built;
    auto root = built.initRoot<schema::EdgeState>();
    write_configuration(state.configuration, root.initConfiguration());
    write_changes(state.upstreams, root.initUpstreams());
    write_evacuations(state.evacuations, root);
    write_starting(state, root);
    return pack<std::string>(built);
}

base::result<edge_state> decode_state(const std::string& body)
{
    // Packed Cap'n Proto that begins like a gzip file would have millions of segments.
    if (base::is_compressed(body))
    {
        BOOST_OUTCOME_TRY(content, base::decompress(body, max_words * sizeof(capnp::word)));
        return unpack_state(content);
    }
    return unpack_state(body);
}

} // namespace galenabay::peers
