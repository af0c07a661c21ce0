#pragma once

#include "host_ranks.hpp"
#include "steer_fixture.hpp"
#include "syn_record.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace galenabay::steer::test
{

/// Hosts of two data centres, upstreams that start again and again, and one store, in virtual time.
/// Counts the SYNs that each incarnation gets from all hosts.
class starting_fleet
{
public:
    static constexpr std::size_t upstream_count = 6;

    struct settings
    {
        steer::configuration configuration;
        /// Hosts, links and the store fail, and upstreams start again.
        bool faults = false;
        std::size_t hosts = 20;
        /// New flows of each host; 0 for one in each step.
        double flows_per_second = 0;
        double overshoot = 1;
        double slack = 0;
        /// Longest time that a SYN takes to its upstream.
        base::duration link_delay{0};
        /// Hosts pass on SYNs for which they have no token.
        bool relays = true;
    };

    starting_fleet(settings what, std::uint64_t seed)
        : settings_{std::move(what)}, random_{seed}, packet_random_{base::mix(seed, 1)}, ranks_{settings_.hosts}
    {
        for (std::size_t i = 0; i < upstream_count; ++i)
        {
            auto entry = make_upstream("i-" + std::to_string(i + 1), i + 1);
            entry.data_centre = i % 2 == 0 ? "east" : "west";
            entries_.push_back(entry);
            restart_upstream(i);
            ranks_.add(entry.id, i % 2);
        }
        for (std::size_t i = 0; i < settings_.hosts; ++i)
        {
            hosts_.push_back({.data_centre = i % 2 == 0 ? "east" : "west", .core = {}});
            start(i);
        }
    }

    void run(base::duration time)
    {
        for (const auto end = now_ + time; now_ < end; now_ += step)
        {
            if (settings_.faults)
            {
                inject_faults();
            }
            run_due();
            for (std::size_t i = 0; i < settings_.hosts; ++i)
            {
                run_host(i);
            }
        }
    }

    const syn_record& syns() const { return syns_; }
    /// As in `syn_record`.
    int violations(double bound) const { return syns_.violations(bound); }
    std::size_t admitted() const { return syns_.admitted(); }

    /// Claims by which a later process of a host took over from an earlier one.
    int owner_changes = 0;
    /// Shares that processes other than owners got.
    int shares_adopted = 0;
    /// New flows that callers opened.
    int offered = 0;
    /// Resets for another reason than the limit.
    int refused_otherwise = 0;

private:
    static constexpr base::duration step = 10ms;

    struct host
    {
        std::string data_centre;
        std::unique_ptr<steerer> core;
        /// Number of the process, and until when it does not run.
        std::uint64_t process = 0;
        base::duration paused_until{};
        bool is_cut_off = false;
    };
    enum class store_state
    {
        working,
        unavailable,
        loses_answers,
        late_writes,
    };

    bool happens(double per_second)
    {
        return random_.unit() < per_second * std::chrono::duration<double>(step).count();
    }
    base::duration random_time(base::duration limit) { return random_time(limit, random_); }
    static base::duration random_time(base::duration limit, base::random_source& random)
    {
        return base::duration{random.below(static_cast<std::uint64_t>(limit.count()))};
    }
    bool runs(const host& one) const { return one.core && now_ >= one.paused_until; }

    void after(base::duration delay, std::function<void()> what) { due_.emplace(now_ + delay, std::move(what)); }

    void run_due()
    {
        while (!due_.empty() && due_.begin()->first <= now_)
        {
            const auto what = std::move(due_.begin()->second);
            due_.erase(due_.begin());
            what();
        }
    }

    void restart_upstream(std::size_t index)
    {
        auto& entry = entries_[index];
        entry.started_ms += 1'000;
        entry.warm_up_left = settings_.configuration.limits.front().warm_up_time;
        entry.revision = {.epoch = 1, .number = ++revision_};
        warm_at_[token_of(entry)] = now_ + entry.warm_up_left;
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            tell(i, entry);
        }
    }

    /// Tells a host of a registration, which arrives late while the host is cut off.
    void tell(std::size_t index, const upstream_entry& entry)
    {
        const auto delay = random_time(400ms) + (hosts_[index].is_cut_off ? 3s : 0s);
        after(delay,
              [this, index, entry, process = hosts_[index].process]
              {
                  if (hosts_[index].core && hosts_[index].process == process)
                  {
                      hosts_[index].core->on_upstream(entry, at(now_));
                  }
              });
    }

    void start(std::size_t index)
    {
        auto& one = hosts_[index];
        ++one.process;
        one.paused_until = {};
        one.core = std::make_unique<steerer>(steering_options{.data_centre = one.data_centre,
                                                              .max_flows = 1'000,
                                                              .warm_ups = {.self = holder(index, one.process),
                                                                           .overshoot = settings_.overshoot,
                                                                           .slack = settings_.slack}},
                                             random_());
        one.core->on_configuration(settings_.configuration);
        one.core->set_peer_count(settings_.relays ? settings_.hosts - 1 : 0);
        auto listed = entries_;
        for (auto& entry : listed)
        {
            entry.warm_up_left = std::max(warm_at_.at(token_of(entry)) - now_, base::duration{0});
        }
        one.core->on_upstream_list(listed, {.epoch = 1, .number = revision_}, at(now_));
    }

    void inject_faults()
    {
        for (std::size_t i = 0; i < upstream_count; ++i)
        {
            if (happens(0.08))
            {
                restart_upstream(i);
            }
        }
        for (std::size_t i = 0; i < settings_.hosts; ++i)
        {
            auto& one = hosts_[i];
            if (happens(0.05))
            {
                one.core.reset();
                // The system may start the next process at once.
                after(random_time(1'500ms), [this, i] { start(i); });
            }
            if (happens(0.05))
            {
                one.paused_until = now_ + 360ms + random_time(2s);
            }
            one.is_cut_off = happens(0.05) || (one.is_cut_off && !happens(0.5));
            if (happens(2))
            {
                for (std::size_t other = 0; other < settings_.hosts; ++other)
                {
                    ranks_.believed(i, other) = !one.is_cut_off && random_.unit() < 0.8 ? hosts_[other].process : 0;
                }
            }
        }
        if (happens(0.5))
        {
            constexpr std::uint64_t fault_count = 3;
            store_ =
                random_.unit() < 0.5 ? store_state::working : static_cast<store_state>(1 + random_.below(fault_count));
        }
    }

    static share_holder holder(std::size_t number, std::uint64_t process)
    {
        return {.host = std::to_string(number), .process_started_us = process};
    }

    /// Returns whom a host lists as holders, itself first.
    std::vector<share_holder> holders(std::size_t self, const warm_up_request& request)
    {
        std::vector<share_holder> listed{holder(self, hosts_[self].process)};
        for (const auto other : ranks_.first_others(self, request.id, request.max_shares - 1))
        {
            listed.push_back(holder(other, ranks_.believed(self, other)));
        }
        return listed;
    }

    /// Sends a list to its holders, with faults also by messages that are lost, late, repeated, out
    /// of order and for another host.
    void announce(const warm_up_shares& shares)
    {
        for (std::size_t i = 1; i < shares.holders.size(); ++i)
        {
            const auto to = std::stoul(shares.holders[i].host);
            if (!settings_.faults)
            {
                after(step, [this, to, shares] { deliver(to, shares); });
                continue;
            }
            for (double copy = random_.unit(); copy > 0.25; copy -= 0.25)
            {
                const auto delay = random_.unit() < 0.1 ? random_time(10s) : random_time(400ms);
                const auto index = random_.unit() < 0.1 ? random_.below(settings_.hosts) : to;
                after(delay, [this, index, shares] { deliver(index, shares); });
            }
        }
    }

    /// Delivers a list to the process that runs then, which reads it when it is no longer paused.
    void deliver(std::size_t index, const warm_up_shares& shares)
    {
        const auto& one = hosts_[index];
        if (one.core && now_ < one.paused_until)
        {
            after(one.paused_until - now_ + step, [this, index, shares] { deliver(index, shares); });
        }
        else if (one.core && one.core->on_shares(shares, at(now_)))
        {
            ++shares_adopted;
        }
    }

    void run_host(std::size_t index)
    {
        auto& one = hosts_[index];
        if (!runs(one))
        {
            return;
        }
        if (one.paused_until != base::duration{})
        {
            one.paused_until = {};
            one.core->on_pause(at(now_));
        }
        if (now_ % 100ms == 0s)
        {
            one.core->on_tick(at(now_));
            for (const auto& request : one.core->take_warm_up_requests(
                     [&](const upstream_entry& entry) { return ranks_.rank(index, entry.id); }, at(now_)))
            {
                call_store(index, request);
            }
            for (const auto& list : one.core->take_announcements(at(now_)))
            {
                announce(list);
            }
        }
        if (settings_.flows_per_second == 0 || happens(settings_.flows_per_second))
        {
            open_flow(index);
        }
    }

    /// Opens a flow; the network repeats some of the SYNs, and callers retransmit some.
    void open_flow(std::size_t index)
    {
        const auto port = next_port_++;
        ++offered;
        decide(index, syn(port));
        if (settings_.faults && random_.unit() < 0.2)
        {
            decide(index, syn(port));
            decide(random_.below(settings_.hosts), syn(port, 1));
        }
    }

    /// Passes a SYN on to a host that may have a share, with faults also lost, late, repeated and to another host.
    void pass_on(std::size_t from, const packet_header& header, const relay_target& relay)
    {
        const auto upstream = std::find_if(entries_.begin(), entries_.end(),
                                           [&](const auto& entry) { return token_of(entry) == relay.token; });
        const auto targets = upstream == entries_.end() ? std::vector<std::size_t>{}
                                                        : ranks_.first_others(from, upstream->id, relay.holders);
        if (targets.empty())
        {
            return;
        }
        syns_.on_datagram(from, now_);
        const auto to = targets[relay.lot % targets.size()];
        const steerer::relayed_syn relayed{.header = header,
                                           .receiver = host_key(std::to_string(to)),
                                           .service = relay.service,
                                           .passes_left = relay.passes_left};
        for (double copy = settings_.faults ? packet_random_.unit() : 0.5; copy > 0.25; copy -= 0.25)
        {
            const auto delay =
                packet_random_.unit() < 0.1 ? random_time(10s, packet_random_) : random_time(60ms, packet_random_);
            const auto index = packet_random_.unit() < 0.1 ? packet_random_.below(settings_.hosts) : to;
            after(settings_.faults ? delay : step,
                  [this, relayed, index = settings_.faults ? index : to] { decide(index, relayed.header, &relayed); });
        }
    }

    /// Decides a SYN of a caller, or one that another host passed on.
    void decide(std::size_t index, const packet_header& header, const steerer::relayed_syn* relayed = nullptr)
    {
        auto& one = hosts_[index];
        if (relayed != nullptr && one.core && now_ < one.paused_until)
        {
            after(one.paused_until - now_ + step,
                  [this, index, copy = *relayed] { decide(index, copy.header, &copy); });
        }
        if (!runs(one))
        {
            return;
        }
        if (relayed != nullptr)
        {
            syns_.on_datagram(index, now_);
        }
        const auto decision =
            relayed != nullptr ? one.core->on_relayed(*relayed, at(now_)) : one.core->on_packet(header, at(now_));
        if (decision.action == steering_action::relay)
        {
            pass_on(index, header, decision.relay);
        }
        else if (decision.action == steering_action::forward && now_ < warm_at_.at(decision.token))
        {
            syns_.on_forwarded(decision.token, header.flow.caller_port,
                               now_ + random_time(settings_.link_delay + 1us, packet_random_));
        }
        else if (decision.action == steering_action::reset && decision.reason != steering_reason::warm_up_limit)
        {
            ++refused_otherwise;
        }
    }

    void call_store(std::size_t index, const warm_up_request& request)
    {
        const auto process = hosts_[index].process;
        const auto name = request.id + "-" + std::to_string(request.started_ms);
        if (request.what == warm_up_request::kind::release)
        {
            after(20ms, [this, name] { objects_.erase(name); });
            return;
        }
        const auto write_delay = store_ == store_state::late_writes ? 1s : 5ms + random_time(60ms);
        const bool is_answered = store_ == store_state::working;
        if (store_ != store_state::unavailable)
        {
            after(write_delay,
                  [this, name, index, process, is_answered, token = request.token, listed = holders(index, request)]
                  {
                      const auto& object = objects_.try_emplace(name, listed).first->second;
                      if (is_answered)
                      {
                          const auto self = holder(index, process);
                          const bool is_own = object.front().host == self.host;
                          owner_changes += is_own && object.front() != self ? 1 : 0;
                          const auto own = object.front() == self ? claim_result::created : claim_result::inherited;
                          answer(index, process, token, is_own ? own : claim_result::taken, object);
                      }
                  });
        }
        if (!is_answered)
        {
            after(1s, [this, index, process, token = request.token]
                  { answer(index, process, token, claim_result::failed, {}); });
        }
    }

    /// Delivers an answer, which waits while the process does not run.
    void answer(std::size_t index, std::uint64_t process, upstream_token token, claim_result result,
                const std::vector<share_holder>& listed)
    {
        const auto& one = hosts_[index];
        if (one.core && one.process == process && now_ < one.paused_until)
        {
            after(one.paused_until - now_ + step, [=, this] { answer(index, process, token, result, listed); });
        }
        else if (one.core && one.process == process)
        {
            one.core->on_claim({.token = token, .result = result, .epoch = 1, .holders = listed}, at(now_));
        }
    }

    settings settings_;
    base::random_source random_;
    /// Of its own, so that a decision about a packet does not change the faults that follow.
    base::random_source packet_random_;
    host_ranks ranks_;
    base::duration now_ = 0s;
    std::vector<upstream_entry> entries_;
    std::map<upstream_token, base::duration> warm_at_;
    std::vector<host> hosts_;
    std::multimap<base::duration, std::function<void()>> due_;
    /// Holders that each object lists.
    std::map<std::string, std::vector<share_holder>> objects_;
    store_state store_ = store_state::working;
    syn_record syns_;
    std::uint64_t revision_ = 1;
    std::uint16_t next_port_ = 1;
};

} // namespace galenabay::steer::test
