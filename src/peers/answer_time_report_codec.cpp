#include <galenabay/peers/answer_time_report_codec.hpp>

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <optional>
#include <utility>

namespace galenabay::peers
{

namespace
{

using text_writer = rapidjson::Writer<rapidjson::StringBuffer>;

/// Digits after the decimal point; a difference of 28 % is within the dead band.
constexpr int relative_digits = 3;

void write_text(text_writer& writer, const char* key, const std::string& text)
{
    writer.Key(key);
    writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

base::error malformed(const char* detail)
{
    return base::error::make(base::error_code::malformed, "decode_answer_times", "", detail);
}

/// Returns a member of an object; null when there is none.
const rapidjson::Value* member(const rapidjson::Value& object, const char* key)
{
    const auto found = object.FindMember(key);
    return found == object.MemberEnd() ? nullptr : &found->value;
}

std::optional<steer::upstream_answer_time> read_upstream(const rapidjson::Value& in)
{
    if (!in.IsObject())
    {
        return std::nullopt;
    }
    const auto* service = member(in, "service");
    const auto* id = member(in, "id");
    const auto* relative = member(in, "relative");
    const auto* samples = member(in, "samples");
    const auto* newest = member(in, "newest_ms");
    if (service == nullptr || !service->IsString() || id == nullptr || !id->IsString() || relative == nullptr ||
        !relative->IsNumber() || samples == nullptr || !samples->IsUint() || (newest != nullptr && !newest->IsUint()))
    {
        return std::nullopt;
    }
    steer::upstream_answer_time read{.service = {service->GetString(), service->GetStringLength()},
                                     .id = {id->GetString(), id->GetStringLength()},
                                     .relative = relative->GetDouble(),
                                     .samples = samples->GetUint()};
    if (newest != nullptr)
    {
        read.newest_sample_ago = std::chrono::milliseconds{newest->GetUint()};
    }
    return read;
}

} // namespace

std::string encode(const steer::answer_time_report& report)
{
    rapidjson::StringBuffer text;
    text_writer writer{text};
    writer.SetMaxDecimalPlaces(relative_digits);
    writer.StartObject();
    writer.Key("upstreams");
    writer.StartArray();
    for (const auto& upstream : report.upstreams)
    {
        writer.StartObject();
        write_text(writer, "service", upstream.service);
        write_text(writer, "id", upstream.id);
        writer.Key("relative");
        writer.Double(upstream.relative);
        writer.Key("samples");
        writer.Uint(upstream.samples);
        if (upstream.newest_sample_ago)
        {
            writer.Key("newest_ms");
            writer.Uint(static_cast<unsigned>(upstream.newest_sample_ago->count()));
        }
        writer.EndObject();
    }
    writer.EndArray();
    writer.Key("left_out");
    writer.Uint64(report.left_out);
    writer.EndObject();
    return {text.GetString(), text.GetSize()};
}

base::result<steer::answer_time_report> decode_answer_times(const std::string& body)
{
    rapidjson::Document document;
    // The iterative parser does not use more stack for values that are nested deeply.
    document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
    if (document.HasParseError() || !document.IsObject())
    {
        return malformed("not a JSON object");
    }
    const auto* upstreams = member(document, "upstreams");
    const auto* left_out = member(document, "left_out");
    if (upstreams == nullptr || !upstreams->IsArray() || left_out == nullptr || !left_out->IsUint64())
    {
        return malformed("a member is missing or of another type");
    }
    if (upstreams->Size() > steer::answer_time_report::max_upstreams)
    {
        return malformed("too many upstreams");
    }
    steer::answer_time_report report;
    report.left_out = left_out->GetUint64();
    for (const auto& one : upstreams->GetArray())
    {
        auto upstream = read_upstream(one);
        if (!upstream)
        {
            return malformed("an upstream has a member that is missing or of another type");
        }
        report.upstreams.push_back(std::move(*upstream));
    }
    return report;
}

} // namespace galenabay::peers
