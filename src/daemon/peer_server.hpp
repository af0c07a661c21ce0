#pragma once

#include "metric_table.hpp"

#include <galenabay/flow/flow_record.hpp>
#include <galenabay/membership/host.hpp>

#include <generated/peer.capnp.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace galenabay::daemon
{

/// What the RPC server needs from the control thread.
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    /// False when the report must not be accepted (partition test).
    virtual bool on_heartbeat(const membership::host_report& report, const std::vector<flow::flow_record>& records) = 0;
    virtual membership::host_report own_report() = 0;
    /// Flow records that wait for this host; they are handed out once.
    virtual std::vector<flow::flow_record> take_records(const std::string& host) = 0;
    /// Last report of a host; null when never heard.
    virtual const membership::host_report* last_report(const std::string& name) const = 0;
    /// What a host with revision `after` misses, encoded; empty when nothing.
    virtual std::vector<std::byte> update_since(std::uint64_t after) const = 0;
    virtual std::uint64_t revision_number() const = 0;
    virtual std::vector<membership::host_report> known_reports() const = 0;
};

/// RPC interface that peers call. Runs in the control thread's event loop.
class peer_server final : public schema::Peer::Server
{
public:
    explicit peer_server(peer_handler& handler) : handler_{handler} {}

    // The names below are those of the generated interface.
    // NOLINTBEGIN(readability-identifier-naming)
    kj::Promise<void> heartbeat(HeartbeatContext context) override;
    kj::Promise<void> fetchRevision(FetchRevisionContext context) override;
    kj::Promise<void> fetchReports(FetchReportsContext context) override;
    // NOLINTEND(readability-identifier-naming)

private:
    peer_handler& handler_;
};

} // namespace galenabay::daemon
