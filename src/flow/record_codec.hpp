#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/flow/flow_record.hpp>

#include <compare>
#include <cstdint>

namespace galenabay::flow
{

/// Kinds of control records.
enum class notice_kind : std::uint8_t
{
    /// Requests all records of the receiver; `nonce` identifies the request.
    request = 1,
    /// Gives the number of the batch of records that follows it.
    batch = 2,
    /// All requested records have been sent; `number` is the last batch.
    complete = 3,
    /// A version of a service has been in force at the sender for the given age.
    changed = 4,
    /// An upstream was last unhealthy at the sender the given age ago.
    unhealthy = 5,
};

/// A control record of the record exchange. Plain value.
struct notice
{
    notice_kind kind = notice_kind::request;
    /// High 32 bits of the sending host's id.
    std::uint32_t sender = 0;
    /// Batch number, or age in `age_unit`; 24 bits.
    std::uint32_t number = 0;
    /// Revision number or low 32 bits of a service id.
    std::uint32_t subject = 0;
    /// Low 32 bits of an upstream id or of a version's tag; in `request`, `batch`
    /// and `complete` the nonce in the low half and, in `complete`, the hash of
    /// the host set in the high half.
    std::uint32_t detail = 0;

    std::uint16_t nonce() const noexcept { return static_cast<std::uint16_t>(detail); }
    std::uint16_t set_hash() const noexcept { return static_cast<std::uint16_t>(detail >> 16); }

    friend auto operator<=>(const notice&, const notice&) = default;
};

constexpr std::uint32_t max_notice_number = (1U << 24) - 1;
constexpr base::duration age_unit{16'000};
/// Longest time until the record of a flow that another host has placed arrives or
/// its loss is noticed: `complete` notices, which are repeated every 2 s, name the
/// last batch, and a batch takes up to a heartbeat and the delay of the network.
constexpr base::duration record_latency{3'500'000};

/// Converts an age to units of `age_unit`, clamped to 0 to `max_notice_number`.
std::uint32_t encode_age(base::duration age) noexcept;
/// Returns the age that a number of `age_unit` stands for.
base::duration decode_age(std::uint32_t number) noexcept;

/// Returns true when the record is a control record, not that of a flow.
bool is_notice(const flow_record& record) noexcept;
/// Converts a control record to its form in a peer message, and back.
flow_record encode_notice(const notice& value) noexcept;
notice decode_notice(const flow_record& record) noexcept;

/// Idle time of a flow as a record encodes it, rounded up to a step.
struct flow_idle_time
{
    base::duration idle_time{};
    /// As `flow_entry::established`.
    bool established = false;
};

/// Encodes the idle time in the spare bits of the key, rounded up to one of a
/// few steps in percent of the service's idle timeout. The last step stands for
/// every longer time.
std::uint64_t encode_idle_time(std::uint64_t key, flow_idle_time value, base::duration idle_timeout) noexcept;
/// Returns the idle time that the spare bits of a record's key encode.
flow_idle_time decode_idle_time(std::uint64_t record_key, base::duration idle_timeout) noexcept;

} // namespace galenabay::flow
