#include <galenabay/net/connection_attempt.hpp>

#include <boost/endian/conversion.hpp>

#include <netinet/in.h>
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
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = boost::endian::native_to_big(server.port());
    address.sin_addr.s_addr = boost::endian::native_to_big(server.v4());
    const int done = connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
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

connection_attempt::state connection_attempt::look()
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
