#include "adapters/http_message.hpp"
#include "platform/backend_entry_codec.hpp"
#include "platform/crash_mark_codec.hpp"
#include "platform/lease_record_codec.hpp"
#include "platform/order_codec.hpp"
#include "platform/request_codec.hpp"
#include "platform/serving_config_codec.hpp"
#include "tests/wire/backend_standin.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

using namespace siskinusher;
using namespace siskinusher::platform;
using nlohmann::json;

namespace
{

json entry()
{
    return {{"service", "llm"},
            {"address", "10.0.0.1:80"},
            {"zone", "z"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"seq", 41},
            {"models", {{{"name", "m"}, {"version", 1}, {"adapters", {"a1"}}}}},
            {"at_hand", {{"in_memory", {"m"}}, {"on_disk", {"m", "n"}}}},
            {"born", 1700000000000}};
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a foreign or damaged entry being used as a server, or ending the process with an exception.
Test(backend_entry_codec, unusable_entries_name_no_server)
{
    cr_assert(decode_backend_entry("e", entry()).has_value());
    for (char const* const field : {"service", "address", "zone", "slots", "state"})
    {
        json missing = entry();
        missing.erase(field);
        cr_assert_not(decode_backend_entry("e", missing).has_value(), "without %s", field);
        json wrong = entry();
        wrong[field] = json::array({1, "x"});
        cr_assert_not(decode_backend_entry("e", wrong).has_value(), "wrong %s", field);
    }
    json unknown = entry();
    unknown["state"] = "resting";
    cr_assert_not(decode_backend_entry("e", unknown).has_value());
    for (json const& value : {json(), json(3), json("text"), json::array(), json::object()})
    {
        cr_assert_not(decode_backend_entry("e", value).has_value());
    }
}

// Guards against numbers of another writer that wrap around to a few places, or name no port.
Test(backend_entry_codec, numbers_out_of_range_name_no_server)
{
    for (json const& slots : {json(4294967297), json(1e15), json(1e300), json(-1), json(2.5)})
    {
        json wrong = entry();
        wrong["slots"] = slots;
        cr_expect_not(decode_backend_entry("e", wrong).has_value(), "%s", slots.dump().c_str());
    }
    for (char const* const address :
         {"10.0.0.1:70000", "10.0.0.1:99999999999999999999999", "10.0.0.1:0", "10.0.0.1:", "10.0.0.1",
          "10.0.0.1:8a", "10.0.0.1:-1", "host:80", "10.0.0.1.2:80", ":80", "", "10.0.0.1:80\r\nX: y"})
    {
        json wrong = entry();
        wrong["address"] = address;
        cr_expect_not(decode_backend_entry("e", wrong).has_value(), "%s", address);
    }
}

// Guards against the entry's heartbeat count being taken for the number of orders (264 orders were refused).
Test(backend_entry_codec, order_count_comes_from_the_report)
{
    auto const report = decode_engine_report(
        "e", R"({"models":[{"name":"m","adapters":["a1"]}],"busy":true,"seq":3,"coming":["m/a7@1"]})");
    cr_assert(report.has_value());
    cr_assert_eq(report->order_sequence, 3);
    cr_assert(report->busy);
    cr_assert_eq(report->models[0].adapters.size(), 2); // An adapter that is being loaded takes a place.
    cr_assert_eq(report->started_at, 0);
    auto const born = decode_engine_report("e", R"({"models":[],"seq":0,"born":1790000000000})");
    cr_assert_eq(born->started_at, 1790000000000); // Tells a new run before the entry shows it.
    cr_assert_not(decode_engine_report("e", "{\"models\":[]}").has_value());
    cr_assert_not(decode_engine_report("e", "\xff{").has_value());
}

// Guards against a configuration with unreadable parts that counts as sound.
Test(serving_config_codec, unreadable_parts_make_the_whole_invalid)
{
    std::string why;
    json const good = standins::example_config(7);
    auto const config = decode_serving_config(good, why);
    cr_assert(config.has_value(), "%s", why.c_str());
    cr_assert_eq(config->version, 7);
    cr_assert(config->routes[0].repeat == repeat_rule::at_most_once);
    cr_assert(config->routes[1].repeat == repeat_rule::idempotent);
    cr_assert(config->routes[2].repeat == repeat_rule::resumable_stream);
    cr_assert(config->routes[3].repeat == repeat_rule::at_most_once);
    for (char const* const field : {"host", "path_prefix", "route_kind", "timeout_ms"})
    {
        json bad = good;
        bad["routes"][1].erase(field);
        cr_assert_not(decode_serving_config(bad, why).has_value(), "without %s", field);
        cr_assert_not(why.empty());
    }
    json unknown = good;
    unknown["routes"][0]["route_kind"] = "whenever";
    cr_assert_not(decode_serving_config(unknown, why).has_value());
    cr_assert_not(decode_serving_config(json(), why).has_value());
}

// Guards against an allowance with a fraction, as in a scaled-down copy of a deployment, being read as its
// default: a single attempt, no places for adapters, or no limit on bytes.
Test(serving_config_codec, allowances_with_a_fraction_allow_the_whole_ones)
{
    std::string why;
    json text = standins::example_config(7);
    text["routes"][1]["attempts"] = 2.9;
    text["routes"][1]["timeout_ms"] = 1500.25;
    text["limits"] = {{"max_header_bytes", 8192.5}, {"max_body_bytes", 65536.75}};
    text["services"][0]["max_conns"] = 99.5;
    text["services"][0]["engine"] = {{"slots", 16.5}, {"adapter_slots", 8.2}, {"weights_mb", 100.5}};
    auto const config = decode_serving_config(text, why);
    cr_assert(config.has_value(), "%s", why.c_str());
    cr_assert_eq(config->routes[1].max_backends, 2);
    cr_assert(config->routes[1].time_limit == microseconds{1500250});
    cr_assert_eq(config->limits.head_bytes, 8192);
    cr_assert_eq(config->limits.body_bytes, 65536);
    cr_assert_eq(config->services[0].max_connections, 99);
    cr_assert_eq(config->services[0].engine->places, 16);
    cr_assert_eq(config->services[0].engine->adapter_places, 8);
    text["version"] = 7.5; // A version is exact.
    cr_assert_not(decode_serving_config(text, why).has_value());
}

// Guards against a caller's headers that only the system may set reaching a server, and against the caller's
// deadline being passed on instead of the time left.
Test(request_codec, system_headers_of_callers_are_dropped)
{
    request_head head;
    head.method = "POST";
    head.target = "/a/b?c=d";
    for (char const* const name :
         {"Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Request-Priority", "Expect-Instance"})
    {
        head.fields.add(name, "from-caller");
    }
    head.fields.add("Attempt-Id", "r1");
    head.fields.add("Model", "m/a2");
    head.fields.add("Prompt-Prefix", "5c:800,91:10");
    head.fields.add("Deadline-Ms", "2000");
    head.fields.add("Connection", "X-Hop");
    head.fields.add("X-Hop", "1");
    head.fields.add("Connection", "te, X-Hop-2");
    head.fields.add("X-Hop-2", "1");
    head.fields.add("X-Kept", "2");
    caller_request const request = decode_request(head);
    cr_assert_eq(request.model, "m");
    cr_assert_eq(request.adapter, "a2");
    cr_assert_eq(request.prompt.size(), 2);
    cr_assert(request.time_allowed == duration(milliseconds{2000}));
    attempt_headers headers;
    headers.time_left = milliseconds{1500};
    headers.backend = "i-1";
    std::string const text = encode_attempt_head(request, 3, headers);
    cr_assert_not(contains(text, "from-caller"));
    cr_assert_not(contains(text, "X-Hop: 1"));
    cr_assert_not(contains(text, "X-Hop-2: 1"));
    cr_assert(contains(text, "POST /a/b?c=d HTTP/1.1\r\n"));
    cr_assert(contains(text, "X-Kept: 2\r\n"));
    cr_assert(contains(text, "Attempt-Id: r1\r\n"));
    cr_assert(contains(text, "Deadline-Ms: 1500\r\n"));
    cr_assert(contains(text, "Expect-Instance: i-1\r\n"));
    std::string const end = "Content-Length: 3\r\n\r\n";
    cr_assert_eq(text.find(end), text.size() - end.size(), "the body follows");
}

// Guards against text in a record that cannot be written or read, and against other names for ids of UTF-8,
// which instances of the build before have recorded.
Test(request_codec, names_in_records_are_utf8)
{
    auto const decoded = [](std::string const& text)
    {
        request_head head;
        head.fields.add("Attempt-Id", text);
        head.fields.add("Resumes", text);
        head.fields.add("Model", text + "/" + text);
        return decode_request(head);
    };
    for (std::string const text : {"9c41d07be2a35f68", "caf\xc3\xa9", "a b\"c"})
    {
        caller_request const request = decoded(text);
        cr_expect_eq(request.record_id, text);
        cr_expect_eq(request.taken_up_id, text);
        cr_expect_eq(request.model, text);
    }
    for (std::string const text : {"caf\xe9", "\xff", "\xc3", "\xed\xa0\x80"})
    {
        caller_request const request = decoded(text);
        cr_expect_eq(request.request_id, text);
        cr_expect_eq(request.record_id.rfind("hash-", 0), 0, "%s", request.record_id.c_str());
        cr_expect_eq(request.taken_up_id, request.record_id);
        cr_expect_eq(request.model, request.record_id);
        cr_expect_eq(request.adapter, request.record_id);
        cr_expect_neq(request.header_lines.find("Attempt-Id: " + text + "\r\n"), std::string::npos);
    }
    cr_expect_neq(decoded("caf\xe9").record_id, decoded("caf\xe8").record_id);
}

// Guards against a request that is not recognised when it comes again, and against taking another one for it.
Test(request_codec, repetitions_of_a_request_have_one_name)
{
    auto const name = [](std::string const& method, std::string const& target, std::string const& attempt,
                         std::string const& caller, std::string const& model, std::string const& body)
    {
        request_head head;
        head.method = method;
        head.target = target;
        head.fields.add("Host", "h");
        head.fields.add("Attempt-Id", attempt);
        head.fields.add("Deadline-Ms", attempt);
        head.fields.add("Authorization", caller);
        head.fields.add("Model", model);
        head.fields.add("Prompt-Prefix", "a:1,b:2,own:3");
        return suspects_in(decode_request(head), body).request;
    };
    std::string const first = name("GET", "/p/1?page=2", "1", "me", "m", "body");
    cr_expect_eq(first, name("GET", "/p/1?page=2", "2", "me", "m", "body"));
    for (std::string const& other : {name("PUT", "/p/1?page=2", "1", "me", "m", "body"),
                                     name("GET", "/p/1?page=3", "1", "me", "m", "body"),
                                     name("GET", "/p/1?page=2", "1", "you", "m", "body"),
                                     name("GET", "/p/1?page=2", "1", "me", "n", "body"),
                                     name("GET", "/p/1?page=2", "1", "me", "m", "bodz"),
                                     name("GET", "/p/1?page=2", "1", "mem", "", "body")})
    {
        cr_expect_neq(first, other);
    }
}

// Guards against an answer of another request, or one that did not run, being taken for this request's.
Test(request_codec, answers_are_told_apart)
{
    response_head head;
    head.status = 200;
    head.fields.add("Attempt-Id", "r2");
    cr_assert(decode_answer(head, "r1", "i-1").wrong_request_id);
    cr_assert_not(decode_answer(head, "r2", "i-1").has_server_stamp);
    response_head full;
    full.status = 503;
    cr_assert_not(decode_answer(full, "r1", "i-1").not_run);
    full.fields.add("Not-Executed", "1");
    cr_assert(decode_answer(full, "r1", "i-1").not_run);
    response_head misdirected;
    misdirected.status = 421;
    misdirected.fields.add("Instance-Id", "i-2");
    cr_assert(decode_answer(misdirected, "r1", "i-1").not_run);
    cr_assert(decode_answer(misdirected, "r1", "i-1").from_other_server);
    response_head odd;
    odd.status = 200;
    odd.fields.add("Server-Load", "none");
    cr_assert_not(decode_answer(odd, "r1", "i-1").load.has_value());
}

// Guards against an order whose outcome is unknown being taken for refused, and the other way round.
Test(order_codec, unclear_outcomes_stay_unclear)
{
    auto const result = [](int status, bool sent)
    {
        http_outcome outcome;
        outcome.status = status;
        outcome.sent = sent;
        return decode_order_outcome(outcome);
    };
    cr_assert(result(202, true) == engine_order_result::accepted);
    cr_assert(result(409, true) == engine_order_result::conflict);
    cr_assert(result(0, false) == engine_order_result::not_sent);
    cr_assert(result(0, true) == engine_order_result::unknown);
    cr_assert(result(500, true) == engine_order_result::unknown);
}

// Guards against an object that another program wrote being read as a lease record.
Test(lease_record_codec, foreign_objects_are_not_records)
{
    order_lease_record const record{"n@a:1", "a:1", 4, 9, "key", 2};
    auto const back = decode_lease_record(encode_lease_record(record));
    cr_assert(back.has_value() && *back == record);
    json foreign = encode_lease_record(record);
    foreign["epoch"] = "4";
    cr_assert_not(decode_lease_record(foreign).has_value());
    cr_assert_not(decode_lease_record(json()).has_value());
}

// Guards against a mark of a crash that instances cannot read back, and against taking over damaged ones.
Test(crash_mark_codec, marks_keep_their_fields)
{
    crash_mark const crash{"5c1e07a2", 1, "i-7f3a91c2", 1774000000123};
    auto spec = encode_crash_mark(crash);
    auto const decoded = decode_crash_mark(spec);
    cr_assert(decoded && *decoded == crash && id_of(*decoded) == id_of(crash));
    for (char const* const field : {"part", "position", "engine", "engine_started_at"})
    {
        auto damaged = spec;
        damaged[field] = nlohmann::json::array();
        cr_assert_not(decode_crash_mark(damaged).has_value(), "%s", field);
    }
}

// Guards against a peer's refusal that hides how often servers have rejected the request, and against one of
// the build before, which does not tell, being read as none.
Test(request_codec, a_refusal_of_a_peer_tells_how_often_the_request_was_sent)
{
    auto const decode = [](std::string const& lines)
    {
        auto const head = parse_response_head("HTTP/1.1 503 x\r\n" + lines + "\r\n");
        cr_assert(head.has_value());
        return decode_answer(*head, "r1", "");
    };
    answer_info const told = decode(encode_not_run(3));
    cr_expect(told.not_run);
    cr_expect(told.times_sent == 3U);
    answer_info const older = decode("Not-Executed: 1\r\n");
    cr_expect(older.not_run);
    cr_expect_not(older.times_sent.has_value());
    cr_expect(contains(encode_not_run(0), "Not-Executed: 1\r\n"), "read by the build before");
}

// Guards against an order or an inquiry that uses a connection on which a second copy of an earlier answer
// may still arrive.
Test(order_codec, orders_and_inquiries_use_fresh_connections)
{
    cr_assert(encode_order({"e1", "10.0.0.1:80", order_kind::load_model, "m", "", 3, "why"}, "holder", 7)
                  .fresh_connection);
    cr_assert(encode_inquiry("e1").fresh_connection);
}

namespace
{

constexpr char const* first_key = "asnm-first-secret";
constexpr char const* second_key = "k7b2-second-secret";

json config_with_tenants(json const& tenants)
{
    json config = standins::example_config(7);
    config["tenants"] = tenants;
    return config;
}

json tenant(char const* name, std::initializer_list<json> keys)
{
    return {{"name", name}, {"api_keys", json(std::vector<json>(keys))}};
}

// The reason for which the field is refused; empty when it is accepted.
std::string field_fault(json const& tenants)
{
    std::string why;
    return decode_serving_config(config_with_tenants(tenants), why).has_value() ? std::string() : why;
}

std::string tenants_fault(std::initializer_list<json> tenants)
{
    return field_fault(json(std::vector<json>(tenants)));
}

std::string tenant_fault(char const* field, json const& value, json const& rate = 10)
{
    json one = tenant("hule930", {first_key});
    one["rate_per_s"] = rate;
    one[field] = value;
    return tenants_fault({one});
}

request_head head_with(std::vector<std::pair<std::string, std::string>> const& fields)
{
    request_head head;
    head.method = "GET";
    head.target = "/p/1";
    head.fields.add("Host", "h");
    head.fields.add("Attempt-Id", "r1");
    for (auto const& [name, value] : fields)
    {
        head.fields.add(name, value);
    }
    return head;
}

caller_credentials credentials_in(std::string const& authorization)
{
    return decode_credentials(head_with({{"Authorization", authorization}}));
}

} // namespace

// Guards against limits, keys and priorities that are read as others than the operators wrote.
Test(serving_config_codec, organisations_are_read_as_written)
{
    std::string why;
    json full = tenant("hule930", {first_key, second_key});
    full.update({{"priority", 1},
                 {"unit", "token"},
                 {"plain_tokens", 200},
                 {"rate_per_s", 329349},
                 {"burst", 1000.5}});
    json text = config_with_tenants(json::array({full, tenant("plain", {})}));
    text["routes"][1]["public"] = true;
    auto const config = decode_serving_config(text, why);
    cr_assert(config.has_value(), "%s", why.c_str());
    cr_assert(config->organisations.has_value());
    organisation const expected{
        "hule930", {first_key, second_key}, 1U, {quota_unit::tokens, 329349.0, 1000.5, 200.0}};
    cr_assert(config->organisations->at(0) == expected);
    organisation const plain{"plain", {}, {}, {quota_unit::requests, 0.0, 0.0, 1.0}};
    cr_assert(config->organisations->at(1) == plain);
    cr_assert_not(config->routes[0].is_public);
    cr_assert(config->routes[1].is_public);
    text.erase("tenants");
    auto const without = decode_serving_config(text, why);
    cr_assert(without.has_value() && !without->organisations.has_value());
}

// Guards against routes that are open to everybody: an empty list asks for keys, and a field that is no list
// is a fault of the whole configuration.
Test(serving_config_codec, empty_list_of_organisations_is_not_an_absent_one)
{
    std::string why;
    auto const config = decode_serving_config(config_with_tenants(json::array()), why);
    cr_assert(config.has_value() && config->organisations.has_value() && config->organisations->empty());
    for (json const& value : {json(), json(3), json("text"), json::object(), json(false)})
    {
        cr_expect_eq(field_fault(value), "tenants is not a list", "%s", value.dump().c_str());
    }
    // Only the value true opens a route.
    json text = config_with_tenants(json::array());
    text["routes"][0]["public"] = "true";
    text["routes"][1]["public"] = 1;
    auto const odd = decode_serving_config(text, why);
    cr_assert(!odd.has_value() || (!odd->routes[0].is_public && !odd->routes[1].is_public));
}

// Guards against a configuration in force in which a key or a name means two organisations, or a limit means
// nothing; and against operators who are not told which fault it is.
Test(serving_config_codec, faults_of_organisations_are_named)
{
    json const a = tenant("a", {first_key});
    cr_expect_eq(tenants_fault({a, tenant("b", {first_key})}),
                 "organisation 'b' has a key that is listed twice");
    cr_expect_eq(tenants_fault({tenant("a", {first_key, first_key})}),
                 "organisation 'a' has a key that is listed twice");
    cr_expect_eq(tenants_fault({a, tenant("a", {second_key})}), "two organisations have the name 'a'");
    std::string const bad_key = "organisation 'a' has an empty key, or api_keys is not a list of texts";
    cr_expect_eq(tenants_fault({tenant("a", {first_key, ""})}), bad_key);
    cr_expect_eq(tenants_fault({tenant("a", {first_key, 3})}), bad_key);
    cr_expect_eq(tenants_fault({json{{"name", "a"}, {"api_keys", first_key}}}), bad_key);
    for (char const* const name : {"", " a", "a ", "a\r\nX: 1", "a\tb", "a\x7f"})
    {
        cr_expect_eq(tenants_fault({tenant(name, {first_key})}), "an organisation has no usable name");
    }
    cr_expect_eq(tenants_fault({json{{"api_keys", json::array({first_key})}}}),
                 "an organisation has no usable name");
    cr_expect_eq(tenants_fault({json(first_key)}), "an organisation has no usable name");
    std::string const number =
        "organisation 'hule930': rate_per_s, burst and plain_tokens must be numbers from "
        "0 on";
    cr_expect_eq(tenant_fault("rate_per_s", -1), number);
    cr_expect_eq(tenant_fault("rate_per_s", "10"), number);
    cr_expect_eq(tenant_fault("burst", -0.5), number);
    cr_expect_eq(tenant_fault("burst", json::array()), number);
    cr_expect_eq(tenant_fault("plain_tokens", -200), number);
    cr_expect_eq(tenant_fault("burst", 5, 0), "", "a rate of 0 means no limit, whatever the burst");
    cr_expect_eq(tenant_fault("burst", 0, 0), "");
    for (json const& unit : {json("tokens"), json(""), json(3), json()})
    {
        cr_expect_eq(tenant_fault("unit", unit),
                     "organisation 'hule930': unit is neither 'token' nor 'request'");
    }
    cr_expect_eq(tenant_fault("unit", "request"), "");
}

// Guards against a fault of one organisation that puts other ones out of force, or that lets a key be used
// whose organisation is not known.
Test(serving_config_codec, faulty_organisation_harms_itself_alone)
{
    json unlimited = tenant("unlimited", {"k1"});
    unlimited["rate_per_s"] = 0;
    unlimited["burst"] = 5;
    json odd_unit = tenant("odd", {"k2", ""});
    odd_unit["unit"] = "unknown";
    json const list =
        json::array({unlimited, odd_unit, tenant("", {"k3"}), 7, tenant("a", {"k4", "k5", "k5"}),
                     tenant("b", {"k4", "k6"}), tenant("a", {"k7"})});
    config_reading const reading = read_serving_config(config_with_tenants(list));
    cr_assert(reading.config && reading.config->organisations);
    auto const& read = *reading.config->organisations;
    cr_assert_eq(read.size(), 4);
    cr_expect(read[0].has_known_limit && read[0].quota.per_second == 0.0);
    cr_expect(read[1].name == "odd" && !read[1].has_known_limit);
    cr_expect(read[1].keys == std::vector<std::string>{"k2"});
    cr_expect(read[2].name == "a" && read[2].keys == std::vector<std::string>{"k5"});
    cr_expect(read[3].name == "b" && read[3].keys == std::vector<std::string>{"k6"});
    cr_expect_eq(reading.faults.size(), 7);
}

// Guards against a route, service or model that cannot be read and puts the others out of force, and against
// requests that take another route because theirs cannot be read.
Test(serving_config_codec, faulty_route_or_model_harms_itself_alone)
{
    json text = standins::example_config(7);
    config_reading const good = read_serving_config(text);
    cr_assert(good.config && good.faults.empty());
    text["routes"][0]["route_kind"] = "unknown";
    text["routes"][1].erase("timeout_ms");
    text["services"].push_back(7);
    text["services"][0]["engine"] = {
        {"models", {{{"name", "m"}}, {{"name", "n"}, {"weights_mb", 1}, {"load_s", 1}}}}};
    config_reading const reading = read_serving_config(text);
    cr_assert(reading.config.has_value());
    cr_assert_eq(reading.config->routes.size(), good.config->routes.size());
    cr_expect(reading.config->routes[0].targets.empty() && reading.config->routes[1].targets.empty());
    cr_expect(reading.config->routes[2] == good.config->routes[2]);
    cr_expect_eq(reading.config->services.size(), good.config->services.size());
    cr_expect_eq(reading.config->services[0].engine->models.size(), 1);
    cr_expect_eq(reading.faults.size(), 4);
    text["routes"][1].erase("host");
    cr_expect_not(read_serving_config(text).config.has_value(), "other routes would get its requests");
}

// Guards against a reason, which is logged, that contains a key.
Test(serving_config_codec, no_reason_contains_a_key)
{
    json const good = tenant("a", {first_key, second_key});
    auto const with = [&good](char const* field, json const& value)
    {
        json changed = good;
        changed[field] = value;
        return changed;
    };
    json const keys = good["api_keys"];
    std::vector<json> const faulty{json::array({good, tenant("b", {second_key})}),
                                   json::array({tenant("a", {first_key, first_key})}),
                                   json::array({with("name", keys)}),
                                   json::array({with("unit", first_key)}),
                                   json::array({with("rate_per_s", first_key)}),
                                   json::array({with("api_keys", json{{first_key, second_key}})}),
                                   json::array({with("api_keys", json::object({{first_key, second_key}}))}),
                                   json::array({with("api_keys", first_key)}),
                                   json::array({tenant("a", {first_key, ""})}),
                                   json::array({tenant("a", {first_key, json::array({second_key})})}),
                                   json::array({first_key}),
                                   json(first_key)};
    for (json const& tenants : faulty)
    {
        std::string const why = field_fault(tenants);
        cr_expect_not(why.empty(), "%s", tenants.dump().c_str());
        cr_expect_not(contains(why, "secret"), "%s", why.c_str());
    }
}

// Guards against credentials that are taken for a key although it is unclear which key the caller means.
Test(request_codec, credentials_are_one_key_in_the_expected_form)
{
    for (std::string const text : {"Bearer k7b2", "bearer k7b2", "BEARER   k7b2", "Bearer k7b2  "})
    {
        cr_expect(credentials_in(text) == (caller_credentials{credentials_form::bearer, "k7b2"}), "%s",
                  text.c_str());
    }
    for (std::string const text :
         {"", "Bearer", "Bearer ", "k7b2", "Basic k7b2", "Bearerk7b2", "Bearer k7b2 x", "Bearer k7b2,x",
          "Bearer\tk7b2", "Bearer k7b2\tx", "Bearer k7b2, Bearer k7b2", "Token Bearer k7b2"})
    {
        cr_expect(credentials_in(text) == (caller_credentials{credentials_form::malformed, {}}), "%s",
                  text.c_str());
    }
    cr_expect(decode_credentials(head_with({})) == (caller_credentials{credentials_form::absent, {}}));
    caller_credentials const repeated{credentials_form::repeated, {}};
    cr_expect(decode_credentials(head_with({{"Authorization", "Bearer k"}, {"authorization", "Bearer k"}})) ==
              repeated);
    cr_expect(decode_credentials(head_with({{"Authorization", "Bearer k"}, {"Authorization", ""}})) ==
              repeated);
}

// Guards against a server that takes a caller's word for its organisation, with and without organisations.
Test(request_codec, callers_do_not_name_their_organisation)
{
    for (std::string const name : {"Tenant", "tenant", "TENANT"})
    {
        caller_request request = decode_request(head_with(
            {{name, "forged"}, {name, "again"}, {"Authorization", "Bearer secret"}, {"X-Kept", "1"}}));
        std::string const without = encode_attempt_head(request, 0, attempt_headers{});
        cr_expect_not(contains(without, "forged") || contains(without, "again"), "%s", without.c_str());
        cr_expect(contains(without, "Authorization: Bearer secret\r\n"), "%s", without.c_str());
        identify(request, "hule930");
        std::string const with = encode_attempt_head(request, 0, attempt_headers{});
        cr_expect(contains(with, "\r\nTenant: hule930\r\n"), "%s", with.c_str());
        cr_expect_not(contains(with, "forged") || contains(with, "secret") || contains(with, "Authorization"),
                      "%s", with.c_str());
        identify(request, "");
        std::string const on_public_route = encode_attempt_head(request, 0, attempt_headers{});
        cr_expect_not(contains(on_public_route, "Tenant") || contains(on_public_route, "secret"), "%s",
                      on_public_route.c_str());
        cr_expect(contains(on_public_route, "X-Kept: 1\r\n"));
    }
}

// Guards against a change for deployments without organisations: the header passes byte by byte, also where
// it would be no key, and all of its lines.
Test(request_codec, without_organisations_credentials_pass_unchanged)
{
    for (std::string const value : {"Bearer secret", "Basic dXNlcjpwYXNz", "bearer  two  spaces", "x"})
    {
        std::string const text =
            encode_attempt_head(decode_request(head_with({{"Authorization", value}})), 0, attempt_headers{});
        cr_expect(contains(text, "\r\nAuthorization: " + value + "\r\n"), "%s", text.c_str());
    }
    std::string const both = encode_attempt_head(
        decode_request(head_with({{"Authorization", "Bearer a"}, {"authorization", "Bearer b"}})), 0,
        attempt_headers{});
    cr_expect(contains(both, "Authorization: Bearer a\r\n") && contains(both, "uthorization: Bearer b\r\n"),
              "%s", both.c_str());
    std::string const of_connection = encode_attempt_head(
        decode_request(head_with({{"Connection", "authorization"}, {"Authorization", "Bearer a"}})), 0,
        attempt_headers{});
    cr_expect_not(contains(of_connection, "Bearer a"), "%s", of_connection.c_str());
}

// Guards against the name of a request that depends on the key: it is written into crash marks, and the keys
// of one organisation would give a crashing request several names.
Test(request_codec, crash_name_depends_on_the_organisation_and_not_on_the_key)
{
    auto const name = [](std::string const& key, std::string const& organisation)
    {
        caller_request request = decode_request(head_with({{"Authorization", "Bearer " + key}}));
        identify(request, organisation);
        return suspects_in(request, "body").request;
    };
    cr_expect_eq(name("secret-1", "a"), name("secret-2", "a"));
    cr_expect_neq(name("secret-1", "a"), name("secret-1", "b"));
    cr_expect_neq(name("secret-1", "a"), name("secret-1", ""));
}

// Guards against work that is charged for what no server runs, or not charged because of an odd header.
Test(request_codec, tokens_are_the_sum_of_two_numbers)
{
    auto const tokens = [](std::string const& text) {
        return decode_request(head_with({{"Token-Usage", text}})).tokens;
    };
    cr_expect(tokens("900,200") == 1100U);
    cr_expect(tokens(" 900 , 200 ") == 1100U);
    cr_expect(tokens("0,0") == 0U);
    cr_expect(tokens("18446744073709551615,1") == 1000000000001U);
    for (char const* const text : {"", "900", "900,", ",200", "900,200,1", "-1,5", "a,b", "1.5,2"})
    {
        cr_expect(!tokens(text).has_value(), "%s", text);
    }
}
