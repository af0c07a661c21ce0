#include "steer_fixture.hpp"

#include <galenabay/base/random.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace galenabay;
using namespace galenabay::steer;
using namespace galenabay::steer::test;

namespace
{

/// A store that its upstreams write to, and that returns to an older copy now and then.
class modelled_store
{
public:
    explicit modelled_store(std::uint64_t seed) : random_{seed} {}

    /// A registration, its removal or a complete list, as a host may receive it at any later
    /// time.
    using delivery = std::function<void(upstream_registry&, base::time_point)>;

    std::vector<delivery> deliveries;

    /// Lets one upstream or the store change.
    void change()
    {
        switch (random_.below(8))
        {
        case 0:
            start("i-" + std::to_string(1 + random_.below(6)));
            break;
        case 1:
            with_random_upstream([&](upstream_entry& one) { one.draining = true; });
            break;
        case 2:
            with_random_upstream([&](upstream_entry& one) { one.draining = false; });
            break;
        case 3:
            stop();
            break;
        case 4:
            copy_ = objects_;
            copy_number_ = number_;
            break;
        case 5:
            restore();
            break;
        default:
            deliver_list(random_.below(2) == 0);
            break;
        }
    }
    /// Live upstreams register again, entries of the others expire.
    void settle()
    {
        for (auto& [id, one] : running_)
        {
            write(one);
        }
        for (const auto& [id, entry] : std::map{objects_})
        {
            if (!running_.contains(id))
            {
                remove(id);
            }
        }
    }
    delivery current_list() const { return list(epoch_); }
    const std::map<std::string, upstream_entry>& objects() const { return objects_; }

private:
    void start(const std::string& id)
    {
        auto entry = make_upstream(id, static_cast<std::uint64_t>(id.back() - '0'));
        entry.started_ms = ++clock_;
        running_[id] = entry;
        write(running_[id]);
    }
    template <typename Change> void with_random_upstream(Change apply)
    {
        if (!running_.empty())
        {
            auto& one =
                std::next(running_.begin(), static_cast<std::ptrdiff_t>(random_.below(running_.size())))->second;
            apply(one);
            write(one);
        }
    }
    void stop()
    {
        if (running_.empty())
        {
            return;
        }
        const auto one = std::next(running_.begin(), static_cast<std::ptrdiff_t>(random_.below(running_.size())));
        const auto id = one->first;
        running_.erase(one);
        // The entry of one that ends without a word expires later.
        if (random_.below(2) == 0)
        {
            remove(id);
        }
    }
    void write(upstream_entry& one)
    {
        ++one.sequence;
        one.revision = {.epoch = epoch_, .number = ++number_};
        objects_[one.id] = one;
        deliveries.push_back([entry = one](upstream_registry& to, base::time_point now) { to.put(entry, now); });
    }
    void remove(const std::string& id)
    {
        if (objects_.erase(id) > 0)
        {
            const store_revision at{.epoch = epoch_, .number = ++number_};
            deliveries.push_back([id, at](upstream_registry& to, base::time_point now) { to.remove(id, at, now); });
        }
    }
    void restore()
    {
        objects_ = copy_;
        number_ = copy_number_;
        ++epoch_;
        for (auto& [id, entry] : objects_)
        {
            entry.revision.epoch = epoch_;
        }
        copy_ = objects_;
    }
    void deliver_list(bool is_stale) { deliveries.push_back(list(is_stale ? 0 : epoch_)); }
    delivery list(std::uint64_t epoch) const
    {
        std::vector<upstream_entry> entries;
        for (const auto& [id, entry] : objects_)
        {
            entries.push_back(entry);
            entries.back().revision.epoch = epoch;
        }
        const store_revision at{.epoch = epoch, .number = number_};
        return [entries, at](upstream_registry& to, base::time_point now) { to.replace_all(entries, at, now); };
    }

    base::random_source random_;
    std::uint64_t epoch_ = 1;
    std::uint64_t number_ = 10;
    std::uint64_t clock_ = 1'785'880'304'094;
    std::map<std::string, upstream_entry> running_;
    std::map<std::string, upstream_entry> objects_;
    std::map<std::string, upstream_entry> copy_;
    std::uint64_t copy_number_ = 10;
};

/// Returns what differs between the store and a host's listed upstreams; empty when nothing.
std::string difference(const modelled_store& store, upstream_registry& host)
{
    std::map<std::string, upstream_entry> known;
    host.for_each(
        [&](const upstream_incarnation& one)
        {
            if (!one.ended)
            {
                known[one.entry.id] = one.entry;
            }
        });
    std::string found;
    for (const auto& [id, entry] : store.objects())
    {
        const auto row = known.find(id);
        if (row == known.end())
        {
            found += " " + id + " is not known";
            continue;
        }
        found += row->second.started_ms != entry.started_ms ? " " + id + " is of another start" : "";
        found += row->second.draining != entry.draining ? " " + id + " differs in draining" : "";
    }
    for (const auto& [id, entry] : known)
    {
        found += store.objects().contains(id) ? "" : " " + id + " is gone from the store";
    }
    return found;
}

} // namespace

TEST_GROUP(registry_convergence){};

// Hosts kept wrong upstreams after the store had returned from an older copy. Whatever a host
// received of either history, in whatever order, twice or not at all: once the upstreams have
// registered again, one current list makes it agree with the store.
TEST(registry_convergence, a_current_list_corrects_a_host_whatever_it_received_before)
{
    constexpr std::uint64_t seeds = 3'000;
    constexpr int changes = 40;
    constexpr int received = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        modelled_store store{seed};
        base::random_source random{base::mix(seed, 1)};
        upstream_registry host{upstream_registry::limits{}};
        base::duration time{0};
        const auto receive = [&](int count)
        {
            for (int i = 0; i < count && !store.deliveries.empty(); ++i)
            {
                time += 30ms;
                store.deliveries[random.below(store.deliveries.size())](host, at(time));
                host.expire(at(time));
            }
        };
        for (int i = 0; i < changes; ++i)
        {
            store.change();
            receive(static_cast<int>(random.below(3)));
        }
        receive(received);
        store.settle();
        store.current_list()(host, at(time));
        // Changes of before that arrive late must not undo the list.
        receive(received);
        time += 20s;
        host.expire(at(time));
        STRCMP_EQUAL_TEXT("", difference(store, host).c_str(), std::to_string(seed).c_str());
    }
}
