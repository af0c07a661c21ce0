#include <galenabay/revision/status_aggregator.hpp>

#include <galenabay/base/hash.hpp>
#include <galenabay/base/invariant.hpp>

#include <algorithm>
#include <utility>

namespace galenabay::revision
{

namespace
{

std::uint64_t weight_of(const std::string& host, const std::string& key)
{
    return base::mix(base::hash_text(host), base::hash_text(key));
}

host_status to_status(const membership::host_report& report, const std::string& own_data_centre)
{
    const auto data_centre = report.data_centre == own_data_centre ? std::string{} : report.data_centre;
    return host_status{report.name, data_centre, report.state, report.revision, report.platform_reachable, 0};
}

std::uint64_t whole_seconds(base::duration time)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(time).count());
}

} // namespace

status_aggregator::status_aggregator(aggregator_settings settings)
    : settings_{std::move(settings)}, random_{base::mix(settings_.seed, base::hash_text(settings_.self))}
{
}

std::string status_aggregator::key() const
{
    return status_prefix + settings_.data_centre;
}

bool status_aggregator::is_writer() const
{
    return writer_ == settings_.self;
}

base::duration status_aggregator::jitter(base::duration longest)
{
    return base::duration{static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(longest.count())))};
}

void status_aggregator::on_hosts(std::span<const observed_host> hosts, base::time_point now)
{
    const bool was_writer = is_writer();
    update_reachability(hosts);
    writer_ = elect_writer(hosts);
    for (const auto& [report, report_age] : hosts)
    {
        if (reports_for(report.data_centre))
        {
            auto& known = known_[report.name];
            known.status = to_status(report, settings_.data_centre);
            known.last_report_at = std::max(known.last_report_at, now - report_age);
        }
    }
    std::erase_if(known_,
                  [&](const auto& entry)
                  {
                      const auto& data_centre = entry.second.status.data_centre;
                      return !data_centre.empty() && !reports_for(data_centre);
                  });
    if (!was_writer && is_writer())
    {
        // The previous writer may have written since: read before writing.
        version_.reset();
    }
}

void status_aggregator::update_reachability(std::span<const observed_host> hosts)
{
    live_per_data_centre_.clear();
    connected_data_centres_.clear();
    for (const auto& [report, report_age] : hosts)
    {
        const bool is_live = report_age < settings_.report_timeout;
        live_per_data_centre_[report.data_centre] += is_live ? 1U : 0U;
        if (is_live && report.platform_reachable)
        {
            connected_data_centres_.insert(report.data_centre);
        }
    }
}

std::string status_aggregator::elect_writer(std::span<const observed_host> hosts) const
{
    std::string elected;
    std::uint64_t best = 0;
    for (const auto& [report, report_age] : hosts)
    {
        const bool may_write = report.data_centre == settings_.data_centre && report_age < settings_.report_timeout &&
                               report.platform_reachable;
        const auto weight = weight_of(report.name, key());
        if (may_write && (elected.empty() || weight > best))
        {
            elected = report.name;
            best = weight;
        }
    }
    return elected;
}

bool status_aggregator::reports_for(const std::string& data_centre) const
{
    if (data_centre == settings_.data_centre)
    {
        return true;
    }
    if (connected_data_centres_.contains(data_centre) || connected_data_centres_.empty())
    {
        return false;
    }
    const auto lighter = [&](const std::string& a, const std::string& b)
    { return weight_of(a, data_centre) < weight_of(b, data_centre); };
    return *std::max_element(connected_data_centres_.begin(), connected_data_centres_.end(), lighter) ==
           settings_.data_centre;
}

void status_aggregator::on_status_read(std::uint64_t version, const std::string& writer, base::time_point now)
{
    call_in_flight_ = false;
    version_ = version;
    if (conflicted_ && !writer.empty() && writer != settings_.self)
    {
        // Two hosts have elected different writers; leave the document to the other
        // one for a while.
        not_before_ = now + settings_.refresh_interval + jitter(settings_.refresh_interval);
        version_.reset();
    }
    conflicted_ = false;
    written_at_.reset();
}

void status_aggregator::on_read_failure(base::time_point now)
{
    call_in_flight_ = false;
    not_before_ = now + settings_.write_interval + jitter(settings_.refresh_interval);
}

void status_aggregator::on_status_written(write_result result, std::uint64_t version, base::time_point now)
{
    call_in_flight_ = false;
    not_before_ = now + settings_.write_interval;
    if (result == write_result::written)
    {
        GALENABAY_INVARIANT(version > 0);
        version_ = version;
        return;
    }
    version_.reset();
    written_at_.reset();
    conflicted_ = result == write_result::conflict;
    if (result == write_result::unknown)
    {
        not_before_ += jitter(settings_.refresh_interval);
    }
}

std::vector<host_status> status_aggregator::document_hosts(base::time_point now)
{
    std::erase_if(known_, [&](const auto& entry) { return now - entry.second.last_report_at > settings_.drop_after; });
    std::vector<host_status> hosts;
    for (const auto& [name, known] : known_)
    {
        auto status = known.status;
        const auto report_age = now - known.last_report_at;
        status.silent_s = report_age < settings_.report_timeout ? 0 : whole_seconds(report_age);
        hosts.push_back(std::move(status));
    }
    return hosts;
}

void status_aggregator::add_write(base::time_point now, status_actions& out)
{
    auto hosts = document_hosts(now);
    const bool changed = hosts != written_;
    const bool due = !written_at_ || now - *written_at_ >= settings_.refresh_interval;
    if (!changed && !due)
    {
        return;
    }
    written_ = hosts;
    written_at_ = now;
    call_in_flight_ = true;
    out.emplace_back(write_status{
        key(), status_document{settings_.data_centre, settings_.self, settings_.incarnation, 0, std::move(hosts)},
        *version_});
}

status_actions status_aggregator::on_tick(base::time_point now)
{
    status_actions out;
    if (last_tick_ && now - *last_tick_ > settings_.pause_limit)
    {
        // Another host may have become the writer; wait until reports arrive again.
        version_.reset();
        not_before_ = now + settings_.report_timeout;
    }
    last_tick_ = now;
    if (!is_writer() || call_in_flight_ || now < not_before_)
    {
        return out;
    }
    if (!version_)
    {
        call_in_flight_ = true;
        out.emplace_back(read_status{key()});
        return out;
    }
    add_write(now, out);
    if (now >= next_cleanup_)
    {
        next_cleanup_ = now + settings_.cleanup_interval + jitter(settings_.cleanup_interval / 5);
        out.emplace_back(list_statuses{});
    }
    return out;
}

status_actions status_aggregator::on_status_list(std::span<const std::pair<std::string, std::uint64_t>> versions,
                                                 base::time_point now)
{
    status_actions out;
    std::map<std::string, seen_version> seen;
    for (const auto& [name, version] : versions)
    {
        const auto known = listed_versions_.find(name);
        const bool unchanged = known != listed_versions_.end() && known->second.version == version;
        const auto since = unchanged ? known->second.since : now;
        seen.emplace(name, seen_version{version, since});
        const auto data_centre = name.substr(std::min(name.size(), std::string{status_prefix}.size()));
        const bool has_hosts = live_per_data_centre_.contains(data_centre) && live_per_data_centre_[data_centre] > 0;
        if (!has_hosts && now - since >= settings_.abandoned_after)
        {
            out.emplace_back(remove_status{name, version});
        }
    }
    listed_versions_ = std::move(seen);
    return out;
}

} // namespace galenabay::revision
