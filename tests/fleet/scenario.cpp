#include "fleet/scenario.hpp"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <sstream>
#include <stdexcept>

namespace siskinusher::testing
{

namespace
{

/// The words of one statement: the positional words in order, and the key=value pairs.
struct statement
{
    unsigned line = 0;
    std::vector<std::string> words;
    std::map<std::string, std::string> options;

    std::string const& word(std::size_t i) const
    {
        if (i >= words.size())
        {
            throw std::invalid_argument("line " + std::to_string(line) + ": too few words");
        }
        return words[i];
    }

    std::string option(std::string const& key, std::string const& fallback) const
    {
        auto const found = options.find(key);
        return found == options.end() ? fallback : found->second;
    }

    unsigned number(std::string const& key, unsigned fallback) const
    {
        auto const found = options.find(key);
        return found == options.end() ? fallback : static_cast<unsigned>(std::stoul(found->second));
    }
};

statement parse_statement(unsigned line, std::string const& text)
{
    statement result;
    result.line = line;
    std::istringstream in(text.substr(0, text.find('#')));
    for (std::string token; in >> token;)
    {
        auto const equals = token.find('=');
        bool const pair = equals != std::string::npos && equals > 0 && std::isalpha(token[0]) != 0;
        if (pair)
        {
            result.options[token.substr(0, equals)] = token.substr(equals + 1);
        }
        else
        {
            result.words.push_back(token);
        }
    }
    return result;
}

duration parse_duration(std::string const& text)
{
    char* end = nullptr;
    double const value = std::strtod(text.c_str(), &end);
    std::string const unit = end;
    if (unit == "ms")
    {
        return duration{static_cast<duration::rep>(value * 1e3)};
    }
    if (unit == "s")
    {
        return duration{static_cast<duration::rep>(value * 1e6)};
    }
    if (unit == "min")
    {
        return duration{static_cast<duration::rep>(value * 6e7)};
    }
    throw std::invalid_argument("duration \"" + text + "\" has no unit ms, s or min");
}

std::vector<std::string> split(std::string const& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, separator);)
    {
        parts.push_back(part);
    }
    return parts;
}

bool compare(double value, std::string const& relation, double bound)
{
    if (relation == "<=")
    {
        return value <= bound;
    }
    if (relation == ">=")
    {
        return value >= bound;
    }
    if (relation == "==")
    {
        return value == bound;
    }
    throw std::invalid_argument("unknown relation \"" + relation + "\"; use <=, >= or ==");
}

class scenario_run
{
public:
    explicit scenario_run(std::uint64_t seed) : seed_(seed) {}

    scenario_result run(std::string const& text)
    {
        std::istringstream in(text);
        unsigned number = 0;
        for (std::string line; std::getline(in, line);)
        {
            statement const each = parse_statement(++number, line);
            if (!each.words.empty())
            {
                execute(each);
            }
        }
        for (std::string const& each : fleet().violations())
        {
            result_.failures.push_back("invariant: " + each);
        }
        result_.trace.assign(fleet().trace().begin(), fleet().trace().end());
        return result_;
    }

private:
    void execute(statement const& what)
    {
        std::string const& verb = what.word(0);
        if (verb == "fleet")
        {
            shape_from(what);
        }
        else if (verb == "model")
        {
            model_from(what);
        }
        else if (verb == "at")
        {
            steady_time const when = steady_time{seconds{1000}} + parse_duration(what.word(1));
            fleet().run_for(
                std::max(duration{0}, std::chrono::duration_cast<duration>(when - fleet().now())));
            act(what);
        }
        else
        {
            throw std::invalid_argument("line " + std::to_string(what.line) + ": unknown statement " + verb);
        }
    }

