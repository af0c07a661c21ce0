#include <galenabay/base/random.hpp>
#include <galenabay/config/codec.hpp>
#include <galenabay/config/host_settings.hpp>
#include <galenabay/config/load.hpp>

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace galenabay;

namespace
{

constexpr std::uint64_t seed_count = 1500;

std::string read_example(const char* name)
{
    std::ifstream stream{std::string{GALENABAY_SOURCE_DIR} + "/examples/" + name};
    return {std::istreambuf_iterator<char>{stream}, {}};
}

template <typename Bytes> void mutate(Bytes& bytes, base::random_source& random)
{
    const std::string syntax_characters = "{}[]:-,#&*!|>'\"%@`\n\t 0";
    const auto edits = 1 + random.below(8);
    for (std::uint64_t i = 0; i < edits && !bytes.empty(); ++i)
    {
        const auto at = random.below(bytes.size());
        const auto from = static_cast<std::ptrdiff_t>(at);
        using element = typename Bytes::value_type;
        switch (random.below(4))
        {
        case 0:
            bytes[at] = static_cast<element>(random.below(256));
            break;
        case 1:
            bytes[at] = static_cast<element>(syntax_characters[random.below(syntax_characters.size())]);
            break;
        case 2:
            bytes.erase(bytes.begin() + from,
                        bytes.begin() + from + static_cast<std::ptrdiff_t>(random.below(bytes.size() - at)));
            break;
        default:
            bytes.insert(bytes.begin() + from, bytes.begin(),
                         bytes.begin() + static_cast<std::ptrdiff_t>(random.below(64) % bytes.size()));
        }
    }
}

config::accepted_revision example_revision()
{
    auto first = config::make_next_revision(
        nullptr, config::parse_service_set(read_example("alliance.yaml"), "a").value(), "ann", 1);
    auto next = first.set;
    next.services[0].upstreams[3].draining = true;
    return config::make_next_revision(&first, next, "ben", 2);
}

} // namespace

TEST_GROUP(fuzz){};

TEST(fuzz, yaml_decoder_survives_mutated_files)
{
    const auto set = read_example("alliance.yaml");
    const auto host = read_example("host.yaml");
    std::uint64_t refused = 0;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        base::random_source random{seed};
        std::string text = set;
        mutate(text, random);
        refused += config::parse_service_set(text, "set.yaml").has_value() ? 0U : 1U;
        text = host;
        mutate(text, random);
        refused += config::parse_host_settings(text, "host.yaml").has_value() ? 0U : 1U;
    }
    CHECK(refused > seed_count);
}

TEST(fuzz, yaml_decoder_survives_random_bytes)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        base::random_source random{seed};
        std::string text(random.below(200), '\0');
        for (char& c : text)
        {
            c = static_cast<char>(random.below(128));
        }
        CHECK_FALSE(config::parse_service_set(text, "set.yaml").has_value());
    }
}

TEST(fuzz, revision_decoder_accepts_nothing_but_valid_sets)
{
    const auto revision = example_revision();
    const auto valid = config::encode_revision(revision);
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        base::random_source random{seed};
        auto bytes = valid;
        mutate(bytes, random);
        if (const auto decoded = config::decode_revision(bytes); decoded.has_value())
        {
            CHECK(config::digest_of(decoded.value().set) == decoded.value().digest);
            CHECK(config::validate_structure(decoded.value().set).has_value());
        }
    }
}

TEST(fuzz, change_decoder_accepts_nothing_but_valid_sets)
{
    const auto before = example_revision();
    auto set = before.set;
    set.services[1].upstreams[0].weight = 7;
    const auto valid = config::encode_change(before, config::make_next_revision(&before, set, "cat", 3));
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        base::random_source random{seed};
        auto bytes = valid;
        mutate(bytes, random);
        if (const auto decoded = config::decode_change(before, bytes); decoded.has_value())
        {
            CHECK(config::digest_of(decoded.value().set) == decoded.value().digest);
            CHECK(config::validate_structure(decoded.value().set).has_value());
        }
    }
}
