#pragma once

#include "domain/peer_relay.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskinusher
{

/// Chooses the instance that takes a request for this one while it is cut off from all servers: one with few
/// of its requests, and rather one of its own data centre.
class relay_directory
{
public:
    explicit relay_directory(std::string data_centre);

    /// The instances that reach servers, as the lease holder told.
    void on_relays(std::vector<peer_relay> relays);
    /// None when all are in `failed`. One in `avoided` is chosen only when there is no other. Both name
    /// addresses.
    std::optional<peer_relay> choose(std::vector<std::string> const& failed,
                                     std::vector<std::string> const& avoided = {}) const;
    bool empty() const { return relays_.empty(); }

    void on_begin(std::string const& address) { ++open_[address]; }
    void on_end(std::string const& address);

private:
    std::string const data_centre_;
    std::vector<peer_relay> relays_;
    std::map<std::string, unsigned> open_; ///< Requests at each address.
};

} // namespace siskinusher
