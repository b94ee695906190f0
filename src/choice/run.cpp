// The order of the rules, gone through after every input until none fires; and when to look again.
#include "shared.h"

namespace robinpin {

Balancer::Balancer(Terms t, std::uint32_t seed, micros at)
    : terms(std::move(t)), chance(seed), now(at), started(at) {
  tenants.resize(terms.allowances.size());
  seen_.resize(terms.schemes.size());
  weigh_schemes();
  fit_bins();
  list_calls_ = asking::Calls(terms.ask_every, now, part_of_one());  // in step they would crowd the list
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

}  // namespace robinpin
