// What happened in this process, as numbered events: appended to a bounded journal in memory, from which
// views are folded. The catalogue is docs/events.md. Free of I/O: who writes a log is told of each event.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace robinpin::chronicle {

// Numbers are kept for ever; one that is gone is not used again.
enum class event : int {
  began = 100,     // the role has begun
  ends = 101,      // told to end
  leapt = 102,     // the steady clock leapt: this process stood still
  settings = 103,  // the settings file was read again
  settings_faulty = 104,
  ended = 105,  // the process ends now
  ready = 110,  // ready for clients
  unready = 111,
  server_up = 200,  // the server beside this node began a life
  server_draining = 201,
  server_gone = 202,      // said so, ended, or was not heard
  items_taken = 300,      // items of the configuration were news
  change_refused = 301,   // an operator's call was turned down, with its faults
  change_taken = 302,     // acknowledged
  order_unsettled = 303,  // no majority in time
  zone_emptied = 310,
  zone_back = 311,
  copy_whole = 320,  // this core is in contact with a majority and holds all that it knows of
  copy_lacks = 321,  // it is not, or does not
  disk_failed = 322,
  voters = 323,          // who votes has changed: the epoch, and who
  disk_set_aside = 324,  // what the disk holds can't be believed: this core begins as an empty one
};

struct Event {
  event number{};
  std::int64_t at = 0;  // microseconds of the process's clock
  std::string text;
};

// A view folded from events: how often each came, and the last.
struct Counted {
  std::map<event, std::uint64_t> times;
  std::map<event, Event> last;
  void fold(const Event& e) {
    ++times[e.number];
    last[e.number] = e;
  }
};

class Chronicle {
 public:
  static constexpr std::size_t most = 2'000;  // the oldest are let go
  explicit Chronicle(std::function<void(const Event&)> told = {}) : told_(std::move(told)) {}

  void append(event number, std::int64_t at, std::string text = {}) {
    events_.push_back({number, at, std::move(text)});
    counted_.fold(events_.back());
    if (told_) told_(events_.back());
    if (events_.size() > most) events_.pop_front();
  }
  const std::deque<Event>& events() const { return events_; }
  const Counted& counted() const { return counted_; }

 private:
  std::function<void(const Event&)> told_;
  std::deque<Event> events_;
  Counted counted_;
};

}  // namespace robinpin::chronicle
