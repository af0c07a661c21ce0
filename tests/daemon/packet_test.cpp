#include "../../src/daemon/packet_pool.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

using namespace galenabay::daemon;
using galenabay::net::packet;

TEST_GROUP(packet)
{
    std::unique_ptr<packet> buffer = std::make_unique<packet>();
    std::vector<std::byte> bytes = std::vector<std::byte>(8, std::byte{7});
};

TEST(packet, keeps_payload_between_header_changes)
{
    CHECK(buffer->assign(bytes));
    CHECK(buffer->prepend(std::vector<std::byte>(28, std::byte{1})));
    LONGS_EQUAL(36, buffer->payload().size());
    buffer->remove_prefix(28);
    LONGS_EQUAL(8, buffer->payload().size());
    CHECK(buffer->payload().front() == std::byte{7});
}

TEST(packet, refuses_a_header_without_room)
{
    CHECK(buffer->assign(bytes));
    CHECK_FALSE(buffer->prepend(std::vector<std::byte>(packet::headroom + 1)));
    LONGS_EQUAL(8, buffer->payload().size());
}

TEST(packet, refuses_an_oversize_payload)
{
    CHECK_FALSE(buffer->assign(std::vector<std::byte>(packet::capacity + 1)));
}

TEST(packet, remove_prefix_is_bounded)
{
    CHECK(buffer->assign(bytes));
    buffer->remove_prefix(100);
    CHECK(buffer->payload().empty());
}

TEST(packet, pool_hands_out_each_buffer_once)
{
    packet_pool pool{2};
    packet* first = pool.acquire();
    packet* second = pool.acquire();
    CHECK(first != nullptr && second != nullptr && first != second);
    POINTERS_EQUAL(nullptr, pool.acquire());
    pool.release(first);
    POINTERS_EQUAL(first, pool.acquire());
}
