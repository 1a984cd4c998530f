#pragma once

#include "decision/request_memory.hpp"

#include <cstddef>
#include <memory>

namespace siskinusher
{

/// The bytes that one admitted request has reserved. They are released when it is destroyed.
class memory_share
{
public:
    memory_share() = default; ///< Reserves nothing.
    explicit memory_share(std::shared_ptr<request_memory> memory);
    ~memory_share();
    memory_share(memory_share&& other) noexcept;
    memory_share& operator=(memory_share&& other) noexcept;
    memory_share(memory_share const&) = delete;
    memory_share& operator=(memory_share const&) = delete;

    /// Returns false, and reserves nothing more, when there is no room.
    bool try_grow(std::size_t more);

private:
    std::shared_ptr<request_memory> memory_;
    std::size_t bytes_ = 0;
};

} // namespace siskinusher
