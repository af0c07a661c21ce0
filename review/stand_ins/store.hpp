#pragma once

#include "sockets.hpp"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <thread>

namespace review
{

/// Stand-in of the platform's metadata store: lists, watches, and writes of the system's own
/// kinds. Keeps its history for 20 s. Answers after 4 ms.
class store
{
public:
    store(const endpoint& local, record& log) : log_{log}, listener_{open_listener(local)}
    {
        acceptor_ = std::thread{[this] { accept_connections(); }};
    }
    store(const store&) = delete;
    store& operator=(const store&) = delete;
    ~store()
    {
        stop_.store(true);
        changed_.notify_all();
        acceptor_.join();
        while (open_connections_.load() > 0)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{5});
        }
        ::close(listener_);
    }

    /// Writes an object's `spec` (JSON text). Returns the time of the acknowledgement.
    double put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        {
            const std::lock_guard lock{mutex_};
            auto& stored = objects_[kind][name];
            if (stored.revision == 0 || stored.spec != spec)
            {
                stored = {spec, ++revision_};
                add_event(kind, "{\"deleted\":false,\"object\":" + object_text(name, stored) + "}");
            }
        }
        changed_.notify_all();
        return now_ms();
    }

    void remove(const std::string& kind, const std::string& name)
    {
        {
            const std::lock_guard lock{mutex_};
            if (objects_[kind].erase(name) > 0)
            {
                ++revision_;
                add_event(kind, "{\"deleted\":true,\"object\":" + object_text(name, {"null", revision_}) + "}");
            }
        }
        changed_.notify_all();
    }

