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

/// Reads one or more YAML files as a single service set: names must agree,
/// services are joined. Checks everything that `validate` checks; services that
/// `without_upstreams` names may lack an upstream that takes new flows.
///
/// Errors carry "FILE:LINE" as peer; the detail names the key and what was
/// expected.
base::result<service_set> load_service_set(std::span<const std::string> files,
                                           std::span<const std::string> without_upstreams = {});

/// As `load_service_set`, from the text of one file; `file` is used in errors.
base::result<service_set> parse_service_set(std::string_view text, const std::string& file);

/// Checks a set by itself: at least one upstream that takes new flows per
/// service that is not draining, no name, service address or upstream endpoint
/// used twice. Errors: `conflict`, `invalid_argument`, with the service as peer.
base::result<void> validate(const service_set& set, std::span<const std::string> without_upstreams = {});

/// As `validate`, but any service may lack upstreams: an operator may have forced
/// that.
base::result<void> validate_structure(const service_set& set);

} // namespace galenabay::config
