// Transfers the committed state from a peer that is ahead to this machine, and serves such transfers.
#include <algorithm>

#include "replicated_state.h"
#include "replicated_state_internal.h"

namespace robinpin::control_plane {

namespace {

constexpr std::size_t burst_pieces = 4, piece_bytes = 12'000, spread_at_most = 64;

}  // namespace

void ReplicatedState::continue_catch_up(std::int64_t now, Outbox& out) {
  if (highest_known_ <= committed_.number) catch_up_.reset();
  if (highest_known_ <= committed_.number || failed_) return;
  if (!catch_up_) {
    catch_up_.emplace();
    catch_up_->id = chance_();
    catch_up_->after = {committed_.number + 1, {}};
  } else if (now < catch_up_->next) {
    return;
  }
  const bool stuck = catch_up_->next > 0 && catch_up_->pause > 2 * again;
  std::vector<Machine> able;
  for (const auto& [m, p] : peers_)
    if (p.told.ready && p.told.holds.number > committed_.number && now - p.heard < forgotten &&
        !(stuck && m == catch_up_->from && peers_.size() > 1))
      able.push_back(m);
  catch_up_->pause = std::min(4 * again, catch_up_->next == 0 ? again : 2 * catch_up_->pause);
  catch_up_->next = now + catch_up_->pause;
  if (able.empty()) return;
  if (stuck || std::find(able.begin(), able.end(), catch_up_->from) == able.end()) {
    catch_up_->from = able[chance_() % able.size()];
    restart_catch_up(false);
  }
  out.push_back({catch_up_->from, written(kind::fetch, CatchUpRequest{catch_up_->id, catch_up_->after})});
}

void ReplicatedState::restart_catch_up(bool snapshot) {
  CatchUp& c = *catch_up_;
  c.id = chance_();
  c.snapshot = snapshot;
  c.after = snapshot ? Cursor{} : Cursor{committed_.number + 1, {}};
  c.items.clear();
  c.least = committed_.number + 1;
  c.floor = 0;
  c.pause = again;
}

void ReplicatedState::on_catch_up_request(Machine from, const CatchUpRequest& f, Outbox& out) const {
  if (!ready()) return;
  using Place = std::pair<Cursor, const configuration::VersionedItem*>;
  std::vector<Place> wanted;
  for (const auto& [name, item] : configuration_.items())
    if (Cursor at{item.at, name}; at > f.after) wanted.emplace_back(std::move(at), &item);
  constexpr std::size_t at_once = 2'000;
  const auto sorted = wanted.begin() + std::ptrdiff_t(std::min(at_once, wanted.size()));
  std::partial_sort(wanted.begin(), sorted, wanted.end(),
                    [](const Place& a, const Place& b) { return a.first < b.first; });
  CatchUpResponse piece{f.id, committed_, configuration_.floor(), f.after, f.after, false, false, {}};
  std::size_t bytes = 0, pieces = 0;
  for (auto it = wanted.begin();; ++it) {
    const bool end = it == sorted;
    if (end || (!piece.items.empty() && bytes + gossip::size_of(*it->second) > piece_bytes)) {
      ++pieces;
      piece.last = end && sorted == wanted.end();
      piece.burst_ends = end || pieces == burst_pieces;
      FragmentAssembler::send(from, written(kind::fetched, piece), out);
      if (piece.burst_ends) return;
      piece.after = piece.upto;
      piece.items.clear(), bytes = 0;
    }
    bytes += gossip::size_of(*it->second);
    piece.items.push_back(*it->second);
    piece.upto = it->first;
  }
}

void ReplicatedState::on_catch_up_response(std::int64_t now, Machine from, const CatchUpResponse& f,
                                           Outbox& out) {
  if (!catch_up_ || from != catch_up_->from || f.id != catch_up_->id || f.after != catch_up_->after) return;
  CatchUp& c = *catch_up_;
  // The other has lost what it had not synced; or let go of names that this copy may still hold, or has been
  // sent.
  const bool gone_back = f.holds.number < c.least;
  const bool let_go = c.snapshot ? c.after.at > 0 && f.floor != c.floor : f.floor > committed_.number;
  if (gone_back || let_go) {
    restart_catch_up(let_go);
    c.next = now;
    return continue_catch_up(now, out);
  }
  c.floor = f.floor;
  c.least = f.holds.number;
  c.items.insert(c.items.end(), f.items.begin(), f.items.end());
  c.after = f.upto;
  c.pause = again;
  c.next = now + again;
  if (f.last) return caught_up(f.holds, f.floor, out);
  if (f.burst_ends) out.push_back({c.from, written(kind::fetch, CatchUpRequest{c.id, c.after})});
}

void ReplicatedState::caught_up(const CommittedPosition& holds, std::uint64_t floor, Outbox& out) {
  CatchUp c = std::move(*catch_up_);
  catch_up_.reset();
  if (holds.number <= committed_.number) return;
  storage::KeyValueStore::WriteBatch batch;
  if (c.snapshot) {
    std::set<std::string_view> there;
    for (const auto& i : c.items) there.insert(i.name);
    std::vector<std::string> gone;
    for (const auto& [name, i] : configuration_.items())
      if (!there.contains(name)) gone.push_back(name);
    for (const auto& name : gone) configuration_.erase(name), drop(batch, name);
    configuration_.floor(0);  // until all is in
  }
  std::vector<configuration::VersionedItem> news;
  for (const auto& i : c.items)
    if (configuration_.take(i)) news.push_back(i);
  for (const auto& name : configuration_.let_go(floor)) drop(batch, name);
  for (const auto& i : c.items)
    if (const configuration::VersionedItem* held = configuration_.find(i.name))
      control_plane::put(batch, *held);
  committed_ = holds;
  last_ = {};
  highest_known_ = std::max(highest_known_, committed_.number);
  control_plane::put(batch, own());
  if (put(std::move(batch), storage::KeyValueStore::Durability::unsynced) && news.size() <= spread_at_most)
    gossip_.spread(news, out);
}

}  // namespace robinpin::control_plane
