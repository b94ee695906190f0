// Transfers the committed state from a peer that is ahead to this machine, and serves such transfers.
#include <algorithm>

#include "replicated_state.h"
#include "replicated_state_internal.h"

namespace robinpin::control_plane {

namespace {

constexpr std::size_t responses_per_request = 4, response_bytes = 12'000, max_spread_items = 64;

}  // namespace

void ReplicatedState::continue_catch_up(std::int64_t now, Outbox& out) {
  if (highest_known_ <= committed_.number) catch_up_.reset();
  if (highest_known_ <= committed_.number || storage_failure_) return;
  if (!catch_up_) {
    catch_up_.emplace(CatchUp{});
    catch_up_->id = random_();
    catch_up_->cursor = {committed_.number + 1, {}};
  } else if (now < catch_up_->next_request) {
    return;
  }
  const bool stuck = catch_up_->next_request > 0 && catch_up_->resend_delay > 2 * resend_interval;
  std::vector<Machine> candidates;
  for (const auto& [m, p] : peers_)
    if (p.heartbeat.ready && p.heartbeat.committed.number > committed_.number &&
        now - p.last_heard < peer_expiry && !(stuck && m == catch_up_->source && peers_.size() > 1))
      candidates.push_back(m);
  catch_up_->resend_delay = std::min(
      4 * resend_interval, catch_up_->next_request == 0 ? resend_interval : 2 * catch_up_->resend_delay);
  catch_up_->next_request = now + catch_up_->resend_delay;
  if (candidates.empty()) return;
  if (stuck || std::find(candidates.begin(), candidates.end(), catch_up_->source) == candidates.end()) {
    catch_up_->source = candidates[random_() % candidates.size()];
    restart_catch_up(false);
  }
  out.push_back({catch_up_->source,
                 encode(MessageType::catch_up_request, CatchUpRequest{catch_up_->id, catch_up_->cursor})});
}

void ReplicatedState::restart_catch_up(bool snapshot) {
  CatchUp& c = *catch_up_;
  c.id = random_();
  c.snapshot = snapshot;
  c.cursor = snapshot ? Cursor{} : Cursor{committed_.number + 1, {}};
  c.items.clear();
  c.minimum_number = committed_.number + 1;
  c.floor = 0;
  c.resend_delay = resend_interval;
}

void ReplicatedState::on_catch_up_request(Machine from, const CatchUpRequest& message, Outbox& out) const {
  if (!is_ready()) return;
  using Position = std::pair<Cursor, const configuration::VersionedItem*>;
  std::vector<Position> wanted;
  for (const auto& [name, item] : configuration_.items())
    if (Cursor at{item.at, name}; at > message.after) wanted.emplace_back(std::move(at), &item);
  constexpr std::size_t max_sorted_items = 2'000;
  const auto sorted = wanted.begin() + std::ptrdiff_t(std::min(max_sorted_items, wanted.size()));
  std::partial_sort(wanted.begin(), sorted, wanted.end(),
                    [](const Position& a, const Position& b) { return a.first < b.first; });
  CatchUpResponse response{
      message.id, committed_, configuration_.floor(), message.after, message.after, false, false, {}};
  std::size_t bytes = 0, responses = 0;
  for (auto it = wanted.begin();; ++it) {
    const bool end = it == sorted;
    if (end || (!response.items.empty() && bytes + gossip::size_of(*it->second) > response_bytes)) {
      ++responses;
      response.last = end && sorted == wanted.end();
      response.burst_ends = end || responses == responses_per_request;
      FragmentAssembler::send(from, encode(MessageType::catch_up_response, response), out);
      if (response.burst_ends) return;
      response.after = response.upto;
      response.items.clear();
      bytes = 0;
    }
    bytes += gossip::size_of(*it->second);
    response.items.push_back(*it->second);
    response.upto = it->first;
  }
}

void ReplicatedState::on_catch_up_response(std::int64_t now, Machine from, const CatchUpResponse& message,
                                           Outbox& out) {
  if (!catch_up_ || from != catch_up_->source || message.id != catch_up_->id ||
      message.after != catch_up_->cursor)
    return;
  CatchUp& c = *catch_up_;
  // The source has lost changes that it had not synced; or it has dropped names for good that this copy may
  // still hold, or has been sent.
  const bool lost_state = message.committed.number < c.minimum_number;
  const bool names_dropped =
      c.snapshot ? c.cursor.at > 0 && message.floor != c.floor : message.floor > committed_.number;
  if (lost_state || names_dropped) {
    restart_catch_up(names_dropped);
    c.next_request = now;
    return continue_catch_up(now, out);
  }
  c.floor = message.floor;
  c.minimum_number = message.committed.number;
  c.items.insert(c.items.end(), message.items.begin(), message.items.end());
  c.cursor = message.upto;
  c.resend_delay = resend_interval;
  c.next_request = now + resend_interval;
  if (message.last) return finish_catch_up(message.committed, message.floor, out);
  if (message.burst_ends)
    out.push_back({c.source, encode(MessageType::catch_up_request, CatchUpRequest{c.id, c.cursor})});
}

void ReplicatedState::finish_catch_up(const CommittedPosition& committed, std::uint64_t floor, Outbox& out) {
  CatchUp c = std::move(*catch_up_);
  catch_up_.reset();
  if (committed.number <= committed_.number) return;
  storage::KeyValueStore::WriteBatch batch;
  if (c.snapshot) {
    std::set<std::string_view> received;
    for (const auto& i : c.items) received.insert(i.name);
    std::vector<std::string> removed;
    for (const auto& [name, i] : configuration_.items())
      if (!received.contains(name)) removed.push_back(name);
    for (const auto& name : removed) {
      configuration_.erase(name);
      drop(batch, name);
    }
    configuration_.floor(0);  // until all items are in
  }
  std::vector<configuration::VersionedItem> changed;
  for (const auto& i : c.items)
    if (configuration_.take(i)) changed.push_back(i);
  for (const auto& name : configuration_.let_go(floor)) drop(batch, name);
  for (const auto& i : c.items)
    if (const configuration::VersionedItem* current = configuration_.find(i.name))
      control_plane::put(batch, *current);
  committed_ = committed;
  last_committed_ = {};
  highest_known_ = std::max(highest_known_, committed_.number);
  control_plane::put(batch, make_store_header());
  if (persist(std::move(batch), storage::KeyValueStore::Durability::unsynced) &&
      changed.size() <= max_spread_items)
    gossip_.spread(changed, out);
}

}  // namespace robinpin::control_plane
