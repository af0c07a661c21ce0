#include "host_list.hpp"

#include <fstream>
#include <utility>

namespace galenabay::stand_in
{

namespace
{

constexpr base::duration read_interval{200'000};

} // namespace

host_list::host_list(const std::vector<std::string>& hosts, std::string file, std::uint64_t seed)
    : file_{std::move(file)}, random_{seed}
{
    for (const auto& text : hosts)
    {
        add(text);
    }
    read_file();
}

void host_list::add(const std::string& text)
{
    if (const auto parsed = base::endpoint::parse(text, 0); parsed.has_value())
    {
        hosts_.push_back(parsed.value());
    }
}

void host_list::read_file()
{
    std::ifstream in{file_};
    std::vector<base::endpoint> before;
    std::swap(before, hosts_);
    for (std::string line; std::getline(in, line);)
    {
        add(line);
    }
    if (hosts_.empty())
    {
        hosts_ = std::move(before);
    }
}

base::endpoint host_list::pick(std::uint16_t port)
{
    return hosts_[random_.below(hosts_.size())].with_port(port);
}

void host_list::on_tick(base::time_point now)
{
    if (!file_.empty() && now >= next_read_)
    {
        next_read_ = now + read_interval;
        read_file();
    }
}

} // namespace galenabay::stand_in
