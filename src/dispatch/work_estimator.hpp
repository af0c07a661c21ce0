#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/dispatch/request.hpp>

#include <cstdint>
#include <unordered_map>

namespace galenabay::dispatch
{

/// Estimates how long requests of a method and path run at an upstream.
///
/// A single slow run barely moves the estimate, so that a straggler doesn't
/// change the class of its path; a path that stays slow does.
class work_estimator
{
public:
    /// Adds an observed running time.
    void on_finished(method kind, std::uint64_t path, base::duration elapsed);

    /// Returns the expected running time; estimated from other paths when this one
    /// has not been observed.
    base::duration expected(method kind, std::uint64_t path) const;

    /// Returns true when such requests hold a slot several times longer than usual.
    bool is_long(method kind, std::uint64_t path) const;

private:
    /// Running estimate of the median of the observations.
    struct typical_time
    {
        double microseconds = 0;
        std::uint32_t observations = 0;

        void observe(double value);
    };

    void clear_if_full();

    /// By hash of method and path.
    std::unordered_map<std::uint64_t, typical_time> typical_;
    typical_time overall_;
};

} // namespace galenabay::dispatch
