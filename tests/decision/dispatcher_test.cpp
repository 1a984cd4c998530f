#include "decision/dispatcher.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace siskinusher;

namespace
{

steady_time at(std::int64_t ms)
{
    return steady_time(milliseconds{ms});
}

backend_entry server(std::string const& name, std::string const& data_centre, unsigned places = 4)
{
    backend_entry entry;
    entry.name = name;
    entry.service = "s";
    entry.address = name + ":1";
    entry.data_centre = data_centre;
    entry.places = places;
    return entry;
}

backend_entry engine(std::string const& name, std::string const& model)
{
    backend_entry entry = server(name, "here", 64);
    entry.is_engine = true;
    if (!model.empty())
    {
        entry.models.push_back({model, {}});
    }
    return entry;
}

dispatch_request request(request_number number, std::string const& model = "", unsigned priority = 1)
{
    dispatch_request made;
    made.number = number;
    made.service = "s";
    made.model = model;
    made.priority = priority;
    made.deadline = at(100000);
    made.max_wait = seconds{1};
    return made;
}

dispatcher_settings settings()
{
    return {"here", {{"here", "r1"}, {"near", "r1"}, {"far", "r2"}}};
}

std::string assigned(std::vector<dispatch_step> const& steps, request_number number)
{
    for (dispatch_step const& step : steps)
    {
        auto const* const each = std::get_if<assign_request>(&step);
        if (each != nullptr && each->number == number)
        {
            return each->target.backend;
        }
    }
    return "";
}

refusal const* rejected(std::vector<dispatch_step> const& steps, request_number number)
{
    for (dispatch_step const& step : steps)
    {
        auto const* const each = std::get_if<reject_request>(&step);
        if (each != nullptr && each->number == number)
        {
            return &each->answer;
        }
    }
    return nullptr;
}

} // namespace

// Guards against sending a request again to the server that works on it.
Test(dispatcher, running_request_goes_to_another_server)
{
    dispatcher requests(settings());
    requests.on_backend(server("slow", "here", 4));
    dispatch_request moving = request(1);
    moving.running_at = "slow";
    requests.submit(at(0), moving);
    cr_assert(requests.step(at(0)).empty());
    requests.on_backend(server("other", "far", 1));
    cr_assert_eq(assigned(requests.step(at(1)), 1), "other");
}

// Guards against new requests for a server that has just kept another one waiting, and against refusing them
// when there is no other server.
Test(dispatcher, silent_server_is_used_only_without_another_one)
{
    dispatcher requests(settings());
    requests.on_backend(server("a", "here"));
    for (int i = 0; i < 4; ++i)
    {
        requests.on_silence(at(0), "a");
    }
    requests.submit(at(1), request(1));
    cr_assert_eq(assigned(requests.step(at(1)), 1), "a");
    requests.on_backend(server("b", "far"));
    requests.submit(at(2), request(2));
    cr_assert_eq(assigned(requests.step(at(2)), 2), "b");
}

// Guards against a stop of the instance ending the wait of an answer that has begun.
Test(dispatcher, stop_shortens_only_the_wait_of_requests_that_may_be_refused)
{
    dispatcher requests(settings());
    dispatch_request begun = request(1);
    begun.may_be_refused = false;
    requests.submit(at(0), begun);
    requests.submit(at(0), request(2));
    requests.refuse_waiting_by(at(100));
    begun.number = 3;
    requests.submit(at(150), begun);
    std::vector<dispatch_step> const steps = requests.step(at(200));
    cr_assert(rejected(steps, 2) != nullptr);
    cr_assert(rejected(steps, 1) == nullptr && rejected(steps, 3) == nullptr);
}

// Guards against less urgent requests taking the places in a burst that exceeds all places: the more urgent
// ones go first, whatever the order of arrival.
Test(dispatcher, urgent_requests_of_a_burst_go_first)
{
    dispatcher requests(settings());
    requests.on_backend(server("a", "here", 1));
    for (request_number n = 1; n <= 40; ++n)
    {
        requests.submit(at(1), request(n, "", n % 2 == 0 ? 0 : 2));
    }
    unsigned urgent = 0;
    unsigned other = 0;
    for (dispatch_step const& step : requests.step(at(1)))
    {
        (std::get<assign_request>(step).number % 2 == 0 ? urgent : other) += 1;
    }
    cr_assert(urgent >= 1);
    cr_assert_eq(other, 0);
}

