// A core's records in its trove: who this copy is, what it has promised and accepted, the settled state. Free
// of I/O beside the trove.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "../consensus/voter.h"
#include "../creed/creed.h"
#include "../trove/key_value_store.h"
#include "wire.h"

namespace robinpin::locus {

constexpr std::string_view own_name = "own", item_mark = "i/", slot_mark = "slot/";
constexpr std::uint32_t form = 2;  // of the records; one of another is no copy

struct Own {  // beside items and slots
  std::uint32_t written_as = form;
  Machine machine = 0;  // a disk that is read at another address was copied or moved
  std::string store;
  std::uint64_t counter = 0;
  consensus::Voters voters;
  std::vector<std::pair<std::string, std::uint64_t>> seen;
  Stands holds;
  std::uint64_t floor = 0;
  template <typename A>
  void serialize(A& a) {
    a(written_as, machine, store, counter, voters, seen, holds, floor);
  }
};

struct Kept {              // all that a disk holds
  std::optional<Own> own;  // none: an empty one
  std::map<std::string, consensus::Slot> slots;
  std::vector<creed::Item> items;
};

// Errors: Step::corruption: a record can't be read, or there are some without the one that says whose they
// are.
trove::result<Kept> kept(const std::vector<trove::KeyValueStore::Entry>& held);

std::string packed(const std::vector<creed::Item>& items);
std::optional<std::vector<creed::Item>> unpacked(std::string_view text);

void put(trove::KeyValueStore::WriteBatch& batch, const Own& own);
void put(trove::KeyValueStore::WriteBatch& batch, const std::string& name, const consensus::Slot& slot);
void put(trove::KeyValueStore::WriteBatch& batch, const creed::Item& item);
void drop(trove::KeyValueStore::WriteBatch& batch, const std::string& item);

}  // namespace robinpin::locus
