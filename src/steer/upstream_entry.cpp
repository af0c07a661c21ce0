#include <galenabay/base/hash.hpp>
#include <galenabay/steer/upstream_entry.hpp>

namespace galenabay::steer
{

upstream_token token_of(const upstream_entry& entry) noexcept
{
    const auto mixed = base::mix(base::hash_text(entry.id), entry.started_ms);
    const auto token = static_cast<upstream_token>(mixed ^ (mixed >> 32U));
    return token == 0 ? 1 : token;
}

} // namespace galenabay::steer
