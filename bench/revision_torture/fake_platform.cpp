#include "fake_platform.hpp"

#include <src/object_api/chunk_store.hpp>

#include <algorithm>
#include <chrono>

namespace galenabay::revision_torture
{

namespace
{

using base::error_code;
using namespace std::chrono_literals;

/// Longer than any apply takes, so that an apply that ran across a restore has
/// repaired the set by then.
constexpr auto repair_time = 30s;
const std::string manifest_name = "config/manifest";

object_api::object convert(const stub::stored_object& stored)
{
    return object_api::object{stored.key, stored.version, stored.value};
}

base::error disconnected_error(const char* step)
{
    return base::error::make(error_code::unavailable, step, "platform", "cut off");
}

} // namespace

bool fake_platform::should_inject(std::uint64_t percent)
{
    const bool is_injected = random_.below(100) < percent;
    faults_ += is_injected ? 1U : 0U;
    return is_injected;
}

void fake_platform::simulate_latency()
{
    ++calls_;
    constexpr std::uint64_t usual_us = 20'000;
    constexpr std::uint64_t slow_us = 1'000'000;
    const auto longest = should_inject(rates_.slow) ? slow_us : usual_us;
    queue_.run_for(std::chrono::microseconds{500 + random_.below(longest)});
}

base::error fake_platform::make_error(error_code code, const char* step)
{
    return base::error::make(code, step, "platform", "injected fault");
}

base::result<object_api::object> fake_platform::get(const std::string& key)
{
    simulate_latency();
    if (down_)
    {
        return make_error(error_code::unavailable, "get");
    }
    if (should_inject(rates_.rejected))
    {
        return make_error(error_code::exhausted, "get");
    }
    const auto stored = should_inject(rates_.stale) ? objects_.get_previous(key) : objects_.get(key);
    return stored ? base::result<object_api::object>{convert(*stored)} : make_error(error_code::not_found, "get");
}

base::result<std::vector<object_api::object>> fake_platform::list(const std::string& prefix)
{
    simulate_latency();
    if (down_)
    {
        return make_error(error_code::unavailable, "list");
    }
    std::vector<object_api::object> rows;
    for (const auto& stored : objects_.list(prefix))
    {
        rows.push_back(convert(stored));
    }
    return rows;
}

base::result<std::uint64_t> fake_platform::put(const std::string& key, const std::string& value, std::uint64_t expected)
{
    simulate_latency();
    if (down_)
    {
        return make_error(error_code::unavailable, "put");
    }
    if (should_inject(rates_.rejected))
    {
        return make_error(error_code::exhausted, "put");
    }
    if (should_inject(rates_.late_write))
    {
        queue_.schedule(std::chrono::milliseconds{random_.below(5'000)},
                        [this, key, value, expected, epoch = epoch_]
                        {
                            if (epoch == epoch_)
                            {
                                static_cast<void>(write(key, value, expected));
                            }
                        });
        return make_error(error_code::timeout, "put");
    }
    auto written = write(key, value, expected);
    if (should_inject(rates_.lost_answer))
    {
        return make_error(error_code::timeout, "put");
    }
    return written;
}

base::result<std::uint64_t> fake_platform::write(const std::string& key, const std::string& value,
                                                 std::uint64_t expected)
{
    const auto outcome = objects_.put(key, value, expected);
    if (outcome.status != stub::write_status::done)
    {
        return make_error(error_code::conflict, "put");
    }
    if (key == manifest_name)
    {
        record_manifest(value);
    }
    return outcome.version;
}

/// True while an apply that runs across a restore may still rewrite the chunks
/// that the restore removed. No host adopts a set with a missing chunk meanwhile.
bool fake_platform::was_just_restored() const
{
    return restored_at_ && queue_.now() - *restored_at_ < repair_time;
}

bool fake_platform::has_all_chunks(const object_api::manifest& content) const
{
    return std::all_of(content.chunks.begin(), content.chunks.end(),
                       [&](const std::string& chunk)
                       { return objects_.get(object_api::chunk_prefix + chunk).has_value(); });
}

void fake_platform::record_manifest(const std::string& text)
{
    const auto parsed = object_api::parse_manifest(text).value();
    commit_log_.committed.emplace(parsed.number, parsed.digest);
    if (++commit_log_.manifest_counts[text] > 1)
    {
        violation_ = "a change was accepted twice";
    }
    if (!was_just_restored() && !has_all_chunks(parsed))
    {
        violation_ = "a set was accepted before all of it was written";
    }
}

base::result<void> fake_platform::remove(const std::string& key, std::uint64_t expected)
{
    simulate_latency();
    if (down_)
    {
        return make_error(error_code::unavailable, "remove");
    }
    const auto outcome = objects_.remove(key, expected);
    if (outcome.status == stub::write_status::conflict)
    {
        return make_error(error_code::conflict, "remove");
    }
    const auto manifest = objects_.get(manifest_name);
    if (manifest && !was_just_restored() && !has_all_chunks(object_api::parse_manifest(manifest->value).value()))
    {
        violation_ = "a chunk of the accepted set was removed";
    }
    return base::outcome::success();
}

void fake_platform::restore(std::uint64_t version)
{
    if (objects_.restore(version))
    {
        ++epoch_;
        restored_at_ = queue_.now();
        ++commit_log_.restores;
        commit_log_.manifest_counts.clear();
    }
}

base::result<object_api::object> fake_client::get(const std::string& key) const
{
    return is_disconnected() ? base::result<object_api::object>{disconnected_error("get")} : target_->get(key);
}

base::result<std::vector<object_api::object>> fake_client::list(const std::string& prefix) const
{
    return is_disconnected() ? base::result<std::vector<object_api::object>>{disconnected_error("list")}
                             : target_->list(prefix);
}

base::result<std::uint64_t> fake_client::put(const std::string& key, const std::string& value,
                                             std::uint64_t expected) const
{
    return is_disconnected() ? base::result<std::uint64_t>{disconnected_error("put")}
                             : target_->put(key, value, expected);
}

base::result<void> fake_client::remove(const std::string& key, std::uint64_t expected) const
{
    return is_disconnected() ? base::result<void>{disconnected_error("remove")} : target_->remove(key, expected);
}

base::result<object_api::object> fake_client::watch(const std::string& key, std::uint64_t,
                                                    std::chrono::milliseconds) const
{
    return get(key);
}

} // namespace galenabay::revision_torture
