#include "load.h"

#include <algorithm>
#include <cmath>

namespace robinpin::model {

namespace {

std::size_t drawn_of(const std::vector<double>& shares, double part) {
  double sum = 0;
  for (const double s : shares) sum += s;
  double left = part * sum;
  for (std::size_t i = 0; i + 1 < shares.size(); ++i)
    if ((left -= shares[i]) < 0) return i;
  return shares.size() - 1;
}

double rate_at(const Mix& m, const std::vector<Jump>& jumps, micros t, micros length,
               const std::vector<double>& bursts) {
  double rate = m.rate;
  const double part = double(t) / double(std::max<micros>(1, length));
  constexpr double pi = 3.14159265358979;
  if (m.form == shape::ramp) rate *= 1 + m.swing * (2 * part - 1);
  if (m.form == shape::wave) rate *= 1 + m.swing * std::sin(2 * pi * double(t) / double(m.turn));
  if (m.form == shape::bursty) rate *= bursts[std::size_t(t / m.turn) % bursts.size()];
  for (const Jump& j : jumps)
    if (t >= j.from && t < j.until) rate *= j.times;
  return rate;
}

}  // namespace

std::vector<Wanted> drawn(const Mix& mix, const std::vector<Jump>& jumps, micros length, std::uint64_t seed) {
  std::vector<double> schemes, tenants, bursts;
  for (const auto& s : mix.schemes) schemes.push_back(s.share);
  for (const auto& t : mix.tenants) tenants.push_back(t.share);
  Chance shape(seed, "shape"), times(seed, "arrivals");
  for (micros t = 0; t <= length; t += mix.turn) bursts.push_back(1 + mix.swing * (shape.hits(0.5) ? 1 : -1));
  double most = mix.rate * (1 + mix.swing);
  for (const Jump& j : jumps) most *= std::max(1.0, j.times);
  std::vector<Wanted> all;
  double at = 0;
  // Thinning: arrivals at the highest rate, each kept by what the rate then is of it.
  for (std::uint64_t candidate = 0;; ++candidate) {
    at += times.exponential(1e6 / most);
    if (at >= double(length)) return all;
    Chance own(seed, "txn", candidate);
    if (!own.hits(rate_at(mix, jumps, micros(at), length, bursts) / most)) continue;
    Wanted w;
    w.at = micros(at);
    w.number = candidate;
    w.scheme = int(drawn_of(schemes, own.part()));
    const double tenant = own.part();
    if (!tenants.empty()) w.tenant = int(drawn_of(tenants, tenant));
    w.hall = int(drawn_of(mix.halls, own.part()));
    const SchemeOf& s = mix.schemes[std::size_t(w.scheme)];
    w.work = own.around(s.work, s.spread);
    all.push_back(w);
  }
}

int calls_of(const Mix& mix, std::size_t tier, std::uint64_t number, std::uint64_t seed) {
  if (tier >= mix.calls.size()) return 0;
  const auto [low, high] = mix.calls[tier];
  Chance own(seed, "calls", number * 8 + tier);
  const double mean = (low + high) / 2;
  const int whole = int(mean);
  return whole + (own.hits(mean - whole) ? 1 : 0);
}

micros patience(const Manners& m, const SchemeOf& s, int n, micros since) {
  const micros wait = n >= m.retries ? s.expiry : micros(m.try_share * double(s.expiry));
  return m.marks ? std::min(wait, s.expiry - since) : wait;
}

micros again(const Manners& m, const SchemeOf& s, int n, heard how, micros come_back, micros asked,
             micros now, Chance& chance) {
  if (how == heard::settled || n >= m.retries) return -1;
  const bool harmless = how == heard::declined || how == heard::unreachable;
  if (s.kind == repeats::once_only && !harmless) return -1;
  if (s.kind == repeats::referenced && !harmless && s.within != group::all) return -1;
  micros wait = m.wait;
  if (m.doubling) wait <<= std::min(n, 10);
  wait = micros(double(wait) * chance.from(0.5, 1.5));
  if (how == heard::declined && come_back > 0 && chance.hits(m.heeds))
    wait = std::max(wait, std::min(come_back, m.longest_advice));
  // A mark is known for so long: a repeat that would still run after that is not sent.
  if (s.kind == repeats::referenced && !harmless && now + wait + s.expiry - asked >= s.memory) return -1;
  return wait;
}

}  // namespace robinpin::model
