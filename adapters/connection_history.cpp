#include "adapters/connection_history.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <cstddef>

namespace siskinusher
{

namespace
{

// At 8 bytes an id, 2 KiB for a connection; one connection in this many requests is opened for it.
constexpr std::size_t max_carried_ids = 256;

} // namespace

bool connection_history::has_carried(std::string const& id) const
{
    return !id.empty() && std::find(carried_.begin(), carried_.end(), stable_hash(id)) != carried_.end();
}

bool connection_history::can_carry(std::string const& id) const
{
    bool const carried_unnamed = requests_ > carried_.size();
    return id.empty() || (!carried_unnamed && !has_carried(id));
}

bool connection_history::full() const
{
    return carried_.size() >= max_carried_ids;
}

void connection_history::add(std::string const& id)
{
    ++requests_;
    if (!id.empty())
    {
        carried_.push_back(stable_hash(id));
    }
}

} // namespace siskinusher
