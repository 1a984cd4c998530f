#include "adapters/http_head.hpp"
#include "tests/support/invalid_answers.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace siskinusher;

namespace
{

std::string const get = "GET /a?b=c HTTP/1.1\r\n";
std::string const ok = "HTTP/1.1 200 OK\r\n";

} // namespace

// Guards against a head that is read in another way than its next reader reads it.
Test(http_head, what_cannot_be_passed_on_exactly_is_refused)
{
    using namespace std::string_literals;
    for (std::string const& lines :
         {"Name : 1\r\n"s, " Name: 1\r\n"s, "X: 1\r\n folded\r\n"s, "X: 1\r\n\tfolded\r\n"s, "no colon\r\n"s,
          ": 1\r\n"s, "X: a\nY: b\r\n"s, "X: a\rb\r\n"s, "X: a\0b\r\n"s, "X: \x7f\r\n"s, "X\xc3\xa9: 1\r\n"s,
          "X: 1\r\n\r\nY: 2\r\n"s, "Connection: close;\r\n"s, "Content-Length: 1\r\nContent-Length: 2\r\n"s,
          "Content-Length: +5\r\n"s, "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"s})
    {
        cr_expect_not(parse_request_head(get + lines + "\r\n").has_value(), "%s", lines.c_str());
        cr_expect_not(parse_response_head(ok + lines + "\r\n").has_value(), "%s", lines.c_str());
    }
    for (char const* const line :
         {"", "GET /", "GET / HTTP/2.0", "GET / HTTP/1.2", "GET  / HTTP/1.1", "GET / HTTP/1.1 ",
          " GET / HTTP/1.1", "GET /\x01 HTTP/1.1", "G\xc3\xa9T / HTTP/1.1", "GET / http/1.1"})
    {
        cr_expect_not(parse_request_head(std::string(line) + "\r\n\r\n").has_value(), "%s", line);
    }
    for (char const* const line : {"", "HTTP/1.1", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 099 Low",
                                   "HTTP/2.0 200 OK", "HTTP/1.1 -20 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200"})
    {
        cr_expect_not(parse_response_head(std::string(line) + "\r\n\r\n").has_value(), "%s", line);
    }
    cr_expect_not(parse_request_head(get + "X: 1\r\n").has_value(), "the empty line is missing");
}

// Guards against a change of a start line or a field on the way.
Test(http_head, start_line_and_fields_are_kept_as_they_are)
{
    auto const request = parse_request_head("PATCH /a/%2e%2e/b?c=d%20e&f=\xc3\xa9 HTTP/1.0\r\nhOsT:h\r\nX:\t "
                                            "v  w \t\r\nx: \r\nX: =?utf-8?q?=41?=\r\n\r\n");
    cr_assert(request.has_value());
    cr_expect_eq(request->method, "PATCH");
    cr_expect_eq(request->target, "/a/%2e%2e/b?c=d%20e&f=\xc3\xa9");
    cr_expect(request->version == http_version::http_1_0);
    header_fields expected;
    expected.add("hOsT", "h");
    expected.add("X", "v  w");
    expected.add("x", "");
    expected.add("X", "=?utf-8?q?=41?=");
    cr_expect(request->fields == expected);
    cr_expect_eq(request->fields.value("host"), "h");
    cr_expect_eq(request->fields.count("x"), 3);
    auto const answer = parse_response_head("HTTP/1.1 299 \r\nA: 1\r\n\r\n");
    cr_assert(answer.has_value());
    cr_expect_eq(answer->status, 299);
    cr_expect(answer->version == http_version::http_1_1);
}

// Guards against a connection that is used again although one of its ends closes it.
Test(http_head, connection_options_are_found_in_lists)
{
    auto const keeps = [](http_version version, std::string const& first, std::string const& second)
    {
        header_fields fields;
        fields.add("connection", first);
        fields.add("Connection", second);
        return keeps_connection(version, fields);
    };
    cr_expect(keeps(http_version::http_1_1, "x, closed", ""));
    cr_expect_not(keeps(http_version::http_1_1, "x", "y , Close"));
    cr_expect_not(keeps(http_version::http_1_0, "x", ""));
    cr_expect(keeps(http_version::http_1_0, "", "Keep-Alive"));
    cr_expect_not(keeps(http_version::http_1_0, "close", "keep-alive"));
}

// Guards against a reason phrase that makes a status line invalid.
Test(http_head, unknown_statuses_have_no_reason_phrase)
{
    cr_expect_eq(reason_phrase(503), "Service Unavailable");
    cr_expect_eq(reason_phrase(299), "");
}

// Guards against a status outside 100 to 599, or one that is not written as three digits between single
// spaces, that is taken for an answer.
Test(http_head, valid_statuses_are_three_digits_from_100_to_599)
{
    for (int status = 0; status <= 999; ++status)
    {
        std::string text = std::to_string(status);
        text.insert(0, 3 - text.size(), '0');
        auto const head = parse_response_head("HTTP/1.1 " + text + " X\r\n\r\n");
        bool const valid = status >= 100 && status <= 599;
        cr_expect_eq(head.has_value(), valid, "%s", text.c_str());
        cr_expect(!head || head->status == status, "%s", text.c_str());
    }
    for (invalid_answer const& answer : invalid_status_lines())
    {
        cr_expect_not(parse_response_head(answer.text("")).has_value(), "%s", answer.status_line.c_str());
    }
    cr_expect(parse_response_head("HTTP/1.1 200 \r\n\r\n").has_value());
    cr_expect(parse_response_head("HTTP/1.1 200  two spaces\r\n\r\n").has_value());
}
