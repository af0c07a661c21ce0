#include "log_queue.hpp"

#include <utility>

namespace galenabay::base
{

log_queue::log_queue(std::function<void(const std::string&)> write) : write_{std::move(write)}
{
    writer_ = std::thread{[this] { run(); }};
}

log_queue::~log_queue()
{
    {
        const std::lock_guard lock{mutex_};
        stop_ = true;
    }
    lines_available_.notify_all();
    writer_.join();
}

void log_queue::push(std::string line)
{
    bool was_empty = false;
    {
        const std::lock_guard lock{mutex_};
        if (lines_.size() >= max_lines)
        {
            ++dropped_;
            return;
        }
        was_empty = lines_.empty();
        lines_.push_back(std::move(line));
    }
    if (was_empty)
    {
        lines_available_.notify_one();
    }
}

void log_queue::flush(std::chrono::milliseconds limit)
{
    std::unique_lock lock{mutex_};
    drained_.wait_for(lock, limit, [this] { return lines_.empty() && !writing_; });
}

void log_queue::run()
{
    std::unique_lock lock{mutex_};
    while (true)
    {
        lines_available_.wait(lock, [this] { return stop_ || !lines_.empty(); });
        if (lines_.empty())
        {
            return;
        }
        auto batch = std::exchange(lines_, {});
        const auto dropped = std::exchange(dropped_, 0);
        writing_ = true;
        lock.unlock();
        if (dropped > 0)
        {
            write_("level=warning event=log_lines_left_out count=" + std::to_string(dropped));
        }
        for (const auto& line : batch)
        {
            write_(line);
        }
        lock.lock();
        writing_ = false;
        drained_.notify_all();
    }
}

} // namespace galenabay::base
