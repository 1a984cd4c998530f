#pragma once

#include "tests/standins/http_server.hpp"
#include "tests/wire/store_standin.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace siskinusher::standins
{

/// Fault that a backend stand-in shows on each request.
enum class backend_fault
{
    none,
    server_error,     ///< Runs and answers 500.
    lost_answer,      ///< Runs and closes without an answer.
    rejects,          ///< Answers 503 as full, without running.
    wrong_request_id, ///< Answers with the id of another request.
    breaks_stream,    ///< Closes in the middle of a stream's third event.
    rejects_late,     ///< Answers 503 as full 500 ms after it has read the request, without running.
    slow_body,        ///< Sends the head and half of a plain answer before its work, the rest after it.
    not_found,        ///< Runs and answers 404.
    empty_stream,     ///< Begins a stream that ends with its connection, and closes without an event.
    broken_stream,    ///< As above, but closes in the middle of the first event.
    open_stream,      ///< A whole stream that ends with its connection.
    unproven_refusal, ///< Runs and answers 503, without stating that the request did not run.
};

/// An order that a backend stand-in has received, accepted or not.
struct received_order
{
    std::chrono::steady_clock::time_point at;
    std::string holder;
    std::uint64_t epoch = 0;
};

/// Stand-in for one backend server; it is an engine when it is given models. It writes its entry into the
/// store, runs requests, streams events with ids, and accepts orders that expect its current order count.
class backend_standin
{
public:
    backend_standin(store_standin& store, std::string name, std::string service,
                    std::set<std::string> models = {});
    ~backend_standin();
    backend_standin(backend_standin const&) = delete;
    backend_standin& operator=(backend_standin const&) = delete;

    /// Writes the server's entry into the store.
    void write_entry(std::string const& state = "ready");
    /// Writes another software version into the entry; the first one is "v1".
    void set_version(std::string version);
    std::string version();
    /// Writes another address, for example that of a relay, into the entry.
    void publish_address(std::string address);
    std::string address() const { return server_.address(); }
    /// The name of the first start, which it states in its answers.
    std::string const& name() const { return name_; }
    std::string const& service() const { return service_; }
    void set_fault(backend_fault value) { fault_ = value; }
    /// Time that a request, or one event of a stream, takes.
    void set_work_time(std::chrono::milliseconds value) { work_ms_ = value.count(); }
    /// Number of events in a stream.
    void set_event_count(unsigned count) { event_count_ = count; }
    /// Makes each stream silent for this time after the event with this id. The silence ends early when the
    /// caller closes its connection.
    void set_pause(unsigned after_event, std::chrono::milliseconds value);
    /// Bytes that are sent each 100 ms of such a silence, as a stalled server's lower layers may do.
    void set_pause_bytes(std::string bytes);
    /// Rejects each request whose number of arrival is a multiple of this as full; zero rejects none.
    void set_reject_every(unsigned count) { reject_every_ = count; }
    /// Calls `on_crash` instead of an answer to each request with this part in its prompt, or with a body or
    /// last segment of its path that begins with it.
    void set_crash_part(std::string part, std::function<void()> on_crash);
    /// Names this limit of requests a second in each answer; empty for none.
    void set_limit(std::string per_second);
    /// Refuses requests beyond this many at once as full; zero refuses none.
    void set_room(unsigned requests) { room_ = requests; }
    /// Says in each answer that it bears this many refusals a second; empty for none.
    void set_brittle(std::string per_second);
    /// Says in each answer that it leaves.
    void set_leaving(bool value) { leaving_ = value; }
    /// Refuses each request, and asks with this text for a pause; empty for none.
    void set_pause_request(std::string retry_after);
    /// When requests were refused as full.
    std::vector<std::chrono::steady_clock::time_point> refusals();
    /// When requests arrived, whether they ran or not.
    std::vector<std::chrono::steady_clock::time_point> arrivals();
    /// Writes the entry of a new start under the same name.
    void start_again();
    /// Writes the entry of a new start under another name, with the models of before. The entry of the name
    /// before stays, and requests and orders that expect it are answered 421.
    void start_again_as(std::string new_name);
    /// Removes the entries that start_again_as() has left. Returns false when there was none.
    bool remove_earlier_entries();
    /// Bytes that follow the usual body of a plain answer.
    void set_padding(std::size_t bytes) { padding_ = bytes; }

    /// How often each request id has run here.
    std::map<std::string, unsigned> runs();
    /// When each request id has begun to run here, in the order of time.
    std::map<std::string, std::vector<std::chrono::steady_clock::time_point>> run_times();
    /// The values of Tenant that arrived with each request id, whether it ran or not.
    std::map<std::string, std::set<std::string>> organisations();
    /// True once a request has arrived with the header Authorization.
    bool received_key() const { return received_key_; }
    unsigned total_runs();
    unsigned cancelled() const { return cancelled_; }
    std::set<std::string> models();
    std::vector<received_order> orders(); ///< In the order of their arrival.
    /// Streams that are in the silence of set_pause now.
    unsigned pausing() const { return pausing_; }
    /// True once the engine has been ordered to hold more models than fit.
    bool exceeded_memory() const { return exceeded_memory_; }
    /// Value of a header of the latest request.
    std::string last_header(std::string const& header);

private:
    void serve(http_exchange& exchange);
    void stream(http_exchange& exchange, std::string const& id, backend_fault fault);
    bool crashes_on(http_exchange const& exchange) const;
    void pause_after(unsigned event, http_exchange& exchange);
    void receive_order(http_exchange& exchange);
    void report(http_exchange& exchange);
    nlohmann::json model_list() const;

    store_standin& store_;
    std::string const name_;
    std::string const service_;
    bool const engine_;
    std::string crash_part_; ///< Empty for none.
    std::function<void()> on_crash_;
    std::mutex mutex_;
    std::string entry_name_; ///< The name of the latest start.
    std::vector<std::string> earlier_entries_;
    std::int64_t started_at_ = 1;
    std::string version_{"v1"};
    std::string published_address_; ///< Empty when the entry has the server's own address.
    std::set<std::string> models_;
    std::map<std::string, std::vector<std::chrono::steady_clock::time_point>> run_times_;
    std::vector<received_order> orders_;
    std::map<std::string, std::string> last_headers_;
    std::map<std::string, std::set<std::string>> organisations_;
    std::atomic<bool> received_key_{false};
    std::string limit_;
    std::vector<std::chrono::steady_clock::time_point> arrival_times_;
    std::uint64_t sequence_ = 0;
    std::atomic<backend_fault> fault_{backend_fault::none};
    std::atomic<std::int64_t> work_ms_{1};
    std::atomic<unsigned> event_count_{6};
    std::atomic<unsigned> pause_after_event_{0}; ///< 0 when no stream pauses.
    std::atomic<std::int64_t> pause_ms_{0};
    std::atomic<unsigned> pausing_{0};
    std::atomic<unsigned> cancelled_{0};
    std::atomic<std::size_t> padding_{0};
    std::string brittle_;
    std::vector<std::chrono::steady_clock::time_point> refusal_times_;
    std::string pause_request_;
    std::string pause_bytes_;
    std::atomic<bool> leaving_{false};
    std::atomic<unsigned> room_{0};
    std::atomic<unsigned> inside_{0};
    std::atomic<unsigned> reject_every_{0};
    unsigned arrivals_ = 0;
    std::atomic<bool> exceeded_memory_{false};
    http_server server_;
};

/// A configuration with the plain routes /once/ and /again/ (host "h") of the service "plain", and the
/// streaming routes /stream/ (resumable) and /stream-once/ of the service "llm" with models m0 to m5.
nlohmann::json example_config(std::uint64_t version);

} // namespace siskinusher::standins
