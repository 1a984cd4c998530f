#include "decision/configuration_register.hpp"

#include "core/invariant.hpp"
#include "core/random_source.hpp"

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace siskinusher;

namespace
{

config_object object(std::uint64_t generation, std::string const& text = "")
{
    return {generation, text.empty() ? "text " + std::to_string(generation) : text};
}

/// Drives one configuration register with ticks of 50 ms. Answers parse_config at once and refuses the text
/// "bad".
class register_fixture
{
public:
    explicit register_fixture(std::vector<std::string> peers = {}, std::uint64_t seed = 1)
        : config_register({"self", std::move(peers)}, seed)
    {
    }

    void run_for(duration time)
    {
        for (steady_time const end = now + time; now < end; now += milliseconds{50})
        {
            config_register.on_tick(now, out);
            carry_out_actions();
        }
    }

    void reply(store_result result)
    {
        config_register.on_store_reply(
            now, {store_owner::configuration, last_tag, "config", std::move(result)}, out);
        carry_out_actions();
    }

    void from_peer(std::string const& name, peer_message const& message)
    {
        config_register.on_peer(now, {name, 1}, message, out);
        carry_out_actions();
    }

    void send_heartbeat(std::string const& name, std::uint64_t generation)
    {
        heartbeat message;
        message.config_generation = generation;
        from_peer(name, message);
    }

    std::uint64_t generation_in_force() const
    {
        return config_register.current() ? config_register.current()->generation : 0;
    }

    std::size_t logged(std::string const& name) const
    {
        auto const entry = logs.find(name);
        return entry == logs.end() ? 0 : entry->second;
    }

    configuration_register config_register;
    steady_time now{seconds{100}};
    outbox out;
    std::uint64_t last_tag = 0;
    bool answers_parses = true;
    std::vector<std::pair<steady_time, store_operation>> calls;
    std::vector<std::string> fetches;
    std::vector<config_object> sent;
    std::vector<config_object> parse_requests;
    std::map<std::string, std::size_t> logs;

private:
    void carry_out_actions()
    {
        while (!out.empty())
        {
            outbox const batch = std::move(out);
            out.clear();
            for (auto const& each : batch)
            {
                handle(each);
            }
        }
    }

    void handle(action const& each)
    {
        if (auto const* const call = std::get_if<store_request>(&each))
        {
            last_tag = call->tag;
            calls.emplace_back(now, call->operation);
        }
        else if (auto const* const message = std::get_if<send_peer>(&each))
        {
            if (auto const* const text = std::get_if<config_text>(&message->message))
            {
                sent.push_back(text->object);
            }
            else
            {
                fetches.push_back(message->to);
            }
        }
        else if (auto const* const parse = std::get_if<parse_config>(&each))
        {
            parse_requests.push_back(parse->object);
            if (answers_parses)
            {
                finish_parse(parse->object);
            }
        }
        else if (auto const* const line = std::get_if<log_event>(&each))
        {
            ++logs[line->name];
        }
    }

    void finish_parse(config_object const& text)
    {
        auto config = std::make_shared<fleet_config>();
        config->generation = text.generation;
        config_register.on_parsed(now, {text.text == "bad" ? nullptr : config, text}, out);
    }
};

} // namespace

// Guards against an instance that misses the text of the store or a later change of it.
Test(configuration_register, takes_the_text_of_the_store_and_watches_it)
{
    register_fixture f;
    f.run_for(milliseconds{50});
    cr_assert(std::holds_alternative<store_get>(f.calls.at(0).second));
    cr_assert_not(f.config_register.ready());
    f.reply(store_found{object(4), 9});
    cr_assert(f.generation_in_force() == 4 && f.config_register.ready());
    f.run_for(milliseconds{300});
    cr_assert_eq(f.calls.size(), 2);
    cr_assert_eq(std::get<store_watch>(f.calls.at(1).second).seen, 9);
    f.reply(store_found{object(5), 10});
    cr_assert_eq(f.generation_in_force(), 5);
}

// Guards against a configuration that reverts after a late watch event, a late message of a peer or a
// restored store.
Test(configuration_register, never_reverts)
{
    register_fixture f;
    f.run_for(milliseconds{50});
    f.reply(store_found{object(5), 10});
    f.run_for(milliseconds{300});
    f.reply(store_found{object(3), 4});
    cr_assert_eq(f.generation_in_force(), 5);
    f.from_peer("p", config_text{object(4)});
    cr_assert_eq(f.generation_in_force(), 5);
    cr_assert_eq(f.logged("config_older_ignored"), 2);
}