private:
    struct object
    {
        std::string spec;
        std::uint64_t revision = 0;
    };
    struct event
    {
        std::uint64_t revision;
        std::string kind;
        std::string text;
        double at;
    };
    static constexpr double history_ms = 20'000;
    static constexpr std::size_t page_items = 500;
    static constexpr std::size_t page_bytes = 1'000'000;

    static std::string object_text(const std::string& name, const object& stored)
    {
        return "{\"meta\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(stored.revision) +
               ",\"created-at\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + stored.spec + ",\"status\":null}";
    }

    void add_event(const std::string& kind, std::string text)
    {
        events_.push_back({revision_, kind, std::move(text), now_ms()});
    }

    void accept_connections()
    {
        while (!stop_.load())
        {
            if (!wait_readable(listener_, 50))
            {
                continue;
            }
            const int connection = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
            {
                continue;
            }
            open_connections_.fetch_add(1);
            std::thread{[this, connection]
                        {
                            serve(connection);
                            ::close(connection);
                            open_connections_.fetch_sub(1);
                        }}
                .detach();
        }
    }

    void serve(int connection)
    {
        std::string head;
        std::string body;
        if (!read_http(connection, head, body))
        {
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{4});
        const auto method = head.substr(0, head.find(' '));
        const auto target = head.substr(method.size() + 1, head.find(' ', method.size() + 1) - method.size() - 1);
        int status = 200;
        const auto answer = dispatch(method, target, body, status);
        send_all(connection, "HTTP/1.1 " + std::to_string(status) +
                                 (status == 200   ? " OK"
                                  : status == 410 ? " Gone"
                                  : status == 409 ? " Conflict"
                                                  : " Not Found") +
                                 "\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: " +
                                 std::to_string(answer.size()) + "\r\nConnection: close\r\n\r\n" + answer);
        const bool has_changes = target.find("watch=") != std::string::npos && answer.size() > 60;
        if (has_changes || target.find("watch=") == std::string::npos)
        {
            log_.line("store %s %s -> %d, %zu bytes", method.c_str(), target.c_str(), status, answer.size());
        }
    }

    static std::string query_value(const std::string& query, const std::string& key)
    {
        const auto found = ("&" + query).find("&" + key + "=");
        if (found == std::string::npos)
        {
            return {};
        }
        const auto begin = found + key.size() + 1;
        return query.substr(begin, query.find('&', begin) - begin);
    }

    std::string dispatch(const std::string& method, const std::string& target, const std::string& body, int& status)
    {
        const auto path = target.substr(0, target.find('?'));
        const auto query = target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1);
        const std::string prefix = "/objects/";
        if (path.rfind(prefix, 0) != 0)
        {
            status = 404;
            return "{}";
        }
        const auto rest = path.substr(prefix.size());
        const auto kind = rest.substr(0, rest.find('/'));
        const auto name = rest.find('/') == std::string::npos ? "" : rest.substr(rest.find('/') + 1);
        if (method != "GET")
        {
            return write(method, kind, name, body, status);
        }
        if (const auto from = query_value(query, "watch"); !from.empty())
        {
            const auto wait = query_value(query, "wait-ms");
            return watch(kind, std::stoull(from), wait.empty() ? 0 : std::stoull(wait), status);
        }
        return list(kind, query_value(query, "after"));
    }

    std::string list(const std::string& kind, const std::string& after)
    {
        const std::lock_guard lock{mutex_};
        const auto& stored = objects_[kind];
        std::string items;
        std::size_t count = 0;
        auto next = stored.upper_bound(after);
        for (; next != stored.end() && count < page_items && items.size() < page_bytes; ++next, ++count)
        {
            items += (items.empty() ? "" : ",") + object_text(next->first, next->second);
        }
        return "{\"items\":[" + items + "],\"more\":" + (next == stored.end() ? "false" : "true") +
               ",\"current-rev\":" + std::to_string(revision_) + "}";
    }

    std::string watch(const std::string& kind, std::uint64_t from, std::uint64_t wait_ms, int& status)
    {
        std::unique_lock lock{mutex_};
        const auto is_new = [&](const event& one) { return one.revision > from && one.kind == kind; };
        const auto has_new = [&]
        {
            for (const auto& one : events_)
            {
                if (is_new(one))
                {
                    return true;
                }
            }
            return false;
        };
        changed_.wait_for(lock, std::chrono::milliseconds{wait_ms}, [&] { return stop_.load() || has_new(); });
        while (!events_.empty() && now_ms() - events_.front().at > history_ms)
        {
            dropped_revision_ = events_.front().revision;
            events_.pop_front();
        }
        if (from < dropped_revision_ || from > revision_)
        {
            status = 410;
            return "{}";
        }
        std::string found;
        for (const auto& one : events_)
        {
            if (is_new(one))
            {
                found += (found.empty() ? "" : ",") + one.text;
            }
        }
        return "{\"events\":[" + found + "],\"current-rev\":" + std::to_string(revision_) + "}";
    }

    /// Writes of the system: only an object's name and `spec` matter here.
    std::string write(const std::string& method, const std::string& kind, const std::string& name,
                      const std::string& body, int& status)
    {
        if (method == "DELETE")
        {
            remove(kind, name);
            return "{}";
        }
        const auto name_at = body.find("\"name\":\"");
        const auto spec_at = body.find("\"spec\":");
        if (name_at == std::string::npos || spec_at == std::string::npos)
        {
            status = 404;
            return "{}";
        }
        const auto written = body.substr(name_at + 8, body.find('"', name_at + 8) - name_at - 8);
        if (method == "POST")
        {
            const std::lock_guard lock{mutex_};
            if (objects_[kind].contains(written))
            {
                status = 409;
                return object_text(written, objects_[kind][written]);
            }
        }
        // The system sends `spec` as the last member.
        put(kind, written, body.substr(spec_at + 7, body.rfind('}') - spec_at - 7));
        return "{}";
    }

    record& log_;
    int listener_;
    std::thread acceptor_;
    std::atomic<bool> stop_{false};
    std::atomic<int> open_connections_{0};
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, object>> objects_;
    std::deque<event> events_;
    std::uint64_t revision_ = 1;
    std::uint64_t dropped_revision_ = 0;
};

} // namespace review
