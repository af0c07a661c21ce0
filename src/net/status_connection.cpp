#include "status_connection.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <exception>
#include <optional>
#include <sstream>
#include <utility>

namespace galenabay::net
{

namespace
{

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr const char* text_type = "text/plain; charset=utf-8";
/// Longest text that ends a head; some callers end their lines without a carriage return.
constexpr std::size_t max_end_bytes = 3;
/// Longest request line with its header, in bytes; routers and scrapers send some hundred.
constexpr std::size_t max_head_bytes = 8U << 10U;
/// Size of one read, in bytes: the usual request arrives at once.
constexpr std::size_t read_bytes = 2U << 10U;

/// Returns the size of the request line and header that `text` begins with, looking for their end from `from` on;
/// nullopt when they are not complete.
std::optional<std::size_t> size_of_head(std::string_view text, std::size_t from)
{
    for (auto line = text.find('\n', from); line != std::string_view::npos; line = text.find('\n', line + 1))
    {
        const auto rest = text.substr(line + 1);
        if (rest.starts_with('\n') || rest.starts_with("\r\n"))
        {
            return text.find('\n', line + 1) + 1;
        }
    }
    return std::nullopt;
}

std::string encode(const status_response& response, bool has_body, const std::string& version)
{
    HTTPResponse head{version, static_cast<HTTPResponse::HTTPStatus>(response.status)};
    head.setDate({});
    head.setContentType(text_type);
    head.setContentLength64(static_cast<Poco::Int64>(response.body.size()));
    head.setKeepAlive(false);
    std::ostringstream text;
    head.write(text);
    return has_body ? text.str() + response.body : text.str();
}

std::string refuse(HTTPResponse::HTTPStatus status)
{
    return encode({status, HTTPResponse::getReasonForStatus(status)}, true, HTTPMessage::HTTP_1_1);
}

std::optional<HTTPRequest> parse(const std::string& head)
{
    try
    {
        std::istringstream text{head};
        HTTPRequest request;
        request.read(text);
        return request;
    }
    catch (const Poco::Exception&)
    {
        return std::nullopt;
    }
}

/// Returns the whole response to a request.
std::string respond(const std::string& head, const status_server::request_handler& answer)
{
    const auto request = parse(head);
    if (!request || request->getURI().empty())
    {
        return refuse(HTTPResponse::HTTP_BAD_REQUEST);
    }
    const auto& version =
        request->getVersion() == HTTPMessage::HTTP_1_0 ? HTTPMessage::HTTP_1_0 : HTTPMessage::HTTP_1_1;
    return encode(answer(request->getURI()), request->getMethod() != HTTPRequest::HTTP_HEAD, version);
}

} // namespace

status_connection::status_connection(status_connection&& other) noexcept
    : descriptor_{std::exchange(other.descriptor_, -1)}, deadline_{other.deadline_},
      request_{std::move(other.request_)}, response_{std::move(other.response_)}, written_{other.written_}
{
}

status_connection& status_connection::operator=(status_connection&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    std::swap(deadline_, other.deadline_);
    std::swap(request_, other.request_);
    std::swap(response_, other.response_);
    std::swap(written_, other.written_);
    return *this;
}

status_connection::~status_connection()
{
    if (descriptor_ >= 0)
    {
        close(descriptor_);
    }
}

short status_connection::awaited_events() const noexcept
{
    return is_responding() ? POLLOUT : POLLIN;
}

bool status_connection::advance(const status_server::request_handler& answer)
{
    return (is_responding() || read(answer)) && (!is_responding() || write());
}

bool status_connection::read(const status_server::request_handler& answer)
{
    std::array<char, read_bytes> block;
    const auto got = recv(descriptor_, block.data(), block.size(), 0);
    if (got <= 0)
    {
        return got < 0 && (errno == EAGAIN || errno == EINTR);
    }
    const auto known = request_.size() - std::min(request_.size(), max_end_bytes);
    request_.append(block.data(), static_cast<std::size_t>(got));
    if (const auto size = size_of_head(request_, known); size)
    {
        response_ = respond(request_.substr(0, *size), answer);
    }
    else if (request_.size() >= max_head_bytes)
    {
        response_ = refuse(HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE);
    }
    return true;
}

bool status_connection::write()
{
    const auto sent = send(descriptor_, response_.data() + written_, response_.size() - written_, MSG_NOSIGNAL);
    if (sent < 0)
    {
        return errno == EAGAIN || errno == EINTR;
    }
    written_ += static_cast<std::size_t>(sent);
    return written_ < response_.size();
}

} // namespace galenabay::net
