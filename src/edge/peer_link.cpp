#include "peer_link.hpp"

#include <galenabay/base/log.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace galenabay::edge
{

namespace
{

/// Interval of statuses within a data centre: three of them fit into the time after which
/// a host is not live.
constexpr base::duration local_status_interval = std::chrono::milliseconds{500};
/// Interval of statuses to other data centres: longer, since load changes slowly there
/// and traffic between data centres is paid for.
constexpr base::duration remote_status_interval = std::chrono::milliseconds{1'000};
/// Largest number of loads in a status, so that it fits into a datagram.
constexpr std::size_t max_loads = 96;
/// Largest number of registrations in a datagram, of about 100 bytes each.
constexpr std::size_t max_entries = 8;

/// Returns the part of `changes` that starts at entry `begin`; `previous` is the revision
/// of the part before, so that a receiver detects a lost part.
peers::upstream_changes part_of(const peers::upstream_changes& changes, std::size_t begin, std::uint64_t previous)
{
    const auto end = std::min(begin + max_entries, changes.entries.size());
    const bool is_last = end == changes.entries.size();
    peers::upstream_changes part;
    part.entries.assign(changes.entries.begin() + static_cast<std::ptrdiff_t>(begin),
                        changes.entries.begin() + static_cast<std::ptrdiff_t>(end));
    part.previous_revision = previous;
    part.revision = is_last ? changes.revision : part.entries.back().revision;
    if (is_last)
    {
        part.removed = changes.removed;
    }
    return part;
}

} // namespace

peer_link::peer_link(net::udp_socket socket, peers::peer_view view, edge_metrics& metrics)
    : socket_{std::move(socket)}, view_{std::move(view)}, metrics_{metrics}, buffers_(net::batch_size)
{
}

void peer_link::on_listed(const std::string& name, const base::endpoint& address, base::time_point now)
{
    view_.on_listed(name, address, now);
    next_local_status_ = now;
    next_remote_status_ = now;
}

bool peer_link::receive(base::time_point now, const std::function<void(const peers::upstream_changes&)>& on_changes)
{
    std::array<net::packet*, net::batch_size> batch{};
    std::transform(buffers_.begin(), buffers_.end(), batch.begin(), [](net::packet& buffer) { return &buffer; });
    const auto got = net::receive_batch(socket_.descriptor(), batch);
    bool any_status = false;
    for (std::size_t i = 0; i < got.received; ++i)
    {
        const auto decoded = peers::decode_message(batch[i]->payload());
        if (!decoded)
        {
            metrics_.malformed_packets.Increment();
            continue;
        }
        metrics_.peer_messages.Increment();
        if (const auto* status = std::get_if<peers::host_status>(&decoded.value()); status != nullptr)
        {
            any_status = view_.on_status(*status, batch[i]->peer, now) || any_status;
        }
        else
        {
            on_changes(std::get<peers::upstream_changes>(decoded.value()));
        }
    }
    return any_status;
}

void peer_link::send_status(peers::host_status status, bool urgent, base::time_point now)
{
    const auto heavier = [](const peers::upstream_load& a, const peers::upstream_load& b)
    { return a.flows + a.open_requests > b.flows + b.open_requests; };
    std::sort(status.loads.begin(), status.loads.end(), heavier);
    status.loads.resize(std::min(status.loads.size(), max_loads));
    status.sequence = ++sequence_;
    const auto bytes = peers::encode(status);
    if (urgent || now >= next_local_status_)
    {
        next_local_status_ = now + local_status_interval;
        send(bytes, view_.addresses(true));
    }
    if (urgent || now >= next_remote_status_)
    {
        next_remote_status_ = now + remote_status_interval;
        send(bytes, view_.addresses(false));
    }
}

void peer_link::send_changes(const peers::upstream_changes& changes)
{
    auto sorted = changes;
    std::sort(sorted.entries.begin(), sorted.entries.end(),
              [](const auto& a, const auto& b) { return a.revision < b.revision; });
    auto previous = sorted.previous_revision;
    for (std::size_t begin = 0; begin == 0 || begin < sorted.entries.size(); begin += max_entries)
    {
        const auto part = part_of(sorted, begin, previous);
        previous = part.revision;
        const auto bytes = peers::encode(part);
        send(bytes, view_.addresses(true));
        send(bytes, view_.addresses(false));
    }
}

void peer_link::send(const std::vector<std::byte>& bytes, const std::vector<base::endpoint>& to)
{
    for (std::size_t begin = 0; begin < to.size(); begin += buffers_.size())
    {
        std::array<net::packet*, net::batch_size> batch{};
        const auto count = std::min(buffers_.size(), to.size() - begin);
        for (std::size_t i = 0; i < count; ++i)
        {
            batch[i] = &buffers_[i];
            batch[i]->peer = to[begin + i];
            if (!batch[i]->assign(bytes))
            {
                metrics_.send_failures.Increment();
                return;
            }
        }
        if (net::send_batch(socket_.descriptor(), std::span{batch}.first(count)) < count)
        {
            // The next status replaces a lost one, and hosts read the changes that they missed.
            metrics_.send_failures.Increment();
        }
    }
}

} // namespace galenabay::edge
