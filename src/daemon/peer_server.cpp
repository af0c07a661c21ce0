#include "peer_server.hpp"

#include "report_codec.hpp"

#include <kj/debug.h>

namespace galenabay::daemon
{

kj::Promise<void> peer_server::heartbeat(HeartbeatContext context)
{
    const auto sent = context.getParams().getReport();
    const auto report = read_report(sent, handler_.last_report(sent.getName().cStr()));
    KJ_REQUIRE(report.has_value(),
               "malformed host report, or it omits a data centre and endpoints that this host does not have");
    const auto records = read_records(context.getParams().getFlows());
    KJ_REQUIRE(records.has_value(), "malformed flow records");
    KJ_REQUIRE(handler_.on_heartbeat(report.value(), records.value()),
               "heartbeat blocked by the simulated partition in the test settings");
    const auto place = sent.hasPlace() ? place_fields::included : place_fields::omitted;
    write_report(handler_.own_report(), place, context.getResults().initReport());
    if (const auto waiting = handler_.take_records(report.value().name); !waiting.empty())
    {
        write_records(waiting, context.getResults().initFlows());
    }
    return kj::READY_NOW;
}

kj::Promise<void> peer_server::fetchRevision(FetchRevisionContext context)
{
    const auto number = handler_.revision_number();
    if (number > context.getParams().getAfter())
    {
        const auto bytes = handler_.update_since(context.getParams().getAfter());
        context.getResults().setNumber(number);
        context.getResults().setRevision(
            capnp::Data::Reader{reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()});
    }
    return kj::READY_NOW;
}

kj::Promise<void> peer_server::fetchReports(FetchReportsContext context)
{
    const auto reports = handler_.known_reports();
    auto list = context.getResults().initReports(static_cast<unsigned>(reports.size()));
    for (unsigned i = 0; i < list.size(); ++i)
    {
        write_report(reports[i], place_fields::included, list[i]);
    }
    return kj::READY_NOW;
}

} // namespace galenabay::daemon
