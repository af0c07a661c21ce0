#pragma once

#include "steer_fixture.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace galenabay::steer::test
{

/// The order in which hosts claim each upstream, by the view that each host has of the others.
class host_ranks
{
public:
    explicit host_ranks(std::size_t hosts) : believed_(hosts, std::vector<std::uint64_t>(hosts, 1)) {}

    /// Adds an upstream whose data centre has each second host, from `first` on.
    void add(const std::string& id, std::size_t first)
    {
        auto& order = orders_.emplace_back();
        for (std::size_t number = first; number < believed_.size(); number += 2)
        {
            order.push_back(number);
        }
        const auto weight = [&](std::size_t number) { return base::mix(number, base::hash_text(id)); };
        std::sort(order.begin(), order.end(), [&](auto a, auto b) { return weight(a) < weight(b); });
    }

    /// Process by which `self` knows `other`; 0 when it does not take it for live.
    std::uint64_t& believed(std::size_t self, std::size_t other) { return believed_[self][other]; }

    std::optional<std::size_t> rank(std::size_t self, const std::string& id) const
    {
        constexpr std::size_t last_candidate = 1;
        std::size_t before = 0;
        for (const auto other : order_of(id))
        {
            if (other == self || before > last_candidate)
            {
                break;
            }
            before += believed_[self][other] != 0 ? 1 : 0;
        }
        return before;
    }

    /// Returns the first `count` hosts that `self` takes for live, without itself.
    std::vector<std::size_t> first_others(std::size_t self, const std::string& id, std::size_t count) const
    {
        std::vector<std::size_t> found;
        for (const auto other : order_of(id))
        {
            if (found.size() < count && other != self && believed_[self][other] != 0)
            {
                found.push_back(other);
            }
        }
        return found;
    }

private:
    const std::vector<std::size_t>& order_of(const std::string& id) const
    {
        return orders_[std::stoul(id.substr(2)) - 1];
    }

    std::vector<std::vector<std::uint64_t>> believed_;
    std::vector<std::vector<std::size_t>> orders_;
};

} // namespace galenabay::steer::test
