#include <galenabay/base/gzip.hpp>

#include <CppUTest/TestHarness.h>

using namespace galenabay;

TEST_GROUP(gzip)
{
    const std::string content = std::string(100'000, 'a') + "end";
};

TEST(gzip, returns_the_content)
{
    for (const auto& one : {std::string{"a"}, content})
    {
        CHECK(base::is_compressed(base::compress(one)));
        CHECK(base::decompress(base::compress(one), content.size()).value() == one);
    }
    CHECK(base::compress(content).size() < content.size() / 10);
    CHECK_FALSE(base::is_compressed(content));
}

TEST(gzip, refuses_content_that_is_too_long)
{
    const auto read = base::decompress(base::compress(content), content.size() - 1);
    CHECK(read.error().code() == base::error_code::out_of_range);
}

TEST(gzip, refuses_damaged_files)
{
    const auto whole = base::compress(content);
    for (std::size_t i = 0; i < whole.size(); ++i)
    {
        auto damaged = whole;
        damaged[i] = static_cast<char>(damaged[i] ^ 0x55);
        const auto read = base::decompress(damaged, content.size());
        CHECK(!read || read.value() == content);
        const auto part = base::decompress(whole.substr(0, i), content.size());
        CHECK(!part || part.value() == content);
    }
}
