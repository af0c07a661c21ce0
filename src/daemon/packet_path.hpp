#pragma once

#include "health_prober.hpp"
#include "metric_table.hpp"
#include "outbox.hpp"
#include "registration_log.hpp"
#include "service_table.hpp"

#include <galenabay/config/host_settings.hpp>
#include <galenabay/dispatch/dispatcher.hpp>
#include <galenabay/flow/steering.hpp>
#include <galenabay/wire/coap_view.hpp>
#include <galenabay/wire/peer_datagram.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenabay::daemon
{

/// Processes packets on the decide thread, which owns it: passes each packet to steering or to the dispatcher and
/// carries out their decisions.
class packet_path
{
public:
    packet_path(const config::host_settings& settings, std::uint64_t seed, channels& links, packet_pool& pool,
                metric_table& metrics, const net::udp_socket& upstream_socket, int relay_socket);

    /// Handles one packet and takes ownership of it.
    void on_packet(net::packet* received, base::time_point now);

    // Events from the control thread (`decide_event`), and the decide thread's own pauses and ticks.
    void on_revision(const std::shared_ptr<const config::accepted_revision>& revision, base::time_point now);
    void on_hosts(const std::vector<membership::live_host>& hosts, base::time_point now);
    void on_listed_hosts(const std::vector<membership::listed_host>& hosts, base::time_point now);
    void on_records(const std::vector<flow::flow_record>& records, base::time_point now);
    void on_pause(base::time_point now);
    void on_leave(base::time_point now);
    void on_tick(base::time_point now);

    /// Returns the flow records to send to each peer, at most `budget_bytes` in total.
    std::vector<outgoing_records> take_records(std::size_t budget_bytes, base::time_point now);

    std::size_t open_requests() const noexcept { return dispatcher_.open_requests(); }
    /// Copies the counters of steering and dispatch to the metric table.
    void publish_metrics();
    /// Wakes the send thread if packets were passed to it.
    void flush() { outbox_.flush(); }

private:
    /// A packet from a caller, received directly or relayed by another host.
    struct caller_packet
    {
        net::packet* received = nullptr;
        base::endpoint service;
        base::endpoint caller;
        std::uint8_t hops = 0;
    };

    void on_caller_packet(const caller_packet& from, base::time_point now);
    void on_upstream_packet(net::packet* received, base::time_point now);
    void on_host_packet(net::packet* received, base::time_point now);
    void on_coap_packet(const caller_packet& from, const service_entry& entry, base::time_point now);
    void on_request(const caller_packet& from, const service_entry& entry, const wire::coap_view& view,
                    base::time_point now);
    void steer(const caller_packet& from, const wire::coap_view* view, base::time_point now);
    void carry_out(const caller_packet& from, const flow::decision& decided, const wire::coap_view* view);
    void refuse_registration(const caller_packet& from, const wire::coap_view& view);
    void answer_malformed(const caller_packet& from, const service_entry& entry);
    void return_to_caller(net::packet* received, const wire::proxy_header& header, base::time_point now);
    bool handle_response(const net::packet& received, const wire::proxy_header& header, const wire::coap_view& view,
                         base::time_point now);
    void on_probe_answer(const net::packet& received, base::time_point now);
    void apply_health(const health_change& change, base::time_point now);
    void send_coap(const wire::coap_message& message, const base::endpoint& service, const base::endpoint& caller);
    bool is_known_host(const std::string& name, const base::endpoint& sender) const;

    void carry_out(const dispatch::actions& decided);
    void carry_out(const dispatch::send_to_upstream& action);
    void carry_out(const dispatch::cancel_at_upstream& action);
    void carry_out(const dispatch::deliver& action);
    void carry_out(const dispatch::refuse& action);
    void carry_out(const dispatch::relay_request& action);
    void carry_out(const dispatch::send_intent& action);
    void carry_out(const dispatch::send_intent_reply& action);

    std::string self_;
    base::endpoint upstream_address_;
    channels& links_;
    metric_table& metrics_;
    service_table services_;
    outbox outbox_;
    flow::steering steering_;
    dispatch::dispatcher dispatcher_;
    health_prober prober_;
    registration_log registrations_;
    std::shared_ptr<const config::accepted_revision> revision_;
    upstream_allowlist allowlist_;
    std::vector<membership::live_host> hosts_;
    std::map<std::string, base::endpoint> relay_addresses_;
    base::time_point next_steering_tick_{};
};

} // namespace galenabay::daemon
