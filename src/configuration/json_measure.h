// How much memory a JSON text takes once it is parsed: found by a pass that keeps nothing of it, so that a
// text of a peer can be refused before it is parsed. Free of I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace robinpin::configuration {

struct JsonMeasure {
  std::size_t values = 0;      // also names, lists and objects
  std::size_t text_bytes = 0;  // of all texts and names
};

// Nothing if it is no JSON text, not valid UTF-8, or has more than `most_levels` of lists and objects.
std::optional<JsonMeasure> measure_json(std::string_view text, std::size_t most_levels);

}  // namespace robinpin::configuration
