#include "check_command.hpp"
#include "plot_commands.hpp"

#include <galenabay/config/codec.hpp>
#include <galenabay/config/load.hpp>
#include <galenabay/control/apply.hpp>
#include <galenabay/control/fleet_status.hpp>
#include <galenabay/control/plan.hpp>
#include <galenabay/control/wait.hpp>
#include <galenabay/inspect/read_fleet.hpp>
#include <galenabay/object_api/acceptance.hpp>

#include <boost/program_options.hpp>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <string>
#include <vector>

namespace options = boost::program_options;
using namespace galenabay;

namespace
{

enum exit_code : int
{
    done = 0,
    failed = 1,
    bad_input = 2,
    conflict = 3,
    not_in_force = 4,
};

constexpr const char* version_text = "galenactl 0.1.0";
constexpr auto call_timeout = std::chrono::milliseconds{3000};

/// The parsed command line.
struct command_line
{
    std::string command;
    std::vector<std::string> files;
    base::endpoint platform;
    bool wait = false;
    std::chrono::milliseconds timeout{0};
    std::optional<std::uint64_t> expected_version;
    std::vector<std::string> forced;
    std::string author;
    std::optional<std::uint64_t> to;
    std::optional<base::endpoint> store;
    std::optional<std::string> against;
    bool json = false;
    std::vector<base::endpoint> hosts;
    sample_request sample;
    std::vector<std::string> logs;
};

std::string default_author()
{
    const char* const user = std::getenv("USER");
    return user == nullptr ? "unknown" : user;
}

options::options_description make_options()
{
    options::options_description description{
        "Operates a galenabay fleet.\n\n"
        "  galenactl validate FILE...   check files without the platform\n"
        "  galenactl plan FILE...       show what applying them would change\n"
        "  galenactl apply FILE...      accept the files as one set\n"
        "  galenactl status             show the revision that each host has in force\n"
        "  galenactl history            list accepted revisions; --to N applies one again\n"
        "  galenactl inspect            users' platform: show what --store holds and what each\n"
        "                               listed host, and each --host, has in force; read-only\n"
        "  galenactl check FILE         users' platform: check a configuration (the JSON specification\n"
        "                               of config/main) before it is sent; --against FILE or --store\n"
        "                               names the one in force; read-only; exit codes 0 fine,\n"
        "                               1 findings, 2 bad input\n"
        "  galenactl sample             users' platform: read /metrics of each --host at each --interval\n"
        "                               and append them to the file --out; read-only on the hosts\n"
        "  galenactl plot FILE...       write the page --out with plots of such files and of --logs\n\n"
        "Example: galenactl apply --platform 127.0.0.1:7000 --wait examples/alliance.yaml\n\n"
        "Exit codes: 0 done, 1 failed, 2 bad input or usage, 3 conflict with another\n"
        "operator's change, 4 not in force on every live host (in time)\n\n"
        "Options"};
    auto add = description.add_options();
    add("help", "print this help");
    add("version", "print the version");
    add("platform", options::value<std::string>()->default_value("127.0.0.1:7000"), "ADDRESS:PORT of the object API");
    add("wait", "apply, history --to: wait until every live host has the revision in force");
    add("timeout", options::value<double>()->default_value(30), "longest wait in seconds");
    add("expect-version", options::value<std::uint64_t>(),
        "apply only if the version is still the one that plan showed");
    add("force", options::value<std::vector<std::string>>()->composing(),
        "accept a change that breaks flows, by the name that plan shows; repeatable");
    add("author", options::value<std::string>()->default_value(default_author()), "author of the revision");
    add("store", options::value<std::string>(), "inspect, check: ADDRESS:PORT of the platform's store");
    add("against", options::value<std::string>(), "check: file with the configuration in force");
    add("json", "check: print one JSON object");
    add("host", options::value<std::vector<std::string>>()->composing(),
        "inspect: ADDRESS:PORT at which a host serves others; sample: of its metrics; repeatable");
    add("out", options::value<std::string>()->default_value(""), "sample: file of samples; plot: page to write");
    add("interval", options::value<double>()->default_value(1), "sample: time between two readings in seconds");
    add("duration", options::value<double>()->default_value(0), "sample: end after so many seconds; 0: without end");
    add("limit-mib", options::value<std::uint64_t>()->default_value(64), "sample: end at this size of the file in MiB");
    add("logs", options::value<std::vector<std::string>>()->composing(),
        "plot: log of a host, or directory with *.log; repeatable");
    add("to", options::value<std::uint64_t>(), "history: accept the content of revision N again");
    return description;
}

options::variables_map parse(int argc, char** argv, const options::options_description& description)
{
    options::options_description all;
    all.add(description);
    all.add_options()("command", options::value<std::string>()->default_value(""));
    all.add_options()("files", options::value<std::vector<std::string>>()->default_value({}, ""));
    options::positional_options_description positional;
    positional.add("command", 1).add("files", -1);
    options::variables_map values;
    options::store(options::command_line_parser(argc, argv).options(all).positional(positional).run(), values);
    options::notify(values);
    return values;
}

std::chrono::milliseconds to_milliseconds(double seconds)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>{seconds});
}

