#include "host_processes.hpp"

#include <galenabay/base/invariant.hpp>
#include <galenabay/net/http_session.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

namespace galenabay::edge_soak
{

namespace
{

using namespace std::chrono_literals;

constexpr auto probe_interval = 500ms;
constexpr auto probe_timeout = 200ms;
constexpr int misses_until_removed = 2;
constexpr double restart_delay_s = 0.5;
/// Traffic starts this long after the machines, so that a host has to be ready by then.
constexpr double ready_bound_s = 10;
constexpr rlim_t max_descriptors = 4'100;

std::string describe(int status)
{
    return WIFSIGNALED(status) ? "signal=" + std::to_string(WTERMSIG(status))
                               : "exit=" + std::to_string(WEXITSTATUS(status));
}

/// Returns a value of a process's status, written in `base`; 0 if the process is gone.
unsigned long status_value(pid_t process, const std::string& name, int base)
{
    std::ifstream in{"/proc/" + std::to_string(process) + "/status"};
    for (std::string line; std::getline(in, line);)
    {
        if (line.starts_with(name))
        {
            return std::strtoul(line.c_str() + name.size(), nullptr, base);
        }
    }
    return 0;
}

} // namespace

host_processes::host_processes(std::string program, std::string directory, std::size_t count,
                               const base::endpoint& first_store, address_block block)
    : program_{std::move(program)}, directory_{std::move(directory)}, first_store_{first_store}, block_{block},
      hosts_(count), misses_(count, misses_until_removed), in_rotation_(count)
{
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        hosts_[i].data_centre = i % 3;
        write_settings(i, settings_write::in_place);
    }
    prober_ = std::thread{[this] { probe(); }};
}

host_processes::~host_processes()
{
    stop_.store(true);
    prober_.join();
    for (auto& host : hosts_)
    {
        host.replaced.push_back(host.process);
        for (const auto process : host.replaced)
        {
            if (process > 0)
            {
                ::kill(process, SIGCONT);
                ::kill(process, SIGKILL);
                ::waitpid(process, nullptr, 0);
            }
        }
    }
}

base::endpoint host_processes::address_of(std::size_t host, std::uint16_t port) const
{
    return base::endpoint::make_v4(block_.hosts() + static_cast<std::uint32_t>(host), port);
}

base::endpoint host_processes::store_of(std::size_t host) const
{
    return base::endpoint::make_v4(first_store_.v4() + static_cast<std::uint32_t>(host), first_store_.port());
}

std::string host_processes::file_path(std::size_t host, const char* suffix) const
{
    return directory_ + "/host-" + std::to_string(host) + suffix;
}

std::string host_processes::settings_text(std::size_t host) const
{
    std::ostringstream out;
    out << "node: \"host-" << host << "\"\nzone: \"" << data_centre_of(host) << "\"\nbind-addrs:\n"
        << "  datagram-addr: \"" << address_of(host, ports_.packets).to_string() << "\"\n"
        << "  readiness-addr: \"" << address_of(host, ports_.readiness).to_string() << "\"\n"
        << "port-range:\n  - " << ports_.peers << "\n  - " << ports_.peers + 9 << "\nseeds: [" << seeds_of(host)
        << "]\n"
        << "bounds:\n  config-ms: 3000\n  grace-s: 6\n  flow-ttl-s: 60\n  evacuate-ms: " << evacuation_bound_ms
        << "\n  warmup-overshoot: " << warm_up_overshoot << "\n  warmup-slack: " << warm_up_slack << "\n"
        << "platform:\n  address: \"" << store_of(host).to_string() << "\"\n";
    return out.str();
}

void host_processes::write_settings(std::size_t host, settings_write how) const
{
    const auto text = settings_text(host);
    const auto file = file_path(host, ".yaml");
    const auto written = how == settings_write::rename ? file + ".new" : file;
    std::ofstream out{written, std::ios::trunc};
    out << (how == settings_write::half ? text.substr(0, text.size() / 2) : text);
    out.close();
    if (how == settings_write::rename)
    {
        std::filesystem::rename(written, file);
    }
}

