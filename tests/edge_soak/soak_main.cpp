// Guards against broken guarantees of siskin-edge when its processes, the object store, the backend servers
// or the connections between them fail or are slow, and the configuration changes, while callers send
// requests.
#include "core/random_source.hpp"
#include "tests/edge_soak/answer_judge.hpp"
#include "tests/edge_soak/organisation_judge.hpp"
#include "tests/wire/fault_spans.hpp"
#include "tests/wire/faulty_backend.hpp"
#include "tests/wire/faulty_edge.hpp"
#include "tests/wire/operator_standin.hpp"
#include "tests/wire/store_standin.hpp"
#include "tests/wire/wire_caller.hpp"

#include <gflags/gflags.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint32(seeds, 1, "number of seeds, run one after the other");
DEFINE_uint32(seconds, 20, "time in seconds during which faults are injected, for each seed");
DEFINE_uint32(instances, 3, "number of siskin-edge processes");
DEFINE_uint32(callers, 12, "number of callers that send one request after the other");
DEFINE_bool(restorations, false, "lets the store go back to older copies too");
DEFINE_bool(repetitions, false,
            "lets callers repeat what must run once after an answer or a reset that says it has not run, "
            "sometimes under the same id, and servers answer 503 to what they have run, write copies of "
            "earlier answers, and start again under another name at the same address");
DEFINE_bool(organisations, false,
            "configures organisations with keys and limits, which change in the course of the run");
DEFINE_string(logs, "", "folder for the logs of all processes of a seed that fails; empty to drop them");

namespace siskinusher::standins
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned holder_gap_ms = 1000;
// Tolerance in the gap between the orders of two lease holders: an order may still be in transit when its
// sender loses the lease, because SIGSTOP can stop the sender just before the write.
constexpr milliseconds order_gap_tolerance{50};
constexpr seconds settle_time{12};
constexpr unsigned attempts_of_caller = 3;

// True when the caller may send a request again that must run once.
bool looks_unread(caller_answer const& answer)
{
    return is_promise(answer.status) || answer.reset;
}

/// One run of a seed: sends requests, injects faults and checks the guarantees.
class soak_run
{
public:
    explicit soak_run(std::uint64_t seed)
        : seed_(seed), random_(seed), restoration_random_(seed), repetition_random_(seed), name_random_(seed),
          same_id_random_(seed), configs_(store_, seed, FLAGS_organisations)
    {
        add_backend("p1", "plain", {});
        add_backend("p2", "plain", {});
        add_backend("p3", "other", {});
        for (std::string const number : {"0", "1", "2"})
        {
            add_backend("e" + number, "llm", {"m" + number});
        }
        for (unsigned i = 0; i < FLAGS_instances; ++i)
        {
            instances_.push_back(std::make_unique<faulty_edge>(i, store_.address(), holder_gap_ms, faults_,
                                                               FLAGS_organisations ? revoke_time.count() : 0,
                                                               quota_settings()));
        }
    }

    bool run()
    {
        for (auto const& instance : instances_)
        {
            check(instance->edge().wait_ready(), "an instance did not become ready at the start");
        }
        std::thread operations([this] { change_configs_and_load(); });
        std::vector<std::thread> callers;
        for (unsigned i = 0; i < FLAGS_callers; ++i)
        {
            callers.emplace_back([this, i] { send_requests(i); });
        }
        auto const end = fault_clock::now() + seconds{FLAGS_seconds};
        while (fault_clock::now() < end && ok_)
        {
            inject_fault();
            if (FLAGS_restorations)
            {
                restore_store();
            }
            if (FLAGS_repetitions)
            {
                inject_false_refusal();
                change_name();
            }
            end_process_faults(); // Before the wait, in which a new process installs its signal handlers.
            std::this_thread::sleep_for(milliseconds{100 + random_.below(900)});
        }
        healing_ = true;
        operations.join();
        heal();
        check_recovery();
        stopping_ = true;
        for (std::thread& caller : callers)
        {
            caller.join();
        }
        if (FLAGS_repetitions)
        {
            check_repetitions();
        }
        check_guarantees();
        std::printf("seed %lu: %s, %zu requests, %u served\n", seed_, ok_ ? "ok" : "FAILED", records_.size(),
                    served_.load());
        return ok_;
    }

private:
    void check(bool holds, std::string const& what)
    {
        if (!holds)
        {
            std::printf("seed %lu: %s\n", seed_, what.c_str());
            ok_ = false;
        }
    }

