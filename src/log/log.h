// The program's log: text or JSON lines on standard error, a level for each part, repeated lines folded with
// their count. A line never waits: what standard error does not take at once is dropped and counted.
#pragma once

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace robinpin::log {

enum class part { node, clients, servers, list, config, records, fleet };
enum class level { debug, info, warning, error, off };
constexpr std::size_t parts = 7;
constexpr std::array<const char*, parts> part_names = {"node",   "clients", "servers", "list",
                                                       "config", "records", "fleet"};

struct Manner {
  bool json = false;
  std::array<level, parts> least{level::info, level::info, level::info, level::info,
                                 level::info, level::info, level::info};
  std::chrono::milliseconds fold{
      10'000};  // a line that was written so short a time ago is counted, not written
};

void open(const Manner& manner);  // may be called again; until then lines go out by the defaults
void write(part from, level l, const std::string& line);
bool writes(part from, level l);
void sweep();   // tells of folded lines whose time is over; to be called every second or so
void finish();  // tells of all of them, at the end
std::uint64_t dropped();

template <typename... Args>
void debug(part from, fmt::format_string<Args...> text, Args&&... args) {
  if (writes(from, level::debug)) write(from, level::debug, fmt::format(text, std::forward<Args>(args)...));
}
template <typename... Args>
void info(part from, fmt::format_string<Args...> text, Args&&... args) {
  if (writes(from, level::info)) write(from, level::info, fmt::format(text, std::forward<Args>(args)...));
}
template <typename... Args>
void warning(part from, fmt::format_string<Args...> text, Args&&... args) {
  if (writes(from, level::warning))
    write(from, level::warning, fmt::format(text, std::forward<Args>(args)...));
}
template <typename... Args>
void error(part from, fmt::format_string<Args...> text, Args&&... args) {
  if (writes(from, level::error)) write(from, level::error, fmt::format(text, std::forward<Args>(args)...));
}

// Which of the lines that come are written, and what is said of those that are not. Bounded: out of room, the
// oldest is told first.
class Folding {
 public:
  using time = std::chrono::system_clock::time_point;
  struct Line {
    std::size_t logger = 0;
    int level = 0;
    std::string text;
    int times = 1;  // above one: of a line that has been written, so many more
    std::chrono::milliseconds within{};
  };
  explicit Folding(std::chrono::milliseconds fold, std::size_t most = 64) : fold_(fold), most_(most) {}
  // True if the line is to be written; `due` gets those that are to be told before it.
  bool take(time now, std::size_t logger, int level, std::string_view text, std::vector<Line>& due);
  void sweep(time now, std::vector<Line>& due, bool all = false);

 private:
  struct Seen {
    Line line;
    time since;
  };
  std::chrono::milliseconds fold_;
  std::size_t most_;
  std::vector<Seen> seen_;  // the oldest first
};

// A peer that fails is told of once with its cause, and once when that is over.
class Trouble {
 public:
  using clock = std::chrono::steady_clock;
  // True the first time, and when the cause has changed: to be told.
  bool fails(const std::string& cause, clock::time_point now = clock::now()) {
    if (times_++ == 0) since_ = now;
    return std::exchange(cause_, cause) != cause;
  }
  // True if it was in trouble: to be told. `times` and `lasted` speak of the last one.
  bool mended(clock::time_point now = clock::now()) {
    if (times_ == 0) return false;
    told_times_ = std::exchange(times_, 0);
    lasted_ = std::chrono::duration_cast<std::chrono::milliseconds>(now - since_);
    cause_.clear();
    return true;
  }
  int times() const { return told_times_; }
  double lasted() const { return double(lasted_.count()) / 1000; }  // seconds

 private:
  std::string cause_;
  int times_ = 0, told_times_ = 0;
  clock::time_point since_{};
  std::chrono::milliseconds lasted_{};
};

}  // namespace robinpin::log
