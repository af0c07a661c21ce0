#pragma once

#include "channels.hpp"
#include "metric_board.hpp"
#include "packet_pool.hpp"
#include "thread_state.hpp"
#include "udp_socket.hpp"

#include <memory>
#include <unordered_map>
#include <vector>

namespace galenabay::daemon
{

/// Receive thread: reads datagrams from every socket into packets and passes
/// them to the decide thread. Owns no socket.
class receive_duty
{
public:
    receive_duty(channels& links, packet_pool& pool, metric_board& metrics, const thread_state& state,
                 const udp_socket& upstream_socket, const udp_socket& relay_socket);
    receive_duty(const receive_duty&) = delete;
    receive_duty& operator=(const receive_duty&) = delete;
    ~receive_duty();

    /// Runs until the process stops.
    void run();

private:
    struct source
    {
        packet_origin origin = packet_origin::caller;
        base::endpoint service;
    };

    void add(int descriptor, const source& from);
    void apply_changes();
    bool fill_batch();
    void read_from(int descriptor);
    void pass_on(packet* received, const source& from);
    bool is_cut(const packet& received) const;
    void count_origin(packet_origin origin);

    channels& links_;
    packet_pool& pool_;
    metric_board& metrics_;
    const thread_state& state_;
    int poller_;
    std::unordered_map<int, source> sources_;
    std::vector<packet*> batch_;
    std::shared_ptr<const cut_addresses> cut_;
};

} // namespace galenabay::daemon
