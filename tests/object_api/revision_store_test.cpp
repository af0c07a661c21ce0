#include <galenabay/config/codec.hpp>
#include <galenabay/config/load.hpp>
#include <galenabay/object_api/revision_store.hpp>

#include <tools/platform_stub/server.hpp>

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace galenabay;
using namespace std::chrono_literals;

namespace
{

config::service_set example_set()
{
    const std::vector<std::string> files{std::string{GALENABAY_SOURCE_DIR} + "/examples/alliance.yaml"};
    return config::load_service_set(files).value();
}

stub::server_settings unlimited()
{
    stub::server_settings settings;
    settings.writes_per_second = 1e6;
    settings.reads_per_second = 1e6;
    return settings;
}

config::service_set with_weight(std::uint32_t weight)
{
    auto set = example_set();
    set.services[0].upstreams[0].weight = weight;
    return set;
}

config::accepted_revision first_revision(std::uint32_t weight = 100, const char* author = "ann")
{
    return config::make_next_revision(nullptr, with_weight(weight), author, 1000);
}

} // namespace

TEST_GROUP(revision_store)
{
    stub::server server{unlimited()};

    object_api::object_client client()
    {
        const auto endpoint = base::endpoint::parse("127.0.0.1", server.port()).value();
        return object_api::object_client::make(endpoint, 2000ms);
    }
    object_api::revision_store store(std::chrono::milliseconds retry_timeout = 3000ms)
    {
        return object_api::revision_store{client(), retry_timeout};
    }
    void fault(const std::string& json)
    {
        server.state().apply(json);
    }

    /// Accepts one revision for each of the weights, in order.
    object_api::stored_revision accept_all(const std::vector<std::uint32_t>& weights)
    {
        auto writer = store();
        object_api::stored_revision latest;
        for (const auto weight : weights)
        {
            const auto* previous = latest.manifest_version == 0 ? nullptr : &latest.revision;
            const auto next = config::make_next_revision(previous, with_weight(weight), "ann", weight);
            latest = writer.accept(next, latest.manifest_version).value();
        }
        return latest;
    }
};

TEST(revision_store, is_empty_at_first)
{
    CHECK_FALSE(store().read().value().has_value());
}

TEST(revision_store, read_returns_the_accepted_revision)
{
    const auto accepted = store().accept(first_revision(), 0);
    CHECK(accepted.has_value());
    const auto read = store().read().value();
    CHECK(read->revision == first_revision());
    CHECK(read->manifest_version == accepted.value().manifest_version);
}

TEST(revision_store, watch_returns_the_next_revision)
{
    const auto first = accept_all({1});
    CHECK_FALSE(store().watch(first.manifest_version, 20ms).value().has_value());
    std::thread operator_thread{[&]
                                {
                                    const auto next =
                                        config::make_next_revision(&first.revision, with_weight(2), "ben", 2);
                                    store().accept(next, first.manifest_version).value();
                                }};
    const auto seen = store().watch(first.manifest_version, 10s);
    operator_thread.join();
    LONGS_EQUAL(2, seen.value()->revision.number);
}

TEST(revision_store, chunks_without_a_manifest_are_not_read)
{
    const auto first = accept_all({1});
    const auto next = config::make_next_revision(&first.revision, with_weight(2), "ben", 2);
    for (const auto& chunk : config::encode_chunks(next))
    {
        const auto name = config::to_hex(config::digest_of_bytes(chunk));
        server.objects().put("config/chunks/" + name, "half", 0);
    }
    CHECK(store().read().value()->revision == first.revision);
    CHECK_FALSE(store().watch(first.manifest_version, 20ms).value().has_value());
}

TEST(revision_store, damaged_chunk_is_corrupt)
{
    accept_all({1});
    const auto chunk = server.objects().list("config/chunks/").at(0);
    server.objects().put(chunk.key, "AAAA", chunk.version);
    CHECK(store().read().error().code() == base::error_code::corrupt);
}

TEST(revision_store, conflict_names_the_operator_that_was_first)
{
    const auto first = accept_all({1});
    const auto by_ann = config::make_next_revision(&first.revision, with_weight(2), "ann", 2000);
    const auto by_ben = config::make_next_revision(&first.revision, with_weight(3), "ben", 2000);
    CHECK(store().accept(by_ann, first.manifest_version).has_value());
    const auto lost = store().accept(by_ben, first.manifest_version);
    CHECK(lost.error().code() == base::error_code::conflict);
    STRCMP_EQUAL("accepted as revision 2 by ann at 1970-01-01T00:33:20Z", lost.error().detail().c_str());
    CHECK(store().read().value()->revision == by_ann);
}

