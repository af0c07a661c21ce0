#include <galenabay/control/wait.hpp>

#include <algorithm>
#include <thread>

namespace galenabay::control
{

namespace
{

constexpr auto poll_interval = std::chrono::milliseconds{200};
constexpr std::size_t max_named_hosts = 50;

} // namespace

std::string describe(const fleet_status& fleet, std::uint64_t number)
{
    const auto behind = lagging(fleet, number);
    std::string line = std::to_string(fleet.hosts.size() - behind.size()) + " of " +
                       std::to_string(fleet.hosts.size()) + " hosts have revision " + std::to_string(number) +
                       " in force";
    for (std::size_t i = 0; i < std::min(behind.size(), max_named_hosts); ++i)
    {
        line += (i == 0 ? "; waiting for " : ", ") + describe(behind[i]);
    }
    if (behind.size() > max_named_hosts)
    {
        line += " and " + std::to_string(behind.size() - max_named_hosts) + " more";
    }
    return line;
}

base::result<void> wait_in_force(const object_api::object_client& client, std::uint64_t number,
                                 std::chrono::milliseconds timeout,
                                 const std::function<void(const std::string&)>& progress)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    std::string shown;
    while (true)
    {
        const auto fleet = read_fleet_status(client);
        const auto line = fleet ? describe(fleet.value(), number) : fleet.error().to_string();
        if (line != shown)
        {
            progress(line);
            shown = line;
        }
        if (fleet && !fleet.value().hosts.empty() && lagging(fleet.value(), number).empty())
        {
            return base::outcome::success();
        }
        if (std::chrono::steady_clock::now() + poll_interval > deadline)
        {
            return base::error::make(base::error_code::timeout, "wait", "", line);
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace galenabay::control
