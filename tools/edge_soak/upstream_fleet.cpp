#include "upstream_fleet.hpp"

#include <galenabay/base/invariant.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

namespace galenabay::edge_soak
{

namespace
{

constexpr std::uint16_t upstream_port = 29000;
/// New flows may still arrive for this time after an upstream starts to drain.
constexpr double drain_timeout_s = 3.0;

std::string hex(std::uint64_t number)
{
    std::array<char, 20> text{};
    std::snprintf(text.data(), text.size(), "%08llx", static_cast<unsigned long long>(number));
    return text.data();
}

} // namespace

upstream_fleet::upstream_fleet(store_stub& store, soak_results& results, address_block block, std::uint16_t caller_port,
                               std::uint64_t seed)
    : store_{store}, results_{results}, block_{block}, caller_port_{caller_port}, random_{seed},
      buffers_(net::batch_size)
{
}

std::size_t upstream_fleet::start(const std::string& service, const std::string& data_centre)
{
    const auto address =
        base::endpoint::make_v4(block_.upstreams() + static_cast<std::uint32_t>(sockets_.size()), upstream_port);
    auto socket = net::udp_socket::bind(address);
    GALENABAY_INVARIANT(socket.has_value());
    sockets_.push_back(std::move(socket.value()));
    listeners_.emplace_back();
    auto entry = std::make_unique<upstream>();
    entry->service = service;
    entry->data_centre = data_centre;
    entry->address = address;
    register_new(std::move(entry));
    return upstreams_.size() - 1;
}

void upstream_fleet::register_new(std::unique_ptr<upstream> entry)
{
    entry->number = ++next_number_;
    entry->id = "i-" + hex(entry->number);
    entry->born = next_born_ += 1000;
    entry->sequence = 0;
    begin_starting(*entry);
    write(*entry);
    upstreams_.push_back(std::move(entry));
}

void upstream_fleet::write(upstream& entry)
{
    ++entry.sequence;
    const auto left_ms = static_cast<int>(std::max(0.0, entry.starting_until - now_) * 1000);
    store_.put("servers", entry.id,
               R"({"service":")" + entry.service + R"(","address":")" + entry.address.to_string() + R"(","zone":")" +
                   entry.data_centre + R"(","version":"v1","max-concurrency":3,"state":")" +
                   (entry.draining ? "draining" : "ready") + R"(","warmup-left-ms":)" + std::to_string(left_ms) +
                   R"(,"sequence":)" + std::to_string(entry.sequence) + R"(,"born":)" + std::to_string(entry.born) +
                   "}");
}

void upstream_fleet::begin_starting(upstream& entry) const
{
    entry.starting_until = registers_starting_ ? now_ + starting_time_s : 0;
}

void upstream_fleet::end_starting()
{
    for (const auto& entry : upstreams_)
    {
        if (entry->starting_until != 0 && now_ >= entry->starting_until)
        {
            entry->starting_until = 0;
            if (entry->alive)
            {
                write(*entry);
            }
        }
    }
}

void upstream_fleet::postpone_draining()
{
    const auto may_be_unknown = [&](const upstream& entry)
    {
        const auto names = store_.names("servers");
        return store_.fault() != store_fault::none || std::find(names.begin(), names.end(), entry.id) == names.end();
    };
    for (const auto& entry : upstreams_)
    {
        if (entry->draining && now_ - entry->draining_since <= drain_timeout_s && may_be_unknown(*entry))
        {
            entry->draining_since = now_;
        }
    }
}

void upstream_fleet::crash(std::size_t index)
{
    upstreams_[index]->alive = false;
    upstreams_[index]->flows.clear();
}

void upstream_fleet::unregister(std::size_t index)
{
    store_.remove("servers", upstreams_[index]->id);
}

void upstream_fleet::register_again()
{
    for (const auto& entry : upstreams_)
    {
        if (entry->alive)
        {
            write(*entry);
        }
    }
}

void upstream_fleet::unregister_dead()
{
    for (const auto& id : store_.names("servers"))
    {
        const bool is_live = std::any_of(upstreams_.begin(), upstreams_.end(),
                                         [&](const auto& entry) { return entry->alive && entry->id == id; });
        if (!is_live)
        {
            store_.remove("servers", id);
        }
    }
}

void upstream_fleet::restart(std::size_t index)
{
    auto next = std::make_unique<upstream>(*upstreams_[index]);
    next->born = next_born_ += 1000;
    next->sequence = 0;
    next->alive = true;
    next->draining = false;
    next->flows.clear();
    begin_starting(*next);
    write(*next);
    upstreams_[index] = std::move(next);
}

void upstream_fleet::replace(std::size_t index, const std::string& service)
{
    crash(index);
    unregister(index);
    auto successor = std::make_unique<upstream>(*upstreams_[index]);
    successor->service = service;
    successor->alive = true;
    successor->draining = false;
    register_new(std::move(successor));
}

void upstream_fleet::drain(std::size_t index, double now)
{
    upstreams_[index]->draining = true;
    upstreams_[index]->draining_since = now;
    write(*upstreams_[index]);
}

bool upstream_fleet::holds(std::size_t index, const steer::flow_key& flow) const
{
    const auto& entry = *upstreams_[index];
    const auto found = entry.flows.find(flow);
    return entry.alive && found != entry.flows.end() && found->second.open && !found->second.closed;
}

std::size_t upstream_fleet::find_holder(const steer::flow_key& flow) const
{
    for (std::size_t i = 0; i < upstreams_.size(); ++i)
    {
        if (holds(i, flow))
        {
            return i;
        }
    }
    return upstreams_.size();
}

std::size_t upstream_fleet::socket_of(const upstream& entry) const
{
    return entry.address.v4() - block_.upstreams();
}

