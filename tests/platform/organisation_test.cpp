#include "tests/adapters/tcp_relay.hpp"
#include "tests/wire/partition_fleet.hpp"
#include "tests/wire/request_checks.hpp"
#include "tests/wire/small_fleet.hpp"

#include <Poco/Net/StreamSocket.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/socket.h>

using namespace siskinusher::standins;

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using steady = std::chrono::steady_clock;

constexpr char const* key_1 = "asnm-secret-1";
constexpr char const* key_2 = "k7b2-secret-2";
constexpr char const* later_key = "pq31-secret-3";
constexpr char const* wrong_key = "wrong-secret-4";
constexpr char const* part_of_all_keys = "secret-";

// Within this time after its acknowledgement a configuration is in force; the settings of edge_child name it.
constexpr milliseconds change_time{2500};
// 401 is final, so that it is given only while the configuration is known to be newer than this.
constexpr milliseconds final_age{1250};
// From this time after the beginning of a cut on, requests go through peers.
constexpr milliseconds contact_time{3000};
// A request that is sent later than this after its key was taken away must not run.
constexpr unsigned revoke_ms = 3000;
constexpr milliseconds revoke_time{revoke_ms};

// The example's configuration with the organisation hule930, which has these keys, and another one. The route
// /public/ is like /again/ but needs no key.
json config_with_keys(std::uint64_t version, std::vector<std::string> const& keys)
{
    json config = example_config(version);
    config["tenants"] = {{{"name", "hule930"}, {"api_keys", keys}},
                         {{"name", "other"}, {"api_keys", {"other-secret-5"}}, {"priority", 1}}};
    json route = config["routes"][1];
    route["name"] = "public";
    route["path_prefix"] = "/public/";
    route["public"] = true;
    config["routes"].push_back(route);
    return config;
}

std::map<std::string, std::string> with_key(std::string const& key)
{
    return {{"Authorization", "Bearer " + key}};
}

int status_of(std::optional<http_answer> const& answer)
{
    return answer ? answer->status : 0;
}

std::string metrics_of(edge_child const& edge)
{
    auto const answer = http_call(edge.peer_address(), "GET", "/metrics");
    cr_assert(answer && answer->status == 200, "no metrics, status %d", status_of(answer));
    return answer->body;
}

void expect_no_key_shown(edge_child& edge)
{
    for (std::string const& text : {edge.log_text(), metrics_of(edge)})
    {
        std::size_t const at = text.find(part_of_all_keys);
        cr_expect_eq(at, std::string::npos, "%s shows a key: %s", edge.process().name().c_str(),
                     at == std::string::npos ? "" : text.substr(at < 150 ? 0 : at - 150, 220).c_str());
    }
}

// The status of a request with two headers that name one valid key.
int status_of_two_keys(edge_child const& edge, std::string const& id)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(edge.caller_address()));
    socket.setReceiveTimeout(Poco::Timespan(5, 0));
    std::string const line = "Authorization: Bearer " + std::string(key_1) + "\r\n";
    std::string const bytes =
        "GET /again/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id + "\r\n" + line + line + "\r\n";
    cr_assert_eq(socket.sendBytes(bytes.data(), static_cast<int>(bytes.size())),
                 static_cast<int>(bytes.size()));
    std::string answer(12, ' '); // "HTTP/1.1 401"
    int const count = socket.receiveBytes(answer.data(), static_cast<int>(answer.size()), MSG_WAITALL);
    return count == 12 ? std::stoi(answer.substr(9)) : 0;
}

/// A request with a key and when its first byte may have been sent at the latest.
struct sent_request
{
    std::string id;
    steady::time_point sent_at;
};

/// Sends requests with one key to an instance, several at a time, until it ends.
class key_caller
{
public:
    key_caller(edge_child const& edge, std::string key, std::string id_prefix)
        : edge_(edge), key_(std::move(key)), id_prefix_(std::move(id_prefix))
    {
        for (int i = 0; i < 4; ++i)
        {
            threads_.emplace_back([this] { run(); });
        }
    }
    ~key_caller() { (void)end(); }
    key_caller(key_caller const&) = delete;
    key_caller& operator=(key_caller const&) = delete;

