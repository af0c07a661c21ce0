// Another writer puts one entry whose field is a deeply nested list among the targets' entries.
// Fault: the machines' processes end by themselves, again and again.
#include "../stand_ins/judge.hpp"

using namespace review;

int main(int, char** arguments)
{
    constexpr std::size_t depth = 500'000;
    constexpr int ends_bound = 3;
    constexpr std::size_t machines_bound = 2;
    record log{std::string{arguments[1]} + "/record.txt"};
    begin(log, "an entry of another writer, with a field of another type");
    std::size_t affected = 0;
    {
        deployment world{log};
        world.configure(1, {deployment::route_text(0, "parts"), deployment::route_text(1, "vault")});
        for (std::size_t i = 0; i < 2 * deployment::zone_count; ++i)
        {
            world.add_target("parts", i, [](const std::string&) { return 20.0; });
        }
        world.start();
        const auto service = deployment::route_address(0);
        use_route(world, service, 5'000);
        if (has_trouble())
        {
            const std::string spec =
                "{\"service\":\"parts\",\"version\":" + std::string(depth, '[') + std::string(depth, ']') + "}";
            world.platform().put("servers", "i-0badf00d", spec);
            log.line("another writer writes the entry i-0badf00d: %zu bytes", spec.size());
        }
        use_route(world, service, 15'000);
        for (const auto& one : world.system().machines())
        {
            affected += one.own_ends >= ends_bound ? 1 : 0;
        }
        write_totals(world, log);
    }
    log.line("Fault: on %zu machines the process ended by itself %d times or more", affected, ends_bound);
    return outcome(log, "Fault", affected >= machines_bound ? affected : 0);
}
