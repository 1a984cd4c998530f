#include "../fleet3/caller.hpp"
#include "../fleet3/edge_program.hpp"
#include "../fleet3/metadata_store.hpp"
#include "../fleet3/model_engine.hpp"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review
{

namespace
{

using nlohmann::json;

// PROTOCOL.md: "may be carried out seconds later"; fleetbench kinds: 2 to 12 s.
constexpr double late_after_s = 11.0;
constexpr double down_s = 2.0;

json configuration()
{
    json models = json::array();
    for (char const* const name : {"m1", "m2", "m3", "n1", "n2"})
    {
        models.push_back({{"name", name},
                          {"weights_mb", model_engine::model_mb},
                          {"load_s", model_engine::load_s},
                          {"adapters", 0},
                          {"adapter_mb", 66.0},
                          {"warm_s", 0.4},
                          {"disk_s", model_engine::disk_s}});
    }
    json const route{{"name", "advice"},
                     {"host", "h.example"},
                     {"path_prefix", "/advice/"},
                     {"route_kind", "streaming"},
                     {"timeout_ms", 15000},
                     {"goal_ms", 400},
                     {"priority", 0},
                     {"service", "dresser-llm"},
                     {"attempts", 2},
                     {"sticky", true},
                     {"resumable", false},
                     {"gap_aim_ms", 250}};
    json const engine{{"slots", 64},         {"kv_capacity", 152324},
                      {"host_mb", 130000.0}, {"disk_mb", 1200000.0},
                      {"models", models},    {"weights_mb", model_engine::weights_mb},
                      {"adapter_slots", 8},  {"loads_per_s", 4.5}};
    return {{"version", 7},
            {"routes", json::array({route})},
            {"services", json::array({{{"name", "dresser-llm"},
                                       {"health_path", "/health"},
                                       {"max_conns", 370},
                                       {"protocol", "h1"},
                                       {"tls", false},
                                       {"engine", engine}}})},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

std::string request_text(std::string const& model, std::string const& id)
{
    std::string text = "POST /advice/1 HTTP/1.1\r\nHost: h.example\r\nToken-Usage: 826,200\r\nModel: ";
    text.append(model).append("\r\nAttempt-Id: ").append(id).append("\r\nPrompt-Prefix: aa");
    text.append(model).append(":198,bb").append(id).append(":628\r\nDeadline-Ms: 15000\r\n");
    return text.append("Content-Length: 6\r\n\r\nprompt");
}

std::string outcome_of(engine_order const& order)
{
    if (order.carried_out)
    {
        return order.status == 0 ? "now carried out, beyond the memory"
                                 : "now " + std::to_string(order.status);
    }
    return order.delayed       ? "no answer, to be carried out later"
           : order.status == 0 ? "no answer"
                               : std::to_string(order.status);
}

/// Callers that ask for one model again and again, one stream at a time.
class model_callers
{
public:
    model_callers(std::string model, std::vector<std::string> edges, double pause_s)
        : model_(std::move(model)), edges_(std::move(edges)), pause_s_(pause_s), thread_([this] { work(); })
    {
    }
    ~model_callers()
    {
        ending_ = true;
        thread_.join();
    }

    void set_active(bool active) { active_ = active; }
    unsigned complete() const { return complete_; }
    unsigned broken() const { return broken_; }
    unsigned refused() const { return refused_; }
    std::string const& model() const { return model_; }

private:
    void work()
    {
        while (!ending_)
        {
            if (!active_)
            {
                ::usleep(20000);
                continue;
            }
            std::string const id = model_ + "-" + std::to_string(++count_);
            caller_answer const answer = call(edges_[count_ % edges_.size()], request_text(model_, id), 16.0);
            complete_ += answer.status == 200 && answer.complete ? 1 : 0;
            broken_ += answer.status == 200 && !answer.complete ? 1 : 0;
            refused_ += answer.status == 503 ? 1 : 0;
            ::usleep(static_cast<useconds_t>(pause_s_ * 1e6));
        }
    }

    std::string const model_;
    std::vector<std::string> const edges_;
    double const pause_s_;
    std::atomic<bool> active_{false};
    std::atomic<bool> ending_{false};
    std::atomic<unsigned> complete_{0};
    std::atomic<unsigned> broken_{0};
    std::atomic<unsigned> refused_{0};
    unsigned count_ = 0;
    std::thread thread_;
};

bool wait_for(std::function<bool()> const& condition, double seconds)
{
    for (double const until = seconds_now() + seconds; seconds_now() < until; ::usleep(20000))
    {
        if (condition())
        {
            return true;
        }
    }
    return condition();
}

class scenario
{
public:
    scenario(std::string const& folder, std::string const& record, bool trouble)
        : record_(record), trouble_(trouble)
    {
        store_.write("config", "main", configuration());
        first_ = std::make_unique<model_engine>(store_, "i-1", std::set<std::string>{"m1"},
                                                std::set<std::string>{"m1", "m2", "m3"});
        for (int i = 2; i <= 4; ++i)
        {
            others_.push_back(std::make_unique<model_engine>(store_, "i-" + std::to_string(i),
                                                             std::set<std::string>{"n1", "n2"},
                                                             std::set<std::string>{"n1", "n2"}));
        }
        for (int i = 1; i <= 3; ++i)
        {
            edges_.push_back(std::make_unique<edge_program>(folder, "edge-chaguanas-" + std::to_string(i),
                                                            store_.address()));
        }
    }

    // Returns the exit code of the script.
    int play()
    {
        bool const ready = wait_for(
            [this] {
                return std::all_of(edges_.begin(), edges_.end(),
                                   [](auto const& each) { return each->ready(); });
            },
            20.0);
        if (!ready)
        {
            note("the processes were not ready within 20 s");
            return 2;
        }
        std::vector<std::string> addresses;
        for (auto const& each : edges_)
        {
            addresses.push_back(each->callers());
        }
        for (char const* const model : {"n1", "n2", "m1", "m2", "m3"})
        {
            callers_.push_back(std::make_unique<model_callers>(model, addresses, 0.3));
        }
        of("n1").set_active(true);
        of("n2").set_active(true);
        ::sleep(6); // The lease holder asks the engines once.
        int const result = disturb();
        for (auto const& each : callers_)
        {
            each->set_active(false);
        }
        report();
        return result;
    }

private:
    int disturb()
    {
        note("m2 is asked for");
        of("m2").set_active(true);
        if (!wait_for([this] { return first_->models().count("m2") > 0; }, 15.0))
        {
            note("m2 was not loaded at i-1");
            return 2;
        }
        ::sleep(2);
        note("m3 is asked for");
        if (trouble_)
        {
            first_->delay_load("m3", late_after_s);
        }
        of("m3").set_active(true);
        auto const is_load = [](engine_order const& each) { return each.op == "load" && each.model == "m3"; };
        auto const ordered = [this, is_load]
        {
            auto const orders = first_->orders();
            return std::any_of(orders.begin(), orders.end(), is_load);
        };
        if (!wait_for(ordered, 15.0))
        {
            note("the load of m3 was not ordered at i-1");
            return 2;
        }
        double const sent_at = seconds_now();
        ::usleep(1500000);
        of("m2").set_active(false);
        of("m3").set_active(false);
        if (trouble_)
        {
            note("i-1 crashes");
            first_->crash();
            ::usleep(static_cast<useconds_t>(down_s * 1e6));
            note("i-1 starts again under its id");
            first_->start_again();
        }
        ::sleep(3);
        note("m1 and m2 are asked for");
        of("m1").set_active(true);
        of("m2").set_active(true);
        while (seconds_now() < sent_at + late_after_s + 3.0)
        {
            ::usleep(100000);
        }
        return first_->overfilled() > 0 ? 1 : 0;
    }

    model_callers& of(std::string const& model)
    {
        return **std::find_if(callers_.begin(), callers_.end(),
                              [&model](auto const& each) { return each->model() == model; });
    }

    void note(std::string const& text)
    {
        std::array<char, 32> time{};
        (void)std::snprintf(time.data(), time.size(), "%8.3f ", seconds_now());
        record_ << time.data() << text << "\n";
        record_.flush();
    }

    void report()
    {
        for (engine_order const& each : first_->orders())
        {
            std::array<char, 32> time{};
            (void)std::snprintf(time.data(), time.size(), "%8.3f ", each.at);
            record_ << time.data() << "order at i-1: " << each.op << " " << each.model << " expect "
                    << each.expected << " fence " << each.fence << " holder " << each.holder << " -> "
                    << outcome_of(each) << "\n";
        }
        for (auto const& each : callers_)
        {
            record_ << "callers of " << each->model() << ": " << each->complete() << " streams complete, "
                    << each->broken() << " broken off, " << each->refused() << " refused\n";
        }
        record_ << "orders to load more than " << model_engine::weights_mb << " MB: " << first_->overfilled()
                << ", streams that ran then: " << first_->streams_cut() << "\n";
        record_.flush();
    }

    std::ofstream record_;
    bool const trouble_;
    metadata_store store_;
    std::unique_ptr<model_engine> first_;
    std::vector<std::unique_ptr<model_engine>> others_;
    std::vector<std::unique_ptr<edge_program>> edges_;
    std::vector<std::unique_ptr<model_callers>> callers_;
};

} // namespace

} // namespace review

// Arguments: temporary folder, file of the record, 1 with the disruption and 0 without it.
int main(int argc, char** argv)
{
    if (argc != 4)
    {
        return 2;
    }
    review::scenario scenario(argv[1], argv[2], std::string(argv[3]) != "0");
    int const result = scenario.play();
    ::_exit(result);
}
