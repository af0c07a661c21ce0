@0xe3b7c95d10f4a801;

# Accepted revisions as they travel between hosts and through the platform.

using Cxx = import "/capnp/c++.capnp";
using Config = import "config.capnp";
$Cxx.namespace("galenabay::schema");

struct Generation {
  # An earlier state of one service.
  lastRevision @0 :UInt64;
  # Last revision number in which the state was in force.
  address @1 :Text;
  port @2 :UInt16;
  members @3 :List(UInt16);
  # Indexes into the upstreams of the service in the current set, continued by
  # `ServiceLineage.upstreams`.
}

struct ServiceLineage {
  service @0 :Text;
  upstreams @1 :List(Config.Upstream);
  # Earlier upstreams that differ from every current one.
  generations @2 :List(Generation);
  # Newest first.
}

struct RevisionPart {
  # Some of the services of a revision.
  services @0 :List(Config.Service);
  lineage @1 :List(ServiceLineage);
}

struct Revision {
  number @0 :UInt64;
  digest @1 :Data;
  # SHA-256 of the canonical form of the service set.
  name @2 :Text;
  author @3 :Text;
  acceptedAt @4 :Int64;
  # Seconds since 1970.
  part @5 :RevisionPart;
}

struct RevisionChange {
  # What turns revision `number - 1` into revision `number`.
  number @0 :UInt64;
  digest @1 :Data;
  name @2 :Text;
  author @3 :Text;
  acceptedAt @4 :Int64;
  services @5 :List(Config.Service);
  # Services that are new or differ.
  removed @6 :List(Text);
}

struct RevisionUpdate {
  # Brings a host up to date: either the whole, or changes in order.
  whole @0 :Data;
  # Packed Revision; empty when `changes` suffice.
  changes @1 :List(Data);
  # Packed RevisionChange messages, oldest first.
}
