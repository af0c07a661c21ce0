@0xb7f10c2d93ae5a44;

# Messages between galena_edged processes: single datagrams with statuses and changes, and
# an HTTP response with the complete state.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("galenabay::schema");

struct UpstreamLoad {
  # Load of one host's flows on an upstream.
  token @0 :UInt32;
  flows @1 :UInt32;
  openRequests @2 :UInt32;
  answeredMsAgo @3 :UInt32;
  # Time since one of the host's flows last showed an answer from the upstream.
  answerTime @4 :UInt16;
  # Typical answer time of recent requests, in the encoding of steer::answer_time_code; 0 for none.
}

struct Evacuation {
  # A data centre whose upstreams get no new flows, and the store revision of the request.
  dataCentre @0 :Text;
  revision @1 :UInt64;
}

struct Evacuations {
  # All evacuations as of a store revision.
  epoch @0 :UInt64;
  revision @1 :UInt64;
  evacuations @2 :List(Evacuation);
}

struct ServiceDemand {
  # Load of one service through one host or all hosts of a data centre.
  service @0 :UInt64;
  # Hash of the service's name.
  openRequests @1 :UInt32;
  admitted @2 :UInt32;
  # New flows per second that were forwarded. All rates are in sixteenths of a flow, because a
  # host may have less than one new flow of a service in a second.
  rejected @3 :UInt32;
  # Flows per second that ended at once, without a full answer.
  offered @4 :List(UInt32);
  # New flows per second by urgency of their route, most urgent first.
}

struct HostStatus {
  # Status that a host sends to the other hosts several times a second.
  name @0 :Text;
  startedUs @1 :UInt64;
  # Start of the process in microseconds of Unix time; larger after each restart unless
  # the time of day is set back.
  sequence @2 :UInt64;
  # Increases with each status that the process sends.
  dataCentre @3 :Text;
  followsStore @4 :Bool;
  # The host watches the store, and its last calls succeeded.
  configurationVersion @5 :UInt64;
  upstreamsRevision @6 :UInt64;
  # Store revision of the last change of the upstreams that the host applied.
  loads @7 :List(UpstreamLoad);
  silent @8 :List(UInt32);
  # Tokens of upstreams that do not answer by the host's own evidence.
  leaving @9 :Bool;
  unreachable @10 :List(UInt32);
  # Tokens of upstreams that the host recently failed to connect to.
  joining @11 :Bool;
  # The host looks for others; who receives this answers with the hosts that it knows.
  withLoads @12 :Bool;
  # `loads` is filled; only collectors receive it.
  intervalMs @13 :UInt32;
  # Time until the next status; 0 for the default.
  storeLost @14 :Bool;
  # The host is to watch the store, and its last calls failed.
  upstreamsEpoch @15 :UInt64;
  # Epoch of `upstreamsRevision`: it rises when the store returns from an older copy.
  upstreamsDigest @16 :UInt64;
  # Digest of the upstreams that the host knows; 0 for none.
  evacuations @17 :Evacuations;
  # Null on deployments without evacuations.
  demands @18 :List(ServiceDemand);
}

struct UpstreamVotes {
  # Number of hosts that report an upstream as silent or as unreachable.
  token @0 :UInt32;
  silent @1 :UInt32;
  unreachable @2 :UInt32;
}

struct LoadPage {
  # All non-zero loads on the upstreams with tokens from `first` to `last`, inclusive.
  first @0 :UInt32;
  last @1 :UInt32;
  loads @2 :List(UpstreamLoad);
}

struct Member {
  # A host and where it receives the messages of other hosts: IPv4 in host byte order.
  name @0 :Text;
  address @1 :UInt32;
  port @2 :UInt16;
  dataCentre @3 :Text;
}

struct Collector {
  # Sender of a summary or a digest.
  member @0 :Member;
  startedUs @1 :UInt64;
  sequence @2 :UInt64;
  hosts @3 :UInt32;
  # Hosts whose loads the collector currently knows, itself included.
}

struct LoadSummary {
  # Loads and votes of one data centre, for the collectors of another one.
  collector @0 :Collector;
  followsStore @1 :Bool;
  # A host of the data centre watches the store.
  configurationVersion @2 :UInt64;
  upstreamsRevision @3 :UInt64;
  # Versions that the collector has itself.
  page @4 :LoadPage;
  votes @5 :List(UpstreamVotes);
  relayed @6 :Bool;
  # Passed on by a host that does not collect; not passed on again.
  upstreamsEpoch @7 :UInt64;
  evacuations @8 :Evacuations;
  demands @9 :List(ServiceDemand);
  demandsAgeMs @10 :UInt32;
  # Age of the oldest status in `demands`.
}

