#pragma once

namespace galenabay::base
{

/// Called when an invariant does not hold: (expression, file, line).
using invariant_handler = void (*)(const char* expression, const char* file, int line);

/// Replaces the handler; returns the previous one. Null restores the default, which
/// prints one line to standard error and aborts. Not thread-safe: set it before threads start.
invariant_handler set_invariant_handler(invariant_handler handler);

/// Calls the handler for a broken invariant.
void invariant_failed(const char* expression, const char* file, int line);

} // namespace galenabay::base

/// Checks an invariant of the program, in every build type.
#define GALENABAY_INVARIANT(expression)                                                                                \
    ((expression) ? static_cast<void>(0) : ::galenabay::base::invariant_failed(#expression, __FILE__, __LINE__))
