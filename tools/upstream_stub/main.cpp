// upstream_stub: stands in for any number of upstreams in one process.

#include "run_log.hpp"
#include "upstream.hpp"

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/steady_clock.hpp>

#include <boost/program_options.hpp>

#include <poll.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace
{

namespace options = boost::program_options;
using galenabay::base::endpoint;
using galenabay::base::steady_now;
using galenabay::stand_in::datagram_socket;
using galenabay::stand_in::run_log;
using galenabay::stand_in::stub_kind;
using galenabay::stand_in::stub_settings;
using galenabay::stand_in::upstream;

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
constexpr int poll_interval_ms = 1;
constexpr int control_timeout_ms = 2000;
constexpr std::size_t max_command = 128;
constexpr const char* usage_text = R"(Usage: upstream_stub --listen ADDRESS:PORT ... [options]
       upstream_stub --send "drain 3" --to ADDRESS:PORT

Stands in for upstreams behind galena_balancerd. Resources: GET /feed (Observe),
POST /hold, GET and PUT /profile/N, GET /title/N (block-wise), GET /load.

Commands (N counts from 1 in the order of the addresses, or "all"): kill, revive,
drain, undrain, shed, unshed, lie, truth, cold, "slow N FACTOR", status.

Exit codes: 0 ended by a signal or command carried out, 1 failure, 2 usage.
)";

volatile std::sig_atomic_t stop_requested = 0;

void request_stop(int /*signal*/)
{
    stop_requested = 1;
}

options::options_description make_options()
{
    options::options_description description{"Options"};
    const stub_settings defaults;
    description.add_options()("help", "show this text")("listen", options::value<std::vector<std::string>>(),
                                                        "ADDRESS:PORT of an upstream; repeatable")(
        "listen-range", options::value<std::vector<std::string>>(),
        "first ADDRESS:PORT of --count upstreams with consecutive addresses; repeatable")(
        "count", options::value<std::uint32_t>()->default_value(1), "upstreams of each range")(
        "service", options::value<std::string>()->default_value(defaults.service),
        "service name in answers")("kind", options::value<std::string>()->default_value("coap"), "coap or datagram")(
        "slots", options::value<std::size_t>()->default_value(defaults.slots), "requests that run concurrently")(
        "backlog", options::value<std::size_t>()->default_value(defaults.backlog), "requests that may be queued")(
        "connections", options::value<std::size_t>()->default_value(defaults.connections),
        "maximum number of feeds or flows")("service-ms", options::value<double>()->default_value(20),
                                            "mean service time")(
        "straggler-percent", options::value<double>()->default_value(1), "share of slow requests in percent")(
        "straggler-factor", options::value<double>()->default_value(50),
        "service time of slow requests, as a multiple")("feed-ms", options::value<double>()->default_value(1000),
                                                        "time between notifications")(
        "feed-confirmable-percent", options::value<double>()->default_value(10),
        "share of confirmable notifications in percent")("cold-s", options::value<double>()->default_value(0),
                                                         "seconds after a start in which requests take longer")(
        "report-lag-ms", options::value<double>()->default_value(0), "maximum age of the load report")(
        "dedup", options::bool_switch(), "repeat the answer to a retransmitted request")(
        "no-dedup", options::bool_switch(), "run a retransmitted request again (default)")(
        "shed", options::bool_switch(), "refuse all new work from the start")("direct", options::bool_switch(),
                                                                              "callers send without a PROXY header")(
        "drop-percent", options::value<double>()->default_value(0), "sent datagrams that are dropped")(
        "double-percent", options::value<double>()->default_value(0), "sent datagrams that are duplicated")(
        "delay-percent", options::value<double>()->default_value(0),
        "sent datagrams that are delayed")("delay-ms", options::value<double>()->default_value(50), "maximum delay")(
        "record", options::value<std::string>()->default_value(""), "file of run records")(
        "seed", options::value<std::uint64_t>()->default_value(1),
        "seed of service times and faults")("control", options::value<std::string>(), "ADDRESS:PORT for commands")(
        "send", options::value<std::string>(), "client: the command to send")("to", options::value<std::string>(),
                                                                              "client: ADDRESS:PORT of --control");
    return description;
}

galenabay::base::duration milliseconds(double value)
{
    return galenabay::base::duration{static_cast<std::int64_t>(value * 1000)};
}

stub_settings read_settings(const options::variables_map& values)
{
    stub_settings settings;
    settings.service = values["service"].as<std::string>();
    settings.kind = values["kind"].as<std::string>() == "datagram" ? stub_kind::datagram : stub_kind::coap;
    settings.slots = values["slots"].as<std::size_t>();
    settings.backlog = values["backlog"].as<std::size_t>();
    settings.connections = values["connections"].as<std::size_t>();
    settings.service_time = milliseconds(values["service-ms"].as<double>());
    settings.straggler_percent = values["straggler-percent"].as<double>();
    settings.straggler_factor = values["straggler-factor"].as<double>();
    settings.feed_interval = milliseconds(values["feed-ms"].as<double>());
    settings.confirmable_percent = values["feed-confirmable-percent"].as<double>();
    settings.cold_time = milliseconds(values["cold-s"].as<double>() * 1000);
    settings.report_lag = milliseconds(values["report-lag-ms"].as<double>());
    settings.deduplicate = values["dedup"].as<bool>();
    settings.direct = values["direct"].as<bool>();
    settings.faults = {values["drop-percent"].as<double>(), values["double-percent"].as<double>(),
                       values["delay-percent"].as<double>(), milliseconds(values["delay-ms"].as<double>())};
    settings.seed = values["seed"].as<std::uint64_t>();
    return settings;
}

