#include <galenabay/net/wakeup_event.hpp>

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>

namespace galenabay::net
{

wakeup_event::wakeup_event() : descriptor_{eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)}
{
    if (descriptor_ < 0)
    {
        throw std::system_error{errno, std::generic_category(), "open_wakeup_event"};
    }
}

wakeup_event::~wakeup_event()
{
    close(descriptor_);
}

void wakeup_event::notify()
{
    if (sleeping_.exchange(false, std::memory_order_acq_rel))
    {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = write(descriptor_, &one, sizeof one);
    }
}

void wakeup_event::wait(std::chrono::milliseconds timeout)
{
    pollfd entry{descriptor_, POLLIN, 0};
    if (poll(&entry, 1, static_cast<int>(timeout.count())) > 0)
    {
        clear();
    }
    cancel();
}

void wakeup_event::clear()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto got = read(descriptor_, &count, sizeof count);
}

} // namespace galenabay::net
