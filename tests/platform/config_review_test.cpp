#include "platform/config_review.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace siskinusher;

namespace
{

constexpr char const* secret = "k7b2-secret-key";

route_rule sound_route(std::string const& prefix, std::string const& service)
{
    route_rule route;
    route.name = prefix;
    route.host = "h";
    route.path_prefix = prefix;
    route.targets = {{service, 1.0}};
    route.max_backends = 2;
    route.time_limit = seconds{4};
    route.latency_objective = milliseconds{200};
    return route;
}

// Two routes, two services and one organisation, about which there is nothing to find.
serving_config sound_config()
{
    serving_config config;
    config.version = 1;
    config.routes = {sound_route("/plain/", "plain"), sound_route("/chat/", "llm")};
    engine_profile engine;
    engine.places = 8;
    engine.memory_mb = 2500.0;
    engine.adapter_places = 2;
    engine.models = {{"m0", 1000.0, seconds{1}, seconds{2}, seconds{3}, 2, 100.0}};
    config.services = {{"plain", 100, std::nullopt}, {"llm", 100, engine}};
    config.organisations = {{"lab", {secret}, std::nullopt, {quota_unit::tokens, 4200.0, 800.0, 200.0}}};
    return config;
}

using edit = std::function<void(serving_config&)>;

std::string text_of(std::vector<config_finding> const& findings)
{
    std::string text;
    for (config_finding const& each : findings)
    {
        text += std::string(to_string(each.severity)) + " | " + each.place + " | " + each.text + "\n";
    }
    return text;
}

std::string text_of(std::vector<config_change> const& changes)
{
    std::string text;
    for (config_change const& each : changes)
    {
        text += std::string(to_string(each.group)) + " | " + each.place + " | " + each.text + "\n";
    }
    return text;
}

struct finding_case
{
    char const* name;
    edit change;
    std::string found; ///< The only finding.
};

struct change_case
{
    char const* name;
    edit change;
    std::string found; ///< All changes.
};

} // namespace

// Guards against findings about a configuration that has no fault, which would hide the real ones.
Test(config_review, sound_configuration_has_no_findings)
{
    cr_expect_eq(text_of(review_config(sound_config())), "");
    serving_config open = sound_config();
    open.organisations.reset();
    cr_expect_eq(text_of(review_config(open)), "");
    cr_expect_eq(text_of(compare_configs(sound_config(), sound_config())), "");
}

