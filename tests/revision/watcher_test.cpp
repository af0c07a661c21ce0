#include <galenabay/revision/watcher.hpp>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace galenabay;

TEST_GROUP(watcher){};

TEST(watcher, a_fixed_number_of_hosts_watch_and_a_lone_host_does)
{
    std::vector<std::string> hosts;
    for (int i = 0; i < 488; ++i)
    {
        hosts.push_back("host-" + std::to_string(i));
    }
    std::size_t watchers = 0;
    for (const auto& host : hosts)
    {
        watchers += revision::is_watcher(hosts, host) ? 1U : 0U;
    }
    LONGS_EQUAL(revision::watchers_per_data_centre, watchers);
    CHECK(revision::is_watcher({}, "alone"));
}
