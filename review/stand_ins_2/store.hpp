#pragma once

#include "record.hpp"

#include <poll.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review
{

/// Stand-in of the platform's store: lists, watches and writes over HTTP/1.1. Each host reaches it at an address of its
/// own, so that the store can turn away some hosts while it serves the others. Thread-safe.
class store
{
public:
    explicit store(record& out) : out_{out} {}
    store(const store&) = delete;
    store& operator=(const store&) = delete;
    ~store()
    {
        {
            const std::lock_guard lock{mutex_};
            stopping_ = true;
        }
        changed_.notify_all();
        for (auto& thread : threads_)
        {
            thread.join();
        }
        while (calls_ > 0)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{5});
        }
    }

    /// Serves at one more address.
    void listen(const endpoint& local)
    {
        auto listener = std::make_shared<descriptor>(open_listener(local));
        threads_.emplace_back([this, local, listener] { accept_calls(local, *listener); });
    }

    /// Writes an object; `spec` is JSON text. Returns the time at which it was accepted.
    double put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::lock_guard lock{mutex_};
        return put_locked(kind, name, spec);
    }
    void remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock{mutex_};
        if (objects_[kind].erase(name) > 0)
        {
            ++revision_;
            events_.push_back({revision_, kind, R"({"deleted":true,"object":)" + object(name, "{}", revision_) + "}"});
            changed_.notify_all();
        }
    }

    /// From now on, calls at these addresses get no answer, waiting watches included.
    void silence(std::set<endpoint> at)
    {
        const std::lock_guard lock{mutex_};
        silent_ = std::move(at);
        changed_.notify_all();
    }
    /// From now on, calls for the configuration and the targets get 503 at the first addresses of each group from which
    /// such a call comes, up to `limit` of a group. Addresses without a group are served. An empty `groups` ends that.
    void turn_away_callers(std::map<endpoint, std::string> groups, std::size_t limit)
    {
        const std::lock_guard lock{mutex_};
        groups_ = std::move(groups);
        limit_ = limit;
        rejected_.clear();
        changed_.notify_all();
    }
    /// The addresses at which calls are turned away.
    std::set<endpoint> turned_away() const
    {
        const std::lock_guard lock{mutex_};
        return rejected_;
    }
    /// The addresses at which a watch of the kind is waiting, each with the time at which the watch began.
    std::map<endpoint, double> watching(const std::string& kind) const
    {
        const std::lock_guard lock{mutex_};
        const auto known = watching_.find(kind);
        return known == watching_.end() ? std::map<endpoint, double>{} : known->second;
    }

