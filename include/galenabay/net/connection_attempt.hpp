#pragma once

#include <galenabay/base/endpoint.hpp>

#include <cstdint>
#include <utility>

namespace galenabay::net
{

/// A non-blocking TCP connect that shows whether a server listens. Movable owner of the descriptor, which the
/// destructor closes; used by one thread at a time.
class connection_attempt
{
public:
    enum class state
    {
        pending,
        connected,
        /// The server's host refused the connection.
        refused,
        /// The attempt failed on this host, or the network reported the server as unreachable.
        failed,
    };

    /// Starts connecting without blocking. Only IPv4 is supported: any other address fails at once.
    static connection_attempt begin(const base::endpoint& server);

    connection_attempt(connection_attempt&& other) noexcept
        : descriptor_{std::exchange(other.descriptor_, -1)}, state_{other.state_}
    {
    }
    connection_attempt& operator=(connection_attempt&& other) noexcept;
    connection_attempt(const connection_attempt&) = delete;
    connection_attempt& operator=(const connection_attempt&) = delete;
    ~connection_attempt();

    /// Returns a descriptor that becomes writable when the attempt ends; -1 when it has ended already.
    int descriptor() const noexcept { return state_ == state::pending ? descriptor_ : -1; }
    /// Reads the result of the attempt and returns the new state. Call it when the descriptor is writable.
    state update_state();
    /// Returns the state at the last update, without reading the result.
    state last_state() const noexcept { return state_; }

private:
    connection_attempt(int descriptor, state begun) : descriptor_{descriptor}, state_{begun} {}

    int descriptor_ = -1;
    state state_ = state::failed;
};

} // namespace galenabay::net
