#pragma once

#include <galenabay/base/time.hpp>
#include <galenabay/steer/packet_header.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace galenabay::steer
{

/// Detects that the link to another data centre has failed: several of its upstreams do not answer
/// this host, none of them does, and upstreams elsewhere answer. Does no I/O. Not thread-safe;
/// owned by the `steerer`.
///
/// Evidence about single upstreams takes two unanswered SYNs for each of them, so that a cut of a
/// data centre with many upstreams would cost many flows.
class data_centre_evidence
{
public:
    struct options
    {
        /// Distinct upstreams without an answer that show a failed link: several may crash
        /// together, but then the rest of the data centre answers.
        std::size_t required_upstreams = 3;
        /// Of these, the number that this host has asked itself. Votes of other hosts may supply
        /// the rest: one host with a failing link must not decide for all others.
        std::size_t required_own = 2;
        /// Time for which an unanswered packet counts.
        base::duration window = std::chrono::seconds{2};
        /// Shortest time between two trial flows.
        base::duration trial_interval = std::chrono::milliseconds{500};
        /// New flows for each trial flow, so that trials stay below 3 of 100 flows.
        std::uint32_t flows_per_trial = 32;
        /// Time after which a trial is made however few new flows there are.
        base::duration longest_trial_interval = std::chrono::seconds{3};
        /// Time without new evidence after which a silent data centre is used again: its
        /// upstreams or the service are no longer there.
        base::duration silence_lifetime = std::chrono::seconds{30};
    };

    /// Begin or end of the silence of a data centre.
    struct change
    {
        std::string data_centre;
        bool silent = false;
        /// Distinct upstreams without an answer, when the silence begins.
        std::size_t upstreams = 0;
        /// Duration of the silence, when it ends.
        base::duration lasted{0};
    };

    /// How an upstream failed to answer.
    enum class sign
    {
        /// A SYN got no answer within `steering_options::syn_answer_limit`.
        unanswered_syn,
        /// A caller sent a request again. The first time says little: an upstream that works on a
        /// request for longer than a retransmission timeout does not answer either.
        retransmission,
        /// Another host reports the upstream as silent.
        vote,
    };

    /// `own`: this host's data centre, which never counts as silent.
    data_centre_evidence(std::string own, options limits) : own_{std::move(own)}, options_{limits} {}

    /// Records an answer from an upstream of the data centre. Returns true when that ends a silence.
    bool on_answer(const std::string& data_centre, base::time_point now);
    /// Records a sign of silence of an upstream, whose packet was sent at `sent_at`. It counts only
    /// if no upstream of the data centre has answered since.
    void on_sign(const std::string& data_centre, upstream_token token, sign what, base::time_point sent_at,
                 base::time_point now);
    /// Discards the evidence: this process did not run for a while.
    void on_pause();
    /// Decides by the evidence and drops what is old; call it every `steerer::tick_interval`.
    void tick(base::time_point now);

    /// Returns true when new flows avoid any data centre.
    bool any_silent() const noexcept { return silent_count_ > 0; }
    std::size_t silent_count() const noexcept { return silent_count_; }
    /// Returns true when new flows avoid the data centre.
    bool is_silent(const std::string& data_centre) const;
    /// Returns when an upstream of the data centre answered last; the epoch of the clock if none has.
    base::time_point last_answer(const std::string& data_centre) const;
    /// Counts a new flow that could go to a silent data centre. Returns true when it is to go there
    /// as a trial.
    bool take_trial(const std::string& data_centre, base::time_point now);
    /// Number of trial flows, each of which may cost its caller a retransmission timeout.
    std::uint64_t trial_count() const noexcept { return trial_count_; }
    /// Returns the silences that began or ended since the last call.
    std::vector<change> take_changes() { return std::exchange(changes_, {}); }

private:
    /// An upstream that did not answer.
    struct silent_upstream
    {
        upstream_token token = 0;
        base::time_point sent_at{};
        std::uint32_t weight = 0;
        bool own = false;
    };

    struct record
    {
        std::string name;
        base::time_point last_answer{};
        base::time_point last_sign{};
        /// Upstreams without an answer since `last_answer`.
        std::vector<silent_upstream> upstreams;
        /// Answers and signs of this host's own flows, halved every `halving_interval`.
        double answers = 0;
        double signs = 0;
        bool silent = false;
        base::time_point silent_since{};
        base::time_point last_trial{};
        std::uint32_t flows_since_trial = 0;
    };

    record& record_of(const std::string& data_centre);
    const record* find(const std::string& data_centre) const;
    bool has_enough_signs(const record& of) const;
    /// Returns true when the upstreams of other data centres have answered since the newest of the
    /// signs, and few of their packets remained without an answer.
    bool do_others_answer(const record& of, base::time_point now) const;
    void evaluate(record& of, base::time_point now);
    void end_silence(record& of, base::time_point now);

    std::string own_;
    options options_;
    /// A deployment has few data centres, so a search by name is short.
    std::vector<record> records_;
    std::size_t silent_count_ = 0;
    std::uint64_t trial_count_ = 0;
    base::time_point next_halving_{};
    std::vector<change> changes_;
};

} // namespace galenabay::steer
