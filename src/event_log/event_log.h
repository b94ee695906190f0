// The process's numbered events: a bounded log in memory and counters folded from it. The catalogue is
// docs/events.md. Free of I/O: whoever writes a log file is notified of each event.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace robinpin::event_log {

// The numbers stand in operators' alerts: one that is removed is never used again.
enum class EventType : int {
  role_started = 100,
  stop_requested = 101,
  clock_jumped = 102,  // of the steady clock: this process stood still
  settings_applied = 103,
  settings_rejected = 104,
  process_exiting = 105,
  process_crashed = 106,  // by a signal or an exception of its own
  ready = 110,            // for clients
  not_ready = 111,
  memory_short = 120,       // peers were refused or closed for want of memory
  memory_high = 121,        // of the whole process, near its limit
  descriptors_short = 122,  // connections were refused for want of descriptors
  server_up = 200,          // the server beside this node has started
  server_draining = 201,
  server_down = 202,      // it said so, or its heartbeats stopped
  items_changed = 300,    // of the configuration
  change_rejected = 301,  // an operator's call, with its faults
  change_committed = 302,
  change_undecided = 303,  // no majority in time
  zone_evacuated = 310,
  zone_restored = 311,
  replica_current = 320,  // this core hears a majority and has all that the majority knows of
  replica_stale = 321,    // it does not
  storage_failed = 322,
  voters_changed = 323,       // or a change is under way
  storage_quarantined = 324,  // corrupted: this core starts as an empty one
};

struct Event {
  EventType type{};
  std::int64_t time = 0;  // microseconds of the process's clock
  std::string text;       // details, mostly as key=value
};

// How often each type occurred since the process started, and its latest event.
struct EventCounts {
  std::map<EventType, std::uint64_t> counts;
  std::map<EventType, Event> latest;

  void add(const Event& event) {
    ++counts[event.type];
    latest[event.type] = event;
  }
};

// Not thread-safe: one thread at a time uses a log.
class EventLog {
 public:
  using Listener = std::function<void(const Event&)>;

  static constexpr std::size_t capacity = 2'000;  // events; the oldest are dropped first

  // The listener, if there is one, is called within append().
  explicit EventLog(Listener listener = {}) : listener_(std::move(listener)) {}

  void append(EventType type, std::int64_t time, std::string text = {}) {
    events_.push_back({type, time, std::move(text)});
    counts_.add(events_.back());
    if (listener_) listener_(events_.back());
    if (events_.size() > capacity) events_.pop_front();
  }

  const std::deque<Event>& events() const { return events_; }
  const EventCounts& counts() const { return counts_; }

 private:
  Listener listener_;
  std::deque<Event> events_;
  EventCounts counts_;
};

}  // namespace robinpin::event_log