// Guards against many instances that each send few requests and all choose the nearest engine, because none
// of them alone sees that it is full.
Test(dispatcher, load_of_other_instances_counts)
{
    dispatcher requests(settings());
    requests.on_backend(engine("near", "m"));
    backend_entry distant = engine("other", "m");
    distant.data_centre = "far";
    requests.on_backend(distant);
    requests.submit(at(0), request(1, "m"));
    cr_assert_eq(assigned(requests.step(at(0)), 1), "near");
    cr_assert_eq(requests.running_at_engines().size(), 1);
    placement_update placement;
    placement.running = std::vector<engine_requests>{{"near", 11}, {"other", 2}};
    requests.on_placements(at(500), placement);
    requests.submit(at(501), request(2, "m"));
    cr_assert_eq(assigned(requests.step(at(501)), 2), "other");
    placement.running = std::vector<engine_requests>{{"other", 9}};
    requests.on_placements(at(1000), placement);
    requests.submit(at(1001), request(3, "m"));
    cr_assert_eq(assigned(requests.step(at(1001)), 3), "near", "an engine that is not listed runs nothing");
}

// Guards against the sums of all instances, which lag behind, replacing the load that an engine itself has
// just reported.
Test(dispatcher, load_reported_by_an_engine_takes_precedence_over_the_sums)
{
    dispatcher requests(settings());
    requests.on_backend(engine("near", "m"));
    backend_entry distant = engine("other", "m");
    distant.data_centre = "far";
    requests.on_backend(distant);
    placement_update placement;
    placement.running = std::vector<engine_requests>{{"near", 2}};
    requests.on_load(at(1000), "near", {20, 0, 64});
    requests.on_placements(at(1100), placement);
    requests.submit(at(1101), request(1, "m"));
    cr_assert_eq(assigned(requests.step(at(1101)), 1), "other");
    requests.on_placements(at(1600), placement);
    requests.submit(at(1601), request(2, "m"));
    cr_assert_eq(assigned(requests.step(at(1601)), 2), "near");
}

// Guards against a request that waits for ever without a server: it is refused when its max_wait has passed,
// as not run and with a retry-after time.
Test(dispatcher, request_without_a_server_is_refused_in_time)
{
    dispatcher requests(settings());
    requests.submit(at(0), request(1));
    cr_assert(requests.step(at(0)).empty());
    cr_assert(*requests.next_due() > at(0) && *requests.next_due() <= at(1000));
    auto const steps = requests.step(at(1000));
    refusal const* const why = rejected(steps, 1);
    cr_assert(why != nullptr);
    cr_assert(why->reason == refusal_reason::no_backend);
    cr_assert(why->execution == execution_verdict::not_run);
    cr_assert(why->retry_after > duration{0});
    cr_assert_eq(requests.waiting(), 0);
}

// Guards against refusing a request for a model that no engine holds yet: it waits, the demand for the model
// is reported, and it is assigned as soon as an engine has the model.
Test(dispatcher, request_waits_for_its_model)
{
    dispatcher requests(settings());
    requests.on_backend(engine("e", ""));
    requests.submit(at(0), request(1, "m"));
    cr_assert(requests.step(at(0)).empty());
    cr_assert(requests.has_new_missing_model());
    auto const demand = requests.take_demand();
    cr_assert_eq(demand.size(), 1);
    cr_assert_eq(demand[0].model, "m");
    cr_assert_eq(demand[0].waiting, 1);
    requests.on_placements(at(500), {{{"e", "m", "", false}}, 9, {}});
    cr_assert_eq(assigned(requests.step(at(500)), 1), "e");
}

// Guards against new work for a server that leaves, and for a model that is about to be unloaded.
Test(dispatcher, leaving_servers_and_models_get_nothing_new)
{
    dispatcher requests(settings());
    backend_entry leaving = server("a", "here");
    leaving.leaving = true;
    requests.on_backend(leaving);
    requests.on_backend(engine("e", "m"));
    requests.on_placements(at(0), {{{"e", "m", "", true}}, 9, {}});
    requests.submit(at(0), request(1, "m"));
    requests.submit(at(0), request(2));
    auto const steps = requests.step(at(0));
    cr_assert_eq(assigned(steps, 1), "");
    cr_assert_eq(assigned(steps, 2), "e");
}

