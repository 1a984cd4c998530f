#include "apps/stream_keeper.hpp"

#include "adapters/boot_clock.hpp"
#include "adapters/outbound_pool.hpp"
#include "adapters/placement_codec.hpp"
#include "adapters/ports.hpp"
#include "platform/stream_codec.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

namespace siskinusher
{

namespace
{

// Interval of writes while streams are reported; a stream that began within it before all instances were lost
// cannot be taken up.
constexpr duration tick_interval = milliseconds{100};
// Looks at every stream, up to 200,000 of them.
constexpr duration expiry_interval = seconds{1};
// The store prices refused calls too.
constexpr duration failed_call_delay = milliseconds{500};
// Shortest time between two listings; questions in between are answered from the latest one.
constexpr duration listing_interval = milliseconds{300};
constexpr duration question_time_limit = milliseconds{400};
// Interval of writes while the lease holder does not answer: 360 instances make 900 calls a second.
constexpr duration unreported_interval = milliseconds{400};
// While the store answers no other call of this instance either, the records are asked for this often.
constexpr duration outage_call_delay = seconds{3};
// 40 KB; with the interval of writes, 20,000 streams a second.
constexpr std::size_t max_streams_of_batch = 2000;
// Streams that wait for the store; further ones are not recorded until it answers.
constexpr std::size_t max_pending_streams = 100000;
// Old batches that are removed in one tick.
constexpr std::size_t removals_per_tick = 4;

} // namespace

class stream_keeper::implementation : public std::enable_shared_from_this<implementation>
{
public:
    using answer_handler = std::function<void(take_up_choice)>;

    implementation(boost::asio::io_context& loop, outbound_pool& pool_in, platform::metadata_store& store_in,
                   stream_register& streams_in, log_port& log_in, metric_port& metrics_in,
                   std::string name_in, stream_keeper_peers peers_in)
        : pool(pool_in), store(store_in), streams(streams_in), log(log_in), metrics(metrics_in),
          name(std::move(name_in)), peers(std::move(peers_in)), timer(loop)
    {
    }

    struct stream_question
    {
        std::string service;
        std::string request_id;
        answer_handler done;
    };

    void tick()
    {
        steady_time const now = boot_now();
        if (now >= next_expiry)
        {
            next_expiry = now + expiry_interval;
            streams.expire(now);
        }
        bool const holds = peers.holds_lease();
        if (holds != held)
        {
            held = holds;
            listed = listed && !holds; // The holder before may have written.
        }
        if (store.era() != listed_era)
        {
            listed = false; // Records and batches may be lost.
        }
        bool const may_be_answered = store.answers() || held || now >= next_call + outage_call_delay;
        if (!listed && !calling && now >= next_call && may_be_answered)
        {
            list(platform::stream_versions_kind, "");
        }
        if (held && listed)
        {
            streams.on_confirmed(now);
            take_own();
            write_record(now);
            write_batch(now);
            remove_old_batches(now, batches);
        }
        if (!held)
        {
            write_unreported(now);
            remove_old_batches(now, unreported_batches);
        }
        timer.expires_after(tick_interval);
        timer.async_wait(
            [weak = weak_from_this()](boost::system::error_code error)
            {
                auto const self = weak.lock();
                if (!error && self)
                {
                    self->tick();
                }
            });
    }

    // Reads all records, then all batches.
    void list(std::string const& kind, std::string const& after)
    {
        calling = true;
        if (kind == platform::stream_versions_kind && after.empty())
        {
            records_asked_at = boot_now();
            several_recorded = false;
        }
        store.list(
            kind, after,
            [weak = weak_from_this(), kind](platform::store_answer<platform::store_listing> const& answer)
            {
                if (auto const self = weak.lock())
                {
                    self->on_listing(kind, answer);
                }
            });
    }