base::result<command_line> decode(const options::variables_map& values)
{
    command_line line;
    line.command = values["command"].as<std::string>();
    line.files = values["files"].as<std::vector<std::string>>();
    BOOST_OUTCOME_TRY(platform, base::endpoint::parse(values["platform"].as<std::string>()));
    line.platform = platform;
    line.wait = values.count("wait") > 0;
    line.timeout = to_milliseconds(values["timeout"].as<double>());
    line.author = values["author"].as<std::string>();
    if (values.count("expect-version") > 0)
    {
        line.expected_version = values["expect-version"].as<std::uint64_t>();
    }
    if (values.count("force") > 0)
    {
        line.forced = values["force"].as<std::vector<std::string>>();
    }
    if (values.count("to") > 0)
    {
        line.to = values["to"].as<std::uint64_t>();
    }
    if (values.count("store") > 0)
    {
        BOOST_OUTCOME_TRY(store, base::endpoint::parse(values["store"].as<std::string>()));
        line.store = store;
    }
    if (values.count("against") > 0)
    {
        line.against = values["against"].as<std::string>();
    }
    line.json = values.count("json") > 0;
    constexpr std::uint64_t bytes_per_mib = 1U << 20U;
    line.sample = {.hosts = {},
                   .file = values["out"].as<std::string>(),
                   .interval = to_milliseconds(values["interval"].as<double>()),
                   .duration = to_milliseconds(values["duration"].as<double>()),
                   .limit = values["limit-mib"].as<std::uint64_t>() * bytes_per_mib};
    if (values.count("logs") > 0)
    {
        line.logs = values["logs"].as<std::vector<std::string>>();
    }
    if (values.count("host") > 0)
    {
        for (const auto& text : values["host"].as<std::vector<std::string>>())
        {
            BOOST_OUTCOME_TRY(host, base::endpoint::parse(text));
            line.hosts.push_back(host);
            line.sample.hosts.push_back(host);
        }
    }
    return line;
}

int report(const base::error& failure, exit_code code)
{
    std::cerr << "galenactl: " << (failure.peer().empty() ? "" : failure.peer() + ": ") << failure.detail() << " ("
              << base::name_of(failure.code()) << " in " << failure.step() << ")\n";
    return code;
}

int report(const base::error& failure)
{
    switch (failure.code())
    {
    case base::error_code::conflict:
        return report(failure, conflict);
    case base::error_code::refused:
        return report(failure, bad_input);
    default:
        return report(failure, failed);
    }
}

int usage_error(const std::string& detail)
{
    std::cerr << "galenactl: " << detail << "; see galenactl --help\n";
    return bad_input;
}

/// Runs the commands that call the platform; each returns the exit code of the process.
class session
{
public:
    explicit session(const command_line& line)
        : line_{line}, client_{object_api::object_client::make(line.platform, call_timeout)}, store_{client_}
    {
    }

    int plan(const config::service_set& set)
    {
        const auto planned = control::make_plan(store_, set);
        if (!planned)
        {
            return report(planned.error());
        }
        print(planned.value());
        return done;
    }

    int apply(const config::service_set& set)
    {
        const auto planned = control::make_plan(store_, set);
        if (!planned)
        {
            return report(planned.error());
        }
        print(planned.value());
        const control::apply_request request{set, line_.author, std::time(nullptr), line_.expected_version,
                                             line_.forced};
        const auto applied = control::apply(store_, client_, request);
        if (!applied)
        {
            return report(applied.error());
        }
        const auto& accepted = applied.value().stored.revision;
        std::cout << (applied.value().changed ? "accepted as" : "equal to") << " revision " << accepted.number
                  << " digest " << config::to_hex(accepted.digest) << std::endl;
        return line_.wait ? wait(accepted.number) : done;
    }

    int status()
    {
        const auto newest = store_.newest();
        if (!newest)
        {
            return report(newest.error());
        }
        const auto fleet = control::read_fleet_status(client_);
        if (!fleet)
        {
            return report(fleet.error());
        }
        const std::uint64_t number = newest.value() ? newest.value()->number : 0;
        print(fleet.value(), number);
        return control::lagging(fleet.value(), number).empty() ? done : not_in_force;
    }

