#include "adapters/http_message.hpp"
#include "adapters/process_clock.hpp"
#include "tests/support/fault_server.hpp"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <thread>

using namespace siskinusher;

namespace
{

// How reading a body without a length ends that the script sends.
body_status end_of_body(fault_server::script const& script)
{
    fault_server const server({script});
    wire_connection connection{Poco::Net::StreamSocket(Poco::Net::SocketAddress(server.address()))};
    body_reader reader(connection, {body_kind::until_close, 0});
    std::string body;
    steady_time const until = steady_now() + seconds{5};
    body_status status = body_status::more;
    while (status == body_status::more)
    {
        status = reader.read(body, until);
    }
    return status;
}

} // namespace

// Guards against a truncated body that is taken for complete because its connection was reset.
Test(body_reader, only_an_orderly_end_completes_a_body_without_a_length)
{
    cr_expect(end_of_body([](fault_connection& connection) { connection.send("whole"); }) ==
              body_status::complete);
    cr_expect(end_of_body(
                  [](fault_connection& connection)
                  {
                      connection.send("ha");
                      std::this_thread::sleep_for(std::chrono::milliseconds(50));
                      connection.reset();
                  }) == body_status::truncated);
}