// Guards against an older parse that finishes after a newer one and replaces it.
Test(configuration_register, parse_results_out_of_order_do_not_revert)
{
    register_fixture f;
    f.answers_parses = false;
    f.run_for(milliseconds{50});
    f.reply(store_found{object(5), 10});
    f.from_peer("p", config_text{object(6)});
    auto six = std::make_shared<fleet_config>();
    six->generation = 6;
    auto five = std::make_shared<fleet_config>();
    five->generation = 5;
    f.config_register.on_parsed(f.now, {six, object(6)}, f.out);
    f.config_register.on_parsed(f.now, {five, object(5)}, f.out);
    cr_assert_eq(f.generation_in_force(), 6);
}

// Guards against two instances that run different texts under one generation without anyone noticing.
Test(configuration_register, reports_another_text_of_the_same_generation)
{
    register_fixture f;
    f.run_for(milliseconds{50});
    f.reply(store_found{object(5), 10});
    auto const before = invariant_violations();
    f.from_peer("p", config_text{object(5)});
    cr_assert_eq(invariant_violations(), before);
    f.from_peer("p", config_text{object(5, "other")});
    cr_assert_eq(invariant_violations(), before + 1);
    cr_assert_eq(f.logged("config_other_text_ignored"), 1);
    cr_assert_eq(f.generation_in_force(), 5);
}

// Guards against an accepted text that stays with one instance. The store goes down right after that instance
// has read it, so the others must get the text from it, within the 11 s of invariant I9.
Test(configuration_register, a_peer_spreads_an_accepted_text_while_the_store_is_down)
{
    register_fixture ahead;
    ahead.run_for(milliseconds{50});
    ahead.reply(store_found{object(8), 20});
    register_fixture behind({}, 2);
    behind.run_for(milliseconds{50});
    behind.reply(store_found{object(7), 19});
    behind.run_for(milliseconds{300});
    behind.reply(store_unavailable{});
    behind.send_heartbeat("ahead", 8);
    cr_assert(behind.fetches == std::vector<std::string>{"ahead"});
    ahead.from_peer("behind", config_fetch{7});
    behind.from_peer("ahead", config_text{ahead.sent.at(0)});
    cr_assert_eq(behind.generation_in_force(), 8);
}

// Guards against a fetch that is lost, and against several transfers of one text at the same time.
Test(configuration_register, a_lost_fetch_is_repeated_but_not_multiplied)
{
    register_fixture f;
    f.run_for(milliseconds{50});
    f.reply(store_found{object(1), 1});
    f.run_for(milliseconds{300});
    f.reply(store_unavailable{});
    for (int i = 0; i < 12; ++i)
    {
        f.send_heartbeat("p" + std::to_string(i), 2);
    }
    cr_assert_eq(f.fetches.size(), 1);
    f.run_for(milliseconds{1100});
    f.send_heartbeat("p2", 2);
    f.run_for(milliseconds{1100});
    cr_assert_geq(f.fetches.size(), 2);
}

// Guards against a text that is transferred twice because a heartbeat announces it before the watch returns.
Test(configuration_register, gives_the_watch_a_second_before_it_fetches)
{
    register_fixture f;
    f.run_for(milliseconds{50});
    f.reply(store_found{object(1), 1});
    f.run_for(milliseconds{300});
    f.send_heartbeat("p", 2);
    f.reply(store_found{object(2), 2});
    f.run_for(seconds{2});
    cr_assert(f.fetches.empty());
    f.send_heartbeat("p", 3);
    f.run_for(milliseconds{1100});
    cr_assert_eq(f.fetches.size(), 1);
}

// Guards against a new instance that starts during an outage of the store with an outdated configuration: it
// takes the highest generation of its peers. A silent peer delays it by 3 s.
Test(configuration_register, a_new_instance_in_an_outage_asks_all_peers)
{
    register_fixture f({"p1", "p2", "silent"});
    f.run_for(milliseconds{50});
    cr_assert_eq(f.fetches.size(), 3);
    f.reply(store_unavailable{});
    f.from_peer("p1", config_text{object(3)});
    f.from_peer("p2", config_text{object(4)});
    cr_assert_eq(f.generation_in_force(), 4);
    cr_assert_not(f.config_register.ready(), "the silent peer may know a higher generation");
    f.run_for(seconds{3} + milliseconds{50});
    cr_assert(f.config_register.ready());
}

// Guards against a start that waits for the full time-out although all sources have answered.
Test(configuration_register, a_peer_without_a_configuration_counts_as_asked)
{
    register_fixture f({"p1"});
    f.run_for(milliseconds{50});
    f.reply(store_found{object(1), 1});
    cr_assert_not(f.config_register.ready());
    f.from_peer("p1", config_text{});
    cr_assert(f.config_register.ready());
}

