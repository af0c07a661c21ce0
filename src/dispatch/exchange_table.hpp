#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/hash.hpp>
#include <galenabay/base/time.hpp>
#include <galenabay/dispatch/request.hpp>

#include <compare>
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace galenabay::dispatch
{

/// Identifies an exchange: the upstream and the caller's token, which an answer
/// carries.
struct exchange_id
{
    base::endpoint upstream;
    base::endpoint service_address;
    base::endpoint caller;
    std::uint64_t token = 0;
    std::uint8_t token_length = 0;

    friend auto operator<=>(const exchange_id&, const exchange_id&) = default;
};

struct exchange_hash
{
    std::size_t operator()(const exchange_id& id) const noexcept
    {
        const std::uint64_t sides = base::mix(base::hash_endpoint(id.upstream), base::hash_endpoint(id.caller));
        return base::mix(sides, id.token + id.token_length);
    }
};

/// Matches the answers of upstreams to requests.
///
/// An answer that carries the request's message id is matched by it. One that
/// carries the token alone is accepted only while no older request with that
/// token may still be answered by that upstream, and only once.
class exchange_table
{
public:
    explicit exchange_table(base::duration retention) : retention_{retention} {}

    /// Records that a request was sent. At most one request at a time may wait in
    /// an exchange.
    void open(const exchange_id& id, request_key key, std::uint16_t message_id);

    /// Records that the request no longer waits for this upstream, which may still
    /// answer late.
    void abandon(const exchange_id& id, base::time_point now);

    /// Records that the upstream has answered.
    void close(const exchange_id& id, const answer& arrived, base::time_point now);

    /// Returns the waiting request that an answer belongs to, if any.
    std::optional<request_key> match(const answer& arrived, base::time_point now) const;

    /// Returns true when a request waits in this exchange, or an older one may
    /// still be answered late: another upstream should be used.
    bool is_taken(const exchange_id& id, base::time_point now) const;
    /// Returns true when a request waits in this exchange.
    bool is_open(const exchange_id& id) const;

    /// Returns true when this host has used the exchange, so that an answer in it
    /// belongs to one of its requests.
    bool contains(const exchange_id& id) const { return exchanges_.contains(id); }

    /// Erases exchanges that haven't been used for the retention time.
    void on_tick(base::time_point now);

    /// Returns the id of the exchange that an answer belongs to.
    static exchange_id id_of(const answer& arrived);

private:
    struct exchange
    {
        std::optional<request_key> waiting;
        std::uint16_t message_id = 0;
        /// An older request may be answered late until then.
        base::time_point late_answer_until{};
        /// Message ids of the last answers that came with the token alone,
        /// oldest first.
        std::vector<std::uint16_t> separate_ids;
        base::time_point last_used{};
    };
    struct timestamped_exchange
    {
        exchange_id id;
        base::time_point at{};
    };

    void mark_used(const exchange_id& id, exchange& entry, base::time_point now);

    base::duration retention_;
    std::unordered_map<exchange_id, exchange, exchange_hash> exchanges_;
    std::deque<timestamped_exchange> order_;
};

} // namespace galenabay::dispatch
