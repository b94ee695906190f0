// Detects that the settings file has changed, with or without a signal, and loads it as a whole or not at
// all. Called with the time; the file's own times are only compared with earlier ones of the same file.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "../bootstrap/settings.h"

namespace robinpin::app {

class SettingsWatcher {
 public:
  static constexpr std::int64_t poll_interval = 2'000'000;  // microseconds between checks without a signal

  // `path`: the file that the process was started with.
  SettingsWatcher(std::string path, bootstrap::MachineKind kind) : path_(std::move(path)), kind_(kind) {}

  // The settings to apply in place of `current`, or nothing if there is no change; after a signal always the
  // settings. `now` is in microseconds. May be called often: the file is checked once a `poll_interval`, or
  // at once if `signalled`.
  // Errors: every fault of the file, or every change that needs a restart, a line each with its pointer;
  // without a signal the same ones are not returned again.
  storage::result<std::optional<bootstrap::Settings>> poll(std::int64_t now, bool signalled,
                                                           const bootstrap::Settings& current);

 private:
  // Device, inode, size, and modification time in seconds and nanoseconds.
  using FileStamp = std::tuple<std::uint64_t, std::uint64_t, std::int64_t, std::int64_t, std::int64_t>;

  FileStamp read_file_stamp() const;
  // The loaded settings; nothing, with `error` set, if the file is faulty or needs a restart.
  std::optional<bootstrap::Settings> load(const bootstrap::Settings& current, storage::Error& error) const;

  std::string path_;
  bootstrap::MachineKind kind_;
  std::int64_t next_poll_ = 0;
  std::optional<FileStamp> loaded_stamp_;  // of the file when it was last loaded
  bool may_be_partially_written_ = false;  // the file when it was last loaded
  std::string reported_faults_;            // the last errors returned; empty since a valid file
};

}  // namespace robinpin::app
