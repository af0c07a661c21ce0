// Checks that member views agree and list no stopped host as deciding. They exchange
// reports over a faulty network in virtual time, with restarts, pauses and an
// incomplete platform list.
// Usage: torture_membership [--seeds N] [--first S]

#include "seed_arguments.hpp"

#include <galenabay/base/random.hpp>
#include <galenabay/membership/member_view.hpp>

#include <algorithm>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

namespace galenabay::bench
{

namespace
{

constexpr std::size_t host_count = 6;
constexpr std::int64_t step_ms = 100;
constexpr std::int64_t run_length_ms = 120'000;
/// Reports arrive without loss or delay for this long before the end of a run.
constexpr std::int64_t fault_free_ms = 12'000;
constexpr std::int64_t max_delay_ms = 20'000;
constexpr std::int64_t peer_timeout_ms = 3'000;

struct counts
{
    std::uint64_t reports = 0;
    std::uint64_t faults = 0;
    std::uint64_t violations = 0;
};

/// State of one host: its process and the values that the checks compare with.
struct host
{
    membership::member_view view;
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 0;
    bool up = true;
    std::int64_t paused_until = 0;
    std::int64_t down_since = 0;
    /// Largest incarnation in the reports that this process received from each peer.
    std::vector<std::uint64_t> newest_incarnations = std::vector<std::uint64_t>(host_count, 0);
};

/// A report in transit to a host.
struct message
{
    std::int64_t arrives_at = 0;
    std::size_t to = 0;
    std::size_t from = 0;
    membership::host_report report;
};

class membership_run
{
public:
    membership_run(std::uint64_t seed, counts& total) : seed_{seed}, total_{total}, random_{seed}
    {
        for (std::size_t i = 0; i < host_count; ++i)
        {
            hosts_.push_back(host{make_view(i)});
        }
    }

