#include "decision/source_choice.hpp"

namespace siskinusher
{

namespace
{

// Reports go out every 500 ms and wait 400 ms for the reply, so that one lost reply changes nothing.
constexpr duration reply_life = milliseconds{1100};
// The holder renews its lease every 450 ms. Together with the interval of reports this leaves time to learn
// from the store, within 2.5 s, that a server leaves.
constexpr duration longest_age = milliseconds{1000};

} // namespace

char const* to_string(state_source source)
{
    return source == state_source::holder ? "holder" : "store";
}

void source_choice::on_reply(steady_time now, duration age)
{
    replied_ = true;
    replied_at_ = now;
    confirmed_at_ = now - age;
}

void source_choice::on_refusal()
{
    replied_ = false;
}

void source_choice::on_lease(bool holds)
{
    holds_ = holds;
    replied_ = false;
}

state_source source_choice::choose(steady_time now) const
{
    bool const recent = replied_ && now - replied_at_ < reply_life;
    bool const informed = replied_ && replied_at_ - confirmed_at_ < longest_age;
    return !holds_ && recent && informed ? state_source::holder : state_source::store;
}

} // namespace siskinusher
