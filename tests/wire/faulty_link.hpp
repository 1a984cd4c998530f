#pragma once

#include "tests/adapters/tcp_relay.hpp"
#include "tests/wire/fault_spans.hpp"

#include <cstdint>
#include <string>

namespace siskinusher::standins
{

/// Fault of the link that lasts until heal(); a reset concerns the connections that are open now.
enum class link_fault
{
    delayed, ///< By the longest delay that the orders of a lease holder allow for.
    reset,
    drops_requests, ///< What the openers send is lost.
    drops_answers,
};

/// A link to an address of this machine that records the spans in which it is cut, reset or silent. A delay
/// is no fault that breaks answers, so it is not recorded.
class faulty_link
{
public:
    /// Leads to the port of `target`, which is host:port. `name` is the name of the spans.
    faulty_link(std::string name, std::string const& target, fault_spans& spans);

    std::string const& name() const { return name_; }
    std::string address() const { return relay_.address(); }

    void inject(link_fault fault);
    void heal();
    /// The connections that are open now stay silent for good, while new ones work. `time` is the time within
    /// which the opener notices.
    void silence(std::chrono::milliseconds time);

private:
    std::string const name_;
    fault_spans& spans_;
    tcp_relay relay_;
};

} // namespace siskinusher::standins
