#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/steer/answer_time_report.hpp>

#include <string>

namespace galenabay::peers
{

/// Returns a report as a JSON object with the list `upstreams` (`service`, `id`, `relative`, `samples` and, where
/// there was a sample, `newest_ms`) and the number `left_out`.
std::string encode(const steer::answer_time_report& report);
/// Decodes what `encode` returned. Errors: `malformed` when a member is missing or of another type, or when there are
/// more upstreams than `max_upstreams`.
base::result<steer::answer_time_report> decode_answer_times(const std::string& body);

} // namespace galenabay::peers
