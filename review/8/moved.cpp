// A route moves to another service while the holder of the order lease stands still and the store cuts off
// the watches that wait. Instances that are in touch must not let the old service run what is sent later than
// config_ms after the acknowledgement.
#include "review/fleet2/world.hpp"

#include <atomic>
#include <csignal>
#include <memory>

namespace
{

using namespace review;

constexpr milliseconds config_time{2500};
constexpr milliseconds freeze_time{6000};
constexpr milliseconds watch_cut_after{2200};
constexpr milliseconds change_after{2250};
constexpr milliseconds judged_until{6000}; ///< After the acknowledgement.
constexpr milliseconds pause_between{6000};
constexpr unsigned instances = 3;
constexpr unsigned rounds = 6;

json configuration(unsigned version, std::string const& service)
{
    json services = json::array();
    for (char const* const name : {"desk-a", "desk-b"})
    {
        services.push_back({{"name", name}, {"health_path", "/health"}, {"max_conns", 110}});
    }
    return {{"version", version},
            {"routes",
             {{{"name", "r-look"},
               {"host", "desk.example"},
               {"path_prefix", "/look/"},
               {"route_kind", "idempotent"},
               {"timeout_ms", 2000},
               {"goal_ms", 300},
               {"priority", 1},
               {"service", service},
               {"attempts", 1},
               {"sticky", false},
               {"resumable", false}}}},
            {"services", services},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 1048576},
              {"header_timeout_ms", 5000},
              {"idle_timeout_ms", 20000}}}};
}

struct fleet
{
    explicit fleet(std::string const& folder)
    {
        store.write("config", "main", configuration(7, "desk-a"));
        for (unsigned i = 0; i < 2; ++i)
        {
            std::string const number = std::to_string(i + 1);
            servers.push_back(
                std::make_unique<plain_server>(store, "i-a" + number, "desk-a", milliseconds{10}));
            servers.push_back(
                std::make_unique<plain_server>(store, "i-b" + number, "desk-b", milliseconds{10}));
        }
        for (unsigned i = 0; i < instances; ++i)
        {
            edges.push_back(std::make_unique<edge_process>("edge-akl-a-" + std::to_string(i + 1), "akl-a",
                                                           store.address(), folder));
            edges.back()->start();
        }
    }

    object_store store;
    std::vector<std::unique_ptr<plain_server>> servers;
    std::vector<std::unique_ptr<edge_process>> edges;
};

// Sends requests to an instance from `from` until `until`. Counts those that the old service has run.
unsigned ask(record_file& record, edge_process const& edge, std::string const& old_prefix,
             std::atomic<unsigned>& next, timer::time_point from, timer::time_point until)
{
    unsigned stale = 0;
    std::this_thread::sleep_until(from);
    while (timer::now() < until)
    {
        std::string const id = "s" + std::to_string(++next);
        long long const sent = record.since(timer::now());
        client_answer const answer = call(
            edge.front(), "GET", "/look/1",
            {{"Host", "desk.example"}, {"Attempt-Id", id}, {"Deadline-Ms", "2000"}}, "", milliseconds{3000});
        bool const is_stale = answer.status == 200 && answer.server.rfind(old_prefix, 0) == 0;
        stale += is_stale ? 1 : 0;
        std::string line = id;
        line.append(" sent at ").append(std::to_string(sent)).append(" ms to ").append(edge.name());
        line.append(": ").append(std::to_string(answer.status)).append(" from ").append(answer.server);
        record.line(line.append(is_stale ? ", the old service" : ""));
        std::this_thread::sleep_for(milliseconds{30});
    }
    return stale;
}

// Returns how many late requests the old service has run; a negative number when nobody holds the lease.
int play_round(record_file& record, fleet& all, unsigned number, bool trouble, std::atomic<unsigned>& next)
{
    bool const to_b = number % 2 == 0;
    std::string const holder = all.store.spec_of("siskin-leases", "orders").value("holder", "");
    edge_process* holding = nullptr;
    for (auto const& each : all.edges)
    {
        holding = each->holder_name() == holder ? each.get() : holding;
    }
    if (holding == nullptr)
    {
        record.line("nobody holds the lease");
        return -1;
    }
    auto const begun = timer::now();
    if (trouble)
    {
        holding->send(SIGSTOP);
        record.line(holding->name() + ", which holds the lease, stands still");
    }
    std::this_thread::sleep_until(begun + watch_cut_after);
    all.store.cut_waiting_watches();
    record.line("the store cuts off the watches that wait");
    std::this_thread::sleep_until(begun + change_after);
    all.store.write("config", "main", configuration(8 + 2 * number, to_b ? "desk-b" : "desk-a"));
    auto const acknowledged = timer::now();
    record.line("a version is acknowledged that moves the route to " +
                std::string(to_b ? "desk-b" : "desk-a"));
    std::atomic<unsigned> stale{0};
    std::vector<std::thread> clients;
    for (auto const& each : all.edges)
    {
        if (each.get() != holding)
        {
            clients.emplace_back(
                [&, edge = each.get()]
                {
                    stale += ask(record, *edge, to_b ? "i-a" : "i-b", next, acknowledged + config_time,
                                 acknowledged + judged_until);
                });
        }
    }
    std::this_thread::sleep_until(begun + freeze_time);
    if (trouble)
    {
        holding->send(SIGCONT);
        record.line(holding->name() + " goes on");
    }
    for (std::thread& each : clients)
    {
        each.join();
    }
    std::this_thread::sleep_for(pause_between);
    return static_cast<int>(stale.load());
}

int run_case(std::string const& folder_of_case)
{
    record_file record(folder_of_case + "/record.txt");
    bool const trouble = wants_trouble();
    record.line(trouble ? "with the disruption" : "without the disruption");
    temporary_folder const folder;
    fleet all(folder.path());
    for (auto const& each : all.edges)
    {
        if (!each->wait_ready(milliseconds{20000}))
        {
            record.line(each->name() + " did not become ready");
            return 2;
        }
    }
    std::this_thread::sleep_for(milliseconds{4000});
    std::atomic<unsigned> next{0};
    int stale = 0;
    for (unsigned i = 0; i < rounds; ++i)
    {
        int const of_round = play_round(record, all, i, trouble, next);
        if (of_round < 0)
        {
            return 2;
        }
        record.line("round " + std::to_string(i + 1) + ": " + std::to_string(of_round) +
                    " requests ran at the old service that were sent later than " +
                    std::to_string(config_time.count()) + " ms after the acknowledgement");
        stale += of_round;
    }
    record.line(std::to_string(stale) + " requests in all");
    return stale > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return argc == 2 ? run_case(argv[1]) : 2;
}
