#include "tests/wire/partition_fleet.hpp"

#include "tests/wire/connection_owner.hpp"
#include "tests/wire/request_checks.hpp"
#include "tests/wire/small_fleet.hpp"

#include <criterion/criterion.h>

#include <atomic>
#include <set>
#include <sstream>
#include <thread>

namespace siskinusher::standins
{

namespace
{

constexpr std::chrono::milliseconds call_interval{300};

} // namespace

partition_fleet::partition_fleet(unsigned instances, unsigned retry_slack, unsigned revoke_ms)
{
    store_.write("config", "main", example_config(1));
    for (unsigned i = 0; i < 6; ++i)
    {
        bool const engine = i >= 3;
        std::set<std::string> const models = engine ? std::set<std::string>{"m0"} : std::set<std::string>{};
        servers_.push_back(std::make_unique<backend_standin>(store_, "s" + std::to_string(i),
                                                             engine ? "llm" : "plain", models));
        servers_.back()->set_work_time(std::chrono::milliseconds{10});
        links_.push_back(
            std::make_unique<tcp_relay>(Poco::Net::SocketAddress(servers_.back()->address()).port()));
        std::uint16_t const port = Poco::Net::SocketAddress(links_.back()->address()).port();
        links_.back()->set_partition([this, port](std::uint16_t opener_port)
                                     { return owner_of(opener_port, port); },
                                     [this](int process) { return partition_of(process); });
        servers_.back()->publish_address(links_.back()->address());
    }
    for (unsigned i = 0; i < instances; ++i)
    {
        edges_.push_back(std::make_unique<edge_child>("edge-" + std::to_string(i), store_.address(), 300,
                                                      retry_slack, 0, revoke_ms));
        std::lock_guard<std::mutex> const lock(mutex_);
        processes_.push_back(edges_.back()->process().process_id());
    }
    for (auto const& edge : edges_)
    {
        cr_assert(edge->wait_ready(), "%s", edge->log_text().c_str());
    }
    cr_assert(eventually([this] { return holder() < edges_.size(); }));
    // Each instance has reported to the holder, and connections to servers exist.
    for (std::size_t i = 0; i < edges_.size(); ++i)
    {
        cr_assert(eventually(
            [&] {
                return i == holder() ||
                       edges_[i]->log_text().find("event=holder_reached") != std::string::npos;
            }));
        (void)send_for(i, std::chrono::milliseconds{500});
    }
}

partition_fleet::~partition_fleet() = default;

std::size_t partition_fleet::holder() const
{
    for (std::size_t i = 0; i < edges_.size(); ++i)
    {
        std::string const log = edges_[i]->log_text();
        std::size_t const gained = log.rfind("event=lease_gained");
        if (gained != std::string::npos && log.find("event=lease_lost", gained) == std::string::npos)
        {
            return i;
        }
    }
    return edges_.size();
}

pid_t partition_fleet::owner_of(std::uint16_t opener_port, std::uint16_t link_port)
{
    connection_owner const kernel;
    while (kernel.is_open(opener_port, link_port))
    {
        std::vector<pid_t> candidates;
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            candidates = processes_;
        }
        pid_t const owner = kernel.find(opener_port, link_port, candidates);
        if (owner > 0)
        {
            return owner;
        }
        // An instance may open connections before its process is listed.
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    return -1;
}

partition partition_fleet::partition_of(pid_t process)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (process < 0)
    {
        // The opener has left; nothing passes that a cut might have kept back.
        return cuts_.empty() ? partition::none : partition::reset;
    }
    auto const cut = cuts_.find(process);
    return cut == cuts_.end() ? partition::none : cut->second;
}

void partition_fleet::cut_off(std::size_t index, partition shape)
{
    log_before_cut_[index] = edges_[index]->log_text().size();
    std::lock_guard<std::mutex> const lock(mutex_);
    cuts_.erase(edges_[index]->process().process_id());
    if (shape != partition::none)
    {
        cuts_[edges_[index]->process().process_id()] = shape;
    }
}

bool partition_fleet::has_noticed_cut(std::size_t index) const
{
    auto const begin = log_before_cut_.find(index);
    if (begin == log_before_cut_.end())
    {
        return false;
    }
    std::string const log = edges_[index]->log_text().substr(begin->second);
    std::size_t const lost = log.rfind("event=servers_lost");
    return lost != std::string::npos && log.find("event=servers_regained", lost) == std::string::npos;
}

void partition_fleet::end_plain_servers()
{
    for (std::size_t i = 0; i < links_.size(); ++i)
    {
        if (servers_[i]->service() == "plain")
        {
            links_[i]->refuse();
        }
    }
}

bool partition_fleet::send_one(std::size_t index, unsigned kind, std::string const& id)
{
    edge_child const& edge = *edges_[index];
    std::map<std::string, std::string> headers = headers_;
    headers["Deadline-Ms"] = kind == 0 ? "3000" : "2000";
    if (kind == 0)
    {
        headers["Model"] = "m0";
        auto const answer = edge.call("POST", "/stream/1", id, headers, id);
        return answer && answer->status == 200 && event_ids(answer->body) == all_events;
    }
    std::string const path = kind == 1 ? "/once/" : "/again/";
    auto const answer = edge.call(kind == 1 ? "POST" : "GET", path + id, id, headers);
    return answer && answer->status == 200 && answer->body == "body of " + id;
}

served_share partition_fleet::send_for(std::size_t index, std::chrono::milliseconds span, unsigned callers)
{
    std::atomic<unsigned> sent{0};
    std::atomic<unsigned> served{0};
    std::vector<std::thread> threads;
    auto const end = std::chrono::steady_clock::now() + span;
    for (unsigned i = 0; i < callers; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                while (std::chrono::steady_clock::now() < end)
                {
                    auto const next = std::chrono::steady_clock::now() + call_interval;
                    std::string id;
                    {
                        std::lock_guard<std::mutex> const lock(mutex_);
                        id = "r" + std::to_string(++last_id_);
                    }
                    ++sent;
                    served += send_one(index, i % 3, id) ? 1 : 0;
                    std::this_thread::sleep_until(next);
                }
            });
    }
    for (std::thread& each : threads)
    {
        each.join();
    }
    return {sent, served};
}

unsigned partition_fleet::requests_sent()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return last_id_;
}

std::map<std::string, unsigned> partition_fleet::runs()
{
    std::map<std::string, unsigned> all;
    for (auto const& server : servers_)
    {
        for (auto const& [id, count] : server->runs())
        {
            all[id] += count;
        }
    }
    return all;
}

std::string partition_fleet::log_of_request(std::string const& id) const
{
    std::string lines;
    for (auto const& edge : edges_)
    {
        std::istringstream text(edge->log_text());
        for (std::string line; std::getline(text, line);)
        {
            bool const wanted = line.find("request=" + id) != std::string::npos ||
                                line.find("event=servers_") != std::string::npos;
            lines += wanted ? edge->process().name() + " " + line + "\n" : "";
        }
    }
    return lines;
}

} // namespace siskinusher::standins
