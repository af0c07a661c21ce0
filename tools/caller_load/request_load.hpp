#pragma once

#include "exchange_table.hpp"
#include "settings.hpp"
#include "summary.hpp"

#include "../stand_in/content.hpp"

#include <galenabay/base/random.hpp>
#include <galenabay/base/time.hpp>

#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace galenabay::stand_in
{

/// Kind of request, by resource and method.
enum class request_class
{
    hold,
    profile_get,
    profile_put,
    title,
};

/// How a request ended for its caller.
enum class request_outcome
{
    open,
    ok,
    /// 5.03: the request was not run.
    refused,
    /// 5.04: the request may have run.
    unknown,
    lost,
    wrong,
};

const char* name_of(request_class value);
const char* name_of(request_outcome value);

/// Sends requests at a given rate, independent of the answers (open loop), and checks each
/// answer against its request. Owned by one thread.
class request_load
{
public:
    request_load(const load_settings& settings, exchange_table& exchanges, summary& results, base::time_point now);

    /// Checks an answer, or records the end of a request without one.
    void on_event(const exchange_event& event, base::time_point now);
    /// Sends the requests that are due; starts none after `settings.length`.
    void on_tick(base::time_point now);

    std::size_t open() const noexcept { return open_; }

private:
    struct request
    {
        request_class type = request_class::hold;
        request_outcome outcome = request_outcome::open;
        std::size_t caller = 0;
        std::uint16_t port = 0;
        std::string service;
        std::string nonce;
        std::uint64_t number = 0;
        base::time_point started;
        /// Title: the requested block and its refusals so far.
        std::uint32_t block = 0;
        unsigned block_refusals = 0;
        /// Hold: the run named in the answer.
        std::string run;
    };

    struct delayed_block
    {
        std::uint64_t token;
        request item;
    };

    void start_request(base::time_point now);
    request make_random_request(base::time_point now);
    void send(std::uint64_t token, const request& item, base::time_point now);
    void on_answer(std::uint64_t token, request& item, const exchange_event& event, base::time_point now);
    void on_late_answer(request& item, const exchange_event& event);
    void on_title_answer(std::uint64_t token, request& item, const exchange_event& event, base::time_point now);
    bool is_correct(const request& item, const exchange_event& event) const;
    bool is_correct_block(const request& item, const exchange_event& event) const;
    void finish(std::uint64_t token, request& item, request_outcome outcome, base::time_point now);
    void expire_finished(base::time_point now);
    double rate(base::time_point now) const;
    std::string describe(const request& item, const exchange_event& event) const;

    load_settings settings_;
    exchange_table* exchanges_;
    summary* results_;
    base::random_source random_;
    base::time_point start_;
    base::time_point next_arrival_;
    std::uint64_t last_nonce_ = 0;
    std::size_t open_ = 0;
    std::ofstream record_;
    std::map<std::uint64_t, request> requests_;
    std::deque<std::pair<base::time_point, std::uint64_t>> finished_order_;
    std::multimap<base::time_point, delayed_block> delayed_blocks_;
};

} // namespace galenabay::stand_in
