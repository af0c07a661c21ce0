#include <galenabay/edge/edge_host.hpp>
#include <galenabay/net/udp_socket.hpp>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace galenabay;

TEST_GROUP(edge_host)
{
    static constexpr std::uint32_t loopback = 0x7f000001;

    /// Returns a loopback address with a port that the kernel reported as free.
    static base::endpoint free_port()
    {
        return net::udp_socket::bind(base::endpoint::make_v4(loopback, 0)).value().local();
    }
};

TEST(edge_host, does_not_start_on_an_address_in_use_and_names_it)
{
    const auto taken = net::udp_socket::bind(base::endpoint::make_v4(loopback, 0));
    const auto address = taken.value().local();
    const auto started = edge::edge_host::start({.host = "edge-1",
                                                 .data_centre = "east",
                                                 .packets = address,
                                                 .readiness = free_port(),
                                                 .peers = free_port(),
                                                 .seeds = {},
                                                 .store = free_port()},
                                                0);
    CHECK_FALSE(started.has_value());
    CHECK(started.error().code() == base::error_code::io_failure);
    STRCMP_CONTAINS(address.to_string().c_str(), started.error().peer().c_str());
}
