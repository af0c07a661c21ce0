// Included before CppUTest, which redefines `new`.
#include <future>

#include "../../src/base/log_queue.hpp"

#include <CppUTest/TestHarness.h>

#include <CppUTest/TestMemoryAllocator.h>

#include <stdexcept>
#include <string>
#include <vector>

using namespace galenabay;
using namespace std::chrono_literals;

TEST_GROUP(log_queue){};

TEST(log_queue, writes_lines_in_order)
{
    std::vector<std::string> written;
    {
        base::log_queue queue{[&](const std::string& line) { written.push_back(line); }};
        for (int i = 0; i < 100; ++i)
        {
            queue.push(std::to_string(i));
        }
        queue.flush(10s);
        LONGS_EQUAL(100, written.size());
    }
    STRCMP_EQUAL("99", written.back().c_str());
}

TEST(log_queue, a_blocked_writer_does_not_delay_push_and_dropped_lines_are_counted)
{
    std::promise<void> release;
    auto released = release.get_future().share();
    std::vector<std::string> written;
    {
        base::log_queue queue{[&, released](const std::string& line)
                              {
                                  released.wait();
                                  written.push_back(line);
                              }};
        constexpr std::size_t more = 500;
        for (std::size_t i = 0; i < 2 * base::log_queue::max_lines + more; ++i)
        {
            queue.push("line");
        }
        release.set_value();
        queue.push("last");
        queue.flush(10s);
    }
    // At most these are written: the batch that blocked the writer, one full queue, a line with the number of dropped
    // lines before each of the two, and the last line.
    CHECK(written.size() >= base::log_queue::max_lines);
    CHECK(written.size() <= 2 * base::log_queue::max_lines + 3);
    bool counted = false;
    for (const auto& line : written)
    {
        counted = counted || line.find("log_lines_left_out") != std::string::npos;
    }
    CHECK(counted);
}

// Failure: a log line without memory, or whose write threw, ended the process.
TEST(log_queue, lines_without_memory_or_whose_write_fails_are_counted)
{
    std::promise<void> release;
    auto released = release.get_future().share();
    std::promise<void> begun;
    std::vector<std::string> written;
    {
        base::log_queue queue{[&](const std::string& line)
                              {
                                  if (line == "throws")
                                  {
                                      begun.set_value();
                                      released.wait();
                                      throw std::runtime_error{line};
                                  }
                                  written.push_back(line);
                              }};
        queue.push("throws");
        begun.get_future().wait();
        setCurrentNewAllocator(NullUnknownAllocator::defaultAllocator());
        for (std::size_t i = 0; i < base::log_queue::max_lines; ++i)
        {
            queue.push({});
        }
        setCurrentNewAllocatorToDefault();
        release.set_value();
        queue.flush(10s);
        queue.push("last");
        queue.flush(10s);
    }
    STRCMP_EQUAL("last", written.back().c_str());
    // In front of the lines for which there was memory.
    STRCMP_CONTAINS("log_lines_left_out", written.front().c_str());
    CHECK(written.size() < base::log_queue::max_lines);
}
