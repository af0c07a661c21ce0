#include <galenabay/peers/upstreams_position.hpp>

#include <CppUTest/TestHarness.h>

using namespace galenabay::peers;
using galenabay::steer::store_revision;

namespace
{

upstream_changes between(const store_revision& previous, const store_revision& revision)
{
    return {.previous_revision = previous, .revision = revision, .entries = {}, .removed = {}, .data_centre = {}};
}

} // namespace

TEST_GROUP(upstreams_position)
{
    upstreams_position position;

    void check_at(const store_revision& expected)
    {
        CHECK(position.revision() == expected);
    }
};

TEST(upstreams_position, follows_changes_and_stays_at_a_gap)
{
    position.on_change({1, 40});
    position.on_changes(between({1, 40}, {1, 42}));
    check_at({1, 42});
    position.on_changes(between({1, 50}, {1, 51}));
    check_at({1, 42});
    position.on_changes(between({1, 10}, {1, 30}));
    check_at({1, 42});
}

// A host in the lost history passed for up to date, since the restored store's revisions are
// smaller than its own, and missed what the others had applied.
TEST(upstreams_position, changes_of_a_later_epoch_are_a_gap_until_the_state_is_read)
{
    position.on_change({1, 90});
    position.on_changes(between({2, 20}, {2, 21}));
    check_at({1, 90});
    CHECK(position.on_state(between({}, {2, 21})));
    check_at({2, 21});
    position.on_changes(between({2, 21}, {2, 22}));
    check_at({2, 22});
}

// A watcher that lists a store without upstreams after a restore must not stay in the lost
// history: hosts of before would pass for newer.
TEST(upstreams_position, an_empty_list_moves_to_its_epoch)
{
    position.on_change({1, 90});
    position.on_list(2);
    check_at({2, 0});
    position.on_list(2);
    check_at({2, 0});
}

TEST(upstreams_position, nothing_of_an_earlier_epoch_moves_it)
{
    position.on_change({2, 20});
    position.on_list(0);
    position.on_change({1, 95});
    position.on_changes(between({1, 90}, {1, 95}));
    CHECK_FALSE(position.on_state(between({}, {1, 99})));
    check_at({2, 20});
}

// A starting host read the whole state of another host, or the store, although its stale list
// was current: its list has no epoch, so any host passed for newer.
TEST(upstreams_position, an_equal_state_confirms_a_list_of_unknown_epoch_only)
{
    position.on_change({0, 40});
    position.on_equal_state({2, 35});
    check_at({2, 35});
    position.on_equal_state({2, 50});
    check_at({2, 35});
}
