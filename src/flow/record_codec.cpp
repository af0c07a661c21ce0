#include "record_codec.hpp"

#include "flow_key.hpp"

#include <algorithm>
#include <array>

namespace galenabay::flow
{

namespace
{

constexpr std::uint64_t notice_mark = 7;
constexpr unsigned kind_shift = 3;
constexpr unsigned number_shift = 8;
constexpr unsigned sender_shift = 32;
constexpr std::uint64_t kind_mask = 0x1f;

struct idle_time_step
{
    /// Longest idle time of the step, in percent of the idle timeout.
    int percent = 0;
    bool established = false;
};

constexpr std::array<idle_time_step, 7> idle_time_steps{
    {{2, false}, {30, false}, {100, false}, {2, true}, {30, true}, {100, true}, {200, true}}};

} // namespace

std::uint32_t encode_age(base::duration age) noexcept
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age / age_unit, 0, max_notice_number));
}

base::duration decode_age(std::uint32_t number) noexcept
{
    return number * age_unit;
}

bool is_notice(const flow_record& record) noexcept
{
    return (record.key & ~key_mask) == notice_mark;
}

flow_record encode_notice(const notice& value) noexcept
{
    const std::uint64_t key = notice_mark | (static_cast<std::uint64_t>(value.kind) << kind_shift) |
                              (static_cast<std::uint64_t>(value.number & max_notice_number) << number_shift) |
                              (static_cast<std::uint64_t>(value.sender) << sender_shift);
    return flow_record{key, value.subject, value.detail};
}

notice decode_notice(const flow_record& record) noexcept
{
    notice value;
    value.kind = static_cast<notice_kind>((record.key >> kind_shift) & kind_mask);
    value.number = static_cast<std::uint32_t>(record.key >> number_shift) & max_notice_number;
    value.sender = static_cast<std::uint32_t>(record.key >> sender_shift);
    value.subject = record.service;
    value.detail = record.upstream;
    return value;
}

std::uint64_t encode_idle_time(std::uint64_t key, flow_idle_time value, base::duration idle_timeout) noexcept
{
    std::uint64_t chosen = 0;
    for (std::uint64_t step = 0; step < idle_time_steps.size(); ++step)
    {
        const auto& [percent, established] = idle_time_steps[step];
        if (established != value.established)
        {
            continue;
        }
        chosen = step;
        if (value.idle_time <= idle_timeout * percent / 100)
        {
            break;
        }
    }
    return (key & key_mask) | chosen;
}

flow_idle_time decode_idle_time(std::uint64_t record_key, base::duration idle_timeout) noexcept
{
    const auto& [percent, established] =
        idle_time_steps[std::min<std::uint64_t>(record_key & ~key_mask, idle_time_steps.size() - 1)];
    return {idle_timeout * percent / 100, established};
}

} // namespace galenabay::flow
