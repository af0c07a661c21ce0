#pragma once

#include <galenabay/base/time.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <utility>

namespace galenabay::edge
{

/// Report that its owner, the packet thread, makes only after another thread has asked for it. Without requests the
/// owner reads one atomic variable. Thread-safe.
template <typename Report> class requested_report
{
public:
    /// Age up to which a report is returned again, so that many requests cost the owner two reports a second.
    static constexpr base::duration lifetime = std::chrono::milliseconds{500};

    /// Returns the latest report. When there is none or it is too old, requests a new one and returns null.
    std::shared_ptr<const Report> read(base::time_point now)
    {
        const std::lock_guard lock{mutex_};
        if (latest_ && now - made_at_ < lifetime)
        {
            return latest_;
        }
        requested_.store(true, std::memory_order_relaxed);
        return nullptr;
    }
    /// Withdraws the request; `read` makes a new one.
    void withdraw() noexcept { requested_.store(false, std::memory_order_relaxed); }
    /// Returns true when a report is to be published.
    bool is_requested() const noexcept { return requested_.load(std::memory_order_relaxed); }
    void publish(Report made, base::time_point now)
    {
        auto report = std::make_shared<const Report>(std::move(made));
        const std::lock_guard lock{mutex_};
        latest_ = std::move(report);
        made_at_ = now;
    }

private:
    std::atomic<bool> requested_{false};
    std::mutex mutex_;
    std::shared_ptr<const Report> latest_;
    base::time_point made_at_{};
};

} // namespace galenabay::edge
