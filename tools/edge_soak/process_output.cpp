#include "process_output.hpp"

#include <galenabay/base/invariant.hpp>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <chrono>

namespace galenabay::edge_soak
{

namespace
{

using namespace std::chrono_literals;

constexpr auto idle_interval = 20ms;

} // namespace

process_output::process_output() : thread_{[this] { copy(); }} {}

process_output::~process_output()
{
    stop_.store(true);
    thread_.join();
    for (const auto& one : copies_)
    {
        ::close(one.from);
        ::close(one.to);
    }
}

int process_output::open(const std::string& log)
{
    std::array<int, 2> ends{};
    GALENABAY_INVARIANT(::pipe2(ends.data(), O_CLOEXEC) == 0);
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    const int to = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const std::lock_guard lock{mutex_};
    copies_.push_back({ends[0], to});
    return ends[1];
}

void process_output::copy()
{
    std::array<char, 16384> buffer{};
    while (!stop_.load())
    {
        if (!stalled_.load())
        {
            const std::lock_guard lock{mutex_};
            std::erase_if(copies_,
                          [&](const pipe_copy& one)
                          {
                              auto got = ::read(one.from, buffer.data(), buffer.size());
                              for (; got > 0; got = ::read(one.from, buffer.data(), buffer.size()))
                              {
                                  GALENABAY_INVARIANT(::write(one.to, buffer.data(), static_cast<std::size_t>(got)) ==
                                                      got);
                              }
                              if (got == 0)
                              {
                                  ::close(one.from);
                                  ::close(one.to);
                              }
                              return got == 0;
                          });
        }
        std::this_thread::sleep_for(idle_interval);
    }
}

} // namespace galenabay::edge_soak
