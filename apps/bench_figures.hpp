#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskinusher
{

/// Value below which the share `q` (0 to 1) of the samples lies; zero without samples.
double sample_quantile(std::vector<double> samples, double q);

/// Processor time and memory of a process, from /proc.
struct process_usage
{
    double cpu_seconds = 0.0; ///< User and system time; the kernel counts it in steps of 10 ms.
    std::uint64_t resident_bytes = 0;
    unsigned threads = 0;
};

/// Empty when the process does not exist.
std::optional<process_usage> read_process_usage(pid_t process);

/// The machine's load average over one minute, which is printed with the measured values.
double load_average();

} // namespace siskinusher