    void on_listing(std::string const& kind, platform::store_answer<platform::store_listing> const& answer)
    {
        calling = false;
        steady_time const now = boot_now();
        auto const* const page = std::get_if<platform::store_listing>(&answer);
        if (page == nullptr)
        {
            next_call = now + failed_call_delay;
            answer_questions();
            return;
        }
        bool const of_records = kind == platform::stream_versions_kind;
        for (platform::store_object const& each : page->objects)
        {
            of_records ? take_record(now, each) : take_batch(now, each);
        }
        if (page->truncated)
        {
            list(kind, page->last_name);
        }
        else if (of_records)
        {
            records_era = page->revision.era;
            streams.on_confirmed(records_asked_at);
            // While one version is recorded, streams go on at any engine; only the holder, which removes old
            // batches, needs to know them.
            if (several_recorded || held)
            {
                list(platform::stream_batch_kind, "");
                return;
            }
            finish_listing(now, page->revision);
        }
        else
        {
            finish_listing(now, page->revision);
        }
    }

    void finish_listing(steady_time now, store_revision const& revision)
    {
        listed = revision.era == records_era; // Otherwise the next tick reads the records again.
        listed_era = revision.era;
        streams.on_records_known();
        log.write({"streams_listed",
                   {{"revision", to_string(revision)}, {"known", std::to_string(streams.size())}}});
        next_call = now + listing_interval;
        answer_questions();
    }

    void take_record(steady_time now, platform::store_object const& object)
    {
        auto const record = platform::decode_stream_versions(object.name, object.spec);
        if (!record)
        {
            log.write({"stream_versions_ignored", {{"service", object.name}}});
            return;
        }
        revisions[object.name] = object.revision;
        several_recorded = several_recorded || record->versions.versions.size() > 1 ||
                           record->store_era != object.revision.era;
        streams.on_recorded(now, record->versions, record->store_era == object.revision.era);
    }

    void take_batch(steady_time now, platform::store_object const& object)
    {
        auto const batch = platform::decode_stream_batch(object.spec);
        if (!batch)
        {
            log.write({"stream_batch_ignored", {{"name", object.name}}});
            return;
        }
        for (begun_stream const& each : *batch)
        {
            streams.add(now, each);
        }
        if (batches_known.emplace(object.name, now).second)
        {
            batches.emplace_back(now, object.name);
        }
    }

    void take_own()
    {
        std::vector<begun_stream> const own = streams.unreported();
        add_pending(own);
        streams.on_reported(own.size());
    }

    void add_pending(std::vector<begun_stream> const& begun)
    {
        if (pending.size() + begun.size() > max_pending_streams)
        {
            metrics.add("siskin_streams_unrecorded_total", "", begun.size());
            return;
        }
        pending.insert(pending.end(), begun.begin(), begun.end());
    }

    void write_record(steady_time now)
    {
        if (calling || now < next_call)
        {
            return;
        }
        std::vector<stream_versions> const due = streams.due_records(now);
        if (due.empty())
        {
            return;
        }
        calling = true;
        platform::stream_versions_record const record{due.front(), store.era()};
        auto const known = revisions.find(record.versions.service);
        store.put(
            platform::stream_versions_kind, record.versions.service,
            known == revisions.end() ? store_revision{} : known->second,
            platform::encode_stream_versions(record),
            [weak = weak_from_this(), record](platform::store_answer<platform::store_object> const& answer)
            {
                if (auto const self = weak.lock())
                {
                    self->on_record_written(record, answer);
                }
            });
    }

    void on_record_written(platform::stream_versions_record const& record,
                           platform::store_answer<platform::store_object> const& answer)
    {
        calling = false;
        steady_time const now = boot_now();
        std::string names;
        for (std::string const& each : record.versions.versions)
        {
            names.append(names.empty() ? "" : ",").append(each);
        }
        auto const* const object = std::get_if<platform::store_object>(&answer);
        log.write({"stream_versions",
                   {{"service", record.versions.service},
                    {"versions", names},
                    {"outcome", object != nullptr
                                    ? "recorded"
                                    : platform::to_string(std::get<platform::store_failure>(answer))}}});
        if (object == nullptr || object->revision.era != record.store_era)
        {
            listed = false;
            next_call = now + failed_call_delay;
            return;
        }
        revisions[record.versions.service] = object->revision;
        streams.on_recorded(now, record.versions, true);
    }

