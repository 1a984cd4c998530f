#include "tests/standins/instance_directory.hpp"

namespace siskinusher::standins
{

using nlohmann::json;

void instance_directory::put(json const& row)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    current_[row.at("name").get<std::string>()] = row;
    schedule_current();
}

void instance_directory::remove(std::string const& name)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    current_.erase(name);
    schedule_current();
}

void instance_directory::set_state(std::string const& name, std::string const& state)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = current_.find(name);
    if (found != current_.end())
    {
        found->second["state"] = state;
        schedule_current();
    }
}

void instance_directory::freeze(std::chrono::milliseconds time)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    show_due_changes();
    frozen_until_ = clock::now() + time;
}

json instance_directory::rows()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    show_due_changes();
    auto result = json::array();
    for (auto const& row : visible_)
    {
        result.push_back(row.second);
    }
    return result;
}

void instance_directory::schedule_current()
{
    pending_.emplace_back(clock::now() + lag_, current_);
}

void instance_directory::show_due_changes()
{
    auto const now = clock::now();
    if (now < frozen_until_)
    {
        return;
    }
    while (!pending_.empty() && pending_.front().first <= now)
    {
        visible_ = std::move(pending_.front().second);
        pending_.pop_front();
    }
}

} // namespace siskinusher::standins
