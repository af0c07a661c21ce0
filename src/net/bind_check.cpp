#include <galenabay/net/bind_check.hpp>

#include "socket_address.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace galenabay::net
{

int try_to_bind(const base::endpoint& local, transport protocol)
{
    const bool is_tcp = protocol == transport::tcp;
    const int type = (is_tcp ? SOCK_STREAM : SOCK_DGRAM) | SOCK_CLOEXEC;
    const int descriptor = ::socket(local.is_v4() ? AF_INET : AF_INET6, type, 0);
    if (descriptor < 0)
    {
        return errno;
    }
    // As for servers: closed connections of an earlier process are no obstacle.
    const int reuse = is_tcp ? 1 : 0;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    sockaddr_storage address{};
    const socklen_t length = to_sockaddr(local, address);
    const bool bound = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), length) == 0 &&
                       (!is_tcp || ::listen(descriptor, 1) == 0);
    const int fault = bound ? 0 : errno;
    close(descriptor);
    return fault;
}

} // namespace galenabay::net
