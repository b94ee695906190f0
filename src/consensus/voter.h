// One voter: what it promised and accepted. It decides at once; its answer may leave only when the change
// that comes with it lasts on disk. Free of I/O and clocks.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "register.h"

namespace robinpin::consensus {

struct Slot {
  Ballot promised, accepted;
  Value value;
  friend bool operator==(const Slot&, const Slot&) = default;
};

// All that a voter must not forget.
struct Memory {
  std::string store;          // identity, drawn when the store was made
  std::uint64_t counter = 0;  // changes since
  Voters voters;
  std::map<std::string, Slot> slots;
  std::map<std::string, std::uint64_t> seen;  // of other voters' stores, the highest counter heard
};

// What an answer rests on. It is written as a whole before the answer leaves.
struct Change {
  std::uint64_t counter = 0;
  std::string name;  // of the slot; empty: none changed
  Slot slot;
  std::optional<Voters> voters;
  std::vector<std::pair<std::string, std::uint64_t>> seen;
};

struct Heard {
  Reply reply;
  std::optional<Change> change;  // none: the answer still has to wait for the changes of those before it
};

class Voter {
 public:
  // `again`: the store was in use before, so that the voter first asks the others whether they saw a later
  // state of it.
  explicit Voter(Memory memory, bool again = false);

  Heard ask(const Ask& a);
  // The first voters of a fleet, version 1, told to each of them: it is the first value of their register.
  // Nothing if the store belongs to a fleet already.
  std::optional<Change> found(const Voters& voters);
  // Voters that were chosen meanwhile. Nothing if that is no news.
  std::optional<Change> told(const Voters& voters);
  // Another voter's counter, as it beats. Nothing if that is no news.
  std::optional<Change> saw(const std::string& store, std::uint64_t counter);
  // What another voter (by its store) saw of this one: 0 if nothing. Only from a majority, this one counted,
  // it votes again.
  void witnessed(const std::string& by, std::uint64_t counter);
  // This life votes from now on: told to others, so that a copy of the store from before it is known as
  // older.
  Change lives() { return next(); }
  void fail() { standing_ = verdict::older; }  // its store took no write: final for this process

  verdict standing() const { return standing_; }  // yes, returning or older
  const Memory& memory() const { return memory_; }
  std::uint64_t seen_of(const std::string& store) const;

 private:
  Change next();
  Memory memory_;
  verdict standing_;
  std::set<std::string> witnesses_;
};

// The store after the change, as it stands on disk.
void apply(Memory& memory, const Change& change);

}  // namespace robinpin::consensus