// Guards against an entry without effect, or limits that contradict each other, that no finding names.
Test(config_review, each_fault_has_one_finding)
{
    finding_case const cases[]{
        {"same host and prefix",
         [](serving_config& c)
         {
             c.routes.push_back(sound_route("/plain/", "plain"));
             c.routes[2].host = "H:8080";
             c.routes[2].name = "last";
         },
         "error | routes[0] '/plain/' | never matches: routes[2] 'last' has the same host and prefix, and "
         "the "
         "last one counts\n"},
        {"prefix without its slash", [](serving_config& c) { c.routes[0].path_prefix = "/plain"; },
         "error | routes[0] '/plain/' | never matches: the prefix '/plain' must begin and end with a slash "
         "and "
         "contain neither '?' nor a space\n"},
        {"prefix with a query", [](serving_config& c) { c.routes[0].path_prefix = "/a?b/"; },
         "error | routes[0] '/plain/' | never matches: the prefix '/a?b/' must begin and end with a slash "
         "and "
         "contain neither '?' nor a space\n"},
        {"no host", [](serving_config& c) { c.routes[0].host = ":80"; },
         "warning | routes[0] '/plain/' | matches only requests without a host: the host ':80' is empty\n"},
        {"no service",
         [](serving_config& c)
         {
             c.routes.push_back(sound_route("/x/", ""));
             c.routes[2].targets.clear();
         },
         "error | routes[2] '/x/' | names no service\n"},
        {"unknown service", [](serving_config& c) { c.routes.push_back(sound_route("/x/", "absent")); },
         "error | routes[2] '/x/' | leads to the unknown service 'absent'\n"},
        {"weights of zero",
         [](serving_config& c) {
             c.routes[0].targets = {{"plain", 0.0}};
         },
         "error | routes[0] '/plain/' | has no service with a weight above 0: none is chosen\n"},
        {"one weight of zero",
         [](serving_config& c) {
             c.routes[0].targets = {{"plain", 1.0}, {"llm", 0.0}};
         },
         "warning | routes[0] '/plain/' | never leads to the service 'llm': its weight is 0\n"},
        {"service without routes",
         [](serving_config& c) {
             c.services.push_back({"idle", 1, std::nullopt});
         },
         "warning | services[2] 'idle' | no route leads to it\n"},
        {"service twice",
         [](serving_config& c) {
             c.services.push_back({"plain", 1, std::nullopt});
         },
         "error | services[2] 'plain' | is never used: services[0] 'plain' has the same name, and the first "
         "one "
         "counts\n"},
        {"model above the memory",
         [](serving_config& c) { c.services[1].engine->models[0].weights_mb = 2501.0; },
         "error | services[1] 'llm' models[0] 'm0' | can never be loaded: its weights take 2501 MB of the "
         "2500 "
         "MB of an engine\n"},
        {"adapter above the memory",
         [](serving_config& c) { c.services[1].engine->models[0].weights_mb = 2450.0; },
         "warning | services[1] 'llm' models[0] 'm0' | its adapters can never be loaded: weights and one "
         "adapter take 2550 MB of the 2500 MB of an engine\n"},
        {"no places for adapters", [](serving_config& c) { c.services[1].engine->adapter_places = 0; },
         "warning | services[1] 'llm' models[0] 'm0' | its adapters can never be loaded: adapter_slots is "
         "0\n"},
        {"model twice",
         [](serving_config& c) { c.services[1].engine->models.push_back(c.services[1].engine->models[0]); },
         "error | services[1] 'llm' models[1] 'm0' | is never used: an earlier model has the same name\n"},
        {"engine without places", [](serving_config& c) { c.services[1].engine->places = 0; },
         "error | services[1] 'llm' | slots is 0: its engines run no request\n"},
        {"timeout below the objective", [](serving_config& c) { c.routes[0].time_limit = milliseconds{100}; },
         "warning | routes[0] '/plain/' | timeout_ms (100 ms) is below goal_ms (200 ms)\n"},
        {"no time", [](serving_config& c) { c.routes[0].time_limit = duration{0}; },
         "error | routes[0] '/plain/' | timeout_ms is 0 ms: every request is late on arrival\n"},
        {"no objective", [](serving_config& c) { c.routes[0].latency_objective = duration{0}; },
         "warning | routes[0] '/plain/' | goal_ms is 0 ms: no answer is in time\n"},
        {"pause above the timeout",
         [](serving_config& c)
         {
             c.routes[1].streaming = true;
             c.routes[1].max_event_gap = seconds{5};
         },
         "warning | routes[1] '/chat/' | gap_aim_ms (5000 ms) is above timeout_ms (4000 ms)\n"},
        {"no attempts", [](serving_config& c) { c.routes[0].max_backends = 0; },
         "error | routes[0] '/plain/' | attempts is 0: no server may run a request\n"},
        {"no organisations", [](serving_config& c) { c.organisations->clear(); },
         "warning |  | tenants is empty: every request of a route that is not public gets 401\n"},
        {"no key", [](serving_config& c) { c.organisations->front().keys.clear(); },
         "warning | tenants[0] 'lab' | has no key: no request can belong to it\n"},
        {"burst without a rate",
         [](serving_config& c) {
             c.organisations->front().quota = {quota_unit::tokens, 0.0, 100.0, 200.0};
         },
         "warning | tenants[0] 'lab' | burst (100) has no effect: without rate_per_s there is no limit\n"},
        {"burst below one request", [](serving_config& c) { c.organisations->front().quota.burst = 199.0; },
         "warning | tenants[0] 'lab' | burst (199) is below one request without its own figures (200 "
         "tokens)\n"},
        {"no request fits",
         [](serving_config& c) {
             c.organisations->front().quota = {quota_unit::tokens, 10.0, 100.0, 200.0};
         },
         "error | tenants[0] 'lab' | no request fits into its limit: in 8 s it allows 180 tokens, less than "
         "one "
         "request without its own figures (200 tokens)\n"},
        {"no request of its own unit fits",
         [](serving_config& c) {
             c.organisations->front().quota = {quota_unit::requests, 0.1, 0.0, 1.0};
         },
         "error | tenants[0] 'lab' | no request fits into its limit: in 8 s it allows 0.8 requests, less "
         "than "
         "one request without its own figures (1 requests)\n"},
        {"heads of no size", [](serving_config& c) { c.limits.head_bytes = 0; },
         "error | limits | max_header_bytes is 0: every request is refused\n"},
        {"bodies of no size", [](serving_config& c) { c.limits.body_bytes = 0; },
         "warning | limits | max_body_bytes is 0: every request with a body is refused\n"},
        {"no time for heads", [](serving_config& c) { c.limits.head_timeout = duration{0}; },
         "error | limits | header_timeout_ms is 0 ms: every request is late on arrival\n"},
        {"no idle time", [](serving_config& c) { c.limits.idle_timeout = duration{0}; },
         "warning | limits | idle_timeout_ms is 0 ms: no connection is kept\n"},
        {"no routes",
         [](serving_config& c)
         {
             c.routes.clear();
             c.services.clear();
         },
         "error |  | there are no routes: every request gets 404\n"},
    };
    for (finding_case const& each : cases)
    {
        serving_config config = sound_config();
        each.change(config);
        std::string const found = text_of(review_config(config));
        cr_expect_eq(found, each.found, "%s:\n%sinstead of\n%s", each.name, found.c_str(),
                     each.found.c_str());
    }
}

