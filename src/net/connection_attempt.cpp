#include <galenabay/net/connection_attempt.hpp>

#include "socket_address.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace galenabay::net
{

namespace
{

connection_attempt::state state_of(int failure)
{
    switch (failure)
    {
    case 0:
        return connection_attempt::state::connected;
    case EINPROGRESS:
        return connection_attempt::state::pending;
    case ECONNREFUSED:
        return connection_attempt::state::refused;
    default:
        return connection_attempt::state::failed;
    }
}

} // namespace

connection_attempt connection_attempt::begin(const base::endpoint& server)
{
    const int descriptor = server.is_v4() ? socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
    if (descriptor < 0)
    {
        return {-1, state::failed};
    }
    sockaddr_storage address{};
    const socklen_t length = to_sockaddr(server, address);
    const int done = connect(descriptor, reinterpret_cast<const sockaddr*>(&address), length);
    return {descriptor, state_of(done == 0 ? 0 : errno)};
}

connection_attempt& connection_attempt::operator=(connection_attempt&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    std::swap(state_, other.state_);
    return *this;
}

connection_attempt::~connection_attempt()
{
    if (descriptor_ >= 0)
    {
        close(descriptor_);
    }
}

connection_attempt::state connection_attempt::update_state()
{
    if (state_ != state::pending)
    {
        return state_;
    }
    int failure = 0;
    socklen_t size = sizeof failure;
    if (getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &failure, &size) != 0)
    {
        failure = errno;
    }
    state_ = state_of(failure);
    return state_;
}

} // namespace galenabay::net
