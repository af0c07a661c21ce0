#include "../../src/edge/call_queue.hpp"

#include <CppUTest/TestHarness.h>

#include <new>
#include <stdexcept>
#include <vector>

using namespace galenabay::edge;

TEST_GROUP(call_queue)
{
    call_queue<int> calls{4};
    std::vector<int> made;
    std::vector<int> failed;
    const std::vector<int> none{};

    /// Makes the oldest call; it ends with an exception if it is `throwing`.
    bool step(int throwing, bool has_memory = true)
    {
        const auto make = [&](int call)
        {
            made.push_back(call);
            if (call == throwing)
            {
                throw std::runtime_error{"unexpected"};
            }
        };
        const auto fail = [&](int call)
        {
            if (!has_memory)
            {
                throw std::bad_alloc{};
            }
            failed.push_back(call);
        };
        return calls.use_first(make, fail);
    }
};

// Failure: a claim whose call ended with an exception was never answered, so that its upstream had no owner until it
// was warm.
TEST(call_queue, a_call_that_ends_with_an_exception_fails_and_the_next_one_is_made)
{
    calls.push(1);
    calls.push(2);
    CHECK_THROWS(std::runtime_error, step(1));
    // The answer may find no memory, either.
    CHECK_THROWS(std::bad_alloc, step(1, false));
    CHECK(step(1));
    CHECK(step(1));
    CHECK_FALSE(step(1));
    CHECK((made == std::vector<int>{1, 2}));
    CHECK((failed == std::vector<int>{1}));
}
