#include <galenabay/config/codec.hpp>
#include <galenabay/config/load.hpp>
#include <galenabay/control/apply.hpp>
#include <galenabay/control/fleet_status.hpp>
#include <galenabay/control/plan.hpp>
#include <galenabay/control/wait.hpp>
#include <galenabay/object_api/status_codec.hpp>

#include <tools/platform_stub/server.hpp>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace galenabay;
using namespace std::chrono_literals;

namespace
{

config::service_set example_set(std::uint32_t weight = 100)
{
    const std::vector<std::string> files{std::string{GALENABAY_SOURCE_DIR} + "/examples/alliance.yaml"};
    auto set = config::load_service_set(files).value();
    set.services[0].upstreams[0].weight = weight;
    return set;
}

stub::server_settings unlimited()
{
    stub::server_settings settings;
    settings.writes_per_second = 1e6;
    settings.reads_per_second = 1e6;
    return settings;
}

} // namespace

TEST_GROUP(apply)
{
    stub::server server{unlimited()};
    object_api::object_client client =
        object_api::object_client::make(base::endpoint::parse("127.0.0.1", server.port()).value(), 2000ms);
    object_api::revision_store store{client, 3000ms};

    base::result<control::apply_outcome> apply(const config::service_set& set, const char* author = "ann",
                                               std::optional<std::uint64_t> expected = {},
                                               const std::vector<std::string>& forced = {})
    {
        return control::apply(store, client, control::apply_request{set, author, 1000, expected, forced});
    }

    void put_status(const std::vector<revision::host_status>& hosts)
    {
        const revision::status_document document{"west", "a", 1, 0, hosts};
        server.objects().put("status/west", object_api::encode_status(document), {});
    }

    static revision::host_status host(const char* name, std::uint64_t number, std::uint64_t silent_s = 0)
    {
        return {name, "", membership::host_state::ready, number, true, silent_s};
    }
};

TEST(apply, applying_an_equal_set_again_writes_nothing)
{
    const auto first = apply(example_set()).value();
    CHECK(first.changed);
    LONGS_EQUAL(1, first.stored.revision.number);
    const auto writes = server.objects().version();
    const auto again = apply(example_set(), "ben").value();
    CHECK_FALSE(again.changed);
    LONGS_EQUAL(1, again.stored.revision.number);
    LONGS_EQUAL(writes, server.objects().version());
}

// A restore of the platform's backup kept the manifest and took a chunk that it names
// (torture_revision seed 1647): without the force nobody could apply again.
TEST(apply, a_set_whose_content_is_lost_is_replaced_when_forced)
{
    apply(example_set()).value();
    for (const auto& chunk : server.objects().list("config/chunks/"))
    {
        server.objects().remove(chunk.key, {});
    }
    const auto refused = apply(example_set(70));
    CHECK(refused.error().code() == base::error_code::refused);
    STRCMP_CONTAINS("unreadable-set", refused.error().detail().c_str());
    const auto replaced = apply(example_set(70), "ann", {}, {control::unreadable_set}).value();
    LONGS_EQUAL(2, replaced.stored.revision.number);
    object_api::revision_store other{client, 3000ms};
    LONGS_EQUAL(70, other.read().value()->revision.set.services[0].upstreams[0].weight);
}

TEST(apply, plan_writes_nothing)
{
    apply(example_set()).value();
    const auto writes = server.objects().version();
    const auto plan = control::make_plan(store, example_set(50)).value();
    LONGS_EQUAL(1, plan.difference.changes.size());
    STRCMP_EQUAL("~ upstream parts-exchange/parts-01: weight 100 -> 50",
                 config::to_string(plan.difference.changes[0]).c_str());
    LONGS_EQUAL(writes, server.objects().version());
}

