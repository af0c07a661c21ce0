#include "send_duty.hpp"

#include <algorithm>
#include <chrono>
#include <span>

namespace galenabay::daemon
{

namespace
{

constexpr std::size_t collected_at_most = 256;
constexpr std::chrono::milliseconds idle_wait{100};

} // namespace

send_duty::send_duty(channels& links, packet_pool& pool, metric_board& metrics, const thread_state& state)
    : links_{links}, pool_{pool}, metrics_{metrics}, state_{state}, reach_{std::make_shared<reach_table>()},
      cut_{std::make_shared<cut_addresses>()}
{
    batch_.reserve(collected_at_most);
}

void send_duty::apply(const send_rules& rules)
{
    if (const auto* reach = std::get_if<std::shared_ptr<const reach_table>>(&rules))
    {
        reach_ = *reach;
    }
    if (const auto* cut = std::get_if<std::shared_ptr<const cut_addresses>>(&rules))
    {
        cut_ = *cut;
    }
}

bool send_duty::may_leave(const packet& waiting)
{
    if (waiting.to_upstream && !reach_->allows(waiting.decided_service, waiting.service, waiting.peer))
    {
        metrics_.add(metric::dropped_wrong_service);
        return false;
    }
    if (!cut_->empty() && cut_->contains(waiting.peer.address_string()))
    {
        metrics_.add(metric::dropped_cut);
        return false;
    }
    return true;
}

void send_duty::apply_rules()
{
    for (send_rules rules; links_.decide_to_send_rules.pop(rules);)
    {
        apply(rules);
    }
    for (send_rules rules; links_.control_to_send_rules.pop(rules);)
    {
        apply(rules);
    }
}

bool send_duty::collect()
{
    batch_.clear();
    packet* waiting = nullptr;
    while (batch_.size() < collected_at_most && links_.decide_to_send.pop(waiting))
    {
        batch_.push_back(waiting);
    }
    // The rules of a packet were pushed before the packet, so rules read after
    // the packets are at least as new.
    apply_rules();
    const auto kept =
        std::stable_partition(batch_.begin(), batch_.end(), [&](packet* each) { return may_leave(*each); });
    std::for_each(kept, batch_.end(), [&](packet* refused) { pool_.give_back(refused); });
    batch_.erase(kept, batch_.end());
    return !batch_.empty();
}

void send_duty::flush_run(std::size_t begin, std::size_t end)
{
    const int descriptor = batch_[begin]->socket;
    while (begin < end)
    {
        const std::size_t count = std::min(end - begin, batch_size);
        const std::size_t sent = send_batch(descriptor, std::span{batch_}.subspan(begin, count));
        if (sent == 0)
        {
            metrics_.add(metric::dropped_send_failed);
        }
        begin += std::max<std::size_t>(sent, 1);
    }
}

void send_duty::flush()
{
    std::size_t begin = 0;
    for (std::size_t i = 1; i <= batch_.size(); ++i)
    {
        if (i == batch_.size() || batch_[i]->socket != batch_[begin]->socket)
        {
            flush_run(begin, i);
            begin = i;
        }
    }
    for (packet* sent : batch_)
    {
        pool_.give_back(sent);
    }
}

void send_duty::run()
{
    while (!state_.stop.load(std::memory_order_relaxed))
    {
        if (collect())
        {
            flush();
            continue;
        }
        links_.send_waker.prepare();
        if (collect())
        {
            links_.send_waker.cancel();
            flush();
            continue;
        }
        links_.send_waker.wait(idle_wait);
    }
}

} // namespace galenabay::daemon
