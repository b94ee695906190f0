// One call on one register, from its first ask to its end: read, write on a version, or settle what is half
// written. It is told what was answered and says what to ask next; it waits for nothing and resends nothing
// by itself.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "register.h"

namespace robinpin::consensus {

// settle: what is accepted anywhere is finished or buried. names: the names of all registers, from a majority
// that has taken up the voters told.
enum class wish { read, write, settle, names };

struct Want {
  wish what = wish::read;
  std::string name;
  std::uint64_t expected = 0;  // write: the version that it read
  std::string text, by;        // write: the new value, and which write it is
};

// chosen: it stands (a read: it is what stood during the call). refused: another version stands, which is
// told. outbid and unreachable: it was not done. unknown: it may stand or not, or come to stand later; the
// same write tried again (by the same `by`) finds out. overtaken: it was tried before, and two or more
// versions have come since: nobody can tell any more.
enum class fate { chosen, refused, outbid, unreachable, unknown, overtaken, full };
const char* word(fate f);

struct Outcome {
  fate how = fate::unreachable;
  Value value;                  // chosen, refused: what stands
  std::uint64_t round = 0;      // the highest met: the next try goes above it
  std::optional<Voters> newer;  // voters later than those that were asked
  std::vector<std::string> names;
  std::vector<std::pair<std::string, std::uint64_t>> seen;  // counters of those who answered
};

struct Sending {
  Seat to;
  Ask ask;
};

struct Step {
  std::vector<Sending> send;
  std::optional<Outcome> end;
};

class Proposal {
 public:
  // `again`: the same write may have been sent before.
  Proposal(Voters voters, Ballot ballot, Want want, bool again = false);
  Step begin();
  Step heard(const Reply& reply);
  Step lost(const std::string& store, phase what);  // no answer: it may have acted on it or not
  bool over() const { return over_; }
  phase stage() const { return stage_; }
  std::string state() const;  // all of it, for exploration

 private:
  Step ask_all(phase what);
  Step look_on();
  Step decide();
  Step end(fate how);
  bool hopeless() const;

  Voters voters_;
  Ballot ballot_;
  Want want_;
  bool again_, over_ = false, ours_ = false, refused_ = false;
  phase stage_ = phase::look;
  std::set<std::string> yes_, no_, full_;
  Ballot highest_;  // accepted, of those who answered in this stage
  Value value_;     // at it; from the decision on the one to be accepted
  std::map<std::string, Ballot> accepted_;
  Outcome out_;
};

// The change of voters, one set to the next, safe wherever it is cut off: first both sets have to agree, then
// every register is settled under both, then the earlier set is let go. Gives one job after the other;
// whoever finds a change under way can go on with it.
class Succession {
 public:
  struct Job {
    Voters under;
    Want want;
  };
  Succession(Voters known, std::vector<Seat> wanted);
  std::optional<Job> next() const;  // none: done, or given up
  void ended(const Outcome& outcome);
  bool done() const { return stage_ == stage::done; }
  const Voters& voters() const { return known_; }

 private:
  enum class stage { join, names, settle, leave, done, failed };
  stage stage_;
  Voters known_;
  std::vector<Seat> wanted_;
  std::vector<std::string> names_;
};

// Before the n-th try after one that was outbid: from nothing to a span that doubles, drawn by `part` (0 to
// 1), so that two who outbid each other fall apart. Microseconds.
std::int64_t wait_before(int tries, double part);

}  // namespace robinpin::consensus
