#include "apps/bench_caller.hpp"
#include "apps/bench_figures.hpp"
#include "apps/flag_range.hpp"

#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

DEFINE_string(target, "", "address of the siskin-entry to measure, as IP:PORT");
DEFINE_string(direct, "", "address of the engine behind it; the same client measures it for comparison");
DEFINE_string(model, "", "model to ask for");
DEFINE_string(mode, "latency", "latency: one request at a time; streams: many at the same time");
DEFINE_uint32(requests, 1000, "latency: requests of each kind (10 to 100000)");
DEFINE_uint32(streams, 320, "streams: open streams (1 to 1000)");
DEFINE_uint32(seconds, 10, "streams: length of each part (4 to 120)");
DEFINE_uint32(tokens_per_second, 30, "streams: rate at which the engine generates (1 to 1000)");
DEFINE_int32(pid, 0, "streams: process whose processor time and memory are measured; 0 for none");

namespace
{

using namespace siskinusher;

bool flags_valid()
{
    if (FLAGS_target.empty() || FLAGS_model.empty())
    {
        std::fprintf(stderr, "--target and --model are needed; see --help\n");
        return false;
    }
    if (FLAGS_mode != "latency" && FLAGS_mode != "streams")
    {
        std::fprintf(stderr, "--mode=%s: must be latency or streams\n", FLAGS_mode.c_str());
        return false;
    }
    return in_range("requests", FLAGS_requests, 10, 100000) && in_range("streams", FLAGS_streams, 1, 1000) &&
           in_range("seconds", FLAGS_seconds, 4, 120) &&
           in_range("tokens_per_second", FLAGS_tokens_per_second, 1, 1000);
}

struct latencies
{
    std::vector<double> ms;
    unsigned failed = 0;
    std::string error_text;

    void add(completion_times const& times, bool stream)
    {
        if (times.status == 200 && times.complete_answer)
        {
            ms.push_back(stream ? times.first_ms : times.total_ms);
            return;
        }
        ++failed;
        error_text = std::to_string(times.status) + " " + times.error_text;
    }
};

/// Sends requests to both addresses in turn, so that a change of the machine's load affects both alike.
bool measure_latency(bool stream)
{
    bench_caller entry_caller(FLAGS_target, FLAGS_model);
    bench_caller direct_caller(FLAGS_direct, FLAGS_model);
    latencies entry;
    latencies direct;
    duration const limit = seconds{10};
    for (unsigned i = 0; i < FLAGS_requests; ++i)
    {
        entry.add(entry_caller.complete(1, stream, limit), stream);
        if (!FLAGS_direct.empty())
        {
            direct.add(direct_caller.complete(1, stream, limit), stream);
        }
    }
    double const entry_p50 = sample_quantile(entry.ms, 0.5);
    double const entry_p99 = sample_quantile(entry.ms, 0.99);
    double const direct_p50 = sample_quantile(direct.ms, 0.5);
    double const direct_p99 = sample_quantile(direct.ms, 0.99);
    std::printf(
        "latency stream=%s requests=%u failed=%u direct_failed=%u entry_ms_p50=%.3f entry_ms_p99=%.3f "
        "direct_ms_p50=%.3f direct_ms_p99=%.3f added_ms_p50=%.3f added_ms_p99=%.3f load=%.1f\n",
        stream ? "yes" : "no", FLAGS_requests, entry.failed, direct.failed, entry_p50, entry_p99, direct_p50,
        direct_p99, entry_p50 - direct_p50, entry_p99 - direct_p99, load_average());
    if (entry.failed + direct.failed > 0)
    {
        std::fprintf(stderr, "failed requests: %s %s\n", entry.error_text.c_str(), direct.error_text.c_str());
    }
    return entry.failed + direct.failed == 0;
}

struct usage_rate
{
    double core_share = 0.0;
    double resident_kb = 0.0;
    unsigned threads = 0;
};

usage_rate measure_usage(std::chrono::milliseconds span)
{
    auto const start = std::chrono::steady_clock::now();
    auto const before = FLAGS_pid > 0 ? read_process_usage(FLAGS_pid) : std::nullopt;
    std::this_thread::sleep_for(span);
    auto const after = FLAGS_pid > 0 ? read_process_usage(FLAGS_pid) : std::nullopt;
    if (!before || !after)
    {
        return {};
    }
    std::chrono::duration<double> const passed = std::chrono::steady_clock::now() - start;
    return {(after->cpu_seconds - before->cpu_seconds) / passed.count(),
            static_cast<double>(after->resident_bytes) / 1024.0, after->threads};
}

struct stream_figures
{
    std::vector<double> gaps_ms;
    std::vector<double> first_ms;
    unsigned failed = 0;
    std::string error_text;
    usage_rate usage;
};

stream_figures run_streams(std::string const& address)
{
    stream_figures result;
    std::mutex mutex;
    std::vector<std::thread> threads;
    unsigned const tokens = FLAGS_seconds * FLAGS_tokens_per_second;
    for (unsigned i = 0; i < FLAGS_streams; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                // The starts are spread over a second, like those of independent callers.
                std::this_thread::sleep_for(milliseconds{1000} * i / FLAGS_streams);
                bench_caller caller(address, FLAGS_model);
                completion_times const times = caller.complete(tokens, true, seconds{FLAGS_seconds * 3 + 10});
                std::lock_guard<std::mutex> const lock(mutex);
                result.gaps_ms.insert(result.gaps_ms.end(), times.gaps_ms.begin(), times.gaps_ms.end());
                result.first_ms.push_back(times.first_ms);
                if (times.status != 200 || !times.complete_answer)
                {
                    ++result.failed;
                    result.error_text = std::to_string(times.status) + " " + times.error_text;
                }
            });
    }
    // The processor time is measured between the last start and the first end, when all streams are open.
    std::this_thread::sleep_for(milliseconds{1500});
    result.usage = measure_usage(milliseconds{(FLAGS_seconds - 3) * 1000});
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    return result;
}

