#include "adapters/header_fields.hpp"

#include <algorithm>
#include <cctype>

namespace siskinusher
{

namespace
{

int lower(char c)
{
    return std::tolower(static_cast<unsigned char>(c));
}

} // namespace

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

bool less_ignoring_case::operator()(std::string_view a, std::string_view b) const
{
    return std::lexicographical_compare(a.begin(), a.end(), b.begin(), b.end(),
                                        [](char x, char y) { return lower(x) < lower(y); });
}

void header_fields::add(std::string name, std::string value)
{
    fields_.emplace_back(std::move(name), std::move(value));
}

std::size_t header_fields::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(fields_.begin(), fields_.end(),
                                                  [name](field const& each)
                                                  { return equal_ignoring_case(each.first, name); }));
}

std::string const& header_fields::value(std::string_view name) const
{
    static std::string const none;
    auto const found =
        std::find_if(fields_.begin(), fields_.end(),
                     [name](field const& each) { return equal_ignoring_case(each.first, name); });
    return found == fields_.end() ? none : found->second;
}

header_fields::token_set header_fields::tokens(std::string_view name) const
{
    token_set found;
    for (auto const& [field_name, list] : fields_)
    {
        if (!equal_ignoring_case(field_name, name))
        {
            continue;
        }
        std::size_t start = 0;
        while (start < list.size())
        {
            std::size_t const end = std::min(list.find(',', start), list.size());
            std::string_view item = std::string_view(list).substr(start, end - start);
            item.remove_prefix(std::min(item.find_first_not_of(" \t"), item.size()));
            item = item.substr(0, item.find_last_not_of(" \t") + 1);
            if (!item.empty())
            {
                found.emplace(item);
            }
            start = end + 1;
        }
    }
    return found;
}

bool operator==(header_fields const& a, header_fields const& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end());
}

} // namespace siskinusher
