#pragma once

#include <galenabay/config/accepted_revision.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace galenabay::bench
{

/// Returns upstream `number` of a test fleet.
inline config::upstream make_upstream(std::uint32_t number)
{
    config::upstream result;
    result.name = "upstream-" + std::to_string(number);
    result.endpoint = base::endpoint::make_v4(0x0a000000 + number, 9000);
    return result;
}

/// Returns a service with `count` upstreams, numbered from `first`.
inline config::service make_service(const std::string& name, std::uint16_t port, std::uint32_t first,
                                    std::uint32_t count)
{
    config::service result;
    result.name = name;
    result.address = base::endpoint::make_v4(0x0aff0001, port);
    for (std::uint32_t i = 0; i < count; ++i)
    {
        result.upstreams.push_back(make_upstream(first + i));
    }
    return result;
}

/// Builds successive revisions, each with the lineage of its services.
class revision_maker
{
public:
    explicit revision_maker(std::vector<config::service> services) : draft_{services}
    {
        current_.number = 1;
        current_.set.services = std::move(services);
    }

    const config::accepted_revision& current() const noexcept { return current_; }
    /// Services of the next revision; callers change them in place.
    std::vector<config::service>& draft() noexcept { return draft_; }

    /// Makes the draft the newest revision and returns it.
    const config::accepted_revision& accept()
    {
        for (const auto& before : current_.set.services)
        {
            record_lineage_if_changed(before);
        }
        ++current_.number;
        current_.set.services = draft_;
        return current_;
    }

private:
    /// Adds `before` to the lineage unless the draft keeps its address and
    /// upstreams.
    void record_lineage_if_changed(const config::service& before)
    {
        for (const auto& after : draft_)
        {
            if (after.name == before.name && after.address == before.address && after.upstreams == before.upstreams)
            {
                return;
            }
        }
        auto& lineage = current_.lineage[before.name];
        lineage.insert(lineage.begin(), config::generation{current_.number, before.address, before.upstreams});
        if (lineage.size() > config::max_generations)
        {
            lineage.pop_back();
        }
    }

    config::accepted_revision current_;
    std::vector<config::service> draft_;
};

} // namespace galenabay::bench