std::string host_processes::seeds_of(std::size_t host) const
{
    constexpr std::size_t seed_count = 3;
    std::string seeds;
    for (std::size_t seed = 0; host % 2 == 0 && seed < std::min(seed_count, hosts_.size()); ++seed)
    {
        seeds += (seeds.empty() ? "\"" : ", \"") + address_of(seed, ports_.peers).to_string() + "\"";
    }
    return seeds;
}

void host_processes::run_program(std::size_t host, int output) const
{
    // If the soak is killed, no host stays behind and occupies its addresses.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const rlimit descriptors{max_descriptors, max_descriptors};
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    // `handles_signals` looks at this setting, which a process inherits.
    ::signal(SIGPIPE, SIG_DFL); // NOLINT(cert-err33-c)
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    const auto settings = file_path(host, ".yaml");
    const auto metrics = std::to_string(ports_.metrics);
    ::execl(program_.c_str(), program_.c_str(), "--settings", settings.c_str(), "--metrics-port", metrics.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
}

void host_processes::start(std::size_t host, double now)
{
    auto& one = hosts_[host];
    const auto log = file_path(host, ".log");
    const bool through_pipe = host % 3 == 1;
    const int output =
        through_pipe ? output_.open(log) : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    // Closed by exec: until then, a signal would end the copy of this program and not the host.
    std::array<int, 2> executed{};
    GALENABAY_INVARIANT(::pipe2(executed.data(), O_CLOEXEC) == 0);
    const pid_t process = ::fork();
    GALENABAY_INVARIANT(process >= 0);
    if (process == 0)
    {
        run_program(host, output);
    }
    ::close(executed[1]);
    char unused = 0;
    GALENABAY_INVARIANT(::read(executed[0], &unused, 1) == 0);
    ::close(executed[0]);
    ::close(output);
    one.process = process;
    one.exit_expected = false;
    one.reported_late = false;
    one.started_at = now;
    one.restart_delay = restart_delay_s;
    if (started_)
    {
        started_(host, now);
    }
}

bool host_processes::signal(std::size_t host, int number)
{
    return hosts_[host].process > 0 && ::kill(hosts_[host].process, number) == 0;
}

bool host_processes::handles_signals(std::size_t host) const
{
    // The program ignores SIGPIPE after it has blocked the other signals.
    constexpr unsigned long broken_pipe = 1UL << (SIGPIPE - 1);
    return hosts_[host].process > 0 && (status_value(hosts_[host].process, "SigIgn:", 16) & broken_pipe) != 0;
}

void host_processes::end(std::size_t host, int number, double delay)
{
    hosts_[host].exit_expected = true;
    hosts_[host].restart_delay = delay;
    signal(host, number);
}

void host_processes::replace(std::size_t host, double now)
{
    if (signal(host, SIGTERM))
    {
        hosts_[host].replaced.push_back(hosts_[host].process);
        start(host, now);
    }
}

void host_processes::kill_replaced(std::size_t host)
{
    for (const auto process : hosts_[host].replaced)
    {
        ::kill(process, SIGKILL);
    }
}

void host_processes::add(std::size_t host, double start_at)
{
    hosts_[host].start_at = start_at;
    set_in_use(host, true);
}

void host_processes::remove(std::size_t host)
{
    end(host, SIGTERM, 0);
    set_in_use(host, false);
}

void host_processes::set_in_use(std::size_t host, bool in_use)
{
    hosts_[host].in_use = in_use;
    const std::lock_guard lock{mutex_};
    in_rotation_[host] = in_use ? 1 : 0;
}

void host_processes::disturb(std::size_t host, double until)
{
    hosts_[host].disturbed_until = std::max(hosts_[host].disturbed_until, until);
}

void host_processes::hold_up(std::size_t host, double now, double until)
{
    disturb(host, until);
    auto& [from, to] = hosts_[host].held_up;
    from = now > to ? now : from;
    to = std::max(to, until);
}

std::pair<double, double> host_processes::held_up(std::size_t host) const
{
    return hosts_[host].held_up;
}

std::string host_processes::data_centre_of(std::size_t host) const
{
    return "zone-" + std::to_string(hosts_[host].data_centre);
}

std::size_t host_processes::find(const base::endpoint& packets) const
{
    const auto number = packets.is_v4() ? packets.v4() - block_.hosts() : hosts_.size();
    return std::min<std::size_t>(number, hosts_.size());
}

bool host_processes::runs(std::size_t host, double now) const
{
    return hosts_[host].process > 0 && now >= hosts_[host].held_up.second;
}

std::vector<std::string> host_processes::restart_ended(double now)
{
    std::vector<std::string> unexpected;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        auto& host = hosts_[i];
        std::erase_if(host.replaced, [](pid_t process) { return ::waitpid(process, nullptr, WNOHANG) == process; });
        int status = 0;
        if (host.process > 0 && ::waitpid(host.process, &status, WNOHANG) == host.process)
        {
            if (!host.exit_expected)
            {
                unexpected.push_back("host=host-" + std::to_string(i) + " " + describe(status) +
                                     " after_s=" + std::to_string(now - host.started_at));
            }
            host.process = -1;
            host.start_at = now + host.restart_delay;
        }
        if (host.process < 0 && host.in_use && now >= host.start_at)
        {
            start(i, now);
        }
    }
    return unexpected;
}

