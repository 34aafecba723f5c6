#pragma once

#include "experiment/Json.h"

#include <string>
#include <vector>

namespace siskinshunt {

using TextRow = std::vector<std::string>;

/// Formats rows as aligned columns; the first column is left-aligned, the others right-aligned unless `leftAligned`.
std::string formatTable(const std::vector<TextRow>&, bool leftAligned = false);

/// Renders a JSON value as human-readable text: scalars as lines of key and value, nested objects with dotted keys, arrays of
/// objects as tables with a column for each member that occurs.
std::string renderAsText(const Json&);

/// Returns a line-by-line diff: removed lines are marked with "-", added lines with "+", common lines are omitted. Empty if the
/// texts are equal.
std::string diffLines(std::string_view before, std::string_view after);

}
