#include "tests/wire/edge_child.hpp"

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace siskinusher::standins
{

namespace
{

std::string make_temporary_directory()
{
    std::string pattern = "/tmp/siskin-edge-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr)
    {
        throw std::runtime_error("cannot create a temporary directory " + pattern);
    }
    return pattern;
}

// Binds a socket to a free port. It does not listen, so that the process can bind the port as well, but no
// other program and no outgoing connection is given it.
Poco::Net::ServerSocket reserve_port()
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
    return socket;
}

} // namespace

edge_child::edge_child(std::string name, std::string const& store_address, unsigned holder_gap_ms,
                       unsigned retry_slack, unsigned memory_mb, unsigned revoke_ms,
                       std::string const& quota_settings)
    : name_(std::move(name)),
      directory_(make_temporary_directory()), ports_{reserve_port(), reserve_port(), reserve_port()}
{
    caller_address_ = ports_[0].address().toString();
    readiness_address_ = ports_[1].address().toString();
    std::ofstream settings(settings_file());
    settings << "instance: { name: " << name_ << ", data_centre: here, region: r1 }\n"
             << "data_centres:\n  - { name: here, region: r1 }\n"
             << "listen: { callers: \"" << caller_address_ << "\", readiness: \"" << readiness_address_
             << "\", peers: \"" << ports_[2].address().toString() << "\" }\n"
             << "platform: { object_store: \"" << store_address << "\", leaving_ms: 2500, change_ms: 2500 }\n"
             << "retries: { ratio: 0.2, window_s: 10, slack: " << retry_slack << " }\n"
             << "orders: { holder_gap_ms: " << holder_gap_ms << ", load_window_s: 5 }\n"
             << "limits: { stop_s: 8, descriptors: 2000"
             << (memory_mb > 0 ? ", memory_mb: " + std::to_string(memory_mb) : "") << " }\n"
             << (revoke_ms > 0 ? "organisations: { revoke_fail_closed: true, revoke_ms: " +
                                     std::to_string(revoke_ms) + quota_settings + " }\n"
                               : "");
    settings.close();
    start();
}

edge_child::~edge_child()
{
    process_.reset();
    for (char const* const file : {"/settings.yaml", "/log"})
    {
        (void)std::remove((directory_ + file).c_str());
    }
    (void)std::remove(directory_.c_str());
}

void edge_child::start(std::set<int> const& blocked_signals)
{
    std::vector<std::string> const command{program_folder() + "/../siskin-edge", "--settings",
                                           settings_file()};
    process_ = std::make_unique<child_process>(name_, command, directory_ + "/log", blocked_signals);
}

bool edge_child::ready() const
{
    auto const answer =
        http_call(readiness_address_, "GET", "/api/readiness", {}, {}, std::chrono::seconds{1});
    return answer && answer->status == 200;
}

bool edge_child::wait_ready(std::chrono::milliseconds time) const
{
    auto const until = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < until)
    {
        if (ready())
        {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    return false;
}

std::string edge_child::log_text() const
{
    std::ifstream in(directory_ + "/log");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::optional<http_answer> edge_child::call(std::string const& method, std::string const& path,
                                            std::string const& id, std::map<std::string, std::string> headers,
                                            std::string const& body) const
{
    headers["Host"] = "h";
    headers["Attempt-Id"] = id;
    return http_call(caller_address_, method, path, method == "POST" && body.empty() ? "body" : body, headers,
                     std::chrono::seconds{8});
}

} // namespace siskinusher::standins
