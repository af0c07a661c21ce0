#include <galenabay/net/connection_attempt.hpp>

#include <CppUTest/TestHarness.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <poll.h>

using namespace galenabay;
using net::connection_attempt;

TEST_GROUP(connection_attempt)
{
    static constexpr std::uint32_t loopback = 0x7f000001;

    connection_attempt::state outcome_at(std::uint16_t port)
    {
        auto attempt = connection_attempt::begin(base::endpoint::make_v4(loopback, port));
        pollfd entry{attempt.descriptor(), POLLOUT, 0};
        if (attempt.descriptor() >= 0)
        {
            LONGS_EQUAL(1, poll(&entry, 1, 1'000));
        }
        return attempt.update_state();
    }
};

TEST(connection_attempt, distinguishes_a_listening_server_from_a_closed_port)
{
    Poco::Net::ServerSocket listening{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    const auto port = listening.address().port();
    CHECK(outcome_at(port) == connection_attempt::state::connected);
    listening.close();
    CHECK(outcome_at(port) == connection_attempt::state::refused);
}

TEST(connection_attempt, an_address_of_another_family_fails_at_once)
{
    const auto attempt = connection_attempt::begin(base::endpoint{});
    LONGS_EQUAL(-1, attempt.descriptor());
    CHECK(attempt.last_state() == connection_attempt::state::failed);
}
