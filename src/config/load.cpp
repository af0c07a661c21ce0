#include <galenabay/config/load.hpp>

#include "service_set_schema.hpp"
#include "yaml_decoder.hpp"

#include <galenabay/base/invariant.hpp>

#include <capnp/message.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace galenabay::config
{

namespace
{

/// "FILE:LINE" of each service, by name.
using service_lines = std::map<std::string, std::string>;

/// A service set with the position of each service in its file.
struct located_set
{
    service_set set;
    service_lines lines;
};

base::error validation_error(base::error_code code, const service& owner, std::string detail)
{
    return base::error::make(code, "validate", owner.name, "service '" + owner.name + "': " + std::move(detail));
}

base::result<void> check_upstreams(const service& owner, std::map<base::endpoint, std::string>& used)
{
    std::set<std::string> names;
    for (const auto& target : owner.upstreams)
    {
        if (!names.insert(target.name).second)
        {
            return validation_error(base::error_code::conflict, owner,
                                    "upstream name '" + target.name + "' is used twice");
        }
        if (target.endpoint.port() == 0)
        {
            return validation_error(base::error_code::out_of_range, owner, "upstream '" + target.name + "' has port 0");
        }
        const auto [first, added] = used.emplace(target.endpoint, owner.name + "/" + target.name);
        if (!added)
        {
            return validation_error(base::error_code::conflict, owner,
                                    "upstream '" + target.name + "': endpoint " + target.endpoint.to_string() +
                                        " is already used by '" + first->second + "'");
        }
    }
    return base::outcome::success();
}

base::result<located_set> parse_located(std::string_view text, const std::string& file)
{
    BOOST_OUTCOME_TRY(root, parse_yaml(text, file));
    capnp::MallocMessageBuilder message;
    auto decoded = message.initRoot<schema::ServiceSet>();
    BOOST_OUTCOME_TRY(decode_yaml(root, file, decoded));
    BOOST_OUTCOME_TRY(set, read_service_set(decoded.asReader()));
    located_set located{std::move(set), {}};
    const auto is_services = [](const yaml_entry& entry) { return entry.key == "services"; };
    const auto services = std::find_if(root.entries.begin(), root.entries.end(), is_services);
    for (std::size_t i = 0; services != root.entries.end() && i < located.set.services.size(); ++i)
    {
        const auto line = services->value.elements[i].line;
        located.lines.emplace(located.set.services[i].name, file + ":" + std::to_string(line));
    }
    return located;
}

/// Validates the set and adds "FILE:LINE" to an error.
base::result<service_set> validate_located(located_set located, std::span<const std::string> without_upstreams)
{
    if (const auto valid = validate(located.set, without_upstreams); !valid.has_value())
    {
        const auto& failure = valid.error();
        const auto line = located.lines.find(failure.peer());
        return base::error::make(failure.code(), failure.step(),
                                 line == located.lines.end() ? failure.peer() : line->second, failure.detail());
    }
    return sorted(std::move(located.set));
}

base::result<void> join(located_set& joined, located_set next, const std::string& file)
{
    if (joined.set.name != next.set.name)
    {
        return error_at(base::error_code::conflict, file, 1,
                        "name: expected '" + joined.set.name + "' as in the first file, found '" + next.set.name + "'");
    }
    for (auto& [name, line] : next.lines)
    {
        if (const auto [first, added] = joined.lines.emplace(name, line); !added)
        {
            return base::error::make(base::error_code::conflict, "load_settings", line,
                                     "name: service '" + name + "' is already defined at " + first->second);
        }
    }
    std::move(next.set.services.begin(), next.set.services.end(), std::back_inserter(joined.set.services));
    return base::outcome::success();
}

} // namespace

base::result<void> validate_structure(const service_set& set)
{
    std::set<std::string> names;
    std::map<base::endpoint, std::string> addresses;
    std::map<base::endpoint, std::string> upstreams;
    for (const auto& element : set.services)
    {
        if (!names.insert(element.name).second)
        {
            return validation_error(base::error_code::conflict, element, "the name is used twice");
        }
        if (const auto [first, added] = addresses.emplace(element.address, element.name); !added)
        {
            return validation_error(base::error_code::conflict, element,
                                    "address " + element.address.to_string() + " is already used by service '" +
                                        first->second + "'");
        }
        BOOST_OUTCOME_TRY(check_upstreams(element, upstreams));
    }
    return base::outcome::success();
}

base::result<void> validate(const service_set& set, std::span<const std::string> without_upstreams)
{
    BOOST_OUTCOME_TRY(validate_structure(set));
    for (const auto& element : set.services)
    {
        const bool exempt =
            std::find(without_upstreams.begin(), without_upstreams.end(), element.name) != without_upstreams.end();
        const bool takes_new_flows = std::any_of(element.upstreams.begin(), element.upstreams.end(),
                                                 [](const upstream& target) { return !target.draining; });
        if (!takes_new_flows && !element.draining && !exempt)
        {
            return validation_error(base::error_code::invalid_argument, element,
                                    "expected at least one upstream that is not draining, or draining: true");
        }
    }
    return base::outcome::success();
}

base::result<service_set> parse_service_set(std::string_view text, const std::string& file)
{
    BOOST_OUTCOME_TRY(located, parse_located(text, file));
    return validate_located(std::move(located), {});
}

base::result<service_set> load_service_set(std::span<const std::string> files,
                                           std::span<const std::string> without_upstreams)
{
    if (files.empty())
    {
        return base::error::make(base::error_code::invalid_argument, "load_settings", "", "expected at least one file");
    }
    located_set joined;
    for (const auto& file : files)
    {
        BOOST_OUTCOME_TRY(text, read_bounded_file(file));
        BOOST_OUTCOME_TRY(next, parse_located(text, file));
        if (&file == &files.front())
        {
            joined = std::move(next);
            continue;
        }
        BOOST_OUTCOME_TRY(join(joined, std::move(next), file));
    }
    return validate_located(std::move(joined), without_upstreams);
}

} // namespace galenabay::config
