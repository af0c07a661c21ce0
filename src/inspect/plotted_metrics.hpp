#pragma once

#include <string_view>

namespace galenabay::inspect
{

/// Returns true for a metric that a plot shows.
bool is_plotted(std::string_view name);

} // namespace galenabay::inspect
