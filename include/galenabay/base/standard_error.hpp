#pragma once

#include <string_view>

namespace galenabay::base
{

/// Writes a line to standard error, unless that would wait for its reader. A longer text than a pipe takes at once is
/// cut off. Takes no memory.
void print_to_standard_error(std::string_view line);

} // namespace galenabay::base
