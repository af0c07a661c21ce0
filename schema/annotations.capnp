@0xb1d9a36ae2a60f01;

# Constraints that the YAML decoder checks on every field it reads.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("galenabay::schema");

annotation minimum @0xb1d9a36ae2a60f02 (field) :UInt64;
# Smallest accepted value of a number.

annotation maximum @0xb1d9a36ae2a60f03 (field) :UInt64;
# Largest accepted value of a number; largest length of a text or list.

annotation required @0xb1d9a36ae2a60f04 (field) :Void;
# The key must be present.

annotation ipAddress @0xb1d9a36ae2a60f05 (field) :Void;
# The text must be a numeric IPv4 or IPv6 address.

annotation endpointText @0xb1d9a36ae2a60f06 (field) :Void;
# The text must be ADDRESS:PORT with a numeric address.

annotation identifier @0xb1d9a36ae2a60f07 (field) :Void;
# The text must match [a-z0-9][a-z0-9-]{0,62}.

annotation uniqueBy @0xb1d9a36ae2a60f08 (field) :Text;
# No two elements of the list may have the same value of the named field.
