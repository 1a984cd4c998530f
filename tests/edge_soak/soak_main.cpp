// Guards against broken guarantees of siskin-edge when its processes, the object store, the backend servers
// or the connections between them fail while callers send requests.
#include "core/random_source.hpp"
#include "tests/adapters/tcp_relay.hpp"
#include "tests/wire/backend_standin.hpp"
#include "tests/wire/edge_child.hpp"
#include "tests/wire/store_standin.hpp"

#include <gflags/gflags.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint32(seeds, 1, "number of seeds, run one after the other");
DEFINE_uint32(seconds, 20, "time in seconds during which faults are injected, for each seed");
DEFINE_uint32(instances, 3, "number of siskin-edge processes");

namespace siskinusher::standins
{

namespace
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned holder_gap_ms = 1000;
// Tolerance in the gap between the orders of two lease holders: an order may still be in transit when its
// sender loses the lease, because SIGSTOP can stop the sender just before the write.
constexpr milliseconds order_gap_tolerance{50};
// An instance that claims the lease allows for orders that are in transit for up to 300 ms in both directions
// together, so the relays must not delay them for longer.
constexpr milliseconds longest_link_delay{120};
constexpr seconds settle_time{12};

/// The result of one request as its caller sees it.
struct caller_record
{
    bool at_most_once = false; ///< The request must not run twice.
    int status = 0;            ///< HTTP status; 0 if no answer arrived.
};

std::uint16_t port_of(std::string const& address)
{
    return static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
}

/// One run of a seed: sends requests, injects faults and checks the guarantees.
class soak_run
{
public:
    explicit soak_run(std::uint64_t seed) : seed_(seed), faults_(seed)
    {
        store_.write("config", "main", example_config(1));
        for (auto const& backend : backends_)
        {
            backend_links_.push_back(std::make_unique<tcp_relay>(port_of(backend->address())));
            backend->publish_address(backend_links_.back()->address());
        }
        for (unsigned i = 0; i < FLAGS_instances; ++i)
        {
            store_links_.push_back(std::make_unique<tcp_relay>(port_of(store_.address())));
            edges_.push_back(std::make_unique<edge_child>("edge-" + std::to_string(i),
                                                          store_links_.back()->address(), holder_gap_ms));
        }
    }

    bool run()
    {
        for (auto const& edge : edges_)
        {
            check(edge->wait_ready(), "an instance did not become ready at the start");
        }
        std::vector<std::thread> callers;
        for (unsigned i = 0; i < 4; ++i)
        {
            callers.emplace_back([this, i] { send_requests(i); });
        }
        auto const end = clock::now() + seconds{FLAGS_seconds};
        while (clock::now() < end && ok_)
        {
            inject_fault();
            std::this_thread::sleep_for(milliseconds{100 + faults_.below(900)});
        }
        heal();
        check_recovery();
        stopping_ = true;
        for (std::thread& caller : callers)
        {
            caller.join();
        }
        check_guarantees();
        std::printf("seed %lu: %s, %zu requests, %u served\n", static_cast<unsigned long>(seed_),
                    ok_ ? "ok" : "FAILED", records_.size(), served_.load());
        return ok_;
    }

private:
    void check(bool holds, std::string const& what)
    {
        if (!holds)
        {
            std::printf("seed %lu: %s\n", static_cast<unsigned long>(seed_), what.c_str());
            ok_ = false;
        }
    }