private:
    struct stored
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
    struct answer
    {
        int status = 200;
        std::string body;
    };
    using query = std::map<std::string, std::string>;

    static std::string object(const std::string& name, const std::string& spec, std::uint64_t revision)
    {
        return R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(revision) +
               R"(,"created-at":1,"finalizers":[],"deleting":false},"spec":)" + spec + R"(,"status":null})";
    }

    double put_locked(const std::string& kind, const std::string& name, const std::string& spec)
    {
        auto& known = objects_[kind][name];
        if (known.spec != spec)
        {
            known = {spec, ++revision_};
            events_.push_back({revision_, kind, R"({"deleted":false,"object":)" + object(name, spec, revision_) + "}"});
            changed_.notify_all();
        }
        return now_ms();
    }

    void accept_calls(const endpoint& local, const descriptor& listener)
    {
        while (!is_stopping())
        {
            pollfd entry{listener.get(), POLLIN, 0};
            if (::poll(&entry, 1, 50) <= 0)
            {
                continue;
            }
            const int accepted = ::accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0)
            {
                ++calls_;
                std::thread{[this, local, accepted]
                            {
                                const descriptor connection{accepted};
                                serve(local, connection);
                                --calls_;
                            }}
                    .detach();
            }
        }
    }

    bool is_stopping() const
    {
        const std::lock_guard lock{mutex_};
        return stopping_;
    }
    bool is_silent(const endpoint& local) const
    {
        const std::lock_guard lock{mutex_};
        return silent_.contains(local);
    }

    /// Returns true when a call for objects of the kind is answered with 503.
    bool rejects(const endpoint& local, const std::string& kind)
    {
        if (!groups_.contains(local) || (kind != "config" && kind != "servers"))
        {
            return false;
        }
        const auto& group = groups_[local];
        const auto members = std::count_if(rejected_.begin(), rejected_.end(),
                                           [&](const endpoint& one) { return groups_[one] == group; });
        if (static_cast<std::size_t>(members) < limit_)
        {
            rejected_.insert(local);
        }
        return rejected_.contains(local);
    }

    /// Waits until the peer closes the connection, or the case ends.
    void hold(const descriptor& connection) const
    {
        while (!is_stopping())
        {
            pollfd entry{connection.get(), POLLIN, 0};
            char unused[256];
            if (::poll(&entry, 1, 50) > 0 && ::recv(connection.get(), unused, sizeof unused, 0) <= 0)
            {
                return;
            }
        }
    }

    void serve(const endpoint& local, const descriptor& connection)
    {
        std::string text;
        std::size_t body_at = std::string::npos;
        std::size_t length = 0;
        while (body_at == std::string::npos || text.size() < body_at + length)
        {
            char block[4'096];
            pollfd entry{connection.get(), POLLIN, 0};
            if (is_stopping())
            {
                return;
            }
            if (::poll(&entry, 1, 50) <= 0)
            {
                continue;
            }
            const auto got = ::recv(connection.get(), block, sizeof block, 0);
            if (got <= 0)
            {
                return;
            }
            text.append(block, static_cast<std::size_t>(got));
            if (const auto end = text.find("\r\n\r\n"); body_at == std::string::npos && end != std::string::npos)
            {
                body_at = end + 4;
                const auto at = text.find("Content-Length: ");
                length = at < end ? std::stoul(text.substr(at + 16)) : 0;
            }
        }
        if (is_silent(local))
        {
            hold(connection);
            return;
        }
        const auto made = handle(local, text.substr(0, text.find("\r\n")), text.substr(body_at));
        if (is_silent(local))
        {
            hold(connection);
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{4});
        const auto sent = "HTTP/1.1 " + std::to_string(made.status) +
                          " Answer\r\nContent-Type: application/json\r\nStore-Era: 0\r\nContent-Length: " +
                          std::to_string(made.body.size()) + "\r\nConnection: close\r\n\r\n" + made.body;
        ::send(connection.get(), sent.data(), sent.size(), MSG_NOSIGNAL);
    }

    answer handle(const endpoint& local, const std::string& line, const std::string& body)
    {
        const auto method = line.substr(0, line.find(' '));
        auto uri = line.substr(method.size() + 1);
        uri = uri.substr(0, uri.find(' '));
        query parameters;
        if (const auto mark = uri.find('?'); mark != std::string::npos)
        {
            std::string rest = uri.substr(mark + 1);
            uri.resize(mark);
            while (!rest.empty())
            {
                const auto part = rest.substr(0, rest.find('&'));
                rest = part.size() < rest.size() ? rest.substr(part.size() + 1) : "";
                parameters[part.substr(0, part.find('='))] = part.substr(part.find('=') + 1);
            }
        }
        const std::string prefix = "/objects/";
        if (uri.rfind(prefix, 0) != 0)
        {
            return {404, "{}"};
        }
        auto kind = uri.substr(prefix.size());
        std::string name;
        if (const auto slash = kind.find('/'); slash != std::string::npos)
        {
            name = kind.substr(slash + 1);
            kind.resize(slash);
        }
        {
            const std::lock_guard lock{mutex_};
            if (rejects(local, kind))
            {
                return {503, "{}"};
            }
        }
        if (method == "GET")
        {
            return parameters.contains("watch") ? watch(local, kind, parameters) : list(kind, parameters["after"]);
        }
        return write(method, kind, name, body);
    }

    answer list(const std::string& kind, const std::string& after)
    {
        const std::lock_guard lock{mutex_};
        std::string items;
        for (const auto& [name, known] : objects_[kind])
        {
            if (name > after)
            {
                items += (items.empty() ? "" : ",") + object(name, known.spec, known.revision);
            }
        }
        return {200, R"({"items":[)" + items + R"(],"more":false,"current-rev":)" + std::to_string(revision_) + "}"};
    }

    answer watch(const endpoint& local, const std::string& kind, query& parameters)
    {
        const auto after = std::stoull(parameters["watch"]);
        const std::chrono::milliseconds wait{std::stoull(parameters["wait-ms"])};
        std::unique_lock lock{mutex_};
        watching_[kind][local] = now_ms();
        const auto is_new = [&](const event& one) { return one.kind == kind && one.revision > after; };
        changed_.wait_for(lock, wait,
                          [&]
                          {
                              return stopping_ || silent_.contains(local) || rejects(local, kind) ||
                                     std::any_of(events_.begin(), events_.end(), is_new);
                          });
        watching_[kind].erase(local);
        if (rejects(local, kind))
        {
            return {503, "{}"};
        }
        std::string found;
        for (const auto& one : events_)
        {
            if (is_new(one))
            {
                found += (found.empty() ? "" : ",") + one.text;
            }
        }
        return {200, R"({"events":[)" + found + R"(],"current-rev":)" + std::to_string(revision_) + "}"};
    }

    answer write(const std::string& method, const std::string& kind, const std::string& named, const std::string& body)
    {
        if (method == "DELETE")
        {
            remove(kind, named);
            return {200, "{}"};
        }
        const auto name_key = body.find(R"("name":")") + 8;
        const auto name = body.substr(name_key, body.find('"', name_key) - name_key);
        const auto begin = body.find('{', body.find(R"("spec":)"));
        std::size_t end = begin;
        for (int depth = 0; end < body.size(); ++end)
        {
            depth += body[end] == '{' ? 1 : body[end] == '}' ? -1 : 0;
            if (depth == 0)
            {
                break;
            }
        }
        const std::lock_guard lock{mutex_};
        if (method == "POST" && objects_[kind].contains(name))
        {
            const auto& known = objects_[kind][name];
            return {409, object(name, known.spec, known.revision)};
        }
        put_locked(kind, name, body.substr(begin, end - begin + 1));
        const auto& known = objects_[kind][name];
        out_.line("store: " + method + " " + kind + "/" + name);
        return {200, object(name, known.spec, known.revision)};
    }

    record& out_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, stored>> objects_;
    std::vector<event> events_;
    std::uint64_t revision_ = 1;
    std::set<endpoint> silent_;
    std::map<endpoint, std::string> groups_;
    std::size_t limit_ = 0;
    std::set<endpoint> rejected_;
    std::map<std::string, std::map<endpoint, double>> watching_;
    bool stopping_ = false;
    std::atomic<int> calls_{0};
    std::vector<std::thread> threads_;
};

} // namespace review
