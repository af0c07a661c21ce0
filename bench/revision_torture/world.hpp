#pragma once

#include "fake_platform.hpp"
#include "virtual_time.hpp"

#include <galenabay/base/random.hpp>
#include <galenabay/config/accepted_revision.hpp>
#include <galenabay/config/revision_log.hpp>
#include <galenabay/revision/follower.hpp>

#include <src/object_api/store_logic.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenabay::revision_torture
{

/// Counts and result of one seed.
struct outcome
{
    std::size_t events = 0;
    std::size_t applies = 0;
    std::size_t accepted = 0;
    std::size_t conflicts = 0;
    /// Applies that failed with an error other than a conflict.
    std::size_t unknown = 0;
    std::size_t adoptions = 0;
    std::size_t faults = 0;
    /// Alarms that the followers raised.
    std::size_t alarms = 0;
    /// The guarantee that was violated first; empty: none.
    std::string violation;
};

/// One seeded run of some hosts, concurrent operators and one platform under
/// injected faults, in virtual time.
///
/// Checks these guarantees: a host never goes back to an older revision; the
/// revision that it has in force was accepted as a whole under that number; an
/// apply that reports success was accepted; one that reports a conflict was not
/// accepted and is not accepted later; no change is accepted twice; after the
/// faults all hosts have the newest revision.
class world
{
public:
    explicit world(std::uint64_t seed);

    outcome run();

private:
    using logic = object_api::store_logic<fake_client, virtual_time>;

    struct host
    {
        std::string name;
        std::uint64_t incarnation = 0;
        bool disconnected = false;
        std::uint64_t group = 0;
        std::chrono::microseconds paused_until{0};
        std::unique_ptr<revision::follower> follower;
        std::shared_ptr<logic> reader;
        config::revision_log log;
        std::optional<config::accepted_revision> in_force;
    };

    void start(host& target);
    void tick(host& target);
    void perform(host& target, const revision::actions& actions);
    void adopt(host& target);
    void start_platform_fetch(host& requester, const revision::fetch_from_platform& fetch);
    void read_platform(std::size_t index, std::uint64_t incarnation, revision::fetch_from_platform fetch,
                       base::duration left);
    void start_peer_fetch(host& requester, const revision::fetch_from_peer& fetch);
    void serve_peer(std::size_t from, std::size_t to, std::uint64_t incarnation, std::uint64_t after);
    void heartbeat(host& sender);
    void run_operators();
    /// One operator's change. With `knows_newest`, its number is higher than that
    /// of any revision in force on a host.
    void apply_change(bool knows_newest);
    void change_service_set(config::service_set& set);
    /// Accepts a set in place of one whose content a restore took, as an operator forces it.
    void replace_unreadable(logic& store);
    void check_apply_result(const base::result<object_api::stored_revision>& outcome,
                            const config::accepted_revision& next, std::size_t restores);
    void inject_fault();
    /// Ends the faults, waits for convergence and checks the final state.
    void recover_and_check();
    void check_unreferenced_chunks();

    bool can_reach(const host& from, const host& to) const { return from.group == to.group; }
    bool is_paused(const host& each) const { return each.paused_until > queue_.now(); }
    bool chance(std::uint64_t percent) { return random_.below(100) < percent; }
    std::chrono::microseconds random_time(std::chrono::microseconds longest);
    base::time_point now() const { return base::time_point{queue_.now()}; }
    std::size_t index_of(const std::string& name) const;
    std::uint64_t newest_in_force() const;
    void report_violation(const std::string& guarantee);

    base::random_source random_;
    event_queue queue_;
    fake_platform platform_;
    std::vector<host> hosts_;
    std::vector<std::string> conflicting_manifests_;
    std::uint64_t last_author_ = 0;
    std::size_t running_applies_ = 0;
    bool inject_faults_ = true;
    outcome outcome_;
};

} // namespace galenabay::revision_torture
