// Clients keep flows open and are idle for some seconds; then all of them send one request at
// the same moment. Nothing fails. FLOW: the system resets open flows of targets that live.
#include "../stand_ins/judge.hpp"

using namespace review;

namespace
{

constexpr std::size_t targets_per_zone = 2;
/// With two targets in a zone, about twelve flows a target: three slots and nine in its queue.
constexpr std::size_t flows_per_zone = 24;
constexpr int rounds = 12;
constexpr double pause_between_rounds_ms = 3'500;
/// Between the mean (44 ms) and the largest (470 ms) work of `part-hold` in nara-parts-exchange.
constexpr double work_ms = 400;

void send_round(deployment& world, bool at_once)
{
    for (std::size_t flow = 0; flow < flows_per_zone; ++flow)
    {
        for (std::size_t zone = 0; zone < deployment::zone_count; ++zone)
        {
            world.clients_of(zone).request(flow, "POST", "/hold", 300, false);
        }
        if (!at_once)
        {
            pause_ms(pause_between_rounds_ms / flows_per_zone);
        }
    }
    if (at_once)
    {
        pause_ms(pause_between_rounds_ms);
    }
}

std::size_t count_breaches(deployment& world, record& log)
{
    std::size_t breaches = 0;
    std::size_t cut_off = 0;
    for (const auto& one : world.results())
    {
        for (const auto& holder : world.targets())
        {
            if (one.reset_while_open && holder->holds_open(one.key))
            {
                ++breaches;
                cut_off += one.sent - one.answered;
                log.line("FLOW: client %s got a reset of the system at %.0f; target %s lives and holds the flow; %zu "
                         "requests sent, %zu answered",
                         text_of(one.key.client).c_str(), one.reset_at, holder->options().id.c_str(), one.sent,
                         one.answered);
            }
        }
    }
    log.line("totals: %zu requests that were sent on these flows are not answered", cut_off);
    return breaches;
}

} // namespace

int main(int, char** arguments)
{
    record log{std::string{arguments[1]} + "/record.txt"};
    begin(log, "the clients' requests come at the same moment, after a pause");
    std::size_t breaches = 0;
    {
        deployment world{log};
        world.configure(1, {deployment::route_text(0, "parts"), deployment::route_text(1, "vault")});
        for (std::size_t i = 0; i < targets_per_zone * deployment::zone_count; ++i)
        {
            world.add_target("parts", i, [](const std::string&) { return work_ms; });
        }
        world.start();
        pause_ms(3'000);
        for (std::size_t flow = 0; flow < flows_per_zone; ++flow)
        {
            for (std::size_t zone = 0; zone < deployment::zone_count; ++zone)
            {
                world.clients_of(zone).open(deployment::route_address(0));
            }
            pause_ms(20);
        }
        pause_ms(pause_between_rounds_ms);
        for (int round = 0; round < rounds; ++round)
        {
            send_round(world, has_trouble());
        }
        pause_ms(2'000);
        breaches = count_breaches(world, log);
        write_totals(world, log);
    }
    return outcome(log, "FLOW", breaches);
}
