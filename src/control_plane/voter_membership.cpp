#include "voter_membership.h"

#include <algorithm>

namespace robinpin::control_plane {

namespace {

using VoterList = std::vector<consensus::Seat>;

VoterList::iterator find_store(VoterList& list, const std::set<std::string>& stores) {
  return std::find_if(list.begin(), list.end(),
                      [&](const consensus::Seat& voter) { return stores.contains(voter.store); });
}

VoterList::iterator find_address(VoterList& list, const std::string& address) {
  return std::find_if(list.begin(), list.end(),
                      [&](const consensus::Seat& voter) { return voter.address == address; });
}

std::optional<VoterList> remove_voter(VoterList list, const std::set<std::string>& lost,
                                      const std::set<std::string>& silent) {
  auto removed = find_store(list, lost);
  if (removed == list.end()) {
    // A silent voter will soon answer, or be lost.
    if (find_store(list, silent) != list.end()) return std::nullopt;
    removed = std::prev(list.end());
  }
  list.erase(removed);
  return list;
}

}  // namespace

std::optional<VoterList> propose_voters(const consensus::Voters& voters, const std::set<std::string>& lost,
                                        const std::set<std::string>& silent,
                                        const std::vector<Standby>& standbys, std::size_t size) {
  if (voters.now.empty() || voters.changing()) return std::nullopt;
  VoterList list = voters.now;
  if (list.size() > size) return remove_voter(std::move(list), lost, silent);

  // The same machine with a new store succeeds itself before any other vote changes hands.
  for (const Standby& standby : standbys) {
    const auto own = find_address(list, standby.seat.address);
    if (own != list.end() && lost.contains(own->store)) {
      *own = standby.seat;
      return list;
    }
  }
  const auto successor = std::find_if(standbys.begin(), standbys.end(), [&](const Standby& standby) {
    return find_address(list, standby.seat.address) == list.end();
  });
  if (successor == standbys.end()) return std::nullopt;
  if (const auto replaced = find_store(list, lost); replaced != list.end()) {
    *replaced = successor->seat;
    return list;
  }
  if (list.size() >= size) return std::nullopt;
  list.push_back(successor->seat);
  return list;
}

}  // namespace robinpin::control_plane
