#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/steer/store_revision.hpp>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace galenabay::steer
{

/// A request that the upstreams of a data centre get no new flows. Plain value.
struct evacuation
{
    std::string data_centre;
    /// Number of the store revision at which the request was written.
    std::uint64_t revision_number = 0;

    friend auto operator<=>(const evacuation&, const evacuation&) = default;
};

/// All evacuations as of a revision of the store. Plain value.
struct evacuation_set
{
    store_revision revision;
    std::vector<evacuation> evacuations;

    friend auto operator<=>(const evacuation_set&, const evacuation_set&) = default;
};

/// The evacuations in force. Adopts complete sets only, and of these only newer ones, so that
/// a delayed or repeated set neither revives nor loses an evacuation. Not thread-safe; owned
/// by the `steerer`.
///
/// A store that returns from an older copy may lack an evacuation, or list one that was
/// withdrawn, until the operator has written it again. For a hold time after the first set of
/// a new epoch, what was known before takes precedence over the copy.
class evacuation_table
{
public:
    explicit evacuation_table(base::duration hold_time) : hold_time_{hold_time} {}

    /// Adopts a set. Returns false, and changes nothing, when it is not newer than the last.
    bool adopt(const evacuation_set& next, base::time_point now);
    /// Ends the hold after a change of epoch; call it regularly.
    void tick(base::time_point now);

    /// Returns true when a set has been adopted.
    bool is_known() const noexcept { return known_; }
    /// The set that was adopted last.
    const evacuation_set& latest() const noexcept { return latest_; }
    bool is_evacuated(const std::string& data_centre) const { return in_force_.contains(data_centre); }
    /// Data centres that are evacuated.
    const std::set<std::string>& in_force() const noexcept { return in_force_; }
    /// Rises with each change of `in_force`.
    std::uint64_t change_count() const noexcept { return change_count_; }

    /// Returns true when a data centre has ever returned from an evacuation.
    bool has_returned() const noexcept { return !returned_at_.empty(); }
    /// Returns the share of its new flows that a data centre takes: 0 while it is evacuated, and
    /// rising to 1 within `ramp` after that.
    double share_of(const std::string& data_centre, base::duration ramp, base::time_point now) const;
    /// Returns the data centres that have returned since the last call.
    std::set<std::string> take_returned() { return std::exchange(returned_, {}); }

private:
    bool is_held(base::time_point now) const { return now < held_until_; }
    void update(base::time_point now);

    base::duration hold_time_;
    bool known_ = false;
    evacuation_set latest_;
    std::set<std::string> in_force_;
    /// Evacuations of the earlier epoch that no set of the present one has listed.
    std::set<std::string> held_;
    /// Evacuations that were withdrawn, to recognise them in an older copy of the store.
    std::deque<evacuation> withdrawn_;
    base::time_point held_until_{};
    /// Until this time a withdrawn evacuation that a copy lists is ignored. Half of the hold time: the
    /// operator may have written it anew under the same revision, which must be in force within
    /// the bound.
    base::time_point ignored_until_{};
    std::map<std::string, base::time_point> returned_at_;
    std::set<std::string> returned_;
    std::uint64_t change_count_ = 0;
};

} // namespace galenabay::steer