TEST(apply, expected_version_makes_apply_conditional_on_the_plan)
{
    apply(example_set()).value();
    const auto plan = control::make_plan(store, example_set(50)).value();
    apply(example_set(60), "ben").value();
    const auto late = apply(example_set(50), "ann", plan.version);
    CHECK(late.error().code() == base::error_code::conflict);
    STRCMP_CONTAINS("revision 2 by ben at 1970-01-01T00:16:40Z", late.error().detail().c_str());
    STRCMP_CONTAINS("parts-01: weight 60 -> 50", late.error().detail().c_str());
    CHECK(apply(example_set(50), "ann", control::make_plan(store, example_set()).value().version).has_value());
}

TEST(apply, hazards_are_refused_unless_forced_by_name)
{
    apply(example_set()).value();
    auto without_vault = example_set();
    without_vault.services.pop_back();
    const auto refused = apply(without_vault);
    CHECK(refused.error().code() == base::error_code::refused);
    STRCMP_CONTAINS("title-vault: it is removed before it has drained", refused.error().detail().c_str());
    CHECK_FALSE(apply(without_vault, "ann", {}, {"parts-exchange"}).has_value());
    CHECK(apply(without_vault, "ann", {}, {"title-vault"}).has_value());
}

TEST(apply, rollback_is_a_new_revision_with_old_content)
{
    apply(example_set()).value();
    apply(example_set(50)).value();
    const auto old = store.read_revision(1).value();
    const auto back = apply(old.set).value();
    LONGS_EQUAL(3, back.stored.revision.number);
    CHECK(back.stored.revision.digest == old.digest);
    LONGS_EQUAL(3, store.history().value().size());
}

TEST(apply, restored_platform_must_be_forced)
{
    const auto first = apply(example_set()).value();
    apply(example_set(50)).value();
    apply(example_set(60)).value();
    put_status({host("a", 3)});
    const auto status = server.objects().get("status/west").value();
    CHECK(server.objects().restore(first.stored.manifest_version));
    server.objects().put("status/west", status.value, {});
    const auto refused = apply(example_set(70));
    CHECK(refused.error().code() == base::error_code::refused);
    STRCMP_CONTAINS("restored", refused.error().detail().c_str());
    LONGS_EQUAL(4, apply(example_set(70), "ann", {}, {control::restored_platform}).value().stored.revision.number);
}

TEST(apply, status_lists_each_lagging_host)
{
    put_status({host("a", 2), host("b", 1), host("c", 2, 12)});
    const auto fleet = control::read_fleet_status(client).value();
    LONGS_EQUAL(2, fleet.hosts.size());
    STRCMP_EQUAL("1 of 2 hosts have revision 2 in force; waiting for b (revision 1)",
                 control::describe(fleet, 2).c_str());
}

TEST(apply, document_written_last_overrides_earlier_ones)
{
    const auto write = [&](const char* data_centre, const revision::host_status& status)
    {
        const revision::status_document document{data_centre, "a", 1, 0, {status}};
        server.objects().put(std::string{"status/"} + data_centre, object_api::encode_status(document), {});
    };
    auto reported_by_other = host("c", 2);
    reported_by_other.data_centre = "zenith";
    write("zenith", host("c", 1));
    write("east", reported_by_other);
    const auto fleet = control::read_fleet_status(client).value();
    LONGS_EQUAL(2, fleet.hosts.at(0).status.revision);
    STRCMP_EQUAL("zenith", fleet.hosts.at(0).data_centre.c_str());
}

TEST(apply, wait_ends_when_all_report_the_revision)
{
    put_status({host("a", 2), host("b", 1)});
    std::vector<std::string> lines;
    const auto progress = [&](const std::string& line)
    {
        lines.push_back(line);
        put_status({host("a", 2), host("b", 2)});
    };
    CHECK(control::wait_in_force(client, 2, 10s, progress).has_value());
    LONGS_EQUAL(2, lines.size());
}

TEST(apply, wait_timeout_lists_the_lagging_hosts)
{
    put_status({host("a", 2), host("b", 1)});
    const auto waited = control::wait_in_force(client, 2, 0ms, [](const std::string&) {});
    CHECK(waited.error().code() == base::error_code::timeout);
    STRCMP_CONTAINS("b (revision 1)", waited.error().detail().c_str());
}
