#pragma once

#include "channels.hpp"
#include "metric_board.hpp"
#include "packet_pool.hpp"
#include "thread_state.hpp"
#include "udp_socket.hpp"

#include <memory>
#include <vector>

namespace galenabay::daemon
{

/// Send thread: writes decided packets to their sockets in batches, after the
/// last check that an upstream belongs to the packet's service.
class send_duty
{
public:
    send_duty(channels& links, packet_pool& pool, metric_board& metrics, const thread_state& state);

    /// Runs until the process stops.
    void run();

private:
    bool collect();
    void apply_rules();
    bool may_leave(const packet& waiting);
    void apply(const send_rules& rules);
    void flush();
    void flush_run(std::size_t begin, std::size_t end);

    channels& links_;
    packet_pool& pool_;
    metric_board& metrics_;
    const thread_state& state_;
    std::shared_ptr<const reach_table> reach_;
    std::shared_ptr<const cut_addresses> cut_;
    std::vector<packet*> batch_;
};

} // namespace galenabay::daemon