    int history()
    {
        if (line_.to)
        {
            const auto earlier = store_.read_revision(*line_.to);
            return earlier ? apply(earlier.value().set) : report(earlier.error());
        }
        const auto entries = store_.history();
        if (!entries)
        {
            return report(entries.error());
        }
        for (const auto& entry : entries.value())
        {
            std::cout << "revision " << entry.number << " author " << entry.author << " time "
                      << object_api::format_time(entry.accepted_at) << " digest " << config::to_hex(entry.digest)
                      << '\n';
        }
        return done;
    }

private:
    static void print(const control::plan& planned)
    {
        for (const auto& line : control::describe(planned))
        {
            std::cout << line << '\n';
        }
    }

    static void print(const control::fleet_status& fleet, std::uint64_t number)
    {
        const auto now = std::time(nullptr);
        for (const auto& centre : fleet.data_centres)
        {
            std::cout << "data_centre " << centre.name << ": status written by " << centre.writer << " "
                      << now - centre.written_at << " s ago\n";
        }
        for (const auto& host : fleet.hosts)
        {
            std::cout << "host " << control::describe(host) << " in " << host.data_centre
                      << (control::has_in_force(host, number) ? "" : ": lags") << '\n';
        }
        std::cout << control::describe(fleet, number) << '\n';
    }

    int wait(std::uint64_t number)
    {
        const auto print_line = [](const std::string& line) { std::cout << line << std::endl; };
        const auto waited = control::wait_in_force(client_, number, line_.timeout, print_line);
        return waited ? done : report(waited.error(), not_in_force);
    }

    const command_line& line_;
    object_api::object_client client_;
    object_api::revision_store store_;
};

int run_on_files(const command_line& line)
{
    if (line.files.empty())
    {
        return usage_error(line.command + " needs at least one file");
    }
    const auto set = config::load_service_set(line.files, line.forced);
    if (!set)
    {
        return report(set.error(), bad_input);
    }
    if (line.command == "validate")
    {
        std::cout << "valid: " << set.value().services.size() << " services, digest "
                  << config::to_hex(config::digest_of(set.value())) << '\n';
        return done;
    }
    session opened{line};
    return line.command == "plan" ? opened.plan(set.value()) : opened.apply(set.value());
}

int inspect_fleet(const command_line& line)
{
    if (!line.store)
    {
        return usage_error("inspect needs --store");
    }
    const auto read = inspect::read_fleet(*line.store, line.hosts);
    if (!read)
    {
        return report(read.error());
    }
    for (const auto& text : inspect::describe(read.value()))
    {
        std::cout << text << '\n';
    }
    return inspect::is_current(read.value()) ? done : not_in_force;
}

int check(const command_line& line)
{
    if (line.files.size() != 1)
    {
        return usage_error("check needs one file");
    }
    return check_configuration_file({line.files.front(), line.against, line.store, line.json});
}

int plot(const command_line& line)
{
    if (line.sample.file.empty() || (line.files.empty() && line.logs.empty()))
    {
        return usage_error("plot needs --out and files of samples or --logs");
    }
    return plot_samples({line.files, line.logs, line.sample.file});
}

int run(const command_line& line)
{
    if (line.command == "validate" || line.command == "plan" || line.command == "apply")
    {
        return run_on_files(line);
    }
    if (line.command == "status")
    {
        return session{line}.status();
    }
    if (line.command == "history")
    {
        return session{line}.history();
    }
    if (line.command == "check")
    {
        return check(line);
    }
    if (line.command == "sample")
    {
        return line.sample.file.empty() ? usage_error("sample needs --out") : sample_metrics(line.sample);
    }
    if (line.command == "plot")
    {
        return plot(line);
    }
    if (line.command == "inspect")
    {
        return inspect_fleet(line);
    }
    return usage_error(line.command.empty() ? "a command is missing" : "unknown command '" + line.command + "'");
}

} // namespace

int main(int argc, char** argv)
{
    const auto description = make_options();
    try
    {
        const auto values = parse(argc, argv, description);
        if (values.count("help") > 0)
        {
            std::cout << description;
            return done;
        }
        if (values.count("version") > 0)
        {
            std::cout << version_text << '\n';
            return done;
        }
        const auto line = decode(values);
        return line ? run(line.value()) : report(line.error(), bad_input);
    }
    catch (const options::error& failure)
    {
        return usage_error(failure.what());
    }
}