    void inject_fault()
    {
        auto const index = static_cast<std::size_t>(faults_.below(edges_.size()));
        edge_child& edge = *edges_[index];
        switch (faults_.below(13))
        {
        case 0:
            record_fault("kill", index);
            edge.process().kill();
            edge.start();
            break;
        case 1:
            record_fault("pause", index);
            edge.process().send(SIGSTOP);
            std::this_thread::sleep_for(milliseconds{faults_.below(4000)});
            edge.process().send(SIGCONT);
            break;
        case 2:
            record_fault("term", index);
            edge.process().send(SIGTERM);
            check(edge.process().wait(seconds{10}), "a process did not end within 10 s of SIGTERM");
            edge.start();
            break;
        case 3:
            record_fault("hup", index);
            edge.process().send(SIGHUP);
            break;
        case 4:
            record_fault("store", index);
            store_.set_mode(faults_.below(2) == 0 ? store_standin::mode::busy : store_standin::mode::silent);
            std::this_thread::sleep_for(milliseconds{faults_.below(3000)});
            store_.set_mode(store_standin::mode::up);
            break;
        case 5:
            record_fault("history", index);
            store_.drop_history();
            store_.write("config", "main", example_config(++config_version_));
            break;
        case 6:
            record_fault("drain", index);
            backends_[index % backends_.size()]->write_entry("draining");
            std::this_thread::sleep_for(milliseconds{500});
            backends_[index % backends_.size()]->write_entry("ready");
            break;
        case 7:
            // The connections to the store that are open now stay silent for good, while new ones work.
            record_fault("silence", index);
            store_links_[index]->silence();
            break;
        case 8:
            inject_link_fault("storelink", *store_links_[index], index);
            break;
        case 9:
        case 10:
        {
            std::size_t const backend = faults_.below(backend_links_.size());
            inject_link_fault("link", *backend_links_[backend], backend);
            break;
        }
        default:
            record_fault("backend", index);
            backends_[faults_.below(backends_.size())]->set_fault(
                static_cast<backend_fault>(faults_.below(6)));
            break;
        }
    }

    // Delays a link, resets its connections, or drops what one side sends. Half of these faults last for less
    // than 3 s; the others last while further faults are injected.
    void inject_link_fault(char const* name, tcp_relay& link, std::size_t index)
    {
        auto const kind = faults_.below(4);
        record_fault((std::string(name) + "-" + std::to_string(kind) + "-").c_str(), index);
        switch (kind)
        {
        case 0:
            link.delay(longest_link_delay);
            break;
        case 1:
            link.reset();
            break;
        default:
            link.cut(kind == 2);
            break;
        }
        if (faults_.below(2) == 0)
        {
            std::this_thread::sleep_for(milliseconds{faults_.below(3000)});
            link.heal();
        }
    }

    void record_fault(char const* fault, std::size_t index)
    {
        fault_history_ += std::string(fault) + std::to_string(index) + " ";
    }

    void heal()
    {
        store_.set_mode(store_standin::mode::up);
        for (auto const* const links : {&store_links_, &backend_links_})
        {
            for (auto const& link : *links)
            {
                link->heal();
            }
        }
        for (auto const& backend : backends_)
        {
            backend->set_fault(backend_fault::none);
            backend->write_entry("ready");
        }
    }

    // Checks that every instance serves every kind of request again within settle_time after the last fault.
    void check_recovery()
    {
        auto const limit = clock::now() + settle_time;
        for (auto const& edge : edges_)
        {
            for (char const* const path : {"/once/s", "/again/s", "/stream/s"})
            {
                bool served = false;
                while (!served && clock::now() < limit)
                {
                    auto const answer = send(*edge, path, std::string(path) == "/stream/s" ? "m3" : "");
                    served = answer && answer->status == 200;
                }
                check(served,
                      std::string(path) + " was not served after the faults ended; " + fault_history_);
            }
        }
    }

    void send_requests(unsigned caller)
    {
        random_source random(seed_ * 1000 + caller);
        while (!stopping_)
        {
            edge_child const& edge = *edges_[random.below(edges_.size())];
            char const* const paths[] = {"/once/1", "/again/1", "/stream/1", "/stream-once/1"};
            auto const kind = random.below(4);
            (void)send(edge, paths[kind], kind >= 2 ? "m" + std::to_string(random.below(6)) : "");
            std::this_thread::sleep_for(milliseconds{random.below(30)});
        }
    }

    std::optional<http_answer> send(edge_child const& edge, std::string const& path, std::string const& model)
    {
        std::string const id = "s" + std::to_string(seed_) + "-" + std::to_string(++next_id_);
        bool const stream = !model.empty();
        bool const get = path.rfind("/again/", 0) == 0;
        std::map<std::string, std::string> headers{{"Deadline-Ms", "4000"}};
        if (stream)
        {
            headers["Model"] = model;
        }
        auto answer = edge.call(get ? "GET" : "POST", path, id, headers);
        int const status = answer ? answer->status : 0;
        bool const at_most_once = path.rfind("/once/", 0) == 0 || path.rfind("/stream-once/", 0) == 0;
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            records_[id] = {at_most_once, status};
        }
        if (status == 200)
        {
            ++served_;
            check(stream ? events_in_order(answer->body, id)
                         : !answer->whole || answer->body == "body of " + id,
                  id + " was answered with a wrong body: " + answer->body);
        }
        return answer;
    }

