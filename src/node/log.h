// A small logger: one line a message on standard error.
#pragma once

#include <fmt/format.h>

#include <cstdio>
#include <string>
#include <utility>

namespace robinpin::node::log {

enum class level { info, warning, error };

void write(level l, const std::string& line);

template <typename... Args>
void info(fmt::format_string<Args...> text, Args&&... args) {
  write(level::info, fmt::format(text, std::forward<Args>(args)...));
}
template <typename... Args>
void warning(fmt::format_string<Args...> text, Args&&... args) {
  write(level::warning, fmt::format(text, std::forward<Args>(args)...));
}
template <typename... Args>
void error(fmt::format_string<Args...> text, Args&&... args) {
  write(level::error, fmt::format(text, std::forward<Args>(args)...));
}

}  // namespace robinpin::node::log
