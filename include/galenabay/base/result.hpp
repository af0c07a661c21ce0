#pragma once

#include <galenabay/base/error.hpp>

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace galenabay::base
{

namespace outcome = boost::outcome_v2;

/// Either a value or an `error`. Reading the value of a failed result, or the error of a successful one, terminates the
/// process.
template <typename T> using result = outcome::result<T, error, outcome::policy::terminate>;

} // namespace galenabay::base
