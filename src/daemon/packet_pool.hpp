#pragma once

#include <galenabay/net/packet.hpp>

#include <boost/lockfree/stack.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace galenabay::daemon
{

/// Owns a fixed number of packet buffers, shared by the receive, decide and send threads. Thread-safe.
class packet_pool
{
public:
    explicit packet_pool(std::size_t count) : free_{count}
    {
        packets_.reserve(count);
        for (std::size_t i = 0; i < count; ++i)
        {
            packets_.push_back(std::make_unique<net::packet>());
            free_.bounded_push(packets_.back().get());
        }
    }

    /// Returns a free buffer, or null when all are in use.
    net::packet* acquire()
    {
        net::packet* free_packet = nullptr;
        return free_.pop(free_packet) ? free_packet : nullptr;
    }

    /// Returns a buffer that came from `acquire` to the pool.
    void release(net::packet* used) { free_.bounded_push(used); }

private:
    std::vector<std::unique_ptr<net::packet>> packets_;
    boost::lockfree::stack<net::packet*> free_;
};

} // namespace galenabay::daemon
