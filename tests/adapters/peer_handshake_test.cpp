#include "adapters/peer_handshake.hpp"
#include "core/random_source.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace siskinusher;

namespace
{

instance_id const west{"chaguanas-1", 11};
instance_id const east{"valencia-1", 22};
std::string const key = "a key that both sides know";

std::string nonce(char fill)
{
    return std::string(32, fill);
}

} // namespace

// Guards against a handshake that fails between correct instances or reports another identity.
Test(peer_handshake, both_sides_learn_the_authenticated_identity)
{
    dialler_handshake dialler(key, west, east.name, make_nonce().value());
    acceptor_handshake acceptor(key, east, make_nonce().value());
    auto const challenge = acceptor.on_hello(dialler.hello());
    auto const response = dialler.on_challenge(challenge.value());
    cr_assert(acceptor.on_response(response.value()).value() == west);
    cr_assert(dialler.peer() == east);
}

// Guards against either side accepting an instance of another fleet, or a program without the key, as a peer.
Test(peer_handshake, a_wrong_key_is_refused_by_both_sides)
{
    dialler_handshake dialler("another key", west, east.name, nonce('a'));
    acceptor_handshake acceptor(key, east, nonce('b'));
    auto const challenge = acceptor.on_hello(dialler.hello());
    cr_assert(dialler.on_challenge(challenge.value()).error() == std::errc::permission_denied);

    acceptor_handshake other("another key", east, nonce('b'));
    auto const accepted = dialler.on_challenge(other.on_hello(dialler.hello()).value());
    cr_assert(acceptor.on_response(accepted.value()).error() == std::errc::permission_denied);
}

// Guards against a replayed handshake that authenticates a program without the key.
Test(peer_handshake, a_replayed_response_is_refused)
{
    dialler_handshake dialler(key, west, east.name, nonce('a'));
    acceptor_handshake acceptor(key, east, nonce('b'));
    auto const response = dialler.on_challenge(acceptor.on_hello(dialler.hello()).value());
    acceptor_handshake later(key, east, nonce('c'));
    cr_assert(later.on_hello(dialler.hello()).has_value());
    cr_assert(later.on_response(response.value()).error() == std::errc::permission_denied);
    // A replayed challenge does not pass for another nonce of the dialler either.
    dialler_handshake dials_later(key, west, east.name, nonce('d'));
    auto const challenge = acceptor.on_hello(dialler.hello());
    cr_assert(!dials_later.on_challenge(challenge.value()));
}

// Guards against a proof that one side made being sent back to it as the other side's.
Test(peer_handshake, a_reflected_proof_is_refused)
{
    acceptor_handshake acceptor(key, east, nonce('b'));
    dialler_handshake dialler(key, west, east.name, nonce('a'));
    std::string const challenge = acceptor.on_hello(dialler.hello()).value();
    std::string const proof = challenge.substr(challenge.size() - 34); // A byte string of 32 bytes.
    cr_assert(acceptor.on_response("\x81" + proof).error() == std::errc::permission_denied);
}

// Guards against an address that now belongs to another instance, and against a link to oneself.
Test(peer_handshake, an_unexpected_name_is_refused)
{
    dialler_handshake dialler(key, west, "princes-town-1", nonce('a'));
    acceptor_handshake acceptor(key, east, nonce('b'));
    cr_assert(!dialler.on_challenge(acceptor.on_hello(dialler.hello()).value()));
    cr_assert(!acceptor_handshake(key, west, nonce('b')).on_hello(dialler.hello()));
    cr_assert(!acceptor.on_hello(dialler_handshake(key, {"", 1}, east.name, nonce('a')).hello()));
}

// Guards against a response without a hello, whose transcript would be empty and so predictable.
Test(peer_handshake, a_response_before_the_hello_is_refused)
{
    dialler_handshake dialler(key, west, east.name, nonce('a'));
    acceptor_handshake acceptor(key, east, nonce('b'));
    auto const response = dialler.on_challenge(acceptor.on_hello(dialler.hello()).value());
    cr_assert(!acceptor_handshake(key, east, nonce('b')).on_response(response.value()));
}

// Guards against a crash or an accepted frame when any byte of the handshake is changed or missing.
Test(peer_handshake, damaged_frames_are_refused)
{
    random_source random(20261204);
    for (int round = 0; round < 5000; ++round)
    {
        dialler_handshake dialler(key, west, east.name, nonce('a'));
        acceptor_handshake acceptor(key, east, nonce('b'));
        std::string frames[3] = {dialler.hello()};
        std::size_t const damaged = random.below(3);
        bool refused = false;
        for (std::size_t step = 0; step < 3 && !refused; ++step)
        {
            std::string& frame = frames[step];
            if (step == damaged && random.below(4) == 0)
            {
                frame.resize(random.below(frame.size()));
            }
            else if (step == damaged)
            {
                std::size_t const at = random.below(frame.size());
                auto const changed = static_cast<unsigned char>(frame[at]) ^ (1 + random.below(255));
                frame[at] = static_cast<char>(changed);
            }
            auto const answer = step == 1   ? dialler.on_challenge(frame)
                                : step == 0 ? acceptor.on_hello(frame)
                                            : boost::outcome_v2::std_result<std::string>(std::string{});
            refused = !answer || (step == 2 && !acceptor.on_response(frame));
            if (!refused && step < 2)
            {
                frames[step + 1] = answer.value();
            }
        }
        cr_assert(refused, "a damaged handshake was accepted in round %d", round);
    }
}
