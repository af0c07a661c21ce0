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

/// Faults injected into sent datagrams, each with a probability in percent. Delays also
/// reorder, because datagrams sent later overtake a delayed one.
struct datagram_faults
{
    double drop_percent = 0;
    double double_percent = 0;
    double delay_percent = 0;
    /// Maximum delay; each delay is uniformly distributed up to this.
    base::duration delay{50'000};
};

/// A bound, non-blocking UDP socket that can drop, delay, reorder and duplicate what it
/// sends. Owned by one thread.
class datagram_socket
{
public:
    /// Opens a socket bound to `address`; `seed` determines the faults. Errors:
    /// `io_failure`.
    static base::result<datagram_socket> bind(const base::endpoint& address, const datagram_faults& faults,
                                              std::uint64_t seed);
    datagram_socket(datagram_socket&& other) noexcept;
    datagram_socket& operator=(datagram_socket&& other) noexcept;
    ~datagram_socket();

    int descriptor() const noexcept { return descriptor_; }

    /// Sends a datagram, subject to the faults. Send errors are ignored: UDP may lose it anyway.
    void send(std::span<const std::byte> bytes, const base::endpoint& to, base::time_point now);

    /// Reads one datagram into `bytes` and returns its sender; nullopt if none is queued.
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
