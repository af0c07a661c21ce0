#pragma once

#include <string>

namespace galenabay::base
{

/// Writes a line to standard error, unless that would wait for its reader. A longer text than a pipe takes at once is
/// cut off.
void print_to_standard_error(const std::string& line);

} // namespace galenabay::base
