#pragma once

#include <galenabay/base/random.hpp>

#include <cstdint>

#include <string>

namespace galenabay::test
{

/// Calls `parse` with generated texts that contain every kind of character. The YAML parser builds tables on first use
/// and keeps them; without this call before the tests start, the leak check of a test would report those tables.
template <typename Parse> void warm_up_yaml(Parse parse)
{
    constexpr std::uint64_t texts = 4000;
    constexpr int length = 30;
    const std::string alphabet = "{}[]:-,#&*!|>'\"%@`?\n\t 0aZ.\\xuU~<=";
    for (std::uint64_t seed = 1; seed <= texts; ++seed)
    {
        base::random_source random{seed};
        std::string text = seed % 2 == 0 ? "a: " : "";
        for (int i = 0; i < length; ++i)
        {
            text += alphabet[random.below(alphabet.size())];
        }
        parse(text);
    }
}

} // namespace galenabay::test
