// Candidates: which servers a txn may go to now, and what each is worth among them.
#include "shared.h"

namespace robinpin {

constexpr double skip_factor = 2.0;   // over this many times the node's mean in flight: skipped
constexpr double crossing_worth = 3;  // parts of latency at home that a point of a crossing's price is worth
constexpr double crowded_home = 1.5;  // times the soonest foreseen
constexpr micros circle_time = 2 * second;  // between calls to each server that a node keeps to
constexpr double least_circle = 6;          // servers
constexpr double narrow = 4;                // times less, where each server met keeps a connection

// Credit at this node's best pace of late to a warm server of its size (a node that declines most would
// starve the cold), times its warmth, from a random part of a call: the nodes' first calls come apart.
bool Balancer::cold_allows(Server& s, double able) {
  const double share = cold_share(s);
  if (share >= 1) return true;
  const double pace_now = sent.read(now, memory) / seen_for() * double(second) / std::max(1e-9, able);
  best_pace_ = std::max(pace_now, best_pace_ * std::exp(-double(now - best_pace_at_) / double(slow_memory)));
  best_pace_at_ = now;
  const double allowed = 0.4 * terms.tip_multiple * share * best_pace_ * s.line.size;  // calls a second
  if (s.credit_at < s.line.started || s.credit_at == 0) s.cold_credit = part_of_one(), s.credit_at = now;
  s.cold_credit += allowed * double(now - s.credit_at) / double(second);
  s.cold_credit = std::min(s.cold_credit, 1 + allowed * 0.25 * double(terms.tip_window) / double(second));
  s.credit_at = now;
  return s.cold_credit >= 1;
}

// An error leaves a server to other schemes for a while, being turned away to none; longer, if in a row.
bool Balancer::fails(const Server& s, int scheme) const {
  const auto f = s.faults.find(scheme);
  const micros base = scheme == turned_away ? second / 5 : second;
  if (f != s.faults.end() && now - f->second.at < base << std::min(4, f->second.in_a_row)) return true;
  return scheme != turned_away && fails(s, turned_away);
}

bool Balancer::avoids(const Server& s) const {
  return !s.serving() || s.failures >= failures_seen || fails(s, turned_away);
}

// What a server can do against others: its size, or what its kind's latencies show, corrected by its own.
double Balancer::capacity(const Server& s) const {
  return s.line.size * cold_share(s) / (s.pace.slow() * (terms.sizes_told || !s.kind ? 1 : s.kind->slow()));
}

void Balancer::draw_rings() {
  rings_ = {};
  for (auto& [id, s] : servers) {
    if (!s.serving()) continue;
    s.place = hashed(id);
    rings_[terms.price_crossing > 0 && s.line.zone != terms.zone].emplace_back(s.place, &s);
  }
  for (auto& ring : rings_) std::sort(ring.begin(), ring.end());
}

// The servers this node keeps to, to meet each often: an arc, as long as its pace is good for, from its own
// place on a ring alike at all nodes (one for those at home where crossings are priced). Those left to trials
// or cold count for what they can do.
Circle Balancer::circle() const {
  Circle found;
  const bool shared = terms.streams > 1;
  const double wanted =
      std::max(shared ? least_circle / 2 : least_circle,
               arrivals.read(now, memory) / seen_for() * double(circle_time) / (shared ? narrow : 1));
  const double place = std::fmod(0.6180339887 * terms.me, 1.0);  // even for whichever part of the numbers
  for (const auto& ring : rings_) {
    double length = 0;
    for (const auto& [at, s] : ring) length += s->line.size;
    double before = place * length, left = wanted * length / std::max<double>(1, double(ring.size()));
    std::size_t i = 0;
    for (; i < ring.size() && before >= ring[i].second->line.size; ++i) before -= ring[i].second->line.size;
    for (std::size_t n = 0; n < ring.size() && left > 0; ++n) {
      Server* s = ring[(i + n) % ring.size()].second;
      const double does = s->failures < failures_seen ? cold_share(*s) : 0.01;
      const double on_arc = std::min(left / does, s->line.size - before);
      found.servers.push_back({s, on_arc / s->line.size});
      found.size += on_arc;
      left -= on_arc * does;
      before = 0;
    }
  }
  return found;
}

// How much of the capacity away is drawn from: none while home is no slower; one now and then, to know.
double Balancer::abroad() const {
  if (terms.price_crossing <= 0) return 1;
  const double worth_it = 1 + crossing_worth * terms.price_crossing;
  return std::clamp((at_home_.slow() / away_.slow() - worth_it) / (worth_it - 1), 0.01, 1.0);
}

// Those at home that are crowded give way, whatever a crossing costs.
void Balancer::home_gives_way(std::vector<Near>& ranked) const {
  if (terms.price_crossing <= 0) return;
  micros soonest = never;
  for (const auto& r : ranked) soonest = std::min(soonest, foreseen(*r.server));
  const double slow = std::max(crowded_home * double(soonest), double(typical()));
  pass_over(ranked, [&](const auto& r) {
    return r.server->line.zone == terms.zone && double(foreseen(*r.server)) > slow;
  });
}

Server* Balancer::choose(const Txn& txn, micros left, bool& trial) {
  trial = false;
  std::vector<Near> ranked;
  bool all_fail = true;
  double in_flight = 0;
  const double worth = value(txn);
  const bool may_try = txn.postings.empty() && kind(txn) != repeats::once_only;
  const Circle near = circle();
  double able = 0;
  fleet_size = 0;  // a cold server counts for what it can do
  for (const auto& [id, s] : servers) fleet_size += s.serving() ? s.line.size * cold_share(s) : 0;
  for (const auto& [s, part, none] : near.servers) able += part * s->line.size * cold_share(*s);
  for (const auto& [s, part, none] : near.servers) {
    in_flight += double(s->out.size());
    cold_allows(*s, able);
    if (!may_post(txn, *s)) continue;
    all_fail = all_fail && s->failures >= failures_seen;
    // By the mean held, too: a room below one call would let every one of many nodes have one there.
    const double there = room(s->line.size / near.size, s->latency.count, worth);
    const bool crowded = double(s->out.size()) >= std::max(1.0, there) || s->holds(now) >= there;
    if (terms.tier == 0 && crowded && !s->told_lately(now)) continue;
    const bool again = !txn.postings.empty() && txn.postings.back().server == s;
    const double weight = capacity(*s) * part * (s->line.zone == terms.zone ? 1 : abroad());
    const double across = s->line.zone == terms.zone ? 0 : terms.rank_crossing * txn.allowed.crossing;
    ranked.push_back({s, weight, likely(*s, left) - across - (again ? 1 : 0)});
    if (may_try && (!terms.may_probe || s->erring) && !s->on_trial && unchosen(*s, near.size)) {
      trial = true;
      return s;
    }
  }
  // A node of a hundred answers knows to a tenth how slow they are (admitted()): its calls in flight stray by
  // more than the room spares, and what it then declined would make its pace, and so its room, smaller still.
  const bool few = terms.streams > 1 || settled_.read(now, memory) < 5 * calm_samples;
  if (terms.tier == 0 && few && in_flight >= std::max(1.0, room(1, settled_, worth))) return nullptr;
  const double mean = std::max(1.0, std::ceil(skip_factor * in_flight / near.size));
  // Who fails in a row is left to trials: with all others crowded, quick failures would draw everything.
  if (!all_fail) std::erase_if(ranked, [](const auto& r) { return r.server->failures >= failures_seen; });
  if (ranked.empty()) return nullptr;
  pass_over(ranked, [&](const Near& r) { return fails(*r.server, txn.scheme); });
  pass_over(ranked, [&](const Near& r) {
    const auto out = double(r.server->out.size());
    return out > mean * r.server->line.size ||
           out > std::max(1.0, room(r.server->line.size / near.size, r.server->latency.count, 1));
  });
  pass_over(ranked, [&](const Near& r) { return !r.server->told_lately(now); });
  return pick(txn, ranked);
}

}  // namespace robinpin
