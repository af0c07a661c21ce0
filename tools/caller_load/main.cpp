// caller_load: open-loop callers that distribute their datagrams over the hosts at
// random and check every answer.

#include "datagram_flows.hpp"
#include "exchange_table.hpp"
#include "feed_clients.hpp"
#include "host_list.hpp"
#include "record_check.hpp"
#include "request_load.hpp"
#include "settings.hpp"
#include "summary.hpp"

#include <boost/program_options.hpp>
#include <galenabay/base/steady_clock.hpp>

#include <poll.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace
{

namespace options = boost::program_options;
using namespace galenabay::stand_in;
using galenabay::base::duration;
using galenabay::base::steady_now;
using galenabay::base::time_point;

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
constexpr int poll_interval_ms = 1;
constexpr const char* usage_text =
    R"(Usage: caller_load --hosts ADDRESS,... --service NAME=PORT:KIND[:ROLES] ... [options]
       caller_load --check-records CALLER_FILE[,...] UPSTREAM_FILE[,...]

KIND is coap or datagram; ROLES is a list out of feeds, holds, profiles, titles
(default: all). Prints key=value lines.

Exit codes: 0 all answers correct, 1 an answer was wrong, lost or duplicated, a feed
broke, or a record contradicts another; 2 usage.
)";

volatile std::sig_atomic_t stop_requested = 0;

void request_stop(int /*signal*/)
{
    stop_requested = 1;
}

options::options_description make_options()
{
    options::options_description description{"Options"};
    description.add_options()("help", "show this text")("hosts", options::value<std::string>()->default_value(""),
                                                        "host addresses, separated by commas")(
        "hosts-file", options::value<std::string>()->default_value(""), "file of host addresses, read again regularly")(
        "service", options::value<std::vector<std::string>>(), "NAME=PORT:KIND[:ROLES]; repeatable")(
        "callers", options::value<std::size_t>()->default_value(64),
        "sockets for feeds and requests")("feeds", options::value<std::size_t>()->default_value(0), "feeds to hold")(
        "datagram-flows", options::value<std::size_t>()->default_value(0), "opaque flows")(
        "requests-per-second", options::value<double>()->default_value(100), "requests started per second")(
        "post-percent", options::value<double>()->default_value(30), "share of holds in percent")(
        "blockwise-percent", options::value<double>()->default_value(10), "share of block-wise documents in percent")(
        "swing", options::value<std::string>()->default_value("1@10"),
        "FACTOR@SECONDS: the rate is FACTOR times as high in the last quarter of each period")(
        "duration", options::value<double>()->default_value(10), "seconds in which requests are started")(
        "ack-timeout-ms", options::value<double>()->default_value(500), "ACK_TIMEOUT of RFC 7252")(
        "max-retransmit", options::value<unsigned>()->default_value(4),
        "MAX_RETRANSMIT of RFC 7252")("answer-timeout-ms", options::value<double>()->default_value(25000),
                                      "time after which a request counts as lost")(
        "feed-keepalive-s", options::value<double>()->default_value(10),
        "time between renewals of a feed")("feed-renewal-s", options::value<double>()->default_value(4),
                                           "time without notification after which a feed is renewed")(
        "feed-silence-s", options::value<double>()->default_value(20),
        "time without notification after which a feed counts as broken")(
        "excused-upstreams", options::value<std::string>()->default_value(""),
        "file of upstream names whose feeds may break")("lost-allowed", options::value<std::size_t>()->default_value(0),
                                                        "lost requests that do not fail the run")(
        "drop-percent", options::value<double>()->default_value(0), "sent datagrams that are dropped")(
        "double-percent", options::value<double>()->default_value(0), "sent datagrams that are duplicated")(
        "delay-percent", options::value<double>()->default_value(0),
        "sent datagrams that are delayed")("delay-ms", options::value<double>()->default_value(50), "maximum delay")(
        "record", options::value<std::string>()->default_value(""), "file to which the outcomes of holds are appended")(
        "report", options::value<std::string>()->default_value(""), "file to which the summary is also written")(
        "seed", options::value<std::uint64_t>()->default_value(1),
        "seed of the load")("check-records", options::value<std::vector<std::string>>()->multitoken(),
                            "record files of callers and of upstreams to compare");
    return description;
}

duration milliseconds(double value)
{
    return duration{static_cast<std::int64_t>(value * 1000)};
}

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream in{text};
    for (std::string part; std::getline(in, part, separator);)
    {
        parts.push_back(part);
    }
    return parts;
}

