// Looks out for a settings file that has changed, by a signal or without, and reads it whole or not at all.
// Told the time; what a file says of its own times is only held against what it said before.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "../bootstrap/settings.h"

namespace robinpin::app {

class SettingsWatcher {
 public:
  static constexpr std::int64_t every = 2'000'000;  // microseconds between looks without a signal

  // `path`: of the file that the process began with.
  SettingsWatcher(std::string path, bool core) : path_(std::move(path)), core_(core) {}

  // What is to be taken on in place of `old`; nothing where there is no news, and always something at a
  // signal. May be called often: the file is looked at only each `every`, or at once where `signalled`.
  // Errors: all faults of the file, or all of it that needs a new start, a line each with its pointer;
  // without a signal not the same ones again.
  storage::result<std::optional<bootstrap::Settings>> look(std::int64_t now, bool signalled,
                                                           const bootstrap::Settings& old);

 private:
  using Stamp = std::tuple<std::uint64_t, std::uint64_t, std::int64_t, std::int64_t, std::int64_t>;
  Stamp stamp() const;

  std::string path_;
  bool core_;
  std::int64_t next_ = 0;
  std::optional<Stamp> stamp_;  // of what was read last
  bool again_ = false;          // what was read last may have been half written
  std::string faults_;          // as last told; none since a good file
};

}  // namespace robinpin::app
