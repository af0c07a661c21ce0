#include <galenabay/base/random.hpp>
#include <galenabay/object_api/status_codec.hpp>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace galenabay;
using membership::host_state;

namespace
{

const revision::status_document example{"west",
                                        "b",
                                        3,
                                        1234,
                                        {{"a", "", host_state::ready, 7, true, 0},
                                         {"b", "", host_state::ready, 7, true, 0},
                                         {"c", "", host_state::leaving, 6, false, 12},
                                         {"d", "east", host_state::ready, 7, false, 0}}};

} // namespace

TEST_GROUP(status_codec){};

TEST(status_codec, round_trip_preserves_the_document)
{
    CHECK(object_api::decode_status(object_api::encode_status(example)).value() == example);
}

TEST(status_codec, malformed_text_is_refused)
{
    for (const char* text : {"", "[]", "{", "{}", R"({"data_centre":"w","writer":"a","incarnation":-1,"written_at":0})",
                             R"({"data_centre":"w","writer":"a","incarnation":1,"written_at":0,"groups":[3]})"})
    {
        CHECK(object_api::decode_status(text).error().code() == base::error_code::malformed);
    }
}

TEST(status_codec, mutated_text_does_not_crash)
{
    const auto whole = object_api::encode_status(example);
    for (std::uint64_t seed = 1; seed <= 2000; ++seed)
    {
        base::random_source random{seed};
        auto text = whole;
        for (std::uint64_t edits = 1 + random.below(4); edits > 0; --edits)
        {
            text[random.below(text.size())] = static_cast<char>(random.below(256));
        }
        static_cast<void>(object_api::decode_status(text));
    }
}
