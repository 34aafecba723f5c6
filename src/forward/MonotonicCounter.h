#pragma once

namespace siskinshunt {

/// Takes a total that a node has reported since its start, and returns by how much it rose since the highest one before.
/// Costs that were given back lower a total a little: what is spent next makes up for it. A total of less than half is that
/// of a node that has started again.
double advanceCounter(double& highest, double total);

}
