// robinpin's decisions, all of them: the ordered rules in run() are gone through after every input until none
// fires. Every posting passes may_post(), every final answer passes answer(): there the four rules are kept.
#include "robinpin/choice.h"

#include <numeric>
#include <utility>

namespace robinpin {
namespace {

constexpr int window_length = 50;                    // W
constexpr double trial_after = 50, fair_shares = 4;  // tp, and so many times a server's share of the calls
constexpr double ks_scale = 1.628;                   // alpha 0.01
constexpr double skip_factor = 2.0;  // over this many times the node's mean in flight: skipped
constexpr int bins_per_sla = 25, pooled_samples = 10;  // h: bins of the shortest SLA time; of a new window
constexpr int failures_seen = 2;                       // in a row: rebuild without a test
constexpr int turned_away = -1;                        // no scheme: refused whatever its scheme
constexpr double repeats_share = 0.1;                  // further postings, of the txns taken
constexpr double cores_guess = 2;    // calls a server works on side by side, where nothing tells
constexpr double room_factor = 1.6;  // room beyond the calm load by a txn's value, over all tiers
constexpr micros second = 1'000'000, never = micros(1) << 60;
constexpr double crossing_worth = 3;  // parts of latency at home that a point of a crossing's price is worth
constexpr double known_key = 0.6, crowded_home = 1.5;  // of the lag told; times the soonest foreseen
constexpr double calm_samples = 20;                    // the mean of fewer is no measure of calm
constexpr micros slow_memory = 30 * second, calm_memory = 300 * second;
constexpr micros circle_time = 2 * second;  // between calls to each server that a node keeps to
constexpr double least_circle = 6;          // servers
constexpr double narrow = 4;                // times less, where each server met keeps a connection
constexpr std::size_t most_unserved = 500;  // txns whose repeat may still come
constexpr micros asked_for = 9'000, just_told = 4'000;
constexpr std::size_t asked_at_once = 3;  // servers, before a txn's first posting
constexpr double told_tie = 0.4;          // rows as close tie where probes tell: a txn's own luck is in them
constexpr double surely = 0.97;  // of calls in time, at the lag told, less a tenth by value: else declined
constexpr micros pace = 20'000;  // between looks at what is held

template <typename Ranked, typename Condition>
void pass_over(Ranked& ranked, Condition condition) {
  if (!std::all_of(ranked.begin(), ranked.end(), condition)) std::erase_if(ranked, condition);
}

}  // namespace

Balancer::Balancer(Terms t, std::uint32_t seed, micros at)
    : terms(std::move(t)), chance(seed), now(at), started(at) {
  tenants.resize(terms.allowances.size());
  seen_.resize(terms.schemes.size());
  weigh_schemes();
  fit_bins();
  list_calls_ = asking::Calls(terms.ask_every, now, part_of_one());  // in step they would crowd the list
}

void Balancer::fit_bins() {
  micros shortest = terms.schemes.empty() ? second : terms.schemes[0].sla, longest = shortest;
  for (const auto& s : terms.schemes) {
    shortest = std::min(shortest, s.sla);
    longest = std::max(longest, s.expiry);
  }
  bin_width = std::max<micros>(1, std::max(shortest / bins_per_sla, longest / (most_bins - 2) + 1));
  bins = int(longest / bin_width) + 2;
}

void Balancer::build() {
  pooled.fill(0);
  for (auto& [id, s] : servers) {
    s.window.freeze(bins);
    for (std::size_t b = 0; b < most_bins; ++b) pooled[b] = std::uint16_t(pooled[b] + s.window.count[b]);
  }
}

// A new or mended server starts from what the others' windows hold together, its failures forgotten.
void Balancer::start_anew(Server& server) {
  server.failures = 0;
  server.wait_factor = 1;
  server.faults.clear();
  server.window.bins.clear();
  server.window.count.fill(0);
  const int total = std::accumulate(pooled.begin(), pooled.begin() + bins - 1, 0);  // overruns left out
  for (int b = 0, taken = 0, seen = 0; b + 1 < bins; ++b) {
    seen += pooled[std::size_t(b)];
    for (; taken < pooled_samples && (2 * taken + 1) * total <= 2 * pooled_samples * seen && total > 0;
         ++taken)
      server.window.take(b, window_length);
  }
}

// The server's load now against when its samples were taken: as a probe told, or by this node's own calls in
// flight, the other nodes taken to do as this one did.
double Balancer::crowding(const Server& s) const {
  if (s.told_lately(now)) return pressed(s);
  const double capacity = cores_guess * s.line.size, beside = s.crowd.mean(0);
  const double others = double(terms.nodes - 1) * beside;
  return (capacity + double(s.out.size()) + others) / (capacity + beside + others);
}

// F(b) of the table at the time left, shortened by the crowding. A posting silent for far longer than calls
// take counts as an overrun already, else a hung server would stay on top.
double Balancer::likely(const Server& s, micros left) const {
  const double b = double(left) / crowding(s) / double(bin_width);
  const auto bin = std::size_t(std::clamp(b, 0.0, double(bins - 2)));
  const auto silent =
      std::count_if(s.out.begin(), s.out.end(), [&](micros t) { return now - t > 4 * typical(); });
  const double size = std::max<double>(1, double(s.window.bins.size()));
  return (s.window.bins.empty() ? 1.0 : s.window.row[bin]) * size / (size + 3.0 * double(silent));
}

micros Balancer::foreseen(const Server& s) const {
  const micros usual = typical();
  const double mean = s.latency.leaning(now, memory, double(usual), 1);
  const micros oldest = s.out.empty() ? 0 : now - *std::min_element(s.out.begin(), s.out.end());
  return std::max(micros(mean * crowding(s)), oldest > 4 * usual ? oldest : 0);
}

void Balancer::sample(Server& s, bool good, micros latency, bool trial, double pressed) {
  const micros usual = typical();
  if (good) {
    s.latency.take(now, memory, double(latency) / pressed);
    // A few txns of many times the usual are no crowding; a node of few calls needs longer for a mean.
    const auto life = std::max(memory, micros(1.5 * calm_samples * seen_for() / arrivals.read(now, memory)));
    const double count = all_latency_.count.read(now, life);
    const bool known = count >= calm_samples || (count >= calm_samples / 3 && now - started >= second);
    // As a warm usual server would have: large ones that give way to small or cold look crowded.
    const auto even = micros(double(latency) / (s.kind ? s.kind->slow() : 1));
    if (cold_share(s) >= 1) all_latency_.take(now, life, double(known ? std::min(even, 3 * usual) : even));
    settled_.add(now, memory, 1);
    const double risen = calm_ * (1 + double(now - calm_at_) / double(calm_memory));
    if (known)
      calm_ = calm_ <= 0 ? double(usual)
                         : std::min(risen, calm_ + std::min(0.0, double(usual) - calm_) / calm_samples);
    calm_at_ = now;
  }
  s.failures = good ? 0 : s.failures + 1;
  // One quick failure among answers says nothing of a server: it would fall behind the tied for fifty calls.
  if (s.failures == 1 && !trial && latency <= 4 * usual) return;
  // A window slides by trials alone too slowly to let a mended server back: a good trial starts it anew.
  if (trial && good && latency <= 3 * usual) start_anew(s);
  if (trial) s.wait_factor = good ? 1 : std::min(8, 2 * s.wait_factor);
  s.window.take(good ? bin_of(micros(double(latency) / pressed)) : bins - 1, window_length);
  // Fifty calls hide a few failures from the test: a run of them rebuilds untested, as trials do.
  if (trial || s.failures >= failures_seen || s.window.change() > ks_scale) build();
}

// How many of this node's calls a server has room for: the larger of a least and of what it has in flight at
// its calm pace (settled a second x calm latency), their sum where no sizes are told. A crowded server stays
// slow. Inner tiers send what they get, paid for already, but pass such servers over.
double Balancer::room(double part, const Fading& settled, double worth) const {
  const double least = cores_guess * part * fleet_size / terms.nodes * (0.5 + worth);
  const double calm = (1 + room_factor / terms.tiers * worth) * settled.read(now, memory) / seen_for() *
                      (calm_ > 0 ? calm_ : double(typical()));
  return terms.sizes_told ? std::max(least, calm) : least + calm;
}

// What part of the txns one of many nodes lets in. Its own calls in flight are too few to limit what hundreds
// send, one each is a crowd already; so chance does, by how much slower than calm answers are.
double Balancer::admitted(double worth) const {
  if (terms.streams > 1 || calm_ <= 0) return 1;
  const double may_take = (1 + 0.5 * worth) * calm_ / double(typical());
  return std::pow(std::min(1.0, may_take), 4 * (1 - 1 / std::sqrt(double(terms.nodes))));
}

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

// Every posting passes here, whatever rule asks for it.
bool Balancer::may_post(const Txn& txn, const Server& s) const {
  if (txn.answered || txn.streaming || now >= txn.expiry) return false;  // rule 1
  if (int(txn.postings.size()) >= most_postings(txn) || !spares_another(txn)) return false;
  if (!s.serving()) return false;                            // rule 3, without using the grace
  if (cold_share(s) < 1 && s.cold_credit < 1) return false;  // rule 4
  if (txn.out() > 0 && !(terms.two_at_once && txn.allowed.two_at_once)) return false;  // rule 2, from here on
  const scheme_row& row = terms.schemes[std::size_t(txn.scheme)];
  const group within = std::max(row.within, txn.allowed.within);
  if (kind(txn) == repeats::repeatable) return true;
  for (const Posting& p : txn.postings) {
    if (p.never_ran) continue;
    if (kind(txn) == repeats::once_only) return false;
    if (now - p.sent >= std::min(row.memory, txn.allowed.memory) - 10 * pace) return false;
    if (within == group::zone && p.server->line.zone != s.line.zone) return false;
    if (within == group::cell && p.server->line.cell != s.line.cell) return false;
  }
  return true;
}

bool Balancer::may_decline(const Txn& txn) const {
  const scheme_row& row = terms.schemes[std::size_t(txn.scheme)];
  const bool harmless = std::max(row.within, txn.allowed.known_in) == group::all;
  return kind(txn) == repeats::repeatable || (kind(txn) == repeats::referenced && harmless) ||
         txn.never_ran();
}

bool Balancer::spares_another(const Txn& txn) const {
  const Allowed& a = txn.allowed;
  if (!txn.postings.empty() && !tally.spares(now, terms)) return false;  // the budget of further postings
  if (txn.postings.empty() || a.further < 0 || !a.spent) return true;
  return a.further > 0 && a.spent->further.read(now, memory) <= a.further * a.spent->taken.read(now, memory);
}

// Every final answer of ours passes here.
void Balancer::answer(const std::string& id, Txn& txn, cause why) {
  if (txn.answered) return;
  const bool declined = may_decline(txn) && now < txn.expiry;
  const micros advice = txn.allowed.come_back > 0 ? txn.allowed.come_back : 2 * typical();
  todo_.finals.push_back(
      {id, declined, declined && terms.advice_heeded ? std::min(terms.longest_advice, advice) : 0, why});
  close(id, txn, false);
}

void Balancer::close(const std::string& id, Txn& txn, bool served) {
  txn.answered = true;
  if (!served && terms.repeats_marked && terms.tier == 0) {
    unserved_.push_back({txn.scheme, txn.tenant, txn.key, txn.sla});
    if (unserved_.size() > most_unserved) unserved_.pop_front();
  }
  withdraw_but(id, txn, -1);
}

void Balancer::withdraw_but(const std::string& id, const Txn& txn, int kept) {
  if (!terms.may_withdraw) return;
  for (int n = 0; n < int(txn.postings.size()); ++n)
    if (n != kept && !txn.postings[std::size_t(n)].ended) todo_.withdrawals.push_back({id, n});
}

void Balancer::post(const std::string& id, Txn& txn, Server& s, bool trial) {
  if (!may_post(txn, s)) return;
  if (cold_share(s) < 1) s.cold_credit -= txn.cost;
  s.chosen_at = ++calls;
  s.on_trial = s.on_trial || trial;
  sent.add(now, memory, txn.cost);
  if (s.told_lately(now)) told_taken.take(now, 2 * memory, s.told);
  if (!txn.postings.empty()) {
    repeats_sent.add(now, memory, 1);
    ++tally.at(now, terms.resend_span).further;
    if (txn.allowed.spent) txn.allowed.spent->further.add(now, memory, 1);
  }
  txn.postings.push_back({&s, now, int(s.out.size()), trial, false, false, pressed(s)});
  s.holds(now);
  if (!txn.coming) s.out.push_back(now);
  todo_.sends.push_back({id, s.line.server, txn.allowed.wait});
}

// Unchosen for tp calls, or for four of its turns where these come later: else hundreds of nodes send trials.
bool Balancer::unchosen(const Server& s, double circle_size) const {
  return calls - s.chosen_at >=
         s.wait_factor * std::max(trial_after, fair_shares * circle_size / s.line.size);
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

// Time left to the SLA time, while it can be met; an answer after it earns nothing.
micros Balancer::time_left(const Txn& txn) const {
  return (txn.sla > now ? std::min(txn.sla, txn.expiry) : txn.expiry) - now;
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
  const bool told = ranked.front().server->told_lately(now);
  const double best = std::max_element(ranked.begin(), ranked.end(), Near::lower)->rank;
  std::erase_if(ranked,
                [&](const Near& r) { return r.rank < best - (told ? told_tie : 1.0 / window_length); });
  if (told) {  // the least lag; the key's first server, which knows it, at what it saves
    const Server* knows = std::min_element(ranked.begin(), ranked.end(), [&](const Near& a, const Near& b) {
                            return turn(txn, a) < turn(txn, b);
                          })->server;
    const auto lag = [&](const Near& r) {
      return r.server->told * (keyed(txn) && r.server == knows ? known_key : 1);
    };
    return std::min_element(ranked.begin(), ranked.end(),
                            [&](const Near& a, const Near& b) { return lag(a) < lag(b); })
        ->server;
  }
  // Those at home that are crowded give way, whatever a crossing costs.
  if (terms.price_crossing > 0) {
    micros soonest = never;
    for (const auto& r : ranked) soonest = std::min(soonest, foreseen(*r.server));
    const double slow = std::max(crowded_home * double(soonest), double(typical()));
    pass_over(ranked, [&](const auto& r) {
      return r.server->line.zone == terms.zone && double(foreseen(*r.server)) > slow;
    });
  }
  // Ties by capacity: a node of hundreds is not shown that the small are crowded. Of two drawn, the sooner.
  double tied = 0;
  for (const auto& r : ranked) tied += r.part;
  const auto draw = [&] {
    double left_over = tied * part_of_one();
    const auto drawn = [&](const Near& r) { return (left_over -= r.part) < 0; };
    return std::find_if(ranked.begin(), ranked.end() - 1, drawn)->server;
  };
  Server *const a = draw(), *const b = draw();
  return foreseen(*b) < foreseen(*a) ? b : a;
}

// What part of all calls would end in the time left, were they of its scheme and met the server as told.
double Balancer::in_time(const Txn& txn, const Server& s) const {
  const double of_scheme = seen_[std::size_t(txn.scheme)].latency.mean(double(typical())) / double(typical());
  const int most = int(double(time_left(txn)) / pressed(s) / std::max(0.1, of_scheme) / double(bin_width));
  const auto up_to = [&](int bin) { return std::accumulate(pooled.begin(), pooled.begin() + bin, 0); };
  const int all = up_to(bins);
  return all == 0 ? 1 : double(up_to(std::clamp(most + 1, 0, bins - 1))) / all;
}

// How much longer than usual calls take there, as told; not in proportion, a part waits for nothing.
double Balancer::pressed(const Server& s) const {
  const double usual = std::max(1.0, told_taken.mean(s.told));
  return s.told_lately(now) ? (usual + 2 * s.told) / (3 * usual) : 1;
}

// A draw by part, the least wins; where servers know keys again the same at every node for one key.
double Balancer::turn(const Txn& txn, const Near& r) {
  const double u = keyed(txn) ? mixed(txn.key ^ r.server->place) : part_of_one();
  return -std::log1p(-u) / std::max(1e-9, r.part);
}

// Servers report no load, and a node of few calls a second learns of it late: before a txn is posted some
// servers are asked by probes, whose lag tells it. Who is silent for longer than asked_for is not waited for.
bool Balancer::ask(Txn& txn) {
  if (!terms.may_probe || terms.tier > 0 || now <= txn.ready_at + Server::told_for) return false;
  auto near = circle().servers;
  std::erase_if(near,
                [&](const Near& n) { return n.server->failures >= failures_seen || n.server->probing; });
  for (Near& n : near) {
    n.part *= capacity(*n.server) * (n.server->line.zone == terms.zone ? 1 : abroad());
    n.rank = turn(txn, n);
  }
  std::sort(near.begin(), near.end(), Near::lower);
  near.resize(std::min(near.size(), asked_at_once));
  for (const Near& n : near) {
    if (n.server->asked > 0 || now - n.server->told_at < just_told) continue;
    n.server->asked = now;
    todo_.probes.push_back(n.server->line.server);
  }
  txn.ready_at = now + asked_for;
  return true;
}

bool Balancer::ready(const Txn& txn) const {
  return now >= txn.ready_at || std::none_of(servers.begin(), servers.end(), [&](const auto& e) {
           return e.second.asked > 0 && now - e.second.asked < asked_for;
         });
}

Decisions Balancer::run() {
  static constexpr std::array<rule, 6> rules = {&Balancer::ask_for_list,   &Balancer::give_up,
                                                &Balancer::post_next,      &Balancer::copy_silent,
                                                &Balancer::probe_unchosen, &Balancer::plan_wake};
  for (bool fired = true; fired;) {
    fired = false;
    for (rule r : rules) fired = (this->*r)() || fired;
  }
  std::erase_if(txns, [&](const auto& e) { return e.second.answered && e.second.out() == 0; });
  return std::exchange(todo_, {});
}

bool Balancer::ask_for_list() {
  if (!terms.ask_list || !list_calls_.due(now)) return false;
  todo_.list = list_call::watch;
  return true;
}

// What a scheme earns for its work (its mean latency stands for that), against the best of the house.
void Balancer::weigh_schemes() {
  double most = 0;
  for (std::size_t i = 0; i < terms.schemes.size(); ++i) {
    const double work = seen_[i].latency.leaning(now, memory, double(typical()), 1);
    seen_[i].earning = terms.schemes[i].revenue / (terms.by_work ? 1 : std::max(1.0, work));
    most = std::max(most, seen_[i].earning);
  }
  for (Seen& scheme : seen_) scheme.earning /= std::max(1e-9, most);
}

double Balancer::value(const Txn& txn) const {
  if (terms.tier == 0 && earns_no_more(txn)) return 0;
  return (txn.in_share ? 1 : terms.beyond_share) * (0.5 + 0.5 * seen_[std::size_t(txn.scheme)].earning);
}

// Held txns go out, the most valuable first, while there is room. Declined at once is what would hardly be
// answered in time, and the least of them where more wait than can go out while it may.
bool Balancer::post_next() {
  std::vector<std::pair<const std::string, Txn>*> held;
  for (auto& entry : txns)
    if (entry.second.held() && ready(entry.second)) held.push_back(&entry);
  if (held.empty()) return false;
  const auto before = [&](const auto* a, const auto* b) {
    const double x = value(a->second), y = value(b->second);
    return x != y ? x > y : a->second.taken < b->second.taken;
  };
  auto& [id, next] = **std::min_element(held.begin(), held.end(), before);
  if (terms.tier == 0 && next.postings.empty() && next.luck >= admitted(value(next))) {
    answer(id, next, cause::slow);
    return true;
  }
  bool trial = false;
  if (Server* s = choose(next, time_left(next), trial)) {
    const bool first = terms.tier == 0 && !trial && next.postings.empty(), told = s->told_lately(now);
    if (first && !told && ask(next)) return true;
    // Held for no use, it would keep those behind it waiting; an idle server is tried all the same.
    const double v = value(next), takes = double(foreseen(*s)) / double(time_left(next));
    if (first && !s->out.empty() && (told ? in_time(next, *s) < surely - 0.1 * v : takes > 0.4 + 0.3 * v))
      answer(id, next, cause::foreseen);
    else
      post(id, next, *s, trial);
    return true;
  }
  std::erase_if(held, [](const auto* e) { return !e->second.postings.empty(); });
  if (terms.tier > 0 || held.empty()) return false;
  auto& [least_id, least] = **std::max_element(held.begin(), held.end(), before);
  const double could_go = settled_.read(now, memory) / seen_for() * double(patience(least));
  if (double(held.size()) <= 1 + could_go) return false;
  answer(least_id, least, cause::no_room);
  return true;
}

// At its expiry a txn gets its answer. A held one that can't be answered in time is given up before posting:
// nothing is sent and answered in one input. Where connections carry many, what earns no more is called off.
bool Balancer::give_up() {
  bool fired = false;
  const bool call_off = terms.tier == 0 && terms.may_withdraw && terms.streams > 1;
  for (auto& [id, t] : txns) {
    if (t.answered || t.streaming) continue;
    const bool late_out = call_off && earns_no_more(t) && may_decline(t);
    if (now < t.expiry && !t.held() && !late_out) continue;
    const bool spent = int(t.postings.size()) >= most_postings(t) || !spares_another(t) || t.allowed.full;
    const bool stuck = kind(t) == repeats::once_only && !t.never_ran();
    const bool waited = terms.tier == 0 && now - t.taken > 2 * patience(t) && t.postings.empty();
    const bool late = t.expiry - now <= 2 * pace || earns_no_more(t);
    if (!spent && !stuck && !waited && !late) continue;
    answer(id, t, spent ? cause::spent : stuck ? cause::may_have_run : waited ? cause::waited : cause::late);
    fired = true;
  }
  return fired;
}

// A repeatable or referenced txn whose posting is silent for far longer than calls take gets a second one,
// where two at once are allowed and the share of further postings is not used up.
bool Balancer::copy_silent() {
  bool fired = false;
  for (auto& [id, t] : txns) {
    if (t.answered || t.streaming || t.out() != 1 || t.postings.size() != 1) continue;
    if (!terms.two_at_once || kind(t) == repeats::once_only || !t.allowed.two_at_once) continue;
    if (now - t.postings[0].sent < long_silence(t) || now >= t.sla) continue;
    if (repeats_sent.read(now, memory) > repeats_share * arrivals.read(now, memory)) continue;
    bool trial = false;
    Server* s = choose(t, time_left(t), trial);
    if (!s || s == t.postings[0].server) continue;
    post(id, t, *s, false);
    fired = true;
  }
  return fired;
}

// Where allowed, probes are the trials of servers left unchosen for tp calls.
bool Balancer::probe_unchosen() {
  if (!terms.may_probe) return false;
  bool fired = false;
  for (const Circle near = circle(); const auto& [s, part, none] : near.servers) {
    if (s->probing || s->asked > 0 || s->erring || !unchosen(*s, near.size)) continue;
    s->probing = true;
    s->chosen_at = calls;
    todo_.probes.push_back(s->line.server);
    fired = true;
  }
  return fired;
}

// Looked at again: what is held, every so often; what is out, when a rule may next act on it.
bool Balancer::plan_wake() {
  micros at = terms.ask_list ? list_calls_.next() : never;
  for (const auto& [id, t] : txns) {
    if (t.answered || t.streaming) continue;
    at = std::min(at, t.expiry);
    if (t.out() == 0) at = std::min(at, t.ready_at > now ? t.ready_at : now + pace);
    if (t.sla > now) at = std::min(at, t.sla);
    if (terms.two_at_once && t.postings.size() == 1 && now < t.sla) {
      const micros due = t.postings[0].sent + long_silence(t);
      at = std::min(at, t.allowed.copy_after > 0 && due > now ? due : std::max(now + 5 * pace, due));
    }
  }
  if (at == never || (wake_at_ > now && wake_at_ <= at)) return false;
  wake_at_ = at;
  todo_.wake_in = std::max<micros>(1, at - now);
  return false;
}

Decisions Balancer::list_told(micros at, const std::vector<Line>& lines, bool whole, bool asked) {
  now = at;
  if (asked) list_calls_.answered();
  if (whole)
    for (auto& [id, s] : servers) s.known = false;
  for (const Line& line : lines) {
    const auto [it, fresh] = servers.try_emplace(line.server);
    Server& s = it->second;
    const bool off = line.state != standing::serving, again = !fresh && line.started > s.line.started;
    s.line = line;
    s.line.size = terms.sizes_told && line.size > 0 ? line.size : 1;
    s.known = true, s.kind = &kinds[line.kind];
    s.told_off = !off ? -1 : s.told_off < 0 ? now : s.told_off;
    if (fresh || again) start_anew(s);
    if (fresh) s.chosen_at = calls;
  }
  for (auto& [id, s] : servers)
    if (!s.known && s.told_off < 0) s.told_off = now;
  // What is gone is forgotten with the last txn that was posted there.
  std::set<const Server*> held;
  for (const auto& [id, t] : txns)
    for (const Posting& p : t.postings) held.insert(p.server);
  std::erase_if(servers, [&](const auto& e) {
    return !held.contains(&e.second) && (!e.second.known || e.second.line.state == standing::gone);
  });
  draw_rings();
  build();
  return run();
}

Decisions Balancer::txn_taken(micros at, const std::string& id, int scheme, int tenant, micros left,
                              double cost, Allowed by_route, Said said) {
  now = at;
  Txn t;
  t.allowed = std::move(by_route);
  if (t.allowed.spent) t.allowed.spent->taken.add(now, memory, 1);
  t.scheme = scheme;
  t.taken = now;
  t.luck = part_of_one();
  t.expiry = now + left;
  t.tenant = tenant;
  t.key = said.key, t.coming = said.coming;
  const scheme_row& row = terms.schemes[std::size_t(scheme)];
  t.sla = now + std::min(row.expiry, row.sla + micros(row.sla_stretch * std::max(0.0, cost)));
  // A repeat's SLA time ran from its first try, which is no older than its wait lacks of the expiry. Of those
  // that may have been it, by scheme, tenant and key, the oldest; none, where clients go to another node.
  const micros soonest = now + row.sla - (row.expiry - left) - left / 50;
  const auto first = std::find_if(unserved_.begin(), unserved_.end(), [&](const Unserved& u) {
    return said.repeat && u.sla >= soonest && u.scheme == scheme && u.tenant == tenant && u.key == said.key;
  });
  micros& first_wait = seen_[std::size_t(scheme)].first_wait;
  if (!said.repeat) first_wait = left;
  if (first != unserved_.end()) {
    t.sla = first->sla;
    unserved_.erase(first);
  } else if (terms.tier == 0 && std::abs(left - first_wait) > left / 50) {
    t.sla -= row.expiry - left;
  } else if (said.repeat) {
    t.sla -= (row.expiry - left) / 2;  // as old as none, or as that: half way
  }
  if (cost > 0) hints.take(now, memory, cost);
  t.cost = cost > 0 ? cost / hints.mean(cost) : 1;  // a hint counts against the mean of the hints
  arrivals.add(now, memory, 1);
  ++tally.at(now, terms.resend_span).taken;
  if (tenant >= 0 && terms.tier == 0) {
    Fading& f = tenants[std::size_t(tenant)];
    const double a_second = terms.allowances[std::size_t(tenant)] / terms.nodes;
    t.in_share = f.read(now, memory) < a_second * double(memory) / double(second);
    if (t.in_share) f.add(now, memory, 1);
  }
  ask(t);
  txns.insert_or_assign(id, std::move(t));
  return run();
}

Decisions Balancer::posting_ended(micros at, const std::string& id, int n, ending how, micros lag, bool final,
                                  const Report*) {
  now = at;
  const auto it = txns.find(id);
  if (it == txns.end() || n < 0 || n >= int(it->second.postings.size())) return run();
  Txn& t = it->second;
  Posting& p = t.postings[std::size_t(n)];
  if (p.ended) return run();
  Server& s = *p.server;
  p.ended = true;
  p.never_ran = how == ending::refused || how == ending::unreachable || how == ending::moot;
  s.holds(now);
  if (const auto o = std::find(s.out.begin(), s.out.end(), p.sent); o != s.out.end()) s.out.erase(o);
  if (p.trial) s.on_trial = false;
  if (how == ending::settled) {
    s.crowd.take(now, memory, double(p.beside));
    Mean& usual = seen_[std::size_t(t.scheme)].latency;
    usual.take(now, memory, double(lag));
    weigh_schemes();
    const double part = std::min(5.0, double(lag) / std::max(1.0, t.cost * usual.mean(1)));
    if (s.kind) s.kind->take(now, slow_memory, part);
    const double of_kind = part / (s.kind ? s.kind->slow() : 1);
    s.pace.take(now, 2 * memory, of_kind);
    (s.line.zone == terms.zone ? at_home_ : away_).take(now, memory, of_kind);
  }
  // A posting that we called off, or that was never sent, says of its server only how long it was silent.
  if (how != ending::moot && (how != ending::withdrawn || lag > 4 * typical())) {
    // A probe is answered by a server that fails its txns, too: such a one gets its trials from txns.
    s.erring = how == ending::error;
    const int fault = how == ending::refused ? turned_away : t.scheme;
    if ((s.erring || fault == turned_away) && !fails(s, fault))
      s.faults[fault] = {s.faults[fault].in_a_row + 1, now};
    if (how == ending::settled) s.faults.erase(t.scheme), s.faults.erase(turned_away);
    if (how != ending::refused) sample(s, how == ending::settled, lag, p.trial, p.pressed);
  }
  if (final && !t.answered) close(id, t, how == ending::settled);
  return run();
}

Decisions Balancer::probe_answered(micros at, const std::string& server, bool ok, micros lag, const Report*) {
  now = at;
  const auto it = servers.find(server);
  if (it == servers.end()) return run();
  Server& s = it->second;
  s.probing = false;
  if (std::exchange(s.asked, 0) > 0) {
    // Its lag, less most of the way there, is work at the pace of now. Turned away it tells nothing.
    double& way = ways_[s.line.zone == terms.zone];
    if (ok) way = way > 0 ? std::min(way, double(lag)) : double(lag);
    s.told = ok ? std::max(20.0, double(lag) - 0.8 * way) : 0;
    s.told_at = now;
    if (!ok && lag >= typical()) sample(s, false, lag, false);
  } else if (ok && lag <= 3 * typical()) {
    // A trial does no txn's work: it tells life and death, and its lag only where it is worse than a call's.
    start_anew(s);
    build();
  } else {
    sample(s, false, lag, true);
  }
  return run();
}

}  // namespace robinpin
