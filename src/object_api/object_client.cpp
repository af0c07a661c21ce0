#include <galenabay/object_api/object_client.hpp>

#include "json_text.hpp"

#include <galenabay/net/http_session.hpp>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/URI.h>

#include <utility>

namespace galenabay::object_api
{

namespace
{

using net::http_request;
using Poco::JSON::Object;

constexpr std::size_t max_object_response = 4U << 20U;
constexpr std::size_t max_list_response = 64U << 20U;
constexpr std::size_t max_rows = 65536;
const std::string objects_path = "/v1/objects";

http_request get_request(std::string step, std::string path, std::chrono::milliseconds timeout)
{
    return http_request{.step = std::move(step),
                        .method = "GET",
                        .path = std::move(path),
                        .body = {},
                        .expected_version = {},
                        .timeout = timeout,
                        .max_response = max_object_response};
}

/// Returns `text` percent-encoded for a query value.
std::string encoded(const std::string& text)
{
    std::string safe;
    Poco::URI::encode(text, "&=?#+", safe);
    return safe;
}

object to_object(const Object& json, bool with_value)
{
    return object{json.getValue<std::string>("key"), json.getValue<Poco::UInt64>("version"),
                  with_value ? json.getValue<std::string>("value") : std::string{}};
}

/// Parses `body` and converts it with `read`. A missing or mistyped member is
/// `malformed`.
template <typename Read>
auto parse_body(const std::string& body, const std::string& step, const std::string& peer, Read read)
    -> base::result<decltype(read(std::declval<const Object&>()))>
{
    BOOST_OUTCOME_TRY(json, parse_json(body, step, peer));
    try
    {
        return read(*json);
    }
    catch (const Poco::Exception& failure)
    {
        return base::error::make(base::error_code::malformed, step, peer, failure.displayText());
    }
}

/// Converts each element of the array `key`. Throws Poco::DataFormatException if the array
/// is missing, too long or has an element that is not an object.
template <typename Convert> auto rows_of(const Object& json, const std::string& key, Convert convert)
{
    std::vector<decltype(convert(json))> rows;
    const auto array = json.getArray(key);
    if (array.isNull() || array->size() > max_rows)
    {
        throw Poco::DataFormatException{"expected a list of at most 65536 rows"};
    }
    for (unsigned i = 0; i < array->size(); ++i)
    {
        const auto row = array->getObject(i);
        if (row.isNull())
        {
            throw Poco::DataFormatException{"expected an object in the list"};
        }
        rows.push_back(convert(*row));
    }
    return rows;
}

base::endpoint endpoint_of(const Object& json, const std::string& key)
{
    const auto text = json.getValue<std::string>(key);
    const auto parsed = base::endpoint::parse(text);
    if (!parsed)
    {
        throw Poco::DataFormatException{"expected ADDRESS:PORT, found '" + text + "'"};
    }
    return parsed.value();
}

membership::listed_host to_host(const Object& json)
{
    return membership::listed_host{json.getValue<std::string>("name"), json.getValue<std::string>("data_centre"),
                                   endpoint_of(json, "control"), endpoint_of(json, "relay"),
                                   json.getValue<bool>("leaving")};
}

std::uint64_t version_of(const Object& json)
{
    return json.getValue<Poco::UInt64>("version");
}

} // namespace

object_client::object_client(const base::endpoint& platform, std::chrono::milliseconds timeout)
    : platform_{platform}, timeout_{timeout}
{
}

object_client object_client::make(const base::endpoint& platform, std::chrono::milliseconds timeout)
{
    return object_client{platform, timeout};
}

base::result<object> object_client::get(const std::string& key) const
{
    const auto request = get_request("platform_get", objects_path + "/" + key, timeout_);
    BOOST_OUTCOME_TRY(answer, net::http_session::make(platform_, timeout_).call(request));
    return parse_body(answer.body, request.step, platform_.to_string(),
                      [](const Object& json) { return to_object(json, true); });
}

base::result<std::vector<object>> object_client::list(const std::string& prefix) const
{
    return list(prefix, true);
}

base::result<std::vector<object>> object_client::list_keys(const std::string& prefix) const
{
    return list(prefix, false);
}

base::result<std::vector<object>> object_client::list(const std::string& prefix, bool with_values) const
{
    const auto path = objects_path + "?prefix=" + encoded(prefix) + (with_values ? "" : "&keys_only=1");
    auto request = get_request("platform_list", path, timeout_);
    request.max_response = max_list_response;
    BOOST_OUTCOME_TRY(answer, net::http_session::make(platform_, timeout_).call(request));
    return parse_body(
        answer.body, request.step, platform_.to_string(),
        [&](const Object& json)
        { return rows_of(json, "objects", [&](const Object& row) { return to_object(row, with_values); }); });
}

base::result<std::uint64_t> object_client::put(const std::string& key, const std::string& value,
                                               std::uint64_t expected) const
{
    auto request = get_request("platform_put", objects_path + "/" + key, timeout_);
    if (value.size() > max_object_size)
    {
        return base::error::make(base::error_code::out_of_range, request.step, platform_.to_string(),
                                 key + ": the value is larger than 1 MiB");
    }
    Object body;
    body.set("value", value);
    request.method = "PUT";
    request.body = to_text(body);
    request.expected_version = expected;
    BOOST_OUTCOME_TRY(answer, net::http_session::make(platform_, timeout_).call(request));
    return parse_body(answer.body, request.step, platform_.to_string(), version_of);
}

base::result<void> object_client::remove(const std::string& key, std::uint64_t expected) const
{
    auto request = get_request("platform_remove", objects_path + "/" + key, timeout_);
    request.method = "DELETE";
    request.expected_version = expected;
    BOOST_OUTCOME_TRY(net::http_session::make(platform_, timeout_).call(request));
    return base::outcome::success();
}

base::result<object> object_client::watch(const std::string& key, std::uint64_t after,
                                          std::chrono::milliseconds wait) const
{
    const auto path =
        "/v1/watch/" + key + "?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait.count());
    const auto request = get_request("platform_watch", path, timeout_ + wait);
    BOOST_OUTCOME_TRY(answer, net::http_session::make(platform_, timeout_).call(request));
    if (!answer.has_content)
    {
        return object{key, 0, {}};
    }
    return parse_body(answer.body, request.step, platform_.to_string(),
                      [](const Object& json) { return to_object(json, true); });
}

base::result<std::vector<membership::listed_host>> object_client::hosts() const
{
    auto request = get_request("platform_hosts", "/v1/hosts", timeout_);
    request.max_response = max_list_response;
    BOOST_OUTCOME_TRY(answer, net::http_session::make(platform_, timeout_).call(request));
    return parse_body(answer.body, request.step, platform_.to_string(),
                      [](const Object& json) { return rows_of(json, "hosts", to_host); });
}

} // namespace galenabay::object_api
