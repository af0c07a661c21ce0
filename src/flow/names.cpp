#include <galenabay/flow/steering.hpp>

namespace galenabay::flow
{

const char* name_of(drop_reason reason)
{
    switch (reason)
    {
    case drop_reason::none:
        return "none";
    case drop_reason::no_revision:
        return "no_revision";
    case drop_reason::unknown_service:
        return "unknown_service";
    case drop_reason::address_moved:
        return "address_moved";
    case drop_reason::service_draining:
        return "service_draining";
    case drop_reason::no_upstream:
        return "no_upstream";
    case drop_reason::upstream_gone:
        return "upstream_gone";
    case drop_reason::too_many_hops:
        return "too_many_hops";
    case drop_reason::undecided:
        return "undecided";
    }
    return "unknown";
}

} // namespace galenabay::flow
