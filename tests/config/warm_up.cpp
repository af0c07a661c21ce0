#include <galenabay/base/random.hpp>
#include <galenabay/config/codec.hpp>
#include <galenabay/config/load.hpp>

#include <string>

namespace
{

/// The YAML parser and the message reader build tables on first use and keep them. Parses text with
/// every kind of character before the tests start, so that the leak check of
/// each test sees its own allocations only.
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
        static_cast<void>(galenabay::config::parse_service_set(text, ""));
    }
    const auto valid = galenabay::config::encode_revision(galenabay::config::succeed(nullptr, {}, "", 0));
    for (std::size_t i = 0; i < valid.size() * 256; ++i)
    {
        auto bytes = valid;
        bytes[i / 256] = static_cast<std::byte>(i % 256);
        static_cast<void>(galenabay::config::decode_revision(bytes));
    }
    return true;
}

[[maybe_unused]] const bool warmed_up = warm_up();

} // namespace
