#include "store_stub.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <chrono>

namespace galenabay::edge_soak
{

namespace
{

using namespace std::chrono_literals;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int max_threads = 200;
constexpr std::size_t page_size = 50;

std::string object_text(const std::string& name, const std::string& spec, std::uint64_t revision)
{
    return R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(revision) + R"(},"spec":)" +
           (spec.empty() ? "null" : spec) + "}";
}

class handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit handler(store_stub& store) : store_{store} {}

    // NOLINTNEXTLINE(readability-identifier-naming): overrides a library function
    void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override
    {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        const auto answer =
            store_.handle(request.getMethod(), request.getURI(), body, request.serverAddress().toString());
        if (answer.lost)
        {
            auto& connection = static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
            if (answer.reset)
            {
                connection.setLinger(true, 0);
                connection.close();
                return;
            }
            connection.shutdown();
            return;
        }
        response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
        response.setContentType("application/json");
        response.set("Store-Era", std::to_string(answer.epoch));
        response.setKeepAlive(true);
        response.sendBuffer(answer.body.data(), answer.body.size());
    }

private:
    store_stub& store_;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit handler_factory(store_stub& store) : store_{store} {}
    // NOLINTNEXTLINE(readability-identifier-naming): overrides a library function
    Poco::Net::HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override
    {
        return new handler{store_};
    }

private:
    store_stub& store_;
};

} // namespace

