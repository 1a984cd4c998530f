// A server leaves while the holder of the order lease stands still. The other instances, which are in touch,
// must send it nothing more than 2.5 s after the store has acknowledged that it is gone.
#include "review/fleet2/world.hpp"

#include <atomic>
#include <csignal>
#include <memory>

namespace
{

using namespace review;

constexpr milliseconds drain_time{2500};
constexpr milliseconds freeze_time{3900};
constexpr milliseconds watch_cut_after{300};
constexpr milliseconds leave_after{1500};
// "A little longer (at times many seconds)" than drain_time after the acknowledgement.
constexpr milliseconds serves_on{4500};
constexpr unsigned instances = 4;
constexpr unsigned clients_of_instance = 3;

json configuration()
{
    return {{"version", 7},
            {"routes",
             {{{"name", "r-book"},
               {"host", "desk.example"},
               {"path_prefix", "/book/"},
               {"route_kind", "non_idempotent"},
               {"timeout_ms", 2000},
               {"goal_ms", 300},
               {"priority", 1},
               {"service", "order-desk"},
               {"attempts", 1},
               {"sticky", false},
               {"resumable", false}}}},
            {"services", {{{"name", "order-desk"}, {"health_path", "/health"}, {"max_conns", 110}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 1048576},
              {"header_timeout_ms", 5000},
              {"idle_timeout_ms", 20000}}}};
}

int run_case(std::string const& folder_of_case)
{
    record_file record(folder_of_case + "/record.txt");
    bool const trouble = wants_trouble();
    record.line(trouble ? "with the disruption" : "without the disruption");
    temporary_folder const folder;
    object_store store;
    store.write("config", "main", configuration());
    std::vector<std::unique_ptr<plain_server>> servers;
    for (char const* const name : {"i-desk1", "i-desk2", "i-desk3"})
    {
        servers.push_back(std::make_unique<plain_server>(store, name, "order-desk", milliseconds{300}));
    }
    std::vector<std::unique_ptr<edge_process>> edges;
    for (unsigned i = 0; i < instances; ++i)
    {
        edges.push_back(std::make_unique<edge_process>("edge-akl-a-" + std::to_string(i + 1), "akl-a",
                                                       store.address(), folder.path()));
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
    std::string const holder = store.spec_of("siskin-leases", "orders").value("holder", "");
    record.line("lease holder: " + holder);

    std::atomic<bool> stopping{false};
    std::atomic<unsigned> next_id{0};
    std::vector<std::thread> clients;
    edge_process* holding = nullptr;
    for (auto const& each : edges)
    {
        if (each->holder_name() == holder)
        {
            holding = each.get();
            continue;
        }
        for (unsigned i = 0; i < clients_of_instance; ++i)
        {
            clients.emplace_back(
                [&record, &stopping, &next_id, edge = each.get()]
                {
                    while (!stopping)
                    {
                        std::string const id = "b" + std::to_string(++next_id);
                        client_answer const answer =
                            call(edge->front(), "POST", "/book/1",
                                 {{"Host", "desk.example"}, {"Attempt-Id", id}, {"Deadline-Ms", "2000"}},
                                 "visit", milliseconds{3000});
                        record.line(id + " at " + edge->name() + ": " + std::to_string(answer.status) +
                                    " from " + (answer.server.empty() ? "none" : answer.server));
                        std::this_thread::sleep_for(milliseconds{20});
                    }
                });
        }
    }
    if (holding == nullptr)
    {
        record.line("nobody holds the lease");
        stopping = true;
        for (std::thread& each : clients)
        {
            each.join();
        }
        return 2;
    }
    std::this_thread::sleep_for(milliseconds{1500});
    auto const begun = timer::now();
    if (trouble)
    {
        holding->send(SIGSTOP);
        record.line(holding->name() + " stands still");
    }
    std::this_thread::sleep_until(begun + watch_cut_after);
    store.cut_waiting_watches();
    record.line("the store cuts off the watches that wait");
    std::this_thread::sleep_until(begun + leave_after);
    servers[2]->leave();
    auto const left = timer::now();
    record.line("the entry of i-desk3 is removed from the store");
    std::this_thread::sleep_until(begun + freeze_time);
    if (trouble)
    {
        holding->send(SIGCONT);
        record.line(holding->name() + " goes on");
    }
    std::this_thread::sleep_until(left + serves_on);
    servers[2]->exit();
    record.line("i-desk3 ends");
    std::this_thread::sleep_for(milliseconds{2000});
    stopping = true;
    for (std::thread& each : clients)
    {
        each.join();
    }
    unsigned late = 0;
    unsigned lost = 0;
    for (arrival const& each : servers[2]->arrivals())
    {
        bool const is_late = each.at > left + drain_time;
        late += is_late && each.ran ? 1 : 0;
        lost += is_late && each.ran && !each.whole ? 1 : 0;
        record.line("i-desk3 got " + each.id + " at " + std::to_string(record.since(each.at)) + " ms, " +
                    (each.whole ? "answered"
                     : each.ran ? "begun and lost"
                                : "not run") +
                    (is_late ? ", too late" : ""));
    }
    record.line(std::to_string(late) + " requests reached i-desk3 more than " +
                std::to_string(drain_time.count()) + " ms after it had left; " + std::to_string(lost) +
                " of them were lost when it ended");
    return late > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return argc == 2 ? run_case(argv[1]) : 2;
}
