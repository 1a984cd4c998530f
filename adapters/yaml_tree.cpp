#include "adapters/yaml_tree.hpp"

#include <Poco/Net/IPAddress.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace siskinusher
{

char const* const accepted_name =
    "1 to 64 letters, digits, '.', '_' and '-', starting with a letter or digit";
char const* const accepted_address = "IP number and port from 1 to 65535, for example 127.0.0.1:18001";

namespace
{

constexpr char const* accepted_size = "an integer with unit B, KiB, MiB, GiB or TiB, from 1B to 64TiB";
constexpr std::uint64_t max_size = std::uint64_t{64} << 40U;

/// Ends the parser from within one of its callbacks; caught in parse_yaml.
struct document_rejected : std::runtime_error
{
    document_rejected(int at, std::string const& what) : std::runtime_error(what), line(at) {}
    int line;
};

/// Builds the tree from the parser's events, so that the limits are checked before memory is allocated.
class tree_builder : public YAML::EventHandler
{
public:
    std::shared_ptr<yaml_node const> root() const { return root_; }

    void OnDocumentStart(YAML::Mark const& /*mark*/) override {}
    void OnDocumentEnd() override {}

    void OnNull(YAML::Mark const& mark, YAML::anchor_t anchor) override
    {
        finish_node(std::make_shared<yaml_node>(make(mark, yaml_kind::null)), anchor, mark);
    }

    void OnScalar(YAML::Mark const& mark, std::string const& /*tag*/, YAML::anchor_t anchor,
                  std::string const& value) override
    {
        auto node = std::make_shared<yaml_node>(make(mark, yaml_kind::scalar));
        node->scalar = value;
        finish_node(node, anchor, mark);
    }

    void OnAlias(YAML::Mark const& mark, YAML::anchor_t anchor) override
    {
        if (++aliases_ > max_yaml_aliases)
        {
            throw document_rejected(mark.line + 1,
                                    "more than " + std::to_string(max_yaml_aliases) + " aliases");
        }
        auto const target = anchors_.find(anchor);
        if (target == anchors_.end())
        {
            throw document_rejected(mark.line + 1, "an alias refers to a value that contains it");
        }
        count(target->second->expanded, mark);
        attach(target->second, mark);
    }

    void OnSequenceStart(YAML::Mark const& mark, std::string const& /*tag*/, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value /*style*/) override
    {
        open(mark, yaml_kind::sequence, anchor);
    }
    void OnSequenceEnd() override { close(); }

    void OnMapStart(YAML::Mark const& mark, std::string const& /*tag*/, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value /*style*/) override
    {
        open(mark, yaml_kind::map, anchor);
    }
    void OnMapEnd() override { close(); }

private:
    struct frame
    {
        std::shared_ptr<yaml_node> node;
        YAML::anchor_t anchor = 0;
        YAML::Mark mark;
        std::optional<std::pair<std::string, int>> key;
    };

    yaml_node make(YAML::Mark const& mark, yaml_kind kind)
    {
        count(1, mark);
        yaml_node node;
        node.kind = kind;
        node.line = mark.line + 1;
        return node;
    }

    void count(std::size_t nodes, YAML::Mark const& mark)
    {
        total_ += nodes;
        if (total_ > max_yaml_nodes)
        {
            throw document_rejected(mark.line + 1, "more than " + std::to_string(max_yaml_nodes) +
                                                       " values with aliases expanded");
        }
    }

    void open(YAML::Mark const& mark, yaml_kind kind, YAML::anchor_t anchor)
    {
        if (frames_.size() >= max_yaml_depth)
        {
            throw document_rejected(mark.line + 1,
                                    "nested deeper than " + std::to_string(max_yaml_depth) + " levels");
        }
        frames_.push_back({std::make_shared<yaml_node>(make(mark, kind)), anchor, mark, std::nullopt});
    }

    void close()
    {
        frame const done = std::move(frames_.back());
        frames_.pop_back();
        finish_node(done.node, done.anchor, done.mark);
    }

    void finish_node(std::shared_ptr<yaml_node const> const& node, YAML::anchor_t anchor,
                     YAML::Mark const& mark)
    {
        if (anchor != YAML::NullAnchor)
        {
            anchors_[anchor] = node;
        }
        attach(node, mark);
    }

    void attach(std::shared_ptr<yaml_node const> const& node, YAML::Mark const& mark)
    {
        if (frames_.empty())
        {
            root_ = node;
            return;
        }
        frame& parent = frames_.back();
        parent.node->expanded += node->expanded;
        if (parent.node->kind == yaml_kind::sequence)
        {
            parent.node->items.push_back(node);
            return;
        }
        if (parent.key)
        {
            parent.node->entries.push_back({std::move(parent.key->first), parent.key->second, node});
            parent.key.reset();
            return;
        }
        if (node->kind != yaml_kind::scalar)
        {
            throw document_rejected(mark.line + 1, "the name of a setting must be a plain word");
        }
        parent.key.emplace(node->scalar, mark.line + 1);
    }

    std::shared_ptr<yaml_node const> root_;
    std::vector<frame> frames_;
    std::map<YAML::anchor_t, std::shared_ptr<yaml_node const>> anchors_;
    std::size_t aliases_ = 0;
    std::size_t total_ = 0;
};

std::string join(std::vector<std::string> const& words)
{
    std::string text;
    for (auto const& word : words)
    {
        text += text.empty() ? word : ", " + word;
    }
    return text;
}

bool is_alphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

template <typename T>
std::optional<T> parse_integer(std::string_view text)
{
    T value{};
    auto const end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, value);
    return error == std::errc{} && stop == end && !text.empty() ? std::optional<T>{value} : std::nullopt;
}

std::optional<double> parse_number(std::string const& text)
{
    double value = 0;
    auto const end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    return error == std::errc{} && stop == end && std::isfinite(value) ? std::optional<double>{value}
                                                                       : std::nullopt;
}

std::optional<std::uint64_t> parse_size(std::string_view text)
{
    static constexpr std::array<std::pair<std::string_view, unsigned>, 5> units{
        {{"KiB", 10}, {"MiB", 20}, {"GiB", 30}, {"TiB", 40}, {"B", 0}}};
    for (auto const& [suffix, shift] : units)
    {
        if (text.size() <= suffix.size() || text.substr(text.size() - suffix.size()) != suffix)
        {
            continue;
        }
        auto const count = parse_integer<std::uint64_t>(text.substr(0, text.size() - suffix.size()));
        if (!count || *count == 0 || *count > (max_size >> shift))
        {
            return std::nullopt;
        }
        return *count << shift;
    }
    return std::nullopt;
}

std::string format_number(double value)
{
    constexpr int exact_digits = 15; // Writes 1000000 and not 1e+06.
    std::ostringstream out;
    out.precision(exact_digits);
    out << value;
    return out.str();
}

/// Length of the UTF-8 sequence at `at`; zero when it is not valid or is a control character.
std::size_t sequence_length(std::string const& text, std::size_t at)
{
    auto const byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    unsigned const lead = byte(at);
    if (lead < 0x80)
    {
        bool const allowed = lead >= ' ' ? lead != 0x7F : lead == '\t' || lead == '\n' || lead == '\r';
        return allowed ? 1 : 0;
    }
    std::size_t const length = lead >= 0xF0 ? 4 : lead >= 0xE0 ? 3 : 2;
    if (lead < 0xC2 || lead > 0xF4 || at + length > text.size())
    {
        return 0;
    }
    for (std::size_t i = 1; i < length; ++i)
    {
        if ((byte(at + i) & 0xC0U) != 0x80U)
        {
            return 0;
        }
    }
    // The second byte excludes overlong forms, surrogates and values above U+10FFFF.
    unsigned const second = byte(at + 1);
    bool const valid = !(lead == 0xE0 && second < 0xA0) && !(lead == 0xED && second > 0x9F) &&
                       !(lead == 0xF0 && second < 0x90) && !(lead == 0xF4 && second > 0x8F);
    return valid ? length : 0;
}

/// The line of the first byte that is not acceptable text; zero when there is none.
int first_bad_line(std::string const& text)
{
    int line = 1;
    for (std::size_t at = 0; at < text.size();)
    {
        std::size_t const length = sequence_length(text, at);
        if (length == 0)
        {
            return line;
        }
        line += text[at] == '\n' ? 1 : 0;
        at += length;
    }
    return 0;
}

} // namespace

