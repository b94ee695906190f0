// The list of servers as its service knows it: late, sometimes further behind, of fixed capacity, now and
// then broken. Free of I/O and clocks; driven by an Agenda.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "agenda.h"
#include "chance.h"

namespace robinpin::model {

enum class state { ready, draining, gone };

struct Entry {
  std::string uid, zone, kind;
  int cell = 0;
  double size = 1;
  state is = state::ready;
  micros started = 0;  // 0: long ago
};

struct Ways {                        // of the list
  micros notice = 2'000'000;         // until a process that ended or drains shows
  micros silent_notice = 8'000'000;  // until a machine that went silent shows
  micros add = 1'000'000;            // until one that started shows
  double call_lines = 50;            // a call costs as much as so many lines
  double lines_a_second = 0;         // 0: as many as asked for
  micros gives_up = 2'000'000;       // a call that would wait longer fails
};

class List {
 public:
  List(Agenda& agenda, Ways ways) : agenda_(agenda), ways_(ways) {}
  List(const List&) = delete;
  List& operator=(const List&) = delete;

  // What is true from now on; it shows when the list has noticed.
  void knows(const Entry& entry);  // at once: as the day begins
  void changed(const Entry& entry, bool silently = false);
  // All that would show now shows so much later, until it is set back.
  void behind(micros by) { behind_ = by; }
  void broken(bool fails) { broken_ = fails; }

  long long version() const { return version_; }
  std::vector<Entry> whole() const;
  // What changed after that version; each entry once, as it is now. Whole if too long ago or never heard of.
  std::vector<Entry> since(long long version, bool& all) const;

  // A call that will bring so many lines: when it may be answered, or below zero if it fails.
  micros call(std::size_t lines);
  std::function<void()> on_change;

 private:
  void show(const Entry& entry);
  Agenda& agenda_;
  Ways ways_;
  std::map<std::string, Entry> entries_;
  std::deque<std::pair<long long, std::string>> changes_;
  std::map<std::string, Entry> gone_;  // of the changes kept
  long long version_ = 1;
  micros behind_ = 0, busy_until_ = 0;
  bool broken_ = false;
};

}  // namespace robinpin::model
