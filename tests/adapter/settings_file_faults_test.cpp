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
