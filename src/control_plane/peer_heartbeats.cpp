// Heartbeats among core machines: which peers there are, what they hold, and whether this copy is current.
#include <algorithm>

#include "replicated_state.h"
#include "replicated_state_internal.h"

namespace robinpin::control_plane {

using consensus::Seat;
using consensus::verdict;

namespace {

constexpr std::size_t most_beats = 8;

}  // namespace

PeerHeartbeat ReplicatedState::own_beat(std::int64_t now, Machine to) {
  PeerHeartbeat b;
  b.incarnation = incarnation_, b.sequence = ++said_beats_;
  b.store = store();
  b.counter = voter_->memory().counter;
  if (const auto it = peers_.find(to); it != peers_.end())
    b.yours = it->second.told.store, b.seen = voter_->seen_of(b.yours);
  b.holds = committed_;
  b.accepted = votes() ? accepted() : 0;
  b.voters = voters();
  b.votes = voter_->standing() == verdict::yes;
  b.ready = ready();
  b.leaving = leaving_;
  for (const Seat& s : voters().now) {
    const auto it = last_heard_.find(s.store);
    const std::int64_t since = it == last_heard_.end() ? begun_ : it->second;
    if (s.store != store())
      b.ages.emplace_back(s.store, std::uint32_t(std::min<std::int64_t>(
                                       std::max<std::int64_t>(0, now - since) / 1000, 1'000'000)));
  }
  return b;
}

std::set<Machine> ReplicatedState::others(std::int64_t now) const {
  std::set<Machine> all;
  for (const Seat& s : voters().all()) all.insert(machine_of(s.address));
  for (const auto& [m, p] : peers_)
    if (now - p.heard < forgotten) all.insert(m);
  if (!fresh(now)) all.insert(seeds_.begin(), seeds_.end());
  all.erase(self_);
  return all;
}

void ReplicatedState::beat(std::int64_t now, Outbox& out, bool news) {
  std::uint64_t echo = 0;
  if (!news) {
    echo = (chance_() | 1U);
    beats_.emplace_back(echo, now);
    if (beats_.size() > most_beats) beats_.pop_front();
  }
  for (const Machine m : others(now)) {
    PeerHeartbeat b = own_beat(now, m);
    b.echo = echo;
    b.answer = news;
    out.push_back({m, written(kind::beat, b)});
  }
}

void ReplicatedState::on_heartbeat(std::int64_t now, Machine from, PeerHeartbeat b, Outbox& out) {
  if (b.store == store()) return;  // a copy of this disk at another address: it finds out by itself
  if (!peers_.contains(from) && peers_.size() >= most_peers) {
    const auto oldest = std::min_element(peers_.begin(), peers_.end(), [](const auto& x, const auto& y) {
      return x.second.heard < y.second.heard;
    });
    if (now - oldest->second.heard < forgotten) return;
    peers_.erase(oldest);
  }
  Peer& p = peers_[from];
  // Late or doubled: it would make a machine that has said that it leaves, or has a new disk, look as it was.
  // Which of two lives is the present one is told by who answers what was asked just now: a late word may be
  // the first that is heard of either.
  const auto sent = std::find_if(beats_.begin(), beats_.end(),
                                 [&](const auto& x) { return b.answer && b.echo != 0 && x.first == b.echo; });
  if (const auto known = std::find(p.lives.begin(), p.lives.end(), b.incarnation);
      b.incarnation == p.told.incarnation) {
    if (b.sequence <= p.told.sequence) return;
  } else if (known != p.lives.end()) {
    if (sent == beats_.end()) return;
    p.lives.erase(known);
  }
  if (b.incarnation != p.told.incarnation && p.told.incarnation != 0) p.lives.push_back(p.told.incarnation);
  if (p.lives.size() > most_incarnations) p.lives.pop_front();
  if (p.told.store != b.store) p.contact = -1, p.number = 0;  // another disk, or its first word
  p.heard = now;
  if (const Seat* s = voters().seat(b.store); s && machine_of(s->address) == from) last_heard_[b.store] = now;
  if (b.voters.version > voters().version) told(now, b.voters);
  if (b.yours == store()) {
    const bool returned = voter_->standing() == verdict::returning;
    voter_->witnessed(b.store, b.seen);
    if (voter_->standing() == verdict::older && !failed_)
      become(hex(chance_()));
    else if (returned && voter_->standing() == verdict::yes)
      put(voter_->lives(), storage::KeyValueStore::Durability::synced);
  }
  saw(b.store, b.counter);
  if (b.answer) {
    if (sent != beats_.end() && sent->second >= p.contact)
      p.contact = sent->second, p.number = std::max(b.holds.number, b.accepted), p.votes = b.votes;
  } else {
    PeerHeartbeat reply = own_beat(now, from);
    reply.yours = b.store, reply.seen = voter_->seen_of(b.store);
    reply.echo = b.echo;
    reply.answer = true;
    out.push_back({from, written(kind::beat, reply)});
  }
  const CommittedPosition theirs = b.holds;
  p.told = std::move(b);
  learn(now, theirs, out);
}

bool ReplicatedState::fresh(std::int64_t now) const {
  if (failed_ || voters().version == 0) return false;
  std::set<std::string> agree;
  if (votes()) {
    if (accepted() > committed_.number) return false;
    agree.insert(store());
  }
  for (const auto& [m, p] : peers_) {
    if (p.contact < 0 || now - p.contact > in_contact || !p.votes) continue;
    const Seat* s = voters().seat(p.told.store);
    if (!s || machine_of(s->address) != m) continue;
    if (p.number > committed_.number) return false;
    agree.insert(p.told.store);
  }
  return voters().majority(agree);
}

}  // namespace robinpin::control_plane