// Guards against a server that keeps getting requests although it fails them, and against one that is never
// used again after a failure.
Test(dispatcher, failing_server_is_avoided_and_tried_again_later)
{
    dispatcher requests(settings());
    requests.on_backend(server("a", "here"));
    requests.on_backend(server("b", "far"));
    requests.submit(at(0), request(1));
    cr_assert_eq(assigned(requests.step(at(0)), 1), "a");
    requests.on_attempt_end(at(10), {1, "a", attempt_result::connection_lost, false, false, {}});
    requests.submit(at(10), request(2));
    cr_assert_eq(assigned(requests.step(at(10)), 2), "b");
    for (request_number n = 3; n < 60; ++n)
    {
        std::int64_t const ms = 5000 + static_cast<std::int64_t>(n) * 100;
        requests.submit(at(ms), request(n));
        std::string const chosen = assigned(requests.step(at(ms)), n);
        cr_assert_neq(chosen, "");
        requests.on_attempt_end(at(ms + 10), {n, chosen, attempt_result::answered, false, false, {}});
        if (chosen == "a")
        {
            return;
        }
    }
    cr_assert_fail("the server is never tried again");
}

// Guards against traffic between regions while a server of the own data centre is free.
Test(dispatcher, near_servers_are_preferred_until_they_are_full)
{
    dispatcher requests(settings());
    requests.on_backend(server("far", "far"));
    requests.on_backend(server("here", "here"));
    std::map<std::string, unsigned> counts;
    for (request_number n = 1; n <= 12; ++n)
    {
        requests.submit(at(0), request(n));
        ++counts[assigned(requests.step(at(0)), n)];
    }
    cr_assert(counts["here"] >= 4);
    cr_assert(counts["far"] >= 1);
}

// Guards against requests that a stopping process neither answers nor refuses.
Test(dispatcher, stopping_instance_refuses_what_waits)
{
    dispatcher requests(settings());
    dispatch_request patient = request(1, "m");
    patient.max_wait = seconds{20};
    requests.submit(at(0), patient);
    requests.refuse_waiting_by(at(1000));
    cr_assert(requests.step(at(999)).empty());
    cr_assert(rejected(requests.step(at(1000)), 1) != nullptr);
}

// Guards against using what was observed of a server's earlier run after its restart: a model that was placed
// there before the restart is gone.
Test(dispatcher, state_of_an_earlier_run_is_dropped_after_a_restart)
{
    dispatcher requests(settings());
    backend_entry entry = engine("e", "m");
    entry.started_at = 1;
    requests.on_backend(entry);
    requests.on_placements(at(0), {{{"e", "x", "", false}}, 9});
    entry.started_at = 2;
    entry.models.clear();
    requests.on_backend(entry);
    requests.submit(at(10), request(1, "x"));
    cr_assert_eq(assigned(requests.step(at(10)), 1), "");
}

// Guards against a request that is sent thousands of times to a crashed server because no other holds its
// model: the server is not used between trials, and it is reported to the lease holder.
Test(dispatcher, crashed_server_is_not_tried_in_a_loop)
{
    dispatcher requests(settings());
    requests.on_backend(engine("e", "m"));
    dispatch_request patient = request(1, "m");
    patient.max_wait = seconds{20};
    unsigned trials = 0;
    for (std::int64_t ms = 0; ms < 5000; ms += 10)
    {
        if (ms == 0 || requests.waiting() == 0)
        {
            requests.submit(at(ms), patient);
        }
        if (!assigned(requests.step(at(ms)), 1).empty())
        {
            ++trials;
            requests.on_attempt_end(at(ms + 2), {1, "e", attempt_result::not_sent, false, false, {}});
            cr_assert_eq(requests.unreachable(at(ms + 5)).size(), 1);
        }
    }
    cr_assert(trials >= 2 && trials <= 8, "%u trials in 5 s", trials);
}

