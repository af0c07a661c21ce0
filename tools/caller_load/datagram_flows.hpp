#pragma once

#include "host_list.hpp"
#include "settings.hpp"
#include "summary.hpp"

#include "../stand_in/datagram_socket.hpp"

#include <galenabay/base/result.hpp>
#include <galenabay/base/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace galenabay::stand_in
{

/// Sends datagrams in opaque flows, one socket each, and reports a flow whose echoes come
/// from another upstream. Owned by one thread.
class datagram_flows
{
public:
    /// Opens the sockets. `hosts` and `results` must outlive the flows. Errors: `io_failure`.
    static base::result<datagram_flows> make(const load_settings& settings, host_list& hosts, summary& results,
                                             base::time_point now);

    std::size_t size() const noexcept { return flows_.size(); }
    int descriptor(std::size_t index) const { return flows_[index].socket.descriptor(); }
    void on_readable(std::size_t index, base::time_point now);
    void on_tick(base::time_point now);

private:
    struct flow
    {
        datagram_socket socket;
        target_service service;
        std::string upstream;
        std::uint64_t sent = 0;
        base::time_point next_send;
    };

    datagram_flows(host_list& hosts, summary& results) : hosts_{&hosts}, results_{&results} {}

    host_list* hosts_;
    summary* results_;
    std::vector<flow> flows_;
};

} // namespace galenabay::stand_in
