#pragma once

#include "metric_table.hpp"

#include <galenabay/base/endpoint.hpp>
#include <galenabay/flow/flow_record.hpp>
#include <galenabay/membership/host.hpp>

#include <generated/peer.capnp.h>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenabay::daemon
{

/// A peer's response to a heartbeat.
struct heartbeat_answer
{
    membership::host_report report;
    std::vector<flow::flow_record> records;
};

/// RPC connection to one peer. Connects on first use and reconnects after a failed exchange. Owned by the control
/// thread; used only in its event loop.
class peer_link
{
public:
    peer_link(kj::Network& network, kj::Timer& timer, metric_table& metrics, const base::endpoint& control);

    /// Sends this host's report and flow records; resolves to the peer's. Rejected when the peer does not respond in
    /// time.
    kj::Promise<heartbeat_answer> exchange(const membership::host_report& own, std::vector<flow::flow_record> records);

    /// Resolves to the encoded update from revision `after` to the peer's; empty when the peer's number is not larger.
    kj::Promise<std::vector<std::byte>> fetch_revision(std::uint64_t after);

    const base::endpoint& control() const noexcept { return control_; }

    /// Returns true while a call is pending; the link must not be destroyed until it ends.
    bool busy() const noexcept { return open_calls_ > 0; }

private:
    struct connection
    {
        kj::Own<kj::AsyncIoStream> stream;
        kj::Own<capnp::TwoPartyClient> client;
        schema::Peer::Client peer;
        /// Last report read on this connection.
        std::optional<membership::host_report> last_report;
    };

    kj::Promise<void> connect();
    kj::Promise<heartbeat_answer> send_report(const membership::host_report& own,
                                              const std::vector<flow::flow_record>& records);
    membership::host_report decode_report(schema::HostReport::Reader answered);
    schema::Peer::Client& peer();
    void drop_connection();

    kj::Network& network_;
    kj::Timer& timer_;
    metric_table& metrics_;
    base::endpoint control_;
    /// Null while not connected.
    kj::Own<connection> connection_;
    std::uint32_t open_calls_ = 0;
};

} // namespace galenabay::daemon
