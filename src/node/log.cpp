#include "log.h"

#include <array>
#include <chrono>

namespace robinpin::node::log {

void write(level l, const std::string& line) {
  static constexpr std::array names = {"info", "warning", "error"};
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  fmt::print(stderr, "{}.{:03} {} {}\n", ms / 1000, ms % 1000, names[std::size_t(l)], line);
}

}  // namespace robinpin::node::log
