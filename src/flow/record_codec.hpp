#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/flow/flow_record.hpp>

#include <compare>
#include <cstdint>

namespace galenabay::flow
{

/// What a record says besides a flow.
enum class notice_kind : std::uint8_t
{
    /// Asks the receiver for all its records; `nonce` names the request.
    request = 1,
    /// Numbers the batch of records that follows it.
    batch = 2,
    /// Everything asked for has been sent, the last batch being `number`.
    complete = 3,
    /// A state of a service is in force at the sender since `age`.
    changed = 4,
    /// An upstream was unhealthy at the sender `age` ago.
    unhealthy = 5,
};

/// A record that carries control information. Plain value.
struct notice
{
    notice_kind kind = notice_kind::request;
    /// High 32 bits of the sending host's id.
    std::uint32_t sender = 0;
    /// Batch number, or age in `age_unit`; 24 bits.
    std::uint32_t number = 0;
    /// Revision number or low 32 bits of a service id.
    std::uint32_t subject = 0;
    /// Low 32 bits of an upstream id or of a state's hash; or `nonce` in the
    /// low and hash of the host set in the high half.
    std::uint32_t detail = 0;

    std::uint16_t nonce() const noexcept { return static_cast<std::uint16_t>(detail); }
    std::uint16_t set_hash() const noexcept { return static_cast<std::uint16_t>(detail >> 16); }

    friend auto operator<=>(const notice&, const notice&) = default;
};

constexpr std::uint32_t max_notice_number = (1U << 24) - 1;
constexpr base::duration age_unit{16'000};
/// Time within which a record of a flow that another host has just placed
/// arrives.
constexpr base::duration record_latency{1'300'000};

std::uint32_t encode_age(base::duration age) noexcept;
base::duration decode_age(std::uint32_t number) noexcept;

bool is_notice(const flow_record& record) noexcept;
flow_record encode_notice(const notice& value) noexcept;
notice decode_notice(const flow_record& record) noexcept;

/// Silence of a flow as far as a record tells.
struct flow_idle_time
{
    base::duration idle_time{};
    bool established = false;
};

/// Puts the silence into the spare bits of the key, rounded up to one of a few
/// steps that are fractions of the service's idle timeout; the last step stands
/// for all that is longer.
std::uint64_t encode_idle_time(std::uint64_t key, flow_idle_time value, base::duration idle_timeout) noexcept;
flow_idle_time decode_idle_time(std::uint64_t record_key, base::duration idle_timeout) noexcept;

} // namespace galenabay::flow
