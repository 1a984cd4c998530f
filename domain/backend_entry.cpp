#include "domain/backend_entry.hpp"

#include <algorithm>
#include <tuple>

namespace siskinusher
{

bool operator==(resident_model const& a, resident_model const& b)
{
    return std::tie(a.name, a.adapters) == std::tie(b.name, b.adapters);
}

bool operator==(backend_entry const& a, backend_entry const& b)
{
    auto const fields = [](backend_entry const& e)
    {
        return std::tie(e.name, e.service, e.address, e.data_centre, e.places, e.leaving, e.is_engine,
                        e.software_version, e.models, e.copies_in_memory, e.copies_on_disk, e.started_at);
    };
    return fields(a) == fields(b);
}

bool operator==(backend_load const& a, backend_load const& b)
{
    return std::tie(a.running, a.waiting, a.places) == std::tie(b.running, b.waiting, b.places);
}

resident_model const* find_resident(backend_entry const& entry, std::string const& model)
{
    auto const found = std::find_if(entry.models.begin(), entry.models.end(),
                                    [&model](resident_model const& each) { return each.name == model; });
    return found == entry.models.end() ? nullptr : &*found;
}

} // namespace siskinusher
