// Replays seeds of the fault-injection test `torture_dispatch` that once failed.
// Each test name says which faults lead to the failure.

#include "../../bench/dispatch_torture.hpp"

#include <CppUTest/TestHarness.h>

namespace
{

void replay(std::uint64_t seed)
{
    galenabay::torture::totals counts;
    galenabay::torture::world subject{seed, counts, 0};
    CHECK_TRUE(subject.run());
}

} // namespace

TEST_GROUP(torture_seeds){};

TEST(torture_seeds, a_host_lost_while_a_refusal_is_being_checked_115466)
{
    replay(115466);
}

TEST(torture_seeds, a_host_that_ran_a_get_before_the_others_received_its_reports_3967)
{
    replay(3967);
}

TEST(torture_seeds, a_lone_host_restarts_and_other_witnesses_rank_first_19385)
{
    replay(19385);
}

TEST(torture_seeds, a_lone_host_restarts_and_other_witnesses_rank_first_312718)
{
    replay(312718);
}

TEST(torture_seeds, a_witness_leaves_after_the_holder_has_restarted_403617)
{
    replay(403617);
}
