#pragma once

#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace galenabay::bench
{

/// Seeds to run: `count` of them from `first`.
struct seed_range
{
    std::uint64_t first = 1;
    std::uint64_t count = 100;
    /// Bit mask of the kinds of events to use.
    std::uint64_t kinds = ~std::uint64_t{0};
    /// Prints each event.
    bool trace = false;
    /// Prints each packet of this caller.
    std::uint64_t caller = 0;
};

/// Reads `--seeds N`, `--first S`, `--kinds MASK`, `--trace 1` and `--caller N`.
inline seed_range parse_seeds(int argc, char** argv)
{
    seed_range range;
    for (int i = 1; i + 1 < argc; i += 2)
    {
        const std::string_view name = argv[i];
        const auto value = std::strtoull(argv[i + 1], nullptr, 10);
        if (name == "--seeds")
        {
            range.count = value;
        }
        else if (name == "--first")
        {
            range.first = value;
        }
        else if (name == "--kinds")
        {
            range.kinds = value;
        }
        else if (name == "--caller")
        {
            range.caller = value;
        }
        else if (name == "--trace")
        {
            range.trace = value != 0;
        }
    }
    return range;
}

} // namespace galenabay::bench
