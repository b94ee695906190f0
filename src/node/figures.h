// The node's figures as operators read them: the text form of Prometheus.
#pragma once

#include <string>
#include <vector>

#include "counters.h"

namespace robinpin::node {

// What is not counted but stands as it is, asked when the page is written.
struct Standing {
  std::size_t pending = 0, members = 0, unavailable = 0;
};

// A row of `schemes` for each row of the counters' by_scheme.
std::string figures(const Counters& counters, const std::vector<std::string>& schemes,
                    const Standing& standing);

}  // namespace robinpin::node
