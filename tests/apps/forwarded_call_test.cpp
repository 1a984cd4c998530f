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
        encode_forwarded_head(request, 0, platform::attempt_headers{}, 1, "127.0.0.1:1", "Bearer k", false);
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
    std::string const call =
        encode_forwarded_head(platform::decode_request(decoded->head), 0, platform::attempt_headers{}, 1,
                              "127.0.0.1:1", "Bearer k", false);
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
                              platform::attempt_headers{}, 1, "127.0.0.1:1", "Bearer k", false) +
        body;
    auto const head = head_of(sent);
    std::string const content = sent.substr(sent.find("\r\n\r\n") + 4);
    cr_expect_eq(head.fields.value("Content-Length"), std::to_string(content.size()));
    auto const at_peer = decode_forwarded_call(head, content);
    cr_assert(at_peer.has_value());
    cr_expect_eq(at_peer->body, body);
    cr_expect_eq(at_peer->head.fields.value("Content-Length"), std::to_string(body.size()));
}

namespace
{

// A caller's request as it reached the instance, with a key and with an organisation that the caller claims.
platform::caller_request request_with_key()
{
    auto const head = parse_request_head("GET /again/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: r1\r\n"
                                         "Authorization: Bearer secret\r\nTenant: forged\r\n\r\n");
    cr_assert(head.has_value());
    return platform::decode_request(*head);
}

std::string forwarded(platform::caller_request const& request, bool caller_checked)
{
    return encode_forwarded_head(request, 0, platform::attempt_headers{}, 1, "127.0.0.1:1", "Bearer peer",
                                 caller_checked);
}

std::string content_of(std::string const& call)
{
    return call.substr(call.find("\r\n\r\n") + 4);
}

} // namespace

// Guards against a request that loses its organisation at the peer, is charged twice, or shows its key there.
Test(forwarded_call, checked_caller_has_its_organisation_and_no_key)
{
    platform::caller_request request = request_with_key();
    platform::identify(request, "hule930");
    std::string const call = forwarded(request, true);
    cr_expect_eq(call.find("secret"), std::string::npos, "%s", call.c_str());
    cr_expect_eq(call.find("forged"), std::string::npos, "%s", call.c_str());
    cr_expect_eq(head_of(call).fields.value("Organisation-Checked"), "1");
    cr_expect_eq(head_of(call).fields.value("Authorization"), "Bearer peer");
    auto const at_peer = decode_forwarded_call(head_of(call), content_of(call));
    cr_assert(at_peer.has_value());
    cr_expect(at_peer->caller_checked);
    platform::caller_request const there = platform::decode_request(at_peer->head);
    cr_expect_eq(there.stated_organisation, "hule930");
    cr_expect(there.credentials.form == credentials_form::absent);
    cr_expect(there.organisation.empty(), "a stated organisation counts only after the peer's word");
}

// Guards against a caller of a public route that claims an organisation and gets its place at the peer.
Test(forwarded_call, checked_caller_of_a_public_route_has_no_organisation)
{
    platform::caller_request request = request_with_key();
    platform::identify(request, "");
    std::string const call = forwarded(request, true);
    auto const at_peer = decode_forwarded_call(head_of(call), content_of(call));
    cr_assert(at_peer.has_value() && at_peer->caller_checked);
    cr_expect_eq(call.find("secret"), std::string::npos, "%s", call.c_str());
    cr_expect(platform::decode_request(at_peer->head).stated_organisation.empty());
}

// Guards against a form that changes for deployments without organisations, and against a peer of the build
// before whose request is taken for checked: it passes keys on, and drops no claim of an organisation that
// it does not know.
Test(forwarded_call, unchecked_caller_has_the_form_of_the_build_before)
{
    std::string const call = forwarded(request_with_key(), false);
    cr_expect_eq(call.find("Organisation-Checked"), std::string::npos, "%s", call.c_str());
    std::string const inner_bytes = "GET /again/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: r1\r\n"
                                    "Authorization: Bearer secret\r\nTenant: forged\r\n\r\n";
    std::string const before = "POST /forward HTTP/1.1\r\nHost: 127.0.0.1:1\r\nAuthorization: Bearer peer\r\n"
                               "Servers-Left: 1\r\nContent-Length: " +
                               std::to_string(inner_bytes.size()) + "\r\n\r\n" + inner_bytes;
    for (std::string const& each : {call, before})
    {
        auto const at_peer = decode_forwarded_call(head_of(each), content_of(each));
        cr_assert(at_peer.has_value());
        cr_expect_not(at_peer->caller_checked);
        platform::caller_request const there = platform::decode_request(at_peer->head);
        cr_expect(there.credentials == (caller_credentials{credentials_form::bearer, "secret"}));
        std::string const sent = platform::encode_attempt_head(there, 0, platform::attempt_headers{});
        cr_expect_eq(sent.find("forged"), std::string::npos, "%s", sent.c_str());
    }
}

// Guards against a mark within the caller's own request that a peer takes for the instance's word.
Test(forwarded_call, callers_cannot_mark_their_requests_as_checked)
{
    std::string const inner_bytes = "GET /again/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: r1\r\n"
                                    "Organisation-Checked: 1\r\nTenant: forged\r\n\r\n";
    auto const head = parse_request_head(inner_bytes);
    cr_assert(head.has_value());
    std::string const call = forwarded(platform::decode_request(*head), false);
    auto const at_peer = decode_forwarded_call(head_of(call), content_of(call));
    cr_assert(at_peer.has_value());
    cr_expect_not(at_peer->caller_checked);
}
