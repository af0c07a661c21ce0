#include "yaml_decoder.hpp"

#include <galenabay/base/endpoint.hpp>

#include <capnp/schema.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace galenabay::config
{

namespace
{

using base::error_code;
using capnp::schema::Type;

constexpr std::uint64_t minimum_annotation = 0xb1d9a36ae2a60f02;
constexpr std::uint64_t maximum_annotation = 0xb1d9a36ae2a60f03;
constexpr std::uint64_t required_annotation = 0xb1d9a36ae2a60f04;
constexpr std::uint64_t ip_address_annotation = 0xb1d9a36ae2a60f05;
constexpr std::uint64_t endpoint_annotation = 0xb1d9a36ae2a60f06;
constexpr std::uint64_t identifier_annotation = 0xb1d9a36ae2a60f07;
constexpr std::uint64_t unique_by_annotation = 0xb1d9a36ae2a60f08;

constexpr std::size_t default_max_length = 4096;
constexpr std::size_t max_identifier_length = 63;

/// Constraints of one field, read from its annotations.
struct constraints
{
    std::optional<std::uint64_t> minimum;
    std::optional<std::uint64_t> maximum;
    bool required = false;
    bool ip_address = false;
    bool endpoint = false;
    bool identifier = false;
    std::string unique_by;
};

constraints constraints_of(capnp::StructSchema::Field field)
{
    constraints found;
    for (const auto annotation : field.getProto().getAnnotations())
    {
        const auto value = annotation.getValue();
        switch (annotation.getId())
        {
        case minimum_annotation:
            found.minimum = value.getUint64();
            break;
        case maximum_annotation:
            found.maximum = value.getUint64();
            break;
        case required_annotation:
            found.required = true;
            break;
        case ip_address_annotation:
            found.ip_address = true;
            break;
        case endpoint_annotation:
            found.endpoint = true;
            break;
        case identifier_annotation:
            found.identifier = true;
            break;
        case unique_by_annotation:
            found.unique_by = value.getText().cStr();
            break;
        default:
            break;
        }
    }
    return found;
}

bool is_identifier(std::string_view text)
{
    const auto accepted = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !text.empty() && text.size() <= max_identifier_length && text.front() != '-' &&
           std::all_of(text.begin(), text.end(), accepted);
}

std::uint64_t largest_of(Type::Which type)
{
    switch (type)
    {
    case Type::UINT8:
        return std::numeric_limits<std::uint8_t>::max();
    case Type::UINT16:
        return std::numeric_limits<std::uint16_t>::max();
    case Type::UINT32:
        return std::numeric_limits<std::uint32_t>::max();
    default:
        return std::numeric_limits<std::uint64_t>::max();
    }
}

std::string truncated(std::string_view text)
{
    constexpr std::size_t shown = 40;
    std::string line{text.substr(0, shown)};
    std::replace_if(
        line.begin(), line.end(), [](unsigned char c) { return std::iscntrl(c) != 0; }, ' ');
    return text.size() > shown ? line + "..." : line;
}

/// Decodes the structs of one file.
class decoder
{
public:
    explicit decoder(const std::string& file) : file_{file} {}

    base::result<void> decode_struct(const yaml_node& node, const std::string& path,
                                     capnp::DynamicStruct::Builder target)
    {
        if (node.kind != node_kind::map)
        {
            return fail(error_code::malformed, node.line, path, "expected a map");
        }
        std::map<std::string, capnp::StructSchema::Field> fields;
        for (const auto field : target.getSchema().getFields())
        {
            fields.emplace(snake_case(field.getProto().getName().cStr()), field);
        }
        for (const auto& entry : node.entries)
        {
            const auto found = fields.find(entry.key);
            if (found == fields.end())
            {
                return fail(error_code::malformed, entry.line, join(path, truncated(entry.key)),
                            "unknown key, expected one of " + names_of(fields));
            }
            BOOST_OUTCOME_TRY(decode_field(entry, join(path, entry.key), found->second, target));
            fields.erase(found);
        }
        return check_absent(node, path, fields);
    }

private:
    using field_map = std::map<std::string, capnp::StructSchema::Field>;

    base::error fail(error_code code, std::size_t line, const std::string& path, const std::string& detail) const
    {
        return error_at(code, file_, line, (path.empty() ? std::string{"file"} : path) + ": " + detail);
    }

    static std::string join(const std::string& path, const std::string& key)
    {
        return path.empty() ? key : path + "." + key;
    }

    static std::string names_of(const field_map& fields)
    {
        std::string names;
        for (const auto& [name, field] : fields)
        {
            names += names.empty() ? name : ", " + name;
        }
        return names;
    }

    base::result<void> check_absent(const yaml_node& node, const std::string& path, const field_map& absent) const
    {
        for (const auto& [name, field] : absent)
        {
            if (constraints_of(field).required)
            {
                return fail(error_code::malformed, node.line, join(path, name), "required key is missing");
            }
        }
        return base::outcome::success();
    }

    base::result<void> decode_field(const yaml_entry& entry, const std::string& path, capnp::StructSchema::Field field,
                                    capnp::DynamicStruct::Builder target)
    {
        const auto limits = constraints_of(field);
        const auto& node = entry.value;
        switch (const auto type = field.getType(); type.which())
        {
        case Type::STRUCT:
            return decode_struct(node, path, target.init(field).as<capnp::DynamicStruct>());
        case Type::LIST:
            return decode_list(node, path, field, limits, target);
        case Type::ENUM:
            return decode_enum(node, path, field, target);
        case Type::TEXT:
            return decode_text(node, path, field, limits, target);
        case Type::BOOL:
            return decode_bool(node, path, field, target);
        case Type::UINT8:
        case Type::UINT16:
        case Type::UINT32:
        case Type::UINT64:
            return decode_number(node, path, field, limits, target);
        default:
            return fail(error_code::malformed, node.line, path,
                        "the schema type of this key is not supported in YAML files");
        }
    }

    base::result<void> decode_list(const yaml_node& node, const std::string& path, capnp::StructSchema::Field field,
                                   const constraints& limits, capnp::DynamicStruct::Builder target)
    {
        if (node.kind != node_kind::list)
        {
            return fail(error_code::malformed, node.line, path, "expected a list");
        }
        const std::uint64_t longest = limits.maximum.value_or(default_max_length);
        if (node.elements.size() > longest)
        {
            return fail(error_code::out_of_range, node.line, path,
                        "expected at most " + std::to_string(longest) + " elements, found " +
                            std::to_string(node.elements.size()));
        }
        if (!field.getType().asList().getElementType().isStruct())
        {
            return fail(error_code::malformed, node.line, path,
                        "the schema type of this key is not supported in YAML files");
        }
        auto list = target.init(field, static_cast<capnp::uint>(node.elements.size())).as<capnp::DynamicList>();
        std::map<std::string, std::size_t> first_lines;
        for (capnp::uint i = 0; i < list.size(); ++i)
        {
            const auto& element = node.elements[i];
            const std::string element_path = path + "[" + std::to_string(i) + "]";
            auto built = list[i].as<capnp::DynamicStruct>();
            BOOST_OUTCOME_TRY(decode_struct(element, element_path, built));
            BOOST_OUTCOME_TRY(check_unique(element, element_path, limits, built, first_lines));
        }
        return base::outcome::success();
    }

    base::result<void> check_unique(const yaml_node& element, const std::string& path, const constraints& limits,
                                    capnp::DynamicStruct::Builder built,
                                    std::map<std::string, std::size_t>& first_lines) const
    {
        if (limits.unique_by.empty())
        {
            return base::outcome::success();
        }
        const auto text = built.asReader().get(limits.unique_by).as<capnp::Text>();
        const std::string name{text.cStr(), text.size()};
        if (const auto [first, added] = first_lines.emplace(name, element.line); !added)
        {
            return fail(error_code::conflict, element.line, path,
                        snake_case(limits.unique_by) + " '" + name + "' is already used at line " +
                            std::to_string(first->second));
        }
        return base::outcome::success();
    }

    base::result<void> decode_enum(const yaml_node& node, const std::string& path, capnp::StructSchema::Field field,
                                   capnp::DynamicStruct::Builder target) const
    {
        std::string names;
        for (const auto enumerant : field.getType().asEnum().getEnumerants())
        {
            const auto name = snake_case(enumerant.getProto().getName().cStr());
            if (node.kind == node_kind::scalar && node.text == name)
            {
                target.set(field, capnp::DynamicEnum{enumerant});
                return base::outcome::success();
            }
            names += names.empty() ? name : ", " + name;
        }
        return fail(error_code::malformed, node.line, path,
                    "expected one of " + names + ", found '" + truncated(node.text) + "'");
    }

    base::result<void> decode_text(const yaml_node& node, const std::string& path, capnp::StructSchema::Field field,
                                   const constraints& limits, capnp::DynamicStruct::Builder target) const
    {
        if (node.kind != node_kind::scalar)
        {
            return fail(error_code::malformed, node.line, path, "expected text");
        }
        const std::uint64_t longest = limits.maximum.value_or(default_max_length);
        if (node.text.size() > longest || node.text.find('\0') != std::string::npos)
        {
            return fail(error_code::out_of_range, node.line, path,
                        "expected at most " + std::to_string(longest) + " characters without NUL");
        }
        const std::string found = ", found '" + truncated(node.text) + "'";
        if (limits.identifier && !is_identifier(node.text))
        {
            return fail(error_code::malformed, node.line, path,
                        "expected a name of at most 63 lower-case letters, digits and '-'" + found);
        }
        if (limits.ip_address && !base::endpoint::parse(node.text, 0).has_value())
        {
            return fail(error_code::malformed, node.line, path, "expected a numeric IPv4 or IPv6 address" + found);
        }
        if (limits.endpoint && !base::endpoint::parse(node.text).has_value())
        {
            return fail(error_code::malformed, node.line, path, "expected ADDRESS:PORT with a numeric address" + found);
        }
        target.set(field, capnp::Text::Reader{node.text.c_str(), node.text.size()});
        return base::outcome::success();
    }

    base::result<void> decode_bool(const yaml_node& node, const std::string& path, capnp::StructSchema::Field field,
                                   capnp::DynamicStruct::Builder target) const
    {
        const bool is_plain = node.kind == node_kind::scalar && !node.quoted;
        if (!is_plain || (node.text != "true" && node.text != "false"))
        {
            return fail(error_code::malformed, node.line, path,
                        "expected true or false, found '" + truncated(node.text) + "'");
        }
        target.set(field, node.text == "true");
        return base::outcome::success();
    }

    base::result<void> decode_number(const yaml_node& node, const std::string& path, capnp::StructSchema::Field field,
                                     const constraints& limits, capnp::DynamicStruct::Builder target) const
    {
        const std::uint64_t smallest = limits.minimum.value_or(0);
        const std::uint64_t largest =
            std::min(limits.maximum.value_or(largest_of(field.getType().which())), largest_of(field.getType().which()));
        const std::string expected =
            "expected a number from " + std::to_string(smallest) + " to " + std::to_string(largest);
        std::uint64_t number = 0;
        const char* last = node.text.data() + node.text.size();
        const auto [end, status] = std::from_chars(node.text.data(), last, number);
        const std::string found = ", found '" + truncated(node.text) + "'";
        if (node.kind != node_kind::scalar || node.quoted || end != last || status == std::errc::invalid_argument)
        {
            return fail(error_code::malformed, node.line, path, expected + found);
        }
        if (status != std::errc{} || number < smallest || number > largest)
        {
            return fail(error_code::out_of_range, node.line, path, expected + found);
        }
        target.set(field, number);
        return base::outcome::success();
    }

    const std::string& file_;
};

} // namespace

std::string snake_case(std::string_view schema_name)
{
    std::string name;
    for (const char c : schema_name)
    {
        if (c >= 'A' && c <= 'Z')
        {
            name += '_';
            name += static_cast<char>(c - 'A' + 'a');
        }
        else
        {
            name += c;
        }
    }
    return name;
}

base::result<void> decode_yaml(const yaml_node& root, const std::string& file, capnp::DynamicStruct::Builder target)
{
    return decoder{file}.decode_struct(root, "", target);
}

} // namespace galenabay::config