std::vector<std::string> host_processes::late_hosts(double now)
{
    std::vector<std::string> late;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        auto& host = hosts_[i];
        if (host.process < 0 || host.exit_expected || host.reported_late || is_ready(i) ||
            now - std::max(host.started_at, host.disturbed_until) < ready_bound_s)
        {
            continue;
        }
        host.reported_late = true;
        late.push_back("host=host-" + std::to_string(i) + " started_s=" + std::to_string(host.started_at) +
                       " disturbed_until_s=" + std::to_string(host.disturbed_until));
    }
    return late;
}

bool host_processes::is_ready(std::size_t host) const
{
    const std::lock_guard lock{mutex_};
    return misses_[host] == 0;
}

bool host_processes::all_ready() const
{
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        if (hosts_[i].in_use && (hosts_[i].process < 0 || !is_ready(i)))
        {
            return false;
        }
    }
    return true;
}

long host_processes::peak_memory_kb() const
{
    long peak = 0;
    for (const auto& host : hosts_)
    {
        peak = std::max(peak, host.process > 0 ? static_cast<long>(status_value(host.process, "VmHWM:", 10)) : 0);
    }
    return peak;
}

void host_processes::probe()
{
    while (!stop_.load())
    {
        for (std::size_t i = 0; i < misses_.size() && !stop_.load(); ++i)
        {
            auto session = net::http_session::make(address_of(i, ports_.readiness), probe_timeout);
            const auto answer = session.call({.step = "probe",
                                              .method = "GET",
                                              .path = "/readyz",
                                              .body = {},
                                              .expected_version = {},
                                              .timeout = probe_timeout,
                                              .max_response = 4096});
            const std::lock_guard lock{mutex_};
            misses_[i] = answer ? 0 : misses_[i] + 1;
        }
        std::this_thread::sleep_for(probe_interval);
    }
}

std::vector<base::endpoint> host_processes::rotation() const
{
    const std::lock_guard lock{mutex_};
    std::vector<base::endpoint> ready;
    std::vector<base::endpoint> all;
    for (std::size_t i = 0; i < misses_.size(); ++i)
    {
        if (in_rotation_[i] == 0)
        {
            continue;
        }
        all.push_back(address_of(i, ports_.packets));
        if (misses_[i] < misses_until_removed)
        {
            ready.push_back(all.back());
        }
    }
    return ready.size() * 2 < all.size() ? all : ready;
}

} // namespace galenabay::edge_soak
