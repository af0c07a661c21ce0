#pragma once

#include <galenabay/base/endpoint.hpp>

#include <optional>
#include <string>

namespace galenabay
{

/// What `galenactl check` was asked for.
struct check_request
{
    std::string file;
    /// File with the configuration in force.
    std::optional<std::string> against;
    /// Store with the configuration in force and the upstreams.
    std::optional<base::endpoint> store;
    bool as_json = false;
};

/// Checks a configuration of the users' platform and prints what it finds. Returns the exit code: 0 nothing found,
/// 1 findings, 2 a file or the store cannot be read, with one line on standard error.
int check_configuration_file(const check_request& request);

} // namespace galenabay
