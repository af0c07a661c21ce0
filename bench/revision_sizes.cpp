#include "revision_bench/large_set.hpp"

#include <galenabay/config/codec.hpp>
#include <galenabay/config/load.hpp>
#include <galenabay/config/revision_log.hpp>

#include <chrono>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

using namespace galenabay;

namespace
{

/// Prints the wall-clock time of `step` and the number that it returns.
template <typename Step> void measure(const char* name, Step step)
{
    const auto start = std::chrono::steady_clock::now();
    const std::size_t result = step();
    const std::chrono::duration<double, std::milli> taken = std::chrono::steady_clock::now() - start;
    std::printf("%-40s %10zu %8.1f ms\n", name, result, taken.count());
}

std::size_t total_bytes(const std::vector<std::vector<std::byte>>& chunks)
{
    std::size_t sum = 0;
    for (const auto& each : chunks)
    {
        sum += each.size();
    }
    return sum;
}

/// Returns the bytes of the chunks of `b` that differ from those of `a`.
std::size_t total_changed_bytes(const std::vector<std::vector<std::byte>>& a,
                                const std::vector<std::vector<std::byte>>& b)
{
    std::size_t sum = 0;
    for (std::size_t i = 0; i < a.size() && i < b.size(); ++i)
    {
        sum += a[i] == b[i] ? 0 : b[i].size();
    }
    return sum;
}

} // namespace

/// Prints the encoded sizes of a revision at the target size of the fleet, and
/// the time that each step takes.
int main()
{
    const auto first = config::make_next_revision(nullptr, bench::make_large_set(), "operator", 1);
    auto set = first.set;
    set.services[7].upstreams[0].draining = true;
    config::accepted_revision second;
    config::accepted_revision decoded;
    std::vector<std::byte> bytes;
    std::vector<std::vector<std::byte>> chunks;
    measure("copy of a revision",
            [&]
            {
                decoded = first;
                return decoded.set.services.size();
            });
    measure("succeed",
            [&]
            {
                second = config::make_next_revision(&first, set, "operator", 2);
                return second.set.services.size();
            });
    measure("canonical set, bytes", [&] { return config::encode_service_set(second.set).size(); });
    measure("digest", [&] { return config::digest_of(second.set).size(); });
    measure("whole revision, bytes",
            [&]
            {
                bytes = config::encode_revision(second);
                return bytes.size();
            });
    measure("decode whole revision", [&] { return config::decode_revision(bytes).value().set.services.size(); });
    measure("chunks, bytes",
            [&]
            {
                chunks = config::encode_chunks(second);
                return total_bytes(chunks);
            });
    std::printf("chunks %zu, bytes of the chunks that one change alters %zu\n", chunks.size(),
                total_changed_bytes(config::encode_chunks(first), chunks));
    config::accepted_revision header = second;
    header.set.services.clear();
    header.lineage.clear();
    measure("decode chunks", [&] { return config::decode_chunks(header, chunks).value().set.services.size(); });
    measure("change, bytes",
            [&]
            {
                bytes = config::encode_change(first, second);
                return bytes.size();
            });
    measure("apply change", [&] { return config::decode_change(first, bytes).value().set.services.size(); });
    measure("validate", [&] { return config::validate_structure(second.set).has_value() ? 1U : 0U; });
    config::revision_log log;
    measure("log a revision",
            [&]
            {
                log.add(&first, second);
                return std::size_t{0};
            });
    measure("update of one change, bytes", [&] { return log.update_since(1).size(); });
    return 0;
}
