#include "server.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <algorithm>
#include <optional>
#include <sstream>
#include <thread>

namespace galenabay::stub
{

namespace
{

using Poco::Net::HTTPResponse;

constexpr std::size_t max_value = 1U << 20U;
constexpr std::size_t max_body = 4U << 20U;
constexpr std::uint64_t max_watch_ms = 60'000;
constexpr int max_threads = 512;
const std::string objects_path = "/v1/objects";
const std::string watch_path = "/v1/watch/";

std::string query_value(const Poco::URI& uri, const std::string& name)
{
    for (const auto& [key, value] : uri.getQueryParameters())
    {
        if (key == name)
        {
            return value;
        }
    }
    return {};
}

std::uint64_t query_number(const Poco::URI& uri, const std::string& name)
{
    Poco::UInt64 value = 0;
    return Poco::NumberParser::tryParseUnsigned64(query_value(uri, name), value) ? value : 0;
}

std::string to_text(const Poco::JSON::Object& object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

Poco::JSON::Object to_json(const stored_object& object, bool with_value)
{
    Poco::JSON::Object json;
    json.set("key", object.key);
    json.set("version", object.version);
    if (with_value)
    {
        json.set("value", object.value);
    }
    return json;
}

std::string read_body(std::istream& stream)
{
    std::string body;
    std::string block(64U << 10U, '\0');
    while (body.size() <= max_body &&
           (stream.read(block.data(), static_cast<std::streamsize>(block.size())) || stream.gcount() > 0))
    {
        body.append(block, 0, static_cast<std::size_t>(stream.gcount()));
    }
    return body;
}

/// Returns the version that If-Match or If-None-Match requires; nullopt if neither is given.
std::optional<std::uint64_t> expected_version(const Poco::Net::HTTPServerRequest& request)
{
    if (request.get("If-None-Match", "") == "*")
    {
        return 0;
    }
    auto text = request.get("If-Match", "");
    std::erase(text, '"');
    Poco::UInt64 version = 0;
    return Poco::NumberParser::tryParseUnsigned64(text, version) ? std::optional<std::uint64_t>{version} : std::nullopt;
}

/// Handles one HTTP request to the object API.
class api_handler final : public Poco::Net::HTTPRequestHandler
{
public:
    api_handler(object_store& objects, fault_state& state, host_prober& hosts)
        : objects_{objects}, state_{state}, hosts_{hosts}
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        const Poco::URI uri{request.getURI()};
        const auto& path = uri.getPath();
        const auto& method = request.getMethod();
        if (path == "/v1/faults" && method == "POST")
        {
            return set_faults(request, response);
        }
        if (path == "/v1/stats")
        {
            return answer(response, HTTPResponse::HTTP_OK, state_.stats_json());
        }
        if (!admit(kind_of(method, path), response))
        {
            return;
        }
        if (path.starts_with(watch_path))
        {
            return watch(uri, response);
        }
        if (path == "/v1/hosts")
        {
            return list_hosts(response);
        }
        if (path == objects_path)
        {
            return list(uri, response);
        }
        if (path.starts_with(objects_path + "/"))
        {
            return handle_object(path.substr(objects_path.size() + 1), request, response);
        }
        answer(response, HTTPResponse::HTTP_NOT_FOUND, "{}");
    }

private:
    static call_kind kind_of(const std::string& method, const std::string& path)
    {
        if (method == "PUT" || method == "DELETE")
        {
            return call_kind::write;
        }
        if (path.starts_with(watch_path))
        {
            return call_kind::watch;
        }
        return path == objects_path || path == "/v1/hosts" ? call_kind::list : call_kind::read;
    }

    void answer(Poco::Net::HTTPServerResponse& response, HTTPResponse::HTTPStatus status, const std::string& body)
    {
        state_.add_bytes(body.size());
        response.setStatusAndReason(status);
        response.setContentType("application/json");
        response.sendBuffer(body.data(), body.size());
    }

    bool admit(call_kind kind, Poco::Net::HTTPServerResponse& response)
    {
        std::this_thread::sleep_for(state_.delay());
        switch (state_.admit(kind))
        {
        case admission::proceed:
            return true;
        case admission::rejected:
            answer(response, HTTPResponse::HTTP_TOO_MANY_REQUESTS, "{}");
            return false;
        case admission::unavailable:
            answer(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "{}");
            return false;
        }
        return false;
    }

    void set_faults(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        try
        {
            const auto restore = state_.apply(read_body(request.stream()));
            const bool done = !restore || objects_.restore(*restore);
            answer(response, done ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_BAD_REQUEST, "{}");
        }
        catch (const Poco::Exception&)
        {
            answer(response, HTTPResponse::HTTP_BAD_REQUEST, "{}");
        }
    }

    void watch(const Poco::URI& uri, Poco::Net::HTTPServerResponse& response)
    {
        const auto key = uri.getPath().substr(watch_path.size());
        const auto after = query_number(uri, "after");
        if (state_.take_stale_read())
        {
            return answer_object(objects_.get_previous(key), response);
        }
        const std::chrono::milliseconds wait{std::min(query_number(uri, "wait_ms"), max_watch_ms)};
        if (const auto object = objects_.watch(key, after, wait))
        {
            return answer_object(object, response);
        }
        answer(response, HTTPResponse::HTTP_NO_CONTENT, "");
    }

    void list_hosts(Poco::Net::HTTPServerResponse& response)
    {
        Poco::JSON::Array rows;
        for (const auto& host : hosts_.published())
        {
            Poco::JSON::Object row;
            row.set("name", host.name);
            row.set("data_centre", host.data_centre);
            row.set("control", host.control);
            row.set("relay", host.relay);
            row.set("leaving", host.leaving);
            rows.add(row);
        }
        Poco::JSON::Object json;
        json.set("hosts", rows);
        answer(response, HTTPResponse::HTTP_OK, to_text(json));
    }

    void list(const Poco::URI& uri, Poco::Net::HTTPServerResponse& response)
    {
        const bool with_value = query_value(uri, "keys_only") != "1";
        Poco::JSON::Array rows;
        for (const auto& object : objects_.list(query_value(uri, "prefix")))
        {
            rows.add(to_json(object, with_value));
        }
        Poco::JSON::Object json;
        json.set("objects", rows);
        answer(response, HTTPResponse::HTTP_OK, to_text(json));
    }

    void answer_object(const std::optional<stored_object>& object, Poco::Net::HTTPServerResponse& response)
    {
        if (!object)
        {
            return answer(response, HTTPResponse::HTTP_NOT_FOUND, "{}");
        }
        answer(response, HTTPResponse::HTTP_OK, to_text(to_json(*object, true)));
    }

    void handle_object(const std::string& key, Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response)
    {
        if (request.getMethod() == "PUT")
        {
            return put(key, request, response);
        }
        if (request.getMethod() == "DELETE")
        {
            return answer_write(objects_.remove(key, expected_version(request)), request, response);
        }
        answer_object(state_.take_stale_read() ? objects_.get_previous(key) : objects_.get(key), response);
    }

    void put(const std::string& key, Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        std::string value;
        try
        {
            Poco::JSON::Parser parser;
            value = parser.parse(read_body(request.stream()))
                        .extract<Poco::JSON::Object::Ptr>()
                        ->getValue<std::string>("value");
        }
        catch (const Poco::Exception&)
        {
            return answer(response, HTTPResponse::HTTP_BAD_REQUEST, "{}");
        }
        if (value.size() > max_value)
        {
            return answer(response, HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, "{}");
        }
        answer_write(objects_.put(key, std::move(value), expected_version(request)), request, response);
    }

    void answer_write(const write_outcome& outcome, Poco::Net::HTTPServerRequest& request,
                      Poco::Net::HTTPServerResponse& response)
    {
        if (outcome.status == write_status::done && state_.take_lost_answer())
        {
            // The answer is lost: the client sees the connection close.
            static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
            return;
        }
        Poco::JSON::Object json;
        json.set("version", outcome.version);
        const auto status = outcome.status == write_status::done        ? HTTPResponse::HTTP_OK
                            : outcome.status == write_status::not_found ? HTTPResponse::HTTP_NOT_FOUND
                                                                        : HTTPResponse::HTTP_PRECONDITION_FAILED;
        answer(response, status, to_text(json));
    }

    object_store& objects_;
    fault_state& state_;
    host_prober& hosts_;
};

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    handler_factory(object_store& objects, fault_state& state, host_prober& hosts)
        : objects_{objects}, state_{state}, hosts_{hosts}
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new api_handler{objects_, state_, hosts_};
    }

private:
    object_store& objects_;
    fault_state& state_;
    host_prober& hosts_;
};

/// Keep-alive is off, because an idle connection would occupy a thread.
Poco::Net::HTTPServerParams::Ptr make_params()
{
    Poco::Net::HTTPServerParams::Ptr params{new Poco::Net::HTTPServerParams};
    params->setKeepAlive(false);
    params->setMaxThreads(max_threads);
    params->setMaxQueued(max_threads);
    return params;
}

} // namespace

server::server(const server_settings& settings)
    : state_{settings.writes_per_second, settings.reads_per_second}, hosts_{settings.hosts_file, settings.list_lag}
{
    Poco::ThreadPool::defaultPool().addCapacity(max_threads);
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress{settings.listen}, true);
    socket.listen();
    http_ = std::make_unique<Poco::Net::HTTPServer>(
        Poco::Net::HTTPRequestHandlerFactory::Ptr{new handler_factory{objects_, state_, hosts_}}, socket,
        make_params());
    http_->start();
}

server::~server()
{
    objects_.stop();
    http_->stopAll(true);
    // Handlers use the members. Those that sleep for an injected delay end after it.
    while (http_->currentThreads() > 0)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
}

std::uint16_t server::port() const
{
    return http_->port();
}

} // namespace galenabay::stub