struct LoadDigest {
  # Loads of all data centres and votes of the other ones, for the hosts of the collector's.
  collector @0 :Collector;
  remoteHosts @1 :UInt32;
  page @2 :LoadPage;
  remoteVotes @3 :List(UpstreamVotes);
  members @4 :List(Member);
  # Some live hosts of the data centre, so that a host learns of those that it missed.
  evacuations @5 :Evacuations;
  demands @6 :List(ServiceDemand);
  # Of the other data centres.
  localDemands @7 :List(ServiceDemand);
  # Of the collector's data centre.
  demandsAgeMs @8 :UInt32;
  # Age of the oldest summary in `demands`, and of the oldest status in `localDemands`.
  localDemandsAgeMs @9 :UInt32;
}

struct UpstreamEntry {
  # An upstream's registration. The address is IPv4 in host byte order.
  id @0 :Text;
  number @1 :UInt64;
  startedMs @2 :UInt64;
  service @3 :Text;
  address @4 :UInt32;
  port @5 :UInt16;
  dataCentre @6 :Text;
  slots @7 :UInt32;
  draining @8 :Bool;
  warmUpLeftUs @9 :Int64;
  revision @10 :UInt64;
  epoch @11 :UInt64;
  # Epoch of `revision`; 0 when unknown.
  sequence @12 :UInt64;
  # Rises with each registration that the upstream sends, until it restarts.
}

struct RemovedUpstream {
  # A registration that was removed from the store at `revision`.
  id @0 :Text;
  revision @1 :UInt64;
  epoch @2 :UInt64;
}

struct WeightedService {
  # A service and the weight with which a route sends new flows to it.
  service @0 :Text;
  weight @1 :UInt32;
}

struct ServiceRoute {
  # The services that take the new flows to one IPv4 address, in host byte order, and port.
  name @0 :Text;
  address @1 :UInt32;
  port @2 :UInt16;
  services @3 :List(WeightedService);
  urgency @4 :UInt32;
  # 0 is the most urgent.
  answerTargetUs @5 :Int64;
  # Time within which callers want an answer; 0 when it is not stated.
}

struct ServiceLimits {
  # What the configuration states of each upstream of a service; 0 for what it does not state.
  service @0 :Text;
  maxFlows @1 :UInt32;
  warmUpTimeUs @2 :Int64;
  warmUpRate @3 :Float64;
}

struct EdgeConfiguration {
  # The part of one accepted configuration version that steering uses.
  version @0 :UInt64;
  routes @1 :List(ServiceRoute);
  idleTimeoutUs @2 :Int64;
  limits @3 :List(ServiceLimits);
}

struct UpstreamChanges {
  # Changes of the upstreams between two store revisions.
  previousRevision @0 :UInt64;
  revision @1 :UInt64;
  entries @2 :List(UpstreamEntry);
  removed @3 :List(RemovedUpstream);
  dataCentre @4 :Text;
  # Data centre of the host that sends the datagram.
  previousEpoch @5 :UInt64;
  epoch @6 :UInt64;
}

struct StartingUpstream {
  # An upstream whose new flows are limited while it is starting.
  id @0 :Text;
  shareRate @1 :Float64;
  # New flows per second that the host may send to it; 0 without a share.
}

struct EdgeState {
  # A host's copy of the store, served to hosts that cannot or need not read the store.
  configuration @0 :EdgeConfiguration;
  upstreams @1 :UpstreamChanges;
  evacuations @2 :Evacuations;
  # Null on deployments without evacuations.
  startingUpstreams @3 :List(StartingUpstream);
  # Null where no service states a rate for starting upstreams.
  limitedFlows @4 :UInt64;
  # New flows that the host refused because of such a rate since its process started.
  relayedSyns @5 :UInt64;
  # SYNs that it passed on to other hosts instead.
  openedForOthers @6 :UInt64;
  # New flows that it opened by SYNs that other hosts passed on.
}

struct ShareHolder {
  # A process that may send new flows to a starting upstream.
  host @0 :Text;
  startedUs @1 :UInt64;
  # Start of the process in microseconds of Unix time.
}

struct WarmUpShares {
  # Processes that share the rate of a starting upstream, as the store's object lists them.
  id @0 :Text;
  startedMs @1 :UInt64;
  epoch @2 :UInt64;
  # Epoch of the store's answer that contained the list; 0 when unknown.
  holders @3 :List(ShareHolder);
  # The owner first.
}

struct RelayedSyn {
  # A caller's SYN, passed on by a host that has no token for the service's starting upstreams.
  packet @0 :Data;
  # The datagram as it came from the caller.
  service @1 :UInt64;
  # Hash of the name of the service that the first host selected.
  passesLeft @2 :UInt8;
  # Times that the receiver may pass it on.
  receiver @3 :UInt32;
  # Hash of the name of the host that it is meant for.
}

struct EdgeMessage {
  # Content of one datagram.
  union {
    status @0 :HostStatus;
    changes @1 :UpstreamChanges;
    summary @2 :LoadSummary;
    digest @3 :LoadDigest;
    members @4 :List(Member);
    shares @5 :WarmUpShares;
    relayedSyn @6 :RelayedSyn;
  }
}
