// The module takes on other terms while it runs: what it knows (servers, windows, calls in flight) is kept,
// and a txn taken before ends by the stricter of both. It decides nothing about a txn: that is src/choice/.
#include <utility>

#include "robinpin/choice.h"

namespace robinpin {

std::string Balancer::bound_by(const Terms& next) const {
  std::string why;
  const auto same = [&](bool is, const char* what) {
    if (!is) why += std::string(why.empty() ? "" : ", ") + what;
  };
  same(next.schemes.size() >= terms.schemes.size(),
       "fewer rows of Schemes");  // numbers are kept: they only grow
  same(next.allowances.size() >= terms.allowances.size(), "fewer rows of Tenants");
  same(next.tier == terms.tier && next.tiers == terms.tiers, "Tier or Stages");
  same(next.ask_list == terms.ask_list, "Discovery");
  same(next.ask_every == terms.ask_every, "Guarantees.AskEvery");
  return why;
}

Decisions Balancer::adopt(micros at, Terms next) {
  now = at;
  if (!bound_by(next).empty()) return run();
  for (auto& [id, t] : txns) {
    const scheme_row& was = terms.schemes[std::size_t(t.scheme)];
    t.promised = true;
    t.allowed.kind = std::max(t.allowed.kind, was.kind);
    t.allowed.within = std::max(t.allowed.within, was.within);
    t.allowed.known_in = std::max(t.allowed.known_in, was.within);
    if (was.kind == repeats::referenced) t.allowed.memory = std::min(t.allowed.memory, was.memory);
    t.allowed.postings = std::min(t.allowed.postings, terms.most_postings);
    t.allowed.two_at_once = t.allowed.two_at_once && terms.two_at_once;
  }
  const micros width = bin_width;
  const int overrun = bins - 1;
  if (next.resend_span !=
      terms.resend_span) {  // other slots: all that was posted further counts as posted now
    int further = 0;
    for (const auto& slot : tally.ring) further += slot.further;
    tally = {};
    tally.at(now, next.resend_span).further = further;
  }
  terms = std::move(next);
  tenants.resize(terms.allowances.size());
  seen_.resize(terms.schemes.size());
  weigh_schemes();
  fit_bins();
  for (auto& [id, s] : servers) {
    const auto held = std::exchange(s.window.bins, {});
    s.window.count.fill(0);
    for (const int b : held)
      s.window.take(b == overrun ? bins - 1 : std::min(bin_of(b * width), bins - 2), int(held.size()));
  }
  draw_rings();
  build();
  return run();
}

}  // namespace robinpin
