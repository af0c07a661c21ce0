#include "datagram_flows.hpp"

#include "../stand_in/content.hpp"

#include <algorithm>
#include <utility>

namespace galenabay::stand_in
{

namespace
{

constexpr std::uint32_t loopback = 0x7f000001;
constexpr base::duration send_interval{200'000};

std::string flow_label(std::size_t index)
{
    return "flow=" + std::to_string(index);
}

} // namespace

base::result<datagram_flows> datagram_flows::make(const load_settings& settings, host_list& hosts, summary& results,
                                                  base::time_point now)
{
    datagram_flows made{hosts, results};
    std::vector<target_service> services;
    std::copy_if(settings.services.begin(), settings.services.end(), std::back_inserter(services),
                 [](const target_service& each) { return each.is_datagram; });
    for (std::size_t i = 0; !services.empty() && i < settings.datagram_flows; ++i)
    {
        BOOST_OUTCOME_TRY(socket, datagram_socket::bind(base::endpoint::make_v4(loopback, 0), settings.faults,
                                                        settings.seed * 20'011 + i));
        const auto offset =
            send_interval * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(settings.datagram_flows);
        made.flows_.push_back(flow{std::move(socket), services[i % services.size()], "", 0, now + offset});
    }
    return made;
}

void datagram_flows::on_readable(std::size_t index, base::time_point /*now*/)
{
    auto& each = flows_[index];
    std::vector<std::byte> bytes;
    while (each.socket.receive(bytes))
    {
        const auto text = as_text(bytes);
        results_->add("datagrams_echoed");
        if (field(text, "service") != each.service.name || field(text, "flow") != std::to_string(index))
        {
            results_->violation("wrong", "what=datagram_of_another_flow " + flow_label(index) + " got=\"" +
                                             std::string{text} + "\"");
            continue;
        }
        const auto upstream = field(text, "upstream");
        results_->add_answer_from(each.service.name, std::string{upstream});
        if (!each.upstream.empty() && each.upstream != upstream)
        {
            results_->violation("datagram_flows_moved",
                                flow_label(index) + " from=" + each.upstream + " got=\"" + std::string{text} + "\"");
        }
        each.upstream = upstream;
    }
}

void datagram_flows::on_tick(base::time_point now)
{
    for (std::size_t i = 0; i < flows_.size(); ++i)
    {
        auto& each = flows_[i];
        each.socket.on_tick(now);
        if (now < each.next_send)
        {
            continue;
        }
        each.next_send = now + send_interval;
        const auto payload = as_payload(flow_label(i) + " number=" + std::to_string(++each.sent));
        each.socket.send(payload, hosts_->pick(each.service.port), now);
        results_->add("datagrams_sent");
    }
}

} // namespace galenabay::stand_in
