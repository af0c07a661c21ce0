#include <galenabay/peers/message_codec.hpp>

#include <array>

namespace
{

/// Cap'n Proto's message reader allocates state on its first failure and keeps it. A
/// decode fails here before the first test, whose leak check would report the allocation.
[[maybe_unused]] const bool warmed_up = []
{
    const std::array<std::byte, 3> garbage{std::byte{0xff}, std::byte{1}, std::byte{2}};
    static_cast<void>(galenabay::peers::decode_message({}));
    return galenabay::peers::decode_message(garbage).has_value();
}();

} // namespace
