#include "register.h"

#include <algorithm>

namespace robinpin::consensus {

namespace {

bool most_of(const std::vector<Seat>& seats, const std::set<std::string>& stores) {
  const auto n =
      std::count_if(seats.begin(), seats.end(), [&](const Seat& s) { return stores.contains(s.store); });
  return 2 * std::size_t(n) > seats.size();
}

}  // namespace

std::vector<Seat> Voters::all() const {
  std::vector<Seat> both = now;
  for (const Seat& s : next)
    if (std::none_of(now.begin(), now.end(), [&](const Seat& o) { return o.store == s.store; }))
      both.push_back(s);
  return both;
}

const Seat* Voters::seat(std::string_view store) const {
  for (const auto* set : {&now, &next})
    for (const Seat& s : *set)
      if (s.store == store) return &s;
  return nullptr;
}

bool Voters::majority(const std::set<std::string>& stores) const {
  return !now.empty() && most_of(now, stores) && (next.empty() || most_of(next, stores));
}

// A line a seat: the set, the voter, its store, its address. None of them holds a blank.
std::string Voters::text() const {
  std::string out;
  for (const auto* set : {&now, &next})
    for (const Seat& s : *set)
      out += std::string(set == &now ? "now " : "next ") + s.voter + " " + s.store + " " + s.address + "\n";
  return out;
}

std::optional<Voters> Voters::read(std::uint64_t version, std::string_view text) {
  Voters v;
  v.version = version;
  while (!text.empty()) {
    const auto end = text.find('\n');
    if (end == std::string_view::npos) return std::nullopt;
    std::string_view line = text.substr(0, end);
    text.remove_prefix(end + 1);
    std::vector<std::string> words;
    for (std::size_t at = 0; at <= line.size();) {
      const auto blank = std::min(line.find(' ', at), line.size());
      words.emplace_back(line.substr(at, blank - at));
      at = blank + 1;
    }
    if (words.size() != 4 || words[1].empty() || words[2].empty() ||
        (words[0] != "now" && words[0] != "next"))
      return std::nullopt;
    (words[0] == "now" ? v.now : v.next).push_back({words[1], words[2], words[3]});
  }
  if (v.now.empty() || v.now.size() > most_voters || v.next.size() > most_voters) return std::nullopt;
  return v;
}

}  // namespace robinpin::consensus
