// Who votes: finds lost voters and standbys, and drives the changes of the list of voters.
#include <algorithm>
#include <charconv>

#include "replicated_state.h"
#include "replicated_state_internal.h"

namespace robinpin::control_plane {

using consensus::fate;
using consensus::Seat;
using consensus::Voters;

namespace {

constexpr std::int64_t voter_maintenance_period = 250'000, succession_timeout = 5'000'000;

}  // namespace

std::set<std::string> ReplicatedState::lost_voters(std::int64_t now) const {
  std::set<std::string> found;
  for (const Seat& s : voters().now) {
    const Machine m = parse_address(s.address);
    if (m == self_) {
      if (s.store != store() || leaving_) found.insert(s.store);
      continue;
    }
    const auto it = peers_.find(m);
    // A heartbeat from before the present list says nothing about its voters.
    if (it != peers_.end() && now - it->second.last_heard < contact_lifetime &&
        it->second.heartbeat.voters.version >= voters().version &&
        (it->second.heartbeat.store != s.store || it->second.heartbeat.leaving)) {
      found.insert(s.store);
      continue;
    }
    // Lost only when a majority of the voters has not heard it: a partition of this machine alone removes no
    // voter.
    const auto is_silent = [&](std::int64_t age) { return age > timeouts_.voter_contact / 2; };
    const auto at = last_heard_.find(s.store);
    if (!is_silent(now - (at == last_heard_.end() ? started_at_ : at->second))) continue;
    std::set<std::string> unheard;
    if (voters().seat(store())) unheard.insert(store());
    for (const auto& [other, p] : peers_)
      if (now - p.last_heard < contact_lifetime)
        for (const auto& [of, age] : p.heartbeat.ages)
          if (of == s.store && is_silent(std::int64_t(age) * 1000)) unheard.insert(p.heartbeat.store);
    if (voters().majority(unheard)) found.insert(s.store);
  }
  return found;
}

std::set<std::string> ReplicatedState::silent_voters(std::int64_t now) const {
  std::set<std::string> found;
  for (const Seat& s : voters().now) {
    const auto it = peers_.find(parse_address(s.address));
    const bool answers = it != peers_.end() && it->second.heartbeat.store == s.store && it->second.votes &&
                         it->second.last_contact >= 0 &&
                         now - it->second.last_contact <= 2 * heartbeat_period;
    if (s.store != store() && !answers) found.insert(s.store);
  }
  return found;
}

std::vector<Standby> ReplicatedState::standbys(std::int64_t now) const {
  std::map<Machine, std::string> found;
  if (!voters().seat(store()) && is_ready() && !leaving_ && highest_known_ <= committed_.number)
    found[self_] = store();
  for (const auto& [m, p] : peers_)
    if (now - p.last_heard < contact_lifetime && p.heartbeat.ready && !p.heartbeat.leaving &&
        p.heartbeat.voters.version >= voters().version && !voters().seat(p.heartbeat.store) &&
        p.heartbeat.committed.number + 2 >= committed_.number)
      found[m] = p.heartbeat.store;
  std::vector<Standby> all;
  all.reserve(found.size());
  for (const auto& [m, s] : found) all.push_back({{format_address(m), s, format_address(m)}});
  return all;
}

std::size_t ReplicatedState::wanted_size() const {
  const configuration::VersionedItem* i = configuration_.find(voter_count_name);
  std::size_t n = 0;
  if (!i || i->dropped ||
      std::from_chars(i->text.data(), i->text.data() + i->text.size(), n).ec != std::errc() || n == 0)
    return voters().now.size();
  return n;
}

void ReplicatedState::maintain_voters(std::int64_t now, Outbox& out) {
  if (storage_failure_ || voters().version == 0 || voter_change_ || now < next_voter_maintenance_) return;
  const auto random_delay = [&] {
    return std::int64_t(random_() % std::uint64_t(voter_maintenance_period)) + voter_maintenance_period / 2;
  };
  if (succession_) {
    if (now >= succession_deadline_) return succession_.reset();
    return propose_next_voter_change(now, out);
  }
  next_voter_maintenance_ = now + random_delay();
  if (highest_known_ > committed_.number) return;
  if (voters().changing()) {
    // The machine that began the change may be lost: after a while any other one continues it.
    if (changing_since_ == 0) changing_since_ = now;
    if (now - changing_since_ < 2 * voter_maintenance_period) return;
    succession_.emplace(voters(), std::vector<Seat>());
  } else {
    changing_since_ = 0;
    if (!is_current(now)) return;
    auto next_voters =
        propose_voters(voters(), lost_voters(now), silent_voters(now), standbys(now), wanted_size());
    if (!next_voters) return;
    succession_.emplace(voters(), std::move(*next_voters));
  }
  succession_deadline_ = now + succession_timeout;
  propose_next_voter_change(now, out);
}

void ReplicatedState::propose_next_voter_change(std::int64_t now, Outbox& out) {
  const auto job = succession_->next();
  if (!job) {
    succession_.reset();
    changing_since_ = 0;
    return;
  }
  const auto b = next_ballot();
  voter_change_.emplace(
      Attempt{consensus::Proposal(job->under, b, job->want), false, {}, now, 0, resend_interval, 0, b});
  voter_change_job_ = job->want;
  perform_step(now, voter_change_, voter_change_->proposal.begin(), out);
}

void ReplicatedState::on_voter_change_ended(std::int64_t now, const consensus::Outcome& o, Outbox& out) {
  if (!succession_) return;
  if (o.how == fate::chosen && voter_change_job_.name == state_register) on_committed(now, o.value, out);
  // The machine that committed a later list may be lost before it told anyone.
  if (voter_change_job_.name == consensus::voters_register &&
      (o.how == fate::refused || o.how == fate::chosen) && o.value.version > voters().version)
    if (const auto committed_voters = Voters::read(o.value.version, o.value.text)) {
      adopt_voters(now, *committed_voters);
      send_heartbeats(now, out, true);
    }
  succession_->ended(o);
  if (succession_->voters().version > voters().version) {
    adopt_voters(now, succession_->voters());
    send_heartbeats(now, out, true);
  }
  if (o.how == fate::chosen) return propose_next_voter_change(now, out);
  next_voter_maintenance_ =
      now + std::int64_t(random_() % std::uint64_t(resend_interval)) + resend_interval / 2;
}

void ReplicatedState::start_leaving(std::int64_t now, Outbox& out) {
  leaving_ = true;
  next_voter_maintenance_ = now;
  send_heartbeats(now, out, true);
  tick(now, out);
}

bool ReplicatedState::may_stop() const {
  return storage_failure_ || !voters().seat(store()) || !can_hand_over_;
}

}  // namespace robinpin::control_plane
