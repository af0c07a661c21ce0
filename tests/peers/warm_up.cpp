#include <galenabay/peers/message_codec.hpp>

#include <array>

namespace
{

/// The message reader allocates state on its first failure and keeps it; this comes
/// before the leak check of the first test.
[[maybe_unused]] const bool warmed_up = []
{
    const std::array<std::byte, 3> garbage{std::byte{0xff}, std::byte{1}, std::byte{2}};
    static_cast<void>(galenabay::peers::decode_message({}));
    return galenabay::peers::decode_message(garbage).has_value();
}();

} // namespace
