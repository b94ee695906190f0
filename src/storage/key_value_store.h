// Durable key-value storage: the interface that the control plane's persistence is written against.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "error.h"

namespace robinpin::storage {

// An ordered map of byte strings with atomic batches. Not thread-safe: one thread at a time uses a store.
class KeyValueStore {
 public:
  using Entry = std::pair<std::string, std::string>;  // key, value

  // Applied completely or not at all. A key that is in both lists ends up removed. No key starts with a zero
  // byte: those are reserved for the implementation.
  struct WriteBatch {
    std::vector<Entry> puts;
    std::vector<std::string> removals;
  };

  // synced: the batch survives a loss of power once write() has returned.
  // unsynced: the batch survives the death of the process, in order with the other batches; a loss of power
  // may take it until a later synced write or the next open has made it durable.
  enum class Durability { synced, unsynced };

  virtual ~KeyValueStore() = default;

  // Errors: Step::sync. A failure is final, since the state on disk is unknown from then on: every later
  // write fails too, and the owner of the store has to end.
  virtual result<void> write(const WriteBatch& batch, Durability durability = Durability::synced) = 0;

  // All entries in the order of their keys. Errors: Step::read; Step::corruption.
  virtual result<std::vector<Entry>> read_all() = 0;

  // Bytes on disk, approximately: files may come and go while they are counted. Errors: Step::read.
  virtual result<std::uint64_t> size_on_disk() = 0;
};

}  // namespace robinpin::storage
