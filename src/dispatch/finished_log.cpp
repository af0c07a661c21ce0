#include "finished_log.hpp"

namespace galenabay::dispatch
{

namespace
{

constexpr std::size_t max_reply_bytes = 32U << 20U;
constexpr std::size_t max_keys = 1U << 20U;

std::size_t bytes_of(const std::optional<final_reply>& reply)
{
    if (!reply)
    {
        return 0;
    }
    const auto* answered = std::get_if<deliver>(&*reply);
    return sizeof(final_reply) + (answered != nullptr && answered->bytes ? answered->bytes->size() : 0);
}

} // namespace

finished_log::finished_log(base::duration reply_retention, base::duration key_retention)
    : reply_retention_{reply_retention}, key_retention_{key_retention}
{
}

void finished_log::add(request_key key, const final_reply& reply, base::time_point now)
{
    const auto [place, added] = entries_.try_emplace(key, reply);
    if (!added)
    {
        return;
    }
    reply_bytes_ += bytes_of(place->second);
    with_reply_.push_back({key, now});
    while (reply_bytes_ > max_reply_bytes)
    {
        drop_oldest_reply();
    }
}

std::optional<final_reply> finished_log::reply(request_key key) const
{
    const auto place = entries_.find(key);
    return place == entries_.end() ? std::nullopt : place->second;
}

void finished_log::on_tick(base::time_point now)
{
    while (!with_reply_.empty() && now - with_reply_.front().added > reply_retention_)
    {
        drop_oldest_reply();
    }
    while (!without_reply_.empty() &&
           (now - without_reply_.front().added > key_retention_ || without_reply_.size() > max_keys))
    {
        entries_.erase(without_reply_.front().key);
        without_reply_.pop_front();
    }
}

void finished_log::drop_oldest_reply()
{
    const timestamped_key oldest = with_reply_.front();
    with_reply_.pop_front();
    auto& reply = entries_.at(oldest.key);
    reply_bytes_ -= bytes_of(reply);
    reply.reset();
    without_reply_.push_back(oldest);
}

} // namespace galenabay::dispatch
