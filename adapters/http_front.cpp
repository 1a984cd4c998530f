#include "adapters/http_front.hpp"

#include "adapters/answer_writer.hpp"
#include "adapters/forward_proof.hpp"
#include "adapters/http_message.hpp"
#include "adapters/problem_document.hpp"
#include "adapters/process_clock.hpp"
#include "adapters/request_parser.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <nlohmann/json.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <set>
#include <thread>

namespace siskinusher
{

namespace
{

// Additional threads that only refuse connections above the limit, so that a flood of connections gets
// answers.
constexpr unsigned refusing_threads = 32;
// Handlers keep their buffers on the heap; the deepest path (JSON and formatting) takes under 32 KB.
constexpr int stack_bytes = 196608;
// While a request waits for a decision, its caller's connection is checked this often.
constexpr duration caller_check_interval = milliseconds{100};
// The core refuses a request at its deadline. The front refuses it when the core has not done so after this
// additional time.
constexpr duration decision_grace = seconds{1};
constexpr duration overload_retry = seconds{1};
constexpr std::size_t request_id_limit = 128;
constexpr std::string_view service_root = "/services/";

char const* const json_type = "application/json";

// Headers that belong to the connection or that this instance sets itself.
bool is_own_header(std::string_view name)
{
    static constexpr std::array<std::string_view, 18> names{"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Connection",
                                                            "Proxy-Authorization",
                                                            "TE",
                                                            "Trailer",
                                                            "Upgrade",
                                                            "Expect",
                                                            "Transfer-Encoding",
                                                            "Content-Length",
                                                            "Host",
                                                            "X-Request-Id",
                                                            "X-Rank",
                                                            "X-Deadline-Ms",
                                                            "X-Priority",
                                                            forward_request_header,
                                                            forward_token_header,
                                                            forward_proof_header};
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view own) { return equal_ignoring_case(own, name); });
}

std::string service_header_lines(header_fields const& fields)
{
    auto const connection_options = fields.tokens("Connection");
    std::string lines;
    for (auto const& [name, value] : fields)
    {
        if (!is_own_header(name) && connection_options.count(name) == 0)
        {
            lines.append(name).append(": ").append(value).append("\r\n");
        }
    }
    return lines;
}

refusal malformed()
{
    return {refusal_reason::malformed_request, execution_verdict::not_run, duration::zero()};
}

bool is_valid_request_id(std::string const& text)
{
    return !text.empty() && text.size() <= request_id_limit &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7F; });
}

} // namespace

class http_front::implementation
{
public:
    implementation(front_settings with, front_parts others)
        : settings(std::move(with)), parts(std::move(others)),
          pool("http", 2, static_cast<int>(settings.connections + refusing_threads), 30, stack_bytes)
    {
    }

    front_settings const settings;
    front_parts parts;
    std::atomic<bool> shutdown_announced{false};
    std::atomic<bool> refusing_new{false};
    std::atomic<bool> stopped{false};
    std::atomic<std::size_t> open_requests{0};
    std::atomic<request_number> last_number{0};
    std::atomic<unsigned> connections{0};
    std::mutex descriptors_mutex;
    std::set<int> descriptors;
    Poco::ThreadPool pool;
    std::unique_ptr<Poco::Net::ServerSocket> socket;
    std::unique_ptr<Poco::Net::TCPServer> server;

    std::string request_id_for(request_number number) const
    {
        return settings.instance_name + "-" + std::to_string(settings.incarnation) + "-" +
               std::to_string(number);
    }

    // Repeats the push until the event is accepted or the front has stopped. If the core did not learn how an
    // attempt ended, it would count the attempt as running for ever.
    void push_until_accepted(event const& what)
    {
        while (!parts.events.push(what) && !stopped)
        {
            std::this_thread::sleep_for(milliseconds(1));
        }
    }

    void count_refusal(refusal const& why)
    {
        parts.metrics.add("siskin_refusals_total", to_string(why.reason), 1);
    }
};

namespace
{

/// Counts a request as open during the lifetime of the guard.
class open_request_guard
{
public:
    explicit open_request_guard(std::atomic<std::size_t>& count) : count_(count) { ++count_; }
    ~open_request_guard() { --count_; }
    open_request_guard(open_request_guard const&) = delete;
    open_request_guard& operator=(open_request_guard const&) = delete;

private:
    std::atomic<std::size_t>& count_;
};

} // namespace

