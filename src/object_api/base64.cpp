#include "base64.hpp"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>

#include <iterator>
#include <sstream>

namespace galenabay::object_api
{

std::string to_base64(std::span<const std::byte> bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder{text};
    encoder.rdbuf()->setLineLength(0);
    encoder.write(reinterpret_cast<const char*>(bytes.data()), static_cast<std::streamsize>(bytes.size()));
    encoder.close();
    return text.str();
}

base::result<std::vector<std::byte>> from_base64(const std::string& text)
{
    try
    {
        std::istringstream stream{text};
        Poco::Base64Decoder decoder{stream};
        const std::string decoded{std::istreambuf_iterator<char>{decoder}, {}};
        const auto bytes = std::as_bytes(std::span{decoded});
        return std::vector<std::byte>{bytes.begin(), bytes.end()};
    }
    catch (const Poco::Exception& failure)
    {
        return base::error::make(base::error_code::malformed, "decode_base64", "", failure.displayText());
    }
}

} // namespace galenabay::object_api
