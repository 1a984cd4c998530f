#include "apps/caller_access.hpp"

#include <utility>

namespace siskinusher
{

caller_access::caller_access(admission_bounds bounds, currency_source currency, std::uint64_t seed)
    : bounds_(bounds), currency_(std::move(currency)), seed_(seed)
{
}

void caller_access::on_config(std::shared_ptr<serving_config const> config)
{
    directory_.emplace(std::move(config), seed_);
}

bool caller_access::is_active() const
{
    return directory_ && directory_->is_active();
}

admission caller_access::check(route_rule const& route, caller_credentials const& credentials,
                               steady_time arrived) const
{
    if (!is_active())
    {
        return caller_admitted{};
    }
    return admit_caller(directory_->identify(route, credentials), arrived, currency_(), bounds_);
}

organisation const* caller_access::find(std::string const& name) const
{
    return directory_ ? directory_->find(name) : nullptr;
}

duration caller_access::proof_age(steady_time now) const
{
    return now - currency_().current_at;
}

} // namespace siskinusher