    void write_batch(steady_time now)
    {
        if (pending.empty() || writing || now < next_batch)
        {
            return;
        }
        writing = true;
        std::string const batch = name + "-" + std::to_string(++last_batch);
        auto const count = std::min(pending.size(), max_streams_of_batch);
        std::vector<begun_stream> const streams_of_batch(
            pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count));
        store.put(platform::stream_batch_kind, batch, {}, platform::encode_stream_batch(streams_of_batch),
                  [weak = weak_from_this(), batch,
                   count](platform::store_answer<platform::store_object> const& answer)
                  {
                      if (auto const self = weak.lock())
                      {
                          self->on_batch_written(batch, count, answer);
                      }
                  });
    }

    void on_batch_written(std::string const& batch, std::size_t count,
                          platform::store_answer<platform::store_object> const& answer)
    {
        writing = false;
        steady_time const now = boot_now();
        batches.emplace_back(now, batch); // Without an answer, it may have been written all the same.
        if (std::holds_alternative<platform::store_failure>(answer))
        {
            next_batch = now + failed_call_delay;
            return;
        }
        metrics.add("siskin_streams_recorded_total", "", count);
        pending.erase(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count));
    }

    // Writes begun streams that wait for the lease holder. They are reported to it all the same, because it
    // does not read what others write.
    void write_unreported(steady_time now)
    {
        if (peers.holder_answers() || writing || now < next_batch || !streams.has_unreported())
        {
            return;
        }
        std::vector<begun_stream> begun = streams.unreported();
        auto const last =
            std::find_if(begun.rbegin(), begun.rend(),
                         [this](begun_stream const& each) { return each.request_id == last_written_id; });
        begun.erase(begun.begin(), last.base());
        if (begun.empty())
        {
            return;
        }
        writing = true;
        next_batch = now + unreported_interval;
        std::string const batch = name + "-" + std::to_string(++last_batch);
        unreported_batches.emplace_back(now,
                                        batch); // Without an answer, it may have been written all the same.
        log.write({"streams_unreported", {{"batch", batch}, {"streams", std::to_string(begun.size())}}});
        store.put(platform::stream_batch_kind, batch, {}, platform::encode_stream_batch(begun),
                  [weak = weak_from_this(), last_id = begun.back().request_id,
                   count = begun.size()](platform::store_answer<platform::store_object> const& answer)
                  {
                      auto const self = weak.lock();
                      if (!self)
                      {
                          return;
                      }
                      self->writing = false;
                      if (std::holds_alternative<platform::store_failure>(answer))
                      {
                          self->next_batch = boot_now() + failed_call_delay;
                          return;
                      }
                      self->last_written_id = last_id;
                      self->metrics.add("siskin_streams_recorded_total", "", count);
                  });
    }

    void remove_old_batches(steady_time now, std::deque<std::pair<steady_time, std::string>>& batches)
    {
        for (std::size_t i = 0; i < removals_per_tick && !batches.empty() &&
                                now - batches.front().first >= stream_register::stream_lifetime;
             ++i)
        {
            store.remove(
                platform::stream_batch_kind, batches.front().second,
                [this_log = &log](std::optional<platform::store_failure> failure)
                {
                    if (failure)
                    {
                        this_log->write({"stream_batch_kept", {{"reason", platform::to_string(*failure)}}});
                    }
                });
            batches_known.erase(batches.front().second);
            batches.pop_front();
        }
    }

    void ask(stream_question question)
    {
        auto const holder = peers.holder();
        if (!holder)
        {
            ask_store(std::move(question));
            return;
        }
        metrics.add("siskin_stream_questions_total", "", 1);
        http_call call;
        call.method = "POST";
        call.path = stream_path;
        call.headers = {{"Authorization", "Bearer " + holder->key},
                        {stream_service_header, question.service}};
        call.body = question.request_id;
        pool.call(holder->address, call, question_time_limit,
                  [weak = weak_from_this(), question = std::move(question)](http_outcome const& outcome)
                  {
                      if (auto const self = weak.lock())
                      {
                          self->on_holder_answer(question, outcome);
                      }
                  });
    }

    void on_holder_answer(stream_question const& question, http_outcome const& outcome)
    {
        if (outcome.status == 200)
        {
            streams.add(boot_now(), {question.request_id, outcome.body});
            question.done(only_version{outcome.body});
        }
        else if (outcome.status == 204)
        {
            question.done(any_version{});
        }
        else if (outcome.status == 404)
        {
            question.done(unknown_version{});
        }
        else
        {
            ask_store(question);
        }
    }

    // Reads the records and the batches; all waiting questions share one listing.
    void ask_store(stream_question question)
    {
        if ((held && listed) || boot_now() < next_call)
        {
            answer(question);
            return;
        }
        questions.push_back(std::move(question));
        if (!calling)
        {
            list(platform::stream_versions_kind, "");
        }
    }

    void answer(stream_question const& question) const
    {
        question.done(streams.choose(boot_now(), question.service, question.request_id));
    }

    void answer_questions()
    {
        for (stream_question const& each : std::exchange(questions, {}))
        {
            answer(each);
        }
    }

    std::vector<stream_question> questions; ///< That wait for a listing.
    steady_time records_asked_at;           ///< When the latest listing of the records was begun.
    outbound_pool& pool;
    platform::metadata_store& store;
    stream_register& streams;
    log_port& log;
    metric_port& metrics;
    std::string const name;
    stream_keeper_peers const peers;
    boost::asio::steady_timer timer;
    std::map<std::string, store_revision> revisions;         ///< Of the records, by service.
    std::vector<begun_stream> pending;                       ///< To be written.
    std::deque<std::pair<steady_time, std::string>> batches; ///< In the store, the oldest first.
    std::map<std::string, steady_time> batches_known;        ///< Those of them that a listing showed.
    /// Written while the lease holder did not answer, the oldest first.
    std::deque<std::pair<steady_time, std::string>> unreported_batches;
    std::string last_written_id; ///< Of the latest stream in them.
    std::uint64_t last_batch = 0;
    std::uint64_t listed_era = 0;
    std::uint64_t records_era = 0; ///< Of the latest listing of the records.
    steady_time next_call;
    steady_time next_batch;
    steady_time next_expiry;
    bool held = false;
    bool listed = false;           ///< All objects were read since the lease or the era changed.
    bool several_recorded = false; ///< The latest listing of the records shows several versions.
    bool calling = false;          ///< A listing or the write of a record is in flight.
    bool writing = false;          ///< The write of a batch is in flight.
};

stream_keeper::stream_keeper(boost::asio::io_context& loop, outbound_pool& pool,
                             platform::metadata_store& store, stream_register& streams, log_port& log,
                             metric_port& metrics, std::string name, stream_keeper_peers peers)
    : impl_(std::make_shared<implementation>(loop, pool, store, streams, log, metrics, std::move(name),
                                             std::move(peers)))
{
}

stream_keeper::~stream_keeper() = default;

void stream_keeper::start()
{
    impl_->tick();
}

void stream_keeper::on_reported(std::vector<begun_stream> const& streams)
{
    for (begun_stream const& each : streams)
    {
        impl_->streams.add(boot_now(), each);
    }
    impl_->add_pending(streams);
}

void stream_keeper::ask(std::string const& service, std::string const& request_id,
                        std::function<void(take_up_choice)> done)
{
    impl_->ask({service, request_id, std::move(done)});
}

} // namespace siskinusher
