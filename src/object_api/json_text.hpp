#pragma once

#include <galenabay/base/result.hpp>

#include <Poco/JSON/Object.h>

#include <string>

namespace galenabay::object_api
{

/// Parses a JSON object whose depth is bounded. Errors: `malformed`, with the given
/// step and peer.
base::result<Poco::JSON::Object::Ptr> parse_json(const std::string& text, const std::string& step,
                                                 const std::string& peer);

/// Serializes a JSON object.
std::string to_text(const Poco::JSON::Object& json);

} // namespace galenabay::object_api
