#include <galenabay/config/codec.hpp>
#include <galenabay/config/load.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace galenabay;

namespace
{

config::service_set example_set()
{
    const std::vector<std::string> files{std::string{GALENABAY_SOURCE_DIR} + "/examples/alliance.yaml"};
    return config::load_service_set(files).value();
}

config::service_set with_weight(config::service_set set, std::uint32_t weight)
{
    set.services[0].upstreams[0].weight = weight;
    return set;
}

} // namespace

TEST_GROUP(codec){};

TEST(codec, canonical_form_does_not_depend_on_order)
{
    const auto set = example_set();
    auto shuffled = set;
    std::reverse(shuffled.services.begin(), shuffled.services.end());
    std::reverse(shuffled.services[0].upstreams.begin(), shuffled.services[0].upstreams.end());
    CHECK(config::encode_service_set(set) == config::encode_service_set(shuffled));
    CHECK(config::digest_of(set) == config::digest_of(shuffled));
    CHECK(config::digest_of(set) != config::digest_of(with_weight(set, 9)));
    LONGS_EQUAL(64, config::to_hex(config::digest_of(set)).size());
}

TEST(codec, digest_stays_the_same_across_releases)
{
    config::service_set set{.name = "fixed", .services = {}};
    STRCMP_EQUAL("64e0751b54c2e52cdb6cf617a5d26a7059a7439ca6d459b87aa6455d377cb7ce",
                 config::to_hex(config::digest_of(set)).c_str());
}

TEST(codec, revision_survives_the_round_trip)
{
    auto revision = config::make_next_revision(nullptr, example_set(), "ann", 100);
    for (std::uint32_t weight = 1; weight <= 12; ++weight)
    {
        revision = config::make_next_revision(&revision, with_weight(revision.set, weight), "ben", 100 + weight);
        const auto decoded = config::decode_revision(config::encode_revision(revision));
        CHECK(decoded.has_value());
        CHECK(decoded.value() == revision);
    }
    LONGS_EQUAL(13, revision.number);
    LONGS_EQUAL(config::max_generations, revision.lineage.at("parts-exchange").size());
}

TEST(codec, corrupt_set_is_refused)
{
    auto revision = config::make_next_revision(nullptr, example_set(), "ann", 100);
    revision.set.services[0].upstreams[0].weight = 3;
    const auto decoded = config::decode_revision(config::encode_revision(revision));
    CHECK(decoded.error().code() == base::error_code::corrupt);
    revision.number = 0;
    CHECK(config::decode_revision(config::encode_revision(revision)).error().code() == base::error_code::malformed);
}

TEST(codec, change_rebuilds_the_next_revision)
{
    const auto first = config::make_next_revision(nullptr, example_set(), "ann", 100);
    auto set = with_weight(first.set, 50);
    set.services.pop_back();
    const auto second = config::make_next_revision(&first, set, "ben", 200);
    const auto bytes = config::encode_change(first, second);
    CHECK(bytes.size() < config::encode_revision(second).size());
    CHECK(config::decode_change(first, bytes).value() == second);
    CHECK(config::decode_change(second, bytes).error().code() == base::error_code::stale);
}

TEST(codec, lineage_holds_the_state_before_each_change)
{
    const auto first = config::make_next_revision(nullptr, example_set(), "ann", 1);
    auto set = first.set;
    set.services[0].upstreams[2].draining = true;
    const auto second = config::make_next_revision(&first, set, "ann", 2);
    LONGS_EQUAL(1, second.lineage.size());
    const auto& generations = second.lineage.at(set.services[0].name);
    LONGS_EQUAL(1, generations.front().last_revision);
    CHECK(generations.front().upstreams == first.set.services[0].upstreams);
}

TEST(codec, settings_without_effect_on_routing_leave_the_lineage_unchanged)
{
    const auto first = config::make_next_revision(nullptr, example_set(), "ann", 1);
    auto set = first.set;
    set.services[0].requests.deadline_ms = 123;
    set.services[0].upstreams[0].slots = 9;
    const auto second = config::make_next_revision(&first, set, "ann", 2);
    CHECK(second.lineage.empty());
    CHECK(second.digest != first.digest);
}

TEST(codec, lineage_of_a_removed_service_is_kept_for_some_revisions)
{
    const auto first = config::make_next_revision(nullptr, example_set(), "ann", 1);
    auto set = first.set;
    const auto removed = set.services.back().name;
    set.services.pop_back();
    auto revision = config::make_next_revision(&first, set, "ann", 2);
    CHECK(revision.lineage.contains(removed));
    for (std::uint64_t i = 0; i < config::removed_service_revisions; ++i)
    {
        revision = config::make_next_revision(&revision, set, "ann", 3);
    }
    CHECK_FALSE(revision.lineage.contains(removed));
}
