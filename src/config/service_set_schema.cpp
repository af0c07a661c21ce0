#include "service_set_schema.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace galenabay::config
{

namespace
{

constexpr unsigned max_services = 8192;
constexpr unsigned max_upstreams = 4096;

template <typename List> base::result<void> check_length(const List& list, unsigned longest)
{
    if (list.size() > longest)
    {
        return base::error::make(base::error_code::out_of_range, "read_service_set", "",
                                 "a list has more than " + std::to_string(longest) + " elements");
    }
    return base::outcome::success();
}

template <typename T> bool by_name(const T& a, const T& b)
{
    return a.name < b.name;
}

} // namespace

base::result<upstream> read_upstream(schema::Upstream::Reader reader)
{
    BOOST_OUTCOME_TRY(endpoint, base::endpoint::parse(reader.getAddress().cStr(), reader.getPort()));
    return upstream{.name = reader.getName().cStr(),
                    .endpoint = endpoint,
                    .data_centre = reader.getDataCentre().cStr(),
                    .weight = std::max<std::uint32_t>(reader.getWeight(), 1),
                    .slots = std::max<std::uint32_t>(reader.getSlots(), 1),
                    .connections = std::max<std::uint32_t>(reader.getConnections(), 1),
                    .draining = reader.getDraining()};
}

base::result<service> read_service(schema::Service::Reader reader)
{
    BOOST_OUTCOME_TRY(check_length(reader.getUpstreams(), max_upstreams));
    BOOST_OUTCOME_TRY(address, base::endpoint::parse(reader.getAddress().cStr(), reader.getPort()));
    const auto requests = reader.getRequests();
    service built;
    built.name = reader.getName().cStr();
    built.kind = reader.getKind() == schema::ServiceKind::COAP ? service_kind::coap : service_kind::datagram;
    built.address = address;
    built.flows = flow_policy{.idle_timeout_s = reader.getFlows().getIdleTimeoutS()};
    built.requests = request_policy{.deadline_ms = requests.getDeadlineMs(),
                                    .queue_limit = requests.getQueueLimit(),
                                    .retry_budget_percent = requests.getRetryBudgetPercent(),
                                    .max_age_s = requests.getMaxAgeS()};
    built.draining = reader.getDraining();
    built.upstreams.reserve(reader.getUpstreams().size());
    for (const auto target : reader.getUpstreams())
    {
        BOOST_OUTCOME_TRY(converted, read_upstream(target));
        built.upstreams.push_back(std::move(converted));
    }
    return built;
}

base::result<service_set> read_service_set(schema::ServiceSet::Reader reader)
{
    BOOST_OUTCOME_TRY(check_length(reader.getServices(), max_services));
    service_set set;
    set.name = reader.getName().cStr();
    set.services.reserve(reader.getServices().size());
    for (const auto element : reader.getServices())
    {
        BOOST_OUTCOME_TRY(converted, read_service(element));
        set.services.push_back(std::move(converted));
    }
    return set;
}

void write_upstream(const upstream& source, schema::Upstream::Builder target)
{
    target.setName(source.name);
    target.setAddress(source.endpoint.address_string());
    target.setPort(source.endpoint.port());
    target.setDataCentre(source.data_centre);
    target.setWeight(static_cast<std::uint16_t>(source.weight));
    target.setSlots(static_cast<std::uint16_t>(source.slots));
    target.setConnections(source.connections);
    target.setDraining(source.draining);
}

void write_service(const service& source, schema::Service::Builder target)
{
    target.setName(source.name);
    target.setKind(source.kind == service_kind::coap ? schema::ServiceKind::COAP : schema::ServiceKind::DATAGRAM);
    target.setAddress(source.address.address_string());
    target.setPort(source.address.port());
    target.setDraining(source.draining);
    target.initFlows().setIdleTimeoutS(source.flows.idle_timeout_s);
    auto requests = target.initRequests();
    requests.setDeadlineMs(source.requests.deadline_ms);
    requests.setQueueLimit(source.requests.queue_limit);
    requests.setRetryBudgetPercent(static_cast<std::uint8_t>(source.requests.retry_budget_percent));
    requests.setMaxAgeS(source.requests.max_age_s);
    auto upstreams = target.initUpstreams(static_cast<unsigned>(source.upstreams.size()));
    for (unsigned i = 0; i < upstreams.size(); ++i)
    {
        write_upstream(source.upstreams[i], upstreams[i]);
    }
}

void write_service_set(const service_set& source, schema::ServiceSet::Builder target)
{
    target.setName(source.name);
    auto services = target.initServices(static_cast<unsigned>(source.services.size()));
    for (unsigned i = 0; i < services.size(); ++i)
    {
        write_service(source.services[i], services[i]);
    }
}

service_set sorted(service_set set)
{
    std::sort(set.services.begin(), set.services.end(), by_name<service>);
    for (auto& element : set.services)
    {
        std::sort(element.upstreams.begin(), element.upstreams.end(), by_name<upstream>);
    }
    return set;
}

} // namespace galenabay::config