read_result<std::shared_ptr<yaml_node const>> parse_yaml(std::string const& text, std::string const& file)
{
    if (text.size() > max_yaml_bytes)
    {
        return read_errors{{file, 0,
                            "the text has " + std::to_string(text.size()) + " bytes; accepted: at most " +
                                std::to_string(max_yaml_bytes)}};
    }
    if (int const line = first_bad_line(text); line > 0)
    {
        return read_errors{
            {file, line, "not UTF-8 text, or a control character other than tab and line end"}};
    }
    try
    {
        std::istringstream in(text);
        YAML::Parser parser(in);
        tree_builder builder;
        parser.HandleNextDocument(builder);
        auto const root = builder.root();
        if (!root)
        {
            return read_errors{{file, 1, "the text is empty"}};
        }
        tree_builder second;
        if (parser.HandleNextDocument(second))
        {
            int const line = second.root() ? second.root()->line : 1;
            return read_errors{{file, line, "a second document follows; accepted: one"}};
        }
        return root;
    }
    catch (document_rejected const& e)
    {
        return read_errors{{file, e.line, e.what()}};
    }
    catch (YAML::Exception const& e)
    {
        return read_errors{{file, e.mark.is_null() ? 0 : e.mark.line + 1, "not valid YAML: " + e.msg}};
    }
    catch (std::exception const& e)
    {
        return read_errors{{file, 0, std::string("cannot be parsed: ") + e.what()}};
    }
}

