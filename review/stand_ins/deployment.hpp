#pragma once

#include "client.hpp"
#include "hosts.hpp"
#include "store.hpp"
#include "target.hpp"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace review
{

inline void pause_ms(double time)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(time));
}

/// A small deployment on loopback: the store, 9 machines in 3 zones, targets and clients.
/// Every address is in one network of 127.0.0.0/8 that depends on the process id.
class deployment
{
public:
    static constexpr std::size_t zone_count = 3;

    explicit deployment(record& log, std::size_t machines_per_zone = 3) : log_{log}
    {
        const auto id = static_cast<std::uint32_t>(::getpid());
        base_ = (127U << 24U) | ((16U + id % 200U) << 16U) | (((id / 200U) % 250U + 1U) << 8U);
        directory_ = (std::filesystem::temp_directory_path() / ("galenabay-review-" + std::to_string(id))).string();
        std::filesystem::create_directories(directory_);
        platform_ = std::make_unique<store>(endpoint{base_ + 1, 8169}, log_);
        system_ = std::make_unique<hosts>("target/bin/galena_edged", directory_, endpoint{base_ + 1, 8169}, log_);
        for (std::size_t i = 0; i < zone_count * machines_per_zone; ++i)
        {
            system_->add("edge-" + zone(i) + "-" + std::to_string(i / zone_count + 1), zone(i),
                         base_ + 10 + static_cast<std::uint32_t>(i));
        }
        for (std::size_t i = 0; i < zone_count; ++i)
        {
            clients_.push_back(
                std::make_unique<clients>(zone(i), base_ + 200 + static_cast<std::uint32_t>(i), *system_, log_));
        }
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    ~deployment()
    {
        clients_.clear();
        targets_.clear();
        system_.reset();
        platform_.reset();
        if (std::getenv("KEEP_LOGS") == nullptr)
        {
            std::filesystem::remove_all(directory_);
        }
        else
        {
            std::fprintf(stderr, "logs of the processes: %s\n", directory_.c_str());
        }
    }

    static std::string zone(std::size_t index) { return std::string{"zone-"} + static_cast<char>('a' + index % 3); }

    /// Address and port of the `index`-th route. They stand in packets; nothing is sent there.
    static endpoint route_address(std::size_t index)
    {
        return {(127U << 24U) | (1U << 16U) | static_cast<std::uint32_t>(1 + index / 4),
                static_cast<std::uint16_t>(8440 + index % 4)};
    }

    static std::string route_text(std::size_t index, const std::string& service)
    {
        const auto at = route_address(index);
        return "{\"name\":\"r-" + std::to_string(index) + "\",\"host\":\"" + address_text(at.address) +
               "\",\"path-prefix\":\"/" + std::to_string(at.port) +
               "/\",\"type\":\"non_idempotent\",\"timeout-ms\":2500,\"aim-ms\":250,\"priority\":1,\"service\":\"" +
               service + "\",\"attempts\":2}";
    }

    /// Writes a configuration. Returns the time of the acknowledgement.
    double configure(int version, const std::vector<std::string>& routes)
    {
        std::string spec = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
        for (std::size_t i = 0; i < routes.size(); ++i)
        {
            spec += (i == 0 ? "" : ",") + routes[i];
        }
        spec += "],\"services\":[{\"name\":\"parts\",\"health-path\":\"/healthz\",\"max-conns\":2000,\"protocol\":"
                "\"h1\",\"tls\":false},{\"name\":\"vault\",\"health-path\":\"/healthz\",\"max-conns\":2000,"
                "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
                "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
        const auto acknowledged = platform_->put("config", "main", spec);
        log_.line("configuration %d of %zu routes, %zu bytes, acknowledged", version, routes.size(), spec.size());
        return acknowledged;
    }

    target& add_target(const std::string& service, std::size_t zone_index,
                       std::function<double(const std::string&)> work_ms, std::size_t answer_bytes = 600)
    {
        const auto index = static_cast<std::uint32_t>(targets_.size());
        char id[32];
        std::snprintf(id, sizeof id, "i-%08x", 0x7f3a0000U + index * 977U + 1U);
        targets_.push_back(std::make_unique<target>(target_options{.id = id,
                                                                   .service = service,
                                                                   .zone = zone(zone_index),
                                                                   .address = {base_ + 60 + index, 8080},
                                                                   .client_port = hosts::packet_port,
                                                                   .work_ms = std::move(work_ms),
                                                                   .answer_bytes = answer_bytes},
                                                    *platform_, log_));
        return *targets_.back();
    }

    /// Starts the machines and waits until all are ready.
    void start()
    {
        system_->start_all();
        for (int i = 0; i < 100 && !system_->all_ready(); ++i)
        {
            pause_ms(100);
        }
        if (!system_->all_ready())
        {
            give_up("the machines aren't ready after 10 s");
        }
        log_.line("all machines are ready");
    }

    store& platform() { return *platform_; }
    hosts& system() const { return *system_; }
    clients& clients_of(std::size_t zone_index) { return *clients_[zone_index]; }
    std::vector<std::unique_ptr<target>>& targets() { return targets_; }
    std::uint32_t base() const { return base_; }

    std::vector<flow_result> results() const
    {
        std::vector<flow_result> all;
        for (const auto& one : clients_)
        {
            const auto some = one->results();
            all.insert(all.end(), some.begin(), some.end());
        }
        return all;
    }

private:
    record& log_;
    std::uint32_t base_ = 0;
    std::string directory_;
    std::unique_ptr<store> platform_;
    std::unique_ptr<hosts> system_;
    std::vector<std::unique_ptr<target>> targets_;
    std::vector<std::unique_ptr<clients>> clients_;
};

/// Returns false when the environment asks for a run without the disruption.
inline bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

} // namespace review
