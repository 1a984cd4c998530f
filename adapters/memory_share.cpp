#include "adapters/memory_share.hpp"

#include "adapters/boot_clock.hpp"

#include <utility>

namespace siskinusher
{

memory_share::memory_share(std::shared_ptr<request_memory> memory) : memory_(std::move(memory)) {}

memory_share::~memory_share()
{
    if (bytes_ > 0)
    {
        memory_->release(boot_now(), bytes_);
    }
}

memory_share::memory_share(memory_share&& other) noexcept
    : memory_(std::move(other.memory_)), bytes_(std::exchange(other.bytes_, 0))
{
}

memory_share& memory_share::operator=(memory_share&& other) noexcept
{
    memory_share released(std::move(*this));
    memory_ = std::move(other.memory_);
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
}

bool memory_share::try_grow(std::size_t more)
{
    if (!memory_->try_reserve(more, bytes_))
    {
        return false;
    }
    bytes_ += more;
    return true;
}

} // namespace siskinusher
