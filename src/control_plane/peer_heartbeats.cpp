// Heartbeats among core machines: which peers there are, what they hold, and whether this copy is current.
#include <algorithm>

#include "replicated_state.h"
#include "replicated_state_internal.h"

namespace robinpin::control_plane {

using consensus::Seat;
using consensus::verdict;

namespace {

constexpr std::size_t max_sent_heartbeats = 8;

}  // namespace

PeerHeartbeat ReplicatedState::make_heartbeat(std::int64_t now, Machine to) {
  PeerHeartbeat b;
  b.incarnation = incarnation_;
  b.sequence = ++heartbeats_sent_;
  b.store = store();
  b.counter = voter_->memory().counter;
  if (const auto it = peers_.find(to); it != peers_.end())
    b.peer_store = it->second.heartbeat.store, b.peer_counter = voter_->seen_of(b.peer_store);
  b.committed = committed_;
  b.accepted = is_voter() ? accepted_number() : 0;
  b.voters = voters();
  b.votes = voter_->standing() == verdict::yes;
  b.ready = is_ready();
  b.leaving = leaving_;
  for (const Seat& s : voters().now) {
    const auto it = last_heard_.find(s.store);
    const std::int64_t since = it == last_heard_.end() ? started_at_ : it->second;
    if (s.store != store())
      b.ages.emplace_back(s.store, std::uint32_t(std::min<std::int64_t>(
                                       std::max<std::int64_t>(0, now - since) / 1000, 1'000'000)));
  }
  return b;
}

std::set<Machine> ReplicatedState::heartbeat_targets(std::int64_t now) const {
  std::set<Machine> all;
  for (const Seat& s : voters().all()) all.insert(parse_address(s.address));
  for (const auto& [m, p] : peers_)
    if (now - p.last_heard < peer_expiry) all.insert(m);
  if (!is_current(now)) all.insert(seeds_.begin(), seeds_.end());
  all.erase(self_);
  return all;
}

void ReplicatedState::send_heartbeats(std::int64_t now, Outbox& out, bool news) {
  std::uint64_t echo = 0;
  if (!news) {
    echo = (random_() | 1U);
    sent_heartbeats_.emplace_back(echo, now);
    if (sent_heartbeats_.size() > max_sent_heartbeats) sent_heartbeats_.pop_front();
  }
  for (const Machine m : heartbeat_targets(now)) {
    PeerHeartbeat b = make_heartbeat(now, m);
    b.echo = echo;
    b.answer = news;
    out.push_back({m, encode(MessageType::heartbeat, b)});
  }
}

void ReplicatedState::on_heartbeat(std::int64_t now, Machine from, PeerHeartbeat b, Outbox& out) {
  if (b.store == store()) return;  // a copy of this store at another address: it finds out by itself
  if (!peers_.contains(from) && peers_.size() >= max_peers) {
    const auto oldest = std::min_element(peers_.begin(), peers_.end(), [](const auto& x, const auto& y) {
      return x.second.last_heard < y.second.last_heard;
    });
    if (now - oldest->second.last_heard < peer_expiry) return;
    peers_.erase(oldest);
  }
  Peer& p = peers_[from];
  // A late or duplicated heartbeat is ignored: it would undo that a machine leaves, or has a new store. Which
  // of two incarnations is the present one shows in a reply to a recent heartbeat: a late one may be the
  // first that arrives of either.
  const auto sent = std::find_if(sent_heartbeats_.begin(), sent_heartbeats_.end(),
                                 [&](const auto& x) { return b.answer && b.echo != 0 && x.first == b.echo; });
  if (const auto known =
          std::find(p.earlier_incarnations.begin(), p.earlier_incarnations.end(), b.incarnation);
      b.incarnation == p.heartbeat.incarnation) {
    if (b.sequence <= p.heartbeat.sequence) return;
  } else if (known != p.earlier_incarnations.end()) {
    if (sent == sent_heartbeats_.end()) return;
    p.earlier_incarnations.erase(known);
  }
  if (b.incarnation != p.heartbeat.incarnation && p.heartbeat.incarnation != 0)
    p.earlier_incarnations.push_back(p.heartbeat.incarnation);
  if (p.earlier_incarnations.size() > max_earlier_incarnations) p.earlier_incarnations.pop_front();
  if (p.heartbeat.store != b.store) {
    // Another store, or the first heartbeat.
    p.last_contact = -1;
    p.highest_number = 0;
  }
  p.last_heard = now;
  if (const Seat* s = voters().seat(b.store); s && parse_address(s->address) == from)
    last_heard_[b.store] = now;
  if (b.voters.version > voters().version) adopt_voters(now, b.voters);
  if (b.peer_store == store()) {
    const bool returned = voter_->standing() == verdict::returning;
    voter_->witnessed(b.store, b.peer_counter);
    if (voter_->standing() == verdict::older && !storage_failure_)
      start_new_identity(hex(random_()));
    else if (returned && voter_->standing() == verdict::yes)
      persist(voter_->lives(), storage::KeyValueStore::Durability::synced);
  }
  observe_counter(b.store, b.counter);
  if (b.answer) {
    if (sent != sent_heartbeats_.end() && sent->second >= p.last_contact)
      p.last_contact = sent->second, p.highest_number = std::max(b.committed.number, b.accepted),
      p.votes = b.votes;
  } else {
    PeerHeartbeat reply = make_heartbeat(now, from);
    reply.peer_store = b.store;
    reply.peer_counter = voter_->seen_of(b.store);
    reply.echo = b.echo;
    reply.answer = true;
    out.push_back({from, encode(MessageType::heartbeat, reply)});
  }
  const CommittedPosition theirs = b.committed;
  p.heartbeat = std::move(b);
  learn_committed(now, theirs, out);
}

bool ReplicatedState::is_current(std::int64_t now) const {
  if (storage_failure_ || voters().version == 0) return false;
  std::set<std::string> agree;
  if (is_voter()) {
    if (accepted_number() > committed_.number) return false;
    agree.insert(store());
  }
  for (const auto& [m, p] : peers_) {
    if (p.last_contact < 0 || now - p.last_contact > contact_lifetime || !p.votes) continue;
    const Seat* s = voters().seat(p.heartbeat.store);
    if (!s || parse_address(s->address) != m) continue;
    if (p.highest_number > committed_.number) return false;
    agree.insert(p.heartbeat.store);
  }
  return voters().majority(agree);
}

}  // namespace robinpin::control_plane
