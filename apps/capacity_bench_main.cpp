#include "adapters/value_codec.hpp"
#include "apps/bench_figures.hpp"
#include "apps/flag_range.hpp"
#include "core/invariant.hpp"
#include "core/random_source.hpp"
#include "decision/instance_core.hpp"

#include <gflags/gflags.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

DEFINE_uint32(instances, 33, "instances of each data centre (1 to 100)");
DEFINE_uint32(engines, 127, "engines of the data centre (1 to 1000)");
DEFINE_uint32(data_centres, 11, "data centres (1 to 20)");
DEFINE_uint32(models, 150, "models (1 to 1000)");
DEFINE_uint32(adapters, 10000, "adapters, each loaded once in the data centre (0 to 20000)");
DEFINE_double(changes, 0.155, "model or adapter changes a second in the data centre (0 to 100)");
DEFINE_uint32(config_every, 29, "seconds between two configuration changes; 0 for none");
DEFINE_uint32(seconds, 30, "simulated seconds that are measured, after 15 s to settle (5 to 600)");
DEFINE_uint32(fail, 0, "instances that die together after the measurement, the lease holder among them");
DEFINE_bool(busy, true, "the engines' load figures differ in each report, as they do under load");
DEFINE_uint64(seed, 1, "seed of the simulation");