void read_error_list::add(int line, std::string message)
{
    if (errors_.size() >= max_read_errors)
    {
        ++omitted_;
        return;
    }
    errors_.push_back({file_, line, std::move(message)});
}

read_errors read_error_list::take()
{
    std::stable_sort(errors_.begin(), errors_.end(),
                     [](read_error const& a, read_error const& b) { return a.line < b.line; });
    if (omitted_ > 0)
    {
        errors_.push_back({file_, 0, std::to_string(omitted_) + " further errors are not shown"});
        omitted_ = 0;
    }
    return std::move(errors_);
}

std::string quote(std::string_view text)
{
    constexpr std::size_t longest = 40;
    std::string result = "'";
    for (char const c : text.substr(0, longest))
    {
        result += c >= ' ' && c <= '~' ? c : '?';
    }
    return result + (text.size() > longest ? "...'" : "'");
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= 64 && is_alphanumeric(text.front()) &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return is_alphanumeric(c) || c == '.' || c == '_' || c == '-'; });
}

bool is_secret(std::string const& text)
{
    return text.size() >= 32 && text.size() <= 256 &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

bool is_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return false;
    }
    std::string host = text.substr(0, colon);
    bool const bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
    {
        host = host.substr(1, host.size() - 2);
    }
    auto const port = parse_integer<std::uint32_t>(std::string_view(text).substr(colon + 1));
    Poco::Net::IPAddress parsed;
    return port && *port >= 1 && *port <= 65535 && Poco::Net::IPAddress::tryParse(host, parsed) &&
           bracketed == (parsed.family() == Poco::Net::IPAddress::IPv6);
}

yaml_map::yaml_map(yaml_node const* node, std::string path, read_error_list& errors)
    : path_(std::move(path)), errors_(errors)
{
    if (node == nullptr)
    {
        return;
    }
    line_ = node->line;
    if (node->kind != yaml_kind::map)
    {
        errors_.add(line_,
                    (path_.empty() ? std::string("the text") : quote(path_)) + " must be a map of settings");
        return;
    }
    valid_ = true;
    for (auto const& entry : node->entries)
    {
        auto const [first, inserted] = entries_.emplace(entry.key, &entry);
        if (!inserted)
        {
            errors_.add(entry.line, "duplicate setting " + quote(full(entry.key)) + "; first on line " +
                                        std::to_string(first->second->line));
        }
    }
}

std::string yaml_map::full(std::string const& name) const
{
    return path_.empty() ? name : path_ + "." + name;
}

int yaml_map::line_of(std::string const& name) const
{
    auto const entry = entries_.find(name);
    return entry == entries_.end() ? line_ : entry->second->line;
}

yaml_node const* yaml_map::find(std::string const& name)
{
    if (std::find(known_.begin(), known_.end(), name) == known_.end())
    {
        known_.push_back(name);
    }
    auto const entry = entries_.find(name);
    return entry == entries_.end() ? nullptr : entry->second->value.get();
}

yaml_node const* yaml_map::require(std::string const& name, std::string const& accepted)
{
    auto const* const node = find(name);
    if (node == nullptr && valid_)
    {
        errors_.add(line_, "missing setting " + quote(full(name)) + "; accepted: " + accepted);
    }
    return node;
}

void yaml_map::report_wrong_value(std::string const& name, std::string const& value,
                                  std::string const& accepted)
{
    errors_.add(line_of(name),
                "wrong value " + value + " for " + quote(full(name)) + "; accepted: " + accepted);
}

std::string const* yaml_map::scalar(std::string const& name, std::string const& accepted, bool required)
{
    auto const* const node = required ? require(name, accepted) : find(name);
    if (node == nullptr)
    {
        return nullptr;
    }
    if (node->kind != yaml_kind::scalar)
    {
        report_wrong_value(name, "that is empty, a list or a map", accepted);
        return nullptr;
    }
    return &node->scalar;
}

