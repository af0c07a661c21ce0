@0xe3b7c95d10f4a801;

# Accepted revisions as sent between hosts and stored on the platform.

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
  # Earlier upstreams that are equal to none of the current ones.
  generations @2 :List(Generation);
  # Newest first.
}

struct RevisionPart {
  # A subset of the services of a revision and the lineage of these and of removed
  # services.
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
  # The difference between revision `number - 1` and revision `number`.
  number @0 :UInt64;
  digest @1 :Data;
  name @2 :Text;
  author @3 :Text;
  acceptedAt @4 :Int64;
  services @5 :List(Config.Service);
  # Services that are new or have changed.
  removed @6 :List(Text);
}

struct RevisionUpdate {
  # Update for a host: either a full revision, or changes in order.
  whole @0 :Data;
  # Packed Revision; empty when `changes` are given.
  changes @1 :List(Data);
  # Packed RevisionChange messages, oldest first.
}
