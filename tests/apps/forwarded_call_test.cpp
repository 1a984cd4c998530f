#include "apps/forwarded_call.hpp"

#include "adapters/http_message.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace siskinusher;

namespace
{

constexpr char const* inner = "GET /again/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: r1\r\n\r\n";

std::string call_of_build_79343ca(std::string const& servers_left)
{
    std::string const body = inner;
    return "POST /forward HTTP/1.1\r\nHost: 127.0.0.1:1\r\nAuthorization: Bearer k\r\nServers-Left: " +
           servers_left + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

request_head head_of(std::string const& call)
{
    auto const head = parse_request_head(call.substr(0, call.find("\r\n\r\n") + 4));
    cr_assert(head.has_value());
    return *head;
}

} // namespace

// Guards against a form of the call that instances of the build before cannot read or write.
Test(forwarded_call, has_the_form_of_the_build_before)
{
    auto const decoded = decode_forwarded_call(head_of(call_of_build_79343ca("2")), inner);
    cr_assert(decoded.has_value());
    cr_expect_eq(decoded->servers_left, 2U);
    cr_expect_eq(decoded->head.target, "/again/1");
    platform::caller_request const request = platform::decode_request(decoded->head);
    std::string const call =
        encode_forwarded_head(request, 0, platform::attempt_headers{}, 1, "127.0.0.1:1", "Bearer k");
    auto const head = head_of(call);
    cr_expect_eq(head.method, "POST");
    cr_expect_eq(head.target, "/forward");
    cr_expect_eq(head.fields.value("Servers-Left"), "1");
    cr_expect_eq(head.fields.value("Authorization"), "Bearer k");
    cr_expect_not(
        decode_forwarded_call(head_of("POST /forward HTTP/1.1\r\nHost: h\r\n\r\n"), inner).has_value());
}

// Guards against a header value that a peer decodes before it passes the request on.
Test(forwarded_call, header_values_pass_a_peer_as_they_are)
{
    std::string const line = "X-Note: =?utf-8?B?eA0KSG9sZDogMQ==?= caf\xc3\xa9\r\n";
    std::string const bytes = "POST /once/1 HTTP/1.1\r\nHost: h\r\n" + line + "\r\n";
    auto const decoded = decode_forwarded_call(head_of(call_of_build_79343ca("1")), bytes);
    cr_assert(decoded.has_value());
    std::string const call = encode_forwarded_head(platform::decode_request(decoded->head), 0,
                                                   platform::attempt_headers{}, 1, "127.0.0.1:1", "Bearer k");
    cr_expect_neq(call.find(line), std::string::npos, "%s", call.c_str());
}

// Guards against a body that the peer cuts or cannot find, because it is sent after its head and not with it.
Test(forwarded_call, body_follows_the_encoded_head)
{
    auto const decoded = decode_forwarded_call(head_of(call_of_build_79343ca("1")), inner);
    cr_assert(decoded.has_value());
    std::string const body = "body\r\n\r\nof the request";
    std::string const sent =
        encode_forwarded_head(platform::decode_request(decoded->head), body.size(),
                              platform::attempt_headers{}, 1, "127.0.0.1:1", "Bearer k") +
        body;
    auto const head = head_of(sent);
    std::string const content = sent.substr(sent.find("\r\n\r\n") + 4);
    cr_expect_eq(head.fields.value("Content-Length"), std::to_string(content.size()));
    auto const at_peer = decode_forwarded_call(head, content);
    cr_assert(at_peer.has_value());
    cr_expect_eq(at_peer->body, body);
    cr_expect_eq(at_peer->head.fields.value("Content-Length"), std::to_string(body.size()));
}
