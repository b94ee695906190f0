// Probes: servers asked how loaded they are before a posting, and the trials of those left unchosen.
#include "shared.h"

namespace robinpin {

constexpr double known_key = 0.6;  // of the lag told
constexpr micros asked_for = 9'000, just_told = 4'000;
constexpr std::size_t asked_at_once = 3;  // servers, before a txn's first posting

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

// Among those told: the least lag; the key's first server, which knows it, at what it saves.
Server* Balancer::least_lag(const Txn& txn, const std::vector<Near>& ranked) {
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