/// Parses "NAME=PORT:KIND[:ROLES]".
std::optional<target_service> parse_service(const std::string& text)
{
    target_service service;
    const auto equals = text.find('=');
    const auto parts = split(equals == std::string::npos ? "" : text.substr(equals + 1), ':');
    if (parts.size() < 2 || (parts[1] != "coap" && parts[1] != "datagram"))
    {
        return std::nullopt;
    }
    service.name = text.substr(0, equals);
    std::from_chars(parts[0].data(), parts[0].data() + parts[0].size(), service.port);
    service.is_datagram = parts[1] == "datagram";
    const auto roles = split(parts.size() > 2 ? parts[2] : "feeds,holds,profiles,titles", ',');
    const auto has = [&](const char* role)
    { return !service.is_datagram && std::find(roles.begin(), roles.end(), role) != roles.end(); };
    service.feeds = has("feeds");
    service.holds = has("holds");
    service.profiles = has("profiles");
    service.titles = has("titles");
    return service.port == 0 ? std::nullopt : std::optional{service};
}

void read_swing(const std::string& text, load_settings& settings)
{
    const auto parts = split(text, '@');
    if (parts.size() == 2)
    {
        settings.swing_factor = std::stod(parts[0]);
        settings.swing_period = milliseconds(std::stod(parts[1]) * 1000);
    }
}

load_settings read_settings(const options::variables_map& values)
{
    load_settings settings;
    settings.hosts = split(values["hosts"].as<std::string>(), ',');
    settings.hosts_file = values["hosts-file"].as<std::string>();
    settings.callers = values["callers"].as<std::size_t>();
    settings.feeds = values["feeds"].as<std::size_t>();
    settings.datagram_flows = values["datagram-flows"].as<std::size_t>();
    settings.requests_per_second = values["requests-per-second"].as<double>();
    settings.post_percent = values["post-percent"].as<double>();
    settings.title_percent = values["blockwise-percent"].as<double>();
    settings.length = milliseconds(values["duration"].as<double>() * 1000);
    settings.ack_timeout = milliseconds(values["ack-timeout-ms"].as<double>());
    settings.max_retransmit = values["max-retransmit"].as<unsigned>();
    settings.answer_timeout = milliseconds(values["answer-timeout-ms"].as<double>());
    settings.feed_keepalive = milliseconds(values["feed-keepalive-s"].as<double>() * 1000);
    settings.feed_renewal = milliseconds(values["feed-renewal-s"].as<double>() * 1000);
    settings.feed_silence = milliseconds(values["feed-silence-s"].as<double>() * 1000);
    settings.excused_upstreams = values["excused-upstreams"].as<std::string>();
    settings.lost_allowed = values["lost-allowed"].as<std::size_t>();
    settings.faults = {values["drop-percent"].as<double>(), values["double-percent"].as<double>(),
                       values["delay-percent"].as<double>(), milliseconds(values["delay-ms"].as<double>())};
    settings.record = values["record"].as<std::string>();
    settings.report = values["report"].as<std::string>();
    settings.seed = values["seed"].as<std::uint64_t>();
    read_swing(values["swing"].as<std::string>(), settings);
    return settings;
}

/// One load run: polls the sockets and drives feeds, requests and flows on one thread.
class load_run
{
public:
    load_run(const load_settings& settings, host_list& hosts, summary& results, exchange_table exchanges,
             datagram_flows flows, time_point now)
        : settings_{settings}, hosts_{hosts}, exchanges_{std::move(exchanges)}, flows_{std::move(flows)},
          feeds_{settings, exchanges_, results, now}, requests_{settings, exchanges_, results, now}, start_{now}
    {
        for (std::size_t i = 0; i < exchanges_.callers(); ++i)
        {
            descriptors_.push_back({exchanges_.descriptor(i), POLLIN, 0});
        }
        for (std::size_t i = 0; i < flows_.size(); ++i)
        {
            descriptors_.push_back({flows_.descriptor(i), POLLIN, 0});
        }
    }

