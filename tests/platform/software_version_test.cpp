#include "platform/lease_record_codec.hpp"
#include "tests/wire/small_fleet.hpp"
#include "tests/wire/wire_caller.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace siskinusher;
using namespace siskinusher::standins;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using steady = std::chrono::steady_clock;

// The platform's rule: at most two joined streams, and of those that are taken up at instances which run for
// the contact time, at least half as large a share goes on as of new streams.
constexpr std::size_t allowed_joined_streams = 2;
constexpr milliseconds contact_time{3000};

struct caller_stream
{
    std::string first_id;
    std::string taken_up_id; ///< Empty while the first attempt is the only one.
    unsigned last_event = 0;
    bool whole = false;
};

/// Three instances before engines of one model; streams take 3 s.
class version_fleet
{
public:
    explicit version_fleet(std::vector<std::string> const& versions, unsigned holder_gap_ms = 300)
    {
        store.write("config", "main", example_config(1));
        for (std::string const& version : versions)
        {
            add_engine(version);
        }
        for (unsigned i = 0; i < 3; ++i)
        {
            edges_.push_back(
                std::make_unique<edge_child>("edge-" + std::to_string(i), store.address(), holder_gap_ms));
        }
        for (auto const& edge : edges_)
        {
            cr_assert(edge->wait_ready(), "%s", edge->log_text().c_str());
        }
        std::this_thread::sleep_for(contact_time);
    }

    void add_engine(std::string const& version)
    {
        engines_.push_back(std::make_unique<backend_standin>(store, "e" + std::to_string(engines_.size()),
                                                             "llm", std::set<std::string>{"m0"}));
        engines_.back()->set_version(version);
        engines_.back()->set_work_time(milliseconds{100});
        engines_.back()->set_event_count(30);
    }

    backend_standin& engine(std::size_t index) { return *engines_[index]; }
    edge_child& edge(std::size_t index) { return *edges_[index]; }

    /// Starts streams at the instances and returns at once.
    void begin(std::size_t count, std::vector<std::size_t> const& edges = {0, 1, 2})
    {
        streams_.resize(count);
        for (std::size_t i = 0; i < count; ++i)
        {
            streams_[i].first_id = "s" + std::to_string(i);
            callers_.emplace_back([this, i, at = edges[i % edges.size()]]
                                  { receive(streams_[i], at, streams_[i].first_id); });
        }
    }

    void kill(std::vector<std::size_t> const& edges)
    {
        for (std::size_t const each : edges)
        {
            edges_[each]->process().send(SIGKILL);
        }
        for (std::size_t const each : edges)
        {
            cr_assert(edges_[each]->process().wait(seconds{5}));
        }
    }

    void restart(std::vector<std::size_t> const& edges)
    {
        for (std::size_t const each : edges)
        {
            edges_[each]->start();
        }
        for (std::size_t const each : edges)
        {
            cr_assert(edges_[each]->wait_ready());
        }
    }

    void wait_for_ends()
    {
        for (std::thread& each : callers_)
        {
            each.join();
        }
        callers_.clear();
    }

    /// Takes up the streams that were cut, each a few times if it is refused. Returns how many there were.
    std::size_t take_up(std::vector<std::size_t> const& edges)
    {
        std::size_t const cut = begin_take_up(edges);
        wait_for_ends();
        return cut;
    }

    /// As take_up(), but returns at once.
    std::size_t begin_take_up(std::vector<std::size_t> const& edges)
    {
        std::size_t cut = 0;
        for (std::size_t i = 0; i < streams_.size(); ++i)
        {
            if (!streams_[i].whole && streams_[i].last_event > 0)
            {
                ++cut;
                callers_.emplace_back([this, i, to = edges[i % edges.size()]] { take_up(streams_[i], to); });
            }
        }
        return cut;
    }

    /// Index of the lease holder.
    std::size_t holder() const
    {
        for (std::size_t i = 0; i < edges_.size(); ++i)
        {
            if (edges_[i]->log_text().find("event=lease_gained") != std::string::npos)
            {
                return i;
            }
        }
        cr_assert_fail("no instance holds the lease");
        return 0;
    }

    std::size_t gone_on() const
    {
        return static_cast<std::size_t>(std::count_if(streams_.begin(), streams_.end(),
                                                      [](caller_stream const& each)
                                                      { return each.whole && !each.taken_up_id.empty(); }));
    }

    /// Streams whose attempts ran at engines of more than one version, so that the caller has events of each.
    std::size_t joined()
    {
        std::size_t count = 0;
        for (caller_stream const& each : streams_)
        {
            std::set<std::string> versions;
            for (auto const& engine : engines_)
            {
                auto const runs = engine->runs();
                if (runs.count(each.first_id) > 0 || runs.count(each.taken_up_id) > 0)
                {
                    versions.insert(engine->version());
                }
            }
            count += each.whole && versions.size() > 1 ? 1 : 0;
        }
        return count;
    }

