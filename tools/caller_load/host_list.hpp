#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace galenabay::stand_in
{

/// The hosts, over which packets are distributed at random like by an ECMP fabric. Owned
/// by one thread.
class host_list
{
public:
    /// Reads the hosts from `hosts` and `file`, of which one may be empty.
    host_list(const std::vector<std::string>& hosts, std::string file, std::uint64_t seed);

    bool empty() const noexcept { return hosts_.empty(); }

    /// Returns the address of a random host with `port`. The list must not be empty.
    base::endpoint pick(std::uint16_t port);

    /// Reads the file again every 200 ms; keeps the previous hosts if it has none.
    void on_tick(base::time_point now);

private:
    void read_file();
    void add(const std::string& text);

    std::vector<base::endpoint> hosts_;
    std::string file_;
    base::time_point next_read_{};
    base::random_source random_;
};

} // namespace galenabay::stand_in
