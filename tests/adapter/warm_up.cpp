#include <galenabay/base/random.hpp>
#include <platform/settings.hpp>

#include <string>

namespace
{

/// The YAML parser builds tables on first use and keeps them. Parses text with every
/// kind of character before the tests start, so that the leak check of each test
/// sees its own allocations only.
bool warm_up()
{
    for (std::uint64_t seed = 1; seed <= 4000; ++seed)
    {
        galenabay::base::random_source random{seed};
        const std::string alphabet = "{}[]:-,#&*!|>'\"%@`?\n\t 0aZ.\\xuU~<=";
        std::string text = seed % 2 == 0 ? "a: " : "";
        for (std::uint64_t i = 0; i < 30; ++i)
        {
            text += alphabet[random.below(alphabet.size())];
        }
        static_cast<void>(galenabay::adapter::parse_settings(text, ""));
    }
    return true;
}

[[maybe_unused]] const bool warmed_up = warm_up();

} // namespace
