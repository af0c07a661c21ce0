#include <bench/revision_torture/world.hpp>
#include <src/object_api/store_logic.hpp>
#include <tools/platform_stub/object_store.hpp>

#include <galenabay/base/random.hpp>
#include <galenabay/config/codec.hpp>
#include <galenabay/config/load.hpp>

#include <CppUTest/TestHarness.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace galenabay;
using namespace std::chrono_literals;

namespace
{

base::error failed(base::error_code code)
{
    return base::error::make(code, "hooked_client", "", "");
}

/// Client of an in-memory object store that runs a callback before a key is written or
/// removed.
struct hooked_client
{
    stub::object_store* objects;
    std::map<std::string, std::function<void()>>* before_change;

    base::result<object_api::object> get(const std::string& key) const
    {
        const auto found = objects->get(key);
        if (!found)
        {
            return failed(base::error_code::not_found);
        }
        return object_api::object{found->key, found->version, found->value};
    }
    base::result<std::vector<object_api::object>> list(const std::string& prefix) const
    {
        std::vector<object_api::object> rows;
        for (const auto& row : objects->list(prefix))
        {
            rows.push_back({row.key, row.version, row.value});
        }
        return rows;
    }
    base::result<std::vector<object_api::object>> list_keys(const std::string& prefix) const { return list(prefix); }
    base::result<std::uint64_t> put(const std::string& key, const std::string& value, std::uint64_t expected) const
    {
        if (auto node = before_change->extract(key))
        {
            node.mapped()();
        }
        const auto outcome = objects->put(key, value, expected);
        return outcome.status == stub::write_status::done ? base::result<std::uint64_t>{outcome.version}
                                                          : failed(base::error_code::conflict);
    }
    base::result<void> remove(const std::string& key, std::uint64_t expected) const
    {
        if (auto node = before_change->extract(key))
        {
            node.mapped()();
        }
        const auto outcome = objects->remove(key, expected);
        return outcome.status == stub::write_status::done ? base::result<void>{base::outcome::success()}
                                                          : failed(base::error_code::conflict);
    }
    base::result<object_api::object> watch(const std::string& key, std::uint64_t after,
                                           std::chrono::milliseconds wait) const
    {
        const auto found = objects->watch(key, after, wait);
        return found ? object_api::object{found->key, found->version, found->value} : object_api::object{key, 0, {}};
    }
};

config::service_set with_weight(std::uint32_t weight)
{
    const std::vector<std::string> files{std::string{GALENABAY_SOURCE_DIR} + "/examples/alliance.yaml"};
    auto set = config::load_service_set(files).value();
    set.services[0].upstreams[0].weight = weight;
    return set;
}

void check_seed(std::uint64_t seed)
{
    STRCMP_EQUAL("", revision_torture::world{seed}.run().violation.c_str());
}

} // namespace

TEST_GROUP(store_logic)
{
    using logic = object_api::store_logic<hooked_client, object_api::steady_time>;

    stub::object_store objects;
    std::map<std::string, std::function<void()>> before_change;
    std::map<std::string, std::function<void()>> no_hooks;

    logic store()
    {
        return logic{hooked_client{&objects, &no_hooks}, 0ms};
    }
    logic hooked_store()
    {
        return logic{hooked_client{&objects, &before_change}, 0ms};
    }
};

TEST(store_logic, equal_set_of_another_operator_skips_the_removal)
{
    const auto first = store().accept(config::make_next_revision(nullptr, with_weight(1), "ann", 1), 0).value();
    const auto equal = config::make_next_revision(&first.revision, with_weight(2), "ben", 2);
    config::accepted_revision third;
    object_api::stored_revision second;
    // Before the operator under test lists unreferenced chunks, another one accepts the
    // equal set and a third one writes the chunks of the next set.
    const auto key = std::string{object_api::chunk_prefix} + object_api::chunk_name(config::encode_chunks(equal).at(0));
    before_change[key] = [&]
    {
        second = store().accept(equal, first.manifest_version).value();
        third = config::make_next_revision(&second.revision, with_weight(3), "cat", 3);
        for (const auto& chunk : config::encode_chunks(third))
        {
            const auto name = std::string{object_api::chunk_prefix} + object_api::chunk_name(chunk);
            CHECK(objects.put(name, object_api::to_base64(chunk), 0).status == stub::write_status::done);
        }
    };
    CHECK(hooked_store().accept(equal, first.manifest_version).has_value());
    const auto text = object_api::to_json(object_api::manifest_of(third, config::encode_chunks(third)));
    CHECK(objects.put(object_api::manifest_key, text, second.manifest_version).status == stub::write_status::done);
    CHECK(store().read().value()->revision == third);
}

