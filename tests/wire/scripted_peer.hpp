#pragma once

#include "adapters/placement_codec.hpp"
#include "platform/lease_record_codec.hpp"
#include "tests/support/fault_server.hpp"
#include "tests/wire/scripted_fleet.hpp"
#include "tests/wire/small_fleet.hpp"

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace siskinusher::standins
{

/// Zero without an answer.
inline int status_of(std::optional<http_answer> const& answer)
{
    return answer ? answer->status : 0;
}

/// The record of the lease that the fleet's instance holds.
inline nlohmann::json lease_record(scripted_fleet& fleet)
{
    nlohmann::json record;
    cr_assert(eventually(
        [&]
        {
            record = fleet.store().spec_of(platform::lease_kind, platform::lease_name);
            return record.is_object() && record.contains("peer_key");
        }));
    return record;
}

/// Makes a call as a peer of the instance does.
inline std::optional<http_answer> call_as_peer(scripted_fleet& fleet, std::string const& path,
                                               std::string const& body,
                                               std::map<std::string, std::string> headers)
{
    nlohmann::json const record = lease_record(fleet);
    headers["Authorization"] = "Bearer " + record["peer_key"].get<std::string>();
    return http_call(record["peer_address"].get<std::string>(), "POST", path, body, headers);
}

/// A peer of a script, and an instance that holds the lease and reaches no server. The peer reports to the
/// instance, so that the instance passes requests on to it.
class scripted_peer
{
public:
    explicit scripted_peer(std::vector<fault_server::script> scripts) : peer_(std::move(scripts))
    {
        fleet_.add_entry("p1", "plain", dead_address());
        (void)fleet_.edge();
        reporting_ = std::thread([this] { report(); });
    }

    ~scripted_peer()
    {
        ends_ = true;
        reporting_.join();
    }

    scripted_peer(scripted_peer const&) = delete;
    scripted_peer& operator=(scripted_peer const&) = delete;

    scripted_fleet& fleet() { return fleet_; }

    /// Sends requests until one was served by the peer.
    void await_use()
    {
        unsigned sent = 0;
        cr_assert(eventually(
                      [&]
                      {
                          std::string const id = "first" + std::to_string(++sent);
                          return status_of(fleet_.edge().call("GET", "/again/1", id)) == 200;
                      }),
                  "%s", fleet_.edge().log_text().c_str());
    }

private:
    static constexpr std::chrono::milliseconds report_interval{200};

    void report()
    {
        demand_report own;
        own.instance = "peer";
        own.peer_address = peer_.address();
        own.data_centre = "here";
        std::string const body = encode_demand(own);
        while (!ends_)
        {
            (void)call_as_peer(fleet_, demand_path, body, {{"Content-Type", "application/cbor"}});
            std::this_thread::sleep_for(report_interval);
        }
    }

    fault_server peer_;
    scripted_fleet fleet_;
    std::atomic<bool> ends_{false};
    std::thread reporting_;
};

} // namespace siskinusher::standins