bool measure_streams()
{
    usage_rate const idle = measure_usage(seconds{3});
    stream_figures const direct = FLAGS_direct.empty() ? stream_figures{} : run_streams(FLAGS_direct);
    stream_figures const entry = run_streams(FLAGS_target);
    double const entry_p50 = sample_quantile(entry.gaps_ms, 0.5);
    double const entry_p99 = sample_quantile(entry.gaps_ms, 0.99);
    double const direct_p50 = sample_quantile(direct.gaps_ms, 0.5);
    double const direct_p99 = sample_quantile(direct.gaps_ms, 0.99);
    std::printf("streams open=%u tokens_per_second=%u failed=%u direct_failed=%u idle_core_share=%.3f "
                "core_share=%.3f idle_rss_kb=%.0f rss_kb=%.0f kb_per_stream=%.1f threads=%u "
                "gap_ms_p50=%.2f gap_ms_p99=%.2f direct_gap_ms_p50=%.2f direct_gap_ms_p99=%.2f "
                "added_gap_ms_p50=%.3f added_gap_ms_p99=%.3f tokens=%zu load=%.1f\n",
                FLAGS_streams, FLAGS_tokens_per_second, entry.failed, direct.failed, idle.core_share,
                entry.usage.core_share, idle.resident_kb, entry.usage.resident_kb,
                (entry.usage.resident_kb - idle.resident_kb) / FLAGS_streams, entry.usage.threads, entry_p50,
                entry_p99, direct_p50, direct_p99, entry_p50 - direct_p50, entry_p99 - direct_p99,
                entry.gaps_ms.size(), load_average());
    if (entry.failed + direct.failed > 0)
    {
        std::fprintf(stderr, "failed streams: %s %s\n", entry.error_text.c_str(), direct.error_text.c_str());
    }
    return entry.failed + direct.failed == 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "Measures a running siskin-entry and prints lines of key=value figures.\n"
        "added_* is the difference between the quantile through the entry and the same quantile of the same "
        "client at the engine.\nexit codes: 0 every answer was complete; 1 some failed; 2 wrong usage");
    gflags::SetVersionString(SISKIN_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (!flags_valid())
    {
        return 2;
    }
    if (FLAGS_mode == "streams")
    {
        return measure_streams() ? 0 : 1;
    }
    bool const streamed = measure_latency(true);
    return measure_latency(false) && streamed ? 0 : 1;
}
