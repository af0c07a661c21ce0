#include "revision_schema.hpp"

#include "lineage_schema.hpp"
#include "service_set_schema.hpp"

#include <galenabay/config/codec.hpp>
#include <galenabay/config/load.hpp>

#include <algorithm>
#include <utility>

namespace galenabay::config
{

namespace
{

constexpr unsigned max_services_in_part = 8192;
constexpr unsigned max_lineages_in_part = 16384;

base::error malformed(const char* detail)
{
    return base::error::make(base::error_code::malformed, "decode_revision", "", detail);
}

std::map<std::string, const service*> index_by_name(const std::vector<service>& services)
{
    std::map<std::string, const service*> index;
    for (const auto& element : services)
    {
        index.emplace(element.name, &element);
    }
    return index;
}

} // namespace

void write_part(const std::vector<service>& services, const lineage_map& lineage, schema::RevisionPart::Builder target)
{
    auto written = target.initServices(static_cast<unsigned>(services.size()));
    for (unsigned i = 0; i < written.size(); ++i)
    {
        write_service(services[i], written[i]);
    }
    const auto index = index_by_name(services);
    auto rows = target.initLineage(static_cast<unsigned>(lineage.size()));
    unsigned row = 0;
    for (const auto& [name, generations] : lineage)
    {
        const auto found = index.find(name);
        write_lineage(name, generations, found == index.end() ? std::vector<upstream>{} : found->second->upstreams,
                      rows[row++]);
    }
}

base::result<void> read_part(schema::RevisionPart::Reader reader, accepted_revision& revision)
{
    if (reader.getServices().size() > max_services_in_part || reader.getLineage().size() > max_lineages_in_part)
    {
        return malformed("a part has too many services or lineages");
    }
    std::vector<service> services;
    services.reserve(reader.getServices().size());
    for (const auto element : reader.getServices())
    {
        BOOST_OUTCOME_TRY(converted, read_service(element));
        services.push_back(std::move(converted));
    }
    const auto index = index_by_name(services);
    for (const auto element : reader.getLineage())
    {
        const std::string name{element.getService().cStr()};
        const auto found = index.find(name);
        BOOST_OUTCOME_TRY(generations, read_lineage(element, found == index.end() ? std::vector<upstream>{}
                                                                                  : found->second->upstreams));
        if (!revision.lineage.emplace(name, std::move(generations)).second)
        {
            return malformed("the lineage of a service is given twice");
        }
    }
    std::move(services.begin(), services.end(), std::back_inserter(revision.set.services));
    return base::outcome::success();
}

base::result<digest> read_digest(capnp::Data::Reader reader)
{
    digest value{};
    if (reader.size() != value.size())
    {
        return malformed("a digest has the wrong length");
    }
    std::copy(reader.begin(), reader.end(), value.begin());
    return value;
}

base::result<accepted_revision> verify_revision(accepted_revision revision)
{
    if (revision.number == 0)
    {
        return malformed("a revision has no number");
    }
    revision.set = sorted(std::move(revision.set));
    BOOST_OUTCOME_TRY(validate_structure(revision.set));
    if (digest_of(revision.set) != revision.digest)
    {
        return base::error::make(base::error_code::corrupt, "decode_revision", "",
                                 "the digest does not match the service set");
    }
    return revision;
}

} // namespace galenabay::config
