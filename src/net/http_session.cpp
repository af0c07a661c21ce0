#include <galenabay/net/http_session.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Timespan.h>

#include <galenabay/base/steady_clock.hpp>

#include <algorithm>
#include <istream>
#include <ostream>
#include <string_view>
#include <utility>

namespace galenabay::net
{

namespace
{

using base::error_code;
using Poco::Net::HTTPResponse;

/// Time for the transfer of a request and its response, beside the wait for it, and its extension for each byte of the
/// response: a server on a narrow link may send 32 KB/s or more for as long as it takes.
constexpr base::duration transfer_time = std::chrono::milliseconds{1'000};
constexpr base::duration transfer_time_per_byte = std::chrono::microseconds{31};

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
            return base::error::make(error_code::out_of_range, request.step, peer,
                                     "the response body exceeds the size limit of the request");
        }
    }
    // The stream keeps the exception of a read that failed, such as one for the time limit.
    if (stream.bad())
    {
        return base::error::make(error_code::timeout, request.step, peer, "the response body stopped before its end");
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
    case HTTPResponse::HTTP_CONFLICT:
    case HTTPResponse::HTTP_PRECONDITION_FAILED:
        return make(error_code::conflict);
    case HTTPResponse::HTTP_GONE:
        return make(error_code::stale);
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
    if (!request.expected_version)
    {
        return;
    }
    if (*request.expected_version == 0)
    {
        message.set("If-None-Match", "*");
        return;
    }
    message.set("If-Match", "\"" + std::to_string(*request.expected_version) + "\"");
}

Poco::Timespan timespan_of(base::duration time)
{
    return Poco::Timespan{std::chrono::duration_cast<std::chrono::microseconds>(time).count()};
}

/// Socket of a session. The time limits of a socket hold for each read and write; this one bounds all together.
class bounded_socket : public Poco::Net::StreamSocketImpl
{
public:
    /// Begins a call: no single read or write may wait for longer than `each`, and none past `deadline`.
    void begin(base::time_point deadline, base::duration each)
    {
        deadline_ = deadline;
        receive_limit_ = each;
        send_limit_ = each;
        last_received_.clear();
    }

    /// Returns true when the bytes received since `begin` end with a blank line, as a whole body in chunks does.
    bool ended_with_blank_line() const { return last_received_ == blank_line; }

    using StreamSocketImpl::receiveBytes;
    using StreamSocketImpl::sendBytes;
    // NOLINTNEXTLINE(readability-identifier-naming): overrides a library function
    int sendBytes(const void* buffer, int length, int flags) override
    {
        if (const auto left = time_left(); left < send_limit_)
        {
            send_limit_ = left;
            setSendTimeout(timespan_of(left));
        }
        return StreamSocketImpl::sendBytes(buffer, length, flags);
    }
    // NOLINTNEXTLINE(readability-identifier-naming): overrides a library function
    int receiveBytes(void* buffer, int length, int flags) override
    {
        // A large response is read in many pieces; few of them need a shorter limit than the last one.
        if (const auto left = time_left(); left + limit_step < receive_limit_)
        {
            receive_limit_ = left;
            setReceiveTimeout(timespan_of(left));
        }
        const int received = StreamSocketImpl::receiveBytes(buffer, length, flags);
        deadline_ += std::max(received, 0) * transfer_time_per_byte;
        last_received_.append(static_cast<const char*>(buffer), static_cast<std::size_t>(std::max(received, 0)));
        last_received_.erase(0, last_received_.size() - std::min(last_received_.size(), blank_line.size()));
        return received;
    }

private:
    static constexpr base::duration limit_step = std::chrono::milliseconds{50};

    base::duration time_left() const
    {
        const auto left = deadline_ - base::steady_now();
        if (left <= base::duration{0})
        {
            throw Poco::TimeoutException{"the call took too long"};
        }
        return left;
    }

    static constexpr std::string_view blank_line = "\r\n\r\n";

