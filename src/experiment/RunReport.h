#pragma once

#include "experiment/Json.h"

#include <string>
#include <vector>

namespace siskinshunt {

/// Renders one saved run, or two side by side, as text tables.
std::string renderTable(const std::vector<Json>& runs);

/// Renders a self-contained HTML page with plots as inline SVG; two runs are shown side by side.
std::string renderHtml(const std::vector<Json>& runs);

/// A line of a plot.
struct PlotLine {
    std::string name;
    std::vector<std::pair<double, double>> points; ///< (x, y) in order of x.
};

/// Renders lines as an SVG plot with axes and a legend; x is in seconds.
std::string renderPlot(const std::string& title, const std::string& unit, const std::vector<PlotLine>&);

/// Escapes text for HTML.
std::string escapeHtml(std::string_view);

}
