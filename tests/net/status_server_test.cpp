#include "no_descriptors.hpp"

#include <galenabay/base/log.hpp>
#include <galenabay/net/http_session.hpp>
#include <galenabay/net/status_server.hpp>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <sys/resource.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace galenabay;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t first_loopback = 0x7f4e0000;
/// The platform asks twice a second and counts a check that is not answered as failed.
constexpr auto answer_bound = 500ms;
constexpr const char* half_request = "GET /healthz HTTP/1.1\r\nHost: a\r\n";
constexpr const char* whole_request = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr const char* large_request = "GET /large HTTP/1.1\r\nHost: a\r\n\r\n";
/// Far more than the kernel buffers of one connection.
constexpr std::size_t large_body = 4U << 20U;

base::endpoint next_endpoint()
{
    static std::uint16_t port = 7300;
    return base::endpoint::make_v4(first_loopback + (static_cast<std::uint32_t>(getpid()) & 0xffffU), port++);
}

net::status_response answer(const std::string& path)
{
    if (path == "/large")
    {
        return {net::status_ok, std::string(large_body, 'a')};
    }
    if (path == "/throws")
    {
        throw std::runtime_error{"no answer"};
    }
    return path == "/healthz" ? net::status_response{net::status_ok, "ok"}
                              : net::status_response{net::status_not_found, "not found"};
}

/// A server and the connections of callers to it.
struct served
{
    explicit served(net::status_limits limits = net::status_limits::for_this_process())
        : running{net::status_server::start(address, "start_test", answer, limits)}
    {
        CHECK(running.has_value());
    }

    base::endpoint address = next_endpoint();
    base::result<net::status_server> running;
    std::vector<Poco::Net::StreamSocket> callers;

    Poco::Net::StreamSocket& connect(const std::string& text = {})
    {
        auto& caller = callers.emplace_back(Poco::Net::SocketAddress{address.to_string()});
        caller.setReceiveTimeout(Poco::Timespan{2, 0});
        if (!text.empty())
        {
            caller.sendBytes(text.data(), static_cast<int>(text.size()));
        }
        return caller;
    }
    base::result<net::http_response> get(const std::string& path) const
    {
        return net::http_session::make(address, answer_bound)
            .call({.step = "get",
                   .method = "GET",
                   .path = path,
                   .body = {},
                   .expected_version = {},
                   .timeout = answer_bound,
                   .max_response = 2 * large_body});
    }
    /// Checks that a caller with a whole request gets its response within the bound.
    void check_answered() const
    {
        const auto begun = std::chrono::steady_clock::now();
        const auto response = get("/healthz");
        CHECK(response.has_value());
        STRCMP_EQUAL("ok", response.value().body.c_str());
        CHECK(std::chrono::steady_clock::now() - begun < answer_bound);
    }
};

/// Reads until the server closes the connection or nothing comes for 2 s.
std::string read_all(Poco::Net::StreamSocket& caller)
{
    std::string text;
    char block[4096];
    try
    {
        for (int got = caller.receiveBytes(block, sizeof block); got > 0;
             got = caller.receiveBytes(block, sizeof block))
        {
            text.append(block, static_cast<std::size_t>(got));
        }
    }
    catch (const Poco::TimeoutException&)
    {
        return text + " (not closed)";
    }
    catch (const Poco::Exception&)
    {
    }
    return text;
}

std::chrono::microseconds processor_time()
{
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    const auto time_of = [](const timeval& time)
    { return std::chrono::seconds{time.tv_sec} + std::chrono::microseconds{time.tv_usec}; };
    return time_of(used.ru_utime) + time_of(used.ru_stime);
}

/// The library keeps state of its first calls and exceptions, which the leak check of the first test would report.
[[maybe_unused]] const bool warmed_up = []
{
    served warm;
    read_all(warm.connect("?\r\n\r\n"));
    read_all(warm.connect("GET /healthz HTTP/1.1\r\nLength\r\n\r\n"));
    return warm.get("/healthz").has_value();
}();

} // namespace

TEST_GROUP(status_server){
    void setup() override{// The log keeps the buffers of its first line, which the leak check would report.
                          MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
base::log_event{base::log_level::info, "test"}.with("server", "first");
MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
}
}
;

// Failure: 20 callers with unfinished requests kept /healthz and /readyz unanswered for a minute.
TEST(status_server, connections_with_unfinished_requests_do_not_delay_an_answer)
{
    served server;
    for (int i = 0; i < 400; ++i)
    {
        server.connect(i % 2 == 0 ? half_request : "");
    }
    for (int i = 0; i < 10; ++i)
    {
        server.check_answered();
    }
}

// Failure: as above; a byte now and then renews a time limit that is counted from the last byte.
TEST(status_server, connections_that_send_a_byte_at_a_time_do_not_delay_an_answer)
{
    served server;
    for (int i = 0; i < 40; ++i)
    {
        server.connect();
    }
    const std::string text{half_request};
    for (const char c : text)
    {
        for (auto& caller : server.callers)
        {
            caller.sendBytes(&c, 1);
        }
        server.check_answered();
    }
}

