#include "test_host.hpp"

#include <CppUTest/TestHarness.h>

using namespace galenabay;
using namespace galenabay::store_test;

namespace
{

constexpr const char* kind = "galenabay-warm-ups";
constexpr const char* object = "i-1-1785880304094";

std::string configuration_with_rate(const std::string& rate)
{
    return R"({"version":1,"routes":[{"name":"feed","host":"198.18.0.1","path-prefix":"/8443/","service":"feed"}],)"
           R"("services":[{"name":"feed","warmup-s":8,"warmup-per-s":)" +
           rate + R"(}],"limits":{}})";
}

std::string starting_registration(int warm_up_left_ms)
{
    return R"({"service":"feed","address":"127.0.0.9:8443","zone":"east","version":"v1","max-concurrency":3,)"
           R"("state":"ready","warmup-left-ms":)" +
           std::to_string(warm_up_left_ms) + R"(,"sequence":1,"born":1785880304094})";
}

} // namespace

/// An entry host and an upstream that is starting, with a service that states a rate for it.
TEST_GROUP(warm_up_owner)
{
    base::endpoint store_address = next_endpoint();
    edge_soak::store_stub store{store_address};
    test_host host;

    bool is_owned_by(const std::string& name)
    {
        const auto path = std::string{"/objects/"} + kind + "/" + object;
        return store.handle("GET", path, "").body.find("\"host\":\"" + name + "\"") != std::string::npos;
    }
    bool is_released() const
    {
        return store.names(kind).empty();
    }
    void start(int warm_up_left_ms, const std::string& rate = "5")
    {
        store.put("config", "main", configuration_with_rate(rate));
        store.put("servers", "i-1", starting_registration(warm_up_left_ms));
        host.start("edge-1", store_address);
    }
};

TEST(warm_up_owner, a_host_owns_a_starting_upstream_until_it_is_warm)
{
    start(5'000);
    CHECK(holds_within(start_bound, [&] { return is_owned_by("edge-1"); }));
    CHECK(holds_within(5s, [&] { return is_released(); }));
}

// Failure: the store carries out the call and its answer is lost. The host is the owner, as it finds
// out by the next attempt, and so removes the object.
TEST(warm_up_owner, a_host_finds_out_that_a_claim_without_an_answer_took_effect)
{
    start(7'000);
    store.set_fault(edge_soak::store_fault::lost_writes);
    CHECK(holds_within(start_bound, [&] { return is_owned_by("edge-1"); }));
    store.set_fault(edge_soak::store_fault::none);
    CHECK(holds_within(8s, [&] { return is_released(); }));
}

// Failure: the process of the owner ends and another one starts.
TEST(warm_up_owner, the_next_process_of_a_host_owns_what_the_previous_one_did)
{
    start(12'000);
    CHECK(holds_within(start_bound, [&] { return is_owned_by("edge-1"); }));
    host.running.reset();
    store.put("servers", "i-1", starting_registration(4'000));
    host.start("edge-1", store_address);
    CHECK(holds_within(8s, [&] { return is_released(); }));
}

TEST(warm_up_owner, a_host_leaves_an_upstream_to_another_owner)
{
    store.put(kind, object, R"({"host":"edge-9","process-started-us":1})");
    start(3'000);
    std::this_thread::sleep_for(4s);
    CHECK(is_owned_by("edge-9"));
}

TEST(warm_up_owner, no_upstream_is_owned_where_no_rate_is_stated)
{
    start(5'000, "0");
    std::this_thread::sleep_for(3s);
    CHECK(is_released());
}

// Failure: with many hosts, those that own nothing refuse all new flows while upstreams start.
TEST(warm_up_owner, hosts_of_the_data_centre_share_the_rate)
{
    test_host other;
    store.put("config", "main", configuration_with_rate("5"));
    for (auto* one : {&host, &other})
    {
        one->warm_up_slack = 3;
        one->start(one == &host ? "edge-1" : "edge-2", store_address, {host.peers, other.peers});
    }
    CHECK(holds_within(start_bound, [&] { return host.version_in_force() == 1 && other.version_in_force() == 1; }));
    // By then, each host has the other one's status.
    std::this_thread::sleep_for(2s);
    store.put("servers", "i-1", starting_registration(6'000));
    const auto has_half = [](const test_host& one)
    {
        const auto known = one.state("servers");
        return known && known->starting == std::vector<peers::starting_upstream>{{.id = "i-1", .share_rate = 2.5}};
    };
    CHECK(holds_within(start_bound, [&] { return has_half(host) && has_half(other); }));
    const auto body = store.handle("GET", std::string{"/objects/"} + kind + "/" + object, "").body;
    STRCMP_CONTAINS("\"shares\":[{", body.c_str());
    STRCMP_CONTAINS("edge-1", body.c_str());
    STRCMP_CONTAINS("edge-2", body.c_str());
    CHECK(holds_within(8s, [&] { return is_released(); }));
}
