#include "apps/ctl_commands.hpp"

#include <criterion/criterion.h>

#include <cstdio>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <unistd.h>
#include <utility>

using namespace siskinusher;

namespace
{

std::string const first_text =
    "data_centres: [{name: a, region: r}]\nengine_pools: [{name: p, engine_memory: 80GiB}]\n"
    "weight_store: {loads_per_second: 4, full_speed_loads: 4}\n"
    "models: [{name: m, checkpoint: c, size: 7GiB, max_replicas: 2, load_time_ms: 900}]\n";

std::string with_replicas(std::string const& count)
{
    std::string text = first_text;
    return text.replace(text.find("max_replicas: 2"), 15, "max_replicas: " + count);
}

/// What happens to one put.
enum class put_fault
{
    none,
    answer_lost,       ///< The write takes effect.
    request_lost,      ///< The write does not take effect; the sender cannot tell.
    request_is_late,   ///< The write takes effect at the next call.
    server_unreachable ///< The sender knows that nothing was sent.
};

class fake_store : public config_store_port
{
public:
    config_read_result get() override
    {
        apply_late_write();
        if (down)
        {
            return config_failure{false, "down"};
        }
        config_read_result result = current.version == 0 ? config_read_result{config_absent{}} : current;
        if (after_get)
        {
            std::exchange(after_get, nullptr)();
        }
        return result;
    }

    config_put_outcome put(object_version expected, config_object const& object) override
    {
        apply_late_write();
        ++puts;
        put_fault const fault = faults.empty() ? put_fault::none : faults.front();
        if (!faults.empty())
        {
            faults.pop_front();
        }
        switch (fault)
        {
        case put_fault::server_unreachable:
            return config_put_outcome::not_sent;
        case put_fault::request_lost:
            return config_put_outcome::unknown;
        case put_fault::request_is_late:
            late_write = [this, expected, object] { write(expected, object); };
            return config_put_outcome::unknown;
        case put_fault::answer_lost:
            write(expected, object);
            if (after_put)
            {
                after_put();
            }
            return config_put_outcome::unknown;
        case put_fault::none:
            break;
        }
        return write(expected, object) ? config_put_outcome::written : config_put_outcome::conflict;
    }

    bool write(object_version expected, config_object const& object)
    {
        if (expected != current.version)
        {
            return false;
        }
        current = {object, current.version + 1};
        ++written;
        return true;
    }

    stored_config current;
    bool down = false;
    int puts = 0;
    int written = 0;
    std::deque<put_fault> faults;
    std::function<void()> after_get;
    std::function<void()> after_put; ///< Follows a write whose answer is lost.

private:
    void apply_late_write()
    {
        if (late_write)
        {
            std::exchange(late_write, nullptr)();
        }
    }

    std::function<void()> late_write;
};

class fake_instances : public instance_port
{
public:
    std::vector<instance_address> list(std::string& error) override
    {
        error = list_error;
        return {{"a-1", "127.0.0.1:1"}, {"a-2", "127.0.0.1:2"}};
    }
    http_answer call(std::string const& method, std::string const& address, std::string const& path) override
    {
        calls.push_back(method + " " + address + path);
        auto const answer = answers.find(address);
        return answer == answers.end() ? http_answer{0, {}, "no answer"} : answer->second;
    }

    std::string list_error;
    std::map<std::string, http_answer> answers;
    std::vector<std::string> calls;
};

struct ctl_fixture
{
    std::string file(std::string const& text)
    {
        path = "/tmp/siskinctl-test-" + std::to_string(getpid()) + ".yaml";
        std::ofstream(path) << text;
        return path;
    }
    ~ctl_fixture() { std::remove(path.c_str()); }

    exit_code apply(std::string const& text, std::optional<std::uint64_t> expected = std::nullopt)
    {
        return make().apply(file(text), expected);
    }
    ctl_commands make()
    {
        return {{store, instances, out, err, [this](duration) { ++sleeps; }}, settings};
    }
    bool shows(std::string const& part) const { return out.str().find(part) != std::string::npos; }
    bool shows_error(std::string const& part) const { return err.str().find(part) != std::string::npos; }

    fake_store store;
    fake_instances instances;
    operator_settings settings{"127.0.0.1:9", "127.0.0.1:9", {}, ""};
    std::ostringstream out;
    std::ostringstream err;
    std::string path;
    int sleeps = 0;
};

} // namespace

Test(ctl_commands, apply_writes_the_next_generation_and_shows_the_difference)
{
    ctl_fixture ctl;
    cr_assert(ctl.apply(first_text) == exit_code::ok);
    cr_assert(ctl.store.current.object.generation == 1 && ctl.shows("+ model m "));
    cr_assert(ctl.apply(with_replicas("3"), 1) == exit_code::ok);
    cr_assert(ctl.store.current.object.generation == 2 && ctl.shows("~ model m max_replicas: 2 -> 3"));
    cr_assert(ctl.apply(with_replicas("3")) == exit_code::ok);
    cr_assert_eq(ctl.store.written, 2, "an unchanged text is not written again");
}

// Guards against an overwritten change when two operators edit the same generation: one write is accepted,
// the other operator is shown the difference to it.
Test(ctl_commands, a_refused_apply_shows_the_difference_to_the_accepted_text)
{
    ctl_fixture ctl;
    ctl.apply(first_text);
    ctl.store.after_get = [&] { ctl.store.write(1, {2, with_replicas("5")}); };
    cr_assert(ctl.apply(with_replicas("3")) == exit_code::refused);
    cr_assert(ctl.store.current.object.text == with_replicas("5"));
    cr_assert(ctl.shows("~ model m max_replicas: 5 -> 3"));
    cr_assert(ctl.shows_error("not applied: generation 2 is the accepted one\n"));
    cr_assert(ctl.apply(with_replicas("3"), 1) == exit_code::refused, "the expected generation has passed");
    cr_assert_eq(ctl.store.current.object.generation, 2);
}

