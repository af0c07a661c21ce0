#include "server.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <boost/program_options.hpp>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <string>

namespace options = boost::program_options;

namespace
{

constexpr int bad_usage = 2;

options::options_description make_options()
{
    options::options_description description{"In-memory stub of the platform's object API.\n\n"
                                             "  platform_stub --listen 127.0.0.1:7000 --hosts hosts.yaml\n"
                                             "  platform_stub --fault '{\"down\": true}' --to 127.0.0.1:7000\n\n"
                                             "Options"};
    auto add = description.add_options();
    add("help", "print this help");
    add("listen", options::value<std::string>()->default_value("127.0.0.1:7000"), "ADDRESS:PORT to serve on");
    add("hosts", options::value<std::string>()->default_value(""),
        "YAML list of hosts: name, data_centre, control, relay, health; read again on SIGHUP");
    add("list-lag", options::value<std::uint32_t>()->default_value(0), "delay of the list of hosts in ms");
    add("writes", options::value<double>()->default_value(400), "accepted writes per second");
    add("reads", options::value<double>()->default_value(2000), "accepted reads per second");
    add("fault", options::value<std::string>(),
        "client: set faults by JSON with the keys down, delay_ms, lose_write_answers, reject_every, stale_reads, "
        "restore_version");
    add("stats", "client: print the counters");
    add("to", options::value<std::string>()->default_value("127.0.0.1:7000"), "client: ADDRESS:PORT of the stub");
    return description;
}

int call(const std::string& to, const std::string& method, const std::string& path, const std::string& body)
{
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress{to}};
    Poco::Net::HTTPRequest request{method, path, Poco::Net::HTTPMessage::HTTP_1_1};
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    std::string answer;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), answer);
    std::cout << answer << '\n';
    return response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK ? 0 : 1;
}

int serve(const options::variables_map& values)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : {SIGTERM, SIGINT, SIGHUP})
    {
        sigaddset(&signals, number);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    galenabay::stub::server_settings settings;
    settings.listen = values["listen"].as<std::string>();
    settings.hosts_file = values["hosts"].as<std::string>();
    settings.list_lag = std::chrono::milliseconds{values["list-lag"].as<std::uint32_t>()};
    settings.writes_per_second = values["writes"].as<double>();
    settings.reads_per_second = values["reads"].as<double>();
    galenabay::stub::server server{settings};
    std::cout << "event=platform_stub_started listen=" << settings.listen << std::endl;
    int received = 0;
    while (sigwait(&signals, &received) == 0 && received == SIGHUP)
    {
        server.hosts().reload();
    }
    std::cout << "event=platform_stub_stopped stats=" << server.state().stats_json() << std::endl;
    return 0;
}

int run(int argc, char** argv)
{
    const auto description = make_options();
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help") > 0)
    {
        std::cout << description << '\n';
        return 0;
    }
    const auto to = values["to"].as<std::string>();
    if (values.count("fault") > 0)
    {
        return call(to, "POST", "/v1/faults", values["fault"].as<std::string>());
    }
    if (values.count("stats") > 0)
    {
        return call(to, "GET", "/v1/stats", "");
    }
    return serve(values);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const options::error& failure)
    {
        std::cerr << "platform_stub: " << failure.what() << '\n';
        return bad_usage;
    }
    catch (const Poco::Exception& failure)
    {
        std::cerr << "platform_stub: " << failure.displayText() << '\n';
        return 1;
    }
}
