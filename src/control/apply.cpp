#include <galenabay/control/apply.hpp>

#include <galenabay/config/codec.hpp>
#include <galenabay/config/diff.hpp>
#include <galenabay/control/fleet_status.hpp>
#include <galenabay/object_api/acceptance.hpp>

#include <algorithm>
#include <utility>

namespace galenabay::control
{

namespace
{

using base::error_code;

constexpr std::size_t max_listed_changes = 10;

base::error refused(std::string detail)
{
    return base::error::make(error_code::refused, "apply", "", std::move(detail));
}

/// Adds to `conflict` the entries in which the set in force differs from `wanted`.
base::error explain_conflict(const base::error& conflict, const object_api::revision_store& store,
                             const config::service_set& wanted)
{
    const auto winner = store.read();
    if (!winner || !winner.value())
    {
        return conflict;
    }
    const auto difference = config::compare(winner.value()->revision.set, wanted);
    std::string detail = conflict.detail() + "; yours differs in " + std::to_string(difference.changes.size()) +
                         (difference.changes.size() == 1 ? " entry" : " entries");
    for (std::size_t i = 0; i < std::min(difference.changes.size(), max_listed_changes); ++i)
    {
        detail += (i == 0 ? ": " : "; ") + config::to_string(difference.changes[i]);
    }
    return base::error::make(conflict.code(), conflict.step(), conflict.peer(), detail);
}

base::error stale_plan_error(const config::accepted_revision& present)
{
    return base::error::make(error_code::conflict, "apply", present.author,
                             object_api::describe_acceptance(present.number, present.author, present.accepted_at));
}

bool is_forced(const apply_request& request, const std::string& name)
{
    return std::find(request.forced.begin(), request.forced.end(), name) != request.forced.end();
}

/// Chooses a number above every number that a host has in force. After a restore of
/// the platform from a backup these can be larger than the platform's own number.
base::result<std::uint64_t> choose_revision_number(const object_api::object_client& client,
                                                   const apply_request& request, std::uint64_t next_number)
{
    BOOST_OUTCOME_TRY(newest, newest_in_force(client));
    if (newest < next_number)
    {
        return next_number;
    }
    if (!is_forced(request, restored_platform))
    {
        return refused("hosts have revision " + std::to_string(newest) + " in force but the platform holds only " +
                       std::to_string(next_number - 1) +
                       ": it was restored from an older state; apply the intended set with --force " +
                       restored_platform);
    }
    return newest + 1;
}

/// Accepts a set in place of one whose content is lost: a restore of the platform from a
/// backup may keep the manifest and take a part that it names.
base::result<apply_outcome> replace_unreadable(const object_api::revision_store& store,
                                               const object_api::object_client& client, const apply_request& request,
                                               const base::error& lost)
{
    if (!is_forced(request, unreadable_set))
    {
        return refused("the accepted set can't be read (" + lost.detail() + "); apply the intended set with --force " +
                       unreadable_set);
    }
    BOOST_OUTCOME_TRY(present, store.newest_entry());
    BOOST_OUTCOME_TRY(in_force, newest_in_force(client));
    const auto version = present ? present->manifest_version : 0;
    if (request.expected_version && *request.expected_version != version)
    {
        return refused("the accepted set changed since the plan; plan again");
    }
    auto next = config::make_next_revision(nullptr, request.set, request.author, request.accepted_at);
    next.number = std::max(present ? present->entry.number : 0, in_force) + 1;
    BOOST_OUTCOME_TRY(accepted, store.accept(next, version));
    return apply_outcome{true, std::move(accepted)};
}

} // namespace

base::result<apply_outcome> apply(const object_api::revision_store& store, const object_api::object_client& client,
                                  const apply_request& request)
{
    auto read = store.read();
    if (!read && read.error().code() == error_code::not_found)
    {
        return replace_unreadable(store, client, request, read.error());
    }
    BOOST_OUTCOME_TRY(stored, std::move(read));
    const auto* const previous = stored ? &stored->revision : nullptr;
    const auto version = stored ? stored->manifest_version : 0;
    auto next = config::make_next_revision(previous, request.set, request.author, request.accepted_at);
    BOOST_OUTCOME_TRY(number, choose_revision_number(client, request, next.number));
    const bool restored = number != next.number;
    if (previous != nullptr && previous->digest == next.digest && !restored)
    {
        return apply_outcome{false, std::move(*stored)};
    }
    if (request.expected_version && *request.expected_version != version)
    {
        return previous == nullptr ? refused("no revision was accepted yet; plan again")
                                   : explain_conflict(stale_plan_error(*previous), store, next.set);
    }
    const auto difference = config::compare(previous == nullptr ? config::service_set{} : previous->set, next.set);
    if (const auto* const hazard = config::first_unforced_hazard(difference, request.forced))
    {
        return refused(hazard->name + ": " + hazard->reason + "; let it drain first, or add --force " + hazard->name);
    }
    next.number = number;
    auto accepted = store.accept(next, version);
    if (!accepted && accepted.error().code() == error_code::conflict)
    {
        return explain_conflict(accepted.error(), store, next.set);
    }
    BOOST_OUTCOME_TRYV(accepted);
    return apply_outcome{true, std::move(accepted).value()};
}

} // namespace galenabay::control
