// Records of a control-plane machine in its store: the identity of this copy, what its voter has promised and
// accepted, and the committed configuration. Encodes and decodes only; does no I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "../configuration/configuration_store.h"
#include "../consensus/voter.h"
#include "../storage/key_value_store.h"
#include "messages.h"

namespace robinpin::control_plane {

constexpr std::string_view header_key = "own", item_prefix = "i/", slot_prefix = "slot/";
constexpr std::uint32_t format_version = 2;  // of the records; a store of another version is not read

// The record of the store itself, beside items and slots. Encoded by position.
struct StoreHeader {
  std::uint32_t format = format_version;
  Machine machine = 0;  // a store that is loaded at another address was copied or moved
  std::string store;
  std::uint64_t counter = 0;
  consensus::Voters voters;
  std::vector<std::pair<std::string, std::uint64_t>> seen;
  CommittedPosition committed;
  std::uint64_t floor = 0;
  template <typename A>
  void serialize(A& a) {
    a(format, machine, store, counter, voters, seen, committed, floor);
  }
};

// All records of a store.
struct StoreContents {             // all that a disk holds
  std::optional<StoreHeader> own;  // none: the store is empty
  std::map<std::string, consensus::Slot> slots;
  std::vector<configuration::VersionedItem> items;
};

// Errors: Step::corruption: a record can't be decoded, or there are records without a header.
storage::result<StoreContents> parse_store(const std::vector<storage::KeyValueStore::Entry>& entries);

// The text of the state's register: the items of one change. decode_items returns nothing for other text.
std::string encode_items(const std::vector<configuration::VersionedItem>& items);
std::optional<std::vector<configuration::VersionedItem>> decode_items(std::string_view text);

void put(storage::KeyValueStore::WriteBatch& batch, const StoreHeader& own);
void put(storage::KeyValueStore::WriteBatch& batch, const std::string& name, const consensus::Slot& slot);
void put(storage::KeyValueStore::WriteBatch& batch, const configuration::VersionedItem& item);
void drop(storage::KeyValueStore::WriteBatch& batch, const std::string& item);

}  // namespace robinpin::control_plane
