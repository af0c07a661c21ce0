#include <galenabay/control/plan.hpp>

#include <galenabay/config/codec.hpp>

#include <cmath>
#include <utility>

namespace galenabay::control
{

namespace
{

std::string describe(const config::flow_forecast& forecast)
{
    const auto percent = static_cast<int>(std::lround(forecast.moved_share * 100));
    std::string line = "  flows of " + forecast.service + ": established flows stay";
    line += ", " + std::to_string(percent) + " % of new flows go to another upstream";
    if (forecast.draining > 0)
    {
        line += ", " + std::to_string(forecast.draining) + " upstreams start to drain";
    }
    return line;
}

} // namespace

base::result<plan> make_plan(const object_api::revision_store& store, const config::service_set& next)
{
    BOOST_OUTCOME_TRY(stored, store.read());
    plan built;
    config::service_set before;
    if (stored)
    {
        built.version = stored->manifest_version;
        built.number = stored->revision.number;
        built.unchanged = stored->revision.digest == config::digest_of(next);
        before = std::move(stored->revision.set);
    }
    built.difference = config::compare(before, next);
    return built;
}

std::vector<std::string> describe(const plan& value)
{
    std::vector<std::string> lines;
    const auto base = value.number == 0 ? std::string{"nothing"} : "revision " + std::to_string(value.number);
    lines.push_back("compared with " + base + " (version " + std::to_string(value.version) + "): " +
                    (value.unchanged ? "no change" : std::to_string(value.difference.changes.size()) + " changes"));
    for (const auto& entry : value.difference.changes)
    {
        lines.push_back("  " + config::to_string(entry));
    }
    for (const auto& forecast : value.difference.forecasts)
    {
        lines.push_back(describe(forecast));
    }
    for (const auto& found : value.difference.hazards)
    {
        lines.push_back("  breaks flows, needs --force " + found.name + ": " + found.reason);
    }
    return lines;
}

} // namespace galenabay::control