    void shape_from(statement const& what)
    {
        shape_.data_centres = split(what.option("data_centres", "north,south,west"), ',');
        shape_.instances_per_dc = what.number("instances", 3);
        shape_.engines_per_dc = what.number("engines", 4);
        shape_.places = what.number("places", 8);
        shape_.engine_memory = what.number("memory", 100);
        shape_.checks_epoch = what.option("epoch", "checked") == "checked";
        shape_.list_lag = parse_duration(what.option("list_lag", "2s"));
    }

    void model_from(statement const& what)
    {
        model_config model;
        model.name = what.word(1);
        model.checkpoint = model.name;
        model.bytes = what.number("bytes", 30);
        model.max_replicas = what.number("max", 1);
        model.min_replicas = what.number("min", 0);
        model.load_time_ms =
            static_cast<unsigned>(parse_duration(what.option("load", "2s")) / milliseconds{1});
        models_.push_back(model);
    }

    fake_fleet& fleet()
    {
        if (fleet_ == nullptr)
        {
            fleet_ = std::make_unique<fake_fleet>(shape_, base_config(models_), seed_);
        }
        return *fleet_;
    }

    /// Resolves "holder:DC" to the lease holder of a data centre and "other:DC" to another running instance
    /// of it; returns any other name as it is.
    std::string resolve_place(std::string const& text)
    {
        auto const colon = text.find(':');
        if (colon == std::string::npos)
        {
            return text;
        }
        std::string const dc = text.substr(colon + 1);
        std::string holder = fleet().holder(dc);
        if (text.substr(0, colon) == "holder")
        {
            if (holder.empty())
            {
                throw std::invalid_argument("data centre " + dc + " has no lease holder");
            }
            return holder;
        }
        for (std::string const& each : fleet().instances(dc))
        {
            if (each != holder && fleet().alive(each))
            {
                return each;
            }
        }
        throw std::invalid_argument("data centre " + dc +
                                    " has no running instance besides its lease holder");
    }

    void act(statement const& what)
    {
        using handler = void (scenario_run::*)(statement const&);
        static std::map<std::string, handler> const handlers{
            {"send", &scenario_run::send},
            {"burst", &scenario_run::burst},
            {"flood", &scenario_run::flood},
            {"cut", &scenario_run::cut},
            {"heal", &scenario_run::heal},
            {"pause", &scenario_run::pause},
            {"pause_in_order", &scenario_run::pause_in_order},
            {"kill", &scenario_run::kill},
            {"start", &scenario_run::start},
            {"replace", &scenario_run::replace},
            {"drain", &scenario_run::drain},
            {"crash", &scenario_run::crash},
            {"leave", &scenario_run::leave},
            {"silence", &scenario_run::silence},
            {"store", &scenario_run::store},
            {"lose", &scenario_run::lose},
            {"bound", &scenario_run::bound},
            {"poison", &scenario_run::poison},
            {"slow", &scenario_run::slow},
            {"expect", &scenario_run::expect},
            {"race", &scenario_run::race},
            {"kill_in_call", &scenario_run::kill_in_call},
            {"measure", &scenario_run::measure},
        };
        auto const found = handlers.find(what.word(2));
        if (found == handlers.end())
        {
            throw std::invalid_argument("line " + std::to_string(what.line) + ": unknown action " +
                                        what.word(2));
        }
        (this->*found->second)(what);
    }

    caller_request request_from(statement const& what)
    {
        caller_request request;
        if (what.word(3) == "ledger")
        {
            request.service = "ledger";
            request.key = what.option("key", "");
            if (!request.key.empty() && request.key.back() == '*')
            {
                request.key.back() = '-';
                request.key += std::to_string(++next_key_);
            }
            request.repeatable = what.option("repeatable", "no") == "yes";
        }
        else
        {
            request.model = what.word(3);
        }
        request.adapter = what.option("adapter", "");
        request.request_rank = parse_rank(what.option("rank", "standard")).value();
        request.time_to_deadline = parse_duration(what.option("deadline", "30s"));
        request.body = what.options.count("body") != 0 ? what.number("body", 0) : ++next_body_;
        request.tokens = what.number("tokens", 60);
        return request;
    }

