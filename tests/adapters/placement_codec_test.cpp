#include "adapters/placement_codec.hpp"

#include "core/random_source.hpp"

#include <criterion/criterion.h>

using namespace siskinusher;

namespace
{

holder_reply example_reply()
{
    holder_reply reply;
    reply.placement.instances = 9;
    reply.placement.placements = {{"e1", "m0", "a1", false}, {"e2", "m1", "", true}};
    reply.placement.running = std::vector<engine_requests>{{"e1", 7}, {"e2", 0}};
    reply.placement.grants = {{{"e1", 1.4, milliseconds{250}}, 2}, {{"e2", -1.0, milliseconds{90}}, 0}};
    reply.servers.position = {"h1-77", 12};
    reply.servers.complete = true;
    reply.servers.followed = {2, 400};
    backend_entry entry;
    entry.name = "e1";
    entry.service = "llm";
    entry.address = "10.0.0.1:80";
    entry.data_centre = "a";
    entry.places = 12;
    entry.software_version = "v1.1";
    entry.leaving = true;
    entry.is_engine = true;
    entry.models = {{"m0", {"a1", "a2"}}, {"m1", {}}};
    entry.started_at = 1774000000123;
    reply.servers.changed = {{entry, {2, 399}}};
    reply.servers.removed = {"e7", "e8"};
    reply.config = {17, {2, 88}, "{}"};
    reply.versions = {{"llm", {"v1", "v1.1"}}};
    reply.store_state_age = milliseconds{340};
    reply.crash_marks = std::vector<crash_mark>{{"5c1e07a2", 1, "e1", 1774000000123}};
    reply.relays = {{"10.0.0.4:7000", "a"}};
    return reply;
}

std::string encode(holder_reply const& reply)
{
    return encode_reply(encode_placement_update(reply.placement), encode_update(reply.servers),
                        reply.crash_marks ? encode_crash_marks(*reply.crash_marks) : std::string(),
                        reply.placement.grants, reply.config, reply.versions, reply.relays,
                        reply.store_state_age);
}

} // namespace

// Guards against a field that is lost or exchanged between instances.
Test(placement_codec, messages_keep_their_fields)
{
    holder_reply const reply = example_reply();
    auto const decoded = decode_reply(encode(reply));
    cr_assert(decoded && *decoded == reply);
    holder_reply without = reply;
    without.crash_marks.reset();
    auto const shorter = decode_reply(encode(without));
    cr_assert(shorter && *shorter == without);
    demand_report const report{"i1",
                               "10.0.0.9:7000",
                               {{"llm", "m0", "a1", 2, 3, 4, 5}},
                               {"e4"},
                               {{"e1", 3}},
                               true,
                               {"h1-77", 12},
                               987654321098765432U,
                               {{"91bd3f06", 2, "e2", 1774000000124}},
                               {{{"e1", 0.1, milliseconds{3}}, 4}},
                               {16, {2, 80}, "text"},
                               {{"9c41d07be2a35f68", "v1.1"}},
                               "dc1",
                               true};
    auto const read = decode_demand(encode_demand(report));
    cr_assert(read && *read == report);
}

// Guards against foreign bytes or a truncated message that end the process or are accepted as a message.
Test(placement_codec, damaged_bytes_are_refused_or_still_well_formed)
{
    random_source random(20261204);
    std::string const reply = encode(example_reply());
    std::string const demand = encode_demand({"i1",
                                              "10.0.0.9:7000",
                                              {{"llm", "m0", "", 1, 2, 3, 4}},
                                              {},
                                              {},
                                              false,
                                              {},
                                              0,
                                              {{"91bd3f06", 2, "e2", 4}},
                                              {{{"e1", 2.0, {}}, 4}}});
    for (std::string const& whole : {reply, demand})
    {
        for (std::size_t size = 0; size < whole.size(); ++size)
        {
            cr_assert_not(decode_reply(whole.substr(0, size)).has_value());
            cr_assert_not(decode_demand(whole.substr(0, size)).has_value());
        }
        for (int i = 0; i < 20000; ++i)
        {
            std::string bytes = whole;
            for (std::uint64_t changes = 1 + random.below(4); changes > 0; --changes)
            {
                bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
            }
            (void)decode_reply(bytes);
            (void)decode_demand(bytes);
        }
    }
}

// Guards against a reply that an instance of an older build cannot read: the standbys travel in a header, and
// a reply without it, as an older holder sends, names none.
Test(placement_codec, standbys_travel_beside_the_reply)
{
    cr_assert(encode_standbys({}).empty());
    std::string const line = encode_standbys({"10.0.0.1:7260", "10.0.0.2:7260"});
    cr_assert_eq(line, std::string("Store-Standbys: 10.0.0.1:7260,10.0.0.2:7260\r\n"));
    std::vector<std::string> const expected{"10.0.0.1:7260", "10.0.0.2:7260"};
    cr_assert(decode_standbys({{"Content-Type", "application/cbor"},
                               {"store-standbys", "10.0.0.1:7260,10.0.0.2:7260"}}) == expected);
    cr_assert(decode_standbys({{"Store-Standbys", ",10.0.0.1:7260,,10.0.0.2:7260,"}}) == expected);
    cr_assert(decode_standbys({{"Content-Type", "application/cbor"}}).empty());
    cr_assert(decode_standbys({{"Store-Standbys", ""}}).empty());
}

// Guards against an age that is rounded down, which makes a configuration newer than it is, and against a
// peer without a proof, or of an older build, whose reply counts as one.
Test(placement_codec, age_of_the_configuration_is_never_understated)
{
    auto const decoded = [](std::string const& line)
    {
        std::size_t const colon = line.find(": ");
        return decode_config_age({{line.substr(0, colon), line.substr(colon + 2, line.size() - colon - 4)}});
    };
    for (duration const age : {duration{0}, duration{microseconds{1}}, duration{microseconds{999}},
                               duration{milliseconds{833}}, duration{minutes{60}}})
    {
        told_config_age const told = decoded(encode_config_age(age));
        cr_assert(told.stated && told.age.has_value());
        cr_expect(*told.age >= age && *told.age <= age + milliseconds{1});
    }
    told_config_age const none = decoded(encode_config_age(std::nullopt));
    cr_expect(none.stated && !none.age.has_value());
    told_config_age const older_build = decode_config_age({{"Content-Type", "application/cbor"}});
    cr_expect(!older_build.stated && !older_build.age.has_value());
    for (char const* const value : {"", "-1", "1.5", "x", "99999999999999999999999"})
    {
        cr_expect(!decode_config_age({{"config-age", value}}).age.has_value(), "%s", value);
    }
}
