#include "yaml_node.hpp"

#include <galenabay/config/load.hpp>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <fstream>
#include <istream>
#include <optional>
#include <streambuf>
#include <utility>

namespace galenabay::config
{

namespace
{

constexpr const char* quoted_tag = "!";
constexpr const char* plain_tag = "?";

std::size_t line_of(const YAML::Mark& mark)
{
    return static_cast<std::size_t>(std::max(mark.line, 0)) + 1;
}

/// Builds the tree from the parser's events. Enforces the limits while the
/// parser is still reading, which bounds the cost of a malicious file.
class tree_builder final : public YAML::EventHandler
{
public:
    void OnDocumentStart(const YAML::Mark& mark) override { mark_ = mark; }
    void OnDocumentEnd() override {}
    void OnNull(const YAML::Mark& mark, YAML::anchor_t) override { add(mark, yaml_node{}); }
    void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override { fail(mark, "aliases are not accepted"); }
    void OnAnchor(const YAML::Mark& mark, const std::string&) override { fail(mark, "anchors are not accepted"); }

    void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t, const std::string& value) override
    {
        check_tag(mark, tag);
        yaml_node node;
        node.kind = node_kind::scalar;
        node.text = value;
        node.quoted = tag == quoted_tag;
        add(mark, std::move(node));
    }

    void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t,
                         YAML::EmitterStyle::value) override
    {
        open(mark, tag, node_kind::list);
    }
    void OnSequenceEnd() override { close(); }
    void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t, YAML::EmitterStyle::value) override
    {
        open(mark, tag, node_kind::map);
    }
    void OnMapEnd() override { close(); }

    yaml_node take() { return std::move(root_); }
    bool empty() const { return nodes_ == 0; }

private:
    struct frame
    {
        yaml_node node;
        std::optional<yaml_entry> pending;
    };

    [[noreturn]] static void fail(const YAML::Mark& mark, const std::string& what)
    {
        throw YAML::ParserException(mark, what);
    }

    static void check_tag(const YAML::Mark& mark, const std::string& tag)
    {
        if (!tag.empty() && tag != quoted_tag && tag != plain_tag)
        {
            fail(mark, "tags are not accepted");
        }
    }

    void open(const YAML::Mark& mark, const std::string& tag, node_kind kind)
    {
        check_tag(mark, tag);
        if (stack_.size() >= max_yaml_depth)
        {
            fail(mark, "nested deeper than " + std::to_string(max_yaml_depth) + " levels");
        }
        if (is_key_position())
        {
            fail(mark, "expected a plain key");
        }
        yaml_node node;
        node.kind = kind;
        node.line = line_of(mark);
        stack_.push_back(frame{std::move(node), std::nullopt});
        mark_ = mark;
    }

    void close()
    {
        yaml_node node = std::move(stack_.back().node);
        stack_.pop_back();
        attach(std::move(node));
    }

    void add(const YAML::Mark& mark, yaml_node node)
    {
        node.line = line_of(mark);
        mark_ = mark;
        if (is_key_position())
        {
            set_key(std::move(node));
            return;
        }
        attach(std::move(node));
    }

    bool is_key_position() const
    {
        return !stack_.empty() && stack_.back().node.kind == node_kind::map && !stack_.back().pending;
    }

    void set_key(yaml_node node)
    {
        if (node.kind != node_kind::scalar)
        {
            fail(mark_, "expected a key");
        }
        auto& top = stack_.back();
        const auto same = [&](const yaml_entry& entry) { return entry.key == node.text; };
        if (top.node.entries.size() >= max_keys)
        {
            fail(mark_, "more than " + std::to_string(max_keys) + " keys in one map");
        }
        if (std::any_of(top.node.entries.begin(), top.node.entries.end(), same))
        {
            fail(mark_, "key '" + node.text + "' is given twice");
        }
        top.pending = yaml_entry{std::move(node.text), node.line, {}};
    }

    void attach(yaml_node node)
    {
        if (++nodes_ > max_yaml_nodes)
        {
            fail(mark_, "more than " + std::to_string(max_yaml_nodes) + " values");
        }
        if (stack_.empty())
        {
            root_ = std::move(node);
            return;
        }
        auto& top = stack_.back();
        if (top.node.kind == node_kind::list)
        {
            top.node.elements.push_back(std::move(node));
            return;
        }
        top.pending->value = std::move(node);
        top.node.entries.push_back(std::move(*top.pending));
        top.pending.reset();
    }

    static constexpr std::size_t max_keys = 256;

    std::vector<frame> stack_;
    yaml_node root_;
    std::size_t nodes_ = 0;
    YAML::Mark mark_;
};

/// Stream buffer that reads from memory without copying the text.
class memory_buffer final : public std::streambuf
{
public:
    explicit memory_buffer(std::string_view text)
    {
        auto* first = const_cast<char*>(text.data()); // setg takes a mutable pointer and only reads
        setg(first, first, first + text.size());
    }
};

} // namespace

base::error error_at(base::error_code code, const std::string& file, std::size_t line, std::string detail)
{
    return base::error::make(code, "load_settings", file + ":" + std::to_string(line), std::move(detail));
}

base::result<yaml_node> parse_yaml(std::string_view text, const std::string& file)
{
    memory_buffer buffer{text};
    std::istream stream{&buffer};
    try
    {
        YAML::Parser parser{stream};
        tree_builder builder;
        if (!parser.HandleNextDocument(builder) || builder.empty())
        {
            return error_at(base::error_code::malformed, file, 1, "expected a map, found an empty file");
        }
        tree_builder rest;
        if (parser.HandleNextDocument(rest))
        {
            return error_at(base::error_code::malformed, file, 1, "expected one document, found several");
        }
        return builder.take();
    }
    catch (const YAML::Exception& failure)
    {
        return error_at(base::error_code::malformed, file, line_of(failure.mark), failure.msg);
    }
}

base::result<std::string> read_bounded_file(const std::string& file)
{
    const auto fail = [&](base::error_code code, const char* detail)
    { return base::error::make(code, "load_settings", file, detail); };
    std::ifstream stream{file, std::ios::binary};
    if (!stream)
    {
        return fail(base::error_code::io_failure, "cannot open the file");
    }
    std::string text;
    std::string block(64U << 10U, '\0');
    while (stream.read(block.data(), static_cast<std::streamsize>(block.size())) || stream.gcount() > 0)
    {
        text.append(block, 0, static_cast<std::size_t>(stream.gcount()));
        if (text.size() > max_file_size)
        {
            return fail(base::error_code::out_of_range, "the file is larger than 16 MiB");
        }
    }
    if (stream.bad())
    {
        return fail(base::error_code::io_failure, "cannot read the file");
    }
    return text;
}

} // namespace galenabay::config
