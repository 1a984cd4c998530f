#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "core/steady_time.hpp"

namespace siskinusher
{

/// Bounded queue that passes items between threads. Closing it wakes every waiting thread.
template <typename T>
class bounded_queue
{
public:
    explicit bounded_queue(std::size_t capacity) : capacity_(capacity) {}

    /// Returns false, leaving the queue unchanged, when it is full or closed.
    bool try_push(T value)
    {
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            if (closed_ || items_.size() >= capacity_)
            {
                return false;
            }
            items_.push_back(std::move(value));
        }
        not_empty_.notify_one();
        return true;
    }

    /// Waits at most `wait` for an item. Returns no value on timeout, or when the queue is closed and empty.
    std::optional<T> pop(duration wait)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        not_empty_.wait_for(lock, wait, [this] { return closed_ || !items_.empty(); });
        if (items_.empty())
        {
            return std::nullopt;
        }
        T value = std::move(items_.front());
        items_.pop_front();
        return value;
    }

    /// Refuses further items; those already in the queue can still be popped.
    void close()
    {
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            closed_ = true;
        }
        not_empty_.notify_all();
    }

private:
    std::size_t const capacity_;
    std::mutex mutex_;
    std::condition_variable not_empty_;
    std::deque<T> items_;
    bool closed_ = false;
};

} // namespace siskinusher
