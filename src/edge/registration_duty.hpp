#pragma once

#include "edge_metrics.hpp"
#include "shared_state.hpp"
#include "store_update.hpp"

#include <galenabay/net/waker.hpp>

#include <string>
#include <thread>

namespace galenabay::edge
{

/// Writes this host's address into the platform's store and reads those of the
/// others, once at the start, on a thread of its own. Hosts that start later write
/// to those that they find, so no host needs to read again.
class registration_duty
{
public:
    /// `updates` and `consumer` belong to the packet thread and outlive the duty.
    registration_duty(std::string name, const base::endpoint& address, shared_state& state, edge_metrics& metrics,
                      update_ring& updates, net::waker& consumer);
    registration_duty(const registration_duty&) = delete;
    registration_duty& operator=(const registration_duty&) = delete;
    ~registration_duty();

private:
    void run();
    base::result<void> register_and_list();

    std::string name_;
    base::endpoint address_;
    shared_state& state_;
    edge_metrics& metrics_;
    update_ring& updates_;
    net::waker& consumer_;
    std::thread thread_;
};

} // namespace galenabay::edge
