// Included before CppUTest, which redefines `new`.
#include <future>

#include "../../src/base/log_queue.hpp"

#include <CppUTest/TestHarness.h>

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
