#include "../../src/daemon/report_codec.hpp"

#include <CppUTest/TestHarness.h>
#include <capnp/message.h>

#include <memory>

using namespace galenabay;

TEST_GROUP(report_codec)
{
    membership::host_report report{"worcester-1",
                                   "worcester",
                                   7,
                                   3,
                                   membership::host_state::leaving,
                                   base::endpoint::make_v4(0x7f000101, 7100),
                                   base::endpoint::make_v4(0x7f000101, 7101),
                                   12,
                                   true};
};

TEST(report_codec, round_trip)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::HostReport>();
    daemon::write_report(report, daemon::place_fields::included, root);
    const auto read = daemon::read_report(root.asReader(), nullptr);
    CHECK(read.has_value());
    CHECK(read.value() == report);
}

TEST(report_codec, omitted_fields_come_from_the_same_incarnation_only)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::HostReport>();
    daemon::write_report(report, daemon::place_fields::omitted, root);
    CHECK(daemon::read_report(root.asReader(), &report).value() == report);
    CHECK_FALSE(daemon::read_report(root.asReader(), nullptr).has_value());
    auto restarted = report;
    ++restarted.incarnation;
    CHECK_FALSE(daemon::read_report(root.asReader(), &restarted).has_value());
}

TEST(report_codec, refuses_a_long_or_missing_name)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::HostReport>();
    CHECK_FALSE(daemon::read_report(root.asReader(), &report).has_value());
    root.setName(std::string(64, 'x'));
    CHECK_FALSE(daemon::read_report(root.asReader(), &report).has_value());
}

TEST(report_codec, records_round_trip)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::FlowBatch>();
    const std::vector<flow::flow_record> records{{1, 2, 3}, {4, 5, 6}};
    daemon::write_records(records, root);
    CHECK(daemon::read_records(root.asReader()).value() == records);
}