// Guards against a lost answer that is reported as a failure, or that makes apply write a second generation.
Test(ctl_commands, a_lost_answer_is_resolved_by_reading_back)
{
    for (auto const fault : {put_fault::answer_lost, put_fault::request_lost, put_fault::request_is_late})
    {
        ctl_fixture ctl;
        ctl.apply(first_text);
        ctl.store.faults = {fault};
        cr_assert(ctl.apply(with_replicas("3")) == exit_code::ok);
        cr_assert(ctl.store.current.object.generation == 2 && ctl.store.written == 2);
    }
}

// Guards against a report that nothing was written, when an answer was lost and another operator wrote next.
Test(ctl_commands, says_when_a_lost_write_may_have_been_replaced)
{
    ctl_fixture ctl;
    ctl.apply(first_text);
    ctl.store.faults = {put_fault::answer_lost};
    ctl.store.after_put = [&] { ctl.store.write(2, {3, with_replicas("5")}); };
    cr_assert(ctl.apply(with_replicas("3")) == exit_code::refused);
    cr_assert(
        ctl.shows_error("generation 3 is the accepted one; your text may have been accepted before it"));
}

// Guards against an endless wait and against a wrong message while the object store stays down.
Test(ctl_commands, an_outage_ends_with_a_correct_message)
{
    ctl_fixture ctl;
    ctl.apply(first_text);
    ctl.store.faults = {put_fault::server_unreachable};
    cr_assert(ctl.apply(with_replicas("3")) == exit_code::unreachable);
    cr_assert(ctl.shows_error("nothing was changed"));
    ctl.store.faults.assign(20, put_fault::request_lost);
    cr_assert(ctl.apply(with_replicas("3")) == exit_code::unreachable);
    cr_assert(ctl.shows_error("outcome of writing generation 2 is unknown") && ctl.sleeps == 9);
    ctl.store.down = true;
    cr_assert(ctl.apply(with_replicas("3")) == exit_code::unreachable);
    cr_assert(ctl.make().diff(ctl.path) == exit_code::unreachable);
}

// Guards against an invalid text in the store, which no instance could put in force.
Test(ctl_commands, a_refused_text_is_never_written)
{
    ctl_fixture ctl;
    cr_assert(ctl.apply(with_replicas("0")) == exit_code::refused);
    cr_assert(ctl.shows_error(":4: wrong value '0' for 'models[0].max_replicas'"));
    cr_assert_eq(ctl.store.puts, 0);
    cr_assert(ctl.make().validate(ctl.path, false) == exit_code::refused);
}

// Guards against a text that no instance takes over after the store was restored from an old copy: instances
// ignore generations below their own.
Test(ctl_commands, the_successor_of_a_restored_text_is_above_the_generation_in_force)
{
    ctl_fixture ctl;
    ctl.apply(first_text);
    ctl.settings.operator_key = "0123456789012345678901234567890k";
    ctl.instances.answers["127.0.0.1:2"] = {200, R"({"instance":"a-2","config_generation":"41"})", ""};
    cr_assert(ctl.apply(first_text) == exit_code::ok);
    cr_assert_eq(ctl.store.current.object.generation, 42);
}

Test(ctl_commands, status_reports_each_instance_and_the_silent_ones)
{
    ctl_fixture ctl;
    ctl.apply(first_text);
    ctl.instances.answers["127.0.0.1:1"] = {200, R"({"ready":true,"note":"x\u001b[2J"})", ""};
    cr_assert(ctl.make().status() == exit_code::unreachable);
    cr_assert(ctl.shows("accepted generation 1\na-1 ready=true note=x [2J\n"));
    cr_assert(ctl.shows_error("a-2: no answer"));
    ctl.instances.answers["127.0.0.1:2"] = {401, "", ""};
    cr_assert(ctl.make().status() == exit_code::refused);
}

Test(ctl_commands, drain_and_explain_reach_the_right_instances)
{
    ctl_fixture ctl;
    ctl.instances.answers["127.0.0.1:1"] = {404, "", ""};
    ctl.instances.answers["127.0.0.1:2"] = {202, R"({"explain":["queued","sent"]})", ""};
    cr_assert(ctl.make().drain("a-2") == exit_code::ok);
    cr_assert(ctl.instances.calls == std::vector<std::string>{"POST 127.0.0.1:2/operator/drain"});
    cr_assert(ctl.make().drain("a-9") == exit_code::refused);
    cr_assert(ctl.make().explain("request", "a-2-7&x") == exit_code::ok);
    cr_assert(ctl.instances.calls.back() == "GET 127.0.0.1:2/operator/explain?request=a-2-7%26x");
    cr_assert(ctl.shows("a-2: queued\na-2: sent\n"));
    ctl.instances.answers["127.0.0.1:2"].status = 404;
    cr_assert(ctl.make().explain("request", "a-2-7") == exit_code::refused);
    ctl.instances.answers.erase("127.0.0.1:2");
    cr_assert(ctl.make().explain("request", "a-2-7") == exit_code::unreachable);
    ctl.instances.list_error = "down";
    cr_assert(ctl.make().drain("a-2") == exit_code::unreachable);
}
