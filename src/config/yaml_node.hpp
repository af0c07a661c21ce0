#pragma once

#include <galenabay/base/result.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace galenabay::config
{

/// Kind of a YAML node; `null` is a value that is left out or written as null.
enum class node_kind
{
    null,
    scalar,
    list,
    map,
};

struct yaml_entry;

/// A node of a parsed YAML file with the line on which it starts. Plain value.
struct yaml_node
{
    node_kind kind = node_kind::null;
    /// The first line is 1.
    std::size_t line = 1;
    /// Text of a scalar.
    std::string text;
    /// True for a scalar in quotes, which is never a number or Boolean.
    bool quoted = false;
    std::vector<yaml_node> elements;
    std::vector<yaml_entry> entries;
};

/// A key of a map with its line and value.
struct yaml_entry
{
    std::string key;
    std::size_t line = 1;
    yaml_node value;
};

/// Deepest nesting of lists and maps.
constexpr std::size_t max_yaml_depth = 16;
/// Largest number of nodes in one file.
constexpr std::size_t max_yaml_nodes = 2'000'000;

/// Parses one YAML document. Rejects aliases, tags, duplicate keys, nesting
/// deeper than `max_yaml_depth` and further documents. Errors: `malformed`, with
/// "FILE:LINE" as peer.
base::result<yaml_node> parse_yaml(std::string_view text, const std::string& file);

/// Reads a file of at most `max_file_size` bytes. Errors: `io_failure`,
/// `out_of_range`.
base::result<std::string> read_bounded_file(const std::string& file);

/// Returns an error of step "load_settings" at a line of a file.
base::error error_at(base::error_code code, const std::string& file, std::size_t line, std::string detail);

} // namespace galenabay::config
