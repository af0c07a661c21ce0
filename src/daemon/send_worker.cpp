#include "send_worker.hpp"

#include <algorithm>
#include <chrono>
#include <span>

namespace galenabay::daemon
{

namespace
{

constexpr std::size_t max_collected_packets = 256;
constexpr std::chrono::milliseconds idle_wait{100};

} // namespace

send_worker::send_worker(channels& links, packet_pool& pool, metric_table& metrics, const thread_state& state)
    : links_{links}, pool_{pool}, metrics_{metrics}, state_{state},
      allowlist_{std::make_shared<upstream_allowlist>()}, blocked_{std::make_shared<blocked_addresses>()}
{
    batch_.reserve(max_collected_packets);
}

void send_worker::apply(const address_rules& rules)
{
    if (const auto* allowlist = std::get_if<std::shared_ptr<const upstream_allowlist>>(&rules))
    {
        allowlist_ = *allowlist;
    }
    if (const auto* blocked = std::get_if<std::shared_ptr<const blocked_addresses>>(&rules))
    {
        blocked_ = *blocked;
    }
}

bool send_worker::is_allowed(const net::packet& waiting)
{
    if (waiting.to_upstream && !allowlist_->allows(waiting.decided_service, waiting.service, waiting.peer))
    {
        metrics_.add(metric::dropped_wrong_service);
        return false;
    }
    if (!blocked_->empty() && blocked_->contains(waiting.peer.address_string()))
    {
        metrics_.add(metric::dropped_cut);
        return false;
    }
    return true;
}

void send_worker::apply_rules()
{
    for (address_rules rules; links_.decide_to_send_rules.pop(rules);)
    {
        apply(rules);
    }
    for (address_rules rules; links_.control_to_send_rules.pop(rules);)
    {
        apply(rules);
    }
}

bool send_worker::collect()
{
    batch_.clear();
    net::packet* waiting = nullptr;
    while (batch_.size() < max_collected_packets && links_.decide_to_send.pop(waiting))
    {
        batch_.push_back(waiting);
    }
    // The rules of a packet were pushed before the packet, so rules read after
    // the packets are at least as new.
    apply_rules();
    const auto kept =
        std::stable_partition(batch_.begin(), batch_.end(), [&](net::packet* each) { return is_allowed(*each); });
    std::for_each(kept, batch_.end(), [&](net::packet* refused) { pool_.release(refused); });
    batch_.erase(kept, batch_.end());
    return !batch_.empty();
}

void send_worker::send_run(std::size_t begin, std::size_t end)
{
    const int descriptor = batch_[begin]->socket;
    while (begin < end)
    {
        const std::size_t count = std::min(end - begin, net::batch_size);
        const std::size_t sent = net::send_batch(descriptor, std::span{batch_}.subspan(begin, count));
        if (sent == 0)
        {
            metrics_.add(metric::dropped_send_failed);
        }
        begin += std::max<std::size_t>(sent, 1);
    }
}

void send_worker::send_collected()
{
    std::size_t begin = 0;
    for (std::size_t i = 1; i <= batch_.size(); ++i)
    {
        if (i == batch_.size() || batch_[i]->socket != batch_[begin]->socket)
        {
            send_run(begin, i);
            begin = i;
        }
    }
    for (net::packet* sent : batch_)
    {
        pool_.release(sent);
    }
}

void send_worker::run()
{
    while (!state_.stop.load(std::memory_order_relaxed))
    {
        if (collect())
        {
            send_collected();
            continue;
        }
        links_.send_wakeup.prepare();
        if (collect())
        {
            links_.send_wakeup.cancel();
            send_collected();
            continue;
        }
        links_.send_wakeup.wait(idle_wait);
    }
}

} // namespace galenabay::daemon
