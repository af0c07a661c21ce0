#include "../yaml_warm_up.hpp"

#include <galenabay/config/codec.hpp>
#include <galenabay/config/load.hpp>

#include <string>

namespace
{

/// The YAML parser and the message reader allocate tables on first use and keep
/// them. Uses both before the tests start, so that the leak check of a test does
/// not count these tables.
bool warm_up()
{
    galenabay::test::warm_up_yaml([](const std::string& text)
                                  { static_cast<void>(galenabay::config::parse_service_set(text, "")); });
    const auto valid = galenabay::config::encode_revision(galenabay::config::make_next_revision(nullptr, {}, "", 0));
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
