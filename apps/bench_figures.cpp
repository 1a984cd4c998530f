#include "apps/bench_figures.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>

namespace siskinusher
{

double sample_quantile(std::vector<double> samples, double q)
{
    if (samples.empty())
    {
        return 0.0;
    }
    auto const at =
        samples.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), at, samples.end());
    return *at;
}

std::optional<process_usage> read_process_usage(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    auto const after_name = text.rfind(')');
    if (after_name == std::string::npos)
    {
        return std::nullopt;
    }
    // Fields after the name, as proc(5) numbers them: 3 state, 14 utime, 15 stime, 20 threads, 24 pages.
    std::istringstream rest(text.substr(after_name + 1));
    std::vector<std::string> const fields((std::istream_iterator<std::string>(rest)),
                                          std::istream_iterator<std::string>());
    if (fields.size() < 22)
    {
        return std::nullopt;
    }
    auto const number = [&fields](std::size_t field)
    { return std::strtoull(fields[field - 3].c_str(), nullptr, 10); };
    process_usage usage;
    usage.cpu_seconds =
        static_cast<double>(number(14) + number(15)) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    usage.threads = static_cast<unsigned>(number(20));
    usage.resident_bytes = number(24) * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
    return usage;
}

double load_average()
{
    double average = 0.0;
    return ::getloadavg(&average, 1) == 1 ? average : 0.0;
}

} // namespace siskinusher
