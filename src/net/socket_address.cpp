#include "socket_address.hpp"

#include <boost/endian/conversion.hpp>

#include <netinet/in.h>

#include <cstring>

namespace galenabay::net
{

socklen_t to_sockaddr(const base::endpoint& value, sockaddr_storage& out)
{
    std::memset(&out, 0, sizeof out);
    if (value.is_v4())
    {
        auto& v4 = reinterpret_cast<sockaddr_in&>(out);
        v4.sin_family = AF_INET;
        v4.sin_port = boost::endian::native_to_big(value.port());
        v4.sin_addr.s_addr = boost::endian::native_to_big(value.v4());
        return sizeof(sockaddr_in);
    }
    auto& v6 = reinterpret_cast<sockaddr_in6&>(out);
    v6.sin6_family = AF_INET6;
    v6.sin6_port = boost::endian::native_to_big(value.port());
    std::memcpy(&v6.sin6_addr, value.address().data(), value.address().size());
    return sizeof(sockaddr_in6);
}

base::endpoint from_sockaddr(const sockaddr_storage& in)
{
    if (in.ss_family == AF_INET)
    {
        const auto& v4 = reinterpret_cast<const sockaddr_in&>(in);
        return base::endpoint::make_v4(boost::endian::big_to_native(v4.sin_addr.s_addr),
                                       boost::endian::big_to_native(v4.sin_port));
    }
    const auto& v6 = reinterpret_cast<const sockaddr_in6&>(in);
    base::endpoint::address_bytes bytes{};
    std::memcpy(bytes.data(), &v6.sin6_addr, bytes.size());
    return base::endpoint::make_v6(bytes, boost::endian::big_to_native(v6.sin6_port));
}

} // namespace galenabay::net
