#include "core/invariant.hpp"

#include <atomic>
#include <utility>

namespace siskinusher
{

namespace
{

std::atomic<std::uint64_t> violations{0};

invariant_handler& installed_handler()
{
    static invariant_handler handler;
    return handler;
}

} // namespace

void set_invariant_handler(invariant_handler handler)
{
    installed_handler() = std::move(handler);
}

bool check_invariant(bool holds, std::string_view name, std::string const& detail)
{
    if (holds)
    {
        return true;
    }
    ++violations;
    if (installed_handler())
    {
        installed_handler()(name, detail);
    }
    return false;
}

std::uint64_t invariant_violations()
{
    return violations.load();
}

} // namespace siskinusher