    void expect_not_joined()
    {
        cr_expect_leq(joined(), allowed_joined_streams, "%zu of %zu streams are of two versions", joined(),
                      streams_.size());
    }

    store_standin store;

private:
    int receive(caller_stream& stream, std::size_t edge, std::string const& id)
    {
        std::map<std::string, std::string> headers{{"Host", "h"}, {"Attempt-Id", id}, {"Model", "m0"}};
        if (id != stream.first_id)
        {
            headers["Resumes"] = stream.first_id;
            headers["Last-Event-Id"] = std::to_string(stream.last_event);
        }
        wire_caller caller(false);
        caller_answer const answer =
            caller.send(edges_[edge]->caller_address(), "POST", "/stream/1", headers);
        std::size_t const ends = answer.body.rfind("\n\n");
        std::string const events = ends == std::string::npos ? "" : answer.body.substr(0, ends);
        std::size_t const last = events.rfind("id: ");
        if (answer.status == 200 && last != std::string::npos)
        {
            stream.last_event = static_cast<unsigned>(std::stoul(events.substr(last + 4)));
        }
        stream.whole = answer.status == 200 && answer.whole;
        return answer.status;
    }

    void take_up(caller_stream& stream, std::size_t edge)
    {
        for (unsigned attempt = 0; attempt < 3; ++attempt)
        {
            stream.taken_up_id = stream.first_id + "-" + std::to_string(attempt);
            if (receive(stream, edge, stream.taken_up_id) == 200)
            {
                return;
            }
            std::this_thread::sleep_for(milliseconds{300});
        }
    }

    std::vector<std::unique_ptr<backend_standin>> engines_;
    std::vector<std::unique_ptr<edge_child>> edges_;
    std::vector<caller_stream> streams_;
    std::vector<std::thread> callers_;
};

std::vector<std::size_t> const all_edges{0, 1, 2};

} // namespace

// Guards against one answer with events of two software versions when an engine breaks off its stream.
Test(software_version, broken_stream_goes_on_at_its_version_only)
{
    version_fleet fleet({"v1", "v1", "v2", "v2"});
    for (std::size_t const each : {0U, 2U})
    {
        fleet.engine(each).set_fault(backend_fault::breaks_stream);
    }
    fleet.begin(60);
    fleet.wait_for_ends();
    fleet.expect_not_joined();
}

// Guards against streams that are taken up elsewhere and go on at another version, or not at all.
Test(software_version, streams_of_a_killed_instance_go_on_at_their_version)
{
    version_fleet fleet({"v1", "v1", "v2", "v2"});
    fleet.begin(45);
    std::this_thread::sleep_for(milliseconds{1500});
    fleet.kill({0});
    fleet.wait_for_ends();
    std::size_t const cut = fleet.take_up({1, 2});
    cr_assert_geq(cut, std::size_t{12}, "%zu streams were cut", cut);
    fleet.expect_not_joined();
    cr_expect_geq(fleet.gone_on() * 2, cut, "%zu of %zu go on", fleet.gone_on(), cut);
}

// Guards against joined streams when nothing is left in any instance's memory.
Test(software_version, streams_go_on_at_their_version_after_all_instances_were_killed)
{
    version_fleet fleet({"v1", "v1", "v2", "v2"});
    fleet.begin(45);
    std::this_thread::sleep_for(milliseconds{1500});
    fleet.kill(all_edges);
    fleet.wait_for_ends();
    fleet.restart(all_edges);
    std::size_t const cut = fleet.take_up(all_edges);
    fleet.expect_not_joined();
    cr_expect_geq(fleet.gone_on() * 2, cut, "%zu of %zu go on", fleet.gone_on(), cut);
}

// Guards against joined streams when the engines of the old version have just left.
Test(software_version, streams_of_a_version_that_has_left_do_not_go_on_elsewhere)
{
    version_fleet fleet({"v1", "v1"});
    fleet.add_engine("v2");
    fleet.add_engine("v2");
    std::this_thread::sleep_for(seconds{1});
    fleet.begin(45);
    std::this_thread::sleep_for(milliseconds{500});
    for (std::size_t const each : {0U, 1U})
    {
        fleet.engine(each).write_entry("draining");
        fleet.store.remove("servers", fleet.engine(each).name());
    }
    std::this_thread::sleep_for(milliseconds{500});
    fleet.kill(all_edges);
    fleet.wait_for_ends();
    fleet.restart(all_edges);
    (void)fleet.take_up(all_edges);
    fleet.expect_not_joined();
}