    void add_backend(std::string const& name, std::string const& service, std::set<std::string> models)
    {
        // A seed of its own for each server, so that other faults of a run stay the same.
        std::optional<std::uint64_t> const copy_seed =
            FLAGS_repetitions ? std::optional(seed_ * 1000 + backends_.size()) : std::nullopt;
        backends_.push_back(
            std::make_unique<faulty_backend>(store_, faults_, name, service, std::move(models), copy_seed));
    }

    // Counts the faults of --repetitions, without which a run would show nothing about them.
    void check_repetitions()
    {
        unsigned copies = 0;
        unsigned for_same_id = 0;
        for (auto const& each : backends_)
        {
            copies += each->copier()->copies();
            for_same_id += each->copier()->copies_for_same_id();
        }
        check(copies > 0, "no server has written an answer too many");
        std::printf("seed %lu: %u sent again under the same id, %u answers too many, %u of them before a "
                    "request with the same id\n",
                    seed_, sent_with_same_id_.load(), copies, for_same_id);
    }

    // Lets a server start again under another name at its address, or removes the entry of its old name.
    void change_name()
    {
        if (name_random_.below(2) == 0)
        {
            faulty_backend& backend = *backends_[name_random_.below(backends_.size())];
            record_fault("name " + backend.server().name());
            backend.change_name();
        }
    }

    // Keeps a copy now and then, and goes back to it. The operators and the servers then write again.
    void restore_store()
    {
        if (restoration_random_.below(3) != 0)
        {
            return;
        }
        if (restoration_random_.below(2) == 0)
        {
            store_.keep_copy();
            has_copy_ = true;
            return;
        }
        if (!has_copy_)
        {
            return;
        }
        record_fault("restore");
        faults_.begin("store");
        store_.set_mode(store_standin::mode::silent);
        std::this_thread::sleep_for(milliseconds{restoration_random_.below(2000)});
        store_.restore();
        configs_.write_again();
        for (auto const& each : backends_)
        {
            each->server().write_entry();
        }
        store_.set_mode(store_standin::mode::up);
        faults_.end("store");
    }

    // Makes a server refuse what it has run, or ends a process that has not read what its callers have sent.
    void inject_false_refusal()
    {
        if (repetition_random_.below(2) == 0)
        {
            faulty_backend& backend = *backends_[repetition_random_.below(backends_.size())];
            record_fault("backend " + backend.server().name() + "=unproven_refusal");
            backend.set_fault(backend_fault::unproven_refusal);
            return;
        }
        faulty_edge& instance = *instances_[repetition_random_.below(instances_.size())];
        if (instance.busy())
        {
            return;
        }
        record_fault(instance.span_name("suspend and kill"));
        instance.suspend(milliseconds{0});
        std::this_thread::sleep_for(milliseconds{repetition_random_.below(300)});
        instance.kill();
    }

