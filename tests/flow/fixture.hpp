#pragma once

#include <galenabay/config/accepted_revision.hpp>
#include <galenabay/flow/steering.hpp>

#include <string>
#include <vector>

namespace galenabay::flow::test
{

inline base::time_point at_ms(std::int64_t milliseconds)
{
    return base::time_point{base::duration{1'000'000'000 + milliseconds * 1000}};
}

inline base::endpoint caller_of(std::uint32_t number)
{
    return base::endpoint::make_v4(0x0b000000 + number, static_cast<std::uint16_t>(1024 + number % 60000));
}

inline config::upstream make_upstream(std::uint32_t number)
{
    config::upstream result;
    result.name = "upstream-" + std::to_string(number);
    result.endpoint = base::endpoint::make_v4(0x0a000000 + number, 9000);
    return result;
}

inline config::service make_service(const std::string& name, std::uint16_t port, std::uint32_t first,
                                    std::uint32_t count)
{
    config::service result;
    result.name = name;
    result.address = base::endpoint::make_v4(0x0a00ff01, port);
    for (std::uint32_t i = 0; i < count; ++i)
    {
        result.upstreams.push_back(make_upstream(first + i));
    }
    return result;
}

/// Builds successive revisions with their lineage.
class revision_maker
{
public:
    explicit revision_maker(std::vector<config::service> services)
    {
        current_.number = 1;
        current_.set.services = std::move(services);
    }

    const config::accepted_revision& current() const { return current_; }
    std::vector<config::service>& draft()
    {
        if (!drafted_)
        {
            draft_ = current_.set.services;
            drafted_ = true;
        }
        return draft_;
    }

    /// Makes the draft the newest revision.
    const config::accepted_revision& accept()
    {
        for (const auto& before : current_.set.services)
        {
            keep(before);
        }
        ++current_.number;
        current_.set.services = draft_;
        drafted_ = false;
        return current_;
    }

private:
    void keep(const config::service& before)
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
    bool drafted_ = false;
};

} // namespace galenabay::flow::test
