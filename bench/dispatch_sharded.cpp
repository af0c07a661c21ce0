// This project's dispatchers under the simulated workload.

#include "dispatch_simulation.hpp"

#include <galenabay/base/hash.hpp>
#include <galenabay/dispatch/dispatcher.hpp>

#include <map>
#include <set>
#include <unordered_map>

namespace galenabay::bench
{

namespace
{

using namespace dispatch;

constexpr base::duration warm_up = 50s;
/// Time simulated after the last arrival: longer than the default deadline, so
/// that every request ends.
constexpr base::duration drain_time = 6s;
constexpr base::duration tick_interval = 10ms;
/// Assumed sizes of the messages between hosts.
constexpr std::uint64_t intent_bytes = 90;
constexpr std::uint64_t relay_bytes = 160;
constexpr std::uint8_t code_content = 0x45;
constexpr std::uint8_t code_unavailable = 0xa3;

/// Connects one dispatcher per host with the workload and the upstreams.
class sharded_simulation
{
public:
    sharded_simulation(const fleet_layout& layout, const offered_load& offered)
        : layout_{layout}, offered_{offered}, source_{loop_, layout_, offered_,
                                                      [this](const job& submitted) { on_arrival(submitted); }}
    {
        make_service();
        for (std::size_t h = 0; h < layout.hosts; ++h)
        {
            dispatcher_settings settings;
            settings.self = host_name(h);
            settings.data_centre = data_centre_name(layout.data_centre_of_host(h));
            settings.seed = offered.seed;
            settings.pause_limit = 2 * warm_up;
            hosts_.emplace_back(settings);
            hosts_.back().on_hosts(live_hosts_seen_by(h, false), loop_.now());
            hosts_.back().on_revision(revision_, loop_.now());
            hosts_.back().on_tick(loop_.now());
        }
        loop_.run_until(base::time_point{warm_up});
        for (std::size_t h = 0; h < layout.hosts; ++h)
        {
            hosts_[h].on_hosts(live_hosts_seen_by(h, offered.hosts_disagree), loop_.now());
            tick(h);
        }
    }

    outcome simulate()
    {
        source_.start();
        loop_.run_until(base::time_point{warm_up + offered_.length});
        for (const auto& upstream : upstreams_)
        {
            result_.busy_us.push_back(upstream->busy_us());
        }
        loop_.run_until(base::time_point{warm_up + offered_.length + drain_time});
        for (const auto& host : hosts_)
        {
            for (const std::uint64_t count : host.counters().retried)
            {
                result_.extra_requests += count;
            }
        }
        return std::move(result_);
    }

private:
    static std::string host_name(std::size_t host) { return "host" + std::to_string(host); }
    static std::string data_centre_name(std::size_t index) { return "dc" + std::to_string(index); }

    void make_service()
    {
        service_.name = "queue";
        service_.kind = config::service_kind::coap;
        service_.address = base::endpoint::make_v4(0x0a000001, 5683);
        for (std::size_t u = 0; u < layout_.upstreams; ++u)
        {
            config::upstream target;
            target.name = "u" + std::to_string(u);
            target.endpoint = base::endpoint::make_v4(0x0a010000U + static_cast<std::uint32_t>(u), 7000);
            target.data_centre = data_centre_name(layout_.data_centre_of_upstream(u));
            target.slots = layout_.slots;
            service_.upstreams.push_back(target);
            upstreams_.push_back(
                std::make_unique<upstream_model>(loop_, offered_, layout_.slots, offered_.seed * 100 + u));
        }
        revision_.number = 1;
        revision_.set.services = {service_};
    }

    /// Returns the hosts that `viewer` considers live. With `disagree`, every
    /// second host considers host 0 failed.
    std::vector<membership::live_host> live_hosts_seen_by(std::size_t viewer, bool disagree) const
    {
        std::vector<membership::live_host> live;
        for (std::size_t h = 0; h < layout_.hosts; ++h)
        {
            if (!disagree || h != 0 || viewer % 2 == 0)
            {
                const std::string name = host_name(h);
                live.push_back({name, data_centre_name(layout_.data_centre_of_host(h)), base::hash_text(name), {}});
            }
        }
        return live;
    }

    void tick(std::size_t host)
    {
        perform(host, hosts_[host].on_tick(loop_.now()));
        loop_.schedule(tick_interval, [this, host] { tick(host); });
    }

    request request_of(const job& submitted) const
    {
        request value;
        value.service = service_id_;
        value.service_address = service_.address;
        value.caller = base::endpoint::make_v4(0x0a800000U + submitted.caller, 5000);
        value.token = submitted.id;
        value.token_length = 8;
        value.message_id = static_cast<std::uint16_t>(submitted.id);
        value.method = submitted.kind;
        value.path = submitted.path;
        value.key = base::mix(offered_.seed, submitted.id);
        return value;
    }

    void on_arrival(const job& submitted)
    {
        ++result_.offered;
        result_.regular_offered += submitted.is_flood ? 0 : 1;
        const request value = request_of(submitted);
        jobs_.emplace(value.key, submitted);
        perform(submitted.host, hosts_[submitted.host].on_request(value, false, loop_.now()));
    }

    std::size_t index_of(const std::string& host) const { return std::stoul(host.substr(4)); }

    base::duration one_way_delay(std::size_t a, std::size_t b) const
    {
        return layout_.data_centre_of_host(a) == layout_.data_centre_of_host(b) ? local_delay : remote_delay;
    }