    void send(statement const& what)
    {
        fleet().submit(resolve_place(what.option("to", fleet().instances().front())), request_from(what));
    }

    void burst(statement const& what)
    {
        std::vector<std::string> const targets = fleet().instances(what.option("dc", ""));
        unsigned const count = what.number("count", 20);
        for (unsigned i = 0; i < count; ++i)
        {
            fleet().submit(targets[i % targets.size()], request_from(what));
        }
    }

    void flood(statement const& what)
    {
        std::vector<std::string> const targets = fleet().instances(what.option("dc", ""));
        unsigned const rate = what.number("rate", 100);
        duration const length = parse_duration(what.option("for", "10s"));
        auto const total = static_cast<unsigned>(static_cast<double>(length.count()) / 1e6 * rate);
        for (unsigned i = 0; i < total; ++i)
        {
            caller_request const request = request_from(what);
            std::string const& target = targets[i % targets.size()];
            fleet().at(fleet().now() + length * i / total,
                       [this, target, request] { fleet().submit(target, request); });
        }
    }

    void cut(statement const& what) { fleet().cut(resolve_place(what.word(3)), resolve_place(what.word(4))); }
    void heal(statement const& /*what*/) { fleet().heal(); }
    void pause(statement const& what)
    {
        fleet().pause(resolve_place(what.word(3)), parse_duration(what.word(4)));
    }
    void pause_in_order(statement const& what)
    {
        fleet().pause_in_next_order(resolve_place(what.word(3)), parse_duration(what.word(4)));
    }
    void kill(statement const& what) { fleet().kill(resolve_place(what.word(3))); }
    void start(statement const& what) { fleet().start(what.word(3)); }
    void replace(statement const& what)
    {
        std::string const instance = resolve_place(what.word(3));
        fleet().kill(instance);
        fleet().start(instance);
    }
    void drain(statement const& what) { fleet().drain(resolve_place(what.word(3))); }
    void crash(statement const& what)
    {
        fleet().kill_engine(what.word(3), parse_duration(what.option("down", "5s")),
                            split(what.option("with", ""), ','));
    }
    void leave(statement const& what) { fleet().leave_engine(what.word(3)); }
    void silence(statement const& what)
    {
        fleet().set_silent(what.word(3), what.option("on", "yes") == "yes");
    }
    void poison(statement const& what) { fleet().crashing_bodies.insert(std::stoul(what.word(3))); }
    void slow(statement const& what) { fleet().store_slowdown = std::stod(what.word(3)); }

    void store(statement const& what)
    {
        if (what.word(3) == "lose")
        {
            fleet().store.lose_next_writes = static_cast<unsigned>(std::stoul(what.word(4)));
            return;
        }
        fleet().store.down = what.word(3) == "down";
    }

    void lose(statement const& what)
    {
        double const share = std::stod(what.word(4));
        if (what.word(3) == "orders")
        {
            fleet().lose_orders = share;
        }
        else if (what.word(3) == "messages")
        {
            fleet().lose_messages = share;
        }
        else
        {
            fleet().lose_answers = share;
        }
    }

    void bound(statement const& what)
    {
        fleet_config config = *fleet().config();
        config.models.at(what.word(3)).max_replicas = static_cast<unsigned>(std::stoul(what.word(4)));
        fleet().apply(config);
    }

    /// Two operators edit the same version of the configuration; the second write must be rejected.
    void race(statement const& what)
    {
        object_version const seen = fleet().config_version();
        fleet_config const edited = *fleet().config();
        fleet_config first = edited;
        first.models.at(what.word(3)).max_replicas = static_cast<unsigned>(std::stoul(what.word(4)));
        fleet_config second = edited;
        second.models.at(what.word(3)).max_replicas = static_cast<unsigned>(std::stoul(what.word(5)));
        check(what, fleet().apply(first, seen) ? 1.0 : 0.0, "==", 1.0);
        check(what, fleet().apply(second, seen) ? 1.0 : 0.0, "==", 0.0);
    }

