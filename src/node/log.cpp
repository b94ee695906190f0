#include "log.h"

#include <array>
#include <chrono>

namespace robinpin::node::log {

void write(level l, const std::string& line) {
  static constexpr std::array names = {"info", "warning", "error"};
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  const std::string text = fmt::format("{}.{:03} {} {}\n", ms / 1000, ms % 1000, names[std::size_t(l)], line);
  // Whoever read the log may be gone; that is no reason to end.
  std::fwrite(text.data(), 1, text.size(), stderr);
}

}  // namespace robinpin::node::log
