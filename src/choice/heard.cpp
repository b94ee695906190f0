// What is heard: list, txns taken, postings that ended; and what of it is kept.
#include "shared.h"

namespace robinpin {

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

}  // namespace robinpin