namespace
{

using namespace siskinusher;

constexpr duration settle_time = seconds{15};
constexpr duration message_delay = microseconds{500};
constexpr duration store_delay = milliseconds{3};
constexpr duration watch_time = seconds{20};
constexpr duration tick_interval = milliseconds{20};
constexpr unsigned models_per_engine = 5;
constexpr char const* own_data_centre = "dc-00";

std::string numbered(char const* format, unsigned number)
{
    char text[48];
    std::snprintf(text, sizeof text, format, number);
    return text;
}

std::string name_in(unsigned data_centre, unsigned instance)
{
    return numbered("dc-%02u", data_centre) + numbered("-instance-%02u", instance);
}

double thread_seconds()
{
    timespec now{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

std::size_t heap_bytes()
{
    struct mallinfo2 const info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Number, bytes and processor time, in seconds, of one kind of message, event or call.
struct traffic
{
    std::uint64_t count = 0;
    std::uint64_t bytes = 0;
    double cpu = 0.0;
};

/// Counters of one instance for the measured time.
struct node_counters
{
    std::map<std::string, traffic> sent;
    std::map<std::string, traffic> received;
    std::map<std::string, traffic> handled; ///< Processor time in handle() by kind of event.
    std::map<std::string, traffic> store;
    std::uint64_t polls = 0;
};

struct node
{
    member self;
    std::unique_ptr<instance_core> core;
    node_counters figures;
    bool alive = true;
};

struct stored
{
    store_value value;
    object_version version = 0;
};

struct waiting_watch
{
    std::size_t node = 0;
    store_request request;
    object_version seen = 0;
};

char const* name_of(event const& what)
{
    static constexpr char const* names[] = {"tick",
                                            "request_arrived",
                                            "attempt_finished",
                                            "attempt_progress",
                                            "request_cancelled",
                                            "peer_received",
                                            "store_reply",
                                            "order_outcome",
                                            "engine_report_received",
                                            "engine_unreachable",
                                            "instance_list_received",
                                            "config_parsed",
                                            "drain_requested"};
    return names[what.index()];
}

char const* name_of(store_operation const& what)
{
    static constexpr char const* names[] = {"get", "put", "remove", "watch"};
    return names[what.index()];
}

std::string call_name(store_request const& request)
{
    return std::string(name_of(request.operation)) + ":" + request.key.substr(0, request.key.find('/'));
}

/// Runs the real cores of all instances of one data centre in virtual time. The engines, the object store and
/// the other data centres are simulated: this data centre receives what they would send.
class data_centre_run
{
public:
    data_centre_run() : random_(FLAGS_seed) {}

    int run();

private:
    void make_engines();
    void make_members();
    void make_nodes();
    void at(duration delay, std::function<void()> what) { queue_.emplace(now_ + delay, std::move(what)); }
    void run_until(steady_time end);
    void handle(std::size_t to, event const& what);
    void carry_out(std::size_t from, action const& what);
    void deliver(std::size_t from, send_peer const& sent);
    void receive(std::size_t to, instance_id const& from, std::string const& frame);
    void on_store(std::size_t from, store_request const& request);
    store_result apply(store_request const& request);
    void wake_watches(std::string const& key);
    void reply(std::size_t to, store_request const& request, store_result result, duration delay);
    void every(duration interval, std::function<void()> const& what);
    void poll(std::size_t from, backend_name const& name);
    void change_contents();
    void send_remote_heartbeats();
    void send_remote_summaries();
    void change_config();
    std::vector<listed_server> rows() const;
    std::size_t holder() const;
    void clear();
    void print_role(char const* role, std::vector<std::size_t> const& node_indices, double span) const;
    void print_store(double span) const;
    void fail_instances();
    std::shared_ptr<fleet_config const> make_config(std::uint64_t generation) const;

    random_source random_;
    steady_time now_{seconds(1000)};
    std::multimap<steady_time, std::function<void()>> queue_;
    std::vector<node> nodes_;
    std::map<std::string, std::size_t> index_;
    std::vector<member> seeds_;
    std::vector<engine_report> engines_;
    std::map<std::string, std::size_t> engine_index_;
    std::map<std::string, stored> objects_;
    std::vector<waiting_watch> watches_;
    object_version last_version_ = 0;
    std::uint64_t generation_ = 1;
    std::uint64_t rounds_ = 0;
    std::uint64_t conflicts_ = 0;
    std::shared_ptr<fleet_config const> config_;
    std::set<std::string> unlisted_;
};

std::shared_ptr<fleet_config const> data_centre_run::make_config(std::uint64_t generation) const
{
    auto config = std::make_shared<fleet_config>();
    config->generation = generation;
    for (unsigned i = 0; i < FLAGS_data_centres; ++i)
    {
        config->data_centres.push_back(numbered("dc-%02u", i));
        config->region_of[config->data_centres.back()] = numbered("region-%02u", i % 4);
    }
    for (unsigned i = 0; i < FLAGS_models; ++i)
    {
        model_config model;
        model.name = numbered("model-%03u", i);
        model.checkpoint = model.name + ".r1";
        model.bytes = 1UL << 30U;
        model.max_replicas = FLAGS_engines * models_per_engine * FLAGS_data_centres;
        config->models[model.name] = model;
    }
    for (unsigned i = 0; i < FLAGS_adapters; ++i)
    {
        auto const name = numbered("adapter-%05u", i);
        config->adapters[name] = {name, numbered("model-%03u", i % FLAGS_models), 48UL << 20U};
    }
    return config;
}

void data_centre_run::make_engines()
{
    for (unsigned i = 0; i < FLAGS_engines; ++i)
    {
        engine_report report;
        report.name = own_data_centre + numbered("-engine-%03u", i);
        report.boot_id = 0x1234567800000000ULL + i;
        report.revision = 100;
        report.memory_bytes = 640UL << 30U;
        report.prefix_cache_bytes = 64UL << 30U;
        report.places = 64;
        for (unsigned j = 0; j < models_per_engine; ++j)
        {
            auto const model = numbered("model-%03u", (i * models_per_engine + j) % FLAGS_models);
            report.models[model] = 1UL << 30U;
            report.checkpoints[model + ".r1"] = checkpoint_tier::disk;
        }
        engine_index_[report.name] = engines_.size();
        engines_.push_back(std::move(report));
    }
    for (unsigned i = 0; i < FLAGS_adapters; ++i)
    {
        engines_[i % FLAGS_engines].adapters[numbered("adapter-%05u", i)] = 48UL << 20U;
    }
}

void data_centre_run::make_members()
{
    for (unsigned i = 0; i < FLAGS_data_centres; ++i)
    {
        for (unsigned j = 0; j < FLAGS_instances; ++j)
        {
            seeds_.push_back(
                {{name_in(i, j), 0}, numbered("dc-%02u", i), "127.0.1.1:18001", "127.0.1.1:19001", false});
        }
    }
}

void data_centre_run::make_nodes()
{
    for (unsigned i = 0; i < FLAGS_instances; ++i)
    {
        instance_settings settings;
        settings.self = seeds_[i];
        settings.self.id.incarnation = random_.next();
        for (member const& each : seeds_)
        {
            if (each.id.name != settings.self.id.name)
            {
                settings.seeds.push_back(each);
            }
        }
        node added;
        added.self = settings.self;
        added.core = std::make_unique<instance_core>(std::move(settings), random_.next());
        index_[added.self.id.name] = nodes_.size();
        nodes_.push_back(std::move(added));
    }
}

std::vector<listed_server> data_centre_run::rows() const
{
    std::vector<listed_server> result;
    for (member const& each : seeds_)
    {
        if (unlisted_.count(each.id.name) != 0)
        {
            continue;
        }
        listed_server row;
        row.name = each.id.name;
        row.address = each.address;
        row.peer_address = each.peer_address;
        row.kind = listed_kind::instance;
        row.data_centre = each.data_centre;
        result.push_back(std::move(row));
    }
    for (engine_report const& each : engines_)
    {
        listed_server row;
        row.name = each.name;
        row.address = "127.0.2.1:20001";
        row.data_centre = own_data_centre;
        result.push_back(std::move(row));
    }
    return result;
}

void data_centre_run::run_until(steady_time end)
{
    while (!queue_.empty() && queue_.begin()->first <= end)
    {
        auto const next = queue_.begin();
        now_ = next->first;
        auto const what = std::move(next->second);
        queue_.erase(next);
        what();
    }
    now_ = end;
}

void data_centre_run::every(duration interval, std::function<void()> const& what)
{
    at(interval,
       [this, interval, what]
       {
           what();
           every(interval, what);
       });
}

void data_centre_run::handle(std::size_t to, event const& what)
{
    node& each = nodes_[to];
    if (!each.alive)
    {
        return;
    }
    outbox out;
    double const start = thread_seconds();
    each.core->handle(now_, what, out);
    traffic& handling = each.figures.handled[name_of(what)];
    handling.cpu += thread_seconds() - start;
    ++handling.count;
    for (action const& item : out)
    {
        carry_out(to, item);
    }
}

void data_centre_run::carry_out(std::size_t from, action const& what)
{
    if (auto const* const sent = std::get_if<send_peer>(&what))
    {
        deliver(from, *sent);
    }
    else if (auto const* const request = std::get_if<store_request>(&what))
    {
        on_store(from, *request);
    }
    else if (auto const* const asked = std::get_if<poll_engine>(&what))
    {
        ++nodes_[from].figures.polls;
        poll(from, asked->name);
    }
    else if (auto const* const text = std::get_if<parse_config>(&what))
    {
        config_object const object = text->object;
        at(milliseconds{1}, [this, from, object] { handle(from, config_parsed{config_, object}); });
    }
}

void data_centre_run::poll(std::size_t from, backend_name const& name)
{
    at(milliseconds{2},
       [this, from, name]
       {
           engine_report& report = engines_[engine_index_.at(name)];
           if (FLAGS_busy)
           {
               report.running = 20 + static_cast<unsigned>(random_.below(20));
           }
           handle(from, engine_report_received{report});
       });
}

void data_centre_run::deliver(std::size_t from, send_peer const& sent)
{
    node_counters& figures = nodes_[from].figures;
    double const start = thread_seconds();
    auto frame = encode_peer_message(sent.message);
    traffic& kind = figures.sent[kind_name(sent.message)];
    kind.cpu += thread_seconds() - start;
    if (!frame)
    {
        std::fprintf(stderr, "a %s message is too large\n", kind_name(sent.message));
        return;
    }
    ++kind.count;
    kind.bytes += frame.value().size();
    auto const found = index_.find(sent.to);
    if (found == index_.end())
    {
        return; // An instance of another data centre; it is not simulated.
    }
    std::size_t const to = found->second;
    at(message_delay,
       [this, to, id = nodes_[from].self.id, text = std::move(frame).value()] { receive(to, id, text); });
}

void data_centre_run::receive(std::size_t to, instance_id const& from, std::string const& frame)
{
    if (!nodes_[to].alive)
    {
        return;
    }
    double const start = thread_seconds();
    auto message = decode_peer_message(frame);
    if (!message)
    {
        return;
    }
    traffic& kind = nodes_[to].figures.received[kind_name(message.value())];
    kind.cpu += thread_seconds() - start;
    ++kind.count;
    kind.bytes += frame.size();
    handle(to, peer_received{from, std::move(message).value()});
}

void data_centre_run::reply(std::size_t to, store_request const& request, store_result result, duration delay)
{
    if (auto const* const found = std::get_if<store_found>(&result))
    {
        auto const text = encode_store_value(found->value);
        nodes_[to].figures.store[call_name(request)].bytes += text ? text.value().size() : 0;
    }
    store_reply answer{request.owner, request.tag, request.key, std::move(result)};
    at(delay, [this, to, answer = std::move(answer)] { handle(to, answer); });
}

void data_centre_run::on_store(std::size_t from, store_request const& request)
{
    traffic& calls = nodes_[from].figures.store[call_name(request)];
    ++calls.count;
    if (auto const* const put = std::get_if<store_put>(&request.operation))
    {
        auto const text = encode_store_value(put->value);
        calls.bytes += text ? text.value().size() : 0;
    }
    auto const* const watch = std::get_if<store_watch>(&request.operation);
    if (watch == nullptr)
    {
        reply(from, request, apply(request), store_delay);
        return;
    }
    auto const found = objects_.find(request.key);
    if (found != objects_.end() && found->second.version != watch->seen)
    {
        reply(from, request, store_found{found->second.value, found->second.version}, store_delay);
        return;
    }
    watches_.push_back({from, request, watch->seen});
    at(watch_time,
       [this, from, tag = request.tag, key = request.key]
       {
           auto const same = [&](waiting_watch const& each)
           { return each.node == from && each.request.tag == tag && each.request.key == key; };
           auto const open = std::find_if(watches_.begin(), watches_.end(), same);
           if (open != watches_.end())
           {
               reply(from, open->request, store_unchanged{}, duration{0});
               watches_.erase(open);
           }
       });
}

store_result data_centre_run::apply(store_request const& request)
{
    auto const found = objects_.find(request.key);
    object_version const current = found == objects_.end() ? 0 : found->second.version;
    if (auto const* const put = std::get_if<store_put>(&request.operation))
    {
        if (put->expected != current)
        {
            ++conflicts_;
            return store_conflict{};
        }
        objects_[request.key] = {put->value, ++last_version_};
        object_version const written = last_version_;
        wake_watches(request.key);
        return store_written{written};
    }
    if (auto const* const removal = std::get_if<store_remove>(&request.operation))
    {
        if (removal->expected != current || found == objects_.end())
        {
            return store_conflict{};
        }
        objects_.erase(found);
        return store_written{0};
    }
    return found == objects_.end() ? store_result{store_absent{}}
                                   : store_result{store_found{found->second.value, current}};
}

void data_centre_run::wake_watches(std::string const& key)
{
    std::vector<waiting_watch> open;
    open.swap(watches_);
    stored const& object = objects_.at(key);
    for (waiting_watch& each : open)
    {
        if (each.request.key == key)
        {
            reply(each.node, each.request, store_found{object.value, object.version}, store_delay);
        }
        else
        {
            watches_.push_back(std::move(each));
        }
    }
}

/// Every instance of another data centre sends one heartbeat a second to one instance here, in rotation.
void data_centre_run::send_remote_heartbeats()
{
    ++rounds_;
    for (std::size_t i = FLAGS_instances; i < seeds_.size(); ++i)
    {
        heartbeat beat;
        beat.data_centre = seeds_[i].data_centre;
        beat.config_generation = generation_;
        beat.lease_epoch = 7;
        beat.lease_holder = seeds_[i / FLAGS_instances * FLAGS_instances].id.name;
        beat.knows_store = true;
        auto const frame = encode_peer_message(beat);
        instance_id from = seeds_[i].id;
        from.incarnation = i;
        receive((i + rounds_) % FLAGS_instances, from, frame.value());
    }
}

/// The sender of each other data centre sends its summary to the first live instance here.
void data_centre_run::send_remote_summaries()
{
    std::size_t first = 0;
    while (first + 1 < nodes_.size() && !nodes_[first].alive)
    {
        ++first;
    }
    for (unsigned i = 1; i < FLAGS_data_centres; ++i)
    {
        data_centre_summary summary;
        summary.data_centre = numbered("dc-%02u", i);
        summary.sequence = rounds_ + 1;
        for (unsigned j = 0; j < FLAGS_models; ++j)
        {
            summary.free_places[numbered("model-%03u", j)] = static_cast<unsigned>(random_.below(200));
        }
        auto const frame = encode_peer_message(summary);
        receive(first, {name_in(i, 0), std::uint64_t{i} * FLAGS_instances}, frame.value());
    }
}

void data_centre_run::change_contents()
{
    engine_report& report = engines_[random_.below(engines_.size())];
    ++report.revision;
    auto const name = numbered("adapter-%05u", 50000 + static_cast<unsigned>(report.revision % 2));
    if (report.adapters.erase(name) == 0)
    {
        report.adapters[name] = 48UL << 20U;
    }
}

void data_centre_run::change_config()
{
    ++generation_;
    config_ = make_config(generation_);
    // Stands for a text of about the size that all adapters need; the cores do not read the text itself.
    config_object const object{generation_, std::string(FLAGS_adapters * 68UL, 'x')};
    objects_["config"] = {object, ++last_version_};
    wake_watches("config");
}

std::size_t data_centre_run::holder() const
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        if (nodes_[i].alive && nodes_[i].core->status(now_).holds_lease)
        {
            return i;
        }
    }
    return nodes_.size();
}

void data_centre_run::clear()
{
    for (node& each : nodes_)
    {
        each.figures = {};
    }
    conflicts_ = 0;
}

void data_centre_run::print_role(char const* role, std::vector<std::size_t> const& node_indices,
                                 double span) const
{
    if (node_indices.empty())
    {
        return;
    }
    double const share = 1.0 / (span * static_cast<double>(node_indices.size()));
    std::map<std::string, traffic> sent;
    std::map<std::string, traffic> received;
    std::map<std::string, traffic> handled;
    double polls = 0.0;
    auto const add = [](std::map<std::string, traffic>& sum, std::map<std::string, traffic> const& part)
    {
        for (auto const& each : part)
        {
            traffic& total = sum[each.first];
            total.count += each.second.count;
            total.bytes += each.second.bytes;
            total.cpu += each.second.cpu;
        }
    };
    for (std::size_t const i : node_indices)
    {
        add(sent, nodes_[i].figures.sent);
        add(received, nodes_[i].figures.received);
        add(handled, nodes_[i].figures.handled);
        polls += static_cast<double>(nodes_[i].figures.polls);
    }
    double cpu = 0.0;
    double out_bytes = 0.0;
    double in_bytes = 0.0;
    double out_count = 0.0;
    double in_count = 0.0;
    std::string kinds;
    auto const describe = [&](char const* what, std::map<std::string, traffic> const& part)
    {
        for (auto const& each : part)
        {
            char text[160];
            std::snprintf(text, sizeof text, " %s:%s=%.2f/s,%.0fB/s,%.4f%%core", what, each.first.c_str(),
                          static_cast<double>(each.second.count) * share,
                          static_cast<double>(each.second.bytes) * share, each.second.cpu * share * 100.0);
            kinds += text;
            cpu += each.second.cpu * share;
        }
    };
    describe("out", sent);
    describe("in", received);
    describe("handle", handled);
    for (auto const& each : sent)
    {
        out_bytes += static_cast<double>(each.second.bytes) * share;
        out_count += static_cast<double>(each.second.count) * share;
    }
    for (auto const& each : received)
    {
        in_bytes += static_cast<double>(each.second.bytes) * share;
        in_count += static_cast<double>(each.second.count) * share;
    }
    std::printf("role=%s instances=%u engines=%u adapters=%u out_messages/s=%.1f out_bytes/s=%.0f "
                "in_messages/s=%.1f in_bytes/s=%.0f core_percent=%.3f polls/s=%.1f%s\n",
                role, FLAGS_instances, FLAGS_engines, FLAGS_adapters, out_count, out_bytes, in_count,
                in_bytes, cpu * 100.0, polls * share, kinds.c_str());
}

void data_centre_run::print_store(double span) const
{
    std::map<std::string, traffic> calls;
    for (node const& each : nodes_)
    {
        for (auto const& call : each.figures.store)
        {
            calls[call.first].count += call.second.count;
            calls[call.first].bytes += call.second.bytes;
        }
    }
    std::printf("store of the data centre:");
    for (auto const& call : calls)
    {
        std::printf(" %s=%.3f/s,%.0fB/s", call.first.c_str(), static_cast<double>(call.second.count) / span,
                    static_cast<double>(call.second.bytes) / span);
    }
    std::printf(" conflicts/s=%.3f\n", static_cast<double>(conflicts_) / span);
}

/// Stops instances, the lease holder first. Prints after what time a new holder takes over and all instances
/// have noticed the failure, and the store calls and traffic that this causes.
void data_centre_run::fail_instances()
{
    duration const span = seconds{20};
    clear();
    run_until(now_ + span);
    std::printf("before the failure: ");
    print_store(20.0);
    std::size_t const first = std::min(holder(), nodes_.size() - 1);
    clear();
    for (std::size_t i = 0; i < FLAGS_fail; ++i)
    {
        node& each = nodes_[(first + i) % nodes_.size()];
        each.alive = false;
        std::string const name = each.self.id.name;
        // The instance list lags by about 5 s.
        at(seconds{5}, [this, name] { unlisted_.insert(name); });
    }
    steady_time const failed_at = now_;
    double new_holder_after = 0.0;
    double noticed_after = 0.0;
    std::size_t const left = seeds_.size() - FLAGS_fail;
    while (now_ < failed_at + span)
    {
        run_until(now_ + milliseconds{20});
        double const passed = std::chrono::duration<double>(now_ - failed_at).count();
        if (new_holder_after <= 0.0 && holder() < nodes_.size())
        {
            new_holder_after = passed;
        }
        auto const sees_all = [&](node const& each)
        { return !each.alive || each.core->status(now_).live_members <= left; };
        if (noticed_after <= 0.0 && std::all_of(nodes_.begin(), nodes_.end(), sees_all))
        {
            noticed_after = passed;
        }
    }
    std::printf(
        "failure of %u of %u instances: new_holder_after_s=%.2f noticed_by_all_after_s=%.2f (0 is never)\n",
        FLAGS_fail, FLAGS_instances, new_holder_after, noticed_after);
    std::printf("20 s after the failure: ");
    print_store(20.0);
    std::vector<std::size_t> alive;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        if (nodes_[i].alive)
        {
            alive.push_back(i);
        }
    }
    print_role("survivor", alive, 20.0);
}

int data_centre_run::run()
{
    make_members();
    make_engines();
    std::size_t const before_config = heap_bytes();
    config_ = make_config(generation_);
    std::size_t const config_heap = heap_bytes() - before_config;
    config_object const object{generation_, std::string(FLAGS_adapters * 68UL, 'x')};
    objects_["config"] = {object, ++last_version_};
    quota_record quota;
    for (auto const& model : config_->models)
    {
        for (unsigned i = 1; i < FLAGS_data_centres; ++i)
        {
            quota.rows[model.first][numbered("dc-%02u", i)] = {2, 2};
        }
    }
    objects_["quota"] = {quota, ++last_version_};
    std::size_t const before_nodes = heap_bytes();
    make_nodes();
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        duration const offset = tick_interval * static_cast<int>(i) / static_cast<int>(nodes_.size());
        at(offset, [this, i] { every(tick_interval, [this, i] { handle(i, tick{0}); }); });
        at(offset,
           [this, i] { every(seconds{1}, [this, i] { handle(i, instance_list_received{rows()}); }); });
    }
    every(seconds{1}, [this] { send_remote_heartbeats(); });
    every(seconds{2}, [this] { send_remote_summaries(); });
    if (FLAGS_changes > 0.0)
    {
        every(duration{static_cast<duration::rep>(1e6 / FLAGS_changes)}, [this] { change_contents(); });
    }
    if (FLAGS_config_every > 0)
    {
        every(seconds{FLAGS_config_every}, [this] { change_config(); });
    }
    run_until(now_ + settle_time);
    clear();
    run_until(now_ + seconds{FLAGS_seconds});
    std::size_t const held = holder();
    std::vector<std::size_t> others;
    unsigned ready = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        ready += nodes_[i].core->status(now_).ready ? 1 : 0;
        if (i != held && i != 0)
        {
            others.push_back(i);
        }
    }
    double const span = FLAGS_seconds;
    std::printf("size instances=%u engines=%u data_centres=%u models=%u adapters=%u ready=%u "
                "members_seen=%zu heap_kb_per_instance=%zu config_heap_kb=%zu load=%.1f\n",
                FLAGS_instances, FLAGS_engines, FLAGS_data_centres, FLAGS_models, FLAGS_adapters, ready,
                nodes_.front().core->status(now_).live_members,
                (heap_bytes() - before_nodes) / nodes_.size() / 1024, config_heap / 1024, load_average());
    if (held < nodes_.size())
    {
        print_role(held == 0 ? "holder_and_first" : "holder", {held}, span);
    }
    if (held != 0)
    {
        print_role("first_instance", {0}, span);
    }
    print_role("other", others, span);
    print_store(span);
    if (FLAGS_fail > 0)
    {
        fail_instances();
    }
    return ready == FLAGS_instances && invariant_violations() == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "Measures the control traffic, processor time, memory and object store calls of "
        "the instances of one data centre in virtual time. Bytes are those of the encoded "
        "messages, without frame, TCP and IP headers.");
    gflags::SetVersionString(SISKIN_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    bool const valid =
        in_range("instances", FLAGS_instances, 1, 100) && in_range("engines", FLAGS_engines, 1, 1000) &&
        in_range("data_centres", FLAGS_data_centres, 1, 20) && in_range("models", FLAGS_models, 1, 1000) &&
        in_range("adapters", FLAGS_adapters, 0, 20000) &&
        in_range("changes", static_cast<std::uint64_t>(FLAGS_changes), 0, 100) &&
        in_range("seconds", FLAGS_seconds, 5, 600) && in_range("fail", FLAGS_fail, 0, FLAGS_instances - 1);
    // The output is line-buffered, so that a run that is ended early still shows its results.
    (void)std::setvbuf(stdout, nullptr, _IOLBF, 0);
    return valid ? data_centre_run().run() : 2;
}
