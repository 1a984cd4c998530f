#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinusher
{

/// Compares header names and tokens without regard to case.
bool equal_ignoring_case(std::string_view a, std::string_view b);

/// Orders header names and tokens without regard to case.
struct less_ignoring_case
{
    using is_transparent = void;
    bool operator()(std::string_view a, std::string_view b) const;
};

/// The header fields of an HTTP message, in the order and with the bytes in which they were received. Only
/// the white space around a value is not part of it.
class header_fields
{
public:
    using field = std::pair<std::string, std::string>; ///< Name and value.
    using const_iterator = std::vector<field>::const_iterator;
    using token_set = std::set<std::string, less_ignoring_case>;

    void add(std::string name, std::string value);

    bool has(std::string_view name) const { return count(name) > 0; }
    std::size_t count(std::string_view name) const;
    /// Value of the first field with this name; empty when there is none.
    std::string const& value(std::string_view name) const;
    /// The elements of a field whose value is a comma-separated list, for example Connection. The list may be
    /// spread over several fields.
    token_set tokens(std::string_view name) const;

    const_iterator begin() const { return fields_.begin(); }
    const_iterator end() const { return fields_.end(); }

private:
    std::vector<field> fields_;
};

bool operator==(header_fields const& a, header_fields const& b);

} // namespace siskinusher
