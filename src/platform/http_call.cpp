#include "http_call.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <istream>
#include <ostream>
#include <utility>

namespace galenabay::platform
{

namespace
{

using base::error_code;
using Poco::Net::HTTPResponse;

base::result<std::string> read_bounded(std::istream& stream, const http_request& request, const std::string& peer)
{
    constexpr std::size_t block_size = 64U << 10U;
    std::string body;
    std::string block(block_size, '\0');
    while (stream.read(block.data(), static_cast<std::streamsize>(block.size())) || stream.gcount() > 0)
    {
        body.append(block, 0, static_cast<std::size_t>(stream.gcount()));
        if (body.size() > request.max_response)
        {
            return base::error::make(error_code::out_of_range, request.step, peer, "the response is too large");
        }
    }
    return body;
}

base::error error_of(HTTPResponse::HTTPStatus status, const http_request& request, const std::string& peer)
{
    const auto make = [&](error_code code)
    {
        return base::error::make(code, request.step, peer,
                                 request.method + " " + request.path + ": status " + std::to_string(status));
    };
    switch (status)
    {
    case HTTPResponse::HTTP_NOT_FOUND:
        return make(error_code::not_found);
    case HTTPResponse::HTTP_PRECONDITION_FAILED:
        return make(error_code::conflict);
    case HTTPResponse::HTTP_TOO_MANY_REQUESTS:
        return make(error_code::exhausted);
    case HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE:
        return make(error_code::out_of_range);
    case HTTPResponse::HTTP_SERVICE_UNAVAILABLE:
        return make(error_code::unavailable);
    default:
        return make(error_code::malformed);
    }
}

void add_condition(const http_request& request, Poco::Net::HTTPRequest& message)
{
    if (!request.expected)
    {
        return;
    }
    if (*request.expected == 0)
    {
        message.set("If-None-Match", "*");
        return;
    }
    message.set("If-Match", "\"" + std::to_string(*request.expected) + "\"");
}

base::result<http_answer> receive(Poco::Net::HTTPClientSession& session, const http_request& request,
                                  const std::string& peer)
{
    HTTPResponse response;
    auto& stream = session.receiveResponse(response);
    BOOST_OUTCOME_TRY(body, read_bounded(stream, request, peer));
    if (response.hasContentLength() && response.getContentLength64() != static_cast<Poco::Int64>(body.size()))
    {
        return base::error::make(error_code::timeout, request.step, peer, "the answer was cut short");
    }
    switch (response.getStatus())
    {
    case HTTPResponse::HTTP_OK:
        return http_answer{true, std::move(body)};
    case HTTPResponse::HTTP_NO_CONTENT:
        return http_answer{false, {}};
    default:
        return error_of(response.getStatus(), request, peer);
    }
}

} // namespace

base::result<http_answer> call(const base::endpoint& platform, const http_request& request)
{
    const auto peer = platform.to_string();
    const auto fail = [&](error_code code, const Poco::Exception& failure)
    { return base::error::make(code, request.step, peer, failure.displayText()); };
    Poco::Net::HTTPClientSession session;
    try
    {
        session.setHost(platform.address_string());
        session.setPort(platform.port());
        session.setTimeout(
            Poco::Timespan{std::chrono::duration_cast<std::chrono::microseconds>(request.timeout).count()});
        Poco::Net::HTTPRequest message{request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1};
        add_condition(request, message);
        if (!request.body.empty())
        {
            message.setContentType("application/json");
            message.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        }
        session.sendRequest(message) << request.body << std::flush;
    }
    catch (const Poco::Exception& failure)
    {
        // Once connected, part of the request may have arrived.
        return fail(session.connected() ? error_code::timeout : error_code::unavailable, failure);
    }
    try
    {
        return receive(session, request, peer);
    }
    catch (const Poco::Exception& failure)
    {
        return fail(error_code::timeout, failure);
    }
}

} // namespace galenabay::platform
