// Included before CppUTest, which redefines `new`.
#include "../../src/net/status_connection.hpp"

#include "../wire/fuzz.hpp"

#include <galenabay/net/http_session.hpp>

#include <CppUTest/TestHarness.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <exception>
#include <span>
#include <string>
#include <string_view>
#include <thread>

using namespace galenabay;
using namespace std::chrono_literals;

namespace
{

std::string mutated(std::string_view valid, base::random_source& random)
{
    const auto bytes = test::mutate(std::as_bytes(std::span{valid}), random);
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

/// Returns what a connection of a status server answers to the bytes that a caller sends before it stops sending.
std::string answer_to(const std::string& request)
{
    std::array<int, 2> ends{};
    LONGS_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()));
    std::string got(4'096, '\0');
    {
        net::status_connection served{ends[0], {}};
        [[maybe_unused]] const auto sent = send(ends[1], request.data(), request.size(), MSG_NOSIGNAL);
        shutdown(ends[1], SHUT_WR);
        const auto answer = [](const std::string& path) { return net::status_response{net::status_ok, path}; };
        try
        {
            while (served.advance(answer))
            {
            }
        }
        catch (const std::exception&)
        {
            // The server reports it and ends the connection.
        }
        const auto size = recv(ends[1], got.data(), got.size(), 0);
        got.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
    }
    close(ends[1]);
    return got;
}

/// Calls a server that answers each of `count` calls with a mutated response; returns the number of successful calls.
int calls_answered(int count, std::uint64_t seed)
{
    Poco::Net::ServerSocket listener{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    std::thread server{[&]
                       {
                           base::random_source random{seed};
                           const std::string_view valid = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                                          "Store-Era: 3\r\nContent-Length: 12\r\n\r\n{\"items\":[]}";
                           std::array<char, 1'024> request{};
                           for (int i = 0; i < count; ++i)
                           {
                               try
                               {
                                   auto client = listener.acceptConnection();
                                   client.receiveBytes(request.data(), request.size());
                                   const auto text = mutated(valid, random);
                                   client.sendBytes(text.data(), static_cast<int>(text.size()));
                               }
                               catch (const Poco::Exception&)
                               {
                                   // The client has given up the connection.
                               }
                           }
                       }};
    int answered = 0;
    const auto address = base::endpoint::make_v4(0x7f000001, listener.address().port());
    for (int i = 0; i < count; ++i)
    {
        const auto answer = net::http_session::make(address, 200ms)
                                .call({.step = "get",
                                       .method = "GET",
                                       .path = "/objects",
                                       .body = {},
                                       .expected_version = {},
                                       .timeout = 200ms,
                                       .max_response = 1'000,
                                       .response_header = "Store-Era"});
        answered += answer ? 1 : 0;
    }
    server.join();
    return answered;
}

/// The library keeps state of its first exceptions, which the leak check would report.
[[maybe_unused]] const int warmed_up = calls_answered(50, 1);

} // namespace

/// Heads of requests and responses with bytes that are changed, inserted or cut off. Failure: one malformed head ends
/// the process, or an exception leaves a call.
TEST_GROUP(mutated_heads){};

TEST(mutated_heads, of_requests_end_no_process)
{
    constexpr int requests = 2'000;
    base::random_source random{20261206};
    int answered = 0;
    for (int i = 0; i < requests; ++i)
    {
        const auto answer = answer_to(mutated(
            "GET /healthz HTTP/1.1\r\nHost: 10.1.0.10:8167\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", random));
        answered += answer.starts_with("HTTP/1.") ? 1 : 0;
    }
    CHECK(answered > requests / 4);
}

TEST(mutated_heads, of_responses_end_no_call_with_an_exception)
{
    constexpr int responses = 500;
    CHECK(calls_answered(responses, 20261206) > 0);
}
