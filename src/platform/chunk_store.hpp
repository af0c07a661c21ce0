#pragma once

#include "manifest.hpp"
#include "retry.hpp"

#include <galenabay/platform/object_client.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace galenabay::platform
{

using piece = std::vector<std::byte>;

/// Pieces of revisions as objects named by their SHA-256.
class chunk_store
{
public:
    chunk_store(const object_client& client, const retry_policy& retry) : client_{client}, retry_{retry} {}

    static std::string name_of(const piece& content);

    /// The pieces that a manifest names, in order; those read before come from
    /// memory. Errors: `not_found`, `corrupt`.
    base::result<std::vector<piece>> read(const manifest& source);

    /// Writes each piece that `safe` does not name. A piece that is already there
    /// is written again, because a cleaner that saw it without a user removes it
    /// only at the version it saw.
    base::result<void> write(const std::vector<piece>& pieces, const std::set<std::string>& safe) const;

    /// Pieces that are stored and that `kept` does not name.
    base::result<std::vector<object>> unused(const std::set<std::string>& kept) const;

    /// Removes objects at the versions given; returns how many are gone.
    std::size_t remove(const std::vector<object>& objects) const;

private:
    base::result<void> write_one(const std::string& key, const std::string& text, std::uint64_t seen) const;
    base::result<piece> fetch(const std::string& name) const;

    const object_client& client_;
    const retry_policy& retry_;
    std::map<std::string, piece> known_;
};

} // namespace galenabay::platform
