#include "persistence.h"

#include <boost/leaf/error.hpp>
#include <sstream>

namespace robinpin::consensus {
template <typename A>
void serialize(A& a, Slot& x) {
  a(x.promised, x.accepted, x.value);
}
}  // namespace robinpin::consensus

namespace robinpin::control_plane {

namespace {

template <typename T>
std::string text_of(const T& x) {
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(x);
  return std::move(out).str();
}

template <typename T>
bool read_text(std::string_view text, T& x) {
  try {
    gossip::Reading archive(text);
    archive(x);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace

storage::result<StoreContents> kept(const std::vector<storage::KeyValueStore::Entry>& held) {
  StoreContents k;
  const auto damaged = [](const std::string& name) {
    return boost::leaf::new_error(storage::Error{storage::Error::Step::corruption, name, "can't be read"});
  };
  for (const auto& [name, text] : held) {
    if (name == own_name) {
      StoreHeader own;
      if (!read_text(text, own) || own.written_as != form) return damaged(name);
      k.own = std::move(own);
    } else if (name.starts_with(item_mark)) {
      if (!read_text(text, k.items.emplace_back())) return damaged(name);
    } else if (name.starts_with(slot_mark)) {
      if (!read_text(text, k.slots[name.substr(slot_mark.size())])) return damaged(name);
    } else {
      return damaged(name);
    }
  }
  if (!k.own && !held.empty()) return damaged(std::string(own_name));
  return k;
}

std::string packed(const std::vector<configuration::VersionedItem>& items) { return text_of(items); }

std::optional<std::vector<configuration::VersionedItem>> unpacked(std::string_view text) {
  std::vector<configuration::VersionedItem> items;
  if (!read_text(text, items)) return std::nullopt;
  return items;
}

void put(storage::KeyValueStore::WriteBatch& batch, const StoreHeader& own) {
  batch.puts.emplace_back(own_name, text_of(own));
}
void put(storage::KeyValueStore::WriteBatch& batch, const std::string& name, const consensus::Slot& slot) {
  batch.puts.emplace_back(std::string(slot_mark) + name, text_of(slot));
}
void put(storage::KeyValueStore::WriteBatch& batch, const configuration::VersionedItem& item) {
  batch.puts.emplace_back(std::string(item_mark) + item.name, text_of(item));
}
void drop(storage::KeyValueStore::WriteBatch& batch, const std::string& item) {
  batch.removals.push_back(std::string(item_mark) + item);
}

}  // namespace robinpin::control_plane
