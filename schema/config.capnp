@0xc4f0a9174be1d201;

# Types of the YAML files: the settings of one host, and the service set that
# operators apply to all hosts.

using Cxx = import "/capnp/c++.capnp";
using A = import "annotations.capnp";
$Cxx.namespace("galenabay::schema");

enum LogLevel {
  debug @0;
  info @1;
  warning @2;
  error @3;
}

struct HostSettings {
  # Settings of one galena_balancerd process.
  name @0 :Text $A.required $A.identifier;
  # Name of this host; unique in the fleet.
  dataCentre @1 :Text $A.required $A.identifier;
  address @2 :Text $A.required $A.ipAddress;
  # Address that the host binds for callers, peers and upstreams.
  controlPort @3 :UInt16 = 7100 $A.minimum(1);
  # TCP port for RPC from peers.
  relayPort @4 :UInt16 = 7101 $A.minimum(1);
  # UDP port for datagrams relayed between hosts.
  upstreamPort @5 :UInt16 = 0;
  # UDP port for packets to and from upstreams. 0: a free port, another one after
  # each start, so that answers to an earlier process never reach this one.
  metricsPort @6 :UInt16 = 7103 $A.minimum(1);
  # TCP port of /metrics, /healthz and /readyz.
  bindServiceAddresses @7 :Bool = false;
  # True: bind each service's own address. False: bind `address` with the
  # service's port, for a fabric that rewrites the destination address.
  platform @8 :Text $A.required $A.endpointText;
  # Object API of the platform.
  peers @9 :List(PeerSettings) $A.maximum(64) $A.uniqueBy("name");
  # Initial peers, used until the platform's list has been read.
  logLevel @10 :LogLevel = info;
  stopTimeoutMs @11 :UInt32 = 10000 $A.minimum(100) $A.maximum(600000);
  # Longest duration of a planned stop.
  heartbeatIntervalMs @12 :UInt32 = 1000 $A.minimum(50) $A.maximum(60000);
  peerTimeoutMs @13 :UInt32 = 3000 $A.minimum(100) $A.maximum(600000);
  # A peer from which no report was received for this long counts as dead.
  controlBytesPerSecond @14 :UInt32 = 3072 $A.minimum(256) $A.maximum(10000000);
  # Budget for control traffic to peers.
  platformCallsPerSecond @15 :UInt32 = 10 $A.minimum(1) $A.maximum(1000);
  flowTableSize @16 :UInt32 = 262144 $A.minimum(16) $A.maximum(16777216);
  # Largest number of flows in this host's flow table.
  ringSize @17 :UInt32 = 8192 $A.minimum(64) $A.maximum(1048576);
  # Capacity of each ring buffer between threads, in elements.
  test @18 :TestSettings;
}

struct PeerSettings {
  name @0 :Text $A.required $A.identifier;
  dataCentre @1 :Text $A.required $A.identifier;
  control @2 :Text $A.required $A.endpointText;
  # RPC endpoint.
  relay @3 :Text $A.required $A.endpointText;
  # Endpoint for relayed datagrams.
}

struct TestSettings {
  # Fault injection; leave all of it at the defaults in production.
  dropPeersFile @0 :Text $A.maximum(4096);
  # File that lists, one per line, the data centres, or "platform", that this host
  # is partitioned from; read again on SIGHUP. Empty: none.
}

enum ServiceKind {
  datagram @0;
  # Opaque datagrams; the balancer handles flows only.
  coap @1;
  # RFC 7252; the balancer handles single requests.
}

struct ServiceSet {
  # All services of a deployment; `galenactl apply` replaces the set as a whole.
  name @0 :Text $A.required $A.identifier;
  services @1 :List(Service) $A.maximum(8192) $A.uniqueBy("name");
}

struct Service {
  name @0 :Text $A.required $A.identifier;
  kind @1 :ServiceKind;
  address @2 :Text $A.required $A.ipAddress;
  port @3 :UInt16 $A.required $A.minimum(1);
  upstreams @4 :List(Upstream) $A.maximum(4096) $A.uniqueBy("name");
  flows @5 :FlowPolicy;
  requests @6 :RequestPolicy;
  draining @7 :Bool = false;
  # True: accepts no new flows or requests. A service has to drain before it is
  # removed.
}

struct Upstream {
  name @0 :Text $A.required $A.identifier;
  address @1 :Text $A.required $A.ipAddress;
  port @2 :UInt16 $A.required $A.minimum(1);
  dataCentre @3 :Text $A.required $A.identifier;
  weight @4 :UInt16 = 100 $A.minimum(1) $A.maximum(10000);
  # Share of new flows in relation to the other upstreams' weights.
  slots @5 :UInt16 = 3 $A.minimum(1) $A.maximum(10000);
  # Largest number of concurrent requests of the upstream.
  connections @6 :UInt32 = 2000 $A.minimum(1) $A.maximum(10000000);
  # Largest number of concurrent flows of the upstream.
  draining @7 :Bool = false;
  # True: accepts no new flows or requests; established flows stay.
}

struct FlowPolicy {
  idleTimeoutS @0 :UInt32 = 300 $A.minimum(1) $A.maximum(86400);
  # A flow without packets for this long may be evicted.
}

struct RequestPolicy {
  deadlineMs @0 :UInt32 = 5000 $A.minimum(10) $A.maximum(600000);
  # A request without an answer after this long is answered with 5.04.
  queueLimit @1 :UInt32 = 256 $A.minimum(1) $A.maximum(65536);
  # Largest number of requests that wait for a slot on the host that decides on
  # them.
  retryBudgetPercent @2 :UInt8 = 10 $A.minimum(0) $A.maximum(100);
  # Largest number of retries and hedged requests, in percent of the requests.
  maxAgeS @3 :UInt32 = 2 $A.minimum(1) $A.maximum(3600);
  # Mean Max-Age of 5.03 responses.
}
