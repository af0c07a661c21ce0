#include "../../src/edge/call_queue.hpp"

#include <CppUTest/TestHarness.h>

#include <new>
#include <stdexcept>
#include <vector>

using namespace galenabay::edge;

TEST_GROUP(call_queue){};

// Failure: a claim whose call ended with an exception was never answered, so that its upstream had no owner until it
// was warm. The answer may find no memory, either.
TEST(call_queue, a_call_that_ends_with_an_exception_fails_and_the_next_one_is_made)
{
    call_queue<int> calls{4};
    calls.push(1);
    calls.push(2);
    std::vector<int> made;
    std::vector<int> failed;
    const auto make = [&](int call)
    { call == 1 ? throw std::runtime_error{"unexpected"} : void(made.push_back(call)); };
    CHECK_THROWS(std::runtime_error, calls.use_first(make, [](int) {}));
    CHECK_THROWS(std::bad_alloc, calls.use_first(make, [](int) { throw std::bad_alloc{}; }));
    while (calls.use_first(make, [&](int call) { failed.push_back(call); }))
    {
    }
    CHECK((made == std::vector<int>{2}));
    CHECK((failed == std::vector<int>{1}));
}
