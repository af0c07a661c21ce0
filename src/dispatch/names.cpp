#include <galenabay/dispatch/action.hpp>

namespace galenabay::dispatch
{

const char* name_of(refusal reason)
{
    switch (reason)
    {
    case refusal::queue_full:
        return "queue_full";
    case refusal::deadline_unreachable:
        return "deadline_unreachable";
    case refusal::caller_over_share:
        return "caller_over_share";
    case refusal::no_upstream:
        return "no_upstream";
    case refusal::service_draining:
        return "service_draining";
    case refusal::host_leaving:
        return "host_leaving";
    case refusal::not_deciding:
        return "not_deciding";
    case refusal::upstream_refused:
        return "upstream_refused";
    case refusal::outcome_unknown:
        return "outcome_unknown";
    case refusal::no_deciding_host:
        return "no_deciding_host";
    }
    return "unknown";
}

const char* name_of(retry_reason reason)
{
    switch (reason)
    {
    case retry_reason::upstream_refused:
        return "upstream_refused";
    case retry_reason::upstream_silent:
        return "upstream_silent";
    case retry_reason::upstream_gone:
        return "upstream_gone";
    case retry_reason::hedge:
        return "hedge";
    }
    return "unknown";
}

} // namespace galenabay::dispatch
