#include "voter.h"

#include <algorithm>

namespace robinpin::consensus {

Voter::Voter(Memory memory, bool again)
    : memory_(std::move(memory)), standing_(again ? verdict::returning : verdict::yes) {
  witnesses_.insert(memory_.store);
  if (memory_.voters.majority(witnesses_)) standing_ = verdict::yes;  // there is nobody to ask
}

Change Voter::next() {
  Change c;
  c.counter = ++memory_.counter;
  return c;
}

Heard Voter::ask(const Ask& a) {
  Heard h;
  Reply& r = h.reply;
  r.what = a.what;
  r.ballot = a.ballot;
  r.store = memory_.store;
  const auto end = [&](verdict how) {
    r.how = how;
    r.counter = memory_.counter;
    return h;
  };
  if (a.store != memory_.store) return end(verdict::not_me);
  if (standing_ != verdict::yes) return end(standing_);
  if (a.voters.version < memory_.voters.version) {
    // Else a majority of earlier voters could still settle something that the present ones never hear of.
    r.voters = memory_.voters;
    return end(verdict::stale);
  }
  if (!a.voters.seat(memory_.store)) return end(verdict::not_me);
  const bool newer = a.voters.version > memory_.voters.version;
  if (newer) memory_.voters = a.voters;
  const auto changed = [&] {
    if (!h.change) h.change = next();
    if (newer) h.change->voters = memory_.voters;
    for (const auto& [store, counter] : a.seen)
      if (auto& known = memory_.seen[store];
          counter > known && store != memory_.store && memory_.voters.seat(store))
        h.change->seen.emplace_back(store, known = counter);
  };
  if (newer) changed();
  if (a.what == phase::names) {
    for (const auto& [name, slot] : memory_.slots)
      if (slot.accepted.round > 0) r.names.push_back(name);
    return end(verdict::yes);
  }
  const auto it = memory_.slots.find(a.name);
  const Slot before = it == memory_.slots.end() ? Slot{} : it->second;
  r.promised = before.promised;
  r.accepted = before.accepted;
  r.value = before.value;
  if (a.what == phase::look) return end(verdict::yes);
  if (a.what == phase::prepare ? a.ballot <= before.promised : a.ballot < before.promised)
    return end(verdict::lower);
  if (a.name.empty() || a.name.size() > longest_name || a.value.text.size() > longest_value ||
      (it == memory_.slots.end() && memory_.slots.size() >= most_registers))
    return end(verdict::full);
  Slot& slot = memory_.slots[a.name];
  slot.promised = a.ballot;
  if (a.what == phase::accept) {
    slot.accepted = a.ballot;
    slot.value = a.value;
  }
  changed();
  h.change->name = a.name;
  h.change->slot = slot;
  r.promised = slot.promised;
  return end(verdict::yes);
}

std::optional<Change> Voter::found(const Voters& voters) {
  if (memory_.voters.version > 0 || voters.version != 1 || !voters.seat(memory_.store)) return std::nullopt;
  memory_.voters = voters;
  const Ballot first{1, "founded"};
  const std::string name(voters_register);
  Slot& slot = memory_.slots[name] = {first, first, {1, voters.text(), "founded"}};
  Change c = next();
  c.voters = voters;
  c.name = name;
  c.slot = slot;
  return c;
}

std::optional<Change> Voter::told(const Voters& voters) {
  if (voters.version <= memory_.voters.version) return std::nullopt;
  memory_.voters = voters;
  Change c = next();
  c.voters = voters;
  return c;
}

std::optional<Change> Voter::saw(const std::string& store, std::uint64_t counter) {
  if (store == memory_.store || !memory_.voters.seat(store)) return std::nullopt;
  auto& known = memory_.seen[store];
  if (counter <= known) return std::nullopt;
  known = counter;
  Change c;  // no promise of its own: else two voters would count each other's counts for ever
  c.counter = memory_.counter;
  c.seen.emplace_back(store, counter);
  return c;
}

std::uint64_t Voter::seen_of(const std::string& store) const {
  const auto it = memory_.seen.find(store);
  return it == memory_.seen.end() ? 0 : it->second;
}

void Voter::witnessed(const std::string& by, std::uint64_t counter) {
  if (counter > memory_.counter)
    standing_ = verdict::older;  // an older copy: what it promised since is forgotten
  if (!memory_.voters.seat(by)) return;
  witnesses_.insert(by);
  if (standing_ == verdict::returning && memory_.voters.majority(witnesses_)) standing_ = verdict::yes;
}

void apply(Memory& memory, const Change& change) {
  memory.counter = change.counter;
  if (!change.name.empty()) memory.slots[change.name] = change.slot;
  if (change.voters) memory.voters = *change.voters;
  for (const auto& [store, counter] : change.seen) memory.seen[store] = counter;
}

}  // namespace robinpin::consensus
