#pragma once

#include "host_list.hpp"
#include "settings.hpp"

#include "../stand_in/datagram_socket.hpp"

#include <galenabay/base/random.hpp>
#include <galenabay/base/result.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/wire/coap_view.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace galenabay::stand_in
{

/// How an exchange ended, or that a response matched none.
enum class event_kind
{
    /// The first response to an open exchange.
    answered,
    /// A response without an open exchange: a notification or a repeated answer.
    unmatched,
    /// The request was reset.
    reset,
    /// No response came in time.
    timed_out,
};

/// Event of an exchange. Plain value.
struct exchange_event
{
    event_kind kind = event_kind::timed_out;
    std::size_t caller = 0;
    /// Service port of the host that the datagram came from, or was sent to.
    std::uint16_t port = 0;
    std::uint64_t token = 0;
    wire::coap_view view;
    std::vector<std::byte> payload;
    /// Time since the request was first sent; 0 for an unmatched response.
    base::duration took{};
};

/// A request to send. Plain value.
struct outgoing_request
{
    std::size_t caller = 0;
    std::uint16_t port = 0;
    /// Type, token and options; `exchange_table::send` sets the message id.
    wire::coap_message message;
};

/// Sends the callers' confirmable requests, one socket per caller. Retransmits according
/// to RFC 7252 section 4.2, each time to a random host. Owned by one thread.
class exchange_table
{
public:
    /// Opens the sockets. `hosts` must outlive the table. Errors: `io_failure`.
    static base::result<exchange_table> make(const load_settings& settings, host_list& hosts);

    std::size_t callers() const noexcept { return sockets_.size(); }
    int descriptor(std::size_t caller) const { return sockets_[caller].descriptor(); }
    /// Returns a random token other than 0.
    std::uint64_t make_token() { return random_() | 1U; }
    std::size_t open() const noexcept { return open_.size(); }

    /// Sends a request, and retransmits it until it is answered, reset or timed out. A request
    /// that cannot be encoded is dropped.
    void send(const outgoing_request& request, base::time_point now);

    /// Reads the datagrams queued at a caller's socket.
    std::vector<exchange_event> on_readable(std::size_t caller, base::time_point now);

    /// Retransmits requests that are due; returns those that timed out.
    std::vector<exchange_event> on_tick(base::time_point now);

    /// Acknowledges a message if it is confirmable.
    void acknowledge(const exchange_event& event, base::time_point now);
    /// Answers a message with a reset.
    void reset(const exchange_event& event, base::time_point now);

private:
    struct exchange
    {
        std::size_t caller = 0;
        std::uint16_t port = 0;
        std::uint16_t message_id = 0;
        std::vector<std::byte> bytes;
        base::time_point started;
        base::time_point due;
        base::duration timeout{};
        unsigned transmissions = 1;
        bool acknowledged = false;
    };

    exchange_table(const load_settings& settings, host_list& hosts);
    std::optional<exchange_event> read(std::size_t caller, const base::endpoint& sender,
                                       const std::vector<std::byte>& bytes, base::time_point now);
    std::optional<exchange_event> on_empty(std::size_t caller, const wire::coap_view& view, std::uint16_t port,
                                           base::time_point now);
    exchange_event close(std::map<std::uint64_t, exchange>::iterator at, event_kind kind, base::time_point now);
    void send_empty(const exchange_event& event, wire::coap_type type, base::time_point now);
    void schedule(std::uint64_t token, exchange& item, base::time_point due);

    load_settings settings_;
    host_list* hosts_;
    base::random_source random_;
    std::vector<datagram_socket> sockets_;
    std::vector<std::uint16_t> next_message_id_;
    std::map<std::uint64_t, exchange> open_;
    /// Tokens of the open exchanges by caller and message id.
    std::map<std::pair<std::size_t, std::uint16_t>, std::uint64_t> tokens_;
    std::multimap<base::time_point, std::uint64_t> schedule_;
};

} // namespace galenabay::stand_in
