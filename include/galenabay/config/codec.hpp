#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/config/accepted_revision.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace galenabay::config
{

/// Encodes a set in its canonical form: packed Cap'n Proto, services and
/// upstreams sorted by name. Equal sets give equal bytes.
std::vector<std::byte> encode_service_set(const service_set& set);

/// Returns the SHA-256 of the bytes.
digest digest_of_bytes(std::span<const std::byte> bytes);

/// Returns the SHA-256 of the canonical form.
digest digest_of(const service_set& set);

/// Returns the digest as 64 lower-case hexadecimal digits.
std::string to_hex(const digest& value);

/// Encodes a full revision for transfer between hosts or through the platform.
std::vector<std::byte> encode_revision(const accepted_revision& revision);

/// Decodes the output of `encode_revision`. Errors: `malformed`, `corrupt`
/// (digest does not match the set).
base::result<accepted_revision> decode_revision(std::span<const std::byte> bytes);

/// Largest chunk of an encoded revision, in bytes.
constexpr std::size_t max_chunk_size = 640U << 10U;

/// Encodes the services and lineage of a revision in chunks of at most
/// `max_chunk_size` bytes. Services are grouped by a hash of their name, so that
/// a change of some services leaves most chunks unchanged.
std::vector<std::vector<std::byte>> encode_chunks(const accepted_revision& revision);

/// Completes `header` (number, digest, name of the set, author, time) with the
/// services and lineage of all its chunks, in order. Errors as `decode_revision`.
base::result<accepted_revision> decode_chunks(accepted_revision header, std::span<const std::vector<std::byte>> chunks);

/// Encodes the difference between `before` and `after`, which follows it
/// directly. Much smaller than the full revision when few services differ.
std::vector<std::byte> encode_change(const accepted_revision& before, const accepted_revision& after);

/// Applies the output of `encode_change` to `before`. Errors: `stale` (the
/// change has another base), `malformed`, `corrupt`.
base::result<accepted_revision> decode_change(const accepted_revision& before, std::span<const std::byte> bytes);

/// Decodes the output of `revision_log::update_since`. `current` is the revision
/// in force here, null when there is none. Errors: `stale` (the changes do not
/// follow `current`; request the full revision), `malformed`, `corrupt`.
base::result<accepted_revision> decode_update(const accepted_revision* current, std::span<const std::byte> bytes);

/// Number of revisions for which the lineage of a removed service is kept.
constexpr std::uint64_t removed_service_revisions = 64;

/// Returns the revision that follows `previous` when `next` is accepted, with
/// its number, digest and lineage. `previous` is null for the first revision;
/// `accepted_at` is in seconds since 1970.
accepted_revision make_next_revision(const accepted_revision* previous, service_set next, std::string author,
                                     std::int64_t accepted_at);

} // namespace galenabay::config
