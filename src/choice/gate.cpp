// The gate: every posting passes may_post(), every final answer answer(). There the four rules are kept.
#include "shared.h"

namespace robinpin {

constexpr std::size_t most_unserved = 500;  // txns whose repeat may still come

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

}  // namespace robinpin