    void run()
    {
        while (stop_requested == 0)
        {
            poll(descriptors_.data(), descriptors_.size(), poll_interval_ms);
            const auto now = steady_now();
            const bool ended = now - start_ >= settings_.length;
            if (ended && (requests_.open() == 0 || now - start_ > settings_.length * 2 + settings_.answer_timeout * 2))
            {
                break;
            }
            read_sockets(now);
            tick(now);
        }
        feeds_.finish(steady_now());
    }

private:
    void read_sockets(time_point now)
    {
        for (std::size_t i = 0; i < descriptors_.size(); ++i)
        {
            if ((descriptors_[i].revents & POLLIN) == 0)
            {
                continue;
            }
            if (i >= exchanges_.callers())
            {
                flows_.on_readable(i - exchanges_.callers(), now);
                continue;
            }
            dispatch_events(exchanges_.on_readable(i, now), now);
        }
    }

    void tick(time_point now)
    {
        hosts_.on_tick(now);
        dispatch_events(exchanges_.on_tick(now), now);
        feeds_.on_tick(now);
        requests_.on_tick(now);
        flows_.on_tick(now);
    }

    void dispatch_events(const std::vector<exchange_event>& events, time_point now)
    {
        for (const auto& event : events)
        {
            if (feeds_.owns(event.token))
            {
                feeds_.on_event(event, now);
            }
            else
            {
                requests_.on_event(event, now);
            }
        }
    }

    load_settings settings_;
    host_list& hosts_;
    exchange_table exchanges_;
    datagram_flows flows_;
    feed_clients feeds_;
    request_load requests_;
    time_point start_;
    std::vector<pollfd> descriptors_;
};

bool is_clean(const summary& results, const load_settings& settings)
{
    const bool answers = results.get("wrong") == 0 && results.get("doubled") == 0 && results.get("contradicted") == 0 &&
                         results.get("lost") <= settings.lost_allowed;
    const bool flows = results.get("feeds_broken") == 0 && results.get("datagram_flows_moved") == 0;
    const bool worked = (settings.requests_per_second <= 0 || results.get("ok") > 0) &&
                        (settings.feeds == 0 || results.get("feeds_held") > 0) &&
                        (settings.datagram_flows == 0 || results.get("datagrams_echoed") > 0);
    return answers && flows && worked;
}

int load(const load_settings& settings)
{
    host_list hosts{settings.hosts, settings.hosts_file, settings.seed + 5};
    if (hosts.empty() || settings.services.empty())
    {
        std::cerr << "caller_load: --hosts and --service are required; see --help\n";
        return exit_usage;
    }
    summary results;
    const auto now = steady_now();
    auto exchanges = exchange_table::make(settings, hosts);
    auto flows = datagram_flows::make(settings, hosts, results, now);
    if (!exchanges || !flows)
    {
        std::cerr << "caller_load: " << (exchanges ? flows.error() : exchanges.error()).to_string() << '\n';
        return exit_failure;
    }
    for (const char* key : {"requests", "ok", "refused", "unknown", "lost", "wrong", "doubled", "contradicted"})
    {
        results.add(key, 0);
    }
    load_run run{settings, hosts, results, std::move(exchanges).value(), std::move(flows).value(), now};
    run.run();
    results.print(std::cout);
    if (!settings.report.empty())
    {
        std::ofstream file{settings.report};
        results.print(file);
    }
    return is_clean(results, settings) ? exit_ok : exit_failure;
}

int check(const std::vector<std::string>& files)
{
    if (files.size() != 2)
    {
        std::cerr << "caller_load: --check-records needs two lists of files\n";
        return exit_usage;
    }
    summary results;
    const bool clean = check_records(split(files[0], ','), split(files[1], ','), results);
    results.print(std::cout);
    return clean ? exit_ok : exit_failure;
}

int run(const options::variables_map& values)
{
    if (values.count("check-records") != 0)
    {
        return check(values["check-records"].as<std::vector<std::string>>());
    }
    auto settings = read_settings(values);
    for (const auto& text :
         values.count("service") != 0 ? values["service"].as<std::vector<std::string>>() : std::vector<std::string>{})
    {
        const auto service = parse_service(text);
        if (!service)
        {
            std::cerr << "caller_load: expected NAME=PORT:KIND[:ROLES], got " << text << '\n';
            return exit_usage;
        }
        settings.services.push_back(*service);
    }
    return load(settings);
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGTERM, request_stop); // NOLINT(cert-err33-c)
    std::signal(SIGINT, request_stop);  // NOLINT(cert-err33-c)
    try
    {
        const auto description = make_options();
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") != 0)
        {
            std::cout << usage_text << description;
            return exit_ok;
        }
        return run(values);
    }
    catch (const std::exception& problem)
    {
        std::cerr << "caller_load: " << problem.what() << '\n';
        return exit_usage;
    }
}
