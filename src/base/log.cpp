#include "log_queue.hpp"

#include <galenabay/base/log.hpp>

#include <easylogging++.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace galenabay::base
{

namespace
{

std::string common_fields;
std::atomic<log_level> lowest_level{log_level::info};

/// Null until `configure_log`; never destroyed, because threads may log until the process exits.
std::atomic<log_queue*> queue{nullptr};

void write_line(const std::string& line)
{
    // An earlier failure, such as a full disk, may have passed.
    std::cout.clear();
    LOG(INFO) << line;
}

const char* name_of(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "unknown";
}

/// Longest value in a line, in bytes.
constexpr std::size_t max_value_bytes = 400;

bool is_control(char c)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return byte < first_printable || byte == delete_character;
}

bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=") != std::string_view::npos ||
           std::any_of(value.begin(), value.end(), is_control);
}

void append_quoted(std::string& line, std::string_view value)
{
    line += '"';
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
        {
            line += '\\';
        }
        line += is_control(c) ? ' ' : c;
    }
    line += '"';
}

} // namespace

void configure_log(std::string host, std::string data_centre, log_level lowest)
{
    common_fields = " host=" + std::move(host) + " data_centre=" + std::move(data_centre);
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    settings.setGlobally(el::ConfigurationType::Format, "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
    el::Loggers::reconfigureLogger("default", settings);
    set_log_level(lowest);
    if (queue.load() == nullptr)
    {
        queue.store(new log_queue{write_line});
    }
}

void flush_log(std::chrono::milliseconds limit)
{
    if (auto* const lines = queue.load(); lines != nullptr)
    {
        lines->flush(limit);
    }
}

void set_log_level(log_level lowest)
{
    lowest_level.store(lowest, std::memory_order_relaxed);
}

log_event::log_event(log_level level, std::string_view event) : level_{level}
{
    line_ = std::string{"level="} + name_of(level) + " event=" + std::string{event} + common_fields;
}

log_event::~log_event()
{
    if (level_ < lowest_level.load(std::memory_order_relaxed))
    {
        return;
    }
    if (auto* const lines = queue.load(); lines != nullptr)
    {
        lines->push(std::move(line_));
        return;
    }
    write_line(line_);
}

std::string format_field(std::string_view key, std::string_view value)
{
    const auto kept = value.substr(0, max_value_bytes);
    std::string field{key};
    field += '=';
    if (needs_quotes(kept))
    {
        append_quoted(field, kept);
    }
    else
    {
        field += kept;
    }
    return field + (kept.size() < value.size() ? "..." : "");
}

log_event& log_event::with(std::string_view key, std::string_view value)
{
    line_ += ' ';
    line_ += format_field(key, value);
    return *this;
}

log_event& log_event::with(const error& value)
{
    return with("step", value.step())
        .with("peer", value.peer())
        .with("code", base::name_of(value.code()))
        .with("detail", value.detail());
}

} // namespace galenabay::base