    std::vector<sent_request> end()
    {
        ending_ = true;
        for (std::thread& each : threads_)
        {
            each.join();
        }
        threads_.clear();
        if (!slow_.empty())
        {
            cr_log_info("slow answers:\n%s", slow_.c_str());
        }
        return sent_;
    }

private:
    void run()
    {
        while (!ending_)
        {
            std::string id;
            {
                std::lock_guard<std::mutex> const lock(mutex_);
                id = id_prefix_ + std::to_string(sent_.size());
                sent_.push_back({id, steady::now()});
            }
            auto const begun = steady::now();
            int const status = status_of(edge_.call("GET", "/again/1", id, with_key(key_)));
            auto const took = std::chrono::duration_cast<milliseconds>(steady::now() - begun);
            if (took > seconds{3})
            {
                std::lock_guard<std::mutex> const lock(mutex_);
                slow_ += id + ": status " + std::to_string(status) + " after " +
                         std::to_string(took.count()) + " ms\n" + log_of(edge_, id);
            }
            std::this_thread::sleep_for(milliseconds{25});
        }
    }

    edge_child const& edge_;
    std::string const key_;
    std::string const id_prefix_;
    std::atomic<bool> ending_{false};
    std::mutex mutex_;
    std::vector<sent_request> sent_;
    std::string slow_; ///< Requests that were answered late, with the lines of the log about them.
    std::vector<std::thread> threads_;
};

/// Three instances with a bound on revoked keys, each of which can be cut off from the store.
class keyed_fleet
{
public:
    explicit keyed_fleet(json const& config = config_with_keys(1, {key_1, key_2}))
    {
        auto const begun = steady::now();
        store.write("config", "main", config);
        for (unsigned i = 0; i < 3; ++i)
        {
            links.push_back(
                std::make_unique<siskinusher::tcp_relay>(Poco::Net::SocketAddress(store.address()).port()));
            edges.push_back(std::make_unique<edge_child>("edge-" + std::to_string(i), links[i]->address(),
                                                         300, 640, 0, revoke_ms));
        }
        for (auto const& edge : edges)
        {
            cr_assert(edge->wait_ready(), "%s", edge->log_text().c_str());
        }
        cr_assert(eventually([this] { return holder() < edges.size(); }), "no lease holder");
        for (std::size_t i = 0; i < edges.size(); ++i)
        {
            bool const follows = eventually(
                [&] {
                    return i == holder() ||
                           edges[i]->log_text().find("event=holder_reached") != std::string::npos;
                });
            cr_assert(follows, "%s", edges[i]->log_text().c_str());
        }
        cr_log_info("the instances were ready after %d ms",
                    static_cast<int>((steady::now() - begun) / milliseconds{1}));
    }

    std::size_t holder() const
    {
        for (std::size_t i = 0; i < edges.size(); ++i)
        {
            std::string const log = edges[i]->log_text();
            std::size_t const gained = log.rfind("event=lease_gained");
            if (gained != std::string::npos && log.find("event=lease_lost", gained) == std::string::npos)
            {
                return i;
            }
        }
        return edges.size();
    }

    int status(std::size_t index, std::string const& key, std::string const& path = "/again/1")
    {
        return status_of(edges[index]->call("GET", path, "s" + std::to_string(++last_id), with_key(key)));
    }

    int public_status(std::size_t index)
    {
        return status_of(edges[index]->call("GET", "/public/1", "s" + std::to_string(++last_id)));
    }

    /// Begins to send requests with the key to each instance.
    std::vector<std::unique_ptr<key_caller>> call_all_with(std::string const& key,
                                                           std::string const& id_prefix)
    {
        std::vector<std::unique_ptr<key_caller>> callers;
        for (std::size_t i = 0; i < edges.size(); ++i)
        {
            std::string const prefix = id_prefix + std::to_string(i) + "-";
            callers.push_back(std::make_unique<key_caller>(*edges[i], key, prefix));
        }
        return callers;
    }

    /// Takes key_1 away; returns when the store has acknowledged it.
    steady::time_point take_key_away()
    {
        store.write("config", "main", config_with_keys(2, {key_2}));
        return steady::now();
    }