/// Serves the requests of one connection, one after the other.
class front_connection : public Poco::Net::TCPServerConnection
{
public:
    using front = http_front::implementation;

    front_connection(Poco::Net::StreamSocket const& socket, front& owner)
        : Poco::Net::TCPServerConnection(socket), owner_(owner), wire_(socket)
    {
    }

    void run() override
    {
        bool const within_limit = ++owner_.connections <= owner_.settings.connections;
        add_descriptor();
        if (!within_limit)
        {
            refuse_connection();
        }
        else
        {
            while (!owner_.stopped && serve_next())
            {
            }
        }
        remove_descriptor();
        --owner_.connections;
    }

private:
    void add_descriptor()
    {
        std::lock_guard<std::mutex> const lock(owner_.descriptors_mutex);
        owner_.descriptors.insert(wire_.descriptor());
    }

    void remove_descriptor()
    {
        std::lock_guard<std::mutex> const lock(owner_.descriptors_mutex);
        owner_.descriptors.erase(wire_.descriptor());
    }

    void refuse_connection()
    {
        refusal const why{refusal_reason::overloaded, execution_verdict::not_run, overload_retry};
        owner_.count_refusal(why);
        answer_writer writer(wire_, true, false, false, owner_.request_id_for(0));
        writer.send_refusal(why, "too many connections");
        close_gracefully();
    }

    // Reads until the caller closes the connection, at most 200 ms. Closing a connection with unread bytes
    // resets it, and the caller might lose the answer. The wait is short, because it occupies a thread.
    void close_gracefully()
    {
        ::shutdown(wire_.descriptor(), SHUT_WR);
        steady_time const until = steady_now() + milliseconds(200);
        while (wire_.fill(until) == io_status::ok)
        {
            wire_.consume(wire_.buffered().size());
        }
    }

    bool refuse_malformed(std::string_view detail, int status)
    {
        owner_.count_refusal(malformed());
        answer_writer writer(wire_, true, false, false, owner_.request_id_for(0));
        writer.send_refusal(malformed(), detail, status);
        close_gracefully();
        return false;
    }

    // Returns true when the connection can take another request.
    bool serve_next()
    {
        if (wire_.buffered().empty() &&
            wire_.fill(steady_now() + owner_.settings.idle_timeout) != io_status::ok)
        {
            return false;
        }
        std::string head;
        steady_time const until = steady_now() + owner_.settings.head_timeout;
        switch (receive_head(wire_, head, owner_.settings.head_bytes, until))
        {
        case head_status::ok:
            break;
        case head_status::timed_out:
            return refuse_malformed("the headers did not arrive in time", 408);
        case head_status::too_large:
            return refuse_malformed("the headers are too large", 431);
        default:
            return false;
        }
        auto parsed_head = parse_request_head(head);
        if (!parsed_head)
        {
            return refuse_malformed("the request is not valid HTTP/1.1", 400);
        }
        request_ = std::move(*parsed_head);
        return receive_request_body() && answer();
    }

    bool receive_request_body()
    {
        body_.clear();
        auto const framing = request_framing(request_);
        if (!framing)
        {
            return refuse_malformed("Content-Length or Transfer-Encoding is not valid", 400);
        }
        std::size_t const limit = owner_.settings.body_bytes;
        if (framing->length > limit)
        {
            return refuse_malformed("the body is larger than " + std::to_string(limit) + " bytes", 413);
        }
        steady_time const until = steady_now() + owner_.settings.body_time;
        if (framing->kind != body_kind::none &&
            equal_ignoring_case(request_.fields.value("Expect"), "100-continue"))
        {
            (void)wire_.write_all("HTTP/1.1 100 Continue\r\n\r\n", until);
        }
        body_reader reader(wire_, *framing);
        body_status status = body_status::more;
        while (status == body_status::more)
        {
            status = reader.read(body_, until);
            if (body_.size() > limit)
            {
                return refuse_malformed("the body is larger than " + std::to_string(limit) + " bytes", 413);
            }
        }
        switch (status)
        {
        case body_status::complete:
            return true;
        case body_status::timed_out:
            return refuse_malformed("the body did not arrive in time", 408);
        case body_status::malformed:
            return refuse_malformed("the chunks of the body are not valid", 400);
        default:
            return false;
        }
    }

