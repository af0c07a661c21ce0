#include "edged_process.hpp"

#include <galenabay/net/http_session.hpp>

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace galenabay::edged_test
{

base::endpoint host_settings::next_address()
{
    // Only this process uses this address, so that its ports are free.
    constexpr std::uint32_t first_loopback = 0x7f4e0000;
    constexpr std::uint32_t process_mask = 0xffff;
    constexpr std::uint16_t first_port = 7100;
    static std::uint16_t port = first_port;
    const auto process = static_cast<std::uint32_t>(getpid()) & process_mask;
    return base::endpoint::make_v4(first_loopback + process, port++);
}

std::string host_settings::text() const
{
    constexpr int peer_ports = 16;
    std::ostringstream out;
    out << "node: \"" << name << "\"\nzone: \"" << data_centre << "\"\nbind-addrs:\n  datagram-addr: \""
        << packets.to_string() << "\"\n  readiness-addr: \"" << readiness.to_string() << "\"\nport-range: ["
        << peers.port() << ", " << peers.port() + peer_ports - 1
        << "]\nbounds:\n  config-ms: 3000\n  grace-s: " << stop_time.count() << "\n  flow-ttl-s: 60\n"
        << (evacuation_bound ? "  evacuate-ms: " + std::to_string(evacuation_bound->count()) + "\n" : "")
        << "platform:\n  address: \"" << store.to_string() << "\"\n";
    return out.str();
}

edged_process::edged_process(const host_settings& settings) : settings_{settings}
{
    std::string made = "/tmp/galenabay-edged-XXXXXX";
    CHECK(mkdtemp(made.data()) != nullptr);
    directory_ = made;
    write_settings(settings_.text());
}

edged_process::~edged_process()
{
    kill();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

void edged_process::write_settings(const std::string& text) const
{
    std::ofstream{settings_path(), std::ios::trunc | std::ios::binary} << text;
}

void edged_process::start(const start_options& options)
{
    CHECK(process_ < 0);
    ended_.reset();
    const auto log_file = log_path();
    std::vector<std::string> words{GALENABAY_EDGED_PROGRAM, "--settings", settings_path(), "--metrics-port",
                                   std::to_string(settings_.metrics_port)};
    words.insert(words.end(), options.arguments.begin(), options.arguments.end());
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (auto& word : words)
    {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    process_ = fork();
    CHECK(process_ >= 0);
    if (process_ == 0)
    {
        // If the test is killed, no process stays behind.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out =
            options.output >= 0 ? options.output : open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        // Sockets of the test must not stay open in the process.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        if (options.prepare != nullptr)
        {
            options.prepare();
        }
        execv(GALENABAY_EDGED_PROGRAM, arguments.data());
        _exit(127);
    }
}

void edged_process::signal(int number) const
{
    CHECK(process_ > 0);
    ::kill(process_, number);
}

void edged_process::kill()
{
    if (process_ > 0)
    {
        ::kill(process_, SIGKILL);
        wait(stop_bound);
    }
}

bool edged_process::is_running()
{
    return process_ > 0 && !wait(0ms);
}

std::optional<exit_result> edged_process::wait(std::chrono::milliseconds limit)
{
    holds_within(limit,
                 [&]
                 {
                     int status = 0;
                     if (process_ > 0 && waitpid(process_, &status, WNOHANG) == process_)
                     {
                         constexpr int signal_base = 128;
                         process_ = -1;
                         ended_ = {WIFSIGNALED(status) ? signal_base + WTERMSIG(status) : WEXITSTATUS(status)};
                     }
                     return ended_.has_value();
                 });
    return ended_;
}

std::string edged_process::descriptor_target(int descriptor) const
{
    std::error_code ignored;
    return std::filesystem::read_symlink("/proc/" + std::to_string(process_) + "/fd/" + std::to_string(descriptor),
                                         ignored);
}

bool edged_process::answers(const base::endpoint& server, const std::string& path)
{
    constexpr auto timeout = 300ms;
    constexpr std::size_t max_response = 1U << 20U;
    return net::http_session::make(server, timeout)
        .call({.step = "probe",
               .method = "GET",
               .path = path,
               .body = {},
               .expected_version = {},
               .timeout = timeout,
               .max_response = max_response})
        .has_value();
}

std::string edged_process::log() const
{
    std::ostringstream text;
    text << std::ifstream{log_path(), std::ios::binary}.rdbuf();
    return text.str();
}

std::size_t edged_process::count(const std::string& event) const
{
    const auto text = log();
    const auto sought = "event=" + event + " ";
    std::size_t found = 0;
    for (auto at = text.find(sought); at != std::string::npos; at = text.find(sought, at + 1))
    {
        ++found;
    }
    return found;
}

} // namespace galenabay::edged_test
