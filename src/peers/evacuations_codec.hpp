#pragma once

#include <galenabay/steer/evacuations.hpp>
#include <generated/edge.capnp.h>

#include <optional>

namespace galenabay::peers
{

/// Writes a set into a message of any kind; leaves the field null when there is none.
template <typename Builder> void write_evacuations(const std::optional<steer::evacuation_set>& from, Builder out)
{
    if (!from)
    {
        return;
    }
    auto set = out.initEvacuations();
    set.setEpoch(from->revision.epoch);
    set.setRevision(from->revision.number);
    auto list = set.initEvacuations(static_cast<unsigned>(from->evacuations.size()));
    for (unsigned i = 0; i < list.size(); ++i)
    {
        list[i].setDataCentre(from->evacuations[i].data_centre);
        list[i].setRevision(from->evacuations[i].revision_number);
    }
}

/// Reads the set of a message; empty when it has none.
template <typename Reader> std::optional<steer::evacuation_set> read_evacuations(Reader in)
{
    if (!in.hasEvacuations())
    {
        return std::nullopt;
    }
    const auto set = in.getEvacuations();
    steer::evacuation_set read{.revision = {.epoch = set.getEpoch(), .number = set.getRevision()}, .evacuations = {}};
    for (const auto one : set.getEvacuations())
    {
        read.evacuations.push_back({.data_centre = one.getDataCentre(), .revision_number = one.getRevision()});
    }
    return read;
}

} // namespace galenabay::peers