    void kill_in_call(statement const& what)
    {
        fleet().kill_in_call(resolve_place(what.word(4)), what.word(3) == "sent");
    }

    /// Handles "measure recovery after T" and "measure in_force N after T": prints a figure and checks it
    /// against an optional most=T.
    void measure(statement const& what)
    {
        std::string const& subject = what.word(3);
        std::size_t const at = subject == "in_force" ? 6 : 5;
        steady_time const fault = steady_time{seconds{1000}} + parse_duration(what.word(at));
        std::optional<duration> found;
        if (subject == "in_force")
        {
            std::optional<steady_time> const reached = fleet().in_force_at(std::stoul(what.word(4)));
            found = reached ? std::make_optional(*reached - fault) : std::nullopt;
        }
        else if (subject == "recovery")
        {
            found = recovery_after(what, fault);
        }
        else
        {
            throw std::invalid_argument("line " + std::to_string(what.line) + ": cannot measure " + subject);
        }
        std::ostringstream text;
        text << "line " << what.line << ": " << subject << " ";
        double const shown = found ? static_cast<double>(found->count()) / 1e6 : -1.0;
        text << (found ? std::to_string(shown) + " s" : "never");
        text << " after " << what.word(at);
        result_.figures.push_back(text.str());
        double const most = static_cast<double>(parse_duration(what.option("most", "1000min")).count()) / 1e6;
        check(what, found ? shown : most + 1.0, "<=", most);
    }

    /// Returns the time from the fault to the last request, sent after the fault, that was refused, lost or
    /// late. A request to an instance that had ended before is left out, because its caller's connection is
    /// refused at once.
    duration recovery_after(statement const& what, steady_time fault) const
    {
        duration last{0};
        for (request_outcome const& each : fleet_->outcomes())
        {
            bool const unreachable = each.state == final_state::instance_lost && each.ended == steady_time{};
            if (each.sent < fault || unreachable || !selected(what, each))
            {
                continue;
            }
            steady_time const start = each.first_token.value_or(each.ended);
            bool const served =
                each.state == final_state::answered && start - each.sent <= each.request.time_to_deadline;
            last = served ? last : std::max(last, std::chrono::duration_cast<duration>(each.sent - fault));
        }
        return last;
    }

    static bool selected(statement const& what, request_outcome const& each)
    {
        steady_time const zero{seconds{1000}};
        return each.sent >= zero + parse_duration(what.option("since", "0s")) &&
               (what.options.count("until") == 0 ||
                each.sent < zero + parse_duration(what.option("until", ""))) &&
               (what.options.count("rank") == 0 ||
                each.request.request_rank == parse_rank(what.option("rank", ""))) &&
               (what.options.count("model") == 0 || each.request.model == what.option("model", "")) &&
               (what.options.count("key") == 0 || each.request.key == what.option("key", ""));
    }

