#include "peer_link.hpp"

#include "counting_stream.hpp"
#include "report_codec.hpp"

#include <galenabay/base/invariant.hpp>

#include <memory>
#include <utility>

namespace galenabay::daemon
{

namespace
{

const auto exchange_timeout = 1 * kj::SECONDS;
const auto fetch_timeout = 10 * kj::SECONDS;

} // namespace

peer_link::peer_link(kj::Network& network, kj::Timer& timer, metric_table& metrics, const base::endpoint& control)
    : network_{network}, timer_{timer}, metrics_{metrics}, control_{control}
{
}

kj::Promise<void> peer_link::connect()
{
    if (connection_.get() != nullptr)
    {
        return kj::READY_NOW;
    }
    return network_.parseAddress(control_.to_string())
        .then(
            [](kj::Own<kj::NetworkAddress> address)
            {
                auto connecting = address->connect();
                return connecting.attach(kj::mv(address));
            })
        .then(
            [this](kj::Own<kj::AsyncIoStream> raw)
            {
                auto stream = kj::heap<counting_stream>(kj::mv(raw), metrics_);
                auto client = kj::heap<capnp::TwoPartyClient>(*stream);
                auto peer = client->bootstrap().castAs<schema::Peer>();
                connection_ =
                    kj::heap<connection>(connection{kj::mv(stream), kj::mv(client), kj::mv(peer), std::nullopt});
            });
}

schema::Peer::Client& peer_link::peer()
{
    GALENABAY_INVARIANT(connection_.get() != nullptr);
    return connection_->peer;
}

void peer_link::drop_connection()
{
    connection_ = nullptr;
}

kj::Promise<heartbeat_answer> peer_link::send_report(const membership::host_report& own,
                                                     const std::vector<flow::flow_record>& records)
{
    const auto place = connection_->last_report ? place_fields::omitted : place_fields::included;
    auto request = peer().heartbeatRequest();
    write_report(own, place, request.initReport());
    if (!records.empty())
    {
        write_records(records, request.initFlows());
    }
    return request.send().then(
        [this](capnp::Response<schema::Peer::HeartbeatResults> response)
        {
            auto received = read_records(response.getFlows());
            if (!received)
            {
                kj::throwFatalException(KJ_EXCEPTION(FAILED, "malformed flow records"));
            }
            return heartbeat_answer{decode_report(response.getReport()), std::move(received).value()};
        });
}

membership::host_report peer_link::decode_report(schema::HostReport::Reader answered)
{
    GALENABAY_INVARIANT(connection_.get() != nullptr);
    auto& last_report = connection_->last_report;
    auto report = read_report(answered, last_report ? &*last_report : nullptr);
    if (!report)
    {
        kj::throwFatalException(KJ_EXCEPTION(FAILED, "malformed host report"));
    }
    last_report = report.value();
    return std::move(report).value();
}

kj::Promise<heartbeat_answer> peer_link::exchange(const membership::host_report& own,
                                                  std::vector<flow::flow_record> records)
{
    ++open_calls_;
    auto call = connect().then([this, own, records = std::move(records)]() { return send_report(own, records); });
    return timer_.timeoutAfter(exchange_timeout, kj::mv(call))
        .then(
            [this](heartbeat_answer answer)
            {
                --open_calls_;
                return answer;
            },
            [this](kj::Exception&& failure) -> heartbeat_answer
            {
                --open_calls_;
                drop_connection();
                kj::throwFatalException(kj::mv(failure));
            });
}

kj::Promise<std::vector<std::byte>> peer_link::fetch_revision(std::uint64_t after)
{
    ++open_calls_;
    auto call = connect().then(
        [this, after]()
        {
            auto request = peer().fetchRevisionRequest();
            request.setAfter(after);
            return request.send().then(
                [](capnp::Response<schema::Peer::FetchRevisionResults> response)
                {
                    const auto bytes = response.getRevision();
                    const auto* begin = reinterpret_cast<const std::byte*>(bytes.begin());
                    return std::vector<std::byte>{begin, begin + bytes.size()};
                });
        });
    return timer_.timeoutAfter(fetch_timeout, kj::mv(call))
        .then(
            [this](std::vector<std::byte> bytes)
            {
                --open_calls_;
                return bytes;
            },
            [this](kj::Exception&& failure) -> std::vector<std::byte>
            {
                --open_calls_;
                kj::throwFatalException(kj::mv(failure));
            });
}

} // namespace galenabay::daemon