// Guards against an instance that is ready without a configuration, and against one that stops asking for it.
Test(configuration_register, stays_not_ready_while_nobody_has_a_configuration)
{
    register_fixture f({"p1"});
    f.run_for(milliseconds{50});
    f.reply(store_unavailable{});
    f.run_for(seconds{60});
    cr_assert_not(f.config_register.ready());
    cr_assert_geq(f.calls.size(), 2);
    cr_assert_geq(f.fetches.size(), 50);
    f.from_peer("p1", config_text{object(2)});
    cr_assert(f.config_register.ready());
}

// Guards against a text that cannot be parsed and still replaces the running configuration.
Test(configuration_register, a_refused_text_keeps_the_old_configuration)
{
    register_fixture f;
    f.run_for(milliseconds{50});
    f.reply(store_found{object(1), 1});
    f.run_for(milliseconds{300});
    f.reply(store_found{object(2, "bad"), 2});
    cr_assert_eq(f.generation_in_force(), 1);
    cr_assert_eq(f.logged("config_refused"), 1);
    f.from_peer("p", config_text{object(2, "bad")});
    f.send_heartbeat("p", 2);
    f.run_for(seconds{3});
    cr_assert(f.parse_requests.size() == 2 && f.fetches.empty(), "the same text is not parsed again");
    f.from_peer("p", config_text{object(3)});
    cr_assert_eq(f.generation_in_force(), 3);
}

// Guards against a parse action that was lost because the action queue was full.
Test(configuration_register, repeats_a_parse_without_outcome)
{
    register_fixture f;
    f.answers_parses = false;
    f.run_for(milliseconds{50});
    f.reply(store_found{object(1), 1});
    f.answers_parses = true;
    f.run_for(seconds{11});
    cr_assert_eq(f.generation_in_force(), 1);
}

// Guards against 360 instances that call the store at the same moment after an outage: their calls are spread
// over 5 s. Also guards against an instance that was cut off and misses the newer text afterwards.
Test(configuration_register, comes_back_after_an_outage_at_a_random_time)
{
    std::map<std::int64_t, int> slots;
    for (std::uint64_t seed = 0; seed < 60; ++seed)
    {
        register_fixture f({}, seed);
        f.run_for(milliseconds{50});
        f.reply(store_found{object(1), 7});
        f.run_for(milliseconds{300});
        std::size_t const calls = f.calls.size();
        f.reply(store_unavailable{});
        steady_time const down = f.now;
        f.run_for(milliseconds{5100});
        cr_assert_eq(f.calls.size(), calls + 1);
        cr_assert_eq(std::get<store_watch>(f.calls.back().second).seen, 7);
        ++slots[(f.calls.back().first - down) / seconds{1}];
        f.reply(store_found{object(2), 8});
        cr_assert_eq(f.generation_in_force(), 2);
    }
    cr_assert_geq(slots.size(), 5);
}

// Guards against a watch that waits for ever on a silent connection: it counts as lost and is started again.
Test(configuration_register, replaces_a_watch_that_never_answers)
{
    register_fixture f;
    f.run_for(milliseconds{50});
    f.reply(store_found{object(1), 1});
    f.run_for(seconds{12});
    cr_assert_eq(f.calls.size(), 3);
    // A late answer to a call that counts as lost still carries an accepted text.
    f.config_register.on_store_reply(
        f.now, {store_owner::configuration, 2, "config", store_found{object(2), 2}}, f.out);
    cr_assert(std::holds_alternative<parse_config>(f.out.at(0)));
}

// Guards against too many reads when the store answers each watch at once: they stay under 5 a second.
Test(configuration_register, bounds_its_reads)
{
    register_fixture f;
    f.run_for(milliseconds{50});
    f.reply(store_found{object(1), 1});
    for (int i = 0; i < 200; ++i)
    {
        f.run_for(milliseconds{50});
        f.reply(store_unchanged{});
    }
    cr_assert_leq(f.calls.size(), 52);
}

// Guards against a sequence of events that lowers the generation in force or misses the highest one offered.
Test(configuration_register, random_events_never_lower_the_generation)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        random_source random(seed);
        register_fixture f({"p0", "p1"}, seed);
        std::uint64_t highest = 0;
        std::uint64_t offered = 0;
        for (int step = 0; step < 200; ++step)
        {
            std::uint64_t const generation = 1 + random.below(20);
            switch (random.below(5))
            {
            case 0:
                f.run_for(milliseconds{50 * (1 + random.below(40))});
                break;
            case 1:
                offered = std::max(offered, generation);
                f.reply(store_found{object(generation), generation});
                break;
            case 2:
                f.reply(random.below(2) == 0 ? store_result{store_unavailable{}} : store_unchanged{});
                break;
            case 3:
                f.send_heartbeat("p0", generation);
                break;
            default:
                offered = std::max(offered, generation);
                f.from_peer("p1", config_text{object(generation)});
            }
            cr_assert_geq(f.generation_in_force(), highest);
            highest = f.generation_in_force();
        }
        cr_assert_eq(highest, offered);
    }
}
