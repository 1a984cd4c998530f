#pragma once

#include <string>
#include <vector>

namespace siskinusher
{

/// A stream that callers may take up again, and the software version of the engine that began it.
struct begun_stream
{
    std::string request_id; ///< Of the caller's attempt that brought the first event.
    std::string version;
};

/// The software versions of a service's engines that may have begun streams which are not over.
struct stream_versions
{
    std::string service;
    std::vector<std::string> versions; ///< Sorted.
};

bool operator==(begun_stream const& a, begun_stream const& b);
bool operator==(stream_versions const& a, stream_versions const& b);

} // namespace siskinusher
