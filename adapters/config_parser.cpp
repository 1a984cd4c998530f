#include "adapters/config_parser.hpp"

#include "adapters/fleet_text_reader.hpp"

#include <string>
#include <utility>

namespace siskinusher
{

namespace
{

// A newer text replaces older ones that still wait, and the configuration register requests a dropped text
// again.
constexpr std::size_t text_queue_capacity = 4;
constexpr duration wake_interval = seconds{1};
constexpr unsigned push_attempts = 1000;

} // namespace

config_parser::config_parser(event_sink& events, log_port& log)
    : events_(events), log_(log), waiting_(text_queue_capacity), thread_([this] { loop(); })
{
}

config_parser::~config_parser()
{
    stopping_ = true;
    waiting_.close();
    thread_.join();
}

void config_parser::parse(config_object const& object)
{
    if (!waiting_.try_push(object))
    {
        log_.write({"config_text_dropped", {{"generation", std::to_string(object.generation)}}});
    }
}

config_parsed config_parser::read(config_object const& object)
{
    std::string const generation = std::to_string(object.generation);
    auto text = read_fleet_text(object.text, "config " + generation, object.generation);
    if (!text)
    {
        for (read_error const& each : text.error())
        {
            log_.write({"config_fault", {{"fault", to_string(each)}}});
        }
        return {nullptr, object};
    }
    return {std::make_shared<fleet_config const>(std::move(text.value().config)), object};
}

void config_parser::loop()
{
    for (;;)
    {
        auto object = waiting_.pop(wake_interval);
        if (!object)
        {
            if (stopping_)
            {
                return;
            }
            continue;
        }
        config_parsed const result = read(*object);
        for (unsigned i = 0; i < push_attempts && !stopping_ && !events_.push(result); ++i)
        {
            std::this_thread::sleep_for(milliseconds{1});
        }
    }
}

} // namespace siskinusher
