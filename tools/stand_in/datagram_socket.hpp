#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/random.hpp>
#include <galenabay/base/result.hpp>
#include <galenabay/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace galenabay::stand_in
{

/// What happens to sent datagrams, each with a probability in percent.
/// A delayed datagram overtakes none and is overtaken: that reorders.
struct datagram_faults
{
    double drop_percent = 0;
    double double_percent = 0;
    double delay_percent = 0;
    /// Longest delay; each delay is uniform up to this.
    base::duration delay{50'000};
};

/// A bound, non-blocking UDP socket that can drop, delay, reorder and double what
/// it sends. Owned by one thread.
class datagram_socket
{
public:
    /// Errors: `io_failure`.
    static base::result<datagram_socket> bind(const base::endpoint& address, const datagram_faults& faults,
                                              std::uint64_t seed);
    datagram_socket(datagram_socket&& other) noexcept;
    datagram_socket& operator=(datagram_socket&& other) noexcept;
    ~datagram_socket();

    int descriptor() const noexcept { return descriptor_; }

    /// Sends, or loses silently as UDP does.
    void send(std::span<const std::byte> bytes, const base::endpoint& to, base::time_point now);

    /// Reads one datagram into `bytes`; its sender, or nothing when none waits.
    std::optional<base::endpoint> receive(std::vector<std::byte>& bytes);

    /// Sends the delayed datagrams that are due.
    void on_tick(base::time_point now);

private:
    struct delayed
    {
        base::endpoint to;
        std::vector<std::byte> bytes;
    };

    datagram_socket(int descriptor, const datagram_faults& faults, std::uint64_t seed);
    bool should_inject(double percent);
    void send_now(std::span<const std::byte> bytes, const base::endpoint& to) const;

    int descriptor_ = -1;
    datagram_faults faults_;
    base::random_source random_;
    std::multimap<base::time_point, delayed> delayed_;
};

} // namespace galenabay::stand_in
