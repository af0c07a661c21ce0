#include <galenabay/base/standard_error.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace galenabay::base
{

void print_to_standard_error(std::string_view line)
{
    // A pipe that is ready takes at least PIPE_BUF bytes.
    pollfd output{STDERR_FILENO, POLLOUT, 0};
    if (poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0)
    {
        [[maybe_unused]] const auto written =
            write(STDERR_FILENO, line.data(), std::min(line.size(), std::size_t{PIPE_BUF}));
    }
}

} // namespace galenabay::base
