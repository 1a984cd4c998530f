#include "decision/quota_gate.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace siskinusher;

namespace
{

quota_bounds page_bounds()
{
    return {seconds{8}, 0.1, 17000.0};
}

steady_time at(duration since)
{
    return steady_time{seconds{1000}} + since;
}

/// The gate of one instance, with an organisation "o" with a limit and "free" without one.
class gate_fixture
{
public:
    gate_fixture() { set_limit(4200.0, 0.0); }

    void set_limit(double per_second, double burst)
    {
        auto config = std::make_shared<serving_config>();
        config->organisations.emplace();
        organisation limited;
        limited.name = "o";
        limited.quota = {quota_unit::tokens, per_second, burst, 1.0};
        config->organisations->push_back(limited);
        organisation free;
        free.name = "free";
        config->organisations->push_back(free);
        gate.on_config(config);
    }

    void submit(duration when, request_number number, std::uint64_t cost, char const* organisation = "o")
    {
        gate.submit(at(when), {number, organisation, cost, at(when) + seconds{2}, {}});
    }

    quota_question ask(duration when)
    {
        auto question = gate.next_question(at(when));
        cr_assert(question.has_value());
        return question ? *question : quota_question{};
    }

    void reply(duration when, std::uint64_t sequence, std::uint64_t granted, std::uint64_t room_after_ms = 0,
               unsigned instances = 65, std::uint64_t share_per_s = 0)
    {
        quota_reply answer;
        answer.sequence = sequence;
        answer.instances = instances;
        answer.grants.push_back({"o", granted, room_after_ms, room_after_ms, 4100, share_per_s});
        gate.on_reply(at(when), answer);
    }

    /// Numbers of the requests that are admitted at `when`; fails for other steps.
    std::vector<request_number> admitted(duration when)
    {
        std::vector<request_number> numbers;
        for (quota_step const& step : gate.step(at(when)))
        {
            auto const* const admit = std::get_if<admit_request>(&step);
            cr_assert(admit != nullptr);
            numbers.push_back(admit == nullptr ? 0 : admit->number);
        }
        return numbers;
    }

    std::vector<refuse_over_limit> refused(duration when)
    {
        std::vector<refuse_over_limit> refusals;
        for (quota_step const& step : gate.step(at(when)))
        {
            auto const* const refuse = std::get_if<refuse_over_limit>(&step);
            cr_assert(refuse != nullptr);
            refusals.push_back(refuse == nullptr ? refuse_over_limit{} : *refuse);
        }
        return refusals;
    }

    quota_gate gate{page_bounds(), "i1", 77};
};

using numbers = std::vector<request_number>;

} // namespace

// Guards against requests that run without credit, or that do not run with it, in another order.
Test(quota_gate, requests_run_in_their_order_as_far_as_credit_covers_them)
{
    gate_fixture it;
    it.submit(seconds{0}, 1, 1000);
    it.submit(seconds{0}, 2, 3000);
    it.submit(seconds{0}, 3, 100);
    cr_assert(it.gate.step(at(seconds{0})).empty());
    cr_assert(it.gate.waiting() == 3);
    quota_question const question = it.ask(seconds{0});
    cr_assert(question.instance == "i1" && question.start == 77 && question.needs.size() == 1);
    cr_assert(question.needs.front().waiting == (std::vector<std::uint64_t>{1000, 3000, 100}));
    cr_assert(!it.gate.next_question(at(seconds{0})), "one question is open at a time");
    it.reply(milliseconds{5}, question.sequence + 1, 9000);
    cr_assert(it.gate.step(at(milliseconds{5})).empty(), "a reply with another number is ignored");
    it.reply(milliseconds{6}, question.sequence, 3900);
    // The third would be covered, but comes after one that is not.
    cr_assert(it.admitted(milliseconds{6}) == numbers{1});
    // What still waits is asked for again, less the credit in hand.
    cr_assert(!it.gate.next_question(at(milliseconds{39})), "questions are 40 ms apart at least");
    quota_question const next = it.ask(milliseconds{40});
    cr_assert(next.sequence > question.sequence);
    cr_assert(next.needs.front().held == 2900 && next.needs.front().spent == 1000);
    cr_assert(next.needs.front().waiting == (std::vector<std::uint64_t>{100, 100}));
    it.reply(milliseconds{44}, next.sequence, 0);
    cr_assert(it.gate.step(at(milliseconds{44})).empty());
    cr_assert(!it.gate.next_question(at(milliseconds{193})), "a holder without room is asked each 150 ms");
    it.reply(milliseconds{199}, it.ask(milliseconds{194}).sequence, 200);
    cr_assert(it.admitted(milliseconds{199}) == (numbers{2, 3}));
    cr_assert(it.gate.fleet_use(at(milliseconds{199}), "o") == std::optional<double>(4100.0));
}