    bool answer()
    {
        arrived_ = steady_now();
        request_number const number = ++owner_.last_number;
        std::string const& given_id = request_.fields.value("X-Request-Id");
        bool const has_id = is_valid_request_id(given_id);
        bool const http_1_1 = request_.version == http_version::http_1_1;
        answer_writer writer(wire_, http_1_1, request_.method == "HEAD",
                             keeps_connection(request_.version, request_.fields) &&
                                 !owner_.shutdown_announced,
                             has_id ? given_id : owner_.request_id_for(number));
        if (request_.fields.has("X-Request-Id") && !has_id)
        {
            return refuse(writer, malformed(), "X-Request-Id must have 1 to 128 visible ASCII characters");
        }
        route(writer, number);
        return writer.keep_alive();
    }

    bool refuse(answer_writer& writer, refusal const& why, std::string_view detail = {}, int status = 0,
                std::string_view header_lines = {})
    {
        owner_.count_refusal(why);
        writer.send_refusal(why, detail, status, header_lines);
        return writer.keep_alive();
    }

    void route(answer_writer& writer, request_number number)
    {
        std::string const& target = request_.target;
        std::string const path = target.substr(0, target.find('?'));
        if (path == "/v1/chat/completions")
        {
            serve_inference(writer, number);
        }
        else if (target.compare(0, service_root.size(), service_root) == 0)
        {
            serve_service(writer, number);
        }
        else if (path.compare(0, 10, "/operator/") == 0)
        {
            serve_operator(writer, path);
        }
        else if (path == "/healthz")
        {
            send_text(writer, 200, "text/plain", "ok\n");
        }
        else if (path == "/readyz")
        {
            bool const ready = owner_.parts.core.ready() && !owner_.shutdown_announced;
            send_text(writer, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
        }
        else if (path == "/metrics")
        {
            send_text(writer, 200, "text/plain; version=0.0.4", owner_.parts.metrics.text());
        }
        else if (path == "/v1/models")
        {
            serve_models(writer);
        }
        else
        {
            refuse(writer, malformed(), "there is no such path", 404);
        }
    }

    static void send_text(answer_writer& writer, int status, std::string const& type, std::string const& body)
    {
        (void)writer.send_whole({status, type, {}, body.size()}, body);
    }

    void serve_models(answer_writer& writer)
    {
        auto const config = owner_.parts.core.config();
        if (!config)
        {
            refuse(writer, {refusal_reason::no_configuration, execution_verdict::not_run, overload_retry});
            return;
        }
        nlohmann::json data = nlohmann::json::array();
        for (auto const& model : config->models)
        {
            data.push_back({{"id", model.first}, {"object", "model"}});
        }
        for (auto const& adapter : config->adapters)
        {
            data.push_back({{"id", adapter.second.base_model + ":" + adapter.first},
                            {"object", "model"},
                            {"parent", adapter.second.base_model}});
        }
        send_text(writer, 200, json_type, nlohmann::json{{"object", "list"}, {"data", data}}.dump());
    }

    void serve_operator(answer_writer& writer, std::string const& path)
    {
        std::string const& given = request_.fields.value("Authorization");
        std::string const expected = "Bearer " + owner_.settings.operator_key;
        if (owner_.settings.operator_key.empty() || !equal_in_constant_time(given, expected))
        {
            refuse(writer, malformed(), "the operator key is missing or wrong", 401,
                   "WWW-Authenticate: Bearer\r\n");
            return;
        }
        if (path == "/operator/status")
        {
            send_status(writer);
        }
        else if (path == "/operator/explain")
        {
            explain(writer);
        }
        else if (path == "/operator/drain" && request_.method == "POST")
        {
            send_text(writer, 202, json_type, "{\"draining\":true}");
            owner_.parts.on_drain();
        }
        else
        {
            refuse(writer, malformed(), "there is no such operator call", 404);
        }
    }

    void send_status(answer_writer& writer)
    {
        nlohmann::ordered_json document{{"instance", owner_.settings.instance_name},
                                        {"ready", owner_.parts.core.ready() && !owner_.shutdown_announced},
                                        {"draining", owner_.shutdown_announced.load()},
                                        {"open_requests", owner_.open_requests.load()},
                                        {"connections", owner_.connections.load()}};
        for (auto const& field : owner_.parts.core.status())
        {
            document[field.first] = field.second;
        }
        send_text(writer, 200, json_type, document.dump());
    }

    void explain(answer_writer& writer)
    {
        std::string request_id;
        std::string model;
        try
        {
            for (auto const& parameter : Poco::URI(request_.target).getQueryParameters())
            {
                (parameter.first == "request" ? request_id : model) = parameter.second;
            }
        }
        catch (Poco::Exception const&)
        {
            refuse(writer, malformed(), "the query is not valid");
            return;
        }
        std::vector<std::string> lines;
        if (!request_id.empty())
        {
            auto const number = parse_number(request_id.substr(request_id.rfind('-') + 1));
            if (!number || request_id != owner_.request_id_for(*number))
            {
                refuse(writer, malformed(), "the request id is not one of this instance", 404);
                return;
            }
            lines = owner_.parts.core.explain_request(*number);
        }
        else if (!model.empty())
        {
            lines = owner_.parts.core.explain_model(model);
        }
        else
        {
            refuse(writer, malformed(), "give request=ID or model=NAME");
            return;
        }
        send_text(writer, 200, json_type,
                  nlohmann::json{{"explain", lines}}.dump(-1, ' ', false,
                                                          nlohmann::json::error_handler_t::replace));
    }

    void serve_inference(answer_writer& writer, request_number number)
    {
        if (request_.method != "POST")
        {
            refuse(writer, malformed(), "the method must be POST", 405, "Allow: POST\r\n");
            return;
        }
        auto fields = parse_inference_body(body_);
        if (!fields.value)
        {
            refuse(writer, malformed(), fields.error);
            return;
        }
        backend_call call;
        call.inference = true;
        call.stream_wanted = fields.value->stream;
        call.backend_path = "/v1/chat/completions";
        call.caller_path = call.backend_path;
        call.header_lines = "Content-Type: application/json\r\n";
        auto profile = build_profile(request_, &*fields.value, {}, call.backend_path, body_, nullptr);
        serve_call(writer, number, std::move(profile), call);
    }

    void serve_service(answer_writer& writer, request_number number)
    {
        std::string const& target = request_.target;
        std::size_t const end = std::min(target.find_first_of("/?", service_root.size()), target.size());
        std::string const name = target.substr(service_root.size(), end - service_root.size());
        if (name.empty())
        {
            refuse(writer, malformed(), "the path names no service", 404);
            return;
        }
        backend_call call;
        call.caller_path = target;
        call.backend_path = target.substr(end);
        if (call.backend_path.empty() || call.backend_path.front() != '/')
        {
            call.backend_path.insert(0, "/");
        }
        call.header_lines = service_header_lines(request_.fields);
        auto const config = owner_.parts.core.config();
        auto profile = build_profile(request_, nullptr, name, call.backend_path, body_, config.get());
        serve_call(writer, number, std::move(profile), call);
    }

    // Checks the proof of a request that another instance forwarded. Returns false when the proof is wrong.
    bool accept_forwarded(request_profile& profile, backend_call& call) const
    {
        if (!request_.fields.has(forward_proof_header))
        {
            return true;
        }
        std::string const& id = request_.fields.value(forward_request_header);
        std::string const& token = request_.fields.value(forward_token_header);
        auto const next_token = parse_number(token);
        std::string const expected = forward_proof(owner_.settings.shared_key, id, token, body_);
        bool const is_genuine = equal_in_constant_time(request_.fields.value(forward_proof_header), expected);
        if (!is_genuine || !next_token || *next_token > 1U << 30U)
        {
            return false;
        }
        profile.forwarded = true;
        call.relay = stream_relay(static_cast<unsigned>(*next_token));
        return true;
    }

    void serve_call(answer_writer& writer, request_number number, parsed<request_profile> profile,
                    backend_call& call)
    {
        if (!profile.value)
        {
            refuse(writer, malformed(), profile.error);
            return;
        }
        if (!accept_forwarded(*profile.value, call))
        {
            refuse(writer, malformed(), "the proof of the forwarded request is wrong", 403);
            return;
        }
        // The request is counted before the flag is read, so that a shutdown either waits for the
        // request or has it refused.
        open_request_guard const open(owner_.open_requests);
        if (owner_.refusing_new)
        {
            writer.close_after();
            refuse(writer, {refusal_reason::draining, execution_verdict::not_run, overload_retry});
            return;
        }
        profile.value->number = number;
        call.number = number;
        call.method = request_.method;
        call.request_id = owner_.request_id_for(number);
        call.idempotency_key = profile.value->idempotency_key;
        call.request_rank = profile.value->request_rank;
        call.repeatable = profile.value->repeatable;
        call.body = std::move(body_);
        body_ = std::string();
        decide_and_answer(writer, *profile.value, call);
        duration const total = steady_now() - arrived_;
        owner_.parts.metrics.observe_request(profile.value->request_rank, total);
        log_end(writer, *profile.value, call, total);
    }

    void log_end(answer_writer const& writer, request_profile const& profile, backend_call const& call,
                 duration total)
    {
        owner_.parts.log.write({"request_finished",
                                {{"request", call.request_id},
                                 {"caller_request", writer.request_id()},
                                 {"model", profile.model},
                                 {"service", profile.service},
                                 {"rank", std::string(to_string(profile.request_rank))},
                                 {"status", std::to_string(writer.status())},
                                 {"tokens", std::to_string(call.relay.next_token())},
                                 {"total_us", std::to_string(total.count())}}});
    }

    void decide_and_answer(answer_writer& writer, request_profile const& profile, backend_call& call)
    {
        request_board::mailbox box(owner_.parts.board, call.number);
        if (!owner_.parts.events.push(request_arrived{profile}))
        {
            refuse(writer, {refusal_reason::overloaded, execution_verdict::not_run, overload_retry});
            return;
        }
        verdict_ = execution_verdict::not_run;
        first_attempt_ = true;
        steady_time const give_up_time = arrived_ + profile.time_to_deadline + decision_grace;
        for (;;)
        {
            auto const decision = next_decision(box, writer, call, give_up_time);
            if (!decision)
            {
                give_up(box, writer, call, give_up_time);
                return;
            }
            if (std::visit([&](auto const& what) { return carry_out(what, writer, call); }, *decision))
            {
                return;
            }
        }
    }

    std::optional<request_decision> next_decision(request_board::mailbox& box, answer_writer& writer,
                                                  backend_call const& call, steady_time give_up_time)
    {
        while (steady_now() < give_up_time)
        {
            if (auto decision = box.wait(caller_check_interval))
            {
                return decision;
            }
            // The core still has to record the outcome of a service call that may have run.
            bool const may_leave = call.inference || verdict_ == execution_verdict::not_run;
            if (may_leave && peer_has_closed(wire_.descriptor()))
            {
                writer.close_after();
                return std::nullopt;
            }
        }
        return std::nullopt;
    }

    void give_up(request_board::mailbox& box, answer_writer& writer, backend_call const& call,
                 steady_time give_up_time)
    {
        owner_.push_until_accepted(request_cancelled{call.number});
        for (request_decision const& unread : box.close())
        {
            report_unsent(unread);
        }
        if (steady_now() >= give_up_time)
        {
            refuse(writer, {refusal_reason::deadline_passed, verdict_, duration::zero()});
            return;
        }
        owner_.parts.metrics.add("siskin_callers_gone_total", "", 1);
    }

    void report_unsent(request_decision const& unread)
    {
        attempt_finished result;
        result.result = attempt_result::not_sent;
        if (auto const* const sent = std::get_if<dispatch>(&unread))
        {
            result.number = sent->number;
            result.attempt = sent->attempt;
            owner_.push_until_accepted(result);
        }
        else if (auto const* const forwarded = std::get_if<forward>(&unread))
        {
            result.number = forwarded->number;
            result.attempt = forwarded->attempt;
            owner_.push_until_accepted(result);
        }
    }

    // Each overload carries out one kind of decision and returns true when the request is finished.
    bool carry_out(siskinusher::refuse const& what, answer_writer& writer, backend_call& /*call*/)
    {
        writer.send_refusal(what.answer); // The core has already counted this refusal.
        return true;
    }

    bool carry_out(replay_answer const& what, answer_writer& writer, backend_call& /*call*/)
    {
        answer_head const head{what.entry.status, what.entry.content_type, "X-Replayed: true\r\n",
                               what.entry.body.size()};
        (void)writer.send_whole(head, what.entry.body);
        owner_.parts.metrics.add("siskin_replayed_total", "", 1);
        return true;
    }

    template <typename Target>
    bool carry_out(Target const& where, answer_writer& writer, backend_call& call)
    {
        if (first_attempt_)
        {
            owner_.parts.metrics.observe_added(steady_now() - arrived_);
            first_attempt_ = false;
        }
        attempt_finished result;
        if (writer.begun() && !call.inference)
        {
            // Part of an answer has been sent to the caller, and no other server can complete that answer.
            result.number = where.number;
            result.attempt = where.attempt;
            result.result = attempt_result::caller_gone;
            writer.close_after();
        }
        else
        {
            result = owner_.parts.backends.run(where, call, writer);
        }
        attempt_result const outcome = result.result;
        if (!result.invalid_status.empty())
        {
            owner_.parts.metrics.add("siskin_invalid_statuses_total", "", 1);
            owner_.parts.log.write({"invalid_status",
                                    {{"request", call.request_id},
                                     {"attempt", std::to_string(result.attempt)},
                                     {"address", where.address},
                                     {"status", result.invalid_status}}});
        }
        owner_.push_until_accepted(result);
        switch (outcome)
        {
        case attempt_result::answered:
            owner_.parts.metrics.add("siskin_answers_total", "", 1);
            return true;
        case attempt_result::caller_gone:
            owner_.parts.metrics.add("siskin_callers_gone_total", "", 1);
            return true;
        case attempt_result::not_sent:
        case attempt_result::refused_not_run:
            return false;
        default:
            verdict_ = execution_verdict::may_have_run;
            return false;
        }
    }

    front& owner_;
    wire_connection wire_;
    request_head request_;
    std::string body_;
    steady_time arrived_{};
    execution_verdict verdict_{execution_verdict::not_run};
    bool first_attempt_ = true;
};

namespace
{

class connection_factory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit connection_factory(front_connection::front& owner) : owner_(owner) {}

