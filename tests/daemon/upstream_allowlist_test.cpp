#include "../../src/daemon/upstream_allowlist.hpp"

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using daemon::upstream_allowlist;

namespace
{

config::upstream make_upstream(std::uint16_t port)
{
    return {"u" + std::to_string(port), base::endpoint::make_v4(0x7f000201, port), "worcester"};
}

config::service make_service(const char* name, std::uint16_t port, std::uint16_t first_upstream)
{
    config::service service;
    service.name = name;
    service.address = base::endpoint::make_v4(0xc000020a, port);
    service.upstreams = {make_upstream(first_upstream), make_upstream(first_upstream + 1)};
    return service;
}

} // namespace

TEST_GROUP(upstream_allowlist)
{
    config::service parts = make_service("parts", 5683, 1);
    config::service titles = make_service("titles", 5684, 11);
    config::accepted_revision revision;
    void setup() override
    {
        revision.set.services = {parts, titles};
    }
};

TEST(upstream_allowlist, allows_only_upstreams_of_the_decided_service)
{
    const upstream_allowlist table{revision};
    CHECK(table.allows(parts.id(), parts.address, make_upstream(1).endpoint));
    CHECK_FALSE(table.allows(parts.id(), parts.address, make_upstream(11).endpoint));
    CHECK_FALSE(table.allows(titles.id(), parts.address, make_upstream(11).endpoint));
    CHECK_FALSE(table.allows_any(parts.address, make_upstream(11).endpoint));
}

TEST(upstream_allowlist, empty_table_allows_nothing)
{
    CHECK_FALSE(upstream_allowlist{}.allows(parts.id(), parts.address, make_upstream(1).endpoint));
}

TEST(upstream_allowlist, a_moved_address_does_not_mix_the_services)
{
    // The address of "parts" now belongs to "titles"; "parts" moved to another port.
    auto moved = revision;
    moved.set.services[0].address = parts.address.with_port(5690);
    moved.set.services[1].address = parts.address;
    moved.lineage["parts"] = {{1, parts.address, parts.upstreams}};
    const upstream_allowlist table{moved};
    CHECK(table.allows(parts.id(), parts.address, make_upstream(1).endpoint));
    CHECK(table.allows(titles.id(), parts.address, make_upstream(11).endpoint));
    CHECK_FALSE(table.allows(titles.id(), parts.address, make_upstream(1).endpoint));
    CHECK_FALSE(table.allows(parts.id(), parts.address, make_upstream(11).endpoint));
}
