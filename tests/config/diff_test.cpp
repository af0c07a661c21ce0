#include <galenabay/config/diff.hpp>
#include <galenabay/config/load.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace galenabay;

namespace
{

config::service_set example_set()
{
    const std::vector<std::string> files{std::string{GALENABAY_SOURCE_DIR} + "/examples/alliance.yaml"};
    return config::load_service_set(files).value();
}

bool has_hazard(const config::difference& found, const std::string& name)
{
    return std::any_of(found.hazards.begin(), found.hazards.end(),
                       [&](const config::hazard& each) { return each.name == name; });
}

} // namespace

TEST_GROUP(diff)
{
    config::service_set before = example_set();
    config::service_set after = before;
    config::service& exchange = after.services[0];

    config::difference compare_sets() const
    {
        return config::compare(before, after);
    }
};

TEST(diff, equal_sets_do_not_differ)
{
    CHECK(compare_sets().empty());
    CHECK(compare_sets().hazards.empty());
}

TEST(diff, first_set_adds_services_without_hazard)
{
    const auto first = config::compare({}, before);
    LONGS_EQUAL(2, first.changes.size());
    STRCMP_EQUAL("+ service parts-exchange", config::to_string(first.changes[0]).c_str());
    CHECK(first.hazards.empty());
}

TEST(diff, added_upstream_takes_its_share_of_new_flows)
{
    auto added = exchange.upstreams[0];
    added.name = "parts-15";
    added.endpoint = added.endpoint.with_port(9);
    exchange.upstreams.push_back(added);
    const auto result = compare_sets();
    STRCMP_EQUAL("+ upstream parts-exchange/parts-15", config::to_string(result.changes[0]).c_str());
    DOUBLES_EQUAL(1.0 / 15, result.forecasts[0].moved_share, 1e-9);
    CHECK(result.hazards.empty());
}

TEST(diff, draining_moves_new_flows_only)
{
    exchange.upstreams[0].draining = true;
    const auto result = compare_sets();
    LONGS_EQUAL(1, result.forecasts[0].draining);
    DOUBLES_EQUAL(1.0 / 14, result.forecasts[0].moved_share, 1e-9);
    CHECK(result.hazards.empty());
}

TEST(diff, removal_without_drain_is_a_hazard)
{
    exchange.upstreams.erase(exchange.upstreams.begin());
    CHECK(has_hazard(compare_sets(), "parts-exchange/parts-01"));
    before.services[0].upstreams[0].draining = true;
    CHECK(compare_sets().hazards.empty());
    after.services.pop_back();
    CHECK(has_hazard(compare_sets(), "title-vault"));
    before.services[1].draining = true;
    CHECK(compare_sets().hazards.empty());
}

TEST(diff, address_that_passes_to_another_service_is_a_hazard)
{
    std::swap(after.services[0].address, after.services[1].address);
    CHECK(has_hazard(compare_sets(), "parts-exchange"));
    CHECK(has_hazard(compare_sets(), "title-vault"));
}

TEST(diff, no_upstream_for_new_flows_is_a_hazard)
{
    for (auto& target : exchange.upstreams)
    {
        target.draining = true;
    }
    CHECK(has_hazard(compare_sets(), "parts-exchange"));
    const std::vector<std::string> forced{"parts-exchange"};
    CHECK(config::first_unforced_hazard(compare_sets(), forced) == nullptr);
    CHECK(config::first_unforced_hazard(compare_sets(), {}) != nullptr);
    CHECK_FALSE(config::validate(after).has_value());
    CHECK(config::validate(after, forced).has_value());
}
