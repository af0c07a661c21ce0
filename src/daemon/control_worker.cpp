#include "control_worker.hpp"

#include "counting_stream.hpp"

#include <galenabay/base/log.hpp>
#include <galenabay/base/steady_clock.hpp>
#include <galenabay/config/codec.hpp>
#include <galenabay/dispatch/dispatcher.hpp>
#include <galenabay/revision/watcher.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace galenabay::daemon
{

namespace
{

const auto tick_interval = 20 * kj::MILLISECONDS;
constexpr base::duration list_interval{2'000'000};
/// A longer gap between two ticks means that the process was paused.
constexpr base::duration pause_limit{1'000'000};
/// After a pause, a host that receives no peer's report resumes serving after this time.
constexpr base::duration resume_without_peers_timeout{5'000'000};
/// A starting host waits at most this long until it has attempted a heartbeat with every peer.
constexpr base::duration start_without_peers_timeout{5'000'000};

/// Returns the wall-clock time in microseconds, so that a restarted process has a larger incarnation.
std::uint64_t incarnation_now()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

membership::member_settings member_settings_of(const config::host_settings& settings)
{
    return {settings.name, settings.data_centre, settings.peer_timeout, pause_limit};
}

std::vector<membership::listed_host> configured_peers(const config::host_settings& settings)
{
    std::vector<membership::listed_host> rows;
    for (const auto& peer : settings.peers)
    {
        rows.push_back({peer.name, peer.data_centre, peer.control, peer.relay, false});
    }
    return rows;
}

} // namespace

control_worker::control_worker(const config::host_settings& settings, std::uint64_t seed, channels& links,
                               metric_table& metrics, thread_state& state, platform_worker& platform_watch,
                               platform_worker& platform_calls)
    : settings_{settings}, links_{links}, metrics_{metrics}, state_{state}, platform_watch_{platform_watch},
      platform_calls_{platform_calls}, random_{seed}, members_{member_settings_of(settings)},
      follower_{revision::follower_settings{.seed = seed}}, status_{settings, incarnation_now(), seed + 1,
                                                                    platform_calls, metrics}
{
    self_.name = settings.name;
    self_.data_centre = settings.data_centre;
    self_.incarnation = incarnation_now();
    self_.control = settings.address.with_port(settings.control_port);
    self_.relay = settings.address.with_port(settings.relay_port);
}

control_worker::~control_worker() noexcept = default;

std::uint64_t control_worker::revision_number() const
{
    const auto* current = follower_.current();
    return current == nullptr ? 0 : current->number;
}

void control_worker::task_log::taskFailed(kj::Exception&& failure)
{
    base::log_event{base::log_level::debug, "control_task_failed"}.with("detail", failure.getDescription().cStr());
}

void control_worker::carry_out(const revision::actions& decided, base::time_point now)
{
    for (const auto& each : decided)
    {
        if (const auto* platform = std::get_if<revision::fetch_from_platform>(&each))
        {
            platform_watch_.submit(watch_request{platform->after, platform->wait});
        }
        else if (const auto* peer = std::get_if<revision::fetch_from_peer>(&each))
        {
            fetch_from_peer(peer->host, peer->after);
        }
        else if (std::holds_alternative<revision::adopt>(each))
        {
            adopt(now);
        }
        else if (const auto* alarm = std::get_if<revision::raise_alarm>(&each))
        {
            metrics_.add(metric::revision_alarms);
            base::log_event{base::log_level::error, "revision_alarm"}
                .with("peer", alarm->source)
                .with("offered", alarm->offered)
                .with("in_force", alarm->in_force);
        }
    }
}

void control_worker::adopt(base::time_point now)
{
    const auto* current = follower_.current();
    log_.add(log_.latest() == nullptr ? nullptr : &previous_, *current);
    previous_ = *current;
    links_.control_to_decide.push(revision_event{std::make_shared<const config::accepted_revision>(*current)});
    links_.decide_wakeup.notify();
    self_.revision = current->number;
    base::log_event{base::log_level::info, "revision_adopted"}
        .with("revision", current->number)
        .with("digest", config::to_hex(current->digest).substr(0, 12))
        .with("author", current->author);
    for (auto& [name, peer] : peers_)
    {
        peer.next_heartbeat = now;
    }
    published_blocked_ = nullptr;
}

void control_worker::fetch_from_peer(const std::string& host, std::uint64_t after)
{
    const auto found = peers_.find(host);
    if (found == peers_.end())
    {
        carry_out(follower_.on_peer_failure(host, base::steady_now()), base::steady_now());
        return;
    }
    auto fetching = found->second.link->fetch_revision(after).then(
        [this, host](std::vector<std::byte> bytes)
        {
            const auto now = base::steady_now();
            const auto offered = config::decode_update(follower_.current(), bytes);
            if (offered)
            {
                carry_out(follower_.on_peer_revision(host, offered.value(), now), now);
                return;
            }
            metrics_.add(metric::revision_failed_fetches);
            carry_out(follower_.on_peer_failure(host, now), now);
        },
        [this, host](kj::Exception&&)
        {
            metrics_.add(metric::revision_failed_fetches);
            carry_out(follower_.on_peer_failure(host, base::steady_now()), base::steady_now());
        });
    tasks_->add(kj::mv(fetching));
}

void control_worker::handle(const platform_event& event, base::time_point now)
{
    if (const auto* read = std::get_if<revision_read>(&event))
    {
        carry_out(follower_.on_platform_revision(*read->revision, now), now);
    }
    else if (std::holds_alternative<revision_unchanged>(event))
    {
        carry_out(follower_.on_platform_unchanged(now), now);
    }
    else if (const auto* failed = std::get_if<revision_failed>(&event))
    {
        base::log_event{base::log_level::debug, "platform_watch_failed"}.with(failed->failure);
        carry_out(follower_.on_platform_failure(now), now);
    }
    else if (const auto* listed = std::get_if<hosts_listed>(&event))
    {
        host_list_received_ = true;
        members_.on_platform_list(listed->hosts, now);
        remove_unlisted_hosts(now);
    }
    else
    {
        status_.handle(event, now);
    }
}

void control_worker::take_platform_events(base::time_point now)
{
    for (platform_event event; platform_watch_.poll(event);)
    {
        handle(event, now);
    }
    for (platform_event event; platform_calls_.poll(event);)
    {
        handle(event, now);
    }
}

void control_worker::request_host_list(base::time_point now)
{
    if (now >= next_list_)
    {
        const auto jitter = static_cast<std::int64_t>(random_.below(list_interval.count() / 4));
        next_list_ = now + list_interval + base::duration{jitter};
        platform_calls_.submit(list_hosts_request{});
    }
}

bool control_worker::is_startup_complete(base::time_point now) const
{
    // The dispatcher delays its decisions during the settle time, so the host is not ready before it ends.
    return now - started_ >= dispatch::dispatcher_settings{}.settle_time && has_attempted_peers(now);
}

bool control_worker::has_attempted_peers(base::time_point now) const
{
    if (now - started_ > start_without_peers_timeout)
    {
        return true;
    }
    const auto contacts = members_.contacts(now);
    const bool peers_listed = host_list_received_ || !settings_.peers.empty();
    return peers_listed && std::all_of(contacts.begin(), contacts.end(),
                                       [&](const membership::listed_host& row)
                                       {
                                           const auto found = peers_.find(row.name);
                                           return found != peers_.end() && found->second.attempted;
                                       });
}

void control_worker::update_self(base::time_point now)
{
    self_.platform_reachable = follower_.platform_reachable();
    metrics_.set(metric::platform_reachable, self_.platform_reachable ? 1 : 0);
    if (leaving_)
    {
        self_.state = membership::host_state::leaving;
    }
    else if (self_.state == membership::host_state::starting && state_.serving.load() && is_startup_complete(now))
    {
        self_.state = membership::host_state::ready;
        base::log_event{base::log_level::info, "host_ready"}.with("revision", self_.revision);
        for (auto& [name, peer] : peers_)
        {
            peer.next_heartbeat = now;
        }
    }
    metrics_.set(metric::ready, self_.state == membership::host_state::ready ? 1 : 0);
    members_.set_self(self_);
}

void control_worker::publish_hosts(base::time_point now)
{
    auto hosts = members_.deciding_hosts(now);
    if (hosts == published_hosts_)
    {
        return;
    }
    std::string names;
    for (const auto& host : hosts)
    {
        names += (names.empty() ? "" : ",") + host.name;
    }
    base::log_event{base::log_level::info, "hosts_changed"}.with("count", hosts.size()).with("hosts", names);
    published_hosts_ = hosts;
    update_watch_role(hosts);
    links_.control_to_decide.push(hosts_event{std::move(hosts)});
    links_.decide_wakeup.notify();
}

void control_worker::update_watch_role(const std::vector<membership::live_host>& hosts)
{
    std::vector<std::string> neighbours;
    for (const auto& host : hosts)
    {
        if (host.data_centre == settings_.data_centre)
        {
            neighbours.push_back(host.name);
        }
    }
    follower_.set_watching(revision::is_watcher(neighbours, settings_.name));
}

void control_worker::publish_listed_hosts(base::time_point now)
{
    auto hosts = members_.contacts(now);
    hosts.push_back({self_.name, self_.data_centre, self_.control, self_.relay, leaving_});
    std::sort(hosts.begin(), hosts.end());
    if (hosts != published_list_)
    {
        published_list_ = hosts;
        links_.control_to_decide.push(listed_event{std::move(hosts)});
    }
}

void control_worker::handle_pauses(base::time_point now)
{
    if (members_.on_tick(now))
    {
        state_.pauses.fetch_add(1);
    }
    if (const auto pauses = state_.pauses.load(); pauses != handled_pauses_)
    {
        handled_pauses_ = pauses;
        open_pause_ = pauses;
        pause_noticed_ = now;
        report_since_pause_ = false;
        for (auto& [name, peer] : peers_)
        {
            peer.next_heartbeat = now;
        }
    }
    const bool alone = members_.contacts(now).empty() || now - pause_noticed_ > resume_without_peers_timeout;
    if (open_pause_ != 0 && (report_since_pause_ || alone))
    {
        base::log_event{base::log_level::info, "pause_recovered"}.with("report_received", report_since_pause_ ? 1 : 0);
        publish_hosts(now);
        links_.control_to_decide.push(resumed_event{open_pause_});
        open_pause_ = 0;
    }
}

void control_worker::apply_partition(base::time_point now)
{
    if (reload_.exchange(false))
    {
        partition_ = simulated_partition::read(settings_.drop_peers_file);
        platform_watch_.set_partitioned(partition_.has_platform());
        platform_calls_.set_partitioned(partition_.has_platform());
        published_blocked_ = nullptr;
    }
    if (published_blocked_ == nullptr)
    {
        published_blocked_ = partition_.addresses(members_.contacts(now), follower_.current());
        links_.control_to_send_rules.push(published_blocked_);
        links_.control_to_receive_rules.push(published_blocked_);
        links_.receive_wakeup.notify();
        links_.send_wakeup.notify();
    }
}

void control_worker::begin_leaving(base::time_point now)
{
    if (leaving_ || !state_.leaving.load())
    {
        return;
    }
    leaving_ = true;
    update_self(now);
    publish_hosts(now);
    links_.control_to_decide.push(leave_event{});
    links_.decide_wakeup.notify();
    for (auto& [name, peer] : peers_)
    {
        if (!peer.link->busy())
        {
            send_heartbeat(name, peer, now);
        }
    }
}

void control_worker::tick(base::time_point now)
{
    handle_pauses(now);
    take_platform_events(now);
    carry_out(follower_.on_tick(now), now);
    request_host_list(now);
    update_peers(now);
    take_outgoing_records();
    begin_leaving(now);
    update_self(now);
    send_heartbeats(now);
    publish_listed_hosts(now);
    publish_hosts(now);
    apply_partition(now);
    status_.tick(members_, now);
}

kj::Promise<void> control_worker::accept_loop(kj::ConnectionReceiver& receiver, capnp::TwoPartyServer& server)
{
    return receiver.accept().then(
        [this, &receiver, &server](kj::Own<kj::AsyncIoStream> connection)
        {
            server.accept(kj::heap<counting_stream>(kj::mv(connection), metrics_));
            return accept_loop(receiver, server);
        });
}

void control_worker::run()
{
    auto io = kj::setupAsyncIo();
    io_ = &io;
    tasks_ = kj::heap<kj::TaskSet>(task_log_);
    auto& network = io.provider->getNetwork();
    auto address = network.parseAddress(self_.control.to_string()).wait(io.waitScope);
    auto receiver = address->listen();
    capnp::TwoPartyServer server{kj::heap<peer_server>(static_cast<peer_handler&>(*this))};
    tasks_->add(accept_loop(*receiver, server));
    started_ = base::steady_now();
    members_.on_platform_list(configured_peers(settings_), started_);
    auto& timer = io.provider->getTimer();
    while (!state_.stop.load(std::memory_order_relaxed))
    {
        timer.afterDelay(tick_interval).wait(io.waitScope);
        tick(base::steady_now());
    }
    tasks_ = nullptr;
    peers_.clear();
    io_ = nullptr;
}

} // namespace galenabay::daemon
