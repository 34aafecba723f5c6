#pragma once

#include "experiment/Json.h"

#include <string>
#include <vector>

namespace siskinshunt {

using TextRow = std::vector<std::string>;

/// Rows as aligned columns; the first column is left-aligned, the others right-aligned unless `leftAligned`.
std::string formatTable(const std::vector<TextRow>&, bool leftAligned = false);

/// Any JSON answer for people: scalars as lines of key and value, nested objects with dotted keys, lists of objects as
/// tables whose columns are the members that occur.
std::string renderAsText(const Json&);

/// Line-by-line difference of two texts: lines of one only are marked with "-" and "+", equal ones are left out. Empty
/// when the texts are equal.
std::string diffLines(std::string_view before, std::string_view after);

}
