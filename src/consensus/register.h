// What processes agree on: named registers, each with its version, and the voters who settle them. Plain
// types only.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace robinpin::consensus {

inline constexpr std::size_t longest_value =
    6'000'000;  // bytes; who takes values from outside bounds them further
inline constexpr std::size_t longest_name = 128, most_registers = 4096, most_voters = 7;
inline constexpr std::string_view voters_register = "voters";  // the voters themselves

// Names one try at a write. `proposer` is a process's own, "name/incarnation": no ballot comes twice, also
// after a restart.
struct Ballot {
  std::uint64_t round = 0;  // 0: none
  std::string proposer;
  friend auto operator<=>(const Ballot&, const Ballot&) = default;
};

struct Value {
  std::uint64_t version = 0;  // 0: never written
  std::string text, by;       // by: which write it is; a write tried again bears the same
  friend bool operator==(const Value&, const Value&) = default;
};

// A voter by the identity of its store: one that lost its disk is another, whatever its name.
struct Seat {
  std::string voter, store, address;
  friend bool operator==(const Seat&, const Seat&) = default;
};

// Who votes. While a change is under way both sets have to agree, so that no order of crashes leaves two
// majorities that do not meet.
struct Voters {
  std::uint64_t version = 0;  // of the register that holds them; 0: none known
  std::vector<Seat> now, next;
  friend bool operator==(const Voters&, const Voters&) = default;

  bool changing() const { return !next.empty(); }
  std::vector<Seat> all() const;  // each store once
  const Seat* seat(std::string_view store) const;
  // `stores`: each voter counts once, however often it answered.
  bool majority(const std::set<std::string>& stores) const;
  std::string text() const;
  static std::optional<Voters> read(std::uint64_t version, std::string_view text);
};

// look: what was accepted, nothing promised. names: all registers' names; with it a voter takes up the voters
// told.
enum class phase { look, prepare, accept, names };

struct Ask {
  phase what = phase::look;
  std::string store;  // of the voter meant
  std::string name;   // of the register
  Ballot ballot;
  Value value;    // to accept
  Voters voters;  // as the asker knows them
  std::vector<std::pair<std::string, std::uint64_t>>
      seen;  // of other voters' stores, the counters lately heard
};

// returning: it came up again and has not yet heard that no later state of its store was seen; older: one was
// seen, or its store failed. It votes no more.
enum class verdict { yes, lower, stale, not_me, full, returning, older };

struct Reply {
  verdict how = verdict::not_me;
  phase what = phase::look;
  std::string store;
  Ballot ballot;  // as asked: an answer to an earlier try says nothing of the next
  Ballot promised, accepted;
  Value value;                // accepted
  Voters voters;              // where how is stale: the newer ones
  std::uint64_t counter = 0;  // of what its store was told since it was made
  std::vector<std::string> names;
};

}  // namespace robinpin::consensus
