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

/// What an answer names: the upstream that sent it and the caller's token.
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

/// Ties answers to requests.
///
/// An answer that carries the request's message id is matched by it. One that
/// carries the token alone is accepted only while no older request with that
/// token may still be answered by that upstream, and not twice.
class exchange_table
{
public:
    explicit exchange_table(base::duration retention) : retention_{retention} {}

    /// A request was sent. At most one request at a time per exchange.
    void open(const exchange_id& id, request_key key, std::uint16_t message_id);

    /// The request no longer waits for this upstream, which may answer late.
    void abandon(const exchange_id& id, base::time_point now);

    /// The upstream has answered.
    void close(const exchange_id& id, const answer& arrived, base::time_point now);

    /// The request that an answer belongs to, if one waits.
    std::optional<request_key> match(const answer& arrived, base::time_point now) const;

    /// True when a request waits in this exchange, or a late answer to an
    /// older one may come: another upstream should be used.
    bool is_taken(const exchange_id& id, base::time_point now) const;
    /// True when a request waits in this exchange.
    bool is_open(const exchange_id& id) const;

    /// True when the exchange was used, so that an answer in it is from an
    /// upstream to a request of this host.
    bool contains(const exchange_id& id) const { return exchanges_.contains(id); }

    void on_tick(base::time_point now);

    static exchange_id id_of(const answer& arrived);

private:
    struct exchange
    {
        std::optional<request_key> waiting;
        std::uint16_t message_id = 0;
        /// Until then an older request may be answered late.
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
