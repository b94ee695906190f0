#include "settings_watcher.h"

#include <sys/stat.h>

#include <boost/leaf/handle_errors.hpp>
#include <utility>

namespace robinpin::app {

// A file replaced by a rename has another inode; one that is written in place another time or size.
SettingsWatcher::FileStamp SettingsWatcher::read_file_stamp() const {
  struct stat status {};
  if (::stat(path_.c_str(), &status) != 0) return {};
  return {status.st_dev, status.st_ino, status.st_size, status.st_mtim.tv_sec, status.st_mtim.tv_nsec};
}

std::optional<bootstrap::Settings> SettingsWatcher::load(const bootstrap::Settings& current,
                                                         storage::Error& error) const {
  using Loaded = std::optional<bootstrap::Settings>;
  Loaded next = boost::leaf::try_handle_all(
      [&]() -> storage::result<Loaded> { return bootstrap::load_settings(path_, kind_); },
      [&](const storage::Error& fault) {
        error = fault;
        return Loaded();
      },
      [] { return Loaded(); });
  if (!next) return next;
  for (const auto& pointer : bootstrap::settings_needing_restart(current, *next)) {
    error.step = storage::Error::Step::apply;
    error.peer = path_;
    error.reason += pointer + ": needs a new start\n";
  }
  return error.reason.empty() ? next : std::nullopt;
}

storage::result<std::optional<bootstrap::Settings>> SettingsWatcher::poll(
    std::int64_t now, bool signalled, const bootstrap::Settings& current) {
  using Result = std::optional<bootstrap::Settings>;
  if (!signalled && now < next_poll_) return Result();
  next_poll_ = now + poll_interval;
  // Read before the file is: what is written meanwhile is found by the next poll.
  const FileStamp stamp = read_file_stamp();
  const bool is_second_attempt = std::exchange(may_be_partially_written_, false);
  if (!signalled && !is_second_attempt && loaded_stamp_ == stamp) return Result();
  loaded_stamp_ = stamp;

  storage::Error error;
  Result next = load(current, error);
  if (!next) {
    const bool is_unreadable =
        error.step == storage::Error::Step::parse || error.step == storage::Error::Step::open;
    may_be_partially_written_ = !is_second_attempt && is_unreadable;
    if (!signalled && (may_be_partially_written_ || error.reason == reported_faults_)) return Result();
    reported_faults_ = error.reason;
    return boost::leaf::new_error(error);
  }
  const bool is_news = signalled || !reported_faults_.empty() || *next != current;
  reported_faults_.clear();
  if (!is_news) return Result();
  return next;
}

}  // namespace robinpin::app