    void inject_fault()
    {
        faulty_edge& instance = *instances_[random_.below(instances_.size())];
        faulty_backend& backend = *backends_[random_.below(backends_.size())];
        auto const fault = random_.below(14);
        auto const kind = random_.below(6);
        if (fault < 5 && instance.busy())
        {
            return;
        }
        switch (fault)
        {
        case 0:
            record_fault(instance.span_name("kill"));
            instance.kill();
            break;
        case 1:
            record_fault(instance.span_name("suspend"));
            instance.suspend(milliseconds{random_.below(4000)});
            break;
        case 2:
        case 3:
            record_fault(instance.span_name("term"));
            instance.stop();
            break;
        case 4:
            record_fault(instance.span_name("hup"));
            instance.reload();
            break;
        case 5:
            record_fault("store");
            faults_.begin("store");
            store_.set_mode(random_.below(2) == 0 ? store_standin::mode::busy : store_standin::mode::silent);
            std::this_thread::sleep_for(milliseconds{random_.below(3000)});
            store_.set_mode(store_standin::mode::up);
            faults_.end("store");
            break;
        case 6:
            record_fault("history");
            store_.drop_history();
            configs_.write_next();
            break;
        case 7:
            record_fault("drain " + backend.server().name());
            backend.server().write_entry("draining");
            std::this_thread::sleep_for(milliseconds{500});
            if (FLAGS_restorations)
            {
                // On the platform an announced end is final. Over a restoration, instances rely on that.
                backend.server().start_again();
                break;
            }
            backend.server().write_entry("ready");
            break;
        case 8:
            record_fault(instance.span_name("silence"));
            instance.silence_store_link();
            break;
        case 9:
            inject_link_fault(instance.store_link());
            break;
        case 10:
        case 11:
            inject_link_fault(backend.link());
            break;
        default:
            record_fault("backend " + backend.server().name() + "=" + std::to_string(kind));
            backend.set_fault(static_cast<backend_fault>(kind));
            break;
        }
    }

    // Returns true when no process is suspended or stopping.
    bool end_process_faults()
    {
        bool busy = false;
        for (auto const& instance : instances_)
        {
            check(instance->step(), "a process did not end within 10 s of SIGTERM");
            busy = busy || instance->busy();
        }
        return !busy;
    }

    // Half of the faults last for less than 3 s; the others last while further faults are injected.
    void inject_link_fault(faulty_link& link)
    {
        auto const kind = random_.below(4);
        record_fault(link.name() + "=" + std::to_string(kind));
        link.inject(static_cast<link_fault>(kind));
        if (random_.below(2) == 0)
        {
            std::this_thread::sleep_for(milliseconds{random_.below(3000)});
            link.heal();
        }
    }

    void record_fault(std::string const& fault)
    {
        auto const since_begin = std::chrono::duration_cast<milliseconds>(fault_clock::now() - begin_);
        fault_history_ += std::to_string(since_begin.count()) + ": " + fault + ", ";
    }

    // Runs beside the faults: writes versions of the configuration in series, and makes sound servers slow.
    void change_configs_and_load()
    {
        random_source random(seed_ * 1000 + 999);
        random_source organisation_random(seed_ * 1000 + 998);
        while (!healing_)
        {
            if (random.below(3) == 0)
            {
                for (auto left = 1 + random.below(4); left > 0; --left)
                {
                    configs_.write_next();
                    std::this_thread::sleep_for(milliseconds{random.below(400)});
                }
            }
            if (FLAGS_organisations && organisation_random.below(3) == 0)
            {
                configs_.write_next_organisations();
            }
            backends_[random.below(backends_.size())]->set_load(random);
            std::this_thread::sleep_for(milliseconds{50 + random.below(700)});
        }
    }

    void heal()
    {
        while (!end_process_faults() && ok_)
        {
            std::this_thread::sleep_for(milliseconds{20});
        }
        for (auto const& instance : instances_)
        {
            instance->store_link().heal();
        }
        for (auto const& backend : backends_)
        {
            backend->heal();
        }
    }

    // Checks that every instance serves every kind of request again within settle_time after the last fault.
    void check_recovery()
    {
        auto const limit = fault_clock::now() + settle_time;
        wire_caller caller(false);
        for (std::size_t i = 0; i < instances_.size(); ++i)
        {
            for (char const* const prefix : {"/once/", "/again/", "/moved/", "/stream/"})
            {
                int status = 0;
                while (status != 200 && fault_clock::now() < limit)
                {
                    status =
                        send(caller, i, prefix, 3, milliseconds{4000}, operator_standin::steady_key(), 1);
                }
                check(status == 200, std::string(prefix) + " was not served after the faults ended");
            }
        }
    }

