#include "disk.h"

#include <boost/leaf/error.hpp>
#include <sstream>

namespace robinpin::consensus {
template <typename A>
void serialize(A& a, Slot& x) {
  a(x.promised, x.accepted, x.value);
}
}  // namespace robinpin::consensus

namespace robinpin::locus {

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
    rumour::Reading archive(text);
    archive(x);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace

trove::result<Kept> kept(const std::vector<trove::KeyValueStore::Entry>& held) {
  Kept k;
  const auto damaged = [](const std::string& name) {
    return boost::leaf::new_error(trove::Error{trove::Error::Step::corruption, name, "can't be read"});
  };
  for (const auto& [name, text] : held) {
    if (name == own_name) {
      Own own;
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

std::string packed(const std::vector<creed::Item>& items) { return text_of(items); }

std::optional<std::vector<creed::Item>> unpacked(std::string_view text) {
  std::vector<creed::Item> items;
  if (!read_text(text, items)) return std::nullopt;
  return items;
}

void put(trove::KeyValueStore::WriteBatch& batch, const Own& own) {
  batch.puts.emplace_back(own_name, text_of(own));
}
void put(trove::KeyValueStore::WriteBatch& batch, const std::string& name, const consensus::Slot& slot) {
  batch.puts.emplace_back(std::string(slot_mark) + name, text_of(slot));
}
void put(trove::KeyValueStore::WriteBatch& batch, const creed::Item& item) {
  batch.puts.emplace_back(std::string(item_mark) + item.name, text_of(item));
}
void drop(trove::KeyValueStore::WriteBatch& batch, const std::string& item) {
  batch.removals.push_back(std::string(item_mark) + item);
}

}  // namespace robinpin::locus
