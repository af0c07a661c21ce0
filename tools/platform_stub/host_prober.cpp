#include "host_prober.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <yaml-cpp/yaml.h>

#include <cstdio>
#include <optional>
#include <utility>

namespace galenabay::stub
{

namespace
{

constexpr auto probe_interval = std::chrono::milliseconds{1000};
constexpr auto stop_poll = std::chrono::milliseconds{50};
constexpr int probe_timeout_us = 300'000;
constexpr int failures_until_dropped = 2;
constexpr std::size_t max_body = 64;

std::vector<host_row> read_rows(const std::string& file)
{
    std::vector<host_row> rows;
    for (const auto& node : YAML::LoadFile(file))
    {
        const auto text = [&](const char* key) { return node[key].as<std::string>(); };
        rows.push_back({text("name"), text("data_centre"), text("control"), text("relay"), text("health"), false});
    }
    return rows;
}

/// Returns the body of GET /healthz; nullopt if the host did not answer with 200.
std::optional<std::string> probe(const std::string& endpoint)
{
    try
    {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress{endpoint}};
        session.setTimeout(Poco::Timespan{0, probe_timeout_us});
        Poco::Net::HTTPRequest request{Poco::Net::HTTPRequest::HTTP_GET, "/healthz", Poco::Net::HTTPMessage::HTTP_1_1};
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        auto& stream = session.receiveResponse(response);
        std::string body(max_body, '\0');
        stream.read(body.data(), static_cast<std::streamsize>(body.size()));
        body.resize(static_cast<std::size_t>(stream.gcount()));
        return response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK ? std::optional{body} : std::nullopt;
    }
    catch (const Poco::Exception&)
    {
        return std::nullopt;
    }
}

} // namespace

host_prober::host_prober(std::string file, std::chrono::milliseconds lag) : file_{std::move(file)}, lag_{lag}
{
    reload();
    thread_ = std::thread{[this] { run(); }};
}

host_prober::~host_prober()
{
    stopping_ = true;
    thread_.join();
}

void host_prober::reload()
{
    if (file_.empty())
    {
        return;
    }
    try
    {
        auto rows = read_rows(file_);
        const std::lock_guard lock{mutex_};
        hosts_ = std::move(rows);
    }
    catch (const YAML::Exception& failure)
    {
        std::fprintf(stderr, "level=error event=hosts_file_refused file=%s detail=\"%s\"\n", file_.c_str(),
                     failure.what());
    }
}

std::vector<host_row> host_prober::published() const
{
    const std::lock_guard lock{mutex_};
    const auto cutoff = std::chrono::steady_clock::now() - lag_;
    while (results_.size() > 1 && results_[1].first <= cutoff)
    {
        results_.pop_front();
    }
    const bool ready = !results_.empty() && results_.front().first <= cutoff;
    return ready ? results_.front().second : std::vector<host_row>{};
}

void host_prober::run()
{
    while (!stopping_)
    {
        probe_all();
        const auto next = std::chrono::steady_clock::now() + probe_interval;
        while (!stopping_ && std::chrono::steady_clock::now() < next)
        {
            std::this_thread::sleep_for(stop_poll);
        }
    }
}

void host_prober::probe_all()
{
    std::vector<host_row> rows;
    {
        const std::lock_guard lock{mutex_};
        rows = hosts_;
    }
    std::vector<host_row> live;
    for (auto& row : rows)
    {
        const auto answer = probe(row.health);
        auto& failures = failures_.try_emplace(row.name, failures_until_dropped).first->second;
        failures = answer ? 0 : failures + 1;
        if (failures < failures_until_dropped)
        {
            row.leaving = answer && answer->starts_with("leaving");
            live.push_back(row);
        }
    }
    const std::lock_guard lock{mutex_};
    results_.emplace_back(std::chrono::steady_clock::now(), std::move(live));
}

} // namespace galenabay::stub
