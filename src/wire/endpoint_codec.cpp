#include "endpoint_codec.hpp"

#include <boost/endian/conversion.hpp>

#include <cstring>

namespace galenabay::wire
{

void write_endpoint(const base::endpoint& value, schema::Endpoint::Builder out)
{
    std::uint64_t halves[2] = {};
    std::memcpy(halves, value.address().data(), sizeof halves);
    out.setAddressHigh(boost::endian::big_to_native(halves[0]));
    out.setAddressLow(boost::endian::big_to_native(halves[1]));
    out.setPort(value.port());
}

base::endpoint read_endpoint(schema::Endpoint::Reader in)
{
    const std::uint64_t halves[2] = {boost::endian::native_to_big(in.getAddressHigh()),
                                     boost::endian::native_to_big(in.getAddressLow())};
    base::endpoint::address_bytes bytes{};
    std::memcpy(bytes.data(), halves, sizeof halves);
    return base::endpoint::make_v6(bytes, in.getPort());
}

} // namespace galenabay::wire
