#pragma once

#include <cstdint>
#include <string>

namespace galenabay::platform
{

/// "accepted as revision N by AUTHOR at TIME".
std::string describe_acceptance(std::uint64_t number, const std::string& author, std::int64_t accepted_at);

/// UTC time in ISO 8601 form; `seconds` since 1970.
std::string format_time(std::int64_t seconds);

} // namespace galenabay::platform
