#pragma once

#include <cstdint>
#include <string>

namespace galenabay::object_api
{

/// Returns "accepted as revision N by AUTHOR at TIME"; `accepted_at` is in seconds since 1970.
std::string describe_acceptance(std::uint64_t number, const std::string& author, std::int64_t accepted_at);

/// Formats `seconds` since 1970 as a UTC time in ISO 8601 form.
std::string format_time(std::int64_t seconds);

} // namespace galenabay::object_api
