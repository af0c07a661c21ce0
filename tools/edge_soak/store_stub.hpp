#pragma once

#include <galenabay/base/endpoint.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace galenabay::edge_soak
{

/// Fault that the stub injects into calls.
enum class store_fault
{
    none,
    /// Every call is answered with 503.
    busy,
    /// Calls get no answer; their connection is closed when the fault ends, or after 3 s.
    silent,
    /// Every answer is delayed by half a second.
    slow,
    /// Every call is answered with 429.
    limited,
    /// The connection of every call is reset.
    reset,
    /// Writes are done, and their answers are lost.
    lost_writes,
    /// Writes are done a second later, and their answers are lost at once.
    late_writes,
};

/// In-memory stub of the metadata store: lists, watches, unconditional writes, and
/// injected faults. Thread-safe; serves HTTP on its own threads.
class store_stub
{
public:
    explicit store_stub(const base::endpoint& local);
    store_stub(const store_stub&) = delete;
    store_stub& operator=(const store_stub&) = delete;
    ~store_stub();

    /// Serves the same objects at one more address. Call it before any host uses the stub.
    void listen(const base::endpoint& local);
    /// Writes an object's `spec` (JSON text); unchanged text causes no event.
    void put(const std::string& kind, const std::string& name, const std::string& spec);
    void remove(const std::string& kind, const std::string& name);
    /// Returns the names of the objects of a kind.
    std::vector<std::string> names(const std::string& kind) const;
    void set_fault(store_fault fault);
    store_fault fault() const;
    /// Injects a fault into the calls to one of the addresses only.
    void set_fault_at(const std::string& address, store_fault fault);
    /// Injects a fault into the calls for one kind of objects only.
    void set_fault_of(const std::string& kind, store_fault fault);
    /// Answers to calls with `allow-stale` may be this old.
    void set_stale_age(std::chrono::milliseconds age);
    /// Ends all waiting watches without an answer.
    void cut_watches();
    /// Keeps a copy of the objects for `restore`.
    void save_copy();
    /// Returns to the last copy: later writes are gone, their revisions are given out again,
    /// and the epoch rises.
    void restore();
    /// Deletes the history: watches from older revisions are answered with 410.
    void compact();
    /// Returns the number of calls so far.
    std::uint64_t calls() const;
    /// Returns the number of calls for one kind of objects so far.
    std::uint64_t calls_of(const std::string& kind) const;
    /// Returns true when calls to an address are answered, be it late.
    bool serves(const std::string& address) const;
    /// Returns the number of restores so far.
    std::uint64_t restores() const;

    /// An HTTP answer.
    struct answer
    {
        int status = 200;
        std::string body;
        std::uint64_t epoch = 0;
        /// The connection is closed without an answer.
        bool lost = false;
        /// The connection is closed with a reset.
        bool reset = false;
    };
    /// Answers one HTTP call to `address`; blocks for as long as a watch or the fault requires.
    answer handle(const std::string& method, const std::string& uri, const std::string& body,
                  const std::string& address = {});

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

    /// Answers a call of the store's interface.
    answer dispatch(const std::string& address, const std::string& method, const std::string& uri,
                    const std::string& body);
    /// Returns the fault of calls to an address for a kind of objects.
    store_fault fault_at(const std::string& address, const std::string& kind) const;
    /// Blocks while the fault requires it; returns the answer if the fault determines it.
    std::optional<answer> apply_fault(const std::string& address, const std::string& kind);
    /// Blocks until the store is no longer silent to the address, for at most 3 s; then the connection is closed.
    answer stay_silent(std::unique_lock<std::mutex>& lock, const std::string& address, const std::string& kind);
    /// Carries out a write whose answer is lost.
    answer lose_write(store_fault fault, const std::function<answer()>& write);
    answer read(const std::string& kind, const std::string& name);
    answer list(const std::string& kind, const std::string& after, bool may_be_stale);
    answer watch(const std::string& address, const std::string& kind, std::uint64_t revision, std::uint64_t wait_ms);
    answer write(const std::string& method, const std::string& kind, const std::string& name, const std::string& body);
    void put_locked(const std::string& kind, const std::string& name, const std::string& spec);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, object>> objects_;
    /// Copy of the objects that answers calls with `allow-stale`.
    std::map<std::string, std::map<std::string, object>> stale_copy_;
    std::chrono::steady_clock::time_point stale_copy_time_{};
    /// Copy to which `restore` returns, and its revision.
    std::map<std::string, std::map<std::string, object>> saved_copy_;
    std::uint64_t saved_revision_ = 1;
    std::vector<event> events_;
    std::uint64_t revision_ = 1;
    std::uint64_t compacted_revision_ = 0;
    std::uint64_t epoch_ = 1;
    std::uint64_t calls_ = 0;
    std::uint64_t watch_cuts_ = 0;
    std::chrono::milliseconds stale_age_{2'000};
    store_fault fault_ = store_fault::none;
    std::map<std::string, store_fault> faults_at_;
    std::map<std::string, store_fault> faults_of_;
    std::map<std::string, std::uint64_t> calls_of_;
    bool stopping_ = false;
    std::vector<std::unique_ptr<server>> servers_;
};

} // namespace galenabay::edge_soak