    Poco::Net::TCPServerConnection* createConnection(Poco::Net::StreamSocket const& socket) override
    {
        return new front_connection(socket, owner_);
    }

private:
    front_connection::front& owner_;
};

} // namespace

http_front::http_front(front_settings settings, front_parts parts)
    : implementation_(std::make_unique<implementation>(std::move(settings), std::move(parts)))
{
}

http_front::~http_front()
{
    stop();
}

void http_front::start()
{
    auto& own = *implementation_;
    own.socket = std::make_unique<Poco::Net::ServerSocket>();
    own.socket->bind(Poco::Net::SocketAddress(own.settings.address), true);
    own.socket->listen(256);
    auto* const params = new Poco::Net::TCPServerParams; // The server takes shared ownership.
    params->setMaxThreads(static_cast<int>(own.settings.connections + refusing_threads));
    params->setMaxQueued(static_cast<int>(refusing_threads));
    params->setThreadIdleTime(Poco::Timespan(30, 0));
    own.server =
        std::make_unique<Poco::Net::TCPServer>(new connection_factory(own), own.pool, *own.socket, params);
    own.server->start();
}

std::uint16_t http_front::port() const
{
    return implementation_->socket->address().port();
}

void http_front::announce_shutdown()
{
    implementation_->shutdown_announced = true;
}

void http_front::refuse_new()
{
    implementation_->refusing_new = true;
}

std::size_t http_front::open_requests() const
{
    return implementation_->open_requests;
}

void http_front::stop()
{
    auto& own = *implementation_;
    if (!own.server || own.stopped.exchange(true))
    {
        return;
    }
    own.server->stop();
    {
        std::lock_guard<std::mutex> const lock(own.descriptors_mutex);
        for (int const descriptor : own.descriptors)
        {
            // Ends the wait for the next request. An answer that is being written is still sent to its end.
            ::shutdown(descriptor, SHUT_RD);
        }
    }
    own.pool.joinAll();
    own.server.reset();
}

} // namespace siskinusher