// Guards against new streams at an engine whose streams already pause as long as allowed: they go elsewhere
// for a while.
Test(dispatcher, engine_with_long_pauses_is_avoided)
{
    dispatcher requests(settings());
    requests.on_backend(engine("a", "m"));
    backend_entry far = engine("b", "m");
    far.data_centre = "far";
    requests.on_backend(far);
    requests.submit(at(0), request(1, "m"));
    cr_assert_eq(assigned(requests.step(at(0)), 1), "a");
    for (int i = 0; i < 5; ++i)
    {
        requests.on_pause(at(100 + i), "a", 1.2);
    }
    requests.submit(at(110), request(2, "m"));
    cr_assert_eq(assigned(requests.step(at(110)), 2), "b");
    requests.on_attempt_end(at(200), {1, "a", attempt_result::answered, false, false, {}});
    requests.submit(at(9000), request(3, "m"));
    cr_assert_eq(assigned(requests.step(at(9000)), 3), "a");
}

// Guards against a burst of long prompts that the nearest engine reads one after the other, which would stop
// all of its streams: the prompts are spread over the engines.
Test(dispatcher, burst_of_long_prompts_is_spread)
{
    dispatcher requests(settings());
    requests.on_backend(engine("a", "m"));
    backend_entry far = engine("b", "m");
    far.data_centre = "far";
    requests.on_backend(far);
    std::map<std::string, unsigned> counts;
    for (request_number n = 1; n <= 6; ++n)
    {
        dispatch_request long_prompt = request(n, "m");
        long_prompt.prompt = {{"p" + std::to_string(n), 4000}};
        requests.submit(at(0), long_prompt);
        ++counts[assigned(requests.step(at(0)), n)];
    }
    cr_assert(counts["a"] >= 2 && counts["b"] >= 2, "%u and %u", counts["a"], counts["b"]);
}

// Guards against a stream that goes on at another software version, or waits for one that has left.
Test(dispatcher, request_is_sent_only_to_servers_of_its_versions)
{
    dispatcher requests(settings());
    backend_entry busy = server("old", "far", 1);
    busy.software_version = "v1";
    requests.on_backend(busy);
    backend_entry other = server("new", "here", 64);
    other.software_version = "v2";
    requests.on_backend(other);
    dispatch_request taken_up = request(1);
    taken_up.versions = {"v1"};
    requests.submit(at(0), taken_up);
    cr_assert_eq(assigned(requests.step(at(0)), 1), "old");
    requests.on_backend_gone("old");
    taken_up.number = 2;
    requests.submit(at(10), taken_up);
    auto const steps = requests.step(at(10));
    refusal const* const refused = rejected(steps, 2);
    cr_assert(refused != nullptr && refused->reason == refusal_reason::no_backend);
}

namespace
{

dispatch_request of_organisation(request_number number, std::string const& organisation,
                                 std::uint64_t cost = 100)
{
    dispatch_request made = request(number);
    made.organisation = organisation;
    made.cost = cost;
    return made;
}

std::vector<request_number> order_of(std::vector<dispatch_step> const& steps)
{
    std::vector<request_number> numbers;
    for (dispatch_step const& step : steps)
    {
        if (auto const* const each = std::get_if<assign_request>(&step))
        {
            numbers.push_back(each->number);
        }
    }
    return numbers;
}

std::size_t refused(std::vector<dispatch_step> const& steps, refusal_reason reason)
{
    return static_cast<std::size_t>(std::count_if(steps.begin(), steps.end(),
                                                  [reason](dispatch_step const& step)
                                                  {
                                                      auto const* const each =
                                                          std::get_if<reject_request>(&step);
                                                      return each != nullptr && each->answer.reason == reason;
                                                  }));
}

dispatcher_settings paced_settings(std::uint64_t seed = 1)
{
    dispatcher_settings made = settings();
    made.seed = seed;
    made.slow_start = true;
    return made;
}

// The number of `count` requests that are assigned to each server when none of them is answered.
std::map<std::string, unsigned> assigned_counts(dispatcher& requests, steady_time now, unsigned count)
{
    static request_number number = 1000;
    std::map<std::string, unsigned> counts;
    for (unsigned i = 0; i < count; ++i)
    {
        requests.submit(now, request(++number));
        ++counts[assigned(requests.step(now), number)];
    }
    return counts;
}

} // namespace

