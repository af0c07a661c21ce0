#include <galenabay/base/gzip.hpp>

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <ios>
#include <sstream>

namespace galenabay::base
{

namespace
{

constexpr const char* step = "decompress";
constexpr const char* magic = "\x1f\x8b";
/// Level of zlib: the fastest one.
constexpr int level = 1;
/// Size of one read, in bytes.
constexpr std::size_t block_bytes = 16U << 10U;

/// Returns the size of the content that the last four bytes of a file state, least significant first.
std::size_t size_field_of(const std::string& file)
{
    std::size_t size = 0;
    for (std::size_t i = 1; i <= std::min(file.size(), sizeof(std::uint32_t)); ++i)
    {
        size = size << 8U | static_cast<unsigned char>(file[file.size() - i]);
    }
    return size;
}

} // namespace

std::string compress(const std::string& content)
{
    std::ostringstream file;
    Poco::DeflatingOutputStream stream{file, Poco::DeflatingStreamBuf::STREAM_GZIP, level};
    stream.write(content.data(), static_cast<std::streamsize>(content.size()));
    stream.close();
    return file.str();
}

bool is_compressed(const std::string& content)
{
    return content.starts_with(magic);
}

result<std::string> decompress(const std::string& file, std::size_t max_size)
{
    std::istringstream source{file};
    Poco::InflatingInputStream stream{source, Poco::InflatingStreamBuf::STREAM_GZIP};
    std::string content;
    std::array<char, block_bytes> block{};
    while (stream.good())
    {
        stream.read(block.data(), block.size());
        content.append(block.data(), static_cast<std::size_t>(stream.gcount()));
        if (content.size() > max_size)
        {
            return error::make(error_code::out_of_range, step, "", "longer than " + std::to_string(max_size));
        }
    }
    // The stream does not tell a truncated file from a complete one.
    if (stream.bad() || content.empty() || content.size() != size_field_of(file))
    {
        return error::make(error_code::malformed, step, "", "not a gzip file");
    }
    return content;
}

} // namespace galenabay::base
