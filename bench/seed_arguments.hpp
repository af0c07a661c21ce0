#pragma once

#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace galenabay::bench
{

/// Command line options of a torture program, which runs `count` seeds starting at
/// `first`. Plain value.
struct torture_options
{
    std::uint64_t first = 1;
    std::uint64_t count = 100;
    /// Bit mask of the kinds of events to inject; bit N stands for the kind with value N.
    std::uint64_t event_kinds = ~std::uint64_t{0};
    /// Print each injected event.
    bool trace = false;
    /// Number of the caller whose packets are printed; 0 for none.
    std::uint64_t caller = 0;
};

/// Parses `--seeds N`, `--first S`, `--kinds MASK`, `--trace 1` and `--caller N`.
/// Ignores other arguments; a value that does not start with a number counts as 0.
inline torture_options parse_torture_options(int argc, char** argv)
{
    torture_options options;
    for (int i = 1; i + 1 < argc; i += 2)
    {
        const std::string_view name = argv[i];
        const auto value = std::strtoull(argv[i + 1], nullptr, 10);
        if (name == "--seeds")
        {
            options.count = value;
        }
        else if (name == "--first")
        {
            options.first = value;
        }
        else if (name == "--kinds")
        {
            options.event_kinds = value;
        }
        else if (name == "--caller")
        {
            options.caller = value;
        }
        else if (name == "--trace")
        {
            options.trace = value != 0;
        }
    }
    return options;
}

} // namespace galenabay::bench