// Load: a burst of 60 requests in three priorities. Guards against a different order, or further searches for
// servers, where callers have no organisation.
Test(dispatcher, without_organisations_the_order_is_by_priority_and_deadline)
{
    dispatcher requests(settings());
    requests.on_backend(server("a", "here", 100));
    std::vector<std::pair<std::pair<unsigned, std::int64_t>, request_number>> expected;
    for (request_number n = 1; n <= 60; ++n)
    {
        dispatch_request made = request(n, "", static_cast<unsigned>(n * 7 % 3));
        std::int64_t const deadline = 5000 + static_cast<std::int64_t>(n * 13 % 10);
        made.deadline = at(deadline);
        made.cost = n % 5 * 1000;
        expected.push_back({{made.priority, deadline}, n});
        requests.submit(at(1), made);
    }
    std::sort(expected.begin(), expected.end());
    std::vector<request_number> const order = order_of(requests.step(at(1)));
    cr_assert_eq(order.size(), expected.size());
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        cr_assert_eq(order[i], expected[i].second, "place %zu", i);
    }
    cr_assert_eq(requests.searches(), 60);
}

// Load: more than fits, of organisations and priorities. Guards against fair shares that outrank priorities,
// and against an order within an organisation that is not by deadline.
Test(dispatcher, priority_comes_before_organisation_and_deadline_after_it)
{
    dispatcher requests(settings());
    requests.on_backend(server("a", "here", 4)); // 8 requests: 4 run, 4 may wait at it.
    for (request_number n = 1; n <= 6; ++n)
    {
        dispatch_request made = of_organisation(n, "busy");
        made.deadline = at(10000 - static_cast<std::int64_t>(n));
        requests.submit(at(0), made);
    }
    dispatch_request urgent = of_organisation(7, "busy", 5000);
    urgent.priority = 0;
    requests.submit(at(0), urgent);
    requests.submit(at(0), of_organisation(8, "light"));
    requests.submit(at(0), of_organisation(9, "light"));
    std::vector<request_number> const order = order_of(requests.step(at(0)));
    cr_assert(order == (std::vector<request_number>{7, 8, 9, 6, 5, 4, 3, 2}));
}

// Load: callers of public routes, whose requests state no cost, beside an organisation. Guards against
// requests without a cost that are taken for free.
Test(dispatcher, requests_without_a_cost_count_like_others)
{
    dispatcher requests(settings());
    requests.on_backend(server("a", "here", 16)); // 20 requests.
    for (request_number n = 1; n <= 40; ++n)
    {
        requests.submit(at(0), n % 2 == 0 ? of_organisation(n, "known", 1000) : request(n));
    }
    std::vector<request_number> const order = order_of(requests.step(at(0)));
    cr_assert_eq(order.size(), 20);
    auto const known = std::count_if(order.begin(), order.end(), [](request_number n) { return n % 2 == 0; });
    cr_assert(known >= 9 && known <= 11, "%td of 20", known);
}

// Load: two organisations wait beside each other; the holder reports 50 requests a second for the one and
// 2,000 tokens a second for the other, whose requests cost 100 tokens each. Guards against comparing requests
// with tokens, and against a look-up for each request.
Test(dispatcher, use_by_all_instances_is_converted_and_looked_up_seldom)
{
    dispatcher requests(settings());
    requests.on_backend(server("a", "here", 1));
    unsigned lookups = 0;
    requests.on_fleet_use(
        [&lookups](std::string const& name) -> std::optional<fleet_use>
        {
            ++lookups;
            return name == "counted" ? fleet_use{50.0, true} : fleet_use{2000.0, false};
        });
    for (request_number n = 1; n <= 40; ++n)
    {
        requests.submit(at(0), of_organisation(n, n % 2 == 0 ? "counted" : "tokens"));
    }
    requests.step(at(0));
    cr_assert_eq(lookups, 2);
    for (std::int64_t ms = 10; ms < 500; ms += 10)
    {
        requests.step(at(ms));
    }
    cr_assert_eq(lookups, 2);
    // 5,000 tokens a second against 2,000: the next places go to the second organisation.
    requests.on_backend(server("b", "here", 4)); // 8 requests.
    std::vector<request_number> const order = order_of(requests.step(at(500)));
    cr_assert_eq(lookups, 4);
    cr_assert_eq(order.size(), 8);
    cr_assert(std::all_of(order.begin(), order.end(), [](request_number n) { return n % 2 == 1; }));
}

