#include <galenabay/base/invariant.hpp>

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace galenabay::base
{

namespace
{

void print_and_abort(const char* expression, const char* file, int line)
{
    std::fprintf(stderr, "level=error event=invariant_broken expression=\"%s\" at=%s:%d\n", expression, file, line);
    std::abort();
}

invariant_handler current_handler = print_and_abort;

} // namespace

invariant_handler set_invariant_handler(invariant_handler handler)
{
    return std::exchange(current_handler, handler == nullptr ? print_and_abort : handler);
}

void invariant_failed(const char* expression, const char* file, int line)
{
    current_handler(expression, file, line);
}

} // namespace galenabay::base
