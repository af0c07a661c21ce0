#include <galenabay/config/revision_log.hpp>

#include "packed_message.hpp"

#include <galenabay/config/codec.hpp>

#include <generated/revision.capnp.h>

#include <optional>
#include <utility>

namespace galenabay::config
{

namespace
{

using encoded = std::vector<std::byte>;

/// When the changes together take more bytes than this, the full revision is
/// sent instead.
constexpr std::size_t max_changes_size = 256U << 10U;

capnp::Data::Reader to_data(const encoded& bytes)
{
    return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::span<const std::byte> to_span(capnp::Data::Reader data)
{
    return std::as_bytes(std::span{data.begin(), data.size()});
}

base::result<accepted_revision> read_update(const accepted_revision* current, schema::RevisionUpdate::Reader reader)
{
    if (reader.getWhole().size() > 0)
    {
        return decode_revision(to_span(reader.getWhole()));
    }
    const auto changes = reader.getChanges();
    if (current == nullptr || changes.size() == 0 || changes.size() > revision_log::max_changes)
    {
        return base::error::make(base::error_code::stale, "decode_update", "",
                                 "the changes do not follow the present revision");
    }
    std::optional<accepted_revision> latest;
    for (const auto bytes : changes)
    {
        BOOST_OUTCOME_TRY(next, decode_change(latest ? *latest : *current, to_span(bytes)));
        latest = std::move(next);
    }
    return std::move(*latest);
}

} // namespace

void revision_log::add(const accepted_revision* previous, const accepted_revision& next)
{
    if (previous == nullptr || previous->number + 1 != next.number)
    {
        changes_.clear();
    }
    else
    {
        changes_.push_back({next.number, encode_change(*previous, next)});
    }
    if (changes_.size() > max_changes)
    {
        changes_.pop_front();
    }
    latest_ = next;
    encoded_latest_.clear();
}

const std::vector<std::byte>& revision_log::encoded_latest() const
{
    if (encoded_latest_.empty())
    {
        encoded_latest_ = encode_revision(latest_);
    }
    return encoded_latest_;
}

std::vector<std::byte> revision_log::update_since(std::uint64_t after) const
{
    if (after >= latest_.number)
    {
        return {};
    }
    std::vector<const encoded*> missing;
    std::size_t size = 0;
    for (const auto& change : changes_)
    {
        if (change.number > after)
        {
            missing.push_back(&change.bytes);
            size += change.bytes.size();
        }
    }
    const bool complete = after + missing.size() == latest_.number;
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::RevisionUpdate>();
    if (after == 0 || !complete || size > max_changes_size)
    {
        root.setWhole(to_data(encoded_latest()));
        return pack_canonical(root.asReader());
    }
    auto changes = root.initChanges(static_cast<unsigned>(missing.size()));
    for (unsigned i = 0; i < changes.size(); ++i)
    {
        changes.set(i, to_data(*missing[i]));
    }
    return pack_canonical(root.asReader());
}

base::result<accepted_revision> decode_update(const accepted_revision* current, std::span<const std::byte> bytes)
{
    return unpack<schema::RevisionUpdate>(bytes, [&](schema::RevisionUpdate::Reader reader)
                                          { return read_update(current, reader); });
}

} // namespace galenabay::config
