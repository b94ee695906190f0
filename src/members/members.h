// Who belongs to a fleet and who is heard: what nodes tell of themselves when they beat, and how sure it is
// that a silent one is gone. Soft state: it is told the time, agrees on nothing, and is lost with its
// process.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace robinpin::members {

using micros = std::int64_t;

inline constexpr std::size_t most_members = 4096, most_former = 8;
inline constexpr micros forgotten_after = 600'000'000;  // of silence

struct About {  // what a node says of itself
  std::string name, incarnation, hall, version, config, address, store;
  int tier = 0;
  std::uint64_t counter = 0;  // of its store, where it votes
  micros every = 1'000'000;   // it beats so often
};

// How far a node's beats lie apart, as sums that decay.
class Beats {
 public:
  void came(micros gap);
  // How sure it is that a node that has been silent for so long is gone: -log10 of the chance that the next
  // beat is still to come, by the spread of its own beats. `every`: what it says, for as long as few were
  // seen.
  double suspicion(micros silent, micros every) const;

 private:
  double n_ = 0, sum_ = 0, squares_ = 0;
};

enum class standing { heard, doubtful, silent };
const char* word(standing s);

struct Seen {  // as a reader gets it
  About about;
  standing is = standing::heard;
  double suspicion = 0;
  micros since = 0, last = 0;  // ago: this incarnation was first heard, and last
  int starts = 1;              // incarnations seen
  bool twice = false;          // two processes beat under this name
};

class Table {
 public:
  enum class taken { known, fresh, restarted, twice, full };
  taken beat(const About& about, micros now);
  std::vector<Seen> all(micros now);  // by name; who has been silent for too long is forgotten here
  std::size_t size() const { return rows_.size(); }
  static standing standing_of(double suspicion);

 private:
  struct Row {
    About about;
    micros since = 0, last = 0, twice_at = -forgotten_after;
    Beats beats;
    int starts = 1;
    std::vector<std::string> former;  // incarnations
  };
  std::map<std::string, Row> rows_;
};

}  // namespace robinpin::members
