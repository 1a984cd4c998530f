// A configuration lifts the limit of one tenant and takes away a key of another. Later than revoke_ms after
// the store has acknowledged it, no request with that key may run.
#include "review/fleet2/world.hpp"

#include <csignal>
#include <memory>

namespace
{

using namespace review;

constexpr milliseconds revoke_time{5000};
constexpr unsigned instances = 3;
constexpr char const* organisations_line =
    "organisations: { revoke_fail_closed: true, revoke_ms: 5000, quota_window_s: 8, quota_excess: 0.1, "
    "quota_slack: 17000 }";

json tenant(char const* name, std::vector<std::string> const& keys, unsigned rate)
{
    return {{"name", name},  {"api_keys", keys},    {"priority", 1},     {"unit", "token"},
            {"burst", 4000}, {"plain_tokens", 200}, {"rate_per_s", rate}};
}

json configuration(unsigned version, json const& tenants)
{
    return {{"version", version},
            {"routes",
             {{{"name", "r-status"},
               {"host", "linen.example"},
               {"path_prefix", "/status/"},
               {"route_kind", "idempotent"},
               {"timeout_ms", 2000},
               {"goal_ms", 300},
               {"priority", 1},
               {"service", "gestionale"},
               {"attempts", 2},
               {"public", false},
               {"sticky", false},
               {"resumable", false}}}},
            {"services", {{{"name", "gestionale"}, {"health_path", "/health"}, {"max_conns", 450}}}},
            {"tenants", tenants},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 1048576},
              {"header_timeout_ms", 5000},
              {"idle_timeout_ms", 20000}}}};
}

client_answer ask(edge_process const& edge, std::string const& id, std::string const& key)
{
    return call(edge.front(), "GET", "/status/1",
                {{"Host", "linen.example"},
                 {"Attempt-Id", id},
                 {"Deadline-Ms", "2000"},
                 {"Authorization", "Bearer " + key}},
                "", milliseconds{3000});
}

int run_case(std::string const& folder_of_case)
{
    record_file record(folder_of_case + "/record.txt");
    bool const trouble = wants_trouble();
    record.line(trouble ? "with the disruption" : "without the disruption");
    temporary_folder const folder;
    object_store store;
    store.write("config", "main",
                configuration(7, {tenant("alba", {"key-alba-1"}, 4000),
                                  tenant("brera", {"key-brera-1", "key-brera-2"}, 4000)}));
    plain_server first(store, "i-gest1", "gestionale", milliseconds{20});
    plain_server second(store, "i-gest2", "gestionale", milliseconds{20});
    std::vector<std::unique_ptr<edge_process>> edges;
    for (unsigned i = 0; i < instances; ++i)
    {
        edges.push_back(std::make_unique<edge_process>("edge-lom-" + std::to_string(i + 1), "akl-a",
                                                       store.address(), folder.path(), organisations_line));
        edges.back()->start();
    }
    for (auto const& each : edges)
    {
        if (!each->wait_ready(milliseconds{20000}))
        {
            record.line(each->name() + " did not become ready");
            return 2;
        }
    }
    std::this_thread::sleep_for(milliseconds{4000});
    unsigned next = 0;
    auto const ask_all = [&](std::string const& key)
    {
        unsigned served = 0;
        for (auto const& each : edges)
        {
            std::string const id = "s" + std::to_string(++next);
            client_answer const answer = ask(*each, id, key);
            served += answer.status == 200 ? 1 : 0;
            std::string line = id;
            line.append(" with ").append(key).append(" at ").append(each->name()).append(": ");
            record.line(line.append(std::to_string(answer.status)));
        }
        return served;
    };
    if (ask_all("key-alba-1") < instances || ask_all("key-brera-1") < instances)
    {
        record.line("a key is not served before the change");
        return 2;
    }
    // The limit of alba is lifted: "0 or omitted means no limit".
    store.write("config", "main",
                configuration(9, {tenant("alba", {"key-alba-1"}, trouble ? 0 : 4000),
                                  tenant("brera", {"key-brera-2"}, 4000)}));
    auto const acknowledged = timer::now();
    record.line("version 9 is acknowledged: without key-brera-1" +
                std::string(trouble ? ", and alba has rate_per_s 0" : ""));
    unsigned late_sent = next;
    while (timer::now() < acknowledged + milliseconds{15000})
    {
        late_sent = timer::now() < acknowledged + revoke_time ? next : late_sent;
        (void)ask_all("key-brera-1");
        std::this_thread::sleep_for(milliseconds{500});
    }
    (void)ask_all("key-alba-1");
    (void)ask_all("key-brera-2");
    // Only recorded: whether an instance that starts now takes the configuration that is in force.
    edges.front()->send(SIGTERM);
    while (edges.front()->running())
    {
        std::this_thread::sleep_for(milliseconds{20});
    }
    edges.front()->start();
    bool const starts = edges.front()->wait_ready(milliseconds{10000});
    record.line(edges.front()->name() +
                (starts ? " is ready after a restart" : " is not ready 10 s after a restart"));
    unsigned broken = 0;
    for (plain_server* const server : {&first, &second})
    {
        for (arrival const& each : server->arrivals())
        {
            bool const late = each.at > acknowledged + revoke_time && each.tenant == "brera" &&
                              std::stoul(each.id.substr(1)) > late_sent + instances &&
                              std::stoul(each.id.substr(1)) <= next - 2 * instances;
            broken += late && each.ran ? 1 : 0;
            record.line(server->name() + " got " + each.id + " for '" + each.tenant + "' at " +
                        std::to_string(record.since(each.at)) + " ms" + (late ? ", key taken away" : ""));
        }
    }
    record.line(std::to_string(broken) + " requests with key-brera-1 ran that were sent later than " +
                std::to_string(revoke_time.count()) + " ms after it was taken away");
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return argc == 2 ? run_case(argv[1]) : 2;
}
