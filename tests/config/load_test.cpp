#include <galenabay/config/host_settings.hpp>
#include <galenabay/config/load.hpp>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace galenabay;

namespace
{

const std::string examples = std::string{GALENABAY_SOURCE_DIR} + "/examples/";

const std::string valid_set = R"(name: trial
services:
  - name: exchange
    kind: coap
    address: 192.0.2.10
    port: 5683
    upstreams:
      - {name: a, address: 127.0.2.1, port: 5683, data_centre: west}
  - name: vault
    address: 192.0.2.11
    port: 5683
    upstreams:
      - {name: a, address: 127.0.2.2, port: 5683, data_centre: west}
)";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

void check_refused(const std::string& text, const char* peer, const char* part_of_detail)
{
    const auto parsed = config::parse_service_set(text, "set.yaml");
    CHECK_FALSE(parsed.has_value());
    STRCMP_EQUAL(peer, parsed.error().peer().c_str());
    STRCMP_CONTAINS(part_of_detail, parsed.error().detail().c_str());
}

} // namespace

TEST_GROUP(load){};

TEST(load, reads_the_alliance_example)
{
    const std::vector<std::string> files{examples + "alliance.yaml"};
    const auto set = config::load_service_set(files);
    CHECK(set.has_value());
    STRCMP_EQUAL("alliance", set.value().name.c_str());
    LONGS_EQUAL(2, set.value().services.size());
    LONGS_EQUAL(14, set.value().services[0].upstreams.size());
    LONGS_EQUAL(4, set.value().services[1].upstreams.size());
    LONGS_EQUAL(3, set.value().services[0].upstreams[0].slots);
    LONGS_EQUAL(2000, set.value().services[0].upstreams[0].connections);
}

TEST(load, reads_the_tshwane_example)
{
    const std::vector<std::string> files{examples + "tshwane.yaml"};
    const auto set = config::load_service_set(files);
    CHECK(set.has_value());
    LONGS_EQUAL(4, set.value().services[0].upstreams.size());
    LONGS_EQUAL(14, set.value().services[1].upstreams.size());
}

TEST(load, example_of_a_host_states_the_defaults)
{
    const auto documented = config::load_host_settings(examples + "host.yaml");
    CHECK(documented.has_value());
    const auto required = config::parse_host_settings("name: worcester-1\ndata_centre: worcester\n"
                                                      "address: 127.0.1.1\nplatform: 127.0.0.1:7000\n",
                                                      "host.yaml");
    CHECK(required.has_value());
    auto expected = required.value();
    expected.peers = documented.value().peers;
    CHECK(expected == documented.value());
    LONGS_EQUAL(1, documented.value().peers.size());
}

TEST(load, accepts_the_valid_set)
{
    CHECK(config::parse_service_set(valid_set, "set.yaml").has_value());
}

TEST(load, names_an_unknown_key_with_its_line)
{
    check_refused(replaced(valid_set, "    kind: coap", "    kinds: coap"), "set.yaml:4",
                  "services[0].kinds: unknown key");
}

TEST(load, names_a_wrong_type)
{
    check_refused(replaced(valid_set, "port: 5683", "port: soon"), "set.yaml:6", "expected a number from 1 to 65535");
    check_refused(replaced(valid_set, "port: 5683", "port: \"5683\""), "set.yaml:6", "expected a number");
    check_refused(replaced(valid_set, "kind: coap", "kind: tcp"), "set.yaml:4", "expected one of datagram, coap");
    check_refused("name: trial\nservices: none\n", "set.yaml:2", "expected a list");
    check_refused("[]\n", "set.yaml:1", "expected a map");
}

TEST(load, names_a_number_out_of_range)
{
    check_refused(replaced(valid_set, "port: 5683", "port: 0"), "set.yaml:6", "found '0'");
    check_refused(replaced(valid_set, "port: 5683", "port: 65536"), "set.yaml:6", "found '65536'");
    check_refused(replaced(valid_set, "port: 5683", "port: 99999999999999999999999"), "set.yaml:6",
                  "expected a number");
    check_refused(replaced(valid_set, "port: 5683", "port: -1"), "set.yaml:6", "expected a number");
}

TEST(load, names_a_missing_key)
{
    check_refused(replaced(valid_set, "    address: 192.0.2.10\n", ""), "set.yaml:3",
                  "services[0].address: required key is missing");
}

TEST(load, names_a_bad_address)
{
    check_refused(replaced(valid_set, "192.0.2.10", "exchange.example"), "set.yaml:5",
                  "expected a numeric IPv4 or IPv6 address");
}

TEST(load, names_a_duplicate_key_and_name)
{
    check_refused(replaced(valid_set, "    kind: coap", "    port: 1\n    port: 2"), "set.yaml:5", "given twice");
    check_refused(replaced(valid_set, "name: vault", "name: exchange"), "set.yaml:9", "already used at line 3");
}

TEST(load, names_an_overlapping_address)
{
    check_refused(replaced(valid_set, "192.0.2.11", "192.0.2.10"), "set.yaml:9", "already used by service 'exchange'");
    check_refused(replaced(valid_set, "127.0.2.2", "127.0.2.1"), "set.yaml:9", "endpoint 127.0.2.1:5683");
}

TEST(load, refuses_a_service_without_an_active_upstream)
{
    const auto drained = replaced(valid_set, "data_centre: west}", "data_centre: west, draining: true}");
    check_refused(drained, "set.yaml:3", "at least one upstream");
    CHECK(config::parse_service_set(replaced(drained, "    kind: coap", "    draining: true"), "set.yaml").has_value());
}

TEST(load, refuses_aliases_deep_nesting_and_syntax_errors)
{
    check_refused("name: &a trial\nservices: *a\n", "set.yaml:1", "anchors are not accepted");
    check_refused("name: " + std::string(40, '[') + std::string(40, ']') + "\n", "set.yaml:1", "nested deeper");
    check_refused("name: trial\n  bad: [\n", "set.yaml:2", "");
    check_refused("", "set.yaml:1", "empty file");
}

TEST(load, refuses_a_missing_and_an_oversize_file)
{
    const std::vector<std::string> missing{examples + "missing.yaml"};
    CHECK(config::load_service_set(missing).error().code() == base::error_code::io_failure);
    const std::vector<std::string> endless{"/dev/zero"};
    CHECK(config::load_service_set(endless).error().code() == base::error_code::out_of_range);
}

TEST(load, joins_files_of_one_name)
{
    const std::vector<std::string> twice{examples + "alliance.yaml", examples + "alliance.yaml"};
    const auto again = config::load_service_set(twice);
    CHECK_FALSE(again.has_value());
    STRCMP_CONTAINS("already defined at", again.error().detail().c_str());
    const std::vector<std::string> mixed{examples + "alliance.yaml", examples + "tshwane.yaml"};
    STRCMP_CONTAINS("expected 'alliance'", config::load_service_set(mixed).error().detail().c_str());
}
