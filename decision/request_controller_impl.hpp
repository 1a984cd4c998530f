#pragma once

#include "core/random_source.hpp"
#include "decision/admission_queue.hpp"
#include "decision/open_request.hpp"
#include "decision/peer_directory.hpp"
#include "decision/request_controller.hpp"
#include "decision/request_history.hpp"
#include "decision/request_router.hpp"
#include "decision/retry_budget.hpp"
#include "decision/suspect_table.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace siskinusher
{

// After a lost connection the server is polled for this long; the boot id in its report shows whether it
// died.
constexpr duration loss_check_limit = seconds(1);

/// The state of a request_controller. Its members are defined by topic in request_admission.cpp,
/// request_routing.cpp, request_attempts.cpp, request_suspects.cpp and request_upkeep.cpp.
class request_controller::impl
{
public:
    impl(request_settings settings, std::uint64_t seed)
        : settings_(std::move(settings)), random_(seed), queue_(settings_.queue_limit),
          router_(settings_, seed + 1), budget_(settings_.retry_share, settings_.retry_capacity),
          peers_(settings_.self.name, settings_.data_centre, settings_.max_summary_age)
    {
    }

    void on_config(steady_time now, std::shared_ptr<fleet_config const> config, outbox& out);
    void on_tick(steady_time now, outbox& out);
    void on_request(steady_time now, request_profile const& profile, outbox& out);
    void on_attempt_finished(steady_time now, attempt_finished const& finished, outbox& out);
    void on_attempt_progress(attempt_progress const& progress);
    void on_cancelled(steady_time now, request_number number, outbox& out);
    void on_peer(steady_time now, instance_id const& from, peer_message const& message, outbox& out);
    void on_members(std::vector<member> const& members);
    void on_instances(steady_time now, std::vector<listed_server> const& servers, outbox& out);
    void on_report(steady_time now, engine_report const& report, bool direct, outbox& out);
    void on_engine_unreachable(steady_time now, engine_unreachable const& what, outbox& out);
    void on_call_start_result(steady_time now, call_start_result const& result, outbox& out);
    void drain() { draining_ = true; }

    std::vector<load_request> take_load_requests() { return std::exchange(load_requests_, {}); }
    std::vector<call_start> take_call_starts() { return std::exchange(call_starts_, {}); }
    std::vector<call_entry> take_finished_calls() { return std::exchange(finished_calls_, {}); }
    std::size_t open_requests() const { return requests_.size() - late_count_; }
    std::vector<std::string> decision_history(request_number number) const
    {
        return history_.decision_history(number);
    }

private:
    using group_set = std::set<target_group*, name_order>;

    // Admission.
    std::optional<refusal_reason> check_arrival(steady_time now, request_profile const& profile) const;
    target_state& target_of(steady_time now, request_profile const& profile);
    /// Why the request cannot start before its deadline; empty when it can.
    std::optional<refusal_reason> check_start(steady_time now, open_request const& request);
    duration expected_wait(steady_time now, target_state const& target, route_capacity const& capacity,
                           std::size_t ahead) const;
    /// Makes the request wait for the answer of a call with the same key that this instance already runs.
    /// True when the request needs no further handling.
    bool join_running_call(steady_time now, open_request& request, outbox& out);
    void record_start(steady_time now, open_request& request);

    // Queue and routing.
    void enqueue(steady_time now, open_request& request);
    void dequeue(open_request& request);
    route_query query_of(open_request const& request) const;
    static route_query query_of(target_state const& target);
    void dispatch_groups(steady_time now, group_set const& groups, outbox& out);
    bool run_dispatch_pass(steady_time now, group_set const& groups, outbox& out);
    bool check_queued(steady_time now, open_request& request, outbox& out);
    void dispatch_for_request(steady_time now, open_request const& request, outbox& out);
    void dispatch_for_server(steady_time now, backend_name const& name, outbox& out);
    void dispatch_all(steady_time now, outbox& out);
    void dispatch_to(steady_time now, open_request& request, backend_state& server, outbox& out);
    member const* find_suspect_runner(steady_time now, open_request& request) const;
    void forward_to(steady_time now, open_request& request, member const& to, outbox& out);
    bool try_forward(steady_time now, open_request& request, outbox& out);

    // End of attempts and requests.
    void end_attempt(open_request& request);
    void after_failure(steady_time now, open_request& request, attempt_finished const& finished, outbox& out);
    void refuse_request(steady_time now, request_number number, refusal_reason reason, outbox& out);
    void send_refusal(steady_time now, open_request const& request, refusal_reason reason,
                      execution_verdict verdict, outbox& out);
    void finish_late(steady_time now, open_request& request, attempt_finished const& finished, outbox& out);
    void record_abandoned(open_request const& request);
    void record_answer(open_request const& request, attempt_finished const& finished, call_entry& entry);
    void answer_followers(steady_time now, open_request const& request, call_entry const& entry, outbox& out);
    void refuse_followers(steady_time now, open_request const& request, refusal_reason reason, outbox& out);
    void erase(request_number number, outbox& out);

    // Suspects.
    void ask_permit(steady_time now, open_request& request, outbox& out);
    void on_permit(steady_time now, request_number number, std::uint64_t fingerprint, bool granted,
                   bool confirmed, outbox& out);
    void give_back_permit(open_request& request, outbox& out);
    void clear_suspect(steady_time now, open_request& request, outbox& out);
    void server_died(steady_time now, backend_name const& name, std::uint64_t boot_id, outbox& out);
    void boot_ended(steady_time now, backend_name const& name, std::uint64_t boot_id, outbox& out);
    void mark_suspect(steady_time now, std::uint64_t fingerprint);
    void announce(std::vector<std::uint64_t> const& fingerprints, backend_name const& server,
                  std::uint64_t boot_id, outbox& out);
    void confirm_culprit(steady_time now, std::uint64_t fingerprint, outbox& out);
    void broadcast(peer_message const& message, outbox& out) const;
    void server_survived(steady_time now, backend_name const& name, std::uint64_t boot_id, outbox& out);
    void requeue_checked(steady_time now, backend_name const& name, std::uint64_t boot_id, duration age,
                         outbox& out);
    void record_loss(steady_time now, open_request const& request, bool server_dead, outbox& out);
    void forget_loss(backend_name const& name, lost_attempt const& attempt, outbox& out);
    void send_release(std::uint64_t fingerprint, outbox& out);
    void poll_unreported(steady_time now, outbox& out);
    void poll_after_losses(steady_time now, outbox& out);

    // Periodic work.
    void expire_requests(steady_time now, outbox& out);
    void expire_queue(steady_time now, outbox& out);
    void run_housekeeping(steady_time now, outbox& out);
    void collect_load_requests(steady_time now, target_group& group);
    void add_load_request(steady_time now, target_group const& group,
                          std::vector<target_state const*> const& targets, std::string const& adapter);
    void update_without_server(steady_time now, target_group& group);

    open_request* find(request_number number)
    {
        auto const found = requests_.find(number);
        return found == requests_.end() ? nullptr : &found->second;
    }

    request_settings settings_;
    random_source random_;
    std::shared_ptr<fleet_config const> config_;
    admission_queue queue_;
    request_router router_;
    retry_budget budget_;
    suspect_table suspects_;
    peer_directory peers_;
    request_history history_;
    bool draining_ = false;
    std::uint64_t next_sequence_ = 0;
    std::size_t late_count_ = 0;     ///< Requests in request_phase::refused_in_flight.
    std::size_t checking_count_ = 0; ///< Requests in request_phase::checking_loss.
    std::unordered_map<request_number, open_request> requests_;
    std::unordered_map<std::string, std::unique_ptr<target_group>> groups_;
    std::unordered_map<std::string, std::unique_ptr<target_state>> targets_;
    group_set waiting_groups_;
    group_set groups_to_dispatch_;
    bool dispatching_ = false;
    std::unordered_map<std::uint64_t, same_fingerprint_requests> in_flight_; ///< By fingerprint.
    std::unordered_map<std::uint64_t, request_number> permits_; ///< Asked for or held by this instance.
    std::unordered_map<std::string, request_number> running_keys_;
    std::map<backend_name, std::deque<lost_attempt>> losses_;
    std::map<backend_name, steady_time> polled_at_;
    std::set<std::pair<backend_name, std::uint64_t>> announced_leaving_;
    steady_time next_housekeeping_;
    std::vector<load_request> load_requests_;
    std::vector<call_start> call_starts_;
    std::vector<call_entry> finished_calls_;
};

} // namespace siskinusher
