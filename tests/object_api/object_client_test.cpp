#include <galenabay/object_api/object_client.hpp>

#include <tools/platform_stub/server.hpp>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace galenabay;
using namespace std::chrono_literals;

TEST_GROUP(object_client)
{
    stub::server server{stub::server_settings{}};
    object_api::object_client client =
        object_api::object_client::make(base::endpoint::parse("127.0.0.1", server.port()).value(), 2000ms);

    template <typename Result> void check_error(base::error_code expected, const Result& outcome)
    {
        CHECK_FALSE(outcome.has_value());
        STRCMP_EQUAL(base::name_of(expected), base::name_of(outcome.error().code()));
    }
};

TEST(object_client, writes_conditionally)
{
    const auto version = client.put("a/b", "one\n\"/", 0).value();
    check_error(base::error_code::conflict, client.put("a/b", "two", 0));
    check_error(base::error_code::conflict, client.put("a/b", "two", version + 1));
    CHECK(client.put("a/b", "two", version).has_value());
    STRCMP_EQUAL("two", client.get("a/b").value().value.c_str());
    check_error(base::error_code::not_found, client.get("a/c"));
}

TEST(object_client, lists_by_prefix)
{
    client.put("a/1", "one", 0).value();
    client.put("a/2", "two", 0).value();
    client.put("b/1", "three", 0).value();
    LONGS_EQUAL(2, client.list("a/").value().size());
    STRCMP_EQUAL("two", client.list("a/").value()[1].value.c_str());
    STRCMP_EQUAL("", client.list_keys("a/").value()[1].value.c_str());
    CHECK(client.list_keys("a/").value()[1].version > 0);
}

TEST(object_client, removes_conditionally)
{
    const auto version = client.put("a", "one", 0).value();
    check_error(base::error_code::conflict, client.remove("a", version + 1));
    CHECK(client.remove("a", version).has_value());
    check_error(base::error_code::not_found, client.remove("a", version));
}

TEST(object_client, watch_returns_at_once_when_the_version_differs)
{
    const auto version = client.put("a", "one", 0).value();
    LONGS_EQUAL(version, client.watch("a", 0, 10s).value().version);
    LONGS_EQUAL(0, client.watch("a", version, 10ms).value().version);
}

TEST(object_client, value_of_the_maximum_size_is_accepted)
{
    const std::string largest(object_api::max_object_size, '/');
    CHECK(client.put("a", largest, 0).has_value());
    CHECK(client.get("a").value().value == largest);
    check_error(base::error_code::out_of_range, client.put("b", largest + "/", 0));
}

TEST(object_client, each_failure_has_its_own_error_code)
{
    server.state().apply(R"({"down": true})");
    check_error(base::error_code::unavailable, client.get("a"));
    server.state().apply(R"({"down": false, "reject_every": 1})");
    check_error(base::error_code::exhausted, client.get("a"));
    server.state().apply(R"({"reject_every": 0, "lose_write_answers": 1})");
    check_error(base::error_code::timeout, client.put("a", "one", 0));
    STRCMP_EQUAL("one", client.get("a").value().value.c_str());
}

TEST(object_client, slow_answer_is_a_timeout)
{
    server.state().apply(R"({"delay_ms": 300})");
    const auto short_timeout_client =
        object_api::object_client::make(base::endpoint::parse("127.0.0.1", server.port()).value(), 50ms);
    check_error(base::error_code::timeout, short_timeout_client.put("a", "one", 0));
}

TEST(object_client, closed_port_is_unavailable)
{
    const auto unreachable_client =
        object_api::object_client::make(base::endpoint::parse("127.0.0.1:1").value(), 200ms);
    check_error(base::error_code::unavailable, unreachable_client.put("a", "one", 0));
}

TEST(object_client, list_of_hosts_may_be_empty)
{
    CHECK(client.hosts().value().empty());
}
