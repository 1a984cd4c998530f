#pragma once

#include <sys/types.h>

#include <string>

namespace review
{

/// One process of the deploy file with settings of its own, on loopback addresses.
class edge_program
{
public:
    /// Writes the settings into `folder` and starts `target/siskin-edge`.
    edge_program(std::string const& folder, std::string name, std::string const& store_address,
                 unsigned memory_mb = 260);
    ~edge_program();
    edge_program(edge_program const&) = delete;
    edge_program& operator=(edge_program const&) = delete;

    void start();
    void signal(int number) const;
    /// Waits for the end of the process, `seconds` at most. Returns false when it still runs.
    bool wait_end(double seconds);
    bool runs();
    /// Resident memory of the process in bytes; zero when it does not run.
    double memory_in_use() const;
    bool ready() const;
    std::string const& callers() const { return callers_; }
    std::string const& name() const { return name_; }
    std::string log() const;

private:
    std::string const folder_;
    std::string const name_;
    std::string const callers_;
    std::string const readiness_;
    std::string const peers_;
    pid_t process_ = -1;
};

} // namespace review
