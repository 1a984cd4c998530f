#include "adapters/request_board.hpp"

#include <utility>

namespace siskinusher
{

request_board::mailbox::mailbox(request_board& board, request_number number) : board_(board), number_(number)
{
    std::lock_guard<std::mutex> const lock(board_.mutex_);
    board_.boxes_.emplace(number, this);
}

request_board::mailbox::~mailbox()
{
    std::lock_guard<std::mutex> const lock(board_.mutex_);
    board_.boxes_.erase(number_);
}

std::optional<request_decision> request_board::mailbox::wait(duration wait)
{
    std::unique_lock<std::mutex> lock(mutex_);
    if (!arrived_.wait_for(lock, wait, [this] { return !decisions_.empty(); }))
    {
        return std::nullopt;
    }
    request_decision decision = std::move(decisions_.front());
    decisions_.pop_front();
    return decision;
}

std::deque<request_decision> request_board::mailbox::close()
{
    std::lock_guard<std::mutex> const lock(board_.mutex_);
    board_.boxes_.erase(number_);
    return std::move(decisions_);
}

bool request_board::deliver(request_number number, request_decision decision)
{
    // The board stays locked during the delivery, so that the mailbox cannot be destroyed during it.
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = boxes_.find(number);
    if (found == boxes_.end())
    {
        return false;
    }
    {
        std::lock_guard<std::mutex> const box_lock(found->second->mutex_);
        found->second->decisions_.push_back(std::move(decision));
    }
    found->second->arrived_.notify_one();
    return true;
}

std::size_t request_board::open() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return boxes_.size();
}

} // namespace siskinusher
