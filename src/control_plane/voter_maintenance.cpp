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

constexpr std::int64_t seats_pause = 250'000, succession_limit = 5'000'000;

}  // namespace

std::set<std::string> ReplicatedState::gone(std::int64_t now) const {
  std::set<std::string> found;
  for (const Seat& s : voters().now) {
    const Machine m = machine_of(s.address);
    if (m == self_) {
      if (s.store != store() || leaving_) found.insert(s.store);
      continue;
    }
    const auto it = peers_.find(m);
    // A word from before the present list says nothing of who holds a seat in it.
    if (it != peers_.end() && now - it->second.heard < in_contact &&
        it->second.told.voters.version >= voters().version &&
        (it->second.told.store != s.store || it->second.told.leaving)) {
      found.insert(s.store);
      continue;
    }
    // Unheard by a majority of the voters, each for so long: a cut beside this one core empties no seat.
    const auto silent = [&](std::int64_t age) { return age > spans_.contact / 2; };
    const auto at = last_heard_.find(s.store);
    if (!silent(now - (at == last_heard_.end() ? begun_ : at->second))) continue;
    std::set<std::string> unheard;
    if (voters().seat(store())) unheard.insert(store());
    for (const auto& [other, p] : peers_)
      if (now - p.heard < in_contact)
        for (const auto& [of, age] : p.told.ages)
          if (of == s.store && silent(std::int64_t(age) * 1000)) unheard.insert(p.told.store);
    if (voters().majority(unheard)) found.insert(s.store);
  }
  return found;
}

std::set<std::string> ReplicatedState::quiet(std::int64_t now) const {
  std::set<std::string> found;
  for (const Seat& s : voters().now) {
    const auto it = peers_.find(machine_of(s.address));
    const bool answers = it != peers_.end() && it->second.told.store == s.store && it->second.votes &&
                         it->second.contact >= 0 && now - it->second.contact <= 2 * beat_pause;
    if (s.store != store() && !answers) found.insert(s.store);
  }
  return found;
}

std::vector<Standby> ReplicatedState::standbys(std::int64_t now) const {
  std::map<Machine, std::string> found;
  if (!voters().seat(store()) && ready() && !leaving_ && highest_known_ <= committed_.number)
    found[self_] = store();
  for (const auto& [m, p] : peers_)
    if (now - p.heard < in_contact && p.told.ready && !p.told.leaving &&
        p.told.voters.version >= voters().version && !voters().seat(p.told.store) &&
        p.told.holds.number + 2 >= committed_.number)
      found[m] = p.told.store;
  std::vector<Standby> all;
  for (const auto& [m, s] : found) all.push_back({{text_of(m), s, text_of(m)}});
  return all;
}

std::size_t ReplicatedState::wanted_size() const {
  const configuration::VersionedItem* i = configuration_.find(size_name);
  std::size_t n = 0;
  if (!i || i->dropped ||
      std::from_chars(i->text.data(), i->text.data() + i->text.size(), n).ec != std::errc() || n == 0)
    return voters().now.size();
  return n;
}

void ReplicatedState::maintain_voters(std::int64_t now, Outbox& out) {
  if (failed_ || voters().version == 0 || seats_ || now < next_seats_) return;
  const auto pause = [&] { return std::int64_t(chance_() % std::uint64_t(seats_pause)) + seats_pause / 2; };
  if (succession_) {
    if (now >= succession_until_) return succession_.reset();
    return next_job(now, out);
  }
  next_seats_ = now + pause();
  if (highest_known_ > committed_.number) return;
  if (voters().changing()) {
    // Whoever began it may be gone: after a while any other goes on.
    if (changing_since_ == 0) changing_since_ = now;
    if (now - changing_since_ < 2 * seats_pause) return;
    succession_.emplace(voters(), std::vector<Seat>());
  } else {
    changing_since_ = 0;
    if (!fresh(now)) return;
    auto seats = next_seats(voters(), gone(now), quiet(now), standbys(now), wanted_size());
    if (!seats) return;
    succession_.emplace(voters(), std::move(*seats));
  }
  succession_until_ = now + succession_limit;
  next_job(now, out);
}

void ReplicatedState::next_job(std::int64_t now, Outbox& out) {
  const auto job = succession_->next();
  if (!job) {
    succession_.reset();
    changing_since_ = 0;
    return;
  }
  const auto b = ballot();
  seats_.emplace(Attempt{consensus::Proposal(job->under, b, job->want), false, {}, now, 0, again, 0, b});
  job_ = job->want;
  take_step(now, seats_, seats_->proposal.begin(), out);
}

void ReplicatedState::on_voter_change_ended(std::int64_t now, const consensus::Outcome& o, Outbox& out) {
  if (!succession_) return;
  if (o.how == fate::chosen && job_.name == state_register) settled(now, o.value, out);
  // Whoever brought a later list may have gone before it told anybody.
  if (job_.name == consensus::voters_register && (o.how == fate::refused || o.how == fate::chosen) &&
      o.value.version > voters().version)
    if (const auto settled_list = Voters::read(o.value.version, o.value.text)) {
      told(now, *settled_list);
      beat(now, out, true);
    }
  succession_->ended(o);
  if (succession_->voters().version > voters().version) {
    told(now, succession_->voters());
    beat(now, out, true);
  }
  if (o.how == fate::chosen) return next_job(now, out);
  next_seats_ = now + std::int64_t(chance_() % std::uint64_t(again)) + again / 2;
}

void ReplicatedState::leave(std::int64_t now, Outbox& out) {
  leaving_ = true;
  next_seats_ = now;
  beat(now, out, true);
  tick(now, out);
}

bool ReplicatedState::may_go() const { return failed_ || !voters().seat(store()) || !can_hand_over_; }

}  // namespace robinpin::control_plane
