// Who should vote: which voter gives its seat to which standby, told what this core has heard. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "../consensus/register.h"

namespace robinpin::locus {

struct Standby {  // a core machine that holds the state and has no seat
  consensus::Seat seat;
};

// `gone`: stores of voters that will not answer again, or not soon; `size`: voters wanted. Nothing where all is well, or
// where nobody can take a seat: a voter is never let go without a successor, but where there are more than wanted. One seat
// changes at a time.
inline std::optional<std::vector<consensus::Seat>> next_seats(const consensus::Voters& voters, const std::set<std::string>& gone,
                                                              const std::vector<Standby>& standbys, std::size_t size) {
  if (voters.now.empty() || voters.changing()) return std::nullopt;
  std::vector<consensus::Seat> seats = voters.now;
  if (seats.size() > size) {
    std::size_t out = seats.size() - 1;
    for (std::size_t i = 0; i < seats.size(); ++i)
      if (gone.contains(seats[i].store)) out = i;
    seats.erase(seats.begin() + std::ptrdiff_t(out));
    return seats;
  }
  if (standbys.empty()) return std::nullopt;
  for (auto& seat : seats) {
    if (!gone.contains(seat.store)) continue;
    const Standby* taker = &standbys.front();
    for (const Standby& s : standbys)
      if (s.seat.address == seat.address) taker = &s;  // the same machine with another disk
    seat = taker->seat;
    return seats;
  }
  if (seats.size() < size) {
    seats.push_back(standbys.front().seat);
    return seats;
  }
  return std::nullopt;
}

}  // namespace robinpin::locus