// Failure: callers that don't read their answer hold the server's threads as well.
TEST(status_server, connections_that_do_not_read_do_not_delay_an_answer)
{
    served server;
    for (int i = 0; i < 20; ++i)
    {
        server.connect(large_request);
    }
    // The server has formed the large responses and begun to send them.
    for (const auto& caller : server.callers)
    {
        CHECK(caller.poll(Poco::Timespan{10, 0}, Poco::Net::Socket::SELECT_READ));
    }
    for (int i = 0; i < 10; ++i)
    {
        server.check_answered();
    }
}

TEST(status_server, a_large_answer_arrives_whole)
{
    const served server;
    const auto response = server.get("/large");
    CHECK(response.has_value());
    CHECK_EQUAL(large_body, response.value().body.size());
}

TEST(status_server, a_request_in_pieces_is_answered)
{
    served server;
    auto& caller = server.connect();
    for (const char* c = whole_request; *c != '\0'; ++c)
    {
        caller.sendBytes(c, 1);
    }
    STRCMP_CONTAINS("\r\n\r\nok", read_all(caller).c_str());
}

// Failure: a caller that ends its lines without a carriage return got no answer.
TEST(status_server, a_request_with_plain_line_ends_is_answered)
{
    served server;
    for (const std::string& request :
         {std::string{"GET /healthz HTTP/1.0\n\n"}, std::string{"GET /healthz HTTP/1.1\nHost: a\n\n"},
          std::string{"GET /healthz HTTP/1.1\r\nHost: a\n\r\n"}})
    {
        STRCMP_CONTAINS("200 OK", read_all(server.connect(request)).c_str());
    }
}

TEST(status_server, the_oldest_connection_is_closed_when_there_are_too_many)
{
    served server{{.connections = 2, .connection_time = 60s}};
    auto oldest = server.connect(half_request);
    auto second = server.connect(half_request);
    auto third = server.connect(half_request);
    STRCMP_EQUAL("", read_all(oldest).c_str());
    for (auto* caller : {&second, &third})
    {
        caller->sendBytes("\r\n", 2);
        STRCMP_CONTAINS("200 OK", read_all(*caller).c_str());
    }
}

TEST(status_server, an_unfinished_request_ends_at_the_time_limit)
{
    served server{{.connections = 2, .connection_time = 100ms}};
    auto silent = server.connect();
    STRCMP_EQUAL("", read_all(silent).c_str());
}

TEST(status_server, what_is_no_request_is_refused)
{
    served server;
    STRCMP_CONTAINS(" 400 ", read_all(server.connect("?\r\n\r\n")).c_str());
    STRCMP_CONTAINS(" 431 ", read_all(server.connect("GET /" + std::string(8'192 - 5, 'a'))).c_str());
    server.check_answered();
}

TEST(status_server, a_failed_answer_ends_one_connection)
{
    served server;
    STRCMP_EQUAL("", read_all(server.connect("GET /throws HTTP/1.1\r\n\r\n")).c_str());
    server.check_answered();
}

TEST(status_server, an_address_in_use_is_an_error_with_step_and_address)
{
    const served server;
    const auto second = net::status_server::start(server.address, "start_second", answer);
    CHECK_FALSE(second.has_value());
    CHECK(second.error().code() == base::error_code::io_failure);
    STRCMP_EQUAL("start_second", second.error().step().c_str());
    STRCMP_EQUAL(server.address.to_string().c_str(), second.error().peer().c_str());
    STRCMP_EQUAL("Address already in use", second.error().detail().c_str());
}

// Failure: with no descriptor left, accept fails and the listener stays readable, so that a loop over both never
// sleeps.
TEST(status_server, a_lack_of_descriptors_costs_no_processor_time_and_passes)
{
    served server;
    std::vector<Poco::Net::StreamSocket> waiting;
    for (int i = 0; i < 3; ++i)
    {
        waiting.emplace_back(Poco::Net::SocketAddress::IPv4).setReceiveTimeout(Poco::Timespan{2, 0});
    }
    {
        const test::no_descriptors none_left;
        const auto before = processor_time();
        for (auto& caller : waiting)
        {
            caller.connect(Poco::Net::SocketAddress{server.address.to_string()});
            caller.sendBytes(whole_request, static_cast<int>(std::string{whole_request}.size()));
        }
        std::this_thread::sleep_for(500ms);
        CHECK(processor_time() - before < 100ms);
    }
    for (auto& caller : waiting)
    {
        STRCMP_CONTAINS("200 OK", read_all(caller).c_str());
    }
    server.check_answered();
}

// A limit that is lowered while connections are open makes poll fail at once, again and again.
TEST(status_server, more_connections_than_a_lowered_limit_of_descriptors_are_closed)
{
    served server;
    for (int i = 0; i < 60; ++i)
    {
        server.connect(half_request);
    }
    server.check_answered();
    const auto before = processor_time();
    {
        const test::no_descriptors fewer{20};
        server.callers.front().sendBytes("a", 1);
        STRCMP_EQUAL("", read_all(server.callers.back()).c_str());
    }
    CHECK(processor_time() - before < 100ms);
    server.check_answered();
}
