// One node: wires the parts together, heeds the signals, runs until it is told to end.
#pragma once

#include <string>

#include "boot.h"

namespace robinpin::node {

// Serves by EDGE_* and, where `config` names one, by a file of ours. Returns the process's exit code: 1 where
// it can't start, with every fault in the log.
int serve(const std::string& config, const environment& variable);

}  // namespace robinpin::node
