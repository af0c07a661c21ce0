#include "json_text.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace galenabay::object_api
{

namespace
{

constexpr std::size_t max_depth = 16;

} // namespace

base::result<Poco::JSON::Object::Ptr> parse_json(const std::string& text, const std::string& step,
                                                 const std::string& peer)
{
    const auto malformed = [&](const std::string& detail)
    { return base::error::make(base::error_code::malformed, step, peer, detail); };
    try
    {
        Poco::JSON::Parser parser;
        parser.setDepth(max_depth);
        const auto parsed = parser.parse(text);
        if (parsed.type() != typeid(Poco::JSON::Object::Ptr))
        {
            return malformed("expected a JSON object");
        }
        return parsed.extract<Poco::JSON::Object::Ptr>();
    }
    catch (const Poco::Exception& failure)
    {
        return malformed(failure.displayText());
    }
}

std::string to_text(const Poco::JSON::Object& json)
{
    std::ostringstream text;
    json.stringify(text);
    return text.str();
}

} // namespace galenabay::object_api
