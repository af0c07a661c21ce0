#include "log_queue.hpp"

#include <exception>
#include <new>
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
        try
        {
            lines_.push_back(std::move(line));
        }
        catch (const std::bad_alloc&)
        {
            ++dropped_;
            return;
        }
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
    std::deque<std::string> batch;
    std::unique_lock lock{mutex_};
    while (true)
    {
        lines_available_.wait(lock, [this] { return stop_ || !lines_.empty(); });
        if (lines_.empty())
        {
            return;
        }
        std::swap(batch, lines_);
        const auto dropped = std::exchange(dropped_, 0);
        writing_ = true;
        lock.unlock();
        const auto lost = write_all(batch, dropped);
        batch.clear();
        lock.lock();
        dropped_ += lost;
        writing_ = false;
        drained_.notify_all();
    }
}

std::uint64_t log_queue::write_all(const std::deque<std::string>& lines, std::uint64_t dropped) const
{
    // Of all lines, with one about those that were dropped before.
    std::uint64_t left = lines.size() + dropped;
    try
    {
        if (dropped > 0)
        {
            write_("level=warning event=log_lines_left_out count=" + std::to_string(dropped));
            left -= dropped;
        }
        for (const auto& line : lines)
        {
            write_(line);
            --left;
        }
    }
    catch (const std::exception&)
    {
        // The next line that is written is preceded by one with their number.
    }
    return left;
}

} // namespace galenabay::base
