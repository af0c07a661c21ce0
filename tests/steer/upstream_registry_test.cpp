#include "steer_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace galenabay::steer;
using namespace galenabay::steer::test;

namespace
{

upstream_entry at_revision(std::uint64_t revision, bool draining = false, std::uint64_t epoch = 1)
{
    auto entry = make_upstream("i-1", 1);
    entry.revision = {.epoch = epoch, .number = revision};
    entry.draining = draining;
    return entry;
}

} // namespace

TEST_GROUP(upstream_registry)
{
    upstream_registry registry{upstream_registry::limits{}};
};

TEST(upstream_registry, an_older_registration_that_arrives_late_changes_nothing)
{
    registry.put(at_revision(10), at(0s));
    registry.put(at_revision(14, true), at(1s));
    CHECK(registry.put(at_revision(10), at(2s)).kind == upstream_change::none);
    CHECK(registry.find(token_of(at_revision(1)))->entry.draining);
}

TEST(upstream_registry, an_earlier_registration_does_not_undo_a_removal)
{
    registry.put(at_revision(10), at(0s));
    CHECK(registry.remove("i-1", {1, 12}, at(1s)).kind == upstream_change::missing);
    CHECK(registry.put(at_revision(10), at(1s)).kind == upstream_change::none);
    CHECK(registry.find(token_of(at_revision(1)))->missing_since.has_value());
    CHECK(registry.put(at_revision(13), at(2s)).kind == upstream_change::updated);
    CHECK_FALSE(registry.find(token_of(at_revision(1)))->missing_since.has_value());
}

TEST(upstream_registry, an_old_list_does_not_remove_later_registrations)
{
    registry.put(at_revision(20), at(0s));
    LONGS_EQUAL(0, registry.replace_all({}, {1, 15}, at(1s)).size());
    LONGS_EQUAL(1, registry.replace_all({}, {1, 25}, at(1s)).size());
}

TEST(upstream_registry, removes_ended_incarnations_after_the_age_limit_of_flows)
{
    registry.put(at_revision(10), at(0s));
    registry.remove("i-1", {1, 12}, at(0s));
    registry.expire(at(3s));
    LONGS_EQUAL(1, registry.size());
    registry.expire(at(70s));
    LONGS_EQUAL(0, registry.size());
}

// An upstream that reported that it drains got new flows: after a restore of the store the
// report had a smaller revision than the registration known from before.
TEST(upstream_registry, a_registration_of_a_later_epoch_is_applied_whatever_its_number)
{
    registry.put(at_revision(40), at(0s));
    CHECK(registry.put(at_revision(20, true, 2), at(1s)).kind == upstream_change::updated);
    CHECK(registry.find(token_of(at_revision(1)))->entry.draining);
    CHECK(registry.put(at_revision(41), at(1s)).kind == upstream_change::none);
    CHECK(registry.find(token_of(at_revision(1)))->entry.draining);
}

// A removed upstream stayed in use for the same reason, and a removal of the lost history that
// arrives late must not hide the registration that replaced it.
TEST(upstream_registry, removals_and_lists_compare_within_their_epoch)
{
    registry.put(at_revision(40), at(0s));
    LONGS_EQUAL(1, registry.replace_all({}, {2, 20}, at(1s)).size());
    CHECK(registry.put(at_revision(25, false, 2), at(2s)).kind == upstream_change::updated);
    CHECK(registry.remove("i-1", {1, 60}, at(2s)).kind == upstream_change::none);
    LONGS_EQUAL(0, registry.replace_all({}, {1, 60}, at(2s)).size());
    CHECK(registry.remove("i-1", {2, 26}, at(2s)).kind == upstream_change::missing);
}
