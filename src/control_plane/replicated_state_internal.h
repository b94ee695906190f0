// Shared by the source files that implement ReplicatedState; not part of its interface.
#pragma once

#include <charconv>
#include <string>
#include <string_view>

#include "messages.h"

namespace robinpin::control_plane {

// The register whose version N is the N-th change of the control state.
inline constexpr std::string_view state_register = "state";

// Microseconds: a core machine unheard for so long is no peer any more.
inline constexpr std::int64_t peer_expiry = 10'000'000;

// A machine's address as the voters' list holds it, and back; 0 where the text is no number.
inline std::string format_address(Machine m) { return std::to_string(m); }
inline Machine parse_address(const std::string& text) {
  Machine m = 0;
  std::from_chars(text.data(), text.data() + text.size(), m);
  return m;
}

inline std::string hex(std::uint64_t x) {
  char digits[17];
  const auto [end, wrong] = std::to_chars(digits, digits + 16, x, 16);
  return wrong == std::errc() ? std::string(digits, end) : std::string();
}

}  // namespace robinpin::control_plane