    void perform(std::size_t host, const actions& list)
    {
        for (const auto& item : list)
        {
            std::visit([&](const auto& value) { apply(host, value); }, item);
        }
    }

    void apply(std::size_t host, const send_to_upstream& sent)
    {
        const std::size_t index = sent.upstream.v4() - 0x0a010000U;
        const bool is_local = layout_.data_centre_of_host(host) == layout_.data_centre_of_upstream(index);
        const base::duration delay = is_local ? local_delay : remote_delay;
        const auto started = std::make_shared<run>();
        started->submitted = jobs_.at(sent.key);
        started->on_done = [this, host, sent, delay](bool refused)
        { loop_.schedule(delay, [this, host, sent, refused] { return_answer(host, sent, refused); }); };
        runs_[{sent.key, index}] = started;
        loop_.schedule(delay,
                       [this, started, index, key = sent.key]
                       {
                           const bool is_repeated = !ran_.insert(key).second;
                           result_.double_runs += is_repeated && !is_idempotent(started->submitted.kind) ? 1 : 0;
                           result_.false_refusals += refused_.contains(key) ? 1 : 0;
                           upstreams_[index]->accept(started);
                       });
    }

    void return_answer(std::size_t host, const send_to_upstream& sent, bool refused)
    {
        const request submitted = request_of(jobs_.at(sent.key));
        answer value;
        value.service_address = sent.service_address;
        value.caller = sent.caller;
        value.upstream = sent.upstream;
        value.token = submitted.token;
        value.token_length = submitted.token_length;
        value.message_id = submitted.message_id;
        value.piggybacked = true;
        value.code = refused ? code_unavailable : code_content;
        if (refused)
        {
            ran_.erase(sent.key);
        }
        perform(host, hosts_[host].on_answer(value, loop_.now()));
    }

    void apply(std::size_t /*host*/, const cancel_at_upstream& cancel)
    {
        const std::size_t index = cancel.upstream.v4() - 0x0a010000U;
        if (const auto position = runs_.find({cancel.key, index}); position != runs_.end())
        {
            loop_.schedule(local_delay,
                           [this, index, target = position->second] { upstreams_[index]->cancel(target); });
        }
    }

    void apply(std::size_t /*host*/, const deliver& reply)
    {
        const job& submitted = jobs_.at(reply.key);
        if (!ended_.insert(reply.key).second)
        {
            return;
        }
        ++result_.answered;
        result_.regular_answered += submitted.is_flood ? 0 : 1;
        if (!had_straggler(reply.key) && !submitted.is_long)
        {
            result_.response_times_us.push_back(static_cast<double>((loop_.now() - submitted.arrived).count()));
        }
        const bool is_in_time = loop_.now() <= base::time_point{warm_up + offered_.length};
        result_.useful_work_us += is_in_time ? static_cast<double>(submitted.work.count()) : 0;
    }

    bool had_straggler(request_key key) const
    {
        for (auto position = runs_.lower_bound({key, 0}); position != runs_.end() && position->first.first == key;
             ++position)
        {
            if (position->second->is_straggler)
            {
                return true;
            }
        }
        return false;
    }

    void apply(std::size_t /*host*/, const refuse& reply)
    {
        if (!ended_.insert(reply.key).second)
        {
            return;
        }
        result_.refused += reply.known_not_run ? 1 : 0;
        result_.unknown += reply.known_not_run ? 0 : 1;
        if (reply.known_not_run)
        {
            refused_.insert(reply.key);
            result_.false_refusals += ran_.contains(reply.key) ? 1 : 0;
        }
    }

    void apply(std::size_t host, const relay_request& relayed)
    {
        result_.control_bytes += relay_bytes;
        const std::size_t to = index_of(relayed.host);
        loop_.schedule(one_way_delay(host, to), [this, to, key = relayed.key]
                       { perform(to, hosts_[to].on_request(request_of(jobs_.at(key)), true, loop_.now())); });
    }

    void apply(std::size_t host, const send_intent& intent)
    {
        result_.control_bytes += intent_bytes;
        const std::size_t to = index_of(intent.host);
        loop_.schedule(one_way_delay(host, to),
                       [this, host, to, intent] {
                           perform(to, hosts_[to].on_intent(host_name(host), intent.key, intent.upstream,
                                                            intent.sequence, loop_.now()));
                       });
    }

    void apply(std::size_t host, const send_intent_reply& reply)
    {
        result_.control_bytes += intent_bytes;
        const std::size_t to = index_of(reply.host);
        loop_.schedule(one_way_delay(host, to),
                       [this, host, to, reply] {
                           perform(to, hosts_[to].on_intent_reply(host_name(host), reply.key, reply.sequence,
                                                                  reply.accepted, loop_.now()));
                       });
    }

    event_loop loop_;
    const fleet_layout& layout_;
    const offered_load& offered_;
    config::service service_;
    config::service_id service_id_ = base::hash_text("queue");
    config::accepted_revision revision_;
    std::vector<dispatcher> hosts_;
    std::vector<std::unique_ptr<upstream_model>> upstreams_;
    std::unordered_map<request_key, job> jobs_;
    std::map<std::pair<request_key, std::size_t>, std::shared_ptr<run>> runs_;
    std::set<request_key> ran_;
    std::set<request_key> refused_;
    std::set<request_key> ended_;
    outcome result_;
    workload source_;
};

} // namespace

outcome run_sharded(const fleet_layout& layout, const offered_load& offered)
{
    return sharded_simulation{layout, offered}.simulate();
}

} // namespace galenabay::bench
