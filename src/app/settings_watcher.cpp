#include "settings_watcher.h"

#include <sys/stat.h>

#include <boost/leaf/handle_errors.hpp>
#include <utility>

namespace robinpin::app {

// Who replaces the file by a rename changes its number, who writes into it its time or length.
SettingsWatcher::Stamp SettingsWatcher::stamp() const {
  struct stat s {};
  if (::stat(path_.c_str(), &s) != 0) return {};
  return {s.st_dev, s.st_ino, s.st_size, s.st_mtim.tv_sec, s.st_mtim.tv_nsec};
}

storage::result<std::optional<bootstrap::Settings>> SettingsWatcher::look(std::int64_t now, bool signalled,
                                                                          const bootstrap::Settings& old) {
  using Found = std::optional<bootstrap::Settings>;
  if (!signalled && now < next_) return Found();
  next_ = now + every;
  const Stamp seen = stamp();  // before it is read: what is written meanwhile is met at the next look
  const bool again = std::exchange(again_, false);
  if (!signalled && !again && stamp_ == seen) return Found();
  stamp_ = seen;
  storage::Error trouble;
  Found next = boost::leaf::try_handle_all(
      [&]() -> storage::result<Found> {
        return bootstrap::load_settings(
            path_, core_ ? bootstrap::MachineKind::core : bootstrap::MachineKind::server);
      },
      [&](const storage::Error& t) {
        trouble = t;
        return Found();
      },
      [] { return Found(); });
  if (next)
    for (const auto& pointer : bootstrap::settings_needing_restart(old, *next)) {
      trouble.step = storage::Error::Step::apply, trouble.peer = path_;
      trouble.reason += pointer + ": needs a new start\n";
    }
  if (!next || !trouble.reason.empty()) {
    again_ =
        !again && (trouble.step == storage::Error::Step::parse || trouble.step == storage::Error::Step::open);
    if (!signalled && (again_ || trouble.reason == faults_)) return Found();
    faults_ = trouble.reason;
    return boost::leaf::new_error(trouble);
  }
  const bool news = signalled || !faults_.empty() || *next != old;
  faults_.clear();
  return news ? std::move(next) : Found();
}

}  // namespace robinpin::app
