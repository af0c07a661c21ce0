#include "fault_state.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <sstream>

namespace galenabay::stub
{

fault_state::fault_state(double writes_per_second, double reads_per_second)
{
    writes_.per_second = writes_.tokens = writes_per_second;
    reads_.per_second = reads_.tokens = reads_per_second;
}

bool fault_state::bucket::take()
{
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> passed = now - refilled;
    refilled = now;
    tokens = std::min(per_second, tokens + passed.count() * per_second);
    if (tokens < 1)
    {
        return false;
    }
    tokens -= 1;
    return true;
}

admission fault_state::admit(call_kind kind)
{
    const std::lock_guard lock{mutex_};
    auto* const counter = kind == call_kind::read    ? &counts_.reads
                          : kind == call_kind::write ? &counts_.writes
                          : kind == call_kind::watch ? &counts_.watches
                                                     : &counts_.lists;
    ++*counter;
    if (faults_.down)
    {
        ++counts_.unavailable;
        return admission::unavailable;
    }
    auto& limit = kind == call_kind::write ? writes_ : reads_;
    const bool rejected = faults_.reject_every > 0 && ++calls_ % faults_.reject_every == 0;
    if (rejected || !limit.take())
    {
        ++counts_.rejected;
        return admission::rejected;
    }
    return admission::proceed;
}

std::chrono::milliseconds fault_state::delay() const
{
    const std::lock_guard lock{mutex_};
    return std::chrono::milliseconds{faults_.delay_ms};
}

bool fault_state::take_lost_answer()
{
    const std::lock_guard lock{mutex_};
    if (faults_.lose_write_answers == 0)
    {
        return false;
    }
    --faults_.lose_write_answers;
    ++counts_.lost_answers;
    return true;
}

bool fault_state::take_stale_read()
{
    const std::lock_guard lock{mutex_};
    if (faults_.stale_reads == 0)
    {
        return false;
    }
    --faults_.stale_reads;
    return true;
}

void fault_state::add_bytes(std::size_t count)
{
    const std::lock_guard lock{mutex_};
    counts_.bytes_out += count;
}

std::optional<std::uint64_t> fault_state::apply(const std::string& json)
{
    Poco::JSON::Parser parser;
    const auto object = parser.parse(json).extract<Poco::JSON::Object::Ptr>();
    const std::lock_guard lock{mutex_};
    faults_.down = object->optValue("down", faults_.down);
    faults_.delay_ms = object->optValue("delay_ms", faults_.delay_ms);
    faults_.lose_write_answers = object->optValue("lose_write_answers", faults_.lose_write_answers);
    faults_.reject_every = object->optValue("reject_every", faults_.reject_every);
    faults_.stale_reads = object->optValue("stale_reads", faults_.stale_reads);
    if (object->has("restore_version"))
    {
        return object->getValue<std::uint64_t>("restore_version");
    }
    return std::nullopt;
}

std::string fault_state::stats_json() const
{
    const auto snapshot = counts();
    Poco::JSON::Object object;
    object.set("reads", snapshot.reads);
    object.set("writes", snapshot.writes);
    object.set("watches", snapshot.watches);
    object.set("lists", snapshot.lists);
    object.set("rejected", snapshot.rejected);
    object.set("unavailable", snapshot.unavailable);
    object.set("lost_answers", snapshot.lost_answers);
    object.set("bytes_out", snapshot.bytes_out);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

call_counts fault_state::counts() const
{
    const std::lock_guard lock{mutex_};
    return counts_;
}

} // namespace galenabay::stub
