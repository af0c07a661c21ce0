#include <galenabay/net/status_server.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>

#include <utility>

namespace galenabay::net
{

namespace
{

using Poco::Net::HTTPRequestHandler;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int max_threads = 2;
constexpr int max_queued = 16;
constexpr const char* text_type = "text/plain; charset=utf-8";

class text_handler : public HTTPRequestHandler
{
public:
    explicit text_handler(status_response answer) : answer_{std::move(answer)} {}

    // NOLINTNEXTLINE(readability-identifier-naming): overrides a library function
    void handleRequest(HTTPServerRequest&, HTTPServerResponse& response) override
    {
        response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(answer_.status));
        response.setContentType(text_type);
        response.sendBuffer(answer_.body.data(), answer_.body.size());
    }

private:
    status_response answer_;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit handler_factory(status_server::request_handler answer) : answer_{std::move(answer)} {}

    // NOLINTNEXTLINE(readability-identifier-naming): overrides a library function
    HTTPRequestHandler* createRequestHandler(const HTTPServerRequest& request) override
    {
        return new text_handler{answer_(request.getURI())};
    }

private:
    status_server::request_handler answer_;
};

Poco::Net::HTTPServerParams::Ptr make_params()
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(max_threads);
    params->setMaxQueued(max_queued);
    params->setKeepAlive(false);
    return params;
}

} // namespace

/// The listening HTTP server and its threads. The destructor stops them.
class status_server::server
{
public:
    server(const base::endpoint& local, request_handler answer)
        : threads_{1, max_threads}, http_{new handler_factory{std::move(answer)}, threads_,
                                          Poco::Net::ServerSocket{Poco::Net::SocketAddress{local.to_string()}},
                                          make_params()}
    {
        http_.start();
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server() { http_.stopAll(true); }

private:
    Poco::ThreadPool threads_;
    Poco::Net::HTTPServer http_;
};

base::result<status_server> status_server::start(const base::endpoint& local, const std::string& step,
                                                 request_handler answer)
{
    try
    {
        return status_server{std::make_unique<server>(local, std::move(answer))};
    }
    catch (const Poco::Exception& failure)
    {
        return base::error::make(base::error_code::io_failure, step, local.to_string(), failure.displayText());
    }
}

status_server::status_server(std::unique_ptr<server> running) : server_{std::move(running)} {}
status_server::status_server(status_server&&) noexcept = default;
status_server& status_server::operator=(status_server&&) noexcept = default;
status_server::~status_server() = default;

} // namespace galenabay::net