/// Returns the addresses in the order of the command line; empty if one is malformed.
std::vector<endpoint> read_addresses(const options::variables_map& values)
{
    std::vector<endpoint> addresses;
    const auto add = [&addresses](const std::string& text, std::uint32_t count)
    {
        const auto first = endpoint::parse(text);
        for (std::uint32_t i = 0; first.has_value() && i < count; ++i)
        {
            addresses.push_back(endpoint::make_v4(first.value().v4() + i, first.value().port()));
        }
        return first.has_value();
    };
    bool valid = true;
    for (const char* name : {"listen", "listen-range"})
    {
        const std::uint32_t count = name == std::string{"listen"} ? 1 : values["count"].as<std::uint32_t>();
        for (const auto& text :
             values.count(name) != 0 ? values[name].as<std::vector<std::string>>() : std::vector<std::string>{})
        {
            valid = add(text, count) && valid;
        }
    }
    return valid ? addresses : std::vector<endpoint>{};
}

std::string execute_command(const std::string& command, std::vector<upstream>& upstreams)
{
    std::istringstream words{command};
    std::string verb;
    std::string target;
    double value = 1;
    words >> verb >> target >> value;
    std::size_t number = 0;
    std::from_chars(target.data(), target.data() + target.size(), number);
    std::string reply;
    for (std::size_t i = 0; i < upstreams.size(); ++i)
    {
        if (target != "all" && number != i + 1)
        {
            continue;
        }
        if (verb == "status")
        {
            reply += upstreams[i].status() + "\n";
        }
        else if (upstreams[i].on_command(verb, value == 0 ? 1 : value, steady_now()))
        {
            reply = "ok\n";
        }
    }
    return reply.empty() ? "unknown command\n" : reply;
}

int send_command(const std::string& command, const std::string& to)
{
    const auto target = endpoint::parse(to);
    auto socket = datagram_socket::bind(endpoint::make_v4(0x7f000001, 0), {}, 1);
    if (!target || !socket)
    {
        std::cerr << "upstream_stub: --to ADDRESS:PORT is required with --send\n";
        return exit_usage;
    }
    const auto text = std::as_bytes(std::span{command});
    socket.value().send(text, target.value(), steady_now());
    pollfd descriptors{socket.value().descriptor(), POLLIN, 0};
    std::vector<std::byte> bytes;
    if (poll(&descriptors, 1, control_timeout_ms) <= 0 || !socket.value().receive(bytes))
    {
        std::cerr << "upstream_stub: no answer from " << to << '\n';
        return exit_failure;
    }
    const std::string reply{reinterpret_cast<const char*>(bytes.data()), bytes.size()};
    std::cout << reply;
    return reply.starts_with("unknown") ? exit_failure : exit_ok;
}

void answer_commands(datagram_socket& control, std::vector<upstream>& upstreams)
{
    std::vector<std::byte> bytes;
    while (const auto sender = control.receive(bytes))
    {
        bytes.resize(std::min(bytes.size(), max_command));
        const std::string command{reinterpret_cast<const char*>(bytes.data()), bytes.size()};
        const auto reply = execute_command(command, upstreams);
        control.send(std::as_bytes(std::span{reply}), *sender, steady_now());
    }
}

void serve(std::vector<upstream>& upstreams, std::optional<datagram_socket>& control)
{
    std::vector<pollfd> descriptors;
    descriptors.reserve(upstreams.size() + 1);
    for (const auto& each : upstreams)
    {
        descriptors.push_back({each.descriptor(), POLLIN, 0});
    }
    if (control)
    {
        descriptors.push_back({control->descriptor(), POLLIN, 0});
    }
    while (stop_requested == 0)
    {
        poll(descriptors.data(), descriptors.size(), poll_interval_ms);
        for (std::size_t i = 0; i < upstreams.size(); ++i)
        {
            if ((descriptors[i].revents & POLLIN) != 0)
            {
                upstreams[i].on_readable(steady_now());
            }
            upstreams[i].on_tick(steady_now());
        }
        if (control)
        {
            answer_commands(*control, upstreams);
        }
    }
}

int run(const options::variables_map& values)
{
    if (values.count("send") != 0)
    {
        return send_command(values["send"].as<std::string>(),
                            values.count("to") != 0 ? values["to"].as<std::string>() : "");
    }
    const auto settings = read_settings(values);
    const auto addresses = read_addresses(values);
    if (addresses.empty())
    {
        std::cerr << "upstream_stub: expected --listen ADDRESS:PORT; see --help\n";
        return exit_usage;
    }
    run_log log{values["record"].as<std::string>()};
    std::vector<upstream> upstreams;
    for (const auto& address : addresses)
    {
        auto made = upstream::make(address, settings, settings.seed * 1000 + upstreams.size(), log, steady_now());
        if (!made)
        {
            std::cerr << "upstream_stub: " << made.error().to_string() << '\n';
            return exit_failure;
        }
        upstreams.push_back(std::move(made).value());
        upstreams.back().on_command(values["shed"].as<bool>() ? "shed" : "unshed", 1, steady_now());
    }
    std::optional<datagram_socket> control;
    if (values.count("control") != 0)
    {
        const auto address = endpoint::parse(values["control"].as<std::string>());
        auto bound = datagram_socket::bind(address ? address.value() : endpoint{}, {}, 1);
        if (!address || !bound)
        {
            std::cerr << "upstream_stub: cannot bind the --control address\n";
            return exit_failure;
        }
        control = std::move(bound).value();
    }
    std::cout << "ready upstreams=" << upstreams.size() << std::endl; // NOLINT(performance-avoid-endl)
    serve(upstreams, control);
    return exit_ok;
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
    catch (const options::error& problem)
    {
        std::cerr << "upstream_stub: " << problem.what() << '\n';
        return exit_usage;
    }
}