std::size_t upstream_fleet::find_live(std::size_t socket) const
{
    for (std::size_t i = 0; i < upstreams_.size(); ++i)
    {
        if (upstreams_[i]->alive && socket_of(*upstreams_[i]) == socket)
        {
            return i;
        }
    }
    return upstreams_.size();
}

void upstream_fleet::accept_connections()
{
    for (std::size_t socket = 0; socket < sockets_.size(); ++socket)
    {
        auto& listener = listeners_[socket];
        if (find_live(socket) == upstreams_.size())
        {
            listener.reset();
            continue;
        }
        if (!listener)
        {
            const Poco::Net::SocketAddress local{sockets_[socket].local().to_string()};
            listener = std::make_unique<Poco::Net::ServerSocket>(local);
        }
        while (listener->poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ))
        {
            listener->acceptConnection();
        }
    }
}

void upstream_fleet::receive(double now)
{
    now_ = now;
    end_starting();
    postpone_draining();
    accept_connections();
    std::array<net::packet*, net::batch_size> batch{};
    for (std::size_t i = 0; i < batch.size(); ++i)
    {
        batch[i] = &buffers_[i];
    }
    for (std::size_t socket = 0; socket < sockets_.size(); ++socket)
    {
        const auto got = net::receive_batch(sockets_[socket].descriptor(), batch);
        for (std::size_t i = 0; i < got.received; ++i)
        {
            const auto payload = batch[i]->payload();
            handle(socket, {reinterpret_cast<const unsigned char*>(payload.data()), payload.size()}, batch[i]->peer,
                   now);
        }
    }
}

void upstream_fleet::handle(std::size_t socket, std::span<const unsigned char> bytes, const base::endpoint& from,
                            double now)
{
    constexpr std::size_t number_size = 8;
    const auto index = find_live(socket);
    if (bytes.size() < number_size || index == upstreams_.size())
    {
        return;
    }
    const auto number = boost::endian::endian_load<std::uint64_t, number_size, boost::endian::order::big>(bytes.data());
    const auto packet = wire_packet::decode(bytes.subspan(number_size));
    auto& entry = *upstreams_[index];
    if (!packet || number != entry.number)
    {
        return;
    }
    if (packet->checksum != wire_packet::endpoint_checksum)
    {
        results_.violation("unchanged_packet", now, "upstream=" + entry.id);
    }
    packet->has(flag_syn) ? open(entry, *packet, from, now) : serve(entry, *packet, now);
}

void upstream_fleet::open(upstream& entry, const wire_packet& packet, const base::endpoint& from, double now)
{
    const bool is_feed = packet.target_port == 8443;
    if (is_feed != (entry.service == "feed"))
    {
        results_.violation("other_service", now, "upstream=" + entry.id + " service=" + entry.service);
        return;
    }
    if (entry.draining && now - entry.draining_since > drain_timeout_s && store_.fault() == store_fault::none)
    {
        results_.violation("new_flow_on_draining", now, "upstream=" + entry.id);
    }
    for (const auto& observer : observers_)
    {
        observer(entry, packet, from, now);
    }
    auto& flow = entry.flows[packet.flow()];
    if (flow.sequence == 0)
    {
        flow.sequence = static_cast<std::uint32_t>(random_.below(1U << 30U)) + 1;
        flow.expected = packet.sequence + 1;
    }
    flow.token = packet.token;
    reply(entry, packet, flag_syn | flag_ack, flow, std::nullopt);
}

void upstream_fleet::serve(upstream& entry, const wire_packet& packet, double now)
{
    const auto found = entry.flows.find(packet.flow());
    if (found == entry.flows.end())
    {
        if (const auto holder = find_holder(packet.flow()); holder != upstreams_.size())
        {
            results_.violation("flow_moved", now, "from=" + upstreams_[holder]->id + " to=" + entry.id);
        }
        reply(entry, packet, flag_rst, {}, std::nullopt);
        return;
    }
    auto& flow = found->second;
    flow.token = packet.token;
    if (!flow.open && packet.acknowledged == flow.sequence + 1)
    {
        flow.open = true;
        ++flow.sequence;
    }
    if (packet.has(flag_fin) || packet.has(flag_rst))
    {
        flow.closed = true;
        reply(entry, packet, flag_ack, flow, std::nullopt);
        return;
    }
    if (!packet.request || !flow.open || random_.unit() < entry.lost_share)
    {
        return;
    }
    const auto before = flow.sequence;
    if (packet.sequence == flow.expected)
    {
        flow.expected += packet.size();
        if (!results_.record_run(*packet.request))
        {
            results_.violation("request_ran_twice", now, "upstream=" + entry.id);
        }
        flow.sequence += packet.size();
        auto answered = flow;
        answered.sequence = before;
        reply(entry, packet, flag_ack, answered, packet.request);
        return;
    }
    // A retransmission of a request that was answered: repeat the answer.
    auto again = flow;
    again.sequence = before - packet.size();
    reply(entry, packet, flag_ack, again, packet.request);
}

void upstream_fleet::reply(const upstream& entry, const wire_packet& to, std::uint8_t flags,
                           const upstream::held_flow& flow, std::optional<std::uint64_t> request)
{
    const wire_packet answer{.source = to.target,
                             .target = to.source,
                             .source_port = to.target_port,
                             .target_port = to.source_port,
                             .token = flow.token,
                             .flags = flags,
                             .checksum = wire_packet::endpoint_checksum,
                             .sequence = flow.sequence,
                             .acknowledged = flow.expected,
                             .request = request};
    send_packet(sockets_[socket_of(entry)], answer, base::endpoint::make_v4(to.source, caller_port_));
}

} // namespace galenabay::edge_soak
