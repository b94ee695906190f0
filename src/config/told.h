// What files of ours say and where: values with their places, faults, times as text.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "robinpin/choice.h"

namespace robinpin::config {

struct At {  // from 1; 0: not said in the file
  int line = 0, column = 0;
  bool said() const { return line > 0; }
};

template <typename T>
struct Told {
  T value{};
  At at;
  bool said() const { return at.said(); }
};

struct Fault {
  At at;
  std::string key, what;
};

// "file:line:column: key: what", a line each.
std::string text(const std::string& path, const std::vector<Fault>& faults);
std::string duration(micros time);  // "250ms"
std::optional<micros> duration(std::string_view text);

// A file's bytes; once more while it is still being written. Nothing if it can't be read. Waits up to half a
// second.
std::optional<std::string> settled_bytes(const std::string& path);
std::string hash_of(std::string_view bytes);  // 16 hexadecimal digits

}  // namespace robinpin::config
