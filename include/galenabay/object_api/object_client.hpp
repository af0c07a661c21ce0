#pragma once

#include <galenabay/base/endpoint.hpp>
#include <galenabay/base/result.hpp>
#include <galenabay/membership/host.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace galenabay::object_api
{

/// Maximum size of an object's value, in bytes.
constexpr std::size_t max_object_size = 1U << 20U;

/// An object of the platform's store and its version. Plain value.
struct object
{
    std::string key;
    /// Increases with every change of any object; 0 if the object does not exist.
    std::uint64_t version = 0;
    std::string value;

    friend auto operator<=>(const object&, const object&) = default;
};

/// Client of the platform's HTTP/JSON object API. Calls block; use it from one thread at a time.
///
///     GET    /v1/objects/KEY                      200 {"key","version","value"} | 404
///     GET    /v1/objects?prefix=P                 200 {"objects":[{"key","version","value"}]}
///     GET    /v1/objects?prefix=P&keys_only=1     200 {"objects":[{"key","version"}]}
///     PUT    /v1/objects/KEY  If-Match: "V"       200 {"version"} | 412 {"version"}
///            If-None-Match: *  (must not exist)   body {"value": TEXT}
///     DELETE /v1/objects/KEY  If-Match: "V"       200 | 404 | 412
///     GET    /v1/watch/KEY?after=V&wait_ms=N      200 like GET if newer than V | 204
///     GET    /v1/hosts                            200 {"hosts":[{"name","data_centre","control","relay","leaving"}]}
///
/// Values are text; binary values are Base64. Any call may get 429 or 503.
/// Errors: `not_found`, `conflict` (412), `exhausted` (429), `out_of_range` (413,
/// or a response larger than accepted), `unavailable` (503, no connection),
/// `timeout` (no answer: a write may have taken effect), `malformed`.
class object_client
{
public:
    /// Creates a client; `timeout` bounds the connection attempt and each read of a response.
    static object_client make(const base::endpoint& platform, std::chrono::milliseconds timeout);

    /// Reads one object.
    base::result<object> get(const std::string& key) const;
    /// Returns the objects whose keys start with `prefix`.
    base::result<std::vector<object>> list(const std::string& prefix) const;
    /// Same as `list`, but leaves the values empty.
    base::result<std::vector<object>> list_keys(const std::string& prefix) const;
    /// Writes the object if its version is `expected` (0: it must not exist) and
    /// returns the new version.
    base::result<std::uint64_t> put(const std::string& key, const std::string& value, std::uint64_t expected) const;
    /// Removes the object if its version is `expected`.
    base::result<void> remove(const std::string& key, std::uint64_t expected) const;
    /// Waits for at most `wait` for a version newer than `after`; returns an object
    /// with version 0 if there was none in that time.
    base::result<object> watch(const std::string& key, std::uint64_t after, std::chrono::milliseconds wait) const;
    /// Returns the platform's list of live and leaving hosts.
    base::result<std::vector<membership::listed_host>> hosts() const;

private:
    object_client(const base::endpoint& platform, std::chrono::milliseconds timeout);

    base::result<std::vector<object>> list(const std::string& prefix, bool with_values) const;

    base::endpoint platform_;
    std::chrono::milliseconds timeout_;
};

} // namespace galenabay::object_api
