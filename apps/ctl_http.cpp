#include "apps/ctl_http.hpp"

#include "adapters/yaml_tree.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <chrono>
#include <istream>
#include <optional>
#include <utility>

namespace siskinusher
{

namespace
{

constexpr int call_limit_seconds = 5;
constexpr int lowest_status = 100;
constexpr int highest_status = 599;
/// Room for a configuration of 1 MB, whose length JSON escapes at most double, or for an instance list of
/// about 2,000 servers.
constexpr std::size_t max_answer_bytes = 4U << 20U;
constexpr std::size_t max_object_bytes = 1048576;

struct exchange_result
{
    http_answer answer;
    std::string etag;
    bool sent = false; ///< The server may have received the request.
};

struct exchange_request
{
    std::string method;
    std::string address;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Reads a whole answer; throws when it is too long, too slow or shorter than announced.
std::string read_body(std::istream& in, Poco::Net::HTTPResponse const& response)
{
    auto const deadline = std::chrono::steady_clock::now() + std::chrono::seconds(call_limit_seconds);
    std::string body;
    std::string chunk(65536, '\0');
    while (in.read(chunk.data(), static_cast<std::streamsize>(chunk.size())) || in.gcount() > 0)
    {
        body.append(chunk, 0, static_cast<std::size_t>(in.gcount()));
        if (body.size() > max_answer_bytes || std::chrono::steady_clock::now() > deadline)
        {
            throw Poco::IOException("the answer is too long or too slow");
        }
    }
    if (response.hasContentLength() && body.size() != static_cast<std::size_t>(response.getContentLength64()))
    {
        throw Poco::IOException("the answer is shorter than announced");
    }
    return body;
}

exchange_result exchange(exchange_request const& what)
{
    exchange_result result;
    try
    {
        Poco::Timespan const limit(call_limit_seconds, 0);
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(what.address), limit);
        Poco::Net::HTTPClientSession session(socket);
        session.setTimeout(limit, limit, limit);
        Poco::Net::HTTPRequest request(what.method, what.path, Poco::Net::HTTPRequest::HTTP_1_1);
        request.setHost(what.address);
        request.setContentLength64(static_cast<Poco::Int64>(what.body.size()));
        for (auto const& [name, value] : what.headers)
        {
            request.set(name, value);
        }
        result.sent = true;
        session.sendRequest(request) << what.body;
        Poco::Net::HTTPResponse response;
        std::istream& in = session.receiveResponse(response);
        bool const has_no_body = response.getStatus() == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
        result.answer.body = has_no_body ? std::string() : read_body(in, response);
        result.etag = response.get("ETag", "");
        result.answer.status = static_cast<int>(response.getStatus());
        if (result.answer.status < lowest_status || result.answer.status > highest_status)
        {
            throw Poco::IOException("the answer has the invalid status " +
                                    std::to_string(result.answer.status));
        }
    }
    catch (Poco::Exception const& e)
    {
        result.answer = {0, {}, "no answer: " + e.displayText()};
    }
    catch (std::exception const& e)
    {
        result.answer = {0, {}, std::string("no answer: ") + e.what()};
    }
    return result;
}

std::optional<object_version> parse_etag(std::string const& etag)
{
    if (etag.size() < 3 || etag.front() != '"' || etag.back() != '"')
    {
        return std::nullopt;
    }
    object_version version = 0;
    auto const* const end = etag.data() + etag.size() - 1;
    auto const [stop, error] = std::from_chars(etag.data() + 1, end, version);
    return error == std::errc{} && stop == end && version > 0 ? std::optional<object_version>{version}
                                                              : std::nullopt;
}

std::optional<config_object> parse_object(std::string const& body)
{
    auto const document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object())
    {
        return std::nullopt;
    }
    auto const generation = document.find("generation");
    auto const text = document.find("text");
    if (generation == document.end() || !generation->is_number_unsigned() || text == document.end() ||
        !text->is_string())
    {
        return std::nullopt;
    }
    return config_object{generation->get<std::uint64_t>(), text->get<std::string>()};
}

} // namespace

config_read_result http_config_store::get()
{
    auto const result = exchange({"GET", address_, "/objects/config", {}, {}});
    if (result.answer.status == Poco::Net::HTTPResponse::HTTP_NOT_FOUND)
    {
        return config_absent{};
    }
    if (result.answer.status != Poco::Net::HTTPResponse::HTTP_OK)
    {
        return config_failure{false, result.answer.status == 0
                                         ? result.answer.error
                                         : "status " + std::to_string(result.answer.status)};
    }
    auto const version = parse_etag(result.etag);
    auto const object = parse_object(result.answer.body);
    if (!version || !object || object->generation == 0)
    {
        return config_failure{true, "the object config holds no configuration"};
    }
    return stored_config{*object, *version};
}

config_put_outcome http_config_store::put(object_version expected, config_object const& object)
{
    // The codec of the instances tells the kinds of values apart by the field type.
    nlohmann::json const document{
        {"type", "config_object"}, {"generation", object.generation}, {"text", object.text}};
    std::string body = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (body.size() > max_object_bytes)
    {
        return config_put_outcome::not_allowed;
    }
    std::pair<std::string, std::string> const condition =
        expected == 0 ? std::make_pair(std::string("If-None-Match"), std::string("*"))
                      : std::make_pair(std::string("If-Match"), "\"" + std::to_string(expected) + "\"");
    auto const result = exchange({"PUT",
                                  address_,
                                  "/objects/config",
                                  {condition, {"Content-Type", "application/json"}},
                                  std::move(body)});
    switch (result.answer.status)
    {
    case Poco::Net::HTTPResponse::HTTP_OK:
        return config_put_outcome::written;
    case Poco::Net::HTTPResponse::HTTP_PRECONDITION_FAILED:
        return config_put_outcome::conflict;
    case 0:
        return result.sent ? config_put_outcome::unknown : config_put_outcome::not_sent;
    default:
        // After a server error it is unknown whether the write took effect.
        return result.answer.status >= 500 ? config_put_outcome::unknown : config_put_outcome::not_allowed;
    }
}

std::vector<instance_address> http_instances::list(std::string& error)
{
    std::vector<instance_address> result;
    if (list_address_.empty())
    {
        error = "the settings contain neither 'instances' nor 'instance_list'";
        return result;
    }
    auto const answer = exchange({"GET", list_address_, "/instances", {}, {}}).answer;
    if (answer.status != Poco::Net::HTTPResponse::HTTP_OK)
    {
        error = answer.status == 0 ? answer.error : "status " + std::to_string(answer.status);
        return result;
    }
    auto const document = nlohmann::json::parse(answer.body, nullptr, false);
    auto const rows = document.is_object() ? document.value("instances", nlohmann::json()) : document;
    if (!rows.is_array())
    {
        error = "the answer contains no list of instances";
        return result;
    }
    for (auto const& row : rows)
    {
        auto const text_field = [&](char const* name)
        {
            auto const field = row.is_object() ? row.find(name) : row.end();
            return field != row.end() && field->is_string() ? field->get<std::string>() : std::string();
        };
        // An invalid address could send the operator key to a host that is not meant by the list.
        if (text_field("kind") == "instance" && is_name(text_field("name")) &&
            is_address(text_field("address")))
        {
            result.push_back({text_field("name"), text_field("address")});
        }
    }
    return result;
}

http_answer http_instances::call(std::string const& method, std::string const& address,
                                 std::string const& path)
{
    return exchange({method, address, path, {{"Authorization", "Bearer " + key_}}, {}}).answer;
}

} // namespace siskinusher
