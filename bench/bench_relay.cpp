// Measures datagrams per second through a running galena_balancerd and compares them
// with a bare recvmmsg/sendmmsg relay in this process. scripts/bench_relay.sh starts
// the host.

#include <galenabay/base/endpoint.hpp>

#include <galenabay/net/packet.hpp>
#include <galenabay/net/udp_socket.hpp>

#include <boost/program_options.hpp>
#include <poll.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>
#include <span>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace
{

namespace options = boost::program_options;
using galenabay::base::endpoint;
using galenabay::net::batch_size;
using galenabay::net::packet;
using galenabay::net::receive_batch;
using galenabay::net::send_batch;
using galenabay::net::udp_socket;

constexpr double ratio_bound = 0.8;
constexpr int rounds = 5;
constexpr std::size_t payload_bytes = 64;
constexpr std::size_t sender_sockets = 64;
constexpr int poll_ms = 50;
constexpr std::chrono::milliseconds warm_up_time{300};

/// Owns the packet buffers of one batch.
class batch
{
public:
    batch()
    {
        for (std::size_t i = 0; i < batch_size; ++i)
        {
            owned_.push_back(std::make_unique<packet>());
            all_.push_back(owned_.back().get());
        }
    }

    std::span<packet* const> all() const { return all_; }
    std::span<packet* const> first(std::size_t count) const { return std::span{all_}.first(count); }

private:
    std::vector<std::unique_ptr<packet>> owned_;
    std::vector<packet*> all_;
};

/// Waits at most `poll_ms` until the socket is readable; returns whether it is.
bool wait_readable(const udp_socket& socket)
{
    pollfd entry{socket.descriptor(), POLLIN, 0};
    return poll(&entry, 1, poll_ms) > 0;
}

/// Sends datagrams to one address as fast as the sockets accept them.
void send_load(const endpoint& to, const std::vector<udp_socket>& sockets, const std::atomic<bool>& stop)
{
    const batch packets;
    const std::vector<std::byte> payload(payload_bytes, std::byte{0x51});
    for (packet* entry : packets.all())
    {
        entry->assign(payload);
        entry->peer = to;
    }
    for (std::size_t next = 0; !stop.load(std::memory_order_relaxed); next = (next + 1) % sockets.size())
    {
        send_batch(sockets[next].descriptor(), packets.all());
    }
}

/// Counts the datagrams that arrive at the upstream's socket.
void count_arrivals(const udp_socket& sink, std::atomic<std::uint64_t>& count, const std::atomic<bool>& stop)
{
    const batch packets;
    while (!stop.load(std::memory_order_relaxed))
    {
        if (wait_readable(sink))
        {
            count.fetch_add(receive_batch(sink.descriptor(), packets.all()).received);
        }
    }
}

/// Forwards every datagram to `to` without any decision, as the baseline.
void run_bare_relay(const udp_socket& in, const endpoint& to, const std::atomic<bool>& stop)
{
    const batch packets;
    while (!stop.load(std::memory_order_relaxed))
    {
        if (!wait_readable(in))
        {
            continue;
        }
        const auto received_count = receive_batch(in.descriptor(), packets.all()).received;
        for (packet* entry : packets.first(received_count))
        {
            entry->peer = to;
        }
        if (received_count > 0)
        {
            send_batch(in.descriptor(), packets.first(received_count));
        }
    }
}

/// Sends load to `target` and returns the datagrams per second that reach the upstream.
double measure(const endpoint& target, const udp_socket& sink, const std::vector<udp_socket>& senders,
               std::chrono::milliseconds length)
{
    std::atomic<bool> stop{false};
    std::atomic<std::uint64_t> count{0};
    std::thread counter_thread{[&] { count_arrivals(sink, count, stop); }};
    std::thread sender_thread{[&] { send_load(target, senders, stop); }};
    std::this_thread::sleep_for(warm_up_time);
    const auto before = count.load();
    const auto start = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(length);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    const auto arrived = count.load() - before;
    stop.store(true);
    sender_thread.join();
    counter_thread.join();
    return static_cast<double>(arrived) / elapsed.count();
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/// Opens the sockets of the load; each has its own port and thus its own flow.
std::vector<udp_socket> open_senders()
{
    std::vector<udp_socket> sockets;
    const auto any_port = endpoint::make_v4(0x7f000001, 0);
    while (sockets.size() < sender_sockets)
    {
        if (auto opened = udp_socket::bind(any_port))
        {
            sockets.push_back(std::move(opened).value());
        }
    }
    return sockets;
}

/// Measures both relays in turn and prints the ratio of their median rates. Returns the
/// exit code: 1 when a socket can't be bound.
int run(const endpoint& host, const endpoint& upstream, const endpoint& bare, std::chrono::milliseconds length)
{
    auto sink = udp_socket::bind(upstream);
    auto relay = udp_socket::bind(bare);
    if (!sink || !relay)
    {
        std::cerr << "bench_relay: " << (sink ? relay.error() : sink.error()) << '\n';
        return 1;
    }
    const auto senders = open_senders();
    std::vector<double> host_rates;
    std::vector<double> bare_rates;
    for (int round = 0; round < rounds; ++round)
    {
        std::atomic<bool> stop{false};
        std::thread relay_thread{[&] { run_bare_relay(relay.value(), upstream, stop); }};
        bare_rates.push_back(measure(bare, sink.value(), senders, length));
        stop.store(true);
        relay_thread.join();
        host_rates.push_back(measure(host, sink.value(), senders, length));
    }
    const double ratio = median(host_rates) / median(bare_rates);
    std::cout << "# bare relay " << median(bare_rates) << " datagrams/s, host " << median(host_rates)
              << " datagrams/s\n";
    std::cout << "relay_rate_over_bare_relay " << ratio << ' ' << ratio_bound << ' '
              << (ratio >= ratio_bound ? "ok" : "short") << '\n';
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description description{"Options"};
    description.add_options()("host", options::value<std::string>()->required(), "service endpoint of the host")(
        "upstream", options::value<std::string>()->required(),
        "endpoint on which to receive: that of the configured upstream")(
        "bare", options::value<std::string>()->default_value("127.0.3.2:5690"), "endpoint of the bare relay")(
        "length-ms", options::value<int>()->default_value(1000), "length of one measurement");
    try
    {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        const auto host = endpoint::parse(values["host"].as<std::string>());
        const auto upstream = endpoint::parse(values["upstream"].as<std::string>());
        const auto bare = endpoint::parse(values["bare"].as<std::string>());
        if (!host || !upstream || !bare)
        {
            std::cerr << "bench_relay: --host, --upstream and --bare must each be ADDRESS:PORT\n";
            return 2;
        }
        return run(host.value(), upstream.value(), bare.value(),
                   std::chrono::milliseconds{values["length-ms"].as<int>()});
    }
    catch (const options::error& error)
    {
        std::cerr << "bench_relay: " << error.what() << '\n' << description;
        return 2;
    }
}