// Guards against questions for organisations without a limit, which are not held up.
Test(quota_gate, organisations_without_a_limit_ask_nothing)
{
    gate_fixture it;
    it.submit(seconds{0}, 1, 1000000, "free");
    cr_assert(it.admitted(seconds{0}) == numbers{1});
    cr_assert(!it.gate.next_question(at(seconds{0})) && !it.gate.next_due(at(seconds{0})));
    // Its use is told with questions that are sent anyway.
    it.submit(seconds{1}, 2, 1100);
    quota_question const question = it.ask(seconds{1});
    cr_assert(question.needs.size() == 2);
    cr_assert(question.needs.front().organisation == "free" && question.needs.front().spent == 1000000);
}

// Guards against credit that is spent after the holder has given it to another instance.
Test(quota_gate, credit_expires_four_seconds_after_its_question)
{
    gate_fixture it;
    it.submit(seconds{0}, 1, 1000);
    quota_question const question = it.ask(seconds{0});
    it.reply(milliseconds{300}, question.sequence, 3000);
    cr_assert(it.admitted(milliseconds{300}) == numbers{1});
    it.submit(milliseconds{3999}, 2, 1000);
    cr_assert(it.admitted(milliseconds{3999}) == numbers{2});
    it.submit(milliseconds{4000}, 3, 1000);
    cr_assert(it.gate.step(at(milliseconds{4000})).empty());
    quota_question const next = it.ask(milliseconds{4000});
    quota_need const& need = next.needs.front();
    cr_assert(need.held == 0 && need.returned == 1000 && need.spent == 2000);
    // A reply that is read after its credit has expired, as on an instance that stood still, brings none.
    it.reply(milliseconds{8001}, next.sequence, 1000);
    cr_assert(it.gate.step(at(milliseconds{8001})).size() == 1, "request 3 has waited for too long");
    cr_assert(it.gate.waiting() == 0);
}

// Guards against a flood that puts off the next question for as long as it lasts, and against callers that
// are told to come back together.
Test(quota_gate, a_flood_is_refused_until_the_stated_time_and_no_longer)
{
    gate_fixture it;
    it.submit(seconds{0}, 1, 1100);
    quota_question const question = it.ask(seconds{0});
    it.reply(milliseconds{10}, question.sequence, 0, 500);
    auto const first = it.refused(milliseconds{10});
    cr_assert(first.size() == 1 && first.front().retry_after == milliseconds{500});
    duration last{0};
    for (request_number i = 0; i < 40; ++i)
    {
        duration const when = milliseconds{20 + 10 * i};
        it.submit(when, 2 + i, 1100);
        auto const refusals = it.refused(when);
        cr_assert(refusals.size() == 1);
        duration const returns = when + refusals.front().retry_after;
        cr_assert(refusals.front().retry_after <= seconds{4} && returns > last);
        last = returns;
        cr_assert(!it.gate.next_question(at(when)));
    }
    it.submit(milliseconds{510}, 50, 1100);
    cr_assert(it.gate.step(at(milliseconds{510})).empty());
    cr_assert(it.ask(milliseconds{510}).needs.front().waiting.size() == 1);
}

// Guards against a caller that is sent away for room that comes at once.
Test(quota_gate, requests_wait_for_room_that_comes_soon)
{
    gate_fixture it;
    it.submit(seconds{0}, 1, 1100);
    quota_question const question = it.ask(seconds{0});
    it.reply(milliseconds{10}, question.sequence, 0, 150);
    cr_assert(it.gate.step(at(milliseconds{10})).empty());
    // It is asked for again when the room is there, and not before.
    cr_assert(it.gate.next_due(at(milliseconds{10})) == at(milliseconds{160}));
    cr_assert(!it.gate.next_question(at(milliseconds{159})));
    quota_question const next = it.ask(milliseconds{160});
    it.reply(milliseconds{170}, next.sequence, 1100);
    cr_assert(it.admitted(milliseconds{170}) == numbers{1});
}

// Guards against a request that can never run and makes all others of its organisation wait.
Test(quota_gate, a_request_that_never_fits_is_refused_alone)
{
    gate_fixture it;
    it.submit(seconds{0}, 1, 7636); // The capacity and D/8 are 7,635.
    it.submit(seconds{0}, 2, 7635);
    auto const refusals = it.refused(seconds{0});
    cr_assert(refusals.size() == 1 && refusals.front().number == 1);
    cr_assert(refusals.front().retry_after == seconds{4});
    cr_assert(it.ask(seconds{0}).needs.front().waiting == std::vector<std::uint64_t>{7635});
}

