#include <galenabay/inspect/fleet_plots.hpp>

#include <charconv>
#include <ctime>
#include <optional>

namespace galenabay::inspect
{

namespace
{

/// Returns the value of a key of a log line that is written without quotes; empty when it is missing.
std::string_view field(std::string_view line, std::string_view key)
{
    for (std::size_t at = line.find(key); at != std::string_view::npos; at = line.find(key, at + 1))
    {
        const bool begins_word = at == 0 || line[at - 1] == ' ';
        const auto rest = line.substr(at + key.size());
        if (begins_word && rest.starts_with('='))
        {
            return rest.substr(1, rest.find(' ') - 1);
        }
    }
    return {};
}

/// Reads local time such as 2026-12-04T17:20:01.250, in milliseconds since 1970.
std::optional<std::int64_t> parse_time(std::string_view text)
{
    std::tm date{};
    const std::string kept{text};
    const char* const rest = ::strptime(kept.c_str(), "%Y-%m-%dT%H:%M:%S", &date);
    if (rest == nullptr)
    {
        return std::nullopt;
    }
    date.tm_isdst = -1;
    std::int64_t fraction_ms = 0;
    if (*rest == '.')
    {
        std::from_chars(rest + 1, kept.c_str() + kept.size(), fraction_ms);
    }
    constexpr std::int64_t ms_per_second = 1'000;
    return static_cast<std::int64_t>(std::mktime(&date)) * ms_per_second + fraction_ms;
}

bool is_forwarding(std::string_view reason)
{
    return reason == "new_flow" || reason == "next_upstream";
}

} // namespace

void forwarded_flows::add(std::string_view line)
{
    const auto event = field(line, "event");
    if (event == "lines_left_out" && is_forwarding(field(line, "kind")))
    {
        const auto text = field(line, "count");
        std::uint64_t count = 0;
        std::from_chars(text.data(), text.data() + text.size(), count);
        left_out_ += count;
    }
    else if (event == "upstream")
    {
        ids_by_token_[std::string{field(line, "token")}] = field(line, "id");
    }
    else if (event == "packet" && field(line, "outcome") == "forward" && is_forwarding(field(line, "reason")))
    {
        if (const auto time = parse_time(field(line, "time")); time)
        {
            auto& forwarded = by_token_[std::string{field(line, "token")}];
            forwarded.address = field(line, "address");
            forwarded.times.push_back(*time);
        }
    }
}

std::map<std::string, std::vector<std::int64_t>> forwarded_flows::by_upstream() const
{
    std::map<std::string, std::vector<std::int64_t>> found;
    for (const auto& [token, forwarded] : by_token_)
    {
        const auto known = ids_by_token_.find(token);
        auto& times = found[known == ids_by_token_.end() ? forwarded.address : known->second];
        times.insert(times.end(), forwarded.times.begin(), forwarded.times.end());
    }
    return found;
}

} // namespace galenabay::inspect
