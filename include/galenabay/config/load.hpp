#pragma once

#include <galenabay/base/result.hpp>
#include <galenabay/config/service_set.hpp>

#include <span>
#include <string>
#include <string_view>

namespace galenabay::config
{

/// Largest settings file that is read, in bytes.
constexpr std::size_t max_file_size = 16U << 20U;

/// Reads one or more YAML files as a single service set. The files must have the
/// same set name; their services are joined. The result is checked as by
/// `validate`; services listed in `without_upstreams` may lack an upstream that
/// accepts new flows.
///
/// An error's peer is "FILE:LINE"; its detail gives the key and what was
/// expected.
base::result<service_set> load_service_set(std::span<const std::string> files,
                                           std::span<const std::string> without_upstreams = {});

/// As `load_service_set`, but from the text of one file; `file` is used in errors
/// only.
base::result<service_set> parse_service_set(std::string_view text, const std::string& file);

/// Checks a set: each service that is not draining has at least one upstream
/// that accepts new flows, and no name, service address or upstream endpoint is
/// used twice. Errors: `conflict`, `invalid_argument`, `out_of_range`, with the
/// service as peer.
base::result<void> validate(const service_set& set, std::span<const std::string> without_upstreams = {});

/// As `validate`, but any service may lack upstreams, because an operator may
/// have forced that.
base::result<void> validate_structure(const service_set& set);

} // namespace galenabay::config
