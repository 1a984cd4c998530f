#include "domain/dispatch_request.hpp"

namespace siskinusher
{

std::vector<std::string> shared_part_ids(std::vector<prompt_part> const& prompt)
{
    std::vector<std::string> ids;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
    {
        ids.push_back(prompt[i].id);
    }
    return ids;
}

} // namespace siskinusher
