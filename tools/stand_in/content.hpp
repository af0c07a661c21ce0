#pragma once

#include <galenabay/base/hash.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenabay::stand_in
{

/// A document of `/title/N`. Its size and bytes depend on the service and N only, so that
/// a caller can check every byte, whichever upstream sent it.
class document
{
public:
    document(std::string_view service, std::uint64_t number) : seed_{base::hash_text(service, number) | 1U} {}

    std::size_t size() const { return min_size + seed_ % (max_size - min_size); }
    /// Returns a value other than 0.
    std::uint64_t etag() const { return seed_; }

    std::byte at(std::size_t offset) const
    {
        constexpr std::size_t word = 8;
        return static_cast<std::byte>(base::mix(seed_, offset / word) >> (offset % word * word) & 0xff);
    }

    /// Returns the bytes from `offset` on, at most `count`.
    std::vector<std::byte> slice(std::size_t offset, std::size_t count) const
    {
        std::vector<std::byte> bytes;
        for (std::size_t i = offset; i < offset + count && i < size(); ++i)
        {
            bytes.push_back(at(i));
        }
        return bytes;
    }

private:
    static constexpr std::size_t min_size = 4'000;
    static constexpr std::size_t max_size = 24'000;
    std::uint64_t seed_;
};

inline std::string_view as_text(std::span<const std::byte> bytes)
{
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

inline std::vector<std::byte> as_payload(std::string_view text)
{
    const auto bytes = std::as_bytes(std::span{text});
    return {bytes.begin(), bytes.end()};
}

/// Returns the value of `key` in a text of space-separated key=value pairs; empty if
/// the key is missing.
inline std::string_view field(std::string_view text, std::string_view key)
{
    while (!text.empty())
    {
        const auto pair = text.substr(0, text.find(' '));
        if (pair.size() > key.size() && pair.starts_with(key) && pair[key.size()] == '=')
        {
            return pair.substr(key.size() + 1);
        }
        text.remove_prefix(pair.size() < text.size() ? pair.size() + 1 : pair.size());
    }
    return {};
}

/// Parses the number after `prefix` in a path such as "/title/17".
inline std::optional<std::uint64_t> parse_path_number(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix) || path.size() == prefix.size() || path.size() > prefix.size() + 18)
    {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    for (const char c : path.substr(prefix.size()))
    {
        if (c < '0' || c > '9')
        {
            return std::nullopt;
        }
        value = value * 10 + static_cast<std::uint64_t>(c - '0');
    }
    return value;
}

} // namespace galenabay::stand_in