    std::string last_received_;
    base::time_point deadline_{};
    base::duration receive_limit_{};
    base::duration send_limit_{};
};

base::result<http_response> receive(Poco::Net::HTTPClientSession& session, const bounded_socket& socket,
                                    const http_request& request, const std::string& peer)
{
    HTTPResponse response;
    auto& stream = session.receiveResponse(response);
    BOOST_OUTCOME_TRY(body, read_bounded(stream, request, peer));
    if (response.hasContentLength() && response.getContentLength64() != static_cast<Poco::Int64>(body.size()))
    {
        return base::error::make(error_code::timeout, request.step, peer,
                                 "the response body is shorter or longer than its Content-Length");
    }
    // The library takes the end of the connection for the last chunk.
    if (response.getChunkedTransferEncoding() && !socket.ended_with_blank_line())
    {
        return base::error::make(error_code::timeout, request.step, peer, "the last chunk of the body is missing");
    }
    const auto header = request.response_header.empty() ? "" : response.get(request.response_header, "");
    switch (response.getStatus())
    {
    case HTTPResponse::HTTP_OK:
    case HTTPResponse::HTTP_CREATED:
        return http_response{true, std::move(body), header};
    case HTTPResponse::HTTP_NO_CONTENT:
        return http_response{false, {}, header};
    case HTTPResponse::HTTP_CONFLICT:
        if (request.returns_conflict)
        {
            return http_response{true, std::move(body), header, true};
        }
        [[fallthrough]];
    default:
        return error_of(response.getStatus(), request, peer);
    }
}

/// A socket with a given implementation, which the library's class does not offer to callers.
class bounded_stream : public Poco::Net::StreamSocket
{
public:
    explicit bounded_stream(bounded_socket* implementation) : StreamSocket{implementation} {}
};

} // namespace

/// The HTTP session of an `http_session`; connects for each call.
class http_session::connection
{
public:
    connection(const base::endpoint& server, std::chrono::milliseconds connect_timeout)
        : peer_{server.to_string()},
          connect_timeout_{connect_timeout}, socket_{new bounded_socket}, session_{bounded_stream{socket_}}
    {
        session_.setHost(server.address_string());
        session_.setPort(server.port());
        session_.setKeepAlive(false);
    }

    base::result<http_response> call(const http_request& request)
    {
        auto outcome = exchange(request);
        session_.reset();
        return outcome;
    }

private:
    base::result<http_response> exchange(const http_request& request)
    {
        const auto fail = [&](error_code code, const Poco::Exception& failure)
        { return base::error::make(code, request.step, peer_, failure.displayText()); };
        try
        {
            send(request);
        }
        catch (const Poco::Exception& failure)
        {
            // Once connected, part of the request may have reached the server.
            return fail(session_.connected() ? error_code::timeout : error_code::unavailable, failure);
        }
        try
        {
            return receive(session_, *socket_, request, peer_);
        }
        catch (const Poco::Exception& failure)
        {
            return fail(error_code::timeout, failure);
        }
    }

    void send(const http_request& request)
    {
        socket_->begin(base::steady_now() + connect_timeout_ + request.timeout + transfer_time, request.timeout);
        session_.setTimeout(timespan_of(connect_timeout_), timespan_of(request.timeout), timespan_of(request.timeout));
        Poco::Net::HTTPRequest message{request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1};
        message.setKeepAlive(false);
        add_condition(request, message);
        if (!request.body.empty())
        {
            message.setContentType("application/json");
            message.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        }
        session_.sendRequest(message) << request.body << std::flush;
    }

    std::string peer_;
    std::chrono::milliseconds connect_timeout_;
    /// Owned by the session.
    bounded_socket* socket_;
    Poco::Net::HTTPClientSession session_;
};

http_session http_session::make(const base::endpoint& server, std::chrono::milliseconds connect_timeout)
{
    return http_session{std::make_unique<connection>(server, connect_timeout)};
}

http_session::http_session(std::unique_ptr<connection> opened) : connection_{std::move(opened)} {}
http_session::http_session(http_session&&) noexcept = default;
http_session& http_session::operator=(http_session&&) noexcept = default;
http_session::~http_session() = default;

base::result<http_response> http_session::call(const http_request& request)
{
    return connection_->call(request);
}

} // namespace galenabay::net