// Load: a flood of 600 requests without a server, then one request of another organisation. Guards against a
// waiting list that one organisation fills, against refusals while nobody else waits, and against refusing
// the oldest requests or answers that have begun.
Test(dispatcher, one_organisation_takes_at_most_half_of_the_waiting_list_beside_others)
{
    dispatcher requests(settings());
    for (request_number n = 1; n <= 600; ++n)
    {
        dispatch_request made = of_organisation(n, "flood");
        made.may_be_refused = n != 590;
        requests.submit(at(static_cast<std::int64_t>(n / 10)), made);
    }
    cr_assert(requests.step(at(100)).empty(), "nobody else waits");
    requests.submit(at(100), of_organisation(601, "other"));
    auto const steps = requests.step(at(100));
    cr_assert_eq(refused(steps, refusal_reason::queue_full), 344);
    cr_assert_eq(requests.waiting(), 257);
    cr_assert(rejected(steps, 255) == nullptr && rejected(steps, 590) == nullptr &&
              rejected(steps, 601) == nullptr);
    refusal const* const newest = rejected(steps, 600);
    cr_assert(newest != nullptr && newest->execution == execution_verdict::not_run);
    cr_assert(newest->retry_after > duration{0});
    requests.withdraw(601);
    for (request_number n = 700; n < 750; ++n)
    {
        requests.submit(at(110), of_organisation(n, "flood"));
    }
    cr_assert(requests.step(at(110)).empty(), "nobody else waits any more");
}

// Load: 500 waiting requests of 16 organisations for three models at 112 full engines, and then one free
// place. Guards against a step that searches servers for each waiting request: instances have 0.12 of a core.
// Only the requests that are assigned and the first of each kind that finds no server may search.
Test(dispatcher, step_over_a_long_waiting_list_searches_once_for_each_kind)
{
    dispatcher requests(settings());
    for (unsigned i = 0; i < 112; ++i)
    {
        backend_entry entry = engine("e" + std::to_string(i), "m0");
        entry.models.push_back({"m1", {}});
        entry.models.push_back({"m2", {}});
        entry.places = 12;
        requests.on_backend(entry);
        requests.on_load(at(1), entry.name, {12, 4, 12});
    }
    for (request_number n = 1; n <= 500; ++n)
    {
        dispatch_request made = request(n, "m" + std::to_string(n % 3));
        made.organisation = "o" + std::to_string(n % 16);
        made.cost = 100;
        requests.submit(at(1), made);
    }
    cr_assert(requests.step(at(1)).empty());
    cr_assert_eq(requests.searches(), 3);
    requests.on_load(at(10), "e50", {11, 4, 12});
    cr_assert_eq(order_of(requests.step(at(10))).size(), 1);
    cr_assert_eq(requests.searches(), 3 + 1 + 3);
    requests.on_load(at(20), "e50", {12, 4, 12});
    // At their max_wait all are refused, with the basis of the one search.
    cr_assert_eq(refused(requests.step(at(1001)), refusal_reason::overloaded), 499);
    cr_assert_eq(requests.searches(), 7 + 3);
}

// Load: a request that may not go to the server that works on it, before others of its organisation and
// model. Guards against taking its failure to find a server for that of all.
Test(dispatcher, requests_with_other_servers_to_choose_from_are_still_tried)
{
    dispatcher requests(settings());
    requests.on_backend(server("a", "here", 4));
    dispatch_request moving = of_organisation(1, "o");
    moving.running_at = "a";
    moving.deadline = at(50);
    dispatch_request versioned = of_organisation(2, "o");
    versioned.versions = {"v9"};
    versioned.may_be_refused = false;
    versioned.deadline = at(60);
    requests.submit(at(0), moving);
    requests.submit(at(0), versioned);
    requests.submit(at(0), of_organisation(3, "o"));
    cr_assert(order_of(requests.step(at(0))) == (std::vector<request_number>{3}));
    cr_assert_eq(requests.waiting(), 2);
}