    void expect(statement const& what)
    {
        std::string const& subject = what.word(3);
        std::size_t const at = subject == "holder" || subject == "generation" ? 4 : 0;
        if (subject == "holder")
        {
            check(what, fleet().holder(what.word(at)).empty() ? 0.0 : 1.0, "==", 1.0);
        }
        else if (subject == "generation")
        {
            for (std::string const& each : fleet().instances(what.option("dc", "")))
            {
                if (fleet().alive(each))
                {
                    check(what, static_cast<double>(fleet().status(each).config_generation),
                          "==", std::stod(what.word(at)));
                }
            }
        }
        else if (subject == "loaded")
        {
            check(what, fleet().loaded(what.word(4), what.option("dc", "")), what.word(5),
                  std::stod(what.word(6)));
        }
        else if (subject == "loads")
        {
            check(what, fleet().loads_ordered(), what.word(4), std::stod(what.word(5)));
        }
        else if (subject == "peak_loads")
        {
            check(what, fleet().peak_loads(), what.word(4), std::stod(what.word(5)));
        }
        else if (subject == "retries")
        {
            // The retry bucket of each instance starts full; these tokens are allowed in addition to the
            // share of first attempts.
            double const bucket = what.number("bucket", 0) * static_cast<double>(fleet().instances().size());
            double const retries = static_cast<double>(fleet().counter_sum("siskin_retries_total"));
            double const first_attempts = static_cast<double>(fleet().outcomes().size());
            std::ostringstream text;
            text << "line " << what.line << ": " << retries << " retries of " << first_attempts
                 << " requests";
            result_.figures.push_back(text.str());
            check(what, (retries - bucket) / std::max(first_attempts, 1.0), what.word(4),
                  std::stod(what.word(5)));
        }
        else if (subject == "crashes")
        {
            auto const found = fleet().crashes().find(std::stoul(what.word(4)));
            check(what, found == fleet().crashes().end() ? 0.0 : found->second, what.word(5),
                  std::stod(what.word(6)));
        }
        else
        {
            expect_share(what);
        }
    }

    /// Handles "expect answered|refused|open|in_time|executed RELATION BOUND" with the options rank, model,
    /// key, since, until and reason. The value is the share of the selected requests or, with as=count, their
    /// number.
    void expect_share(statement const& what)
    {
        double matching = 0;
        double total = 0;
        for (request_outcome const& each : fleet().outcomes())
        {
            if (!selected(what, each))
            {
                continue;
            }
            total += 1;
            matching += matches(what, each) ? 1.0 : 0.0;
        }
        bool const share = what.option("as", "share") == "share";
        check(what, share ? matching / std::max(total, 1.0) : matching, what.word(4),
              std::stod(what.word(5)));
    }

    static bool matches(statement const& what, request_outcome const& each)
    {
        std::string const& subject = what.word(3);
        if (subject == "answered")
        {
            return each.state == final_state::answered;
        }
        if (subject == "refused")
        {
            return each.state == final_state::refused &&
                   (what.options.count("reason") == 0 ||
                    to_string(each.why.reason) == what.option("reason", ""));
        }
        if (subject == "open")
        {
            return each.state == final_state::open;
        }
        if (subject == "in_time")
        {
            steady_time const start = each.first_token.value_or(each.ended);
            return each.state == final_state::answered && start - each.sent <= each.request.time_to_deadline;
        }
        if (subject == "executed")
        {
            return each.executions > 0;
        }
        throw std::invalid_argument("line " + std::to_string(what.line) + ": cannot expect " + subject);
    }

    void check(statement const& what, double value, std::string const& relation, double bound)
    {
        if (!compare(value, relation, bound))
        {
            std::ostringstream text;
            text << "line " << what.line << ": expected " << what.word(3) << " " << relation << " " << bound
                 << ", found " << value;
            result_.failures.push_back(text.str());
        }
    }

    std::uint64_t const seed_;
    fleet_shape shape_;
    std::vector<model_config> models_;
    std::unique_ptr<fake_fleet> fleet_;
    std::uint64_t next_body_ = 1000;
    std::uint64_t next_key_ = 0;
    scenario_result result_;
};

} // namespace

scenario_result run_scenario(std::string const& text, std::uint64_t seed)
{
    try
    {
        return scenario_run(seed).run(text);
    }
    catch (std::exception const& error)
    {
        scenario_result result;
        result.failures.emplace_back(error.what());
        return result;
    }
}

fleet_config base_config(std::vector<model_config> const& models)
{
    fleet_config config;
    for (model_config const& each : models)
    {
        config.models[each.name] = each;
    }
    for (int i = 1; i <= 9 && !models.empty(); ++i)
    {
        std::string const name = "a" + std::to_string(i);
        config.adapters[name] = {name, models.front().name, 1};
    }
    config.services["ledger"] = {"ledger", "ledger", {}, {"/stock"}};
    return config;
}

} // namespace siskinusher::testing