    // Event ids must count up from one, and the data of each event must be the id of this request.
    static bool events_in_order(std::string const& body, std::string const& id)
    {
        unsigned expected = 1;
        for (std::size_t at = body.find("id: "); at != std::string::npos; at = body.find("id: ", at + 1))
        {
            std::string const event = "id: " + std::to_string(expected++) + "\ndata: " + id + "\n\n";
            if (body.compare(at, event.size(), event) != 0)
            {
                return false;
            }
        }
        return true;
    }

    void check_guarantees()
    {
        std::map<std::string, unsigned> runs;
        for (auto const& backend : backends_)
        {
            for (auto const& [id, count] : backend->runs())
            {
                runs[id] += count;
            }
            check(!backend->exceeded_memory(), "an engine was ordered to load more than its memory holds");
            check_order_sequence(backend->orders());
        }
        for (auto const& [id, record] : records_)
        {
            unsigned const count = runs[id];
            check(!record.at_most_once || count <= 1,
                  id + " ran " + std::to_string(count) + " times; " + fault_history_);
            check(!record.at_most_once || record.status != 503 || count == 0,
                  id + " was refused with 503 but has run; " + fault_history_);
            check(record.status != 404 && record.status != 400,
                  id + " got " + std::to_string(record.status) + "; " + fault_history_);
        }
        check(served_ > 0, "no request was served");
    }

    // Orders of different lease holders must be at least holder_gap_ms apart, less order_gap_tolerance, and
    // the epoch must never decrease.
    void check_order_sequence(std::vector<received_order> const& orders)
    {
        for (std::size_t i = 1; i < orders.size(); ++i)
        {
            received_order const& before = orders[i - 1];
            received_order const& after = orders[i];
            bool const far_apart = after.at - before.at >= milliseconds{holder_gap_ms} - order_gap_tolerance;
            check(before.holder == after.holder || far_apart,
                  "orders of two lease holders are too close together; " + fault_history_);
            check(after.epoch >= before.epoch,
                  "an order has a lower epoch than an earlier one; " + fault_history_);
        }
    }

    std::uint64_t const seed_;
    random_source faults_;
    store_standin store_;
    std::vector<std::unique_ptr<backend_standin>> backends_ = make_backends(store_);
    std::vector<std::unique_ptr<tcp_relay>> backend_links_; ///< In front of each server.
    std::vector<std::unique_ptr<tcp_relay>> store_links_;   ///< Between each instance and the store.
    std::vector<std::unique_ptr<edge_child>> edges_;
    std::mutex mutex_;
    std::map<std::string, caller_record> records_;
    std::atomic<std::uint64_t> next_id_{0};
    std::atomic<unsigned> served_{0};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> ok_{true};
    std::uint64_t config_version_ = 1;
    std::string fault_history_;

    static std::vector<std::unique_ptr<backend_standin>> make_backends(store_standin& store)
    {
        std::vector<std::unique_ptr<backend_standin>> backends;
        backends.push_back(std::make_unique<backend_standin>(store, "p1", "plain"));
        backends.push_back(std::make_unique<backend_standin>(store, "p2", "plain"));
        for (int i = 0; i < 3; ++i)
        {
            backends.push_back(std::make_unique<backend_standin>(
                store, "e" + std::to_string(i), "llm", std::set<std::string>{"m" + std::to_string(i)}));
        }
        return backends;
    }
};

} // namespace

} // namespace siskinusher::standins

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "runs siskin-edge processes under randomised faults; exits with 1 when a guarantee is broken");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    bool ok = true;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed)
    {
        siskinusher::standins::soak_run run(seed);
        ok = run.run() && ok;
        std::fflush(stdout);
    }
    return ok ? 0 : 1;
}
