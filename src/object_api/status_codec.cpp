#include <galenabay/object_api/status_codec.hpp>

#include "json_text.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

namespace galenabay::object_api
{

namespace
{

using membership::host_state;
using revision::host_status;
using revision::status_document;

constexpr std::size_t max_hosts = 65536;

/// Returns the status without the host's name; hosts with equal results form one group.
host_status common_part(host_status status)
{
    status.name.clear();
    return status;
}

Poco::JSON::Object to_group(const host_status& common, const std::vector<std::string>& names)
{
    Poco::JSON::Array hosts;
    for (const auto& name : names)
    {
        hosts.add(name);
    }
    Poco::JSON::Object json;
    if (!common.data_centre.empty())
    {
        json.set("data_centre", common.data_centre);
    }
    json.set("state", name_of(common.state));
    json.set("revision", common.revision);
    json.set("platform_reachable", common.platform_reachable);
    json.set("silent_s", common.silent_s);
    json.set("hosts", hosts);
    return json;
}

host_state state_of(const std::string& name)
{
    for (const auto state : {host_state::starting, host_state::ready, host_state::leaving})
    {
        if (name == name_of(state))
        {
            return state;
        }
    }
    throw Poco::DataFormatException{"unknown state '" + name + "'"};
}

void read_group(const Poco::JSON::Object& json, std::vector<host_status>& hosts)
{
    host_status status;
    status.data_centre = json.optValue<std::string>("data_centre", "");
    status.state = state_of(json.getValue<std::string>("state"));
    status.revision = json.getValue<Poco::UInt64>("revision");
    status.platform_reachable = json.getValue<bool>("platform_reachable");
    status.silent_s = json.getValue<Poco::UInt64>("silent_s");
    const auto names = json.getArray("hosts");
    if (names.isNull() || names->size() + hosts.size() > max_hosts)
    {
        throw Poco::DataFormatException{"expected a list of hosts"};
    }
    for (unsigned i = 0; i < names->size(); ++i)
    {
        status.name = names->getElement<std::string>(i);
        hosts.push_back(status);
    }
}

status_document read_document(const Poco::JSON::Object& json)
{
    status_document document;
    document.data_centre = json.getValue<std::string>("data_centre");
    document.writer = json.getValue<std::string>("writer");
    document.incarnation = json.getValue<Poco::UInt64>("incarnation");
    document.written_at = json.getValue<Poco::Int64>("written_at");
    const auto groups = json.getArray("groups");
    for (unsigned i = 0; !groups.isNull() && i < groups->size(); ++i)
    {
        const auto group = groups->getObject(i);
        if (group.isNull())
        {
            throw Poco::DataFormatException{"expected a group"};
        }
        read_group(*group, document.hosts);
    }
    std::sort(document.hosts.begin(), document.hosts.end());
    return document;
}

} // namespace

const char* name_of(host_state state)
{
    switch (state)
    {
    case host_state::starting:
        return "starting";
    case host_state::ready:
        return "ready";
    case host_state::leaving:
        return "leaving";
    }
    return "unknown";
}

std::string encode_status(const status_document& document)
{
    std::map<host_status, std::vector<std::string>> groups;
    for (const auto& status : document.hosts)
    {
        groups[common_part(status)].push_back(status.name);
    }
    Poco::JSON::Array rows;
    for (const auto& [common, names] : groups)
    {
        rows.add(to_group(common, names));
    }
    Poco::JSON::Object json;
    json.set("data_centre", document.data_centre);
    json.set("writer", document.writer);
    json.set("incarnation", document.incarnation);
    json.set("written_at", document.written_at);
    json.set("groups", rows);
    return to_text(json);
}

base::result<status_document> decode_status(const std::string& text)
{
    BOOST_OUTCOME_TRY(json, parse_json(text, "decode_status", ""));
    try
    {
        return read_document(*json);
    }
    catch (const Poco::Exception& failure)
    {
        return base::error::make(base::error_code::malformed, "decode_status", "", failure.displayText());
    }
}

} // namespace galenabay::object_api