    std::map<std::string, unsigned> runs()
    {
        std::map<std::string, unsigned> all = plain_1.runs();
        for (auto const& [id, count] : plain_2.runs())
        {
            all[id] += count;
        }
        return all;
    }

    /// Expects that nothing ran that was sent later than the bound, and that something ran before.
    void expect_bound_kept(std::vector<sent_request> const& sent, steady::time_point acknowledged,
                           bool some_before = true)
    {
        auto const ran = runs();
        unsigned before = 0;
        unsigned late = 0;
        std::string first;
        unsigned sent_late = 0;
        for (sent_request const& each : sent)
        {
            bool const is_late = each.sent_at > acknowledged + revoke_time;
            sent_late += is_late ? 1 : 0;
            if (ran.count(each.id) == 0)
            {
                continue;
            }
            before += is_late ? 0 : 1;
            late += is_late ? 1 : 0;
            first = is_late && first.empty() ? each.id : first;
        }
        cr_log_info("%u ran that were sent before the bound; of %u sent later, %u ran", before, sent_late,
                    late);
        cr_expect_gt(sent_late, 0U, "nothing was sent after the bound");
        cr_expect(before > 0 || !some_before, "nothing ran before the bound");
        cr_expect_eq(late, 0U, "%u of %u sent after the bound ran, first %s", late, sent_late, first.c_str());
    }

    void expect_no_key_shown()
    {
        for (auto const& edge : edges)
        {
            ::expect_no_key_shown(*edge);
        }
    }

    store_standin store;
    backend_standin plain_1{store, "p1", "plain"};
    backend_standin plain_2{store, "p2", "plain"};
    std::vector<std::unique_ptr<siskinusher::tcp_relay>> links;
    std::vector<std::unique_ptr<edge_child>> edges;
    unsigned last_id = 0;
};

} // namespace

// Guards against a server that sees a key, or that takes a caller's word for its organisation; against
// callers without a valid key that are served; and against routes for all that ask for one.
Test(organisation, server_learns_the_organisation_and_never_a_key, .timeout = 60)
{
    keyed_fleet fleet;
    edge_child& edge = *fleet.edges[0];
    auto const seen = [&fleet](std::string const& header)
    { return fleet.plain_1.last_header(header) + fleet.plain_2.last_header(header); };
    auto headers = with_key(key_1);
    headers["Tenant"] = "forged";
    for (unsigned i = 0; i < 8; ++i)
    {
        auto const answer = edge.call("GET", "/again/1", "known" + std::to_string(i), headers);
        cr_expect_eq(status_of(answer), 200);
    }
    std::string const tenants = seen("Tenant");
    cr_expect(tenants == "hule930" || tenants == "hule930hule930", "%s", tenants.c_str());
    cr_expect_eq(seen("Authorization"), "");
    std::vector<std::map<std::string, std::string>> const refused{
        {},
        {{"Tenant", "hule930"}},
        {{"Authorization", "Bearer " + std::string(wrong_key)}},
        {{"Authorization", "Bearer"}},
        {{"Authorization", "Basic " + std::string(key_1)}},
        {{"Authorization", std::string(key_1)}},
        {{"Authorization", "Bearer " + std::string(key_1) + ", Bearer " + key_2}}};
    // An instance that cannot know whether its configuration is the newest answers 503 to an unknown key.
    (void)eventually([&] { return fleet.status(0, wrong_key) == 401; }, change_time);
    for (std::size_t i = 0; i < refused.size(); ++i)
    {
        for (char const* const method : {"GET", "POST"})
        {
            std::string const id = "refused" + std::to_string(i) + method;
            int status = 0;
            (void)eventually(
                [&]
                {
                    status = status_of(edge.call(method, "/again/1", id, refused[i]));
                    return status != 503;
                },
                change_time);
            cr_expect_eq(status, 401, "case %zu %s: %d", i, method, status);
            cr_expect_eq(fleet.runs().count(id), 0, "case %zu %s ran", i, method);
        }
    }
    cr_expect_eq(status_of_two_keys(edge, "refused-two"), 401);
    cr_expect_eq(fleet.runs().count("refused-two"), 0);
    for (unsigned i = 0; i < 8; ++i)
    {
        auto const with = edge.call("GET", "/public/1", "public" + std::to_string(i), headers);
        cr_expect_eq(status_of(with), 200);
        cr_expect_eq(fleet.public_status(0), 200);
    }
    cr_expect_eq(seen("Tenant"), "", "on a public route: %s", seen("Tenant").c_str());
    cr_expect_eq(seen("Authorization"), "");
    std::string const log = edge.log_text();
    cr_expect_neq(log.find("event=request request=known0 "), std::string::npos);
    cr_expect_neq(log.find("organisation=hule930"), std::string::npos, "no line names the organisation");
    fleet.expect_no_key_shown();
}

