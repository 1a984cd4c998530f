#pragma once

#include "core/steady_time.hpp"
#include "domain/identifiers.hpp"
#include "domain/member.hpp"
#include "domain/peer_message.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace siskinusher
{

/// The live instances of the fleet, and the free places that the summaries of other data centres report.
class peer_directory
{
public:
    peer_directory(std::string self, std::string data_centre, duration max_summary_age);

    void set_members(std::vector<member> const& members);
    void set_regions(std::map<std::string, std::string> const& region_of) { region_of_ = region_of; }
    /// Ignores a summary that is older than the one known, unless that one has expired.
    void on_summary(steady_time now, data_centre_summary const& summary);

    /// All instances, sorted, with this one.
    std::vector<std::string> const& names() const { return names_; }
    /// All instances but this one.
    std::vector<std::string> const& others() const { return others_; }
    /// Other instances of this data centre.
    std::vector<std::string> const& same_data_centre() const { return same_data_centre_; }
    /// The instance that issues permits for the suspect request; this instance when no other is known.
    std::string permit_issuer_of(std::uint64_t fingerprint) const;

    /// The instance of this data centre that runs suspect requests on the server. There is only one for each
    /// server, so that two instances do not run suspects there at the same time. Null when it is this
    /// instance.
    member const* suspect_runner_of(backend_name const& server) const;

    /// Takes a free place for the model in another data centre and returns an instance there. Prefers data
    /// centres of this region, then those with more free places. Null when no recent summary shows a free
    /// place. `avoid` holds names of data centres.
    member const* reserve_place(steady_time now, std::string const& model, std::uint64_t number,
                                std::vector<std::string> const& avoid);
    /// True when a recent summary shows a free place for the model in another data centre.
    bool has_place(steady_time now, std::string const& model, std::vector<std::string> const& avoid);

private:
    struct known_summary
    {
        data_centre_summary summary;
        steady_time received;
    };

    std::pair<unsigned*, std::vector<member> const*>
    find_best_place(steady_time now, std::string const& model, std::vector<std::string> const& avoid);
    std::string region_of(std::string const& data_centre) const;

    std::string self_;
    std::string data_centre_;
    duration max_summary_age_;
    std::vector<std::string> names_;
    std::vector<std::string> others_;
    std::vector<std::string> same_data_centre_;
    std::map<std::string, std::vector<member>> members_; ///< Members that do not drain, by data centre.
    std::map<std::string, std::string> region_of_;
    std::map<std::string, known_summary> summaries_;
};

} // namespace siskinusher
