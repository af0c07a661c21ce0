#pragma once

#include <galenabay/base/endpoint.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace galenabay::edge_soak
{

/// How the stand-in misbehaves.
enum class store_fault
{
    none,
    /// 503 to every call.
    busy,
    /// Calls get no answer until the fault ends, then their connection closes.
    silent,
    /// Answers come half a second late.
    slow,
};

/// The users' metadata store in one process: lists, watches, conditional-free writes
/// and its faults. Thread-safe; serves HTTP on threads of its own.
class store_stub
{
public:
    explicit store_stub(const base::endpoint& local);
    store_stub(const store_stub&) = delete;
    store_stub& operator=(const store_stub&) = delete;
    ~store_stub();

    /// Writes an object's `spec` (JSON text); unchanged text makes no event.
    void put(const std::string& kind, const std::string& name, const std::string& spec);
    void remove(const std::string& kind, const std::string& name);
    void set_fault(store_fault fault);
    store_fault fault() const;
    /// Forgets the history: watches from older revisions get 410.
    void compact();
    std::uint64_t calls() const;

    struct answer
    {
        int status = 200;
        std::string body;
        /// The connection is closed without an answer.
        bool lost = false;
    };
    /// Answers one call; waits as the call or the fault says.
    answer handle(const std::string& method, const std::string& uri, const std::string& body);

private:
    struct object
    {
        std::string spec;
        std::uint64_t revision = 0;
    };
    struct event
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };
    class server;

    answer list(const std::string& kind, const std::string& after, bool may_be_stale);
    answer watch(const std::string& kind, std::uint64_t revision, std::uint64_t wait_ms);
    answer write(const std::string& method, const std::string& kind, const std::string& name, const std::string& body);
    void put_locked(const std::string& kind, const std::string& name, const std::string& spec);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, object>> objects_;
    /// What calls that may be stale get.
    std::map<std::string, std::map<std::string, object>> stale_copy_;
    std::chrono::steady_clock::time_point stale_copy_time_{};
    std::vector<event> events_;
    std::uint64_t revision_ = 1;
    std::uint64_t compacted_revision_ = 0;
    std::uint64_t calls_ = 0;
    store_fault fault_ = store_fault::none;
    bool stopping_ = false;
    std::unique_ptr<server> server_;
};

} // namespace galenabay::edge_soak
