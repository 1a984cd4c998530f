#include "decision/state_source_selector.hpp"

namespace siskinusher
{

namespace
{

// An instance sends a report every 500 ms and waits 400 ms for the reply, so that one lost reply is
// tolerated.
constexpr duration reply_lifetime = milliseconds{1100};
// Time for a standby to notice that the holder is lost, to list the store and to answer; a second standby is
// asked when the first one does not answer within 400 ms.
constexpr duration standby_wait = milliseconds{700};

} // namespace

char const* to_string(state_source source)
{
    switch (source)
    {
    case state_source::store:
        return "store";
    case state_source::holder:
        return "holder";
    case state_source::standby:
        return "standby";
    }
    return "unknown";
}

state_source_selector::state_source_selector(duration max_told_age) : max_told_age_(max_told_age) {}

bool state_source_selector::is_recent(std::optional<told_state> const& told, steady_time now)
{
    return told && now - told->replied_at < reply_lifetime;
}

bool state_source_selector::is_current(std::optional<told_state> const& told, steady_time now) const
{
    return is_recent(told, now) && told->replied_at - told->confirmed_at < max_told_age_;
}

void state_source_selector::on_reply(steady_time now, duration age)
{
    holder_ = told_state{now, now - age};
}

void state_source_selector::on_standby_reply(steady_time now, duration age)
{
    standby_ = told_state{now, now - age};
}

void state_source_selector::on_holder_lost()
{
    holder_.reset();
}

void state_source_selector::on_lease(bool holds)
{
    holds_ = holds;
    holder_.reset();
}

void state_source_selector::on_standbys(bool is_standby, bool knows_others)
{
    is_standby_ = is_standby;
    knows_standbys_ = knows_others;
}

bool state_source_selector::wants_standby(steady_time now) const
{
    return !holds_ && !is_standby_ && knows_standbys_ && !is_current(holder_, now);
}

state_source state_source_selector::choose(steady_time now, std::optional<steady_time> store_answered_at)
{
    if (!holds_ && is_current(holder_, now))
    {
        without_holder_since_.reset();
        return state_source::holder;
    }
    if (!wants_standby(now))
    {
        return state_source::store;
    }
    without_holder_since_ = without_holder_since_.value_or(now);
    if (is_current(standby_, now) || now - *without_holder_since_ < standby_wait)
    {
        return state_source::standby;
    }
    // A standby that answers with an old state shows that the store fails there; it need not fail here.
    bool const store_answers = store_answered_at && *store_answered_at >= *without_holder_since_;
    return is_recent(standby_, now) && !store_answers ? state_source::standby : state_source::store;
}

std::optional<duration> state_source_selector::told_age(steady_time now) const
{
    std::optional<duration> age;
    for (auto const* const told : {&holder_, &standby_})
    {
        if (is_recent(*told, now) && (!age || now - (*told)->confirmed_at < *age))
        {
            age = now - (*told)->confirmed_at;
        }
    }
    return age;
}

} // namespace siskinusher
