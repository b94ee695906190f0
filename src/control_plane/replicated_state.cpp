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

// The store identity of a founder: known to all founders before any of them has started.
std::string founder(Machine m) { return "founder-" + format_address(m); }

}  // namespace

ReplicatedState::ReplicatedState(Machine self, configuration::ConfigurationStore& configuration,
                                 gossip::Gossip& gossip, storage::KeyValueStore& storage,
                                 std::uint64_t random_seed, Timeouts timeouts)
    : self_(self),
      configuration_(configuration),
      gossip_(gossip),
      storage_(storage),
      timeouts_(timeouts),
      random_(random_seed),
      incarnation_(random_()),
      proposer_(format_address(self) + "/" + hex(incarnation_)) {}

storage::result<void> ReplicatedState::start(std::int64_t now, bool first_start,
                                             const std::vector<Machine>& seeds) {
  started_at_ = now;
  seeds_ = seeds;
  BOOST_LEAF_AUTO(entries, storage_.read_all());
  BOOST_LEAF_AUTO(contents, parse_store(entries));
  const bool is_founder = first_start && std::find(seeds.begin(), seeds.end(), self_) != seeds.end();
  bool written = false;
  if (contents.own)
    written = restore(std::move(contents));
  else if (is_founder)
    written = found_system(seeds);
  else
    written = create_store({}, {});
  if (!written) return boost::leaf::new_error(*storage_failure_);
  highest_known_ = committed_.number;
  on_voters_changed(now);
  gossip_.whole(false);
  return {};
}

bool ReplicatedState::restore(StoreContents contents) {
  for (const auto& item : contents.items) configuration_.take(item);
  configuration_.floor(contents.own->floor);
  committed_ = contents.own->committed;
  if (contents.own->machine == self_) {
    consensus::Memory memory;
    memory.voters = contents.own->voters;
    memory.store = contents.own->store;
    memory.counter = contents.own->counter;
    memory.slots = std::move(contents.slots);
    memory.seen.insert(contents.own->seen.begin(), contents.own->seen.end());
    if (const auto it = memory.slots.find(std::string(state_register)); it != memory.slots.end()) {
      const Value& value = it->second.value;
      if (value.version == committed_.number && value.by == committed_.by) last_committed_ = value;
    }
    voter_.emplace(std::move(memory), true);
    return true;
  }
  // A store that was copied or moved: its state was committed, but its promises are another voter's.
  storage::KeyValueStore::WriteBatch batch;
  for (const auto& [name, slot] : contents.slots) batch.removals.push_back(std::string(slot_prefix) + name);
  return create_store(contents.own->voters, std::move(batch));
}

bool ReplicatedState::found_system(const std::vector<Machine>& founders) {
  consensus::Memory memory;
  memory.store = founder(self_);
  Voters first;
  first.version = 1;
  for (const Machine machine : std::set<Machine>(founders.begin(), founders.end()))
    first.now.push_back({format_address(machine), founder(machine), format_address(machine)});
  voter_.emplace(std::move(memory), false);
  const auto change = voter_->found(first);
  return change && persist(*change, storage::KeyValueStore::Durability::synced);
}

bool ReplicatedState::create_store(const Voters& known_voters, storage::KeyValueStore::WriteBatch batch) {
  consensus::Memory memory;
  memory.store = hex(random_());
  memory.voters = known_voters;
  voter_.emplace(std::move(memory), false);
  control_plane::put(batch, make_store_header());
  return persist(std::move(batch), storage::KeyValueStore::Durability::synced);
}

StoreHeader ReplicatedState::make_store_header() const {
  const consensus::Memory& m = voter_->memory();
  StoreHeader own{format_version, self_, m.store,    m.counter,
                  m.voters,       {},    committed_, configuration_.floor()};
  for (const auto& [store, counter] : m.seen)
    if (m.voters.seat(store)) own.seen.emplace_back(store, counter);
  return own;
}

bool ReplicatedState::persist(storage::KeyValueStore::WriteBatch batch,
                              storage::KeyValueStore::Durability how) {
  if (storage_failure_) return false;
  return boost::leaf::try_handle_all(
      [&]() -> storage::result<bool> {
        if (auto written = storage_.write(batch, how); !written) return written.error();
        return true;
      },
      [&](const storage::Error& error) {
        storage_failure_ = error;
        return false;
      },
      [&] {
        storage_failure_ = storage::Error{storage::Error::Step::sync, "trove", "unknown"};
        return false;
      });
}

bool ReplicatedState::persist(const consensus::Change& change, storage::KeyValueStore::Durability how) {
  storage::KeyValueStore::WriteBatch batch;
  control_plane::put(batch, make_store_header());
  if (!change.name.empty()) control_plane::put(batch, change.name, change.slot);
  return persist(std::move(batch), how);
}

void ReplicatedState::adopt_voters(std::int64_t now, const Voters& voters) {
  if (const auto change = voter_->told(voters)) {
    persist(*change, storage::KeyValueStore::Durability::synced);
    on_voters_changed(now);
  }
}

void ReplicatedState::on_voters_changed(std::int64_t now) {
  voters_learnt_at_ = now;
  std::set<Machine> cores;
  for (const Seat& s : voters().all()) {
    cores.insert(parse_address(s.address));
    last_heard_.try_emplace(s.store, now);  // silent from when it has its seat, not from before
  }
  std::erase_if(last_heard_, [&](const auto& heard) { return !voters().seat(heard.first); });
  if (!cores.empty()) gossip_.cores({cores.begin(), cores.end()}, voters().version);
}

