#include "adapters/event_log.hpp"

#include <spdlog/async.h>
#include <spdlog/async_logger.h>

#include <algorithm>
#include <utility>

namespace siskinusher
{

namespace
{

// At 42 requests a second with two lines each, the queue holds the lines of a 20 s stall of the writer.
constexpr std::size_t line_queue_capacity = 2048;
constexpr std::size_t value_limit = 512;

void redact(std::string& text, std::string const& secret)
{
    constexpr std::string_view replacement = "[redacted]";
    for (std::size_t at = text.find(secret); at != std::string::npos;
         at = text.find(secret, at + replacement.size()))
    {
        text.replace(at, secret.size(), replacement);
    }
}

// A value with spaces or quotes is quoted; control characters become "?", so that an event stays one line.
std::string format_value(std::string value, std::vector<std::string> const& secrets)
{
    for (std::string const& secret : secrets)
    {
        if (!secret.empty())
        {
            redact(value, secret);
        }
    }
    value.resize(std::min(value.size(), value_limit));
    std::string text;
    for (char const c : value)
    {
        if (c == '"' || c == '\\')
        {
            text.push_back('\\');
        }
        text.push_back(static_cast<unsigned char>(c) < 0x20 || c == 0x7F ? '?' : c);
    }
    bool const is_plain = !value.empty() && text.find_first_of(" \"=\\") == std::string::npos;
    return is_plain ? text : "\"" + text + "\"";
}

spdlog::level::level_enum level_of(std::string const& name)
{
    return spdlog::level::from_str(name == "error" ? "err" : name);
}

} // namespace

class event_log::implementation
{
public:
    implementation(spdlog::sink_ptr sink, std::string const& level, std::vector<std::string> hidden)
        : secrets(std::move(hidden)),
          pool(std::make_shared<spdlog::details::thread_pool>(line_queue_capacity, 1)),
          logger(std::make_shared<spdlog::async_logger>("siskin", std::move(sink), pool,
                                                        spdlog::async_overflow_policy::overrun_oldest))
    {
        logger->set_pattern("ts=%Y-%m-%dT%H:%M:%S.%eZ level=%l event=%v", spdlog::pattern_time_type::utc);
        logger->set_level(level_of(level));
        logger->flush_on(spdlog::level::info);
    }

    std::vector<std::string> const secrets;
    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::async_logger> logger;
};

event_log::event_log(spdlog::sink_ptr sink, std::string const& level, std::vector<std::string> secrets)
    : implementation_(std::make_unique<implementation>(std::move(sink), level, std::move(secrets)))
{
}
event_log::~event_log() = default;

void event_log::write(log_event const& entry)
{
    if (implementation_->logger->should_log(spdlog::level::info))
    {
        implementation_->logger->info("{}", format_event(entry, implementation_->secrets));
    }
}

void event_log::flush()
{
    implementation_->logger->flush();
}

std::string format_event(log_event const& entry, std::vector<std::string> const& secrets)
{
    std::string line = entry.name;
    for (auto const& [key, value] : entry.fields)
    {
        line.append(" ").append(key).append("=").append(format_value(value, secrets));
    }
    return line;
}

} // namespace siskinusher