// Guards against an instance that stood still while a second version came and goes by what it knew before.
Test(software_version, streams_taken_up_at_an_instance_that_stood_still_go_on_at_their_version)
{
    version_fleet fleet({"v1", "v1"});
    std::size_t const holder = fleet.holder();
    std::size_t const still = (holder + 1) % 3;
    std::size_t const killed = (holder + 2) % 3;
    fleet.edge(still).process().send(SIGSTOP);
    fleet.add_engine("v2");
    fleet.add_engine("v2");
    std::this_thread::sleep_for(seconds{2});
    fleet.begin(40, {killed});
    std::this_thread::sleep_for(milliseconds{1500});
    fleet.kill({killed});
    fleet.wait_for_ends();
    std::size_t const cut = fleet.begin_take_up({still});
    std::this_thread::sleep_for(milliseconds{200});
    fleet.edge(still).process().send(SIGCONT);
    fleet.wait_for_ends();
    cr_expect(fleet.edge(still).log_text().find("source=one_version") == std::string::npos,
              "a stream went on by what was known before the instance stood still");
    cr_assert_geq(cut, std::size_t{12}, "%zu streams were cut", cut);
    fleet.expect_not_joined();
    cr_expect_geq(fleet.gone_on() * 2, cut, "%zu of %zu go on", fleet.gone_on(), cut);
}

// Guards against forgetting streams that began while the lease holder stood still, when their instances are
// killed.
Test(software_version, streams_that_began_while_the_holder_stood_still_go_on)
{
    constexpr unsigned long_gap_ms = 5000; // No other instance takes the lease meanwhile.
    version_fleet fleet({"v1", "v1", "v2", "v2"}, long_gap_ms);
    std::size_t const holder = fleet.holder();
    std::vector<std::size_t> const others{(holder + 1) % 3, (holder + 2) % 3};
    fleet.edge(holder).process().send(SIGSTOP);
    std::this_thread::sleep_for(milliseconds{600});
    fleet.begin(40, others);
    std::this_thread::sleep_for(milliseconds{1500});
    fleet.kill(others);
    fleet.wait_for_ends();
    fleet.edge(holder).process().send(SIGCONT);
    fleet.restart(others);
    std::size_t const cut = fleet.take_up(all_edges);
    cr_assert_geq(cut, std::size_t{12}, "%zu streams were cut", cut);
    fleet.expect_not_joined();
    cr_expect_geq(fleet.gone_on() * 2, cut, "%zu of %zu go on", fleet.gone_on(), cut);
}

// Guards against an answer to a question about a stream that an instance of the build before does not know.
Test(software_version, questions_of_the_build_before_are_answered_as_before)
{
    version_fleet fleet({"v1", "v1"});
    auto const lease =
        platform::decode_lease_record(fleet.store.spec_of(platform::lease_kind, platform::lease_name));
    cr_assert(lease.has_value());
    auto const ask = [&lease](std::map<std::string, std::string> headers)
    {
        headers["Authorization"] = "Bearer " + lease->peer_key;
        auto const answer =
            http_call(lease->peer_address, "POST", "/siskin/stream", "nobody", headers, seconds{2});
        return answer ? answer->status : 0;
    };
    cr_expect_eq(ask({}), 404);
    cr_expect_eq(ask({{"Stream-Service", "llm"}}), 204);
}

// Guards against refusing streams that are taken up while only one version has served.
Test(software_version, streams_of_the_only_version_go_on)
{
    version_fleet fleet({"v1", "v1", "v1", "v1"});
    fleet.begin(45);
    std::this_thread::sleep_for(milliseconds{1500});
    fleet.kill(all_edges);
    fleet.wait_for_ends();
    fleet.restart(all_edges);
    std::size_t const cut = fleet.take_up(all_edges);
    cr_assert_geq(cut, std::size_t{12}, "%zu streams were cut", cut);
    cr_expect_geq(fleet.gone_on() * 2, cut, "%zu of %zu go on", fleet.gone_on(), cut);
}

// Guards against an id that is not UTF-8 ending the process that writes it to the store while two versions
// serve, and against its stream being taken for another one.
Test(software_version, ids_that_are_not_utf8_are_recorded)
{
    version_fleet fleet({"v1", "v2"});
    for (unsigned i = 0; i < 6; ++i)
    {
        std::string const id = "caf\xe9-" + std::to_string(i);
        auto const answer = fleet.edge(i % 3).call("POST", "/stream/1", id, {{"Model", "m0"}});
        cr_expect(answer && answer->status == 200, "status %d", answer ? answer->status : 0);
        auto const odd = fleet.edge(i % 3).call("POST", "/stream/1", "odd" + std::to_string(i),
                                                {{"Model", "mod\xe8le"}, {"Deadline-Ms", "600"}});
        cr_expect(odd && odd->status == 503, "status %d", odd ? odd->status : 0);
    }
    std::this_thread::sleep_for(seconds{2});
    for (std::size_t i = 0; i < 3; ++i)
    {
        cr_expect(fleet.edge(i).process().running(), "edge-%zu has ended", i);
        cr_expect_eq(fleet.edge(i).log_text().find("event=holder_lost"), std::string::npos);
    }
}