// Load: eight waiting requests at a server that names a limit. Guards against wants that are not reported to
// the lease holder because a request of the same kind was held back before.
Test(dispatcher, each_request_that_a_limit_holds_back_is_reported)
{
    dispatcher requests(settings());
    requests.on_backend(server("a", "here", 64));
    requests.on_limit(at(0), "a", 0.001);
    for (request_number n = 1; n <= 8; ++n)
    {
        requests.submit(at(0), of_organisation(n, n % 2 == 0 ? "x" : "y"));
    }
    std::size_t const sent = order_of(requests.step(at(0))).size();
    auto const reports = requests.take_limit_reports(at(0));
    cr_assert_eq(reports.size(), 1);
    cr_assert_eq(reports[0].wanted, 8, "%u wanted, %zu sent", reports[0].wanted, sent);
}

// Load: 10,000 organisations with one request each, served and not seen again, then some use of others.
// Guards against waiting organisations that are kept after their last request, and against withdrawn requests
// that leave theirs behind.
Test(dispatcher, organisations_are_not_kept_after_their_last_request)
{
    dispatcher requests(settings());
    requests.on_backend(server("a", "here", 4));
    for (request_number n = 1; n <= 10000; ++n)
    {
        std::int64_t const ms = static_cast<std::int64_t>(n) * 10;
        requests.submit(at(ms), of_organisation(n, "o" + std::to_string(n)));
        if (n % 4 == 0)
        {
            requests.withdraw(n);
        }
        std::vector<dispatch_step> const steps = requests.step(at(ms));
        cr_assert_eq(order_of(steps).size(), n % 4 == 0 ? 0U : 1U);
        requests.on_attempt_end(at(ms + 5), {n, "a", attempt_result::answered, false, false, {}});
    }
    cr_assert_eq(requests.waiting(), 0);
    // Assigned within the last 30 s, and up to 10 s before the last sweep.
    cr_assert(requests.remembered_organisations() <= 4000, "%zu", requests.remembered_organisations());
}

// Guards against a server that all instances fill as soon as it appears, and against deployments that are
// served differently although their settings do not ask for it.
Test(dispatcher, new_server_gets_its_first_window_where_the_settings_ask_for_it)
{
    for (bool const slow_start : {false, true})
    {
        dispatcher requests(slow_start ? paced_settings() : settings());
        requests.on_placements(at(0), {{}, 1, {}});
        requests.on_backend(server("old", "far", 16));
        requests.on_backend(server("new", "here", 16), at(0));
        auto counts = assigned_counts(requests, at(10), 8);
        cr_expect_eq(counts["new"], slow_start ? 2 : 8);
        cr_expect_eq(counts["old"], slow_start ? 6 : 0);
    }
}

// Guards against requests that are refused, or wait, because the only server that can take them is on trial:
// it is used as without a pace, up to its queue.
Test(dispatcher, server_on_trial_is_used_as_before_when_no_other_can_take_the_request)
{
    for (unsigned const instances : {1U, 9U, 65U})
    {
        dispatcher requests(paced_settings());
        requests.on_placements(at(0), {{}, instances, {}});
        requests.on_backend(server("new", "here", 16), at(0));
        cr_expect_eq(assigned_counts(requests, at(10), 30)["new"], 20, "16 places and a queue of 4");
    }
    dispatcher requests(paced_settings());
    requests.on_backend(server("old", "here", 2));
    requests.on_backend(server("new", "far", 16), at(0));
    auto counts = assigned_counts(requests, at(10), 30);
    cr_expect(counts["old"] == 6 && counts["new"] == 20, "%u and %u", counts["old"], counts["new"]);
}

// Guards against a request that goes back to the server that failed it because the other one is on trial.
Test(dispatcher, server_that_failed_a_request_comes_after_one_on_trial)
{
    dispatcher requests(paced_settings());
    requests.on_placements(at(0), {{}, 65, {}});
    requests.on_backend(server("old", "here", 16));
    requests.on_backend(server("new", "far", 16), at(0));
    dispatch_request failed = request(1);
    failed.failed_servers = {"old"};
    requests.submit(at(1), failed);
    cr_expect_eq(assigned(requests.step(at(1)), 1), "new");
}