// Guards against requests that wait for ever without a holder, or that are refused before their limit.
Test(quota_gate, without_a_holder_requests_wait_up_to_their_limit)
{
    gate_fixture it;
    it.submit(seconds{0}, 1, 1100);
    // The first two repeats come after 100 ms, the others after 250 ms.
    duration next = milliseconds{100};
    for (duration when{0}; when < milliseconds{2000}; when = next)
    {
        it.ask(when);
        it.gate.on_no_reply(at(when));
        cr_assert(it.gate.step(at(when)).empty());
        next = when + (when < milliseconds{200} ? milliseconds{100} : milliseconds{250});
        cr_assert(it.gate.next_due(at(when)) <= at(next));
        cr_assert(!it.gate.next_question(at(next - milliseconds{1})));
    }
    cr_assert(it.gate.next_due(at(milliseconds{1999})) == at(milliseconds{2000}));
    auto const steps = it.gate.step(at(seconds{2}));
    cr_assert(steps.size() == 1);
    auto const* const refusal = std::get_if<refuse_unchecked>(&steps.front());
    cr_assert(refusal != nullptr && refusal->number == 1 && refusal->waited == seconds{2});
}

// Guards against an instance without a holder that uses more than its share of D/8 in a window.
Test(quota_gate, without_a_holder_an_even_share_is_used)
{
    gate_fixture it;
    it.submit(seconds{0}, 1, 10);
    it.reply(milliseconds{10}, it.ask(seconds{0}).sequence, 10, 0, 5); // Tells the number of instances.
    cr_assert(it.admitted(milliseconds{10}) == numbers{1});
    std::uint64_t used = 0;
    request_number number = 2;
    for (duration when = seconds{1}; when < seconds{9}; when += milliseconds{100})
    {
        it.submit(when, number++, 50);
        if (it.gate.next_question(at(when)))
        {
            it.gate.on_no_reply(at(when));
        }
        for (quota_step const& step : it.gate.step(at(when)))
        {
            bool const admitted = std::holds_alternative<admit_request>(step);
            cr_assert(!admitted || when >= seconds{1} + milliseconds{1100});
            used += admitted ? 50 : 0;
        }
    }
    // D/8 = 2,545 for five instances.
    cr_assert(used >= 400 && used <= 509, "%lu", static_cast<unsigned long>(used));
}

// Guards against returned cost that is counted twice after a lost reply, while spent cost must not be lost.
Test(quota_gate, returned_cost_is_told_once_and_spent_cost_until_it_is_answered)
{
    gate_fixture it;
    it.submit(seconds{0}, 1, 1000);
    it.reply(milliseconds{5}, it.ask(seconds{0}).sequence, 1000);
    cr_assert(it.admitted(milliseconds{5}) == numbers{1});
    it.gate.give_back(at(milliseconds{200}), "o", 1000);
    cr_assert(!it.gate.next_question(at(milliseconds{249})));
    quota_question const question = it.ask(milliseconds{250});
    cr_assert(question.needs.front().spent == 1000 && question.needs.front().returned == 1000);
    it.gate.on_no_reply(at(milliseconds{550}));
    cr_assert(!it.gate.next_question(at(milliseconds{649})));
    quota_question const again = it.ask(milliseconds{650});
    cr_assert(again.needs.front().spent == 1000 && again.needs.front().returned == 0);
    it.reply(milliseconds{660}, again.sequence, 0);
    cr_assert(!it.gate.next_question(at(seconds{2})));
}

// Guards against cost that is given back although it is in no window that is still open.
Test(quota_gate, cost_from_before_the_window_is_not_given_back)
{
    gate_fixture it;
    it.submit(seconds{0}, 1, 1000);
    it.reply(milliseconds{5}, it.ask(seconds{0}).sequence, 1000);
    cr_assert(it.admitted(milliseconds{5}) == numbers{1});
    it.reply(milliseconds{260}, it.ask(milliseconds{255}).sequence, 0);
    it.gate.give_back(at(milliseconds{8100}), "o", 1000);
    cr_assert(!it.gate.next_question(at(seconds{9})));
}

// Guards against a holder that counts spent credit until it expires: it is told after 250 ms.
Test(quota_gate, spent_credit_is_told_without_another_request)
{
    gate_fixture it;
    it.submit(seconds{0}, 1, 1000);
    it.reply(milliseconds{5}, it.ask(seconds{0}).sequence, 1000);
    cr_assert(it.admitted(milliseconds{5}) == numbers{1});
    auto const due = it.gate.next_due(at(milliseconds{5}));
    cr_assert(due && *due <= at(milliseconds{250}));
    cr_assert(it.ask(milliseconds{250}).needs.front().spent == 1000);
}

// Guards against a question without a bound on its length.
Test(quota_gate, at_most_64_requests_are_stated)
{
    gate_fixture it;
    for (request_number number = 0; number < 100; ++number)
    {
        it.submit(seconds{0}, number, 10);
    }
    cr_assert(it.ask(seconds{0}).needs.front().waiting.size() == 64);
}