// Guards against a limit that is judged although the organisation has none.
Test(config_review, organisations_without_a_limit_are_not_judged)
{
    serving_config config = sound_config();
    config.organisations->front().quota = {quota_unit::tokens, 0.0, 0.0, 200.0};
    cr_expect_eq(text_of(review_config(config)), "");
    config.organisations->front().quota = {quota_unit::tokens, 40.0, 0.0, 200.0};
    cr_expect_eq(review_config(config).size(), 1);
    cr_expect(review_config(config, seconds{4}).front().severity == finding_severity::error);
}

// Guards against a difference from the version in force that is not shown, or is shown in the wrong group.
Test(config_review, differences_are_grouped_by_what_callers_notice)
{
    change_case const cases[]{
        {"route appears", [](serving_config& c) { c.routes.push_back(sound_route("/plain/new/", "llm")); },
         "routes that appear | h/plain/new/ | leads to 'llm'; so far route '/plain/' to 'plain'\n"},
        {"route disappears", [](serving_config& c) { c.routes.erase(c.routes.begin()); },
         "routes that disappear | h/plain/ | led to 'plain'; from now on 404\n"},
        {"route moves",
         [](serving_config& c) {
             c.routes[0].targets = {{"plain", 3.0}, {"llm", 1.0}};
         },
         "routes that move to another service | h/plain/ | 'plain' -> 'plain' (weight 3), 'llm' (weight "
         "1)\n"},
        {"limits of a route",
         [](serving_config& c)
         {
             c.routes[0].time_limit = seconds{3};
             c.routes[0].max_backends = 3;
             c.routes[0].repeat = repeat_rule::idempotent;
         },
         "routes that change their limits | h/plain/ | timeout_ms 4000 ms -> 3000 ms (lowered)\n"
         "routes that change their limits | h/plain/ | attempts 2 -> 3 (raised)\n"
         "routes that change their limits | h/plain/ | a request may run: at most once -> idempotent\n"},
        {"public", [](serving_config& c) { c.routes[0].is_public = true; },
         "who needs a key | h/plain/ | needs no key any more\n"},
        {"keys no longer checked", [](serving_config& c) { c.organisations.reset(); },
         "who needs a key | tenants | 2 routes need no key any more: everybody may use them\n"
         "organisations and keys | organisation 'lab' | disappears with 1 keys\n"},
        {"organisation appears",
         [](serving_config& c) {
             c.organisations->push_back({"new", {"a-key", "b-key"}, std::nullopt, {}});
         },
         "organisations and keys | organisation 'new' | appears with 2 keys and no limit\n"},
        {"key replaced", [](serving_config& c) { c.organisations->front().keys = {"another-key"}; },
         "organisations and keys | organisation 'lab' | 1 keys become valid\n"
         "organisations and keys | organisation 'lab' | 1 keys are revoked\n"},
        {"priority", [](serving_config& c) { c.organisations->front().priority = 2; },
         "organisations and keys | organisation 'lab' | priority that of the route -> 2\n"},
        {"rate lowered, burst raised",
         [](serving_config& c) {
             c.organisations->front().quota = {quota_unit::tokens, 100.0, 900.0, 200.0};
         },
         "limits of organisations that are lowered | organisation 'lab' | 4200 tokens a second -> 100 tokens "
         "a "
         "second\n"
         "limits of organisations that are raised | organisation 'lab' | burst 800 -> 900\n"},
        {"limit removed",
         [](serving_config& c) {
             c.organisations->front().quota = {quota_unit::tokens, 0.0, 0.0, 200.0};
         },
         "limits of organisations that are raised | organisation 'lab' | 4200 tokens a second -> no limit\n"},
        {"requests cost more",
         [](serving_config& c) { c.organisations->front().quota.default_tokens = 300.0; },
         "limits of organisations that are lowered | organisation 'lab' | plain_tokens 200 -> 300\n"},
        {"model",
         [](serving_config& c)
         {
             c.services[1].engine->models[0].weights_mb = 1200.0;
             c.services[1].engine->models.push_back({"m1", 1.0, {}, {}, {}, 0, 0.0});
         },
         "models | service 'llm' model 'm0' | weights_mb 1000 -> 1200 (raised)\n"
         "models | service 'llm' model 'm1' | appears\n"},
        {"service",
         [](serving_config& c)
         {
             c.services[0].max_connections = 50;
             c.services.push_back({"new", 1, std::nullopt});
         },
         "services | service 'new' | appears\n"
         "services | service 'plain' | max_conns 100 -> 50 (lowered)\n"},
        {"caller limits", [](serving_config& c) { c.limits.body_bytes = 1000; },
         "limits on what callers send | limits | max_body_bytes 4194304 -> 1000 (lowered)\n"},
        {"order of routes", [](serving_config& c) { std::swap(c.routes[0], c.routes[1]); }, ""},
    };
    for (change_case const& each : cases)
    {
        serving_config config = sound_config();
        each.change(config);
        std::string const found = text_of(compare_configs(sound_config(), config));
        cr_expect_eq(found, each.found, "%s:\n%sinstead of\n%s", each.name, found.c_str(),
                     each.found.c_str());
    }
}

// Guards against a key in the output, which operators put into tickets and logs.
Test(config_review, no_text_contains_a_key)
{
    serving_config const before = sound_config();
    serving_config after = sound_config();
    after.organisations->front().keys = {"new-secret-key", secret};
    after.organisations->push_back(
        {"other", {"other-secret-key"}, 1U, {quota_unit::requests, 0.01, 0.0, 1.0}});
    std::string const text = text_of(review_config(after)) + text_of(compare_configs(before, after)) +
                             text_of(compare_configs(after, before));
    cr_expect(text.find("organisation 'other'") != std::string::npos);
    cr_expect(text.find("secret") == std::string::npos, "%s", text.c_str());
}
