// Further postings: what budgets spare, and second copies of what is silent.
#include "shared.h"

namespace robinpin {

constexpr double repeats_share = 0.1;  // further postings, of the txns taken

bool Balancer::spares_another(const Txn& txn) const {
  const Allowed& a = txn.allowed;
  if (!txn.postings.empty() && !tally.spares(now, terms)) return false;  // the budget of further postings
  if (txn.postings.empty() || a.further < 0 || !a.spent) return true;
  return a.further > 0 && a.spent->further.read(now, memory) <= a.further * a.spent->taken.read(now, memory);
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

}  // namespace robinpin
