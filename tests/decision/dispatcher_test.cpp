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
