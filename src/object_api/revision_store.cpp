#include <galenabay/object_api/revision_store.hpp>

#include "retry.hpp"
#include "store_logic.hpp"

#include <utility>

namespace galenabay::object_api
{

class revision_store::state : public store_logic<object_client, steady_time>
{
public:
    using store_logic::store_logic;
};

revision_store::revision_store(object_client client, std::chrono::milliseconds retry_timeout)
    : state_{std::make_unique<state>(client, retry_timeout)}
{
}

revision_store::revision_store(revision_store&&) noexcept = default;
revision_store& revision_store::operator=(revision_store&&) noexcept = default;
revision_store::~revision_store() = default;

base::result<std::optional<stored_revision>> revision_store::read() const
{
    return state_->read();
}

base::result<std::optional<stored_revision>> revision_store::watch(std::uint64_t after,
                                                                   std::chrono::milliseconds wait) const
{
    return state_->watch(after, wait);
}

base::result<std::optional<stored_revision>> revision_store::fetch(std::uint64_t after,
                                                                   std::chrono::milliseconds wait) const
{
    return state_->fetch(after, wait);
}

base::result<stored_revision> revision_store::accept(const config::accepted_revision& next,
                                                     std::uint64_t expected) const
{
    return state_->accept(next, expected);
}

base::result<std::optional<history_entry>> revision_store::newest() const
{
    return state_->newest();
}

base::result<std::optional<stored_entry>> revision_store::newest_entry() const
{
    return state_->newest_entry();
}

base::result<std::vector<history_entry>> revision_store::history() const
{
    return state_->history();
}

base::result<config::accepted_revision> revision_store::read_revision(std::uint64_t number) const
{
    return state_->read_revision(number);
}

} // namespace galenabay::object_api
