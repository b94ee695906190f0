// Opens the store of a control-plane process, and quarantines one that is corrupted.
#pragma once

#include <memory>
#include <string>

#include "../storage/error.h"
#include "../storage/key_value_store.h"

namespace robinpin::app {

struct ReplicaStore {
  std::unique_ptr<storage::KeyValueStore> store;
  std::string quarantine_reason;  // empty unless a corrupted store was quarantined
};

// A corrupted store is renamed to `folder`.aside, in place of an earlier one, and an empty one is opened: the
// peers treat this machine as one that has lost its disk. What was corrupted unnoticed is found by the
// voters' counters (control_plane/replicated_state). Errors: the store is in use, or cannot be opened for a
// reason that may pass.
storage::result<ReplicaStore> open_replica_store(const std::string& folder);

}  // namespace robinpin::app
