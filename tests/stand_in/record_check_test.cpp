#include <caller_load/record_check.hpp>

#include <CppUTest/TestHarness.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

using galenabay::stand_in::check_records;
using galenabay::stand_in::summary;

namespace
{

std::string hold(const std::string& nonce, const std::string& outcome, const std::string& run = "")
{
    return "nonce=" + nonce + " service=x outcome=" + outcome + " run=" + run + "\n";
}

std::string run_line(const std::string& nonce, const std::string& run, const std::string& outcome = "started")
{
    return "time_ms=1 service=x upstream=u caller=c method=POST path=/hold nonce=" + nonce + " run=" + run +
           " outcome=" + outcome + "\n";
}

/// A temporary file with the given content; removed by the destructor.
class scratch_file
{
public:
    explicit scratch_file(const std::string& content)
    {
        close(mkstemp(name_));
        std::ofstream{name_} << content;
    }
    scratch_file(const scratch_file&) = delete;
    scratch_file& operator=(const scratch_file&) = delete;
    ~scratch_file() { std::remove(name_); }

    std::string name() const { return name_; }

private:
    char name_[32] = "/tmp/record_check_XXXXXX";
};

struct verdict
{
    bool clean = false;
    summary results;
};

verdict check(const std::string& holds, const std::string& runs)
{
    const scratch_file hold_file{holds};
    const scratch_file run_file{runs};
    verdict found;
    found.clean = check_records({hold_file.name()}, {run_file.name()}, found.results);
    return found;
}

} // namespace

TEST_GROUP(record_check){};

TEST(record_check, matching_records_are_clean)
{
    const auto found =
        check(hold("a", "ok", "u/1") + hold("b", "refused") + hold("c", "unknown") + hold("d", "unknown"),
              run_line("a", "u/1") + run_line("a", "u/1", "done") + run_line("c", "u/2"));
    CHECK(found.clean);
    LONGS_EQUAL(1, found.results.get("holds_ok"));
    LONGS_EQUAL(2, found.results.get("records_started"));
}

TEST(record_check, reports_a_second_run)
{
    const auto found = check(hold("a", "unknown"), run_line("a", "u/1") + run_line("a", "v/1"));
    CHECK_FALSE(found.clean);
    LONGS_EQUAL(1, found.results.get("doubled"));
}

TEST(record_check, reports_a_refused_hold_that_ran)
{
    const auto found = check(hold("a", "refused"), run_line("a", "u/1"));
    CHECK_FALSE(found.clean);
    LONGS_EQUAL(1, found.results.get("refused_but_run"));
}

TEST(record_check, reports_a_success_without_its_run)
{
    const auto absent = check(hold("a", "ok", "u/1"), run_line("b", "u/2"));
    CHECK_FALSE(absent.clean);
    LONGS_EQUAL(1, absent.results.get("answered_but_not_run"));
    LONGS_EQUAL(1, absent.results.get("run_without_caller"));
    const auto other = check(hold("a", "ok", "u/1"), run_line("a", "u/2"));
    CHECK_FALSE(other.clean);
    LONGS_EQUAL(1, other.results.get("answer_of_another_run"));
}

TEST(record_check, missing_records_are_not_clean)
{
    CHECK_FALSE(check("", "").clean);
}
