#pragma once

#include "tests/standins/caller.hpp"
#include "tests/standins/deployment.hpp"

#include <string>
#include <vector>

namespace siskinusher::standins
{

/// Sends requests of each kind through a deployment, kills an engine and an instance while requests run,
/// checks every answer and prints a table.
class demo_run
{
public:
    explicit demo_run(deployment& fleet) : fleet_(fleet) {}

    /// Returns true when every answer and every check was right.
    bool run();

private:
    enum class refusals
    {
        wrong,  ///< Each request must be answered.
        allowed ///< A refusal (not_run) and an unclear outcome (may_have_run) are right as well.
    };

    void burst_on_cold_model();
    void with_adapter();
    void stock_lookups();
    void booking_sent_twice();
    void booking_at_two_instances();
    void flood();
    void engine_killed();
    void instance_killed();
    void after_recovery();
    void audit();

    void finish(tally const& row, refusals allowed, std::string const& note = {});
    void check(std::string const& name, std::string const& problem, std::string const& note);
    std::string booking_path() const;
    call_outcome book(std::string const& instance, std::string const& key) const;
    deployed_server* busiest_engine();
    static nlohmann::json fetch(std::string const& address, std::string const& path);

    deployment& fleet_;
    bool all_right_ = true;
    std::vector<std::string> booked_keys_;
};

} // namespace siskinusher::standins
