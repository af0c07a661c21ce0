#include "revision_torture/world.hpp"

#include <galenabay/base/invariant.hpp>

#include <boost/program_options.hpp>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace options = boost::program_options;
using namespace galenabay;

namespace
{

std::uint64_t running_seed = 0;

/// Prints a failed invariant with the running seed and exits with status 1.
void report_invariant(const char* expression, const char* file, int line)
{
    std::printf("torture_revision seed=%llu violation=\"invariant %s at %s:%d\"\n",
                static_cast<unsigned long long>(running_seed), expression, file, line);
    std::exit(1);
}

void add(revision_torture::outcome& sum, const revision_torture::outcome& each)
{
    sum.events += each.events;
    sum.applies += each.applies;
    sum.accepted += each.accepted;
    sum.conflicts += each.conflicts;
    sum.unknown += each.unknown;
    sum.adoptions += each.adoptions;
    sum.faults += each.faults;
    sum.alarms += each.alarms;
}

int run(std::uint64_t first, std::uint64_t count)
{
    revision_torture::outcome sum;
    std::size_t violations = 0;
    for (running_seed = first; running_seed < first + count; ++running_seed)
    {
        const auto each = revision_torture::world{running_seed}.run();
        add(sum, each);
        if (!each.violation.empty())
        {
            ++violations;
            std::printf("torture_revision seed=%llu violation=\"%s\"\n", static_cast<unsigned long long>(running_seed),
                        each.violation.c_str());
        }
    }
    std::printf("torture_revision seeds=%llu events=%zu applies=%zu accepted=%zu conflicts=%zu unknown=%zu "
                "adoptions=%zu faults=%zu alarms=%zu violations=%zu\n",
                static_cast<unsigned long long>(count), sum.events, sum.applies, sum.accepted, sum.conflicts,
                sum.unknown, sum.adoptions, sum.faults, sum.alarms, violations);
    return violations == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int bad_usage = 2;
    options::options_description description{
        "Runs hosts, operators and a platform under injected faults in virtual time.\n\n"
        "  torture_revision --seeds 1 --first 7\n\nOptions"};
    description.add_options()("help", "print this help")("seeds", options::value<std::uint64_t>()->default_value(200),
                                                         "number of seeds")(
        "first", options::value<std::uint64_t>()->default_value(1), "first seed");
    try
    {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0)
        {
            std::cout << description;
            return 0;
        }
        base::set_invariant_handler(report_invariant);
        return run(values["first"].as<std::uint64_t>(), values["seeds"].as<std::uint64_t>());
    }
    catch (const options::error& failure)
    {
        std::cerr << "torture_revision: " << failure.what() << '\n';
        return bad_usage;
    }
}