// For a store that turned out to be older than the one that the other voters know: its state was committed,
// but its promises may be incomplete.
void ReplicatedState::start_new_identity(std::string store) {
  storage::KeyValueStore::WriteBatch batch;
  for (const auto& [name, slot] : voter_->memory().slots)
    batch.removals.push_back(std::string(slot_prefix) + name);
  consensus::Memory memory;
  memory.store = std::move(store);
  memory.voters = voters();
  voter_.emplace(std::move(memory), false);
  recent_replies_.clear();
  control_plane::put(batch, make_store_header());
  persist(std::move(batch), storage::KeyValueStore::Durability::synced);
}

std::uint64_t ReplicatedState::accepted_number() const {
  const auto& slots = voter_->memory().slots;
  const auto it = slots.find(std::string(state_register));
  return it == slots.end() ? 0 : it->second.value.version;
}

consensus::Ballot ReplicatedState::next_ballot() { return {++round_, proposer_}; }

void ReplicatedState::on_datagram(std::int64_t now, Machine from, std::string_view datagram, Outbox& out) {
  expire_requests(now);
  std::optional<std::string> whole;
  if (!datagram.empty() && MessageType(datagram[0]) == MessageType::fragment) {
    whole = fragments_.on_datagram(from, datagram);
    if (!whole) return;
    datagram = *whole;
  }
  if (datagram.empty() || storage_failure_) return;
  switch (MessageType(datagram[0])) {
    case MessageType::consensus_request:
      if (const auto a = decode<ConsensusRequest>(datagram)) on_consensus_request(now, from, *a, out);
      break;
    case MessageType::consensus_reply:
      if (auto a = decode<ConsensusReply>(datagram)) on_consensus_reply(now, from, std::move(*a), out);
      break;
    case MessageType::heartbeat:
      if (auto b = decode<PeerHeartbeat>(datagram)) on_heartbeat(now, from, std::move(*b), out);
      break;
    case MessageType::catch_up_request:
      if (const auto f = decode<CatchUpRequest>(datagram)) on_catch_up_request(from, *f, out);
      break;
    case MessageType::catch_up_response:
      if (const auto f = decode<CatchUpResponse>(datagram)) on_catch_up_response(now, from, *f, out);
      break;
    case MessageType::retirement_request:
      if (const auto r = decode<RetirementRequest>(datagram)) on_retirement_request(now, from, *r, out);
      break;
    default:
      return;
  }
  process_requests(now, out);
}

void ReplicatedState::tick(std::int64_t now, Outbox& out) {
  expire_requests(now);
  if (storage_failure_) return;
  // Only a voter's accepted value counts: for another one it might never be decided.
  undecided_since_ = is_voter() && accepted_number() > committed_.number
                         ? (undecided_since_ > 0 ? undecided_since_ : now)
                         : 0;
  // While the list changes, the successor is a voter already and no standby any more; just after a change,
  // the standbys have not yet reported the new list. This machine keeps its vote until they have.
  can_hand_over_ =
      voters().changing() || now - voters_learnt_at_ <= heartbeat_period || !standbys(now).empty();
  if (now >= next_heartbeat_) {
    // A voter that falls silent is checked more often: the sooner it is replaced, the sooner a further loss
    // is tolerated.
    bool amiss = !is_current(now) || highest_known_ > committed_.number || voters().changing();
    for (const Seat& s : voters().now) {
      const auto it = last_heard_.find(s.store);
      amiss = amiss || (s.store != store() && now - (it == last_heard_.end() ? started_at_ : it->second) >
                                                  3 * heartbeat_period / 2);
    }
    next_heartbeat_ = now + (amiss ? heartbeat_period / 5 : heartbeat_period);
    send_heartbeats(now, out, false);
  }
  if (catch_up_ && now >= catch_up_->next_request) continue_catch_up(now, out);
  for (auto* attempt : {&attempt_, &voter_change_}) {
    if (!*attempt || now < (*attempt)->next_resend) continue;
    if ((*attempt)->rejected) {
      // This attempt can't succeed any more: voters that have not replied may be down, and are not waited
      // for.
      (*attempt)->rejected = false;
      const auto ballot = (*attempt)->ballot;
      const auto silent = (*attempt)->unanswered;
      for (const auto& [store, asked] : silent)
        if (*attempt && (*attempt)->matches(ballot))
          perform_step(now, *attempt, (*attempt)->proposal.lost(store, (*attempt)->proposal.stage()), out);
      continue;
    }
    (*attempt)->resend_delay = std::min(4 * resend_interval, 2 * (*attempt)->resend_delay);
    (*attempt)->next_resend = now + (*attempt)->resend_delay;
    for (const auto& [to, asked] : (*attempt)->unanswered)
      FragmentAssembler::send(asked.to, asked.message, out);
  }
  maintain_voters(now, out);
  forget_retired_instances(now, out);
  process_requests(now, out);
}

std::int64_t ReplicatedState::next_deadline() const {
  std::int64_t at = std::numeric_limits<std::int64_t>::max();
  if (attempt_)
    at = std::min(at, attempt_->next_resend);
  else if (!requests_.empty() && highest_known_ <= committed_.number)
    at = std::min(at, next_proposal_);
  if (voter_change_)
    at = std::min(at, voter_change_->next_resend);
  else if (succession_)
    at = std::min(at, next_voter_maintenance_);
  if (!requests_.empty()) at = std::min(at, requests_.front().deadline);
  if (catch_up_) at = std::min(at, catch_up_->next_request);
  return at;
}

}  // namespace robinpin::control_plane