// Guards against known servers that are slowed: at the start of the instance, when another instance is lost,
// when a model is loaded, and when a model turns out not to be there.
Test(dispatcher, known_server_is_not_slowed)
{
    dispatcher requests(paced_settings());
    requests.on_placements(at(0), {{}, 65, {}});
    backend_entry known = engine("known", "m");
    known.places = 16;
    requests.on_backend(known);
    backend_entry other = engine("other", "m");
    other.data_centre = "far";
    requests.on_backend(other);
    requests.on_placements(at(10), {{}, 64, {}});
    known.models.push_back({"new model", {}});
    requests.on_backend(known, at(20));
    requests.submit(at(30), request(1, "new model"));
    cr_assert_eq(assigned(requests.step(at(30)), 1), "known");
    requests.on_attempt_end(at(40), {1, "known", attempt_result::refused_not_run, false, true, {}});
    requests.submit(at(50), request(2, "m"));
    cr_assert_eq(assigned(requests.step(at(50)), 2), "known");
    requests.on_attempt_end(at(9000), {2, "known", attempt_result::answered, false, false, seconds{8}});
    cr_expect_eq(assigned_counts(requests, at(9010), 2)["known"], 2,
                 "a server on trial would get one of two requests in 65 instances at most");
}

// Guards against a flood at a server that answers again after lost connections, a silence or a new start, and
// against an end of the trial that never comes.
Test(dispatcher, server_is_on_trial_after_failures_and_starts)
{
    for (char const* const what : {"lost", "unreached", "silent", "started", "own link"})
    {
        dispatcher requests(paced_settings());
        requests.on_placements(at(0), {{}, 1, {}});
        backend_entry known = server("known", "here", 16);
        known.started_at = 1;
        requests.on_backend(known);
        requests.on_backend(server("other", "far", 64));
        std::string const cause = what;
        requests.submit(at(0), request(1));
        cr_assert_eq(assigned(requests.step(at(0)), 1), "known");
        attempt_result const result = cause == "unreached" ? attempt_result::not_sent
                                      : cause == "silent"  ? attempt_result::silent
                                      : cause == "started" ? attempt_result::caller_gone
                                                           : attempt_result::connection_lost;
        requests.on_attempt_end(at(10), {1, "known", result, false, false, milliseconds{10}});
        if (cause == "started")
        {
            known.started_at = 2;
            requests.on_backend(known, at(20));
        }
        if (cause == "own link")
        {
            requests.forget_failures();
            cr_expect_eq(assigned_counts(requests, at(2000), 8)["known"], 8, "%s", what);
            continue;
        }
        cr_expect_eq(assigned_counts(requests, at(12000), 8)["known"], 2, "%s", what);
        cr_expect_eq(assigned_counts(requests, at(30100), 8)["known"], 8, "%s", what);
    }
}

// Guards against a window that never grows with answers, counts an answer twice (its first event and its
// end), or grows with answers that come after the objective.
Test(dispatcher, window_grows_with_first_events_in_time)
{
    dispatcher requests(paced_settings());
    requests.on_placements(at(0), {{}, 1, {}});
    requests.on_backend(server("other", "far", 64));
    requests.on_backend(server("new", "here", 32), at(0));
    dispatch_request timed = request(1);
    timed.latency_objective = milliseconds{500};
    requests.submit(at(0), timed);
    cr_assert_eq(assigned(requests.step(at(0)), 1), "new");
    requests.on_first_event(at(100), 1);
    cr_expect_eq(assigned_counts(requests, at(101), 20)["new"], 7, "a window of 8, one of which runs");
    requests.on_attempt_end(at(200), {1, "new", attempt_result::answered, false, false, milliseconds{200}});
    cr_expect_eq(assigned_counts(requests, at(201), 20)["new"], 1);

    dispatcher late(paced_settings());
    late.on_placements(at(0), {{}, 1, {}});
    late.on_backend(server("other", "far", 64));
    late.on_backend(server("new", "here", 32), at(0));
    late.submit(at(0), timed);
    cr_assert_eq(assigned(late.step(at(0)), 1), "new");
    late.on_first_event(at(501), 1);
    cr_expect_eq(assigned_counts(late, at(502), 20)["new"], 3, "a window of 4, one of which runs");
}
