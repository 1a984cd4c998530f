#pragma once

namespace siskinusher
{

/// Token bucket that limits the retries of one instance to a share of its first attempts.
class retry_budget
{
public:
    /// Each first attempt adds `share` tokens, up to `capacity`. The bucket starts full, so that a request
    /// that fails soon after the start can be retried.
    retry_budget(double share, double capacity);

    void on_first_attempt();

    /// Takes one token; false when there is none.
    bool try_take();

private:
    double share_;
    double capacity_;
    double tokens_;
};

} // namespace siskinusher
