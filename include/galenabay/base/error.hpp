#pragma once

#include <compare>
#include <iosfwd>
#include <string>

namespace galenabay::base
{

/// Kind of failure that an error describes.
enum class error_code
{
    invalid_argument,
    malformed,
    out_of_range,
    not_found,
    conflict,
    unavailable,
    timeout,
    refused,
    exhausted,
    stale,
    corrupt,
    io_failure,
};

/// Returns the stable lower-case name of a code, as written to logs and metrics.
const char* name_of(error_code code);

/// A failure together with the step and the peer at which it arose.
///
/// Immutable value. `step` is a short lower-case identifier such as
/// "platform_put"; `peer` names the other side ("127.0.0.1:7100", a file with
/// its line, a host name) and is empty when the failure is local.
class error
{
public:
    /// An unspecified failure; needed by containers and results.
    error() = default;

    static error make(error_code code, std::string step, std::string peer, std::string detail);

    error_code code() const noexcept { return code_; }
    const std::string& step() const noexcept { return step_; }
    const std::string& peer() const noexcept { return peer_; }
    const std::string& detail() const noexcept { return detail_; }

    /// One line: `step=… peer=… code=… detail="…"`.
    std::string to_string() const;

    friend bool operator==(const error&, const error&) = default;

private:
    error(error_code code, std::string step, std::string peer, std::string detail);

    error_code code_ = error_code::invalid_argument;
    std::string step_;
    std::string peer_;
    std::string detail_;
};

std::ostream& operator<<(std::ostream& stream, const error& value);

} // namespace galenabay::base