    // Every second caller keeps its connection until the process closes it.
    void send_requests(unsigned number)
    {
        random_source random(seed_ * 1000 + number);
        random_source organisation_random(seed_ * 1000 + 500 + number);
        wire_caller caller(number % 2 == 0);
        std::size_t instance = 0;
        while (!stopping_)
        {
            instance = caller.connected() ? instance : random.below(instances_.size());
            std::string const prefixes[] = {
                "/once/",   "/again/",       "/moved/", configs_.added_prefix(random.next()),
                "/stream/", "/stream-once/", "/stream/"};
            (void)send(caller, instance, prefixes[random.below(7)], random.below(6),
                       milliseconds{2000 + random.below(2000)},
                       FLAGS_organisations ? configs_.some_key(organisation_random.next()) : std::string(),
                       20 + static_cast<unsigned>(organisation_random.below(180)));
            std::this_thread::sleep_for(milliseconds{random.below(30)});
        }
    }

    // Returns the status of the last attempt; 0 when no answer arrived.
    int send(wire_caller& caller, std::size_t instance, std::string const& prefix, std::uint64_t model,
             milliseconds time_allowed, std::string const& key, unsigned cost)
    {
        request_record last = send_once(caller, instance, prefix, model, time_allowed, {}, {}, key, cost);
        std::string const first_id = last.id;
        for (unsigned attempt = 1; FLAGS_repetitions && attempt < attempts_of_caller && last.at_most_once &&
                                   looks_unread(last.answer);
             ++attempt)
        {
            wire_caller other(false);
            bool const same_id = is_promise(last.answer.status) && same_id_below(2) == 0;
            std::size_t const distance = same_id ? same_id_below(2) * attempt : attempt;
            std::size_t const next = (instance + distance) % instances_.size();
            last = send_once(other, next, prefix, model, time_allowed, same_id ? last.id : std::string(),
                             first_id, key, cost);
            sent_with_same_id_ += same_id ? 1 : 0;
        }
        return last.answer.status;
    }

