#pragma once

#include "channels.hpp"
#include "metric_table.hpp"
#include "packet_pool.hpp"
#include "thread_state.hpp"
#include <galenabay/net/udp_socket.hpp>

#include <memory>
#include <unordered_map>
#include <vector>

namespace galenabay::daemon
{

/// Body of the receive thread: reads datagrams from every socket into packets and passes them to the decide thread.
/// Owns no socket.
class receive_worker
{
public:
    receive_worker(channels& links, packet_pool& pool, metric_table& metrics, const thread_state& state,
                   const net::udp_socket& upstream_socket, const net::udp_socket& relay_socket);
    receive_worker(const receive_worker&) = delete;
    receive_worker& operator=(const receive_worker&) = delete;
    ~receive_worker();

    /// Runs until `thread_state::stop` is set.
    void run();

private:
    struct source
    {
        net::packet_origin origin = net::packet_origin::caller;
        base::endpoint service;
    };

    void add(int descriptor, const source& from);
    void apply_changes();
    bool fill_batch();
    void read_from(int descriptor);
    void enqueue(net::packet* received, const source& from);
    bool is_blocked(const net::packet& received) const;
    void count_received(net::packet_origin origin);

    channels& links_;
    packet_pool& pool_;
    metric_table& metrics_;
    const thread_state& state_;
    int epoll_;
    std::unordered_map<int, source> sources_;
    std::vector<net::packet*> batch_;
    std::shared_ptr<const blocked_addresses> blocked_;
};

} // namespace galenabay::daemon
