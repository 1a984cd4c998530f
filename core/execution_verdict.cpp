#include "core/execution_verdict.hpp"

#include <algorithm>

namespace siskinusher
{

std::string_view to_string(execution_verdict value)
{
    switch (value)
    {
    case execution_verdict::not_run:
        return "not_run";
    case execution_verdict::may_have_run:
        return "may_have_run";
    case execution_verdict::ran:
        return "ran";
    }
    return "invalid";
}

execution_verdict worst_of(execution_verdict a, execution_verdict b)
{
    return std::max(a, b);
}

} // namespace siskinusher
