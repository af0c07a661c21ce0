#include "object_store.hpp"

#include <algorithm>
#include <utility>

namespace galenabay::stub
{

namespace
{

constexpr std::size_t max_log_bytes = 256U << 20U;

} // namespace

std::optional<stored_object> object_store::get(const std::string& key) const
{
    const std::lock_guard lock{mutex_};
    const auto found = objects_.find(key);
    return found == objects_.end() ? std::nullopt : std::optional{found->second};
}

std::optional<stored_object> object_store::get_previous(const std::string& key) const
{
    const std::lock_guard lock{mutex_};
    const auto of_key = [&](const change& entry) { return entry.object.key == key; };
    const auto latest = std::find_if(log_.rbegin(), log_.rend(), of_key);
    if (latest == log_.rend())
    {
        return std::nullopt;
    }
    const auto previous = std::find_if(std::next(latest), log_.rend(), of_key);
    return previous == log_.rend() || previous->removed ? std::nullopt : std::optional{previous->object};
}

std::vector<stored_object> object_store::list(const std::string& prefix) const
{
    const std::lock_guard lock{mutex_};
    std::vector<stored_object> found;
    for (auto it = objects_.lower_bound(prefix); it != objects_.end() && it->first.starts_with(prefix); ++it)
    {
        found.push_back(it->second);
    }
    return found;
}

write_outcome object_store::check(const std::string& key, std::optional<std::uint64_t> expected) const
{
    const auto found = objects_.find(key);
    const std::uint64_t present = found == objects_.end() ? 0 : found->second.version;
    if (expected && *expected != present)
    {
        return {write_status::conflict, present};
    }
    return {write_status::done, present};
}

void object_store::record(stored_object object, bool removed)
{
    log_bytes_ += object.value.size();
    log_.push_back(change{std::move(object), removed});
    while (log_bytes_ > max_log_bytes)
    {
        log_bytes_ -= log_.front().object.value.size();
        trimmed_version_ = log_.front().object.version;
        log_.pop_front();
    }
    changed_.notify_all();
}

write_outcome object_store::put(const std::string& key, std::string value, std::optional<std::uint64_t> expected)
{
    const std::lock_guard lock{mutex_};
    if (const auto outcome = check(key, expected); outcome.status != write_status::done)
    {
        return outcome;
    }
    stored_object object{key, ++version_, std::move(value)};
    objects_[key] = object;
    record(std::move(object), false);
    return {write_status::done, version_};
}

write_outcome object_store::remove(const std::string& key, std::optional<std::uint64_t> expected)
{
    const std::lock_guard lock{mutex_};
    const auto outcome = check(key, expected);
    if (outcome.version == 0)
    {
        return {write_status::not_found, 0};
    }
    if (outcome.status != write_status::done)
    {
        return outcome;
    }
    objects_.erase(key);
    record(stored_object{key, ++version_, {}}, true);
    return {write_status::done, version_};
}

std::optional<stored_object> object_store::watch(const std::string& key, std::uint64_t after,
                                                 std::chrono::milliseconds wait)
{
    std::unique_lock lock{mutex_};
    const auto present = [&]
    {
        const auto found = objects_.find(key);
        return found == objects_.end() ? std::uint64_t{0} : found->second.version;
    };
    changed_.wait_for(lock, wait, [&] { return stopping_ || (present() != 0 && present() != after); });
    const auto found = objects_.find(key);
    return found == objects_.end() || found->second.version == after ? std::nullopt : std::optional{found->second};
}

bool object_store::restore(std::uint64_t version)
{
    const std::lock_guard lock{mutex_};
    if (version < trimmed_version_ || version > version_)
    {
        return false;
    }
    objects_.clear();
    std::erase_if(log_, [&](const change& entry) { return entry.object.version > version; });
    for (const auto& entry : log_)
    {
        if (entry.removed)
        {
            objects_.erase(entry.object.key);
        }
        else
        {
            objects_[entry.object.key] = entry.object;
        }
    }
    version_ = version;
    changed_.notify_all();
    return true;
}

std::uint64_t object_store::version() const
{
    const std::lock_guard lock{mutex_};
    return version_;
}

void object_store::stop()
{
    const std::lock_guard lock{mutex_};
    stopping_ = true;
    changed_.notify_all();
}

} // namespace galenabay::stub
