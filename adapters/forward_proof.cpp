#include "adapters/forward_proof.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <array>

namespace siskinusher
{

namespace
{

using digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

unsigned char const* bytes_of(std::string_view text)
{
    return reinterpret_cast<unsigned char const*>(text.data());
}

digest sha256(std::string_view text)
{
    digest result{};
    SHA256(bytes_of(text), text.size(), result.data());
    return result;
}

std::string hex(digest const& bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (unsigned char const byte : bytes)
    {
        text.push_back(digits.at(byte >> 4U));
        text.push_back(digits.at(byte & 15U));
    }
    return text;
}

} // namespace

std::string forward_proof(std::string_view shared_key, std::string_view request_id,
                          std::string_view next_token, std::string_view body)
{
    // The label ensures that no proof is also a valid answer to a challenge of the peer link, which uses the
    // same key.
    std::string message("siskin-forward\n");
    message.append(request_id).append("\n").append(next_token).append("\n").append(hex(sha256(body)));
    digest result{};
    HMAC(EVP_sha256(), shared_key.data(), static_cast<int>(shared_key.size()), bytes_of(message),
         message.size(), result.data(), nullptr);
    return hex(result);
}

bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    // Comparing digests, which have equal lengths, also hides the length of the secret.
    digest const left = sha256(a);
    digest const right = sha256(b);
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace siskinusher
