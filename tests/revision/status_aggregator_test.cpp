#include <galenabay/revision/status_aggregator.hpp>

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

using namespace galenabay;
using namespace std::chrono_literals;
using revision::status_aggregator;

namespace
{

const std::string status_key = "status/west";

revision::observed_host host(const std::string& name, std::uint64_t number, bool reachable = true)
{
    membership::host_report report;
    report.name = name;
    report.data_centre = "west";
    report.state = membership::host_state::ready;
    report.revision = number;
    report.platform_reachable = reachable;
    return revision::observed_host{report, base::duration{0}};
}

status_aggregator make(const std::string& self)
{
    revision::aggregator_settings settings;
    settings.self = self;
    settings.data_centre = "west";
    settings.incarnation = 1;
    return status_aggregator{settings};
}

/// Fake of the status object of a data centre, with conditional writes.
struct status_object
{
    std::uint64_t version = 0;
    revision::status_document document;
    std::size_t writes = 0;
    std::size_t reads = 0;
    std::size_t conflicts = 0;

    void run(status_aggregator& instance, const revision::status_actions& actions, base::time_point now)
    {
        for (const auto& action : actions)
        {
            if (std::holds_alternative<revision::read_status>(action))
            {
                ++reads;
                instance.on_status_read(version, document.writer, now);
            }
            if (const auto* write = std::get_if<revision::write_status>(&action))
            {
                write_document(instance, *write, now);
            }
        }
    }

private:
    void write_document(status_aggregator& instance, const revision::write_status& write, base::time_point now)
    {
        if (write.expected != version)
        {
            ++conflicts;
            instance.on_status_written(revision::write_result::conflict, 0, now);
            return;
        }
        ++writes;
        document = write.document;
        instance.on_status_written(revision::write_result::written, ++version, now);
    }
};

} // namespace

TEST_GROUP(status_aggregator)
{
    std::map<std::string, status_aggregator> instances;
    status_object object;
    base::time_point now{};

    void setup() override
    {
        for (const char* name : {"a", "b", "c"})
        {
            instances.emplace(name, make(name));
        }
    }

    std::vector<revision::observed_host> all(std::uint64_t number) const
    {
        return {host("a", number), host("b", number), host("c", number)};
    }

    void run_for(base::duration time, const std::vector<revision::observed_host>& hosts, const std::string& paused = "")
    {
        for (const auto end = now + time; now < end; now += 100ms)
        {
            for (auto& [name, instance] : instances)
            {
                if (name != paused)
                {
                    instance.on_hosts(hosts, now);
                    object.run(instance, instance.on_tick(now), now);
                }
            }
        }
    }

    std::string current_writer() const
    {
        for (const auto& [name, instance] : instances)
        {
            if (instance.is_writer())
            {
                return name;
            }
        }
        return "";
    }
};

TEST(status_aggregator, one_host_writes_for_all)
{
    run_for(1s, all(1));
    LONGS_EQUAL(1, object.writes);
    LONGS_EQUAL(3, object.document.hosts.size());
    STRCMP_EQUAL(current_writer().c_str(), object.document.writer.c_str());
    run_for(60s, all(1));
    CHECK(object.writes >= 11 && object.writes <= 14);
    LONGS_EQUAL(0, object.conflicts);
}

TEST(status_aggregator, changes_of_several_hosts_are_written_together)
{
    run_for(1s, all(1));
    const auto before = object.writes;
    run_for(100ms, {host("a", 2), host("b", 1), host("c", 1)});
    run_for(100ms, {host("a", 2), host("b", 2), host("c", 1)});
    run_for(1s, all(2));
    LONGS_EQUAL(2, object.writes - before);
    for (const auto& status : object.document.hosts)
    {
        LONGS_EQUAL(2, status.revision);
    }
}

TEST(status_aggregator, host_that_cannot_reach_the_platform_does_not_write)
{
    run_for(1s, all(1));
    const auto first = current_writer();
    auto hosts = all(1);
    for (auto& each : hosts)
    {
        each.report.platform_reachable = each.report.name != first;
    }
    run_for(2s, hosts);
    CHECK(current_writer() != first);
    STRCMP_EQUAL(current_writer().c_str(), object.document.writer.c_str());
}

