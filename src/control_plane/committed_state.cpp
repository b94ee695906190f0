// Applies committed values of the state's register to the configuration and to the store.
#include <algorithm>

#include "replicated_state.h"
#include "replicated_state_internal.h"

namespace robinpin::control_plane {

using consensus::Value;

void ReplicatedState::on_committed(std::int64_t now, const Value& value, Outbox& out) {
  if (value.version <= committed_.number) return;
  highest_known_ = std::max(highest_known_, value.version);
  if (value.version != committed_.number + 1 || !apply_committed(value, out)) continue_catch_up(now, out);
}

void ReplicatedState::learn_committed(std::int64_t now, const CommittedPosition& other, Outbox& out) {
  if (other.number <= committed_.number) return;
  highest_known_ = std::max(highest_known_, other.number);
  const auto& slots = voter_->memory().slots;
  const auto it = slots.find(std::string(state_register));
  if (it != slots.end() && other.number == committed_.number + 1 &&
      it->second.value.version == other.number && it->second.value.by == other.by &&
      apply_committed(it->second.value, out))
    return;
  continue_catch_up(now, out);
}

// The state of the number before is held whole: that is what makes it this one's.
bool ReplicatedState::apply_committed(const Value& value, Outbox& out) {
  auto items = decode_items(value.text);
  if (!items) return false;
  storage::KeyValueStore::WriteBatch batch;
  std::vector<configuration::VersionedItem> changed;
  for (configuration::VersionedItem& i : *items) {
    i.at = value.version;
    if (configuration_.take(i)) changed.push_back(i);
  }
  for (const auto& name : configuration_.prune()) drop(batch, name);
  for (const auto& i : *items)
    if (const configuration::VersionedItem* current = configuration_.find(i.name))
      control_plane::put(batch, *current);
  committed_ = {value.version, value.by};
  last_committed_ = value;
  highest_known_ = std::max(highest_known_, value.version);
  if (catch_up_ && highest_known_ <= committed_.number) catch_up_.reset();
  if (failed_attempts_ == 0) next_proposal_ = 0;
  control_plane::put(batch, make_store_header());
  // In time: until it lasts, the register of a majority has it, and whoever accepts the next one syncs this
  // with it.
  if (persist(std::move(batch), storage::KeyValueStore::Durability::unsynced)) gossip_.spread(changed, out);
  return true;
}

}  // namespace robinpin::control_plane
