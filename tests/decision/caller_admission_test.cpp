#include "decision/caller_admission.hpp"

#include <criterion/criterion.h>

#include <optional>
#include <string>

using namespace siskinusher;

namespace
{

constexpr steady_time read_at{minutes{60}};
organisation const known{"hule930", {"key"}, {}, {}};
admission_bounds const bounds{milliseconds{5000}, milliseconds{2500}};

caller_identity known_caller()
{
    return &known;
}

std::optional<admission_fault> fault_of(caller_identity const& identity, duration age, bool behind = false,
                                        admission_bounds const& with = bounds)
{
    admission const decision = admit_caller(identity, read_at + age, {read_at, behind}, with);
    auto const* const refused = std::get_if<caller_refused>(&decision);
    return refused == nullptr ? std::nullopt : std::optional(refused->fault);
}

} // namespace

// Guards against a key that works longer than the bound after it may have been taken away, and against a
// refusal before it. The share of 1% is for clocks that differ in their rate.
Test(caller_admission, keys_count_until_99_percent_of_the_bound_after_the_proof)
{
    cr_assert(!fault_of(known_caller(), milliseconds{0}).has_value());
    cr_assert(!fault_of(known_caller(), milliseconds{4950}).has_value());
    cr_assert(fault_of(known_caller(), microseconds{4950001}) == admission_fault::keys_unproven);
    cr_assert(fault_of(known_caller(), minutes{1440}) == admission_fault::keys_unproven);
    // That a later version is known to exist changes nothing: it was acknowledged after the proof.
    cr_assert(!fault_of(known_caller(), milliseconds{4950}, true).has_value());
}

// Guards against an organisation that may use any amount because its limit cannot be read, and against a
// refusal for good.
Test(caller_admission, organisation_without_a_known_limit_is_refused_for_now)
{
    organisation unread = known;
    unread.has_known_limit = false;
    admission const decision = admit_caller(&unread, read_at, {read_at, false}, bounds);
    auto const* const refused = std::get_if<caller_refused>(&decision);
    cr_assert(refused != nullptr && refused->fault == admission_fault::limit_unknown);
    cr_assert(refused->retry_after > duration{0});
    cr_assert_eq(std::string(to_string(admission_fault::limit_unknown)), "limit_unknown");
}

// Guards against requests that are refused because their configuration was read after they had arrived.
Test(caller_admission, request_that_arrived_before_the_proof_is_admitted)
{
    admission const decision = admit_caller(known_caller(), read_at - minutes{60}, {read_at, false}, bounds);
    auto const* const admitted = std::get_if<caller_admitted>(&decision);
    cr_assert(admitted != nullptr && admitted->caller == &known);
}

// Guards against an instance that has read nothing since its start and takes its own clock for a proof.
Test(caller_admission, without_any_proof_no_key_is_accepted)
{
    admission const decision = admit_caller(known_caller(), read_at, {steady_time{}, false}, bounds);
    auto const* const refused = std::get_if<caller_refused>(&decision);
    cr_assert(refused != nullptr && refused->fault == admission_fault::keys_unproven);
    cr_assert(refused->retry_after == milliseconds{500});
    cr_assert_eq(refused->caller, &known, "the refusal is not counted for its organisation");
}

// Guards against refusals where the operators did not ask for a bound.
Test(caller_admission, without_a_bound_an_old_proof_is_enough)
{
    admission_bounds const unbounded{std::nullopt, milliseconds{2500}};
    cr_assert(!fault_of(known_caller(), minutes{1440}, true, unbounded).has_value());
}

// Guards against public routes that close during an outage of the store.
Test(caller_admission, unrestricted_callers_need_no_proof)
{
    cr_assert(!fault_of(unrestricted_caller{}, minutes{1440}, true).has_value());
}

// Guards against 401 for a key that a new version has just added, which callers take for final, and against
// 503 for one that is known to be wrong, which they send again.
Test(caller_admission, unknown_key_is_final_only_while_the_configuration_is_new)
{
    rejected_caller const unknown{true};
    cr_assert(fault_of(unknown, milliseconds{0}) == admission_fault::unknown_key);
    cr_assert(fault_of(unknown, milliseconds{1250}) == admission_fault::unknown_key);
    cr_assert(fault_of(unknown, microseconds{1250001}) == admission_fault::key_not_known_yet);
    cr_assert(fault_of(unknown, milliseconds{0}, true) == admission_fault::key_not_known_yet);
    admission const decision = admit_caller(unknown, read_at, {read_at, true}, bounds);
    cr_assert(std::get<caller_refused>(decision).retry_after == milliseconds{300});
    admission const final_one = admit_caller(unknown, read_at, {read_at, false}, bounds);
    cr_assert(std::get<caller_refused>(final_one).retry_after == duration{0});
}

// Guards against a caller without a key that is told to come back.
Test(caller_admission, absent_key_is_final_whatever_the_age)
{
    cr_assert(fault_of(rejected_caller{false}, minutes{1440}, true) == admission_fault::unknown_key);
}

// Guards against names in logs and metrics that differ from those of the operators' pages.
Test(caller_admission, faults_have_names)
{
    cr_assert_eq(std::string(to_string(admission_fault::unknown_key)), "unknown_key");
    cr_assert_eq(std::string(to_string(admission_fault::keys_unproven)), "keys_unproven");
    cr_assert_eq(std::string(to_string(admission_fault::key_not_known_yet)), "key_not_known_yet");
}
