#pragma once

#include <string>
#include <vector>

namespace siskinusher::testing
{

/// Median and range of one figure over the seeds.
struct spread
{
    double median = 0;
    double least = 0;
    double most = 0;
};

/// A bar of a chart: its length is the median, and a line shows the range.
struct plot_bar
{
    std::string label;
    spread value;
};

struct bar_chart
{
    std::string title;
    std::vector<plot_bar> bars;
};

/// Returns an SVG document with the charts one below the other.
std::string svg_plot(std::vector<bar_chart> const& charts);

} // namespace siskinusher::testing