TEST(revision_store, concurrent_accepts_have_exactly_one_winner)
{
    const auto first = accept_all({1});
    for (int round = 0; round < 10; ++round)
    {
        const auto base = store().read().value().value();
        std::atomic<int> winners{0};
        std::vector<std::thread> operators;
        for (std::uint32_t i = 0; i < 4; ++i)
        {
            const auto weight = 100U + static_cast<std::uint32_t>(round) * 10 + i;
            const auto next =
                config::make_next_revision(&base.revision, with_weight(weight), "op" + std::to_string(i), 2);
            operators.emplace_back([&, next] { winners += store().accept(next, base.manifest_version) ? 1 : 0; });
        }
        for (auto& thread : operators)
        {
            thread.join();
        }
        LONGS_EQUAL(1, winners.load());
        LONGS_EQUAL(base.revision.number + 1, store().read().value()->revision.number);
    }
}

TEST(revision_store, write_with_a_lost_answer_is_accepted_once)
{
    const auto first = accept_all({1});
    const auto next = config::make_next_revision(&first.revision, with_weight(2), "ben", 2);
    fault(R"({"lose_write_answers": 1000})");
    const auto accepted = store().accept(next, first.manifest_version);
    fault(R"({"lose_write_answers": 0})");
    CHECK(accepted.has_value());
    const auto read = store().read().value();
    CHECK(read->revision == next);
    LONGS_EQUAL(accepted.value().manifest_version, read->manifest_version);
}

TEST(revision_store, lost_answer_to_a_conflicting_write_is_a_conflict)
{
    const auto first = accept_all({1});
    const auto by_ann = config::make_next_revision(&first.revision, with_weight(2), "ann", 2);
    const auto by_ben = config::make_next_revision(&first.revision, with_weight(3), "ben", 2);
    store().accept(by_ann, first.manifest_version).value();
    fault(R"({"lose_write_answers": 1000})");
    const auto lost = store().accept(by_ben, first.manifest_version);
    CHECK(lost.error().code() == base::error_code::conflict);
}

TEST(revision_store, accept_during_an_outage_is_unavailable)
{
    const auto first = accept_all({1});
    const auto next = config::make_next_revision(&first.revision, with_weight(2), "ben", 2);
    fault(R"({"down": true})");
    const auto outcome = store(200ms).accept(next, first.manifest_version);
    CHECK(outcome.error().code() == base::error_code::unavailable);
    fault(R"({"down": false})");
    CHECK(store().read().value()->revision == first.revision);
    CHECK(store().accept(next, first.manifest_version).has_value());
}

TEST(revision_store, rejected_calls_are_retried)
{
    fault(R"({"reject_every": 3})");
    CHECK(store().accept(first_revision(), 0).has_value());
}

TEST(revision_store, keeps_history_and_removes_unreferenced_chunks)
{
    std::vector<std::uint32_t> weights;
    for (std::uint32_t weight = 1; weight <= object_api::max_history + 10; ++weight)
    {
        weights.push_back(weight);
    }
    server.objects().put("config/chunks/left-over", "x", 0);
    const auto latest = accept_all(weights);
    const auto entries = store().history().value();
    CHECK(entries.size() <= object_api::max_history + 2);
    LONGS_EQUAL(latest.revision.number, entries.front().number);
    CHECK(server.objects().list("config/chunks/").size() <= object_api::max_history + 2);
    CHECK_FALSE(server.objects().get("config/chunks/left-over").has_value());
    for (const auto& entry : entries)
    {
        CHECK(store().read_revision(entry.number).value().digest == entry.digest);
    }
    CHECK(store().read_revision(1).error().code() == base::error_code::not_found);
}

TEST(revision_store, chunk_that_another_operator_rewrote_is_not_removed)
{
    const auto first = accept_all({1});
    const auto next = config::make_next_revision(&first.revision, with_weight(2), "ben", 2);
    const auto chunk = config::encode_chunks(next).at(0);
    const auto key = "config/chunks/" + config::to_hex(config::digest_of_bytes(chunk));
    const auto seen_unused = server.objects().put(key, "damaged", 0);
    store().accept(next, first.manifest_version).value();
    CHECK(client().remove(key, seen_unused.version).error().code() == base::error_code::conflict);
    CHECK(store().read().value()->revision == next);
}

TEST(revision_store, stale_read_returns_the_complete_earlier_revision)
{
    accept_all({1, 2});
    fault(R"({"stale_reads": 1})");
    LONGS_EQUAL(1, store().read().value()->revision.number);
    LONGS_EQUAL(2, store().read().value()->revision.number);
}

TEST(revision_store, restored_platform_returns_the_older_revision)
{
    const auto first = accept_all({1});
    const auto next = config::make_next_revision(&first.revision, with_weight(2), "ben", 2);
    store().accept(next, first.manifest_version).value();
    CHECK(server.objects().restore(first.manifest_version));
    CHECK(store().read().value()->revision == first.revision);
}

TEST(revision_store, lost_manifest_is_reported_as_number_0)
{
    const auto first = accept_all({1});
    CHECK(server.objects().restore(0));
    const auto seen = store().watch(first.manifest_version, 10ms).value();
    CHECK(seen.has_value());
    LONGS_EQUAL(0, seen->revision.number);
}
