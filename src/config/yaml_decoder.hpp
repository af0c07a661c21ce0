#pragma once

#include "yaml_node.hpp"

#include <capnp/dynamic.h>

#include <string>

namespace galenabay::config
{

/// Decodes a YAML tree into a message by the message's schema: a key is the
/// field's name in snake case, constraints come from the annotations of
/// schema/annotations.capnp. Fields that are absent keep their defaults.
///
/// Errors: `malformed`, `out_of_range`, `conflict` (a name used twice), with
/// "FILE:LINE" as peer; the detail gives the key and what was expected.
base::result<void> decode_yaml(const yaml_node& root, const std::string& file, capnp::DynamicStruct::Builder target);

/// Returns the snake-case form of a schema name: "data_centre" for "dataCentre".
std::string snake_case(std::string_view schema_name);

} // namespace galenabay::config
