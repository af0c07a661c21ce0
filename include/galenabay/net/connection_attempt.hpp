#pragma once

#include <galenabay/base/endpoint.hpp>

#include <cstdint>
#include <utility>

namespace galenabay::net
{

/// A TCP connection that is being opened and closed again at once: it shows whether a
/// server listens. Movable owner of the descriptor; one thread at a time.
class connection_attempt
{
public:
    enum class state
    {
        pending,
        connected,
        /// The server's host refused it.
        refused,
        /// It failed on this host, or the network reported that there is no way.
        failed,
    };

    /// Begins without waiting.
    static connection_attempt begin(const base::endpoint& server);

    connection_attempt(connection_attempt&& other) noexcept
        : descriptor_{std::exchange(other.descriptor_, -1)}, state_{other.state_}
    {
    }
    connection_attempt& operator=(connection_attempt&& other) noexcept;
    connection_attempt(const connection_attempt&) = delete;
    connection_attempt& operator=(const connection_attempt&) = delete;
    ~connection_attempt();

    /// Becomes writable when the attempt has ended; -1 when it has ended already.
    int descriptor() const noexcept { return state_ == state::pending ? descriptor_ : -1; }
    /// Looks whether the attempt has ended, after the descriptor became writable.
    state update_state();
    state last_state() const noexcept { return state_; }

private:
    connection_attempt(int descriptor, state begun) : descriptor_{descriptor}, state_{begun} {}

    int descriptor_ = -1;
    state state_ = state::failed;
};

} // namespace galenabay::net
