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

/// Steps of silence: three of flows on probation, four of established ones.
constexpr std::array<flow_silence, 7> silence_steps{{{base::duration{4'000'000}, false},
                                                     {base::duration{60'000'000}, false},
                                                     {base::duration{300'000'000}, false},
                                                     {base::duration{4'000'000}, true},
                                                     {base::duration{60'000'000}, true},
                                                     {base::duration{300'000'000}, true},
                                                     {base::duration{900'000'000}, true}}};

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

std::uint64_t encode_silence(std::uint64_t key, flow_silence value) noexcept
{
    std::uint64_t chosen = value.established ? silence_steps.size() - 1 : 2;
    for (std::size_t step = silence_steps.size(); step-- > 0;)
    {
        if (silence_steps[step].established == value.established && value.silence <= silence_steps[step].silence)
        {
            chosen = step;
        }
    }
    return (key & key_mask) | chosen;
}

flow_silence decode_silence(std::uint64_t record_key) noexcept
{
    return silence_steps[std::min<std::uint64_t>(record_key & ~key_mask, silence_steps.size() - 1)];
}

} // namespace galenabay::flow
