#include <platform/settings.hpp>

#include <CppUTest/TestHarness.h>

#include <unistd.h>

#include <fstream>
#include <string>

using namespace galenabay;
using namespace galenabay::adapter;

TEST_GROUP(settings_file_faults)
{
    const std::string directory = "/tmp";
    const std::string file = directory + "/galenabay-settings-" + std::to_string(getpid()) + ".yaml";

    void teardown() override
    {
        unlink(file.c_str());
    }

    /// Checks that `content` is rejected with an error that contains the file and `reason`.
    void check_refused(const std::string& content, const char* reason)
    {
        std::ofstream{file, std::ios::binary} << content;
        const auto read = load_settings(file);
        CHECK_FALSE(read.has_value());
        STRCMP_CONTAINS(file.c_str(), read.error().peer().c_str());
        STRCMP_CONTAINS(reason, read.error().detail().c_str());
    }
};

TEST(settings_file_faults, rejects_an_empty_file)
{
    check_refused("", "holds no settings");
}

TEST(settings_file_faults, rejects_a_truncated_file)
{
    check_refused("node: \"edge-1\"\nbind-addrs:\n  datagram-addr: \"10.1.", "EOF");
}

TEST(settings_file_faults, rejects_a_binary_file)
{
    check_refused(std::string("\x7f\x45\x4c\x46\x00\x01\x02\xff", 8), "");
}

TEST(settings_file_faults, rejects_a_file_that_is_too_large)
{
    check_refused(std::string(max_settings_bytes + 1, 'a'), "larger than 64 KiB");
}

TEST(settings_file_faults, rejects_a_missing_file_and_a_directory)
{
    STRCMP_CONTAINS("can't be opened", load_settings(file).error().detail().c_str());
    STRCMP_CONTAINS("can't be read", load_settings(directory).error().detail().c_str());
}

TEST(settings_file_faults, rejects_a_time_that_is_not_finite_or_too_long)
{
    for (const auto* time : {".inf", ".nan", "-1", "1e300"})
    {
        check_refused(std::string{"node: \"edge-1\"\nzone: \"east\"\nbind-addrs:\n"
                                  "  datagram-addr: \"10.1.0.10:8172\"\n  readiness-addr: \"10.1.0.10:8167\"\n"
                                  "port-range: [7720, 7735]\nplatform:\n  address: \"10.200.1.7:8169\"\n"
                                  "bounds:\n  grace-s: 6\n  flow-ttl-s: 60\n  config-ms: "} +
                          time + "\n",
                      "is not a time from 0 to a day");
    }
}

TEST(settings_file_faults, rejects_seeds_that_are_no_addresses)
{
    const std::string rest{"node: \"edge-1\"\nzone: \"east\"\nbind-addrs:\n"
                           "  datagram-addr: \"10.1.0.10:8172\"\n  readiness-addr: \"10.1.0.10:8167\"\n"
                           "port-range: [7720, 7735]\nplatform:\n  address: \"10.200.1.7:8169\"\n"
                           "bounds:\n  grace-s: 6\n  flow-ttl-s: 60\n  config-ms: 3000\n"};
    check_refused(rest + "seeds: [\"nowhere\"]\n", "not an address and port");
    check_refused(rest + "seeds: 7\n", "is not a list");
}
