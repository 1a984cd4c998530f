#include "domain/crash_mark.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdio>
#include <string_view>
#include <tuple>

namespace siskinusher
{

namespace
{

constexpr std::size_t max_plain_name_length = 32;

std::string hex_text(std::uint64_t value)
{
    std::array<char, 20> text{};
    (void)std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

std::string hex_hash(std::string_view bytes)
{
    return hex_text(stable_hash(bytes));
}

bool is_plain(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

} // namespace

bool operator==(crash_mark const& a, crash_mark const& b)
{
    return std::tie(a.suspect, a.position, a.engine, a.engine_started_at) ==
           std::tie(b.suspect, b.position, b.engine, b.engine_started_at);
}

std::string id_of(crash_mark const& crash)
{
    return hex_hash(crash.suspect) + "-" +
           hex_hash(crash.engine + "/" + std::to_string(crash.engine_started_at));
}

std::vector<std::string> part_names(std::vector<prompt_part> const& prompt)
{
    std::vector<std::string> names = shared_part_ids(prompt);
    for (std::string& name : names)
    {
        bool const plain = !name.empty() && name.size() <= max_plain_name_length &&
                           std::all_of(name.begin(), name.end(), is_plain);
        name = plain ? name : "hash-" + hex_hash(name);
    }
    return names;
}

std::string request_name(std::string_view identity, std::string_view body)
{
    return "request-" + hex_text(stable_hash(body, stable_hash(identity)));
}

} // namespace siskinusher
