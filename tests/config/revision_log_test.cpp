#include <galenabay/config/codec.hpp>
#include <galenabay/config/load.hpp>
#include <galenabay/config/revision_log.hpp>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace galenabay;

TEST_GROUP(revision_log)
{
    std::vector<config::accepted_revision> revisions;
    config::revision_log log;

    void setup() override
    {
        const std::vector<std::string> files{std::string{GALENABAY_SOURCE_DIR} + "/examples/alliance.yaml"};
        auto set = config::load_service_set(files).value();
        for (std::uint32_t i = 0; i < config::revision_log::max_changes + 4; ++i)
        {
            set.services[1].upstreams[0].weight = 10 + i;
            const auto* previous = revisions.empty() ? nullptr : &revisions.back();
            auto next = config::make_next_revision(previous, set, "ann", i);
            log.add(previous, next);
            revisions.push_back(std::move(next));
        }
    }
};

TEST(revision_log, host_that_is_up_to_date_gets_no_update)
{
    CHECK(log.update_since(revisions.back().number).empty());
}

TEST(revision_log, host_behind_by_some_changes_gets_only_those)
{
    const auto& behind = revisions[revisions.size() - 3];
    const auto bytes = log.update_since(behind.number);
    CHECK(bytes.size() < log.update_since(0).size() / 2);
    CHECK(config::decode_update(&behind, bytes).value() == revisions.back());
    CHECK(config::decode_update(nullptr, bytes).error().code() == base::error_code::stale);
}

TEST(revision_log, new_host_and_host_far_behind_get_the_full_revision)
{
    CHECK(config::decode_update(nullptr, log.update_since(0)).value() == revisions.back());
    CHECK(config::decode_update(&revisions[0], log.update_since(1)).value() == revisions.back());
}

TEST(revision_log, changes_on_other_content_are_refused)
{
    auto other = revisions[revisions.size() - 2];
    other.set.services[0].upstreams[0].weight = 77;
    const auto bytes = log.update_since(other.number);
    CHECK(config::decode_update(&other, bytes).error().code() == base::error_code::corrupt);
}
