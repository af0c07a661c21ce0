@0xb7f10c2d93ae5a44;

# Messages between galena_edged processes: single datagrams for status and changes,
# an HTTP answer with the complete state.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("galenabay::schema");

struct UpstreamLoad {
  # What one host's flows put on an upstream.
  token @0 :UInt32;
  flows @1 :UInt32;
  openRequests @2 :UInt32;
  answeredMsAgo @3 :UInt32;
  # Time since a flow of the host showed an answer from the upstream.
}

struct HostStatus {
  # What a host says of itself, several times a second.
  name @0 :Text;
  startedUs @1 :UInt64;
  # Larger after each start of the process.
  sequence @2 :UInt64;
  # Larger in each status of one start.
  dataCentre @3 :Text;
  followsStore @4 :Bool;
  # The host watches the store and the last call succeeded.
  configurationVersion @5 :UInt64;
  upstreamsRevision @6 :UInt64;
  # Revision of the last change of the upstreams that the host applied.
  loads @7 :List(UpstreamLoad);
  silent @8 :List(UInt32);
  # Tokens of upstreams that answer none of the host's flows.
  leaving @9 :Bool;
  unreachable @10 :List(UInt32);
  # Tokens of upstreams that lately took no connection of the host.
}

struct UpstreamEntry {
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
}

struct RemovedUpstream {
  id @0 :Text;
  revision @1 :UInt64;
}

struct WeightedService {
  service @0 :Text;
  weight @1 :UInt32;
}

struct ServiceRoute {
  name @0 :Text;
  address @1 :UInt32;
  port @2 :UInt16;
  services @3 :List(WeightedService);
}

struct EdgeConfiguration {
  version @0 :UInt64;
  routes @1 :List(ServiceRoute);
  idleTimeoutUs @2 :Int64;
}

struct UpstreamChanges {
  # Changes of the upstreams between two revisions of the store.
  previousRevision @0 :UInt64;
  revision @1 :UInt64;
  entries @2 :List(UpstreamEntry);
  removed @3 :List(RemovedUpstream);
}

struct EdgeState {
  # All that a host knows of the store; an answer to a host that can't read it.
  configuration @0 :EdgeConfiguration;
  upstreams @1 :UpstreamChanges;
}

struct EdgeMessage {
  # One datagram.
  union {
    status @0 :HostStatus;
    changes @1 :UpstreamChanges;
  }
}
