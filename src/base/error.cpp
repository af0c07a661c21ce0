#include <galenabay/base/error.hpp>

#include <ostream>
#include <utility>

namespace galenabay::base
{

const char* name_of(error_code code)
{
    switch (code)
    {
    case error_code::invalid_argument:
        return "invalid_argument";
    case error_code::malformed:
        return "malformed";
    case error_code::out_of_range:
        return "out_of_range";
    case error_code::not_found:
        return "not_found";
    case error_code::conflict:
        return "conflict";
    case error_code::unavailable:
        return "unavailable";
    case error_code::timeout:
        return "timeout";
    case error_code::refused:
        return "refused";
    case error_code::exhausted:
        return "exhausted";
    case error_code::stale:
        return "stale";
    case error_code::corrupt:
        return "corrupt";
    case error_code::io_failure:
        return "io_failure";
    }
    return "unknown";
}

error::error(error_code code, std::string step, std::string peer, std::string detail)
    : code_{code}, step_{std::move(step)}, peer_{std::move(peer)}, detail_{std::move(detail)}
{
}

error error::make(error_code code, std::string step, std::string peer, std::string detail)
{
    return error{code, std::move(step), std::move(peer), std::move(detail)};
}

std::string error::to_string() const
{
    std::string line = "step=" + step_;
    if (!peer_.empty())
    {
        line += " peer=" + peer_;
    }
    line += " code=";
    line += name_of(code_);
    line += " detail=\"" + detail_ + "\"";
    return line;
}

std::ostream& operator<<(std::ostream& stream, const error& value)
{
    return stream << value.to_string();
}

} // namespace galenabay::base
