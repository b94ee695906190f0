// Decides which voter is replaced by which standby, from what this machine has heard. Free of I/O and clocks.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "../consensus/register.h"

namespace robinpin::control_plane {

// A control-plane machine that holds the state and does not vote.
struct Standby {
  consensus::Seat seat;
};

// The list of voters that should follow `voters`, which differs from it by one voter; nothing where no change
// is needed, or none is possible. `lost`: stores of voters that will not answer again soon; `silent`: stores
// of voters that have not answered lately; `size`: the number of voters wanted.
//
// A voter is removed without a successor only where there are more than `size`, and then no voter that
// answers while another one that would stay is silent: fewer voters tolerate fewer losses. No machine votes
// twice: its loss would be that of two voters.
std::optional<std::vector<consensus::Seat>> propose_voters(const consensus::Voters& voters,
                                                           const std::set<std::string>& lost,
                                                           const std::set<std::string>& silent,
                                                           const std::vector<Standby>& standbys,
                                                           std::size_t size);

}  // namespace robinpin::control_plane
