#include "replicated_state.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <limits>

#include "replicated_state_internal.h"

namespace robinpin::control_plane {

using consensus::Seat;
using consensus::Value;
using consensus::Voters;

namespace {

// Before a machine's disk has one of its own: all founders know each other's.
std::string founder(Machine m) { return "founder-" + text_of(m); }

}  // namespace

ReplicatedState::ReplicatedState(Machine self, configuration::ConfigurationStore& creed,
                                 gossip::Gossip& rumour, storage::KeyValueStore& trove, std::uint64_t chance,
                                 Spans spans)
    : self_(self),
      configuration_(creed),
      gossip_(rumour),
      storage_(trove),
      spans_(spans),
      chance_(chance),
      incarnation_(chance_()),
      proposer_(text_of(self) + "/" + hex(incarnation_)) {}

storage::result<void> ReplicatedState::begin(std::int64_t now, bool first_start,
                                             const std::vector<Machine>& seeds) {
  begun_ = now;
  seeds_ = seeds;
  BOOST_LEAF_AUTO(held, storage_.read_all());
  BOOST_LEAF_AUTO(disk, kept(held));
  consensus::Memory memory;
  bool known = false, changed = true;
  storage::KeyValueStore::WriteBatch batch;
  if (disk.own) {
    for (const auto& i : disk.items) configuration_.take(i);
    configuration_.floor(disk.own->floor);
    committed_ = disk.own->holds;
    memory.voters = disk.own->voters;
    if (disk.own->machine == self_) {
      memory.store = disk.own->store;
      memory.counter = disk.own->counter;
      memory.slots = std::move(disk.slots);
      memory.seen.insert(disk.own->seen.begin(), disk.own->seen.end());
      known = true, changed = false;
      if (const auto it = memory.slots.find(std::string(state_register)); it != memory.slots.end())
        if (const Value& v = it->second.value; v.version == committed_.number && v.by == committed_.by)
          last_ = v;
    } else {  // copied or moved: what it holds was settled, but it is another copy
      memory.store = hex(chance_());
      for (const auto& [name, slot] : disk.slots) batch.removals.push_back(std::string(slot_mark) + name);
    }
  } else if (const bool founds = first_start && std::find(seeds.begin(), seeds.end(), self_) != seeds.end();
             founds) {
    memory.store = founder(self_);
    Voters v;
    v.version = 1;
    for (const Machine m : std::set<Machine>(seeds.begin(), seeds.end()))
      v.now.push_back({text_of(m), founder(m), text_of(m)});
    voter_.emplace(std::move(memory), false);
    if (const auto change = voter_->found(v);
        !change || !put(*change, storage::KeyValueStore::Durability::synced))
      return boost::leaf::new_error(*failed_);
    changed = false;
  } else {
    memory.store = hex(chance_());
  }
  if (!voter_) voter_.emplace(std::move(memory), known);
  highest_known_ = committed_.number;
  if (changed) {
    control_plane::put(batch, own());
    if (!put(std::move(batch), storage::KeyValueStore::Durability::synced))
      return boost::leaf::new_error(*failed_);
  }
  cores_changed(now);
  gossip_.whole(false);
  return {};
}

StoreHeader ReplicatedState::own() const {
  const consensus::Memory& m = voter_->memory();
  StoreHeader own{form, self_, m.store, m.counter, m.voters, {}, committed_, configuration_.floor()};
  for (const auto& [store, counter] : m.seen)
    if (m.voters.seat(store)) own.seen.emplace_back(store, counter);
  return own;
}

bool ReplicatedState::put(storage::KeyValueStore::WriteBatch batch, storage::KeyValueStore::Durability how) {
  if (failed_) return false;
  return boost::leaf::try_handle_all(
      [&]() -> storage::result<bool> {
        BOOST_LEAF_CHECK(storage_.write(batch, how));
        return true;
      },
      [&](const storage::Error& t) { return failed_ = t, false; },
      [&] {
        return failed_ = storage::Error{storage::Error::Step::sync, "trove", "unknown"}, false;
      });
}

bool ReplicatedState::put(const consensus::Change& change, storage::KeyValueStore::Durability how) {
  storage::KeyValueStore::WriteBatch batch;
  control_plane::put(batch, own());
  if (!change.name.empty()) control_plane::put(batch, change.name, change.slot);
  return put(std::move(batch), how);
}

void ReplicatedState::told(std::int64_t now, const Voters& voters) {
  if (const auto change = voter_->told(voters)) {
    put(*change, storage::KeyValueStore::Durability::synced);
    cores_changed(now);
  }
}

void ReplicatedState::cores_changed(std::int64_t now) {
  listed_ = now;
  std::set<Machine> cores;
  for (const Seat& s : voters().all()) {
    cores.insert(machine_of(s.address));
    last_heard_.try_emplace(s.store, now);  // silent from when it has its seat, not from before
  }
  std::erase_if(last_heard_, [&](const auto& heard) { return !voters().seat(heard.first); });
  if (!cores.empty()) gossip_.cores({cores.begin(), cores.end()}, voters().version);
}

// Of an older or copied disk: what it holds was settled once, but it is no copy that others may count on.
void ReplicatedState::become(std::string store) {
  storage::KeyValueStore::WriteBatch batch;
  for (const auto& [name, slot] : voter_->memory().slots)
    batch.removals.push_back(std::string(slot_mark) + name);
  consensus::Memory memory;
  memory.store = std::move(store);
  memory.voters = voters();
  voter_.emplace(std::move(memory), false);
  said_.clear();
  control_plane::put(batch, own());
  put(std::move(batch), storage::KeyValueStore::Durability::synced);
}

std::uint64_t ReplicatedState::accepted() const {
  const auto& slots = voter_->memory().slots;
  const auto it = slots.find(std::string(state_register));
  return it == slots.end() ? 0 : it->second.value.version;
}

consensus::Ballot ReplicatedState::ballot() { return {++round_, proposer_}; }

void ReplicatedState::on_datagram(std::int64_t now, Machine from, std::string_view datagram, Outbox& out) {
  expire(now);
  std::optional<std::string> whole;
  if (!datagram.empty() && kind(datagram[0]) == kind::part) {
    whole = fragments_.on_datagram(from, datagram);
    if (!whole) return;
    datagram = *whole;
  }
  if (datagram.empty() || failed_) return;
  switch (kind(datagram[0])) {
    case kind::ask:
      if (const auto a = read_whole<ConsensusRequest>(datagram)) on_consensus_request(now, from, *a, out);
      break;
    case kind::answer:
      if (auto a = read_whole<ConsensusReply>(datagram)) on_consensus_reply(now, from, std::move(*a), out);
      break;
    case kind::beat:
      if (auto b = read_whole<PeerHeartbeat>(datagram)) on_heartbeat(now, from, std::move(*b), out);
      break;
    case kind::fetch:
      if (const auto f = read_whole<CatchUpRequest>(datagram)) on_catch_up_request(from, *f, out);
      break;
    case kind::fetched:
      if (const auto f = read_whole<CatchUpResponse>(datagram)) on_catch_up_response(now, from, *f, out);
      break;
    default:
      return;
  }
  work(now, out);
}

void ReplicatedState::tick(std::int64_t now, Outbox& out) {
  expire(now);
  if (failed_) return;
  // Of one that has no seat any more nobody counts it: others settle without it, and it would ask for ever.
  doubtful_since_ =
      votes() && accepted() > committed_.number ? (doubtful_since_ > 0 ? doubtful_since_ : now) : 0;
  // While the list changes whoever takes the seat has it already and stands by no more; and just after, who
  // stands by has not yet said that it knows the list. The one that leaves counts until then.
  can_hand_over_ = voters().changing() || now - listed_ <= beat_pause || !standbys(now).empty();
  if (now >= next_beat_) {
    // Somebody unheard is looked into at once: the sooner a seat is given away the sooner a further loss is
    // borne.
    bool amiss = !fresh(now) || highest_known_ > committed_.number || voters().changing();
    for (const Seat& s : voters().now) {
      const auto it = last_heard_.find(s.store);
      amiss = amiss || (s.store != store() &&
                        now - (it == last_heard_.end() ? begun_ : it->second) > 3 * beat_pause / 2);
    }
    next_beat_ = now + (amiss ? beat_pause / 5 : beat_pause);
    beat(now, out, false);
  }
  if (catch_up_ && now >= catch_up_->next) continue_catch_up(now, out);
  for (auto* attempt : {&attempt_, &seats_}) {
    if (!*attempt || now < (*attempt)->next) continue;
    if ((*attempt)->refused) {
      // A higher ballot or a later list is needed anyway: those who say nothing may be down, and aren't
      // waited for.
      (*attempt)->refused = false;
      const auto ballot = (*attempt)->ballot;
      const auto silent = (*attempt)->unanswered;
      for (const auto& [store, asked] : silent)
        if (*attempt && (*attempt)->answers(ballot))
          take_step(now, *attempt, (*attempt)->proposal.lost(store, (*attempt)->proposal.stage()), out);
      continue;
    }
    (*attempt)->pause = std::min(4 * again, 2 * (*attempt)->pause);
    (*attempt)->next = now + (*attempt)->pause;
    for (const auto& [to, asked] : (*attempt)->unanswered)
      FragmentAssembler::send(asked.first, asked.second, out);
  }
  maintain_voters(now, out);
  work(now, out);
}

std::int64_t ReplicatedState::wake() const {
  std::int64_t at = std::numeric_limits<std::int64_t>::max();
  if (attempt_)
    at = std::min(at, attempt_->next);
  else if (!requests_.empty() && highest_known_ <= committed_.number)
    at = std::min(at, not_before_);
  if (seats_)
    at = std::min(at, seats_->next);
  else if (succession_)
    at = std::min(at, next_seats_);
  if (!requests_.empty()) at = std::min(at, requests_.front().until);
  if (catch_up_) at = std::min(at, catch_up_->next);
  return at;
}

}  // namespace robinpin::control_plane
