#include "decision/dispatcher.hpp"

#include <criterion/criterion.h>

#include <map>
#include <string>
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
