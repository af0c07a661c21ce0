#include "metrics_duty.hpp"

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
#include <prometheus/text_serializer.h>

#include <string>
#include <utility>

namespace galenabay::daemon
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

/// A fixed text answer.
class text_handler : public HTTPRequestHandler
{
public:
    text_handler(HTTPResponse::HTTPStatus status, std::string body) : status_{status}, body_{std::move(body)} {}

    // NOLINTNEXTLINE(readability-identifier-naming): overrides a library function
    void handleRequest(HTTPServerRequest&, HTTPServerResponse& response) override
    {
        response.setStatusAndReason(status_);
        response.setContentType(text_type);
        response.sendBuffer(body_.data(), body_.size());
    }

private:
    HTTPResponse::HTTPStatus status_;
    std::string body_;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    handler_factory(std::shared_ptr<metric_board> metrics, const thread_state& state)
        : metrics_{std::move(metrics)}, state_{state}
    {
    }

    // NOLINTNEXTLINE(readability-identifier-naming): overrides a library function
    HTTPRequestHandler* createRequestHandler(const HTTPServerRequest& request) override
    {
        const std::string& path = request.getURI();
        if (path == "/metrics")
        {
            return new text_handler{HTTPResponse::HTTP_OK, prometheus::TextSerializer{}.Serialize(metrics_->Collect())};
        }
        if (path == "/healthz")
        {
            return new text_handler{HTTPResponse::HTTP_OK, state_.leaving.load() ? "leaving" : "ok"};
        }
        if (path == "/readyz")
        {
            const bool ready = metrics_->get(metric::ready) != 0 && !state_.leaving.load();
            return new text_handler{ready ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                                    ready ? "ready" : "not ready"};
        }
        return new text_handler{HTTPResponse::HTTP_NOT_FOUND, "not found"};
    }

private:
    std::shared_ptr<metric_board> metrics_;
    const thread_state& state_;
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

class metrics_duty::server
{
public:
    server(const base::endpoint& local, std::shared_ptr<metric_board> metrics, const thread_state& state)
        : threads_{1, max_threads}, http_{new handler_factory{std::move(metrics), state}, threads_,
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

base::result<metrics_duty> metrics_duty::start(const base::endpoint& local, std::shared_ptr<metric_board> metrics,
                                               const thread_state& state)
{
    try
    {
        return metrics_duty{std::make_unique<server>(local, std::move(metrics), state)};
    }
    catch (const Poco::Exception& failure)
    {
        return base::error::make(base::error_code::io_failure, "start_metrics", local.to_string(),
                                 failure.displayText());
    }
}

metrics_duty::metrics_duty(std::unique_ptr<server> running) : server_{std::move(running)} {}
metrics_duty::metrics_duty(metrics_duty&&) noexcept = default;
metrics_duty& metrics_duty::operator=(metrics_duty&&) noexcept = default;
metrics_duty::~metrics_duty() = default;

} // namespace galenabay::daemon