TEST(status_aggregator, paused_writer_cannot_overwrite)
{
    run_for(1s, all(1));
    const auto paused = current_writer();
    auto without = all(2);
    std::erase_if(without, [&](const auto& each) { return each.report.name == paused; });
    run_for(30s, without, paused);
    const auto document = object.document;
    CHECK(document.writer != paused);
    // The paused writer resumes with its old hosts and its old version.
    auto& resumed = instances.at(paused);
    const auto actions = resumed.on_tick(now);
    CHECK(actions.empty());
    object.run(resumed, actions, now);
    CHECK(object.document == document);
}

TEST(status_aggregator, write_prepared_before_a_pause_is_refused)
{
    run_for(1s, all(1));
    const auto paused = current_writer();
    auto& instance = instances.at(paused);
    now += 600ms;
    instance.on_hosts(all(2), now);
    const auto prepared = instance.on_tick(now);
    CHECK(std::holds_alternative<revision::write_status>(prepared.at(0)));
    auto without = all(3);
    std::erase_if(without, [&](const auto& each) { return each.report.name == paused; });
    run_for(30s, without, paused);
    const auto document = object.document;
    object.run(instance, prepared, now);
    LONGS_EQUAL(1, object.conflicts);
    CHECK(object.document == document);
}

TEST(status_aggregator, object_is_read_again_after_the_answer_to_a_write_is_lost)
{
    run_for(1s, all(1));
    auto& instance = instances.at(current_writer());
    now += 600ms;
    instance.on_hosts(all(2), now);
    const auto write = std::get<revision::write_status>(instance.on_tick(now).at(0));
    object.document = write.document;
    ++object.version;
    instance.on_status_written(revision::write_result::unknown, 0, now);
    run_for(20s, all(2));
    LONGS_EQUAL(0, object.conflicts);
    LONGS_EQUAL(2, object.document.hosts.at(0).revision);
}

TEST(status_aggregator, silent_host_stays_in_the_document_and_is_dropped_later)
{
    run_for(1s, all(1));
    auto hosts = all(1);
    const auto silent =
        hosts.front().report.name == current_writer() ? hosts.back().report.name : hosts.front().report.name;
    std::erase_if(hosts, [&](const auto& each) { return each.report.name == silent; });
    run_for(10s, hosts);
    LONGS_EQUAL(3, object.document.hosts.size());
    run_for(60s, hosts);
    LONGS_EQUAL(2, object.document.hosts.size());
}

TEST(status_aggregator, abandoned_document_is_removed_at_the_version_seen)
{
    run_for(1s, all(1));
    auto& instance = instances.at(current_writer());
    const std::vector<std::pair<std::string, std::uint64_t>> listed{{"status/gone", 7}, {status_key, 9}};
    LONGS_EQUAL(0, instance.on_status_list(listed, now).size());
    LONGS_EQUAL(0, instance.on_status_list(listed, now + 500s).size());
    const auto actions = instance.on_status_list(listed, now + 700s);
    LONGS_EQUAL(1, actions.size());
    const auto& removal = std::get<revision::remove_status>(actions.at(0));
    STRCMP_EQUAL("status/gone", removal.key.c_str());
    LONGS_EQUAL(7, removal.expected);
}

TEST(status_aggregator, refreshed_document_is_not_removed)
{
    run_for(1s, all(1));
    auto& instance = instances.at(current_writer());
    for (std::uint64_t version = 1; version < 10; ++version)
    {
        const std::vector<std::pair<std::string, std::uint64_t>> listed{{"status/east", version}};
        LONGS_EQUAL(0, instance.on_status_list(listed, now + version * 300s).size());
    }
}

TEST(status_aggregator, data_centre_that_cannot_reach_the_platform_is_in_the_document_of_another)
{
    auto hosts = all(1);
    auto cut_off = host("d", 1, false);
    cut_off.report.data_centre = "east";
    hosts.push_back(cut_off);
    run_for(1s, hosts);
    LONGS_EQUAL(4, object.document.hosts.size());
    STRCMP_EQUAL("east", object.document.hosts.back().data_centre.c_str());
    hosts.back().report.platform_reachable = true;
    run_for(1s, hosts);
    LONGS_EQUAL(3, object.document.hosts.size());
}

TEST(status_aggregator, concurrent_writers_back_off_after_a_conflict)
{
    // Each host receives no report but its own.
    const auto before = now;
    for (; now < before + 60s; now += 100ms)
    {
        for (auto& [name, instance] : instances)
        {
            const std::vector<revision::observed_host> alone{host(name, 1)};
            instance.on_hosts(alone, now);
            object.run(instance, instance.on_tick(now), now);
        }
    }
    CHECK(object.writes + object.conflicts < 60);
}
