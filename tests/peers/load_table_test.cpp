#include <galenabay/peers/load_table.hpp>

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::peers;
using namespace std::chrono_literals;

namespace
{

upstream_load make_load(steer::upstream_token token, std::uint32_t flows)
{
    return {.token = token, .flows = flows, .open_requests = 0, .answered_ago = 10ms};
}

load_totals totals_of(const load_table& table, base::time_point now)
{
    load_totals totals;
    table.add_to(totals, now, 2s);
    return totals;
}

constexpr base::time_point start{1h};

} // namespace

TEST_GROUP(load_table){};

TEST(load_table, a_page_replaces_the_rows_of_its_range_only)
{
    load_table table;
    table.apply({.first = 0, .last = 20, .loads = {make_load(5, 1), make_load(15, 1)}}, start);
    table.apply({.first = 10, .last = 20, .loads = {make_load(12, 3)}}, start);
    const auto totals = totals_of(table, start);
    LONGS_EQUAL(2, totals.size());
    LONGS_EQUAL(1, totals.at(5).flows);
    LONGS_EQUAL(3, totals.at(12).flows);
}

TEST(load_table, a_row_that_is_not_refreshed_is_not_used_and_its_age_counts)
{
    load_table table;
    table.apply({.first = 0, .last = 9, .loads = {make_load(5, 1)}}, start);
    table.apply({.first = 10, .last = 19, .loads = {make_load(15, 1)}}, start + 1s);
    const auto totals = totals_of(table, start + 2s);
    LONGS_EQUAL(1, totals.size());
    LONGS_EQUAL(1'010, totals.at(15).answered_ago.count());
}

TEST(load_table, rows_outside_the_range_or_out_of_order_are_ignored)
{
    load_table table;
    table.apply({.first = 10, .last = 20, .loads = {make_load(15, 1), make_load(12, 1), make_load(30, 1)}}, start);
    LONGS_EQUAL(1, totals_of(table, start).size());
}

TEST(load_table, pages_of_a_cursor_cover_all_tokens_once_per_turn)
{
    load_totals totals;
    for (steer::upstream_token token = 1; token <= 10; ++token)
    {
        totals[token * 1'000] = make_load(token * 1'000, token);
    }
    load_table table;
    page_cursor cursor;
    for (int i = 0; i < 3; ++i)
    {
        const auto page = cursor.next(totals, 4);
        CHECK(page.loads.size() <= 4);
        table.apply(page, start);
    }
    LONGS_EQUAL(10, totals_of(table, start).size());
    LONGS_EQUAL(0, cursor.next(totals, 4).first);
}