TEST(store_logic, chunk_referenced_after_the_listing_is_not_removed)
{
    const auto first = store().accept(config::make_next_revision(nullptr, with_weight(1), "ann", 1), 0).value();
    const auto second = config::make_next_revision(&first.revision, with_weight(2), "ben", 2);
    const auto third = config::make_next_revision(&second, with_weight(3), "cat", 3);
    const auto chunk = config::encode_chunks(third).at(0);
    const auto key = std::string{object_api::chunk_prefix} + object_api::chunk_name(chunk);
    CHECK(objects.put(key, object_api::to_base64(chunk), 0).status == stub::write_status::done);
    // The second operator has listed the unreferenced chunk and committed. Before it
    // removes the chunk, the third one accepts a revision that references it.
    before_change[key] = [&]
    {
        const auto version = store().read().value()->manifest_version;
        CHECK(store().accept(third, version).has_value());
    };
    CHECK(hooked_store().accept(second, first.manifest_version).has_value());
    CHECK(before_change.empty());
    CHECK(store().read().value()->revision == third);
}

TEST(store_logic, chunks_lost_by_a_restore_during_accept_are_rewritten)
{
    const auto first = store().accept(config::make_next_revision(nullptr, with_weight(1), "ann", 1), 0).value();
    const auto next = config::make_next_revision(&first.revision, with_weight(2), "ben", 2);
    before_change["config/manifest"] = [&] { CHECK(objects.restore(first.manifest_version)); };
    CHECK(hooked_store().accept(next, first.manifest_version).has_value());
    CHECK(store().read().value()->revision == next);
}

TEST(store_logic, mutated_manifest_does_not_crash_the_parser)
{
    const auto next = config::make_next_revision(nullptr, with_weight(1), "ann", 1);
    const auto whole = object_api::to_json(object_api::manifest_of(next, config::encode_chunks(next)));
    CHECK(object_api::parse_manifest(whole).has_value());
    for (std::uint64_t seed = 1; seed <= 2000; ++seed)
    {
        base::random_source random{seed};
        auto text = whole;
        for (std::uint64_t edits = 1 + random.below(4); edits > 0; --edits)
        {
            text[random.below(text.size())] = static_cast<char>(random.below(256));
        }
        if (const auto parsed = object_api::parse_manifest(text); parsed.has_value())
        {
            CHECK(parsed.value().number > 0);
            LONGS_EQUAL(64, parsed.value().digest.size());
        }
    }
}

// Seeds of torture_revision in which an operator that found its set already accepted
// removed chunks that another operator had written in the meantime.
TEST(store_logic, seed_23_keeps_referenced_chunks)
{
    check_seed(23);
}

TEST(store_logic, seed_155_keeps_referenced_chunks)
{
    check_seed(155);
}

TEST(store_logic, seed_193_keeps_referenced_chunks)
{
    check_seed(193);
}

// Seed of torture_revision in which a restore during an apply removed the chunks.
TEST(store_logic, seed_56_rewrites_chunks_lost_by_a_restore)
{
    check_seed(56);
}

// Seed of torture_revision in which a restore took a chunk that the manifest names, so that no
// apply could read the accepted set.
TEST(store_logic, seed_1647_replaces_a_set_whose_content_is_lost)
{
    check_seed(1647);
}

// Hosts kept an old revision: the platform, restored from a copy, had accepted the next one under
// the version at which they had read the old one, so that their watch saw no change.
TEST(store_logic, a_revision_accepted_under_a_reissued_version_is_read)
{
    const auto lost = store().accept(config::make_next_revision(nullptr, with_weight(1), "ann", 1), 0).value();
    auto reader = store();
    CHECK(reader.read().value().has_value());
    CHECK(objects.restore(0));
    auto next = config::make_next_revision(&lost.revision, with_weight(2), "ben", 2);
    const auto accepted = store().accept(next, 0).value();
    LONGS_EQUAL(lost.manifest_version, accepted.manifest_version);
    const auto found = reader.fetch(lost.revision.number, 1ms);
    CHECK(found.has_value() && found.value().has_value());
    CHECK(found.value()->revision == next);
    CHECK_FALSE(reader.fetch(next.number, 1ms).value().has_value());
}

// An apply replaced a revision that it had not read: the platform, restored from a copy, had
// accepted that one under the version that the apply expected.
TEST(store_logic, a_revision_under_a_reissued_version_is_not_replaced_by_its_equal_in_number)
{
    const auto lost = store().accept(config::make_next_revision(nullptr, with_weight(1), "ann", 1), 0).value();
    const auto planned = config::make_next_revision(&lost.revision, with_weight(2), "ann", 2);
    CHECK(objects.restore(0));
    const auto other = store().accept(config::make_next_revision(&lost.revision, with_weight(3), "ben", 2), 0).value();
    LONGS_EQUAL(lost.manifest_version, other.manifest_version);
    const auto refused = store().accept(planned, lost.manifest_version);
    CHECK_FALSE(refused.has_value());
    CHECK(refused.error().code() == base::error_code::conflict);
    CHECK(store().read().value()->revision == other.revision);
}