class store_stub::server
{
public:
    server(const base::endpoint& local, store_stub& store)
        : threads_{4, max_threads}, http_{new handler_factory{store}, threads_,
                                          Poco::Net::ServerSocket{Poco::Net::SocketAddress{local.to_string()}},
                                          params()}
    {
        http_.start();
    }
    ~server() { http_.stopAll(true); }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

private:
    static Poco::Net::HTTPServerParams::Ptr params()
    {
        Poco::Net::HTTPServerParams::Ptr made = new Poco::Net::HTTPServerParams;
        made->setMaxThreads(max_threads);
        made->setMaxQueued(max_threads);
        made->setKeepAlive(true);
        made->setMaxKeepAliveRequests(0);
        // A thread that begins to wait for connections as the server stops does so for this long.
        made->setThreadIdleTime(Poco::Timespan{0, 100'000});
        return made;
    }

    Poco::ThreadPool threads_;
    Poco::Net::HTTPServer http_;
};

store_stub::store_stub(const base::endpoint& local)
{
    listen(local);
}

store_stub::~store_stub()
{
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    changed_.notify_all();
    servers_.clear();
}

void store_stub::listen(const base::endpoint& local)
{
    servers_.push_back(std::make_unique<server>(local, *this));
}

void store_stub::put(const std::string& kind, const std::string& name, const std::string& spec)
{
    const std::lock_guard lock{mutex_};
    put_locked(kind, name, spec);
}

void store_stub::put_locked(const std::string& kind, const std::string& name, const std::string& spec)
{
    auto& stored = objects_[kind][name];
    if (stored.revision != 0 && stored.spec == spec)
    {
        return;
    }
    stored = {.spec = spec, .revision = ++revision_};
    events_.push_back({revision_, kind, R"({"deleted":false,"object":)" + object_text(name, spec, revision_) + "}"});
    changed_.notify_all();
}

void store_stub::remove(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock{mutex_};
    if (objects_[kind].erase(name) > 0)
    {
        ++revision_;
        events_.push_back({revision_, kind, R"({"deleted":true,"object":)" + object_text(name, "", revision_) + "}"});
        changed_.notify_all();
    }
}

std::vector<std::string> store_stub::names(const std::string& kind) const
{
    const std::lock_guard lock{mutex_};
    std::vector<std::string> found;
    if (const auto stored = objects_.find(kind); stored != objects_.end())
    {
        for (const auto& [name, stored_object] : stored->second)
        {
            found.push_back(name);
        }
    }
    return found;
}

void store_stub::set_stale_age(std::chrono::milliseconds age)
{
    const std::lock_guard lock{mutex_};
    stale_age_ = age;
}

void store_stub::cut_watches()
{
    const std::lock_guard lock{mutex_};
    ++watch_cuts_;
    changed_.notify_all();
}

void store_stub::compact()
{
    const std::lock_guard lock{mutex_};
    events_.clear();
    compacted_revision_ = revision_;
    changed_.notify_all();
}

void store_stub::save_copy()
{
    const std::lock_guard lock{mutex_};
    saved_copy_ = objects_;
    saved_revision_ = revision_;
}

void store_stub::restore()
{
    const std::lock_guard lock{mutex_};
    objects_ = saved_copy_;
    revision_ = saved_revision_;
    std::erase_if(events_, [&](const event& one) { return one.revision > revision_; });
    compacted_revision_ = std::min(compacted_revision_, revision_);
    ++epoch_;
    changed_.notify_all();
}

std::uint64_t store_stub::calls() const
{
    const std::lock_guard lock{mutex_};
    return calls_;
}

std::uint64_t store_stub::calls_of(const std::string& kind) const
{
    const std::lock_guard lock{mutex_};
    const auto found = calls_of_.find(kind);
    return found == calls_of_.end() ? 0 : found->second;
}

bool store_stub::serves(const std::string& address) const
{
    const std::lock_guard lock{mutex_};
    const auto fault = fault_at(address, {});
    return fault != store_fault::busy && fault != store_fault::silent && fault != store_fault::limited &&
           fault != store_fault::reset;
}

std::uint64_t store_stub::restores() const
{
    const std::lock_guard lock{mutex_};
    return epoch_ - 1;
}

store_stub::answer store_stub::handle(const std::string& method, const std::string& uri, const std::string& body,
                                      const std::string& address)
{
    auto made = dispatch(address, method, uri, body);
    const std::lock_guard lock{mutex_};
    made.epoch = epoch_;
    return made;
}

store_stub::answer store_stub::dispatch(const std::string& address, const std::string& method, const std::string& uri,
                                        const std::string& body)
{
    const Poco::URI parsed{uri};
    std::vector<std::string> path;
    parsed.getPathSegments(path);
    if (auto faulty = apply_fault(address, path.size() > 1 ? path[1] : ""))
    {
        return *faulty;
    }
    if (path.size() < 2 || path.front() != "objects")
    {
        return {.status = 404, .body = "{}"};
    }
    std::map<std::string, std::string> query;
    for (const auto& [key, value] : parsed.getQueryParameters())
    {
        query[key] = value;
    }
    if (method != "GET")
    {
        const auto done = [&] { return write(method, path[1], path.size() > 2 ? path[2] : "", body); };
        std::unique_lock lock{mutex_};
        const auto fault = fault_at(address, path[1]);
        lock.unlock();
        return fault == store_fault::lost_writes || fault == store_fault::late_writes ? lose_write(fault, done)
                                                                                      : done();
    }
    if (path.size() > 2)
    {
        return read(path[1], path[2]);
    }
    return query.contains("watch") ? watch(address, path[1], std::stoull(query["watch"]), std::stoull(query["wait-ms"]))
                                   : list(path[1], query["after"], query.contains("allow-stale"));
}

store_stub::answer store_stub::read(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock{mutex_};
    const auto& stored = objects_[kind];
    const auto found = stored.find(name);
    return found == stored.end()
               ? answer{.status = 404, .body = "{}"}
               : answer{.status = 200, .body = object_text(name, found->second.spec, found->second.revision)};
}

store_stub::answer store_stub::list(const std::string& kind, const std::string& after, bool may_be_stale)
{
    const std::lock_guard lock{mutex_};
    if (const auto now = std::chrono::steady_clock::now(); now - stale_copy_time_ >= stale_age_)
    {
        stale_copy_ = objects_;
        stale_copy_time_ = now;
    }
    // `current-rev` is the latest revision even if the items are stale, so a reader must
    // not rely on it.
    const auto& stored = may_be_stale ? stale_copy_[kind] : objects_[kind];
    std::string items;
    std::size_t count = 0;
    auto next = stored.upper_bound(after);
    for (; next != stored.end() && count < page_size; ++next, ++count)
    {
        items += (count == 0 ? "" : ",") + object_text(next->first, next->second.spec, next->second.revision);
    }
    return {.status = 200,
            .body = R"({"items":[)" + items + R"(],"more":)" + (next == stored.end() ? "false" : "true") +
                    R"(,"current-rev":)" + std::to_string(revision_) + "}"};
}

store_stub::answer store_stub::watch(const std::string& address, const std::string& kind, std::uint64_t revision,
                                     std::uint64_t wait_ms)
{
    std::unique_lock lock{mutex_};
    const auto is_new = [&](const event& one) { return one.revision > revision && one.kind == kind; };
    const auto is_gone = [&] { return revision < compacted_revision_ || revision > revision_; };
    const auto initial_fault = fault_at(address, kind);
    const auto initial_epoch = epoch_;
    const auto initial_cuts = watch_cuts_;
    changed_.wait_for(lock, std::chrono::milliseconds{wait_ms},
                      [&]
                      {
                          return stopping_ || is_gone() || fault_at(address, kind) != initial_fault ||
                                 epoch_ != initial_epoch || watch_cuts_ != initial_cuts ||
                                 std::any_of(events_.begin(), events_.end(), is_new);
                      });
    const auto fault = fault_at(address, kind);
    if (fault == store_fault::silent)
    {
        return stay_silent(lock, address, kind);
    }
    if (stopping_ || epoch_ != initial_epoch || watch_cuts_ != initial_cuts ||
        (fault != initial_fault && fault != store_fault::slow))
    {
        return {.status = 0, .body = {}, .epoch = 0, .lost = true};
    }
    if (is_gone())
    {
        return {.status = 410, .body = "{}"};
    }
    std::string found;
    for (const auto& one : events_)
    {
        found += is_new(one) ? (found.empty() ? "" : ",") + one.text : "";
    }
    return {.status = 200, .body = R"({"events":[)" + found + R"(],"current-rev":)" + std::to_string(revision_) + "}"};
}

store_stub::answer store_stub::write(const std::string& method, const std::string& kind, const std::string& name,
                                     const std::string& body)
{
    if (method == "DELETE")
    {
        remove(kind, name);
        return {.status = 200, .body = "{}"};
    }
    rapidjson::Document document;
    document.Parse(body.c_str());
    rapidjson::StringBuffer spec;
    rapidjson::Writer<rapidjson::StringBuffer> writer{spec};
    document["spec"].Accept(writer);
    const std::string written = document["meta"]["name"].GetString();
    const std::lock_guard lock{mutex_};
    if (method == "POST" && objects_[kind].contains(written))
    {
        const auto& existing = objects_[kind][written];
        return {.status = 409, .body = object_text(written, existing.spec, existing.revision)};
    }
    put_locked(kind, written, spec.GetString());
    return {.status = 200, .body = "{}"};
}

} // namespace galenabay::edge_soak
