// A core's records in its trove: who this copy is, what it has promised and accepted, the settled state. Free
// of I/O beside the trove.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "../configuration/configuration_store.h"
#include "../consensus/voter.h"
#include "../storage/key_value_store.h"
#include "messages.h"

namespace robinpin::control_plane {

constexpr std::string_view own_name = "own", item_mark = "i/", slot_mark = "slot/";
constexpr std::uint32_t form = 2;  // of the records; one of another is no copy

struct StoreHeader {  // beside items and slots
  std::uint32_t written_as = form;
  Machine machine = 0;  // a disk that is read at another address was copied or moved
  std::string store;
  std::uint64_t counter = 0;
  consensus::Voters voters;
  std::vector<std::pair<std::string, std::uint64_t>> seen;
  CommittedPosition holds;
  std::uint64_t floor = 0;
  template <typename A>
  void serialize(A& a) {
    a(written_as, machine, store, counter, voters, seen, holds, floor);
  }
};

struct StoreContents {             // all that a disk holds
  std::optional<StoreHeader> own;  // none: an empty one
  std::map<std::string, consensus::Slot> slots;
  std::vector<configuration::VersionedItem> items;
};

// Errors: Step::corruption: a record can't be read, or there are some without the one that says whose they
// are.
storage::result<StoreContents> kept(const std::vector<storage::KeyValueStore::Entry>& held);

std::string packed(const std::vector<configuration::VersionedItem>& items);
std::optional<std::vector<configuration::VersionedItem>> unpacked(std::string_view text);

void put(storage::KeyValueStore::WriteBatch& batch, const StoreHeader& own);
void put(storage::KeyValueStore::WriteBatch& batch, const std::string& name, const consensus::Slot& slot);
void put(storage::KeyValueStore::WriteBatch& batch, const configuration::VersionedItem& item);
void drop(storage::KeyValueStore::WriteBatch& batch, const std::string& item);

}  // namespace robinpin::control_plane
