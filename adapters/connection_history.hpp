#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace siskinusher
{

/// What one outbound connection has been used for. Answers name requests, but a server may repeat an answer:
/// an answer belongs for certain to a request only if its connection has not carried the same id before.
class connection_history
{
public:
    connection_history() = default;
    /// `number` names the connection in the log, from 1.
    explicit connection_history(std::uint64_t number) : number_(number) {}

    std::uint64_t number() const { return number_; }
    unsigned requests() const { return requests_; }
    /// True when the connection has carried a request with this id. May be true for another one, never false
    /// for one that it has carried. Always false for an empty id.
    bool has_carried(std::string const& id) const;
    /// False when a repeated answer on the connection could be taken for the answer to a request with this
    /// id: it has carried the id, or a request that answers do not name. Always true for an empty id.
    bool can_carry(std::string const& id) const;
    /// True when no further id can be remembered, so that the connection must not be used again.
    bool full() const;

    /// `id` is empty for a request that answers do not name.
    void add(std::string const& id);

private:
    std::uint64_t number_ = 0;
    unsigned requests_ = 0;
    std::vector<std::uint64_t> carried_; ///< Hashes of the ids.
};

} // namespace siskinusher
