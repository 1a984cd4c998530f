#pragma once

#include "adapters/read_result.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinusher
{

/// Largest text in bytes. The object store holds values up to 1 MB.
constexpr std::size_t max_yaml_bytes = 1000000;
/// Deepest nesting; the settings and configuration texts need 4.
constexpr std::size_t max_yaml_depth = 16;
constexpr std::size_t max_yaml_aliases = 100;
/// Nodes counted with every alias expanded; 150 models and 10,000 adapters need about 75,000.
constexpr std::size_t max_yaml_nodes = 200000;
/// Faults reported for one text; further ones are only counted.
constexpr std::size_t max_read_errors = 100;

enum class yaml_kind
{
    null,
    scalar,
    sequence,
    map,
};

struct yaml_entry;

/// A parsed YAML value with its line. Immutable once parsed; aliases share their target.
struct yaml_node
{
    yaml_kind kind{yaml_kind::null};
    int line = 0;
    std::string scalar;
    std::vector<std::shared_ptr<yaml_node const>> items;
    std::vector<yaml_entry> entries;
    std::size_t expanded = 1; ///< Nodes below and including this one, with aliases expanded.
};

struct yaml_entry
{
    std::string key;
    int line = 0;
    std::shared_ptr<yaml_node const> value;
};

/// Parses one YAML document within the bounds above. The text must be UTF-8 without control characters
/// other than tab and line ends, since it is stored as a JSON string. Never throws.
read_result<std::shared_ptr<yaml_node const>> parse_yaml(std::string const& text, std::string const& file);

/// Collects faults up to max_read_errors.
class read_error_list
{
public:
    explicit read_error_list(std::string file) : file_(std::move(file)) {}

    void add(int line, std::string message);
    bool empty() const { return errors_.empty(); }
    /// All faults in the order of their lines, followed by the number of those that were only counted.
    read_errors take();

private:
    std::string file_;
    read_errors errors_;
    std::size_t omitted_ = 0;
};

/// Prepares external text for a message: quoted, printable characters only, at most 40 of them.
std::string quote(std::string_view text);

/// Reads the settings of one YAML map. Reports duplicate settings at construction and unknown ones in
/// finish(). A function that reads a missing or wrong setting reports it and returns a valid or empty value.
class yaml_map
{
public:
    /// `path` names the map in messages, for example "models[3]"; empty for the whole text.
    yaml_map(yaml_node const* node, std::string path, read_error_list& errors);

    int line() const { return line_; }
    /// Line of a setting, or of the map when the setting is absent.
    int line_of(std::string const& name) const;
    /// The value; null when absent. Marks the setting as known.
    yaml_node const* find(std::string const& name);
    /// The value; reports its absence together with what is accepted.
    yaml_node const* require(std::string const& name, std::string const& accepted);

    std::uint64_t integer(std::string const& name, std::uint64_t low, std::uint64_t high,
                          std::optional<std::uint64_t> fallback = std::nullopt);
    double number(std::string const& name, double low, double high,
                  std::optional<double> fallback = std::nullopt);
    /// Integer with one of the units B, KiB, MiB, GiB, TiB; 1B to 64TiB.
    std::uint64_t size(std::string const& name);
    /// 1 to 64 letters, digits, dots, underscores and hyphens, starting with a letter or digit.
    std::string name(std::string const& name);
    /// IP number and port, for example 127.0.0.1:18001 or [::1]:18001.
    std::string address(std::string const& name);
    /// A secret of at least 32 characters; its value never appears in a message.
    std::string secret(std::string const& name);
    std::string one_of(std::string const& name, std::vector<std::string> const& accepted,
                       std::string const& fallback);
    /// Names with their lines; empty when absent.
    std::vector<std::pair<std::string, int>> names(std::string const& name);
    /// The elements of a list; empty when absent.
    std::vector<yaml_node const*> list(std::string const& name);

    /// Reports every setting that was never looked up, together with the accepted ones.
    void finish();

    /// The setting's name with the path of its map.
    std::string full(std::string const& name) const;
    read_error_list& errors() { return errors_; }

private:
    std::string const* scalar(std::string const& name, std::string const& accepted, bool required);
    void report_wrong_value(std::string const& name, std::string const& value, std::string const& accepted);

    std::string path_;
    int line_ = 1;
    bool valid_ = false;
    std::map<std::string, yaml_entry const*> entries_;
    std::vector<std::string> known_;
    read_error_list& errors_;
};

/// True for names as yaml_map::name accepts them.
bool is_name(std::string_view text);
/// True for addresses as yaml_map::address accepts them.
bool is_address(std::string const& text);
/// True for secrets as yaml_map::secret accepts them.
bool is_secret(std::string const& text);
extern char const* const accepted_name;
extern char const* const accepted_address;

} // namespace siskinusher
