// Applies committed values of the state's register to the configuration and to the store.
#include <algorithm>

#include "replicated_state.h"
#include "replicated_state_internal.h"

namespace robinpin::control_plane {

using consensus::Value;

void ReplicatedState::settled(std::int64_t now, const Value& value, Outbox& out) {
  if (value.version <= committed_.number) return;
  highest_known_ = std::max(highest_known_, value.version);
  if (value.version != committed_.number + 1 || !apply(value, out)) continue_catch_up(now, out);
}

void ReplicatedState::learn(std::int64_t now, const CommittedPosition& other, Outbox& out) {
  if (other.number <= committed_.number) return;
  highest_known_ = std::max(highest_known_, other.number);
  const auto& slots = voter_->memory().slots;
  const auto it = slots.find(std::string(state_register));
  if (it != slots.end() && other.number == committed_.number + 1 &&
      it->second.value.version == other.number && it->second.value.by == other.by &&
      apply(it->second.value, out))
    return;
  continue_catch_up(now, out);
}

// The state of the number before is held whole: that is what makes it this one's.
bool ReplicatedState::apply(const Value& value, Outbox& out) {
  auto items = unpacked(value.text);
  if (!items) return false;
  storage::KeyValueStore::WriteBatch batch;
  std::vector<configuration::VersionedItem> news;
  for (configuration::VersionedItem& i : *items) {
    i.at = value.version;
    if (configuration_.take(i)) news.push_back(i);
  }
  for (const auto& name : configuration_.prune()) drop(batch, name);
  for (const auto& i : *items)
    if (const configuration::VersionedItem* held = configuration_.find(i.name))
      control_plane::put(batch, *held);
  committed_ = {value.version, value.by};
  last_ = value;
  highest_known_ = std::max(highest_known_, value.version);
  if (catch_up_ && highest_known_ <= committed_.number) catch_up_.reset();
  if (tries_ == 0) not_before_ = 0;
  control_plane::put(batch, own());
  // In time: until it lasts, the register of a majority has it, and whoever accepts the next one syncs this
  // with it.
  if (put(std::move(batch), storage::KeyValueStore::Durability::unsynced)) gossip_.spread(news, out);
  return true;
}

}  // namespace robinpin::control_plane
