#pragma once

namespace siskinshunt {

/// Updates the highest value of a counter that a node has reported since its start, and returns the increase. Refunded
/// costs lower a counter slightly; later spending counts only beyond the previous highest value. A value below half of the
/// highest one is from a node that has restarted.
double advanceCounter(double& highest, double total);

}
