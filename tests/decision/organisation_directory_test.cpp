#include "decision/organisation_directory.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace siskinusher;

namespace
{

constexpr std::size_t most_keys = 10000; // The design target: an organisation each.

std::string key_of(std::size_t index)
{
    return "k" + std::to_string(index) + "-0123456789abcdef0123456789abcdef";
}

std::shared_ptr<serving_config const> config_with(std::size_t organisations)
{
    auto config = std::make_shared<serving_config>();
    config->organisations.emplace();
    for (std::size_t i = 0; i < organisations; ++i)
    {
        organisation one;
        one.name = "org" + std::to_string(i);
        one.keys = {key_of(i)};
        config->organisations->push_back(std::move(one));
    }
    return config;
}

caller_credentials bearer(std::string key)
{
    return {credentials_form::bearer, std::move(key)};
}

bool is_rejected(caller_identity const& identity)
{
    return std::holds_alternative<rejected_caller>(identity);
}

// Nanoseconds of processor time of one look-up, the least of several rounds, so that other load does not
// count.
double time_of_lookup(organisation_directory const& directory, std::vector<caller_credentials> const& asked)
{
    double least = 1e12;
    route_rule const route;
    for (int round = 0; round < 15; ++round)
    {
        std::size_t rejected = 0;
        auto const begun = std::chrono::steady_clock::now();
        for (caller_credentials const& each : asked)
        {
            rejected += is_rejected(directory.identify(route, each)) ? 1 : 0;
        }
        std::chrono::duration<double, std::nano> const took = std::chrono::steady_clock::now() - begun;
        cr_assert_leq(rejected, asked.size());
        least = std::min(least, took.count() / static_cast<double>(asked.size()));
    }
    return least;
}

std::vector<caller_credentials> known_keys(std::size_t of, std::size_t count)
{
    std::vector<caller_credentials> asked;
    for (std::size_t i = 0; i < count; ++i)
    {
        asked.push_back(bearer(key_of(i * 7919 % of)));
    }
    return asked;
}

std::vector<caller_credentials> wrong_keys(std::size_t count)
{
    std::vector<caller_credentials> asked;
    for (std::size_t i = 0; i < count; ++i)
    {
        // Differs from a valid key in its last character only.
        std::string key = key_of(i % most_keys);
        key.back() = 'X';
        asked.push_back(bearer(std::move(key)));
    }
    return asked;
}

} // namespace

// Guards against a key that identifies another organisation, or none.
Test(organisation_directory, each_of_10000_keys_is_of_its_organisation)
{
    organisation_directory const directory(config_with(most_keys), 7);
    for (std::size_t i = 0; i < most_keys; ++i)
    {
        caller_identity const identity = directory.identify({}, bearer(key_of(i)));
        auto const* const* const found = std::get_if<organisation const*>(&identity);
        cr_assert(found != nullptr && *found != nullptr, "key %zu", i);
        cr_assert_eq((*found)->name, "org" + std::to_string(i));
        cr_assert_eq(directory.find("org" + std::to_string(i)), *found);
    }
    cr_assert_null(directory.find("org" + std::to_string(most_keys)));
}

// Guards against keys that only resemble a valid one.
Test(organisation_directory, near_misses_are_unknown_keys)
{
    organisation_directory const directory(config_with(3), 7);
    std::string const key = key_of(1);
    std::vector<std::string> const wrong{key.substr(0, key.size() - 1), key + "0", "K" + key.substr(1), "",
                                         std::string(1, '\0') + key,    key + '\0'};
    for (std::string const& each : wrong)
    {
        caller_identity const identity = directory.identify({}, bearer(each));
        auto const* const rejected = std::get_if<rejected_caller>(&identity);
        cr_assert(rejected != nullptr && rejected->unknown_key, "'%s'", each.c_str());
    }
}

// Guards against a request without a usable key that is answered as if a later configuration could help.
Test(organisation_directory, unusable_credentials_are_rejected_whatever_key_they_hold)
{
    organisation_directory const directory(config_with(3), 7);
    for (credentials_form const form :
         {credentials_form::absent, credentials_form::malformed, credentials_form::repeated})
    {
        caller_identity const identity = directory.identify({}, {form, key_of(1)});
        auto const* const rejected = std::get_if<rejected_caller>(&identity);
        cr_assert(rejected != nullptr && !rejected->unknown_key);
    }
}

// Guards against public routes that ask for keys, and against routes that are open because no organisation
// is listed: an empty list asks for keys that nobody has.
Test(organisation_directory, keys_are_asked_for_where_they_are_configured)
{
    route_rule open_route;
    open_route.is_public = true;
    organisation_directory const some(config_with(3), 7);
    cr_assert(std::holds_alternative<unrestricted_caller>(some.identify(open_route, {})));
    cr_assert(std::holds_alternative<unrestricted_caller>(some.identify(open_route, bearer(key_of(1)))));
    organisation_directory const empty(config_with(0), 7);
    cr_assert(empty.is_active());
    cr_assert(is_rejected(empty.identify({}, bearer(key_of(1)))));
    organisation_directory const none(std::make_shared<serving_config const>(), 7);
    cr_assert_not(none.is_active());
    cr_assert(std::holds_alternative<unrestricted_caller>(none.identify({}, {})));
}

// Guards against a search through the organisations: with a thousand times as many keys a look-up may take
// longer by cache misses only. A search through the list takes a thousand times as long.
Test(organisation_directory, lookups_take_about_as_long_with_10000_keys_as_with_10)
{
    organisation_directory const small(config_with(10), 7);
    organisation_directory const large(config_with(most_keys), 7);
    double const with_few = time_of_lookup(small, known_keys(10, 2000));
    double const with_many = time_of_lookup(large, known_keys(most_keys, 2000));
    cr_log_info("look-up: %.0f ns with 10 keys, %.0f ns with 10,000", with_few, with_many);
    cr_expect_lt(with_many, 20.0 * with_few, "%.0f ns with 10 keys, %.0f ns with 10,000", with_few,
                 with_many);
}

// Guards against a flood of wrong keys that costs more than valid ones, also with keys chosen to resemble
// valid ones.
Test(organisation_directory, wrong_keys_cost_no_more_than_valid_ones)
{
    organisation_directory const directory(config_with(most_keys), 7);
    double const valid = time_of_lookup(directory, known_keys(most_keys, 2000));
    double const wrong = time_of_lookup(directory, wrong_keys(20000));
    cr_log_info("look-up: %.0f ns of a valid key, %.0f ns of a wrong one", valid, wrong);
    cr_expect_lt(wrong, 5.0 * valid, "%.0f ns of a valid key, %.0f ns of a wrong one", valid, wrong);
}

// Guards against a cost that is rounded down, so that a fraction of each request is free, and against tokens
// that are counted for an organisation whose requests are counted.
Test(organisation_directory, cost_is_in_the_unit_of_the_quota)
{
    organisation_quota quota;
    cr_assert_eq(quota_cost(quota, 900), 1);
    cr_assert_eq(quota_cost(quota, {}), 1);
    quota.unit = quota_unit::tokens;
    quota.default_tokens = 200.2;
    cr_assert_eq(quota_cost(quota, 900), 900);
    cr_assert_eq(quota_cost(quota, {}), 201);
    quota.default_tokens = 1e300;
    cr_assert_eq(quota_cost(quota, {}), 1000000000000000U);
}
