#include <galenabay/base/random.hpp>
#include <platform/store_objects.hpp>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace galenabay;
using namespace galenabay::adapter;

namespace
{

const std::string list_body =
    R"({"items":[{"meta":{"name":"i-1","revision":9},"spec":{"service":"feed","address":"10.128.0.9:8080",)"
    R"("zone":"east","version":"v1","max-concurrency":3,"state":"ready","warmup-left-ms":250,"sequence":4,)"
    R"("born":1785880304094}}],"more":false,"current-rev":530})";
const std::string changes_body =
    R"({"events":[{"deleted":false,"object":{"meta":{"name":"main","revision":9},"spec":{"version":7,"routes":)"
    R"([{"name":"r","host":"198.18.0.1","path-prefix":"/8443/","service":"a"}],"limits":{}}}}],"current-rev":9})";

} // namespace

TEST_GROUP(store_answer_faults){};

TEST(store_answer_faults, an_answer_that_is_broken_off_is_never_taken_for_a_whole_one)
{
    for (std::size_t size = 0; size < list_body.size(); ++size)
    {
        CHECK_FALSE(decode_list(object_kind::upstreams, list_body.substr(0, size), "store").has_value());
    }
    for (std::size_t size = 0; size < changes_body.size(); ++size)
    {
        CHECK_FALSE(decode_changes(object_kind::configuration, changes_body.substr(0, size), "store").has_value());
    }
}

// Pattern: one malformed answer must not end the process.
TEST(store_answer_faults, mutated_answers_do_not_crash_the_decoders)
{
    constexpr int rounds = 3'000;
    base::random_source random{20261204};
    std::size_t decoded = 0;
    for (int round = 0; round < rounds; ++round)
    {
        auto list = list_body;
        auto changes = changes_body;
        for (std::uint64_t i = 0, edits = 1 + random.below(4); i < edits; ++i)
        {
            list[random.below(list.size())] = static_cast<char>(random.below(256));
            changes[random.below(changes.size())] = static_cast<char>(random.below(256));
        }
        decoded += decode_list(object_kind::upstreams, list, "store").has_value() ? 1 : 0;
        decoded += decode_list(object_kind::hosts, list, "store").has_value() ? 1 : 0;
        decoded += decode_changes(object_kind::configuration, changes, "store").has_value() ? 1 : 0;
    }
    CHECK(decoded > 0);
}

TEST(store_answer_faults, a_hosts_entry_keeps_its_address_and_data_centre)
{
    const auto entry = encode_host("edge-1", base::endpoint::make_v4(0x0a010001, 7720), "east");
    const auto page =
        decode_list(object_kind::hosts, R"({"items":[)" + entry + R"(],"more":false,"current-rev":1})", "store");
    const auto& object = page.value().objects.front();
    CHECK(object.host == base::endpoint::make_v4(0x0a010001, 7720));
    STRCMP_EQUAL("east", object.host_data_centre.c_str());
}

TEST(store_answer_faults, the_number_of_the_history_is_a_decimal_number_or_absent)
{
    LONGS_EQUAL(0, decode_epoch("", "store").value());
    LONGS_EQUAL(12, decode_epoch("12", "store").value());
    for (const char* header : {"x", "-1", "1.5", " 1", "1 ", "99999999999999999999"})
    {
        CHECK_FALSE(decode_epoch(header, "store").has_value());
    }
}
