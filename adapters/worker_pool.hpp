#pragma once

#include "core/bounded_queue.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

namespace siskinusher
{

/// A fixed number of threads that take jobs from one bounded queue.
template <typename Job>
class worker_pool
{
public:
    worker_pool(std::size_t threads, std::size_t capacity, std::function<void(Job const&)> run)
        : queue_(capacity), run_(std::move(run))
    {
        for (std::size_t i = 0; i < threads; ++i)
        {
            threads_.emplace_back([this] { serve(); });
        }
    }

    /// Runs all accepted jobs to their end; the owner tells them to end early if necessary.
    ~worker_pool()
    {
        stopping_ = true;
        queue_.close();
        for (std::thread& one : threads_)
        {
            one.join();
        }
    }
    worker_pool(worker_pool const&) = delete;
    worker_pool& operator=(worker_pool const&) = delete;

    /// Returns false when the queue is full.
    bool try_submit(Job job) { return queue_.try_push(std::move(job)); }

private:
    void serve()
    {
        while (true)
        {
            // Closing the queue wakes the threads; the time limit only makes them check `stopping_` again.
            auto const job = queue_.pop(seconds{1});
            if (job)
            {
                run_(*job);
            }
            else if (stopping_)
            {
                return;
            }
        }
    }

    bounded_queue<Job> queue_;
    std::function<void(Job const&)> const run_;
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
};

} // namespace siskinusher
