#include "tests/wire/faulty_link.hpp"

#include <utility>

namespace siskinusher::standins
{

namespace
{

// A relay resets the connections that have lost data only after heal(), and finishes a delayed piece first.
constexpr std::chrono::milliseconds linger{300};
// An instance that claims the lease allows for orders that are in transit for up to 300 ms in both directions
// together, so the relays must not delay them for longer.
constexpr std::chrono::milliseconds longest_delay{120};

std::uint16_t port_of(std::string const& address)
{
    return static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
}

} // namespace

faulty_link::faulty_link(std::string name, std::string const& target, fault_spans& spans)
    : name_(std::move(name)), spans_(spans), relay_(port_of(target))
{
}

void faulty_link::inject(link_fault fault)
{
    switch (fault)
    {
    case link_fault::delayed:
        relay_.delay(longest_delay);
        break;
    case link_fault::reset:
        spans_.add(name_, {fault_clock::now(), fault_clock::now() + linger});
        relay_.reset();
        break;
    default:
        spans_.begin(name_);
        relay_.cut(fault == link_fault::drops_requests);
        break;
    }
}

void faulty_link::heal()
{
    relay_.heal();
    spans_.end(name_, linger);
}

void faulty_link::silence(std::chrono::milliseconds time)
{
    spans_.add(name_, {fault_clock::now(), fault_clock::now() + time});
    relay_.silence();
}

} // namespace siskinusher::standins
