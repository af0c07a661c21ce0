#include "load_sums_codec.hpp"

#include "demands_codec.hpp"
#include "evacuations_codec.hpp"

#include <utility>

namespace galenabay::peers
{

namespace
{

void write_votes(const std::vector<upstream_votes>& from, capnp::List<schema::UpstreamVotes>::Builder out)
{
    for (unsigned i = 0; i < out.size(); ++i)
    {
        out[i].setToken(from[i].token);
        out[i].setSilent(from[i].silent);
        out[i].setUnreachable(from[i].unreachable);
    }
}

std::vector<upstream_votes> read_votes(capnp::List<schema::UpstreamVotes>::Reader in)
{
    std::vector<upstream_votes> votes;
    votes.reserve(in.size());
    for (const auto vote : in)
    {
        votes.push_back({.token = vote.getToken(), .silent = vote.getSilent(), .unreachable = vote.getUnreachable()});
    }
    return votes;
}

void write_member(const member& from, schema::Member::Builder out)
{
    out.setName(from.name);
    out.setAddress(from.address.v4());
    out.setPort(from.address.port());
    out.setDataCentre(from.data_centre);
}

member read_member(schema::Member::Reader in)
{
    return {.name = in.getName(),
            .address = base::endpoint::make_v4(in.getAddress(), in.getPort()),
            .data_centre = in.getDataCentre()};
}

void write_collector(const collector_stamp& from, schema::Collector::Builder out)
{
    write_member(from.sender, out.initMember());
    out.setStartedUs(from.started_us);
    out.setSequence(from.sequence);
    out.setHosts(from.hosts);
}

collector_stamp read_collector(schema::Collector::Reader in)
{
    return {.sender = read_member(in.getMember()),
            .started_us = in.getStartedUs(),
            .sequence = in.getSequence(),
            .hosts = in.getHosts()};
}

void write_page(const load_page& from, schema::LoadPage::Builder out)
{
    out.setFirst(from.first);
    out.setLast(from.last);
    write_loads(from.loads, out.initLoads(static_cast<unsigned>(from.loads.size())));
}

load_page read_page(schema::LoadPage::Reader in)
{
    return {.first = in.getFirst(), .last = in.getLast(), .loads = read_loads(in.getLoads())};
}

} // namespace

void write_loads(const std::vector<upstream_load>& from, capnp::List<schema::UpstreamLoad>::Builder out)
{
    for (unsigned i = 0; i < out.size(); ++i)
    {
        out[i].setToken(from[i].token);
        out[i].setFlows(from[i].flows);
        out[i].setOpenRequests(from[i].open_requests);
        out[i].setAnsweredMsAgo(static_cast<std::uint32_t>(from[i].answered_ago.count()));
        out[i].setAnswerTime(steer::answer_time_code::encode(from[i].answer_times));
    }
}

std::vector<upstream_load> read_loads(capnp::List<schema::UpstreamLoad>::Reader in)
{
    std::vector<upstream_load> loads;
    loads.reserve(in.size());
    for (const auto load : in)
    {
        loads.push_back({.token = load.getToken(),
                         .flows = load.getFlows(),
                         .open_requests = load.getOpenRequests(),
                         .answered_ago = std::chrono::milliseconds{load.getAnsweredMsAgo()},
                         .answer_times = steer::answer_time_code::decode(load.getAnswerTime())});
    }
    return loads;
}

void write_members(const std::vector<member>& from, capnp::List<schema::Member>::Builder out)
{
    for (unsigned i = 0; i < out.size(); ++i)
    {
        write_member(from[i], out[i]);
    }
}

std::vector<member> read_members(capnp::List<schema::Member>::Reader in)
{
    std::vector<member> members;
    members.reserve(in.size());
    for (const auto one : in)
    {
        if (auto read = read_member(one); read.address.is_v4_unicast())
        {
            members.push_back(std::move(read));
        }
    }
    return members;
}

void write_summary(const load_summary& from, schema::LoadSummary::Builder out)
{
    write_collector(from.collector, out.initCollector());
    out.setFollowsStore(from.follows_store);
    out.setConfigurationVersion(from.configuration_version);
    out.setUpstreamsRevision(from.upstreams_revision.number);
    out.setUpstreamsEpoch(from.upstreams_revision.epoch);
    out.setRelayed(from.relayed);
    write_page(from.page, out.initPage());
    write_votes(from.votes, out.initVotes(static_cast<unsigned>(from.votes.size())));
    write_evacuations(from.evacuations, out);
    write_demands(from.demands.services, [&](unsigned size) { return out.initDemands(size); });
    out.setDemandsAgeMs(milliseconds_of(from.demands));
}

load_summary read_summary(schema::LoadSummary::Reader in)
{
    return {.collector = read_collector(in.getCollector()),
            .follows_store = in.getFollowsStore(),
            .configuration_version = in.getConfigurationVersion(),
            .upstreams_revision = {.epoch = in.getUpstreamsEpoch(), .number = in.getUpstreamsRevision()},
            .page = read_page(in.getPage()),
            .votes = read_votes(in.getVotes()),
            .relayed = in.getRelayed(),
            .evacuations = read_evacuations(in),
            .demands = {.services = read_demands(in.getDemands()), .age = age_of(in.getDemandsAgeMs())}};
}

void write_digest(const load_digest& from, schema::LoadDigest::Builder out)
{
    write_collector(from.collector, out.initCollector());
    out.setRemoteHosts(from.remote_hosts);
    write_page(from.page, out.initPage());
    write_votes(from.remote_votes, out.initRemoteVotes(static_cast<unsigned>(from.remote_votes.size())));
    write_members(from.members, out.initMembers(static_cast<unsigned>(from.members.size())));
    write_evacuations(from.evacuations, out);
    write_demands(from.local_demands.services, [&](unsigned size) { return out.initLocalDemands(size); });
    write_demands(from.remote_demands.services, [&](unsigned size) { return out.initDemands(size); });
    out.setLocalDemandsAgeMs(milliseconds_of(from.local_demands));
    out.setDemandsAgeMs(milliseconds_of(from.remote_demands));
}

load_digest read_digest(schema::LoadDigest::Reader in)
{
    return {.collector = read_collector(in.getCollector()),
            .remote_hosts = in.getRemoteHosts(),
            .page = read_page(in.getPage()),
            .remote_votes = read_votes(in.getRemoteVotes()),
            .members = read_members(in.getMembers()),
            .evacuations = read_evacuations(in),
            .local_demands = {.services = read_demands(in.getLocalDemands()), .age = age_of(in.getLocalDemandsAgeMs())},
            .remote_demands = {.services = read_demands(in.getDemands()), .age = age_of(in.getDemandsAgeMs())}};
}

} // namespace galenabay::peers
