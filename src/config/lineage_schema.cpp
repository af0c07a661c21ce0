#include "lineage_schema.hpp"

#include "service_set_schema.hpp"

#include <map>
#include <utility>

namespace galenabay::config
{

namespace
{

constexpr unsigned max_members = 4096;
constexpr unsigned max_table = max_members * (max_generations + 1);

base::error malformed(const char* detail)
{
    return base::error::make(base::error_code::malformed, "decode_revision", "", detail);
}

/// Assigns an index to each distinct upstream, in order of first use.
class upstream_table
{
public:
    explicit upstream_table(const std::vector<upstream>& current)
    {
        for (const auto& element : current)
        {
            index_of(element);
        }
        current_ = rows_.size();
    }

    std::uint16_t index_of(const upstream& element)
    {
        const auto [found, added] = positions_.emplace(element, static_cast<std::uint16_t>(rows_.size()));
        if (added)
        {
            rows_.push_back(element);
        }
        return found->second;
    }

    /// Returns the upstreams that the current state of the service lacks.
    std::vector<upstream> earlier() const
    {
        return {rows_.begin() + static_cast<std::ptrdiff_t>(current_), rows_.end()};
    }

private:
    std::map<upstream, std::uint16_t> positions_;
    std::vector<upstream> rows_;
    std::size_t current_ = 0;
};

base::result<generation> read_generation(schema::Generation::Reader reader, const std::vector<upstream>& table)
{
    if (reader.getMembers().size() > max_members)
    {
        return malformed("a generation has too many upstreams");
    }
    BOOST_OUTCOME_TRY(address, base::endpoint::parse(reader.getAddress().cStr(), reader.getPort()));
    generation built{.last_revision = reader.getLastRevision(), .address = address, .upstreams = {}};
    built.upstreams.reserve(reader.getMembers().size());
    for (const std::uint16_t index : reader.getMembers())
    {
        if (index >= table.size())
        {
            return malformed("a generation refers to an upstream that does not exist");
        }
        built.upstreams.push_back(table[index]);
    }
    return built;
}

} // namespace

void write_lineage(const std::string& service, const std::vector<generation>& generations,
                   const std::vector<upstream>& current, schema::ServiceLineage::Builder target)
{
    upstream_table table{current};
    target.setService(service);
    auto written = target.initGenerations(static_cast<unsigned>(generations.size()));
    for (unsigned i = 0; i < written.size(); ++i)
    {
        const auto& source = generations[i];
        written[i].setLastRevision(source.last_revision);
        written[i].setAddress(source.address.address_string());
        written[i].setPort(source.address.port());
        auto members = written[i].initMembers(static_cast<unsigned>(source.upstreams.size()));
        for (unsigned j = 0; j < members.size(); ++j)
        {
            members.set(j, table.index_of(source.upstreams[j]));
        }
    }
    const auto earlier = table.earlier();
    auto rows = target.initUpstreams(static_cast<unsigned>(earlier.size()));
    for (unsigned i = 0; i < rows.size(); ++i)
    {
        write_upstream(earlier[i], rows[i]);
    }
}

base::result<std::vector<generation>> read_lineage(schema::ServiceLineage::Reader reader,
                                                   const std::vector<upstream>& current)
{
    if (reader.getGenerations().size() > max_generations || reader.getUpstreams().size() > max_table)
    {
        return malformed("a lineage is longer than allowed");
    }
    std::vector<upstream> table = current;
    for (const auto row : reader.getUpstreams())
    {
        BOOST_OUTCOME_TRY(converted, read_upstream(row));
        table.push_back(std::move(converted));
    }
    std::vector<generation> generations;
    for (const auto element : reader.getGenerations())
    {
        BOOST_OUTCOME_TRY(converted, read_generation(element, table));
        generations.push_back(std::move(converted));
    }
    return generations;
}

} // namespace galenabay::config
