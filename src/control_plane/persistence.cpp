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
std::string encode_record(const T& x) {
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(x);
  return std::move(out).str();
}

template <typename T>
bool decode_record(std::string_view text, T& x) {
  try {
    gossip::Reading archive(text);
    archive(x);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace

storage::result<StoreContents> parse_store(const std::vector<storage::KeyValueStore::Entry>& entries) {
  StoreContents contents;
  const auto damaged = [](const std::string& name) {
    return boost::leaf::new_error(storage::Error{storage::Error::Step::corruption, name, "can't be read"});
  };
  for (const auto& [name, text] : entries) {
    if (name == header_key) {
      StoreHeader own;
      if (!decode_record(text, own) || own.format != format_version) return damaged(name);
      contents.own = std::move(own);
    } else if (name.starts_with(item_prefix)) {
      if (!decode_record(text, contents.items.emplace_back())) return damaged(name);
    } else if (name.starts_with(slot_prefix)) {
      if (!decode_record(text, contents.slots[name.substr(slot_prefix.size())])) return damaged(name);
    } else {
      return damaged(name);
    }
  }
  if (!contents.own && !entries.empty()) return damaged(std::string(header_key));
  return contents;
}

std::string encode_items(const std::vector<configuration::VersionedItem>& items) {
  return encode_record(items);
}

std::optional<std::vector<configuration::VersionedItem>> decode_items(std::string_view text) {
  std::vector<configuration::VersionedItem> items;
  if (!decode_record(text, items)) return std::nullopt;
  return items;
}

void put(storage::KeyValueStore::WriteBatch& batch, const StoreHeader& own) {
  batch.puts.emplace_back(header_key, encode_record(own));
}
void put(storage::KeyValueStore::WriteBatch& batch, const std::string& name, const consensus::Slot& slot) {
  batch.puts.emplace_back(std::string(slot_prefix) + name, encode_record(slot));
}
void put(storage::KeyValueStore::WriteBatch& batch, const configuration::VersionedItem& item) {
  batch.puts.emplace_back(std::string(item_prefix) + item.name, encode_record(item));
}
void drop(storage::KeyValueStore::WriteBatch& batch, const std::string& item) {
  batch.removals.push_back(std::string(item_prefix) + item);
}

}  // namespace robinpin::control_plane
