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

/// Interface through which `peer_server` uses the control thread's state. Called on the control thread.
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    /// Handles a peer's report and flow records. Returns false when a simulated partition blocks the peer.
    virtual bool on_heartbeat(const membership::host_report& report, const std::vector<flow::flow_record>& records) = 0;
    /// Returns this host's report with the next sequence number.
    virtual membership::host_report own_report() = 0;
    /// Removes and returns the flow records queued for `host`.
    virtual std::vector<flow::flow_record> take_records(const std::string& host) = 0;
    /// Returns the last report of a host, or null when none was received.
    virtual const membership::host_report* last_report(const std::string& name) const = 0;
    /// Returns the encoded update from revision `after` to the current one; empty when there is none.
    virtual std::vector<std::byte> update_since(std::uint64_t after) const = 0;
    /// Returns the number of the revision in force; 0 if none.
    virtual std::uint64_t revision_number() const = 0;
    /// Returns the current reports of all hosts, including this one.
    virtual std::vector<membership::host_report> known_reports() const = 0;
};

/// Serves the RPC interface that peers call. Runs in the control thread's event loop.
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