    void run()
    {
        for (; now_ < run_length_ms; now_ += step_ms)
        {
            if (now_ < run_length_ms - fault_free_ms - max_delay_ms && random_.below(30) == 0)
            {
                inject_fault();
            }
            deliver();
            for (std::size_t i = 0; i < host_count; ++i)
            {
                step_host(i);
            }
        }
        check_agreement();
    }

private:
    static std::string name_of(std::size_t index) { return "host-" + std::to_string(index); }
    base::time_point time() const { return base::time_point{base::duration{1'000'000'000 + now_ * 1000}}; }

    static membership::member_view make_view(std::size_t index)
    {
        membership::member_settings settings;
        settings.self = name_of(index);
        settings.peer_timeout = base::duration{peer_timeout_ms * 1000};
        return membership::member_view{settings};
    }

    bool is_running(std::size_t index) const { return hosts_[index].up && now_ >= hosts_[index].paused_until; }

    void step_host(std::size_t index)
    {
        auto& self = hosts_[index];
        if (!is_running(index))
        {
            return;
        }
        const bool paused = self.view.on_tick(time());
        if (paused && self.view.deciding_hosts(time()).size() > 1)
        {
            violation("a resumed host lists peers from which it has received no report", index, index);
        }
        if (now_ % 500 == 0)
        {
            send(index);
            self.view.on_platform_list(incomplete_list(), time());
        }
        check_stopped_hosts(index);
    }

    void send(std::size_t index)
    {
        auto& self = hosts_[index];
        membership::host_report report;
        report.name = name_of(index);
        report.incarnation = self.incarnation;
        report.sequence = ++self.sequence;
        report.state = membership::host_state::ready;
        self.view.set_self(report);
        for (std::size_t to = 0; to < host_count; ++to)
        {
            const bool fault_free = now_ > run_length_ms - fault_free_ms;
            if (to == index || (!fault_free && random_.below(100) < 5))
            {
                continue;
            }
            ++total_.reports;
            const bool delayed = !fault_free && random_.below(100) < 5;
            const auto delay = delayed ? static_cast<std::int64_t>(random_.below(max_delay_ms)) : step_ms;
            messages_.push_back({now_ + delay, to, index, report});
            if (random_.below(100) < 5)
            {
                messages_.push_back(messages_.back());
            }
        }
    }

    void deliver()
    {
        std::vector<message> remaining;
        for (auto& incoming : messages_)
        {
            if (incoming.arrives_at > now_)
            {
                remaining.push_back(std::move(incoming));
            }
            else if (is_running(incoming.to))
            {
                apply_report(incoming);
            }
        }
        messages_ = std::move(remaining);
    }

    void apply_report(const message& incoming)
    {
        auto& to = hosts_[incoming.to];
        const bool accepted = to.view.on_report(incoming.report, time());
        if (accepted && incoming.report.incarnation < to.newest_incarnations[incoming.from])
        {
            violation("a report of an earlier process was accepted", incoming.to, incoming.from);
        }
        to.newest_incarnations[incoming.from] =
            std::max(to.newest_incarnations[incoming.from], incoming.report.incarnation);
    }

    /// Checks that no host lists as deciding a host that stopped longer ago than the
    /// longest delay plus the peer timeout.
    void check_stopped_hosts(std::size_t index)
    {
        for (const auto& peer : hosts_[index].view.deciding_hosts(time()))
        {
            for (std::size_t i = 0; i < host_count; ++i)
            {
                const bool stopped_long_ago =
                    !hosts_[i].up && now_ - hosts_[i].down_since > max_delay_ms + peer_timeout_ms + step_ms;
                if (stopped_long_ago && peer.name == name_of(i))
                {
                    violation("a stopped host is listed as deciding", index, i);
                }
            }
        }
    }

    /// Checks after the fault-free time that all running hosts list the same deciding
    /// hosts.
    void check_agreement()
    {
        for (std::size_t i = 0; i < host_count; ++i)
        {
            for (std::size_t other = 0; other < host_count; ++other)
            {
                if (is_running(i) && is_running(other) &&
                    hosts_[i].view.deciding_hosts(time()) != hosts_[other].view.deciding_hosts(time()))
                {
                    violation("two hosts that receive reports of the same peers list different deciding hosts", i,
                              other);
                }
            }
        }
    }

    /// Returns the platform's list, in which each host is missing with a chance of 1 in 4.
    std::vector<membership::listed_host> incomplete_list()
    {
        std::vector<membership::listed_host> rows;
        for (std::size_t i = 0; i < host_count; ++i)
        {
            if (random_.below(4) != 0)
            {
                membership::listed_host row;
                row.name = name_of(i);
                rows.push_back(row);
            }
        }
        return rows;
    }

    void inject_fault()
    {
        ++total_.faults;
        const auto index = random_.below(host_count);
        auto& chosen = hosts_[index];
        if (!chosen.up)
        {
            const auto incarnation = chosen.incarnation + 1;
            chosen = host{make_view(index)};
            chosen.incarnation = incarnation;
        }
        else if (random_.below(2) == 0)
        {
            chosen.up = false;
            chosen.down_since = now_;
        }
        else
        {
            // The pause ends before the fault-free time, in which no report is lost.
            const auto length = 2'500 + static_cast<std::int64_t>(random_.below(30'000));
            chosen.paused_until = std::min(now_ + length, run_length_ms - fault_free_ms);
        }
    }

    void violation(const char* violated_rule, std::size_t at, std::size_t about)
    {
        ++total_.violations;
        std::printf("violation seed=%llu at_ms=%lld promise=\"%s\" hosts=%zu,%zu\n",
                    static_cast<unsigned long long>(seed_), static_cast<long long>(now_), violated_rule, at, about);
    }

    std::uint64_t seed_;
    counts& total_;
    base::random_source random_;
    std::int64_t now_ = 0;
    std::vector<host> hosts_;
    std::vector<message> messages_;
};

} // namespace

} // namespace galenabay::bench

int main(int argc, char** argv)
{
    using namespace galenabay::bench;
    const auto options = parse_torture_options(argc, argv);
    counts total;
    for (std::uint64_t seed = options.first; seed < options.first + options.count; ++seed)
    {
        membership_run{seed, total}.run();
    }
    std::printf("torture_membership seeds=%llu reports=%llu faults=%llu violations=%llu\n",
                static_cast<unsigned long long>(options.count), static_cast<unsigned long long>(total.reports),
                static_cast<unsigned long long>(total.faults), static_cast<unsigned long long>(total.violations));
    return total.violations == 0 ? 0 : 1;
}
