// When a node asks for its list, and what of an answer it takes. Free of I/O and clocks: called with the time
// and with a draw of chance (from 0 to under 1), answers by value. Times in microseconds.
//
// A hundred nodes that start, or that lose discovery, in one moment ask at moments of their own: the first
// call comes within `first_spread` of AskEvery, each call after a failure within half to one and a half of a
// wait that doubles, and never later than `longest` of AskEvery, for what changes in between counts as told
// after that time.
#pragma once

#include <algorithm>
#include <cstdint>

namespace robinpin::asking {

using micros = std::int64_t;

constexpr double first_spread = 0.4, longest = 0.9;  // of AskEvery
constexpr micros never = micros(1) << 60;

class Calls {
 public:
  Calls() = default;
  Calls(micros every, micros now, double chance);

  // Once true, the call counts as made until answered() or failed().
  bool due(micros now);
  void answered();  // the watch goes on
  void failed(micros now, double chance);
  micros next() const { return out_ ? never : next_; }  // when due() is worth asking

 private:
  micros every_ = 0, next_ = 0, wait_ = 0;
  bool out_ = false;
};

// What an answer of discovery says of itself.
struct Heard {
  std::int64_t version = 0;
  bool whole = false;
};

// Of an older version only the bad news holds: a server that drains or is gone. That it serves may be long
// past.
enum class taking { all, bad_news };

class Versions {
 public:
  taking judge(Heard heard);
  // The version to ask after; 0: for the whole list.
  std::int64_t after() const { return doubted_ ? 0 : known_; }
  std::int64_t known() const { return known_; }
  void doubt() {
    doubted_ = known_ > 0;
  }  // the whole list next, whatever is known: a watch has no answer while nothing is newer
  void forget() { *this = Versions(); }  // they may be counted anew elsewhere

 private:
  std::int64_t known_ = 0;
  bool doubted_ = false;  // the last answer was older: a second one means that versions are counted anew
};

// How long to wait before the next call of a watch. Answers that come at once, again and again, would have
// the node ask as fast as it can; a watch lasts as long as the next call comes within 200 ms.
class Pace {
 public:
  micros pause(micros asked, micros answered, double chance);

 private:
  int quick_ = 0;  // answers in a row
};

}  // namespace robinpin::asking
