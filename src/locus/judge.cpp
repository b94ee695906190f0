#include "judge.h"

#include <charconv>

#include "../rumour/wire.h"

namespace robinpin::locus {

namespace {
const Outcome taken{200, "{}"};
std::size_t size_of(const creed::Item& i) { return i.name.size() + i.text.size(); }
static_assert(most_item + rumour::full_datagram < rumour::longest_datagram);
}  // namespace

std::vector<creed::Item> View::changes() const {
  std::vector<creed::Item> items;
  for (const auto& [name, item] : above_) items.push_back(item);
  return items;
}

std::size_t View::standing() const {
  std::size_t n = stands_->standing();
  for (const auto& [name, item] : above_) {
    const creed::Item* held = stands_->find(name);
    n += std::size_t(!item.dropped);
    n -= std::size_t(held && !held->dropped);
  }
  return n;
}

std::size_t View::bytes() const {
  std::size_t n = stands_->bytes();
  for (const auto& [name, item] : above_) {
    const creed::Item* held = stands_->find(name);
    n += size_of(item);
    n -= held ? size_of(*held) : 0;
  }
  return n;
}

Call::Call(Order order) : is_(order.is) {
  if (is_ == Order::what::adjust)
    change_ = creed::read_call(order.text);
  else
    zone_ = std::move(order.text);
}

Outcome Call::judge(View& view) const {
  const auto drop_or_set = [&](std::string name, bool drop, std::string text) {
    const creed::Item* held = view.find(name);
    if (held ? held->dropped == drop && held->text == text : drop) return taken;
    view.put({std::move(name), held ? held->version + 1 : 1, drop, std::move(text), 0});
    return taken;
  };
  switch (is_) {
    case Order::what::read:
      return taken;
    case Order::what::begin:
      return drop_or_set(std::string(creed::evacuation_mark) + zone_, false, "{}");
    case Order::what::finish:
      return drop_or_set(std::string(creed::evacuation_mark) + zone_, true, "");
    case Order::what::size: {
      std::size_t n = 0;
      const auto [end, wrong] = std::from_chars(zone_.data(), zone_.data() + zone_.size(), n);
      if (wrong != std::errc() || end != zone_.data() + zone_.size() || n < 1 || n > 7)
        return {400, R"({"fault":"from 1 to 7 voters"})"};
      return drop_or_set(std::string(size_name), false, std::to_string(n));
    }
    case Order::what::adjust:
      break;
  }
  if (!change_.faults.empty()) return {400, creed::faults_as_json(change_.faults)};
  View after = view;
  std::vector<creed::Fault> clashes, faults;
  std::vector<bool> changes;
  std::size_t bytes = 0;
  for (const creed::Item& i : change_.items) {
    const creed::Item* held = after.find(i.name);
    changes.push_back(!held || held->version < i.version);
    if (held && held->version == i.version && !creed::same_wording(*held, i))
      clashes.push_back({i.name.substr(i.name.find('/') + 1),
                         "version " + creed::version_text(i.version) + " stands in another wording"});
    if (!changes.back()) continue;
    if (size_of(i) > most_item) return {413, R"({"fault":"no item may have over 48,000 bytes"})"};
    after.put(i), bytes += size_of(i);
  }
  // Of what changes nothing its services may have gone since: it was taken then, or overtaken.
  for (const creed::Need& n : change_.needs) {
    if (!changes[n.item]) continue;
    const creed::Item* held = after.find(n.service);
    if (!held || held->dropped)
      faults.push_back(
          {n.pointer, "target: nobody knows the service " + n.service.substr(n.service.find('/') + 1)});
  }
  if (!faults.empty()) return {400, creed::faults_as_json(faults)};
  if (!clashes.empty()) return {409, creed::faults_as_json(clashes)};
  if (bytes > most_change) return {413, R"({"fault":"one call brings at most 4,000,000 bytes of items"})"};
  if (bytes > 0 &&
      (after.standing() > creed::Creed::most_items || after.bytes() > creed::Creed::most_bytes) &&
      (after.standing() > view.standing() || after.bytes() > view.bytes()))
    return {507, R"({"fault":"no room: at most 20,000 items and 24,000,000 bytes stand"})"};
  view = std::move(after);
  return taken;
}

}  // namespace robinpin::locus
