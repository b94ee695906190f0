// The mechanism of the source (docs/design.md, Kept): windows, table, change test, pick, trials.
#include <numeric>

#include "shared.h"

namespace robinpin {

constexpr int window_length = 50;                      // W
constexpr double trial_after = 50, fair_shares = 4;    // tp, and so many times a server's share of the calls
constexpr double ks_scale = 1.628;                     // alpha 0.01
constexpr int bins_per_sla = 25, pooled_samples = 10;  // h: bins of the shortest SLA time; of a new window
constexpr double told_tie = 0.4;  // rows as close tie where probes tell: a txn's own luck is in them

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

void Balancer::sample(Server& s, bool good, micros latency, bool trial, double pressed) {
  const micros usual = typical();
  if (good) learn_pace(s, latency, pressed, usual);
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

// Unchosen for tp calls, or for four of its turns where these come later: else hundreds of nodes send trials.
bool Balancer::unchosen(const Server& s, double circle_size) const {
  return calls - s.chosen_at >=
         s.wait_factor * std::max(trial_after, fair_shares * circle_size / s.line.size);
}

// Of the candidates the likeliest to answer in the time left; the tied by chance.
Server* Balancer::pick(const Txn& txn, std::vector<Near>& ranked) {
  const bool told = ranked.front().server->told_lately(now);
  const double best = std::max_element(ranked.begin(), ranked.end(), Near::lower)->rank;
  std::erase_if(ranked,
                [&](const Near& r) { return r.rank < best - (told ? told_tie : 1.0 / window_length); });
  if (told) return least_lag(txn, ranked);
  home_gives_way(ranked);
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

}  // namespace robinpin
