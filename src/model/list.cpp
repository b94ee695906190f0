#include "list.h"

#include <algorithm>
#include <set>

namespace robinpin::model {

namespace {
constexpr std::size_t most_changes = 1000;
}

void List::knows(const Entry& entry) { entries_[entry.uid] = entry; }

void List::changed(const Entry& entry, bool silently) {
  const micros by = entry.is == state::ready ? ways_.add : silently ? ways_.silent_notice : ways_.notice;
  agenda_.in(by + behind_, [this, entry] { show(entry); });
}

void List::show(const Entry& entry) {
  // Notices overtake each other when the list falls behind: an older start says nothing of a newer one.
  if (const auto e = entries_.find(entry.uid); e != entries_.end() && e->second.started > entry.started)
    return;
  if (const auto g = gone_.find(entry.uid); g != gone_.end() && g->second.started > entry.started) return;
  ++version_;
  if (entry.is == state::gone) {
    entries_.erase(entry.uid);
    gone_[entry.uid] = entry;
  } else {
    entries_[entry.uid] = entry;
    gone_.erase(entry.uid);
  }
  changes_.emplace_back(version_, entry.uid);
  if (changes_.size() > most_changes) {
    gone_.erase(changes_.front().second);
    changes_.pop_front();
  }
  if (on_change) on_change();
}

std::vector<Entry> List::whole() const {
  std::vector<Entry> all;
  for (const auto& [uid, e] : entries_) all.push_back(e);
  return all;
}

std::vector<Entry> List::since(long long version, bool& all) const {
  const long long oldest = changes_.empty() ? version_ : changes_.front().first - 1;
  all = version <= 0 || version > version_ || version < oldest;
  if (all) return whole();
  std::set<std::string> changed;
  for (const auto& [v, uid] : changes_)
    if (v > version) changed.insert(uid);
  std::vector<Entry> news;
  for (const auto& uid : changed) {
    const auto e = entries_.find(uid);
    if (e != entries_.end())
      news.push_back(e->second);
    else if (const auto g = gone_.find(uid); g != gone_.end())
      news.push_back(g->second);
  }
  return news;
}

micros List::call(std::size_t lines) {
  if (broken_) return -1;
  const micros now = agenda_.now();
  if (ways_.lines_a_second <= 0) return now;
  const micros begins = std::max(now, busy_until_);
  if (begins - now > ways_.gives_up) return -1;
  busy_until_ = begins + micros((ways_.call_lines + double(lines)) / ways_.lines_a_second * 1e6);
  return busy_until_;
}

}  // namespace robinpin::model
