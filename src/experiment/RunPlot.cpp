#include "experiment/RunReport.h"

#include <algorithm>
#include <cstdio>

namespace siskinshunt {

namespace {

    constexpr double width = 560;
    constexpr double height = 240;
    constexpr double left = 60;
    constexpr double right = 120;
    constexpr double top = 30;
    constexpr double bottom = 30;
    constexpr const char* colors[] = { "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf", "#8c564b", "#7f7f7f" };

    struct Scale {
        double maxX = 1;
        double maxY = 1;

        double x(double value) const { return left + value / maxX * (width - left - right); }
        double y(double value) const { return height - bottom - value / maxY * (height - top - bottom); }
    };

    std::string format(const char* pattern, double a, double b = 0)
    {
        char out[160];
        std::snprintf(out, sizeof out, pattern, a, b);
        return out;
    }

    Scale scaleOf(const std::vector<PlotLine>& lines)
    {
        Scale out;
        double maxY = 0;
        for (const auto& line : lines) {
            for (const auto& [x, y] : line.points) {
                out.maxX = std::max(out.maxX, x);
                maxY = std::max(maxY, y);
            }
        }
        if (maxY > 0)
            out.maxY = maxY * 1.05;
        return out;
    }

    std::string axes(const Scale& scale)
    {
        constexpr int steps = 4;
        std::string out;
        for (int n = 0; n <= steps; ++n) {
            const double y = scale.maxY * n / steps;
            const double x = scale.maxX * n / steps;
            out += format("<line x1=\"60\" x2=\"440\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#ddd\"/>", scale.y(y), scale.y(y));
            out += format("<text x=\"55\" y=\"%.1f\" text-anchor=\"end\">%.3g</text>", scale.y(y) + 4, y);
            out += format("<text x=\"%.1f\" y=\"226\" text-anchor=\"middle\">%.0f s</text>", scale.x(x), x);
        }
        return out;
    }

    std::string polyline(const PlotLine& line, const Scale& scale, const char* color)
    {
        std::string out = std::string("<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"") + color + "\" points=\"";
        for (const auto& [x, y] : line.points)
            out += format("%.1f,%.1f ", scale.x(x), scale.y(y));
        return out + "\"/>";
    }

}

std::string escapeHtml(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

std::string renderPlot(const std::string& title, const std::string& unit, const std::vector<PlotLine>& lines)
{
    const auto scale = scaleOf(lines);
    std::string out = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"560\" height=\"240\" font-size=\"11\" font-family=\"sans-serif\">";
    out += "<text x=\"60\" y=\"16\" font-weight=\"bold\">" + escapeHtml(title) + " (" + escapeHtml(unit) + ")</text>";
    out += axes(scale);
    for (size_t n = 0; n < lines.size(); ++n) {
        const char* color = colors[n % std::size(colors)];
        out += polyline(lines[n], scale, color);
        out += format("<text x=\"450\" y=\"%.0f\" fill=\"", top + 12 + 14 * static_cast<double>(n)) + color + "\">" + escapeHtml(lines[n].name) + "</text>";
    }
    return out + "</svg>\n";
}

}
