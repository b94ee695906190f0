// Who should vote: which voter gives its seat to which standby, told what this core has heard. Free of I/O
// and clocks.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "../consensus/register.h"

namespace robinpin::control_plane {

struct Standby {  // a core machine that holds the state and has no seat
  consensus::Seat seat;
};

// `gone`: stores of voters that will not answer again, or not soon; `quiet`: those that have not answered
// just now; `size`: voters wanted. Nothing where all is well, or where nobody can take a seat: a voter is
// never let go without a successor, but where there are more than wanted; and then nobody who answers while
// another that stays does not, as fewer voters bear fewer losses. One seat changes at a time, and no machine
// gets a second one: two that go with it would be a majority's loss by one machine.
inline std::optional<std::vector<consensus::Seat>> next_seats(const consensus::Voters& voters,
                                                              const std::set<std::string>& gone,
                                                              const std::set<std::string>& quiet,
                                                              const std::vector<Standby>& standbys,
                                                              std::size_t size) {
  if (voters.now.empty() || voters.changing()) return std::nullopt;
  std::vector<consensus::Seat> seats = voters.now;
  if (seats.size() > size) {
    const auto of = [&](const std::set<std::string>& stores) {
      return std::find_if(seats.begin(), seats.end(),
                          [&](const consensus::Seat& s) { return stores.contains(s.store); });
    };
    auto out = of(gone);
    if (out == seats.end()) {
      if (of(quiet) != seats.end()) return std::nullopt;  // it answers soon, or is gone soon
      out = std::prev(seats.end());
    }
    seats.erase(out);
    return seats;
  }
  const auto seat_at = [&](const std::string& address) {
    return std::find_if(seats.begin(), seats.end(),
                        [&](const consensus::Seat& s) { return s.address == address; });
  };
  // The same machine with another disk takes its own seat before any other changes hands.
  for (const Standby& s : standbys)
    if (const auto seat = seat_at(s.seat.address); seat != seats.end() && gone.contains(seat->store))
      return *seat = s.seat, seats;
  const auto taker = std::find_if(standbys.begin(), standbys.end(),
                                  [&](const Standby& s) { return seat_at(s.seat.address) == seats.end(); });
  if (taker == standbys.end()) return std::nullopt;
  const auto lost = std::find_if(seats.begin(), seats.end(),
                                 [&](const consensus::Seat& s) { return gone.contains(s.store); });
  if (lost != seats.end()) return *lost = taker->seat, seats;
  if (seats.size() >= size) return std::nullopt;
  seats.push_back(taker->seat);
  return seats;
}

}  // namespace robinpin::control_plane
