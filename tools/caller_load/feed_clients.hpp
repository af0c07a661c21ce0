#pragma once

#include "exchange_table.hpp"
#include "settings.hpp"
#include "summary.hpp"

#include <galenabay/base/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace galenabay::stand_in
{

/// Callers that hold feeds open (RFC 7641) and report broken ones: another upstream sends
/// the notifications, the registration changes, or no notification arrives. Owned by one
/// thread.
class feed_clients
{
public:
    feed_clients(const load_settings& settings, exchange_table& exchanges, summary& results, base::time_point now);

    /// Returns true if the token belongs to a feed.
    bool owns(std::uint64_t token) const { return feeds_.contains(token); }
    void on_event(const exchange_event& event, base::time_point now);
    void on_tick(base::time_point now);

    /// Writes the counts of feeds to the summary.
    void finish(base::time_point now);

private:
    struct client
    {
        std::size_t caller = 0;
        target_service service;
        bool established = false;
        bool open = false;
        bool silent = false;
        std::string upstream;
        std::string registration;
        /// Replaced registrations, from which late notifications may still arrive.
        std::set<std::string> earlier_registrations;
        std::uint64_t sequence = 0;
        base::time_point last_seen;
        base::time_point next_registration;
    };

    void register_feed(std::uint64_t token, client& each, base::time_point now);
    void on_notification(client& each, const exchange_event& event, base::time_point now);
    void check_sequence(client& each, std::string_view text);
    void report_broken(client& each, const std::string& key, const std::string& detail);
    bool is_excused(const std::string& upstream) const;

    load_settings settings_;
    exchange_table* exchanges_;
    summary* results_;
    std::map<std::uint64_t, client> feeds_;
};

} // namespace galenabay::stand_in
