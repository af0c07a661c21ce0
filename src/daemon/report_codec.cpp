#include "report_codec.hpp"

#include "../wire/endpoint_codec.hpp"

#include <string>
#include <utility>

namespace galenabay::daemon
{

namespace
{

using wire::read_endpoint;
using wire::write_endpoint;

constexpr std::size_t max_name_length = 63;
constexpr std::size_t max_records = 65536;

base::result<std::string> read_name(capnp::Text::Reader in)
{
    if (in.size() == 0 || in.size() > max_name_length)
    {
        return base::error::make(base::error_code::out_of_range, "read_report", "", "expected a name of 1 to 63 bytes");
    }
    return std::string{in.cStr(), in.size()};
}

base::result<membership::host_state> read_state(schema::HostState in)
{
    switch (in)
    {
    case schema::HostState::STARTING:
        return membership::host_state::starting;
    case schema::HostState::READY:
        return membership::host_state::ready;
    case schema::HostState::LEAVING:
        return membership::host_state::leaving;
    }
    return base::error::make(base::error_code::malformed, "read_report", "", "unknown host state");
}

} // namespace

void write_report(const membership::host_report& report, place_fields place, schema::HostReport::Builder out)
{
    out.setName(report.name);
    out.setIncarnation(report.incarnation);
    out.setSequence(report.sequence);
    out.setState(static_cast<schema::HostState>(report.state));
    out.setRevision(report.revision);
    out.setPlatformReachable(report.platform_reachable);
    if (place == place_fields::included)
    {
        auto fields = out.initPlace();
        fields.setDataCentre(report.data_centre);
        write_endpoint(report.control, fields.initControl());
        write_endpoint(report.relay, fields.initRelay());
    }
}

base::result<membership::host_report> read_report(schema::HostReport::Reader in, const membership::host_report* known)
{
    membership::host_report report;
    BOOST_OUTCOME_TRY(name, read_name(in.getName()));
    BOOST_OUTCOME_TRY(state, read_state(in.getState()));
    report.name = std::move(name);
    report.state = state;
    report.incarnation = in.getIncarnation();
    report.sequence = in.getSequence();
    report.revision = in.getRevision();
    report.platform_reachable = in.getPlatformReachable();
    if (in.hasPlace())
    {
        BOOST_OUTCOME_TRY(data_centre, read_name(in.getPlace().getDataCentre()));
        report.data_centre = std::move(data_centre);
        report.control = read_endpoint(in.getPlace().getControl());
        report.relay = read_endpoint(in.getPlace().getRelay());
        return report;
    }
    if (known == nullptr || known->name != report.name || known->incarnation != report.incarnation)
    {
        return base::error::make(base::error_code::stale, "read_report", report.name,
                                 "data centre and endpoints omitted and not known for this incarnation");
    }
    report.data_centre = known->data_centre;
    report.control = known->control;
    report.relay = known->relay;
    return report;
}

void write_records(std::span<const flow::flow_record> records, schema::FlowBatch::Builder out)
{
    auto list = out.initRecords(static_cast<unsigned>(records.size()));
    for (unsigned i = 0; i < list.size(); ++i)
    {
        list[i].setKey(records[i].key);
        list[i].setService(records[i].service);
        list[i].setUpstream(records[i].upstream);
    }
}

base::result<std::vector<flow::flow_record>> read_records(schema::FlowBatch::Reader in)
{
    const auto list = in.getRecords();
    if (list.size() > max_records)
    {
        return base::error::make(base::error_code::out_of_range, "read_records", "",
                                 "more than 65536 flow records in one batch");
    }
    std::vector<flow::flow_record> records;
    records.reserve(list.size());
    for (const auto& record : list)
    {
        records.push_back({record.getKey(), record.getService(), record.getUpstream()});
    }
    return records;
}

} // namespace galenabay::daemon