std::uint64_t yaml_map::integer(std::string const& name, std::uint64_t low, std::uint64_t high,
                                std::optional<std::uint64_t> fallback)
{
    std::string const accepted = "an integer from " + std::to_string(low) + " to " + std::to_string(high);
    auto const* const text = scalar(name, accepted, !fallback);
    if (text == nullptr)
    {
        return fallback.value_or(low);
    }
    auto const value = parse_integer<std::uint64_t>(*text);
    if (!value || *value < low || *value > high)
    {
        report_wrong_value(name, quote(*text), accepted);
        return low;
    }
    return *value;
}

double yaml_map::number(std::string const& name, double low, double high, std::optional<double> fallback)
{
    std::string const accepted = "a number from " + format_number(low) + " to " + format_number(high);
    auto const* const text = scalar(name, accepted, !fallback);
    if (text == nullptr)
    {
        return fallback.value_or(low);
    }
    auto const value = parse_number(*text);
    if (!value || *value < low || *value > high)
    {
        report_wrong_value(name, quote(*text), accepted);
        return low;
    }
    return *value;
}

std::uint64_t yaml_map::size(std::string const& name)
{
    auto const* const text = scalar(name, accepted_size, true);
    if (text == nullptr)
    {
        return 0;
    }
    auto const value = parse_size(*text);
    if (!value)
    {
        report_wrong_value(name, quote(*text), accepted_size);
    }
    return value.value_or(0);
}

std::string yaml_map::name(std::string const& name)
{
    auto const* const text = scalar(name, accepted_name, true);
    if (text == nullptr)
    {
        return {};
    }
    if (!is_name(*text))
    {
        report_wrong_value(name, quote(*text), accepted_name);
        return {};
    }
    return *text;
}

std::string yaml_map::address(std::string const& name)
{
    auto const* const text = scalar(name, accepted_address, true);
    if (text == nullptr)
    {
        return {};
    }
    if (!is_address(*text))
    {
        report_wrong_value(name, quote(*text), accepted_address);
        return {};
    }
    return *text;
}

std::string yaml_map::secret(std::string const& name)
{
    static constexpr char const* accepted = "32 to 256 printable characters without spaces";
    auto const* const text = scalar(name, accepted, true);
    if (text == nullptr)
    {
        return {};
    }
    if (!is_secret(*text))
    {
        report_wrong_value(name, "(not shown)", accepted);
        return {};
    }
    return *text;
}

std::string yaml_map::one_of(std::string const& name, std::vector<std::string> const& accepted,
                             std::string const& fallback)
{
    auto const* const text = scalar(name, join(accepted), false);
    if (text == nullptr)
    {
        return fallback;
    }
    if (std::find(accepted.begin(), accepted.end(), *text) == accepted.end())
    {
        report_wrong_value(name, quote(*text), join(accepted));
        return fallback;
    }
    return *text;
}

std::vector<yaml_node const*> yaml_map::list(std::string const& name)
{
    std::vector<yaml_node const*> result;
    auto const* const node = find(name);
    if (node == nullptr)
    {
        return result;
    }
    if (node->kind != yaml_kind::sequence)
    {
        report_wrong_value(name, "that is not a list", "a list; [] for none");
        return result;
    }
    for (auto const& item : node->items)
    {
        result.push_back(item.get());
    }
    return result;
}

std::vector<std::pair<std::string, int>> yaml_map::names(std::string const& name)
{
    std::vector<std::pair<std::string, int>> result;
    std::map<std::string, int> first;
    for (auto const* const item : list(name))
    {
        if (item->kind != yaml_kind::scalar || !is_name(item->scalar))
        {
            errors_.add(item->line, "wrong element " + quote(item->scalar) + " in " + quote(full(name)) +
                                        "; accepted: " + accepted_name);
            continue;
        }
        if (!first.emplace(item->scalar, item->line).second)
        {
            errors_.add(item->line, "duplicate element " + quote(item->scalar) + " in " + quote(full(name)));
            continue;
        }
        result.emplace_back(item->scalar, item->line);
    }
    return result;
}

void yaml_map::finish()
{
    for (auto const& [key, entry] : entries_)
    {
        if (std::find(known_.begin(), known_.end(), key) == known_.end())
        {
            errors_.add(entry->line, "unknown setting " + quote(full(key)) + "; accepted: " + join(known_));
        }
    }
}

} // namespace siskinusher
