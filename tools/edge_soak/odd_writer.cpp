#include "odd_writer.hpp"

#include <array>
#include <string>

namespace galenabay::edge_soak
{

namespace
{

constexpr std::size_t deep_nesting = 500'000;
constexpr std::size_t long_text = 900'000;
constexpr std::array kinds{"servers", "galenabay-hosts"};

std::string nested(std::size_t depth)
{
    return R"({"service":"feed","version":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
}

/// Returns one of the entries that other writers may leave: unreadable, or of other types.
std::string odd_spec(base::random_source& random)
{
    switch (random.below(12))
    {
    case 0:
        return "1e400";
    case 1:
        return R"("parts 127.0.0.7:8080 \ud83d")";
    case 2:
        return nested(deep_nesting);
    case 3:
        return nested(40);
    case 4:
        return "null";
    case 5:
        return R"({"service":7,"address":["127.0.0.7:8080"],"zone":{},"state":true,"born":"x","sequence":-1})";
    case 6:
        return R"({"service":"feed","address":"127.0.0.7:0","zone":"zone-0","state":"ready","sequence":1,"born":1e400})";
    case 7:
        return R"({"service":"feed","address":"0.0.0.0:80","zone":"zone-0","state":"ready","max-concurrency":-3,)"
               R"("warmup-left-ms":1e18,"sequence":18446744073709551615,"born":9223372036854775807})";
    case 8:
        return "\"" + std::string(long_text, 'x') + "\"";
    case 9:
        return "\"\x01\x80\xff\"";
    case 10:
        return R"({"peer-address":"224.0.0.1:29110","address":"127.0.0.1:0","data-centre":[],"zone":1e400})";
    default:
        return "[]";
    }
}

} // namespace

bool odd_writer::write(const std::string& kind, const std::string& name)
{
    if (schedule_.chance(0.15) && schedule_.begin("unclosed_entry"))
    {
        store_.put(kind, name, R"({"service":"feed","address":[{"a":")");
        return true;
    }
    if (!schedule_.begin("odd_entry"))
    {
        return false;
    }
    store_.put(kind, name, odd_spec(schedule_.random));
    return true;
}

void odd_writer::begin_before_start()
{
    for (const auto* kind : kinds)
    {
        for (std::size_t i = 0; i < 4 && schedule_.chance(0.7); ++i)
        {
            write(kind, "odd-" + std::to_string(count_++));
        }
    }
}

void odd_writer::begin(double now)
{
    const std::string kind = kinds[schedule_.random.below(kinds.size())];
    // Names of which some are listed before, and some after, those of hosts and upstreams.
    const auto name = (schedule_.chance(0.5) ? "a-odd-" : "z-odd-") + std::to_string(count_++);
    if (write(kind, name))
    {
        schedule_.add(now + schedule_.between(1, 12), [this, kind, name](double) { store_.remove(kind, name); });
    }
}

} // namespace galenabay::edge_soak
