#pragma once

#include "feed_table.hpp"
#include "run_log.hpp"
#include "run_queue.hpp"
#include "settings.hpp"

#include "../stand_in/datagram_socket.hpp"

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/wire/coap_view.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace galenabay::stand_in
{

/// Simulates one upstream: answers CoAP or opaque datagrams, with execution slots, a
/// backlog, feeds, and faults that can be switched at run time. Owned by one thread.
class upstream
{
public:
    /// Creates an upstream bound to `address`. `log` must outlive it. Errors: `io_failure`.
    static base::result<upstream> make(const base::endpoint& address, const stub_settings& settings, std::uint64_t seed,
                                       run_log& log, base::time_point now);

    int descriptor() const noexcept { return socket_.descriptor(); }
    void on_readable(base::time_point now);
    void on_tick(base::time_point now);

    /// Applies "kill", "revive", "drain", "undrain", "shed", "unshed", "lie" (reports
    /// no load and healthy), "truth" (ends "lie"), "slow" (with the factor `value`) or
    /// "cold"; returns false for any other command.
    bool on_command(std::string_view verb, double value, base::time_point now);

    /// Returns the state as key=value pairs.
    std::string status() const;

private:
    upstream(const base::endpoint& address, const stub_settings& settings, std::uint64_t seed, run_log& log,
             datagram_socket socket);

    void on_datagram(const base::endpoint& sender, std::span<const std::byte> bytes, base::time_point now);
    void on_opaque(const origin& from, std::span<const std::byte> payload, base::time_point now);
    void on_coap(const origin& from, std::span<const std::byte> payload, base::time_point now);
    void on_empty(const origin& from, const wire::coap_view& view, base::time_point now);
    void on_request(const origin& from, const wire::coap_view& view, std::string nonce, base::time_point now);
    void on_feed_request(const origin& from, const wire::coap_view& view, base::time_point now);
    bool replay_answer(const origin& from, const wire::coap_view& view, base::time_point now);
    void run(const origin& from, const wire::coap_view& view, std::string nonce, base::time_point now);
    void start_runs(base::time_point now);
    void finish(const job& work, base::time_point now);
    void notify(const feed_key& key, base::time_point now);
    void kill();

    bool accepts_new_work() const { return !draining_ && !shedding_; }
    std::string format_load_report(base::time_point now);
    std::string label() const { return "service=" + settings_.service + " upstream=" + name_; }
    std::string run_id(const job& work) const;
    wire::coap_message result_of(const job& work) const;
    wire::coap_message block_of(const job& work, std::uint64_t number) const;
    void record(const job& work, const char* outcome);

    void answer(const origin& from, const wire::coap_view& request, wire::coap_message message, base::time_point now);
    void refuse(const origin& from, const wire::coap_view& request, base::time_point now);
    void send(const origin& from, const wire::coap_message& message, base::time_point now);
    void send_bytes(const origin& from, std::span<const std::byte> payload, base::time_point now);

    std::string name_;
    base::endpoint address_;
    stub_settings settings_;
    run_log* log_;
    datagram_socket socket_;
    base::random_source random_;
    run_queue queue_;
    feed_table feeds_;
    std::map<base::endpoint, std::uint64_t> datagram_counts_;
    /// Cached answers by caller and message id; `answer_order_` has the oldest first.
    std::map<std::pair<base::endpoint, std::uint16_t>, std::vector<std::byte>> answers_;
    std::deque<std::pair<base::endpoint, std::uint16_t>> answer_order_;
    std::uint16_t next_message_id_ = 1;
    std::size_t reported_running_ = 0;
    base::time_point next_report_{};
    std::uint64_t start_time_us_ = 0;
    bool killed_ = false;
    bool draining_ = false;
    bool shedding_ = false;
    bool reports_false_load_ = false;
};

} // namespace galenabay::stand_in
