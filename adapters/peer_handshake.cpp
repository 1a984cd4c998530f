#include "adapters/peer_handshake.hpp"

#include "adapters/value_layouts.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <utility>

namespace siskinusher
{

namespace
{

using boost::outcome_v2::std_result;

// Must change with the layout of the handshake frames, so that releases with different layouts refuse each
// other explicitly.
constexpr char const* protocol = "siskinusher-peer-1";
constexpr std::size_t nonce_bytes = 32;
constexpr std::size_t proof_bytes = 32;
constexpr std::size_t max_name_bytes = 256;

struct hello_frame
{
    std::string protocol;
    instance_id from;
    std::string nonce;
};
struct challenge_frame
{
    instance_id from;
    std::string nonce;
    std::string proof;
};
struct response_frame
{
    std::string proof;
};

// The data of both sides that a proof covers.
struct transcript
{
    instance_id dialler;
    instance_id acceptor;
    std::string dialler_nonce;
    std::string acceptor_nonce;
};

struct labelled_transcript
{
    std::string protocol;
    std::string side;
    transcript content;
};

} // namespace

namespace field_codec
{

template <>
struct layout<hello_frame>
{
    static constexpr auto fields =
        std::make_tuple(field{"protocol", &hello_frame::protocol}, field{"from", &hello_frame::from},
                        field{"nonce", &hello_frame::nonce});
};
template <>
struct layout<challenge_frame>
{
    static constexpr auto fields =
        std::make_tuple(field{"from", &challenge_frame::from}, field{"nonce", &challenge_frame::nonce},
                        field{"proof", &challenge_frame::proof});
};
template <>
struct layout<response_frame>
{
    static constexpr auto fields = std::make_tuple(field{"proof", &response_frame::proof});
};
template <>
struct layout<transcript>
{
    static constexpr auto fields =
        std::make_tuple(field{"dialler", &transcript::dialler}, field{"acceptor", &transcript::acceptor},
                        field{"dialler_nonce", &transcript::dialler_nonce},
                        field{"acceptor_nonce", &transcript::acceptor_nonce});
};
template <>
struct layout<labelled_transcript>
{
    static constexpr auto fields = std::make_tuple(field{"protocol", &labelled_transcript::protocol},
                                                   field{"side", &labelled_transcript::side},
                                                   field{"content", &labelled_transcript::content});
};

} // namespace field_codec

namespace
{

template <typename Frame>
std::string encode(Frame const& frame)
{
    auto const tree = field_codec::tree_writer<field_codec::record_form::positional>::write(frame);
    return field_codec::write_cbor(tree).value();
}

template <typename Frame>
std_result<Frame> decode(std::string_view bytes)
{
    if (bytes.size() > max_handshake_bytes)
    {
        return std::errc::message_size;
    }
    auto frame = field_codec::decode_cbor<Frame>(bytes);
    // Only the exact bytes that encode() writes are accepted, so that a frame has no part that can be changed
    // without changing the proof.
    if (frame && encode(frame.value()) != bytes)
    {
        return std::errc::bad_message;
    }
    return frame;
}

// The encoded transcript contains the length of each part, so that different transcripts never have the same
// bytes.
std::string make_proof(std::string const& key, std::string side, transcript const& content)
{
    std::string const text = encode(labelled_transcript{protocol, std::move(side), content});
    std::string proof(EVP_MAX_MD_SIZE, '\0');
    unsigned int length = 0;
    auto const* const made = HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
                                  reinterpret_cast<unsigned char const*>(text.data()), text.size(),
                                  reinterpret_cast<unsigned char*>(proof.data()), &length);
    proof.resize(made == nullptr ? 0 : length);
    return proof;
}

bool is_proof(std::string const& received, std::string const& expected)
{
    return expected.size() == proof_bytes && received.size() == proof_bytes &&
           CRYPTO_memcmp(received.data(), expected.data(), proof_bytes) == 0;
}

bool is_name(std::string const& name)
{
    return !name.empty() && name.size() <= max_name_bytes;
}

} // namespace

std_result<std::string> make_nonce()
{
    std::string nonce(nonce_bytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), static_cast<int>(nonce.size())) != 1)
    {
        return std::errc::io_error;
    }
    return nonce;
}

dialler_handshake::dialler_handshake(std::string key, instance_id self, std::string expected,
                                     std::string nonce)
    : key_(std::move(key)), self_(std::move(self)), expected_(std::move(expected)), nonce_(std::move(nonce))
{
}

std::string dialler_handshake::hello() const
{
    return encode(hello_frame{protocol, self_, nonce_});
}

std_result<std::string> dialler_handshake::on_challenge(std::string_view frame)
{
    auto const challenge = decode<challenge_frame>(frame);
    if (!challenge)
    {
        return challenge.error();
    }
    auto const& [from, nonce, proof] = challenge.value();
    transcript const content{self_, from, nonce_, nonce};
    if (from.name != expected_ || nonce.size() != nonce_bytes ||
        !is_proof(proof, make_proof(key_, "acceptor", content)))
    {
        return std::errc::permission_denied;
    }
    peer_ = from;
    return encode(response_frame{make_proof(key_, "dialler", content)});
}

acceptor_handshake::acceptor_handshake(std::string key, instance_id self, std::string nonce)
    : key_(std::move(key)), self_(std::move(self)), nonce_(std::move(nonce))
{
}

std_result<std::string> acceptor_handshake::on_hello(std::string_view frame)
{
    auto const hello = decode<hello_frame>(frame);
    if (!hello)
    {
        return hello.error();
    }
    auto const& [version, from, nonce] = hello.value();
    if (version != protocol || nonce.size() != nonce_bytes || !is_name(from.name) || from.name == self_.name)
    {
        return std::errc::permission_denied;
    }
    claimed_ = from;
    dialler_nonce_ = nonce;
    return encode(challenge_frame{self_, nonce_, make_proof(key_, "acceptor", {from, self_, nonce, nonce_})});
}

std_result<instance_id> acceptor_handshake::on_response(std::string_view frame)
{
    auto const response = decode<response_frame>(frame);
    if (!response)
    {
        return response.error();
    }
    transcript const content{claimed_, self_, dialler_nonce_, nonce_};
    if (!is_name(claimed_.name) || !is_proof(response.value().proof, make_proof(key_, "dialler", content)))
    {
        return std::errc::permission_denied;
    }
    return claimed_;
}

} // namespace siskinusher