// Guards against a request that runs after its caller has left, and credit for it that is lost.
Test(quota_gate, a_withdrawn_request_leaves_its_credit)
{
    gate_fixture it;
    it.submit(seconds{0}, 1, 1000);
    quota_question const question = it.ask(seconds{0});
    it.gate.withdraw(1);
    it.gate.withdraw(1);
    cr_assert(it.gate.waiting() == 0);
    it.reply(milliseconds{5}, question.sequence, 1000);
    cr_assert(it.gate.step(at(milliseconds{5})).empty());
    it.submit(milliseconds{10}, 2, 1000);
    cr_assert(it.admitted(milliseconds{10}) == numbers{2});
}

// Guards against requests that stay refused, and an access without a limit, after the limit was removed.
Test(quota_gate, requests_go_on_when_their_limit_is_removed)
{
    gate_fixture it;
    it.submit(seconds{0}, 1, 1100);
    it.reply(milliseconds{10}, it.ask(seconds{0}).sequence, 0, 3000);
    cr_assert(it.refused(milliseconds{10}).size() == 1);
    it.set_limit(0.0, 0.0);
    it.submit(milliseconds{20}, 2, 1100);
    cr_assert(it.admitted(milliseconds{20}) == numbers{2});
}

// Guards against accounts that are kept for ever: one that is unused for 30 s is forgotten.
Test(quota_gate, unused_accounts_are_forgotten)
{
    gate_fixture it;
    it.submit(seconds{0}, 1, 1000);
    it.reply(milliseconds{5}, it.ask(seconds{0}).sequence, 1000);
    cr_assert(it.admitted(milliseconds{5}) == numbers{1});
    it.gate.step(at(seconds{29}));
    cr_assert(it.gate.fleet_use(at(seconds{29}), "o").has_value());
    it.gate.step(at(seconds{31}));
    cr_assert(!it.gate.fleet_use(at(seconds{31}), "o").has_value());
    cr_assert(!it.gate.next_due(at(seconds{31})));
}

// Guards against an instance that is cut off and spends more than its share of the rate, begins before the
// holder counts with that, or goes on after its time.
Test(quota_gate, without_a_holder_the_share_of_the_rate_is_spent_for_eight_seconds)
{
    gate_fixture it;
    it.submit(seconds{0}, 1, 100);
    it.reply(milliseconds{10}, it.ask(seconds{0}).sequence, 100, 0, 0, 1000);
    cr_assert(it.admitted(milliseconds{10}) == numbers{1});
    std::uint64_t spent = 0;
    request_number number = 2;
    for (duration when = milliseconds{100}; when < seconds{14}; when += milliseconds{20})
    {
        it.submit(when, number++, 100);
        if (it.gate.next_question(at(when)))
        {
            it.gate.on_no_reply(at(when));
        }
        for (quota_step const& step : it.gate.step(at(when)))
        {
            bool const admitted = std::holds_alternative<admit_request>(step);
            cr_assert(!admitted || when >= milliseconds{1100}, "no share while the holder may answer");
            cr_assert(!admitted || when <= seconds{8}, "no share after 8 s");
            spent += admitted ? 100 : 0;
            double const allowed = 1000.0 * std::chrono::duration<double>(when - milliseconds{1100}).count();
            cr_assert(static_cast<double>(spent) <= std::max(allowed, 0.0) + 1e-6);
        }
    }
    // 6.7 to 6.9 s remain: the first question without an answer is sent up to 0.25 s after the answered one.
    cr_assert(spent >= 6500 && spent <= 6900, "%lu", static_cast<unsigned long>(spent));
}

// Guards against a holder that counts with the share of an instance that is in touch with it, and against one
// that keeps the share of an instance which has become idle: the instance asks every 0.8 s.
Test(quota_gate, an_instance_with_a_share_asks_although_it_has_nothing_to_tell)
{
    gate_fixture it;
    it.submit(seconds{0}, 1, 1000);
    it.reply(milliseconds{5}, it.ask(seconds{0}).sequence, 1000, 0, 65, 1000);
    cr_assert(it.admitted(milliseconds{5}) == numbers{1});
    it.reply(milliseconds{260}, it.ask(milliseconds{255}).sequence, 0, 0, 65, 900);
    cr_assert(!it.gate.next_question(at(milliseconds{1054})));
    quota_question const question = it.ask(milliseconds{1055});
    cr_assert(question.instances == 65 && question.needs.size() == 1);
    cr_assert(question.needs.front().spent == 0 && question.needs.front().organisation == "o");
    it.reply(milliseconds{1060}, question.sequence, 0, 0, 65, 0);
    cr_assert(!it.gate.next_question(at(seconds{3})), "without a share there is nothing to ask");
}