    std::uint64_t same_id_below(std::uint64_t bound)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return same_id_random_.below(bound);
    }

    // A new id is taken for an empty `id`, and for an empty `first_id` that of the request.
    request_record send_once(wire_caller& caller, std::size_t instance, std::string const& prefix,
                             std::uint64_t model, milliseconds time_allowed, std::string const& id,
                             std::string const& first_id, std::string const& key, unsigned cost)
    {
        request_record record;
        record.id = id.empty() ? "s" + std::to_string(seed_) + "-" + std::to_string(++next_id_) : id;
        record.first_id = first_id.empty() ? record.id : first_id;
        record.instance = instance;
        record.prefix = prefix;
        record.at_most_once = prefix == "/once/" || prefix == "/stream-once/";
        record.stream = prefix.rfind("/stream", 0) == 0;
        record.time_allowed = time_allowed;
        std::map<std::string, std::string> headers{{"Attempt-Id", record.id},
                                                   {"Deadline-Ms", std::to_string(time_allowed.count())}};
        if (record.stream)
        {
            headers["Model"] = "m" + std::to_string(model);
        }
        if (FLAGS_organisations)
        {
            record.organisations = true;
            record.key = key;
            record.cost = cost;
            headers["Tenant"] = "forged"; // Must be dropped.
            headers["Token-Usage"] = std::to_string(cost / 2) + "," + std::to_string(cost - cost / 2);
            if (!key.empty())
            {
                headers["Authorization"] = "Bearer " + key;
            }
        }
        record.open.begin = fault_clock::now();
        record.answer =
            caller.send(instances_[instance]->edge().caller_address(),
                        record.at_most_once || record.stream ? "POST" : "GET", prefix + "1", headers);
        record.open.end = fault_clock::now();
        served_ += record.answer.status == 200 && record.answer.whole ? 1 : 0;
        std::lock_guard<std::mutex> const lock(mutex_);
        records_.push_back(record);
        return record;
    }

    void check_guarantees()
    {
        for (auto const& backend : backends_)
        {
            check(!backend->server().exceeded_memory(),
                  "an engine was ordered to load more than its memory holds");
            check_order_sequence(backend->server().orders());
        }
        for (broken_guarantee const& each : answer_judge(faults_, configs_, backends_).judge(records_))
        {
            check(false, each.what);
            print_log_of(each.request);
        }
        if (FLAGS_organisations)
        {
            check_organisations();
        }
        if (!ok_)
        {
            std::printf("seed %lu: faults %s\n", seed_, fault_history_.c_str());
            save_logs();
        }
        check(served_ > 0, "no request was served");
    }

    void check_organisations()
    {
        organisation_judge judge(configs_, backends_);
        for (broken_guarantee const& each : judge.judge(records_))
        {
            check(false, each.what);
            print_log_of(each.request);
        }
        for (auto const& backend : backends_)
        {
            check(!backend->server().received_key(), "a key reached " + backend->server().name());
        }
        for (auto const& instance : instances_)
        {
            std::string const log = instance->edge().log_text();
            for (std::string const& key : configs_.all_keys())
            {
                check(log.find(key) == std::string::npos, "an instance logged the key " + key);
            }
        }
        std::map<int, unsigned> statuses;
        for (request_record const& record : records_)
        {
            ++statuses[record.answer.status];
        }
        // Without refusals, a run would show nothing about keys and limits.
        check(statuses[401] > 0, "no request was refused for its key");
        check(statuses[429] > 0, "no request was refused for a limit");
        std::printf("seed %lu: %u answers 401, %u 429, %u 503, fullest window %.2f of its bound\n", seed_,
                    statuses[401], statuses[429], statuses[503], judge.fullest_window());
    }

    // Prints the lines of the instance's log that lead to the cause.
    void print_log_of(request_record const& request) const
    {
        std::istringstream log(instances_[request.instance]->edge().log_text());
        for (std::string line; std::getline(log, line);)
        {
            if (line.find("request=" + request.id + " ") != std::string::npos)
            {
                std::printf("    %s\n", line.c_str());
            }
        }
    }

    void save_logs() const
    {
        for (std::size_t i = 0; i < instances_.size() && !FLAGS_logs.empty(); ++i)
        {
            std::ofstream(FLAGS_logs + "/seed-" + std::to_string(seed_) + "-edge-" + std::to_string(i) +
                          ".log")
                << instances_[i]->edge().log_text();
        }
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
                  "orders of two lease holders are too close together");
            check(after.epoch >= before.epoch, "an order has a lower epoch than an earlier one");
        }
    }

    std::uint64_t const seed_;
    fault_clock::time_point const begin_ = fault_clock::now();
    random_source random_;
    random_source restoration_random_; ///< Of its own, so that the other faults of a seed stay the same.
    random_source repetition_random_;  ///< The same.
    random_source name_random_;        ///< The same.
    random_source same_id_random_;     ///< The same; guarded by mutex_.
    bool has_copy_ = false;
    fault_spans faults_;
    store_standin store_;
    operator_standin configs_;
    std::vector<std::unique_ptr<faulty_backend>> backends_;
    std::vector<std::unique_ptr<faulty_edge>> instances_;
    std::mutex mutex_;
    std::vector<request_record> records_;
    std::atomic<std::uint64_t> next_id_{0};
    std::atomic<unsigned> served_{0};
    std::atomic<unsigned> sent_with_same_id_{0};
    std::atomic<bool> healing_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> ok_{true};
    std::string fault_history_;
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
