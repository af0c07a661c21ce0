#include "record_check.hpp"

#include "../stand_in/content.hpp"

#include <fstream>
#include <map>

namespace galenabay::stand_in
{

namespace
{

using runs_by_nonce = std::map<std::string, std::vector<std::string>>;

runs_by_nonce read_runs(const std::vector<std::string>& files, summary& results)
{
    runs_by_nonce runs;
    for (const auto& file : files)
    {
        std::ifstream in{file};
        for (std::string line; std::getline(in, line);)
        {
            results.add("records_" + std::string{field(line, "outcome")});
            if (field(line, "method") == "POST" && field(line, "outcome") == "started")
            {
                runs[std::string{field(line, "nonce")}].emplace_back(line);
            }
        }
    }
    return runs;
}

void check_hold(const std::string& line, const std::vector<std::string>& runs, summary& results)
{
    const auto outcome = field(line, "outcome");
    const std::string first = runs.empty() ? "" : runs.front();
    results.add("holds_" + std::string{outcome});
    if (runs.size() > 1)
    {
        results.violation("doubled", "caller={" + line + "} first={" + first + "} second={" + runs[1] + "}");
    }
    if (outcome == "refused" && !runs.empty())
    {
        results.violation("refused_but_run", "caller={" + line + "} run={" + first + "}");
    }
    if (outcome == "ok" && runs.empty())
    {
        results.violation("answered_but_not_run", "caller={" + line + "}");
    }
    if (outcome == "ok" && runs.size() == 1 && field(first, "run") != field(line, "run"))
    {
        results.violation("answer_of_another_run", "caller={" + line + "} run={" + first + "}");
    }
}

} // namespace

bool check_records(const std::vector<std::string>& caller_files, const std::vector<std::string>& upstream_files,
                   summary& results)
{
    auto runs = read_runs(upstream_files, results);
    for (const auto& file : caller_files)
    {
        std::ifstream in{file};
        for (std::string line; std::getline(in, line);)
        {
            const std::string nonce{field(line, "nonce")};
            check_hold(line, runs[nonce], results);
            runs.erase(nonce);
        }
    }
    for (const auto& [nonce, lines] : runs)
    {
        results.violation("run_without_caller", "run={" + lines.front() + "}");
    }
    std::uint64_t violations = 0;
    for (const char* key :
         {"doubled", "refused_but_run", "answered_but_not_run", "answer_of_another_run", "run_without_caller"})
    {
        results.add(key, 0);
        violations += results.get(key);
    }
    results.set("record_violations", violations);
    return violations == 0 && results.get("records_started") > 0;
}

} // namespace galenabay::stand_in
