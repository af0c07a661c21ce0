@0xd8a15f3c6027be01;

# Messages between galena_balancerd processes: RPC over TCP for control, single
# datagrams for relayed packets.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("galenabay::schema");

struct Endpoint {
  addressHigh @0 :UInt64;
  addressLow @1 :UInt64;
  port @2 :UInt16;
}

enum HostState {
  starting @0;
  ready @1;
  leaving @2;
}

struct HostPlace {
  # Data of a host that does not change while its process runs.
  dataCentre @0 :Text;
  control @1 :Endpoint;
  relay @2 :Endpoint;
}

struct HostReport {
  # State that a host reports about itself in each heartbeat.
  name @0 :Text;
  incarnation @1 :UInt64;
  # Larger after each start of the process.
  sequence @2 :UInt64;
  # Larger in each report of one incarnation.
  revision @3 :UInt64;
  # Number of the revision in force; 0: none.
  state @4 :HostState;
  platformReachable @5 :Bool;
  place @6 :HostPlace;
  # Set in the first exchange on a connection, null afterwards.
}

struct FlowRecord {
  # One entry of the record exchange: the upstream of a flow, or control
  # information; see flow_record.hpp and record_codec.hpp.
  key @0 :UInt64;
  service @1 :UInt32;
  upstream @2 :UInt32;
}

struct FlowBatch {
  records @0 :List(FlowRecord);
}

struct DispatchIntent {
  # Asks a host to record that the sender is about to run or refuse a request.
  request @0 :UInt64;
  # Key of the request.
  upstream @1 :UInt64;
  # 0: refuse it, 1: run it, 2: run it in a data centre to which a change of the
  # configuration has reassigned it.
  sequence @2 :UInt64;
}

struct DispatchIntentReply {
  request @0 :UInt64;
  sequence @1 :UInt64;
  accepted @2 :Bool;
}

struct RelayedPacket {
  service @0 :Endpoint;
  caller @1 :Endpoint;
  payload @2 :Data;
  hops @3 :UInt8;
}

struct PeerDatagram {
  # One UDP datagram between hosts.
  from @0 :Text;
  union {
    relay @1 :RelayedPacket;
    intent @2 :DispatchIntent;
    intentReply @3 :DispatchIntentReply;
    flows @4 :FlowBatch;
  }
}

interface Peer {
  heartbeat @0 (report :HostReport, flows :FlowBatch) -> (report :HostReport, flows :FlowBatch);
  # Exchanges reports and as many flow records as the byte budget allows.
  fetchRevision @1 (after :UInt64) -> (number :UInt64, revision :Data);
  # The revision in force at the peer when its number is larger than `after`;
  # otherwise number 0.
  fetchReports @2 () -> (reports :List(HostReport));
  # Reports of the peer itself and of all live hosts that it receives reports from.
}
