#include "dispatcher_state.hpp"

#include <galenabay/base/hash.hpp>

#include <utility>

namespace galenabay::dispatch
{

void dispatcher::state::record_own_claim(request_key key, base::time_point now)
{
    own_claims_.emplace_back(now, key);
    while (now - own_claims_.front().first >= settings_.retransmission_span)
    {
        own_claims_.pop_front();
    }
}

void dispatcher::state::update_witnesses(base::time_point now)
{
    std::set<std::string> next;
    for (const auto& [id, service] : services_)
    {
        next.insert(service.witnesses.begin(), service.witnesses.end());
    }
    for (const auto& host : next)
    {
        if (!witnesses_.contains(host))
        {
            replicate_claims(host, now);
        }
    }
    witnesses_ = std::move(next);
}

void dispatcher::state::replicate_claims(const std::string& host, base::time_point now)
{
    const base::duration span = settings_.retransmission_span;
    for (const auto& [granted, key] : own_claims_)
    {
        if (now - granted < span)
        {
            replicator_.add({host, key});
        }
    }
    // The holder of a claim may have restarted and lost its record, so all claims
    // are replicated before this host leaves.
    const auto must_replicate = [this](const std::string& holder) { return leaving_ || !hosts_.is_live(holder); };
    for (const request_key key : claims_.recent(span, now, must_replicate))
    {
        replicator_.add({host, key});
    }
}

void dispatcher::state::send_replicated_claims(base::time_point now)
{
    // The receiver only has to record that the request may have run, so any
    // sequence that no request of this host uses will do.
    for (const auto& claim : replicator_.take_due(now))
    {
        ++counters_.intents_sent;
        out_.emplace_back(send_intent{claim.host, claim.key, intent_to_run, base::mix(claim.key, next_sequence_)});
    }
}

} // namespace galenabay::dispatch
