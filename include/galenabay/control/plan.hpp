#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/config/diff.hpp>
#include <galenabay/object_api/revision_store.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace galenabay::control
{

/// The effect that applying a set would have now.
struct plan
{
    /// Version of the manifest that the plan is based on; 0: nothing was ever
    /// accepted.
    std::uint64_t version = 0;
    /// Number of the revision in force; 0: none.
    std::uint64_t number = 0;
    /// True if the set is already in force.
    bool unchanged = false;
    config::difference difference;
};

/// Compares a set with the newest accepted revision; writes nothing.
base::result<plan> make_plan(const object_api::revision_store& store, const config::service_set& next);

/// Returns lines for an operator: each change, its effect on flows, and each hazard.
std::vector<std::string> describe(const plan& value);

} // namespace galenabay::control
