#include "check_command.hpp"

#include <galenabay/inspect/configuration_check.hpp>
#include <galenabay/inspect/read_fleet.hpp>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>

namespace galenabay
{

namespace
{

constexpr int exit_fine = 0;
constexpr int exit_findings = 1;
constexpr int exit_bad_input = 2;
constexpr std::chrono::milliseconds store_timeout{3'000};

base::result<adapter::configuration_draft> load_draft(const std::string& file)
{
    std::ifstream in{file, std::ios::binary};
    std::ostringstream text;
    if (!in || !(text << in.rdbuf()))
    {
        return base::error::make(base::error_code::io_failure, "read_draft", file,
                                 in ? "the file is empty or cannot be read" : std::strerror(errno));
    }
    return adapter::decode_draft(text.str(), file);
}

base::result<inspect::check_context> read_context(const check_request& request)
{
    inspect::check_context context;
    if (request.store)
    {
        BOOST_OUTCOME_TRY(in_force, adapter::read_draft(*request.store, store_timeout));
        BOOST_OUTCOME_TRY(capacities, inspect::read_capacities(*request.store));
        context = {.in_force = std::move(in_force), .capacities = std::move(capacities)};
    }
    if (request.against)
    {
        BOOST_OUTCOME_TRY(in_force, load_draft(*request.against));
        context.in_force = std::move(in_force);
    }
    return context;
}

int report(const base::error& failure)
{
    std::cerr << "galenactl: " << failure.peer() << ": " << failure.detail() << '\n';
    return exit_bad_input;
}

} // namespace

int check_configuration_file(const check_request& request)
{
    const auto draft = load_draft(request.file);
    if (!draft)
    {
        return report(draft.error());
    }
    const auto context = read_context(request);
    if (!context)
    {
        return report(context.error());
    }
    const auto checked = inspect::check_configuration(draft.value(), context.value());
    if (request.as_json)
    {
        std::cout << inspect::to_json(checked) << '\n';
    }
    else
    {
        for (const auto& line : inspect::describe(checked))
        {
            std::cout << line << '\n';
        }
    }
    return checked.findings.empty() ? exit_fine : exit_findings;
}

} // namespace galenabay