// Guards against any change for deployments without organisations.
Test(organisation, without_organisations_requests_pass_as_before, .timeout = 60)
{
    small_fleet fleet;
    std::map<std::string, std::string> const headers{{"Authorization", "Basic secret-9"},
                                                     {"Tenant", "forged"}};
    for (unsigned i = 0; i < 8; ++i)
    {
        cr_expect_eq(status_of(fleet.edge.call("GET", "/again/1", "r" + std::to_string(i), headers)), 200);
    }
    for (backend_standin* const server : {&fleet.plain_1, &fleet.plain_2})
    {
        bool const used = server->total_runs() > 0;
        cr_expect_eq(server->last_header("Authorization"), used ? "Basic secret-9" : "");
        cr_expect_eq(server->last_header("Tenant"), "");
    }
    cr_expect_eq(fleet.edge.log_text().find("organisation"), std::string::npos);
    expect_no_key_shown(fleet.edge);
}

// Guards against a new key that is refused after the time for changes, and against a final 401 for it while
// an instance does not know whether its configuration is the newest.
Test(organisation, added_key_works_within_the_time_for_changes, .timeout = 60)
{
    keyed_fleet fleet;
    for (std::size_t i = 0; i < 3; ++i)
    {
        int const before = fleet.status(i, later_key);
        cr_expect(before == 401 || before == 503, "%d", before);
    }
    fleet.store.write("config", "main", config_with_keys(2, {key_1, key_2, later_key}));
    auto const acknowledged = steady::now();
    for (auto now = acknowledged; now < acknowledged + change_time; now = steady::now())
    {
        for (std::size_t i = 0; i < 3; ++i)
        {
            auto const asked = steady::now();
            int const status = fleet.status(i, later_key);
            cr_expect(status != 401 || asked < acknowledged + final_age, "edge-%zu: 401 after %d ms", i,
                      static_cast<int>((asked - acknowledged) / milliseconds{1}));
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
    for (std::size_t i = 0; i < 3; ++i)
    {
        cr_expect_eq(fleet.status(i, later_key), 200, "edge-%zu", i);
    }
    fleet.expect_no_key_shown();
}

// Guards against a key that works after the bound at instances in touch, and against keys that stay valid and
// are refused meanwhile.
Test(organisation, taken_key_does_not_run_later_than_the_bound, .timeout = 90)
{
    keyed_fleet fleet;
    auto const callers = fleet.call_all_with(key_1, "at");
    std::this_thread::sleep_for(seconds{1});
    auto const acknowledged = fleet.take_key_away();
    unsigned refused = 0;
    unsigned asked = 0;
    while (steady::now() < acknowledged + revoke_time + seconds{2})
    {
        for (std::size_t i = 0; i < 3; ++i)
        {
            ++asked;
            refused += fleet.status(i, key_2) == 200 ? 0 : 1;
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
    for (auto const& each : callers)
    {
        fleet.expect_bound_kept(each->end(), acknowledged);
    }
    cr_expect_eq(refused, 0U, "%u of %u requests with a valid key were refused", refused, asked);
    fleet.expect_no_key_shown();
}

// Guards against an instance that takes its configuration for current although neither the store nor a peer
// tells it anything, and against public routes that close with the others.
Test(organisation, taken_key_does_not_run_at_an_instance_that_is_cut_off, .timeout = 90)
{
    keyed_fleet fleet;
    std::size_t const cut = (fleet.holder() + 1) % 3;
    key_caller caller(*fleet.edges[cut], key_1, "cut-");
    std::this_thread::sleep_for(seconds{1});
    fleet.links[cut]->refuse();
    for (std::size_t i = 0; i < 3; ++i)
    {
        if (i != cut)
        {
            fleet.edges[i]->process().send(SIGSTOP); // Nobody answers the instance that is cut off.
        }
    }
    auto const acknowledged = fleet.take_key_away();
    while (steady::now() < acknowledged + revoke_time + seconds{2})
    {
        cr_expect_eq(fleet.public_status(cut), 200, "a public route is closed");
        std::this_thread::sleep_for(milliseconds{200});
    }
    cr_expect_eq(fleet.status(cut, key_2), 503, "a key without a proof is refused for now");
    fleet.expect_bound_kept(caller.end(), acknowledged);
    std::string const log = fleet.edges[cut]->log_text();
    cr_expect_neq(log.find("reason=keys_unproven"), std::string::npos);
    // When it is in touch again, the key stays unknown and others work.
    fleet.links[cut]->accept_again();
    for (auto const& edge : fleet.edges)
    {
        edge->process().send(SIGCONT);
    }
    cr_expect(eventually([&] { return fleet.status(cut, key_2) == 200; }), "a valid key is refused for good");
    cr_expect(eventually([&] { return fleet.status(cut, key_1) == 401; }), "the key that was taken away: %d",
              fleet.status(cut, key_1));
    fleet.expect_no_key_shown();
}

// Guards against instances that prove their configuration to each other while none of them reads the store.
Test(organisation, taken_key_does_not_run_when_all_instances_have_lost_the_store, .timeout = 90)
{
    keyed_fleet fleet;
    std::vector<std::unique_ptr<key_caller>> callers;
    for (std::size_t i = 0; i < 3; ++i)
    {
        callers.push_back(
            std::make_unique<key_caller>(*fleet.edges[i], key_1, "at" + std::to_string(i) + "-"));
    }
    std::this_thread::sleep_for(seconds{1});
    for (auto const& link : fleet.links)
    {
        link->refuse();
    }
    auto const acknowledged = fleet.take_key_away();
    std::this_thread::sleep_for(revoke_time + seconds{3});
    for (std::size_t i = 0; i < 3; ++i)
    {
        cr_expect_eq(fleet.public_status(i), 200, "edge-%zu: a public route is closed", i);
        cr_expect_eq(fleet.status(i, key_2), 503, "edge-%zu: a key without a proof is accepted", i);
        fleet.expect_bound_kept(callers[i]->end(), acknowledged);
    }
    for (auto const& link : fleet.links)
    {
        link->accept_again();
    }
    for (std::size_t i = 0; i < 3; ++i)
    {
        cr_expect(eventually([&] { return fleet.status(i, key_2) == 200; }), "edge-%zu: refused for good", i);
    }
}

namespace
{

// Stops an instance until after the bound, and lets requests arrive meanwhile. It continues with replies that
// were asked for before, or that wait in its connections.
void expect_bound_kept_by_frozen(bool holds_lease)
{
    keyed_fleet fleet;
    std::size_t const frozen = holds_lease ? fleet.holder() : (fleet.holder() + 1) % 3;
    for (unsigned i = 0; i < 4; ++i)
    {
        cr_expect_eq(fleet.status(frozen, key_1), 200);
    }
    fleet.edges[frozen]->process().send(SIGSTOP);
    auto const acknowledged = fleet.take_key_away();
    std::this_thread::sleep_until(acknowledged + revoke_time + milliseconds{300});
    key_caller caller(*fleet.edges[frozen], key_1, "frozen-");
    std::this_thread::sleep_for(seconds{1});
    fleet.edges[frozen]->process().send(SIGCONT);
    auto const continued = steady::now();
    cr_expect(eventually([&] { return fleet.public_status(frozen) == 200; }), "a public route is closed");
    cr_expect(eventually([&] { return fleet.status(frozen, key_2) == 200; }),
              "a valid key is refused for good");
    cr_log_info("a valid key was accepted %d ms after the continuation",
                static_cast<int>((steady::now() - continued) / milliseconds{1}));
    std::this_thread::sleep_for(seconds{1});
    fleet.expect_bound_kept(caller.end(), acknowledged, false);
    fleet.expect_no_key_shown();
}

} // namespace

// Guards against a proof that an instance that was stopped takes for as new as the time of its continuation.
Test(organisation, taken_key_does_not_run_at_an_instance_that_stood_still, .timeout = 90)
{
    expect_bound_kept_by_frozen(false);
}

Test(organisation, taken_key_does_not_run_at_a_holder_that_stood_still, .timeout = 90)
{
    expect_bound_kept_by_frozen(true);
}

// Guards against a key that goes on working because the text that takes it away cannot be used and counts as
// read, and against an instance that starts beside such a text and serves nobody.
Test(organisation, taken_key_does_not_run_beside_a_text_that_cannot_be_used, .timeout = 120)
{
    keyed_fleet fleet;
    auto const callers = fleet.call_all_with(key_1, "text");
    std::this_thread::sleep_for(seconds{1});
    json text = config_with_keys(2, {key_2});
    text["routes"].push_back(7); // It is not known which requests this route is for.
    fleet.store.write("config", "main", text);
    auto const acknowledged = steady::now();
    while (steady::now() < acknowledged + revoke_time + seconds{2})
    {
        for (std::size_t i = 0; i < 3; ++i)
        {
            cr_expect_eq(fleet.public_status(i), 200, "edge-%zu: a public route is closed", i);
        }
        std::this_thread::sleep_for(milliseconds{200});
    }
    for (auto const& each : callers)
    {
        fleet.expect_bound_kept(each->end(), acknowledged);
    }
    std::size_t const restarted = (fleet.holder() + 1) % 3;
    edge_child& edge = *fleet.edges[restarted];
    edge.process().send(SIGKILL);
    cr_assert(edge.process().wait(seconds{5}));
    edge.start();
    cr_expect(edge.wait_ready(), "%s", edge.log_text().c_str());
    cr_expect_eq(fleet.public_status(restarted), 200, "it does not know the configuration in force");
    cr_expect_eq(fleet.status(restarted, key_1), 503, "a key without a proof is refused for now");
    fleet.store.write("config", "main", config_with_keys(3, {key_2}));
    for (std::size_t i = 0; i < 3; ++i)
    {
        cr_expect(eventually([&] { return fleet.status(i, key_2) == 200; }, change_time), "edge-%zu", i);
        cr_expect_eq(fleet.status(i, key_1), 401, "edge-%zu", i);
    }
    fleet.expect_no_key_shown();
}

// Guards against a configuration that is ignored as a whole because one part cannot be read, or because a
// limit was lifted and its burst was left: keys that it takes away went on working.
Test(organisation, part_that_cannot_be_read_harms_itself_alone, .timeout = 60)
{
    keyed_fleet fleet;
    json text = config_with_keys(2, {key_2});
    text["tenants"][0]["rate_per_s"] = 0;
    text["tenants"][0]["burst"] = 5;
    text["tenants"][1]["unit"] = "unknown";
    json route = text["routes"][0];
    route["name"] = "odd";
    route["path_prefix"] = "/again/odd/";
    route["route_kind"] = "unknown";
    text["routes"].push_back(route);
    fleet.store.write("config", "main", text);
    for (std::size_t i = 0; i < 3; ++i)
    {
        cr_expect(eventually([&] { return fleet.status(i, key_1) == 401; }, change_time), "edge-%zu", i);
        cr_expect_eq(fleet.status(i, key_2), 200, "edge-%zu: an organisation without a limit", i);
        cr_expect_eq(fleet.status(i, "other-secret-5"), 503, "edge-%zu: its limit cannot be read", i);
        auto const asked = steady::now();
        cr_expect_eq(fleet.status(i, key_2, "/again/odd/1"), 503, "edge-%zu: its service is not known", i);
        cr_expect(steady::now() - asked < milliseconds{500}, "edge-%zu: it is refused at once", i);
    }
    fleet.expect_no_key_shown();
}

// Guards against a key that works again because the store shows an older configuration to an instance that
// has just started, while its peers know the later one.
Test(organisation, taken_key_does_not_run_after_a_start_with_an_older_copy, .timeout = 120)
{
    keyed_fleet fleet;
    fleet.store.keep_copy();
    auto const acknowledged = fleet.take_key_away();
    for (std::size_t i = 0; i < 3; ++i)
    {
        cr_assert(eventually([&] { return fleet.status(i, key_1) == 401; }, change_time + seconds{1}),
                  "edge-%zu", i);
    }
    std::this_thread::sleep_until(acknowledged + revoke_time);
    fleet.store.set_mode(store_standin::mode::silent);
    std::this_thread::sleep_for(seconds{1});
    fleet.store.restore();
    fleet.store.set_mode(store_standin::mode::up);
    for (std::size_t const restarted : {0U, 1U})
    {
        edge_child& edge = *fleet.edges[restarted];
        edge.process().send(SIGKILL);
        cr_assert(edge.process().wait(seconds{5}));
        edge.start();
        key_caller caller(edge, key_1, "start" + std::to_string(restarted) + "-");
        cr_expect(edge.wait_ready(), "%s", edge.log_text().c_str());
        cr_expect(eventually([&] { return fleet.status(restarted, key_2) == 200; }),
                  "a valid key is refused for good: %s", edge.log_text().c_str());
        std::this_thread::sleep_for(seconds{2});
        fleet.expect_bound_kept(caller.end(), acknowledged, false);
    }
    fleet.expect_no_key_shown();
}

// Guards against a key that reaches a server with the second attempt of a request that was accepted before
// organisations were configured.
Test(organisation, request_from_before_organisations_shows_no_key_after, .timeout = 60)
{
    small_fleet fleet;
    fleet.plain_1.set_fault(backend_fault::rejects_late);
    fleet.plain_2.set_fault(backend_fault::rejects_late);
    std::thread caller([&fleet] { (void)fleet.edge.call("GET", "/again/1", "early", with_key(key_1)); });
    bool const begun =
        eventually([&] { return fleet.plain_1.arrivals().size() + fleet.plain_2.arrivals().size() > 0; });
    fleet.store.write("config", "main", config_with_keys(2, {key_1}));
    caller.join();
    cr_assert(begun);
    std::string const log = fleet.edge.log_text();
    std::size_t const in_force = log.find("event=config_in_force version=2");
    std::size_t const second = log.find("event=attempt request=early", log.find("request=early") + 1);
    cr_assert(in_force != std::string::npos && second != std::string::npos && in_force < second,
              "no attempt followed the configuration:\n%s", log.c_str());
    for (backend_standin* const server : {&fleet.plain_1, &fleet.plain_2})
    {
        bool const was_first = server->last_header("Authorization") == "Bearer " + std::string(key_1);
        cr_log_info("%s saw '%s'", server->name().c_str(), server->last_header("Authorization").c_str());
        cr_expect(!was_first || server->arrivals().size() == 1U, "%s", log.c_str());
    }
    bool const both = !fleet.plain_1.last_header("Authorization").empty() &&
                      !fleet.plain_2.last_header("Authorization").empty();
    cr_expect_not(both, "the server of the second attempt saw the key\n%s", log.c_str());
}

// Guards against a request that loses its organisation, or shows its key, when another instance sends it.
Test(organisation, request_that_a_peer_sends_keeps_its_organisation, .timeout = 120)
{
    partition_fleet fleet(3, 640, revoke_ms);
    fleet.store().write("config", "main", config_with_keys(2, {key_1, key_2}));
    std::size_t const cut = (fleet.holder() + 1) % 3;
    for (std::size_t i = 0; i < 3; ++i)
    {
        auto const served = [&]
        {
            return status_of(fleet.edge(i).call("GET", "/again/1", "warm", with_key(key_1))) == 200 &&
                   status_of(fleet.edge(i).call("GET", "/again/1", "warm")) == 401;
        };
        cr_assert(eventually(served), "edge %zu does not follow", i);
    }
    fleet.set_headers(with_key(key_1));
    fleet.cut_off(cut, siskinusher::partition::reset);
    (void)fleet.send_for(cut, contact_time);
    unsigned served = 0;
    unsigned last = 0;
    bool const passed_on = eventually(
        [&]
        {
            std::string const id = "passed" + std::to_string(++last);
            served += status_of(fleet.edge(cut).call("GET", "/again/1", id, with_key(key_1))) == 200 ? 1 : 0;
            return fleet.has_noticed_cut(cut) && served >= 10;
        });
    cr_assert(passed_on, "%u served\n%s", served, fleet.log_of_request("passed").c_str());
    // Both instances write their last line of the request after its answer, by a thread of the log.
    std::string const final_lines = "event=request request=passed" + std::to_string(last) + " ";
    bool const written = eventually(
        [&]
        {
            std::size_t instances = 0;
            for (std::size_t i = 0; i < fleet.instances(); ++i)
            {
                instances += fleet.edge(i).log_text().find(final_lines) != std::string::npos ? 1 : 0;
            }
            return instances == 2;
        });
    std::string const log = fleet.log_of_request("passed" + std::to_string(last));
    cr_expect(written, "%s", log.c_str());
    cr_expect_neq(log.find("via_peer=true"), std::string::npos, "%s", log.c_str());
    unsigned with_name = 0;
    for (std::size_t i = 0; i < fleet.servers(); ++i)
    {
        std::string const tenant = fleet.server(i).last_header("Tenant");
        with_name += tenant == "hule930" ? 1 : 0;
        cr_expect(tenant.empty() || tenant == "hule930", "%s", tenant.c_str());
        cr_expect_eq(fleet.server(i).last_header("Authorization"), "");
    }
    cr_expect_gt(with_name, 0U);
    // Both instances name the organisation.
    std::size_t lines = 0;
    for (std::size_t i = 0; i < fleet.instances(); ++i)
    {
        std::string const text = fleet.edge(i).log_text();
        std::size_t const at = text.find(final_lines);
        bool const names =
            at != std::string::npos &&
            text.substr(at, text.find('\n', at) - at).find("organisation=hule930") != std::string::npos;
        lines += names ? 1 : 0;
    }
    cr_expect_eq(lines, 2U, "%s", log.c_str());
    // A public route through a peer has no organisation, and a wrong key goes nowhere.
    cr_expect_eq(status_of(fleet.edge(cut).call("GET", "/public/1", "public1", with_key(key_1))), 200);
    int const wrong = status_of(fleet.edge(cut).call("GET", "/again/1", "wrong1", with_key(wrong_key)));
    cr_expect(wrong == 401 || wrong == 503, "%d", wrong);
    cr_expect_eq(fleet.runs().count("wrong1"), 0);
    for (std::size_t i = 0; i < fleet.instances(); ++i)
    {
        expect_no_key_shown(fleet.edge(i));
    }
}

// Guards against callers with wrong keys that are told to come back by instances in touch: each of them would
// send its request again and again.
Test(organisation, wrong_key_is_refused_for_good_at_instances_in_touch, .timeout = 60)
{
    keyed_fleet fleet;
    std::this_thread::sleep_for(seconds{1}); // The holder has renewed its lease.
    std::vector<unsigned> to_come_back(3);
    std::vector<std::uint64_t> oldest(3);
    unsigned asked = 0;
    for (auto const end = steady::now() + seconds{5}; steady::now() < end; ++asked)
    {
        for (std::size_t i = 0; i < 3; ++i)
        {
            int const status = fleet.status(i, wrong_key);
            cr_expect(status == 401 || status == 503, "%d", status);
            to_come_back[i] += status == 503 ? 1 : 0;
            std::string const metrics = metrics_of(*fleet.edges[i]);
            std::string const name = "\nsiskin_config_proof_age_ms ";
            std::size_t const at = metrics.find(name);
            cr_assert_neq(at, std::string::npos, "%s", metrics.c_str());
            oldest[i] = std::max<std::uint64_t>(oldest[i], std::stoull(metrics.substr(at + name.size())));
        }
        std::this_thread::sleep_for(milliseconds{30});
    }
    for (std::size_t i = 0; i < 3; ++i)
    {
        cr_log_info("edge-%zu: %u of %u asked to come back, oldest proof %u ms", i, to_come_back[i], asked,
                    static_cast<unsigned>(oldest[i]));
        cr_expect_eq(to_come_back[i], 0U, "edge-%zu: %u of %u", i, to_come_back[i], asked);
    }
}
