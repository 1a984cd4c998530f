#pragma once

#include "core/steady_time.hpp"
#include "domain/identifiers.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace siskinusher
{

/// What the limits of organisations tolerate, over all instances together.
struct quota_bounds
{
    duration window{0};  ///< Each limit holds in every span of this length.
    double excess = 0.0; ///< Share of a limit that is tolerated beyond it.
    double slack = 0.0;  ///< Units that are tolerated on top of it.
};

/// What an instance tells the lease holder about one organisation. All figures are in units of its limit.
struct quota_need
{
    std::string organisation;
    std::uint64_t held = 0; ///< Credit in hand that has not expired.
    /// What each request that waits lacks, in the order of their arrival; the first ones only.
    std::vector<std::uint64_t> waiting;
    std::uint64_t ahead = 0; ///< Credit wanted for requests to come.
    std::uint64_t returned =
        0; ///< Credit that expired, or whose request did not run, since the last question.
    /// Since the last question; for an organisation with a limit, also what is returned of it.
    std::uint64_t spent = 0;
    std::uint64_t typical = 0; ///< Cost of a usual request; less credit is of no use.
};

struct quota_question
{
    std::string instance;
    std::uint64_t start = 0;    ///< Differs between two starts of the instance.
    std::uint64_t sequence = 0; ///< Rises with each question of a start.
    unsigned instances = 0;     ///< As a holder told last; zero when none has.
    std::vector<quota_need> needs;
};

struct quota_grant
{
    std::string organisation;
    std::uint64_t granted = 0;
    /// When callers of what waits beyond the granted may come back, those before them counted; zero when it
    /// was granted, or is to be asked for again soon.
    std::uint64_t room_after_ms = 0;
    /// When the instance may ask again for an organisation that has no room; zero like room_after_ms.
    std::uint64_t ask_after_ms = 0;
    std::uint64_t spent_per_s = 0; ///< By all instances, of late.
    /// What the instance may spend a second, without credit, while no holder answers.
    std::uint64_t share_per_s = 0;
};

struct quota_reply
{
    std::uint64_t sequence = 0; ///< Of the question.
    unsigned instances = 0;     ///< That the holder knows; zero when unknown.
    std::vector<quota_grant> grants;
};

/// A request that needs credit before it may run.
struct quota_request
{
    request_number number = 0;
    std::string organisation;
    std::uint64_t cost = 0;
    steady_time refuse_at;      ///< It waits for an answer of the holder until then.
    steady_time submitted_at{}; ///< Set by the gate.
};

/// The request has its credit.
struct admit_request
{
    request_number number = 0;
};
/// The organisation is beyond its limit.
struct refuse_over_limit
{
    request_number number = 0;
    duration retry_after{0};
    std::uint64_t held = 0; ///< Credit of the organisation at this instance.
};
/// Nobody answered whether the organisation is within its limit.
struct refuse_unchecked
{
    request_number number = 0;
    duration waited{0};
};
using quota_step = std::variant<admit_request, refuse_over_limit, refuse_unchecked>;

bool operator==(quota_bounds const& a, quota_bounds const& b);
bool operator==(quota_need const& a, quota_need const& b);
bool operator==(quota_question const& a, quota_question const& b);
bool operator==(quota_grant const& a, quota_grant const& b);
bool operator==(quota_reply const& a, quota_reply const& b);

} // namespace siskinusher
