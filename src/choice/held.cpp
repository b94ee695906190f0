// Held txns: which goes out next, which is declined or given up, by what they are worth and what is foreseen.
#include <numeric>

#include "shared.h"

namespace robinpin {

constexpr double surely = 0.97;  // of calls in time, at the lag told, less a tenth by value: else declined

// What part of all calls would end in the time left, were they of its scheme and met the server as told.
double Balancer::in_time(const Txn& txn, const Server& s) const {
  const double of_scheme = seen_[std::size_t(txn.scheme)].latency.mean(double(typical())) / double(typical());
  const int most = int(double(time_left(txn)) / pressed(s) / std::max(0.1, of_scheme) / double(bin_width));
  const auto up_to = [&](int bin) { return std::accumulate(pooled.begin(), pooled.begin() + bin, 0); };
  const int all = up_to(bins);
  return all == 0 ? 1 : double(up_to(std::clamp(most + 1, 0, bins - 1))) / all;
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

}  // namespace robinpin
