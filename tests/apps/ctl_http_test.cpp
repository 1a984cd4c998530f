#include "apps/ctl_http.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>

#include <string>
#include <thread>

using namespace siskinusher;

namespace
{

/// Server for one request: accepts a connection, reads the head, sends `answer` and closes.
class one_answer
{
public:
    explicit one_answer(std::string const& answer)
        : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
          thread_(
              [this, answer]
              {
                  Poco::Net::StreamSocket peer = socket_.acceptConnection();
                  std::string buffer(65536, '\0');
                  while (request.find("\r\n\r\n") == std::string::npos)
                  {
                      auto const count = peer.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
                      if (count <= 0)
                      {
                          break;
                      }
                      request.append(buffer, 0, static_cast<std::size_t>(count));
                  }
                  peer.sendBytes(answer.data(), static_cast<int>(answer.size()));
                  peer.shutdownSend();
              })
    {
    }
    ~one_answer() { thread_.join(); }
    one_answer(one_answer const&) = delete;
    one_answer& operator=(one_answer const&) = delete;

    std::string address() const { return socket_.address().toString(); }

    std::string request;

private:
    Poco::Net::ServerSocket socket_;
    std::thread thread_;
};

std::string answer(std::string const& status, std::string const& body, std::string const& headers = "")
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers +
           "\r\n" + body;
}

config_read_result get(std::string const& raw)
{
    one_answer server(raw);
    return http_config_store(server.address()).get();
}

config_put_outcome put(std::string const& raw, object_version expected = 5)
{
    one_answer server(raw);
    return http_config_store(server.address()).put(expected, {2, "text"});
}

} // namespace

// Guards against a configuration that is read from an answer that contains none.
Test(ctl_http, reads_only_complete_configurations)
{
    std::string const body = R"({"generation":7,"text":"a: 1\n","type":"config_object"})";
    auto const found = get(answer("200 OK", body, "ETag: \"12\"\r\n"));
    auto const* const stored = std::get_if<stored_config>(&found);
    cr_assert(stored != nullptr && stored->version == 12 && stored->object.generation == 7);
    cr_assert(stored->object.text == "a: 1\n");
    cr_assert(std::holds_alternative<config_absent>(get(answer("404 Not Found", ""))));
    for (auto const& raw :
         {answer("200 OK", body), answer("200 OK", body, "ETag: 12\r\n"),
          answer("200 OK", R"({"generation":-1,"text":""})", "ETag: \"1\"\r\n"),
          answer("200 OK", std::string(100000, '['), "ETag: \"1\"\r\n"), answer("503 Down", ""),
          "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 999\r\n\r\n" + body, std::string("nonsense"),
          std::string()})
    {
        cr_assert(std::holds_alternative<config_failure>(get(raw)));
    }
}

// Guards against a lost answer that is taken for a write that did not happen, and the reverse.
Test(ctl_http, distinguishes_the_outcomes_of_a_write)
{
    cr_assert(put(answer("200 OK", "", "ETag: \"6\"\r\n")) == config_put_outcome::written);
    cr_assert(put(answer("412 Precondition Failed", "")) == config_put_outcome::conflict);
    cr_assert(put(answer("413 Too Large", "")) == config_put_outcome::not_allowed);
    cr_assert(put(answer("500 Fault", "")) == config_put_outcome::unknown);
    cr_assert(put("") == config_put_outcome::unknown);
    std::string closed;
    {
        Poco::Net::ServerSocket const socket(Poco::Net::SocketAddress("127.0.0.1", 0));
        closed = socket.address().toString();
    }
    cr_assert(http_config_store(closed).put(1, {2, "text"}) == config_put_outcome::not_sent);
    cr_assert(http_config_store(closed).put(1, {2, std::string(1100000, 'x')}) ==
              config_put_outcome::not_allowed);
}

// Guards against an unconditional write, and against a key that is sent to the platform.
Test(ctl_http, sends_conditions_and_keeps_the_key_from_the_list)
{
    std::string const key = "0123456789012345678901234567890k";
    {
        one_answer server(answer("200 OK", ""));
        http_config_store(server.address()).put(5, {2, "text"});
        cr_assert(server.request.find("If-Match: \"5\"\r\n") != std::string::npos);
    }
    {
        one_answer server(answer("200 OK", ""));
        http_config_store(server.address()).put(0, {1, "text"});
        cr_assert(server.request.find("If-None-Match: *\r\n") != std::string::npos);
    }
    one_answer list(answer("200 OK", R"({"instances":[{"name":"a-1","kind":"instance","address":"10.0.0.1:8"},
        {"name":"e","kind":"engine","address":"10.0.0.2:8"},{"name":"x y","kind":"instance"},3]})"));
    std::string error;
    auto const rows = http_instances(list.address(), key).list(error);
    cr_assert(rows.size() == 1 && rows.at(0).name == "a-1" && error.empty());
    cr_assert(list.request.find(key) == std::string::npos);
    one_answer instance(answer("200 OK", "{}"));
    cr_assert_eq(http_instances("", key).call("GET", instance.address(), "/operator/status").status, 200);
    cr_assert(instance.request.find("Authorization: Bearer " + key) != std::string::npos);
}
