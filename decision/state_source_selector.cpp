#include "decision/state_source_selector.hpp"

namespace siskinusher
{

namespace
{

// An instance sends a report every 500 ms and waits 400 ms for the reply, so that one lost reply is
// tolerated.
constexpr duration reply_lifetime = milliseconds{1100};
// Greatest time since the holder last heard from the store. The holder renews its lease every 450 ms.
// Together with the interval of the reports this leaves time to learn from the store, within 2.5 s, that a
// server is leaving.
constexpr duration max_holder_age = milliseconds{1000};

} // namespace

char const* to_string(state_source source)
{
    return source == state_source::holder ? "holder" : "store";
}

void state_source_selector::on_reply(steady_time now, duration age)
{
    replied_ = true;
    replied_at_ = now;
    confirmed_at_ = now - age;
}

void state_source_selector::on_holder_lost()
{
    replied_ = false;
}

void state_source_selector::on_lease(bool holds)
{
    holds_ = holds;
    replied_ = false;
}

state_source state_source_selector::choose(steady_time now) const
{
    bool const recent = replied_ && now - replied_at_ < reply_lifetime;
    bool const holder_current = replied_ && replied_at_ - confirmed_at_ < max_holder_age;
    return !holds_ && recent && holder_current ? state_source::holder : state_source::store;
}

} // namespace siskinusher
