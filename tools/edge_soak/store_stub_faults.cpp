#include "store_stub.hpp"

#include <chrono>

// Faults that the stub injects into calls.
namespace galenabay::edge_soak
{

namespace
{

using namespace std::chrono_literals;

constexpr auto slow_answer = 500ms;
constexpr auto max_silence = 3'000ms;
constexpr auto late_write_delay = 1'000ms;

} // namespace

void store_stub::set_fault(store_fault fault)
{
    const std::lock_guard lock{mutex_};
    fault_ = fault;
    changed_.notify_all();
}

store_fault store_stub::fault() const
{
    const std::lock_guard lock{mutex_};
    return fault_;
}

void store_stub::set_fault_at(const std::string& address, store_fault fault)
{
    const std::lock_guard lock{mutex_};
    faults_at_[address] = fault;
    changed_.notify_all();
}

void store_stub::set_fault_of(const std::string& kind, store_fault fault)
{
    const std::lock_guard lock{mutex_};
    faults_of_[kind] = fault;
    changed_.notify_all();
}

store_fault store_stub::fault_at(const std::string& address, const std::string& kind) const
{
    if (const auto found = faults_of_.find(kind); found != faults_of_.end() && found->second != store_fault::none)
    {
        return found->second;
    }
    const auto found = faults_at_.find(address);
    return fault_ != store_fault::none || found == faults_at_.end() ? fault_ : found->second;
}

std::optional<store_stub::answer> store_stub::apply_fault(const std::string& address, const std::string& kind)
{
    std::unique_lock lock{mutex_};
    ++calls_;
    ++calls_of_[kind];
    switch (fault_at(address, kind))
    {
    case store_fault::silent:
        return stay_silent(lock, address, kind);
    case store_fault::slow:
        changed_.wait_for(lock, slow_answer, [&] { return stopping_; });
        return std::nullopt;
    case store_fault::busy:
        return answer{.status = 503, .body = "{}"};
    case store_fault::limited:
        return answer{.status = 429, .body = "{}"};
    case store_fault::reset:
        return answer{.status = 0, .body = {}, .epoch = 0, .lost = true, .reset = true};
    default:
        return std::nullopt;
    }
}

store_stub::answer store_stub::stay_silent(std::unique_lock<std::mutex>& lock, const std::string& address,
                                           const std::string& kind)
{
    changed_.wait_for(lock, max_silence, [&] { return stopping_ || fault_at(address, kind) != store_fault::silent; });
    return {.status = 0, .body = {}, .epoch = 0, .lost = true};
}

store_stub::answer store_stub::lose_write(store_fault fault, const std::function<answer()>& write)
{
    if (fault == store_fault::late_writes)
    {
        std::unique_lock lock{mutex_};
        changed_.wait_for(lock, late_write_delay, [&] { return stopping_; });
    }
    write();
    return {.status = 0, .body = {}, .epoch = 0, .lost = true};
}

} // namespace galenabay::edge_soak
