#include "members.h"

#include <algorithm>
#include <cmath>

namespace robinpin::members {

namespace {
constexpr double fade = 0.98;  // of the sums, at each beat: some fifty beats count
constexpr double doubt_from = 3, silent_from = 8;
constexpr micros twice_for = 10'000'000;  // told so long after it was seen last
}  // namespace

void Beats::came(micros gap) {
  const double g = double(gap);
  n_ = n_ * fade + 1;
  sum_ = sum_ * fade + g;
  squares_ = squares_ * fade + g * g;
}

double Beats::suspicion(micros silent, micros every) const {
  // What it says stands for some beats of its own: the first few say little of their spread.
  const double said = double(every), own = 3;
  const double n = n_ + own, mean = (sum_ + own * said) / n;
  const double around = (squares_ + own * (said * said + said * said / 16)) / n - mean * mean;
  // Beats that came like clockwork do not make the first late one a death.
  const double spread = std::max(std::sqrt(std::max(0.0, around)), mean / 8);
  const double z = (double(silent) - mean) / spread;
  return z <= 0 ? 0 : -std::log10(std::max(1e-300, std::erfc(z / std::sqrt(2.0)) / 2));
}

const char* word(standing s) {
  return s == standing::heard ? "heard" : s == standing::doubtful ? "doubtful" : "silent";
}

standing Table::standing_of(double suspicion) {
  return suspicion >= silent_from  ? standing::silent
         : suspicion >= doubt_from ? standing::doubtful
                                   : standing::heard;
}

Table::taken Table::beat(const About& about, micros now) {
  auto it = rows_.find(about.name);
  if (it == rows_.end()) {
    if (rows_.size() >= most_members) return taken::full;
    Row r;
    r.about = about;
    r.since = r.last = now;
    rows_.emplace(about.name, std::move(r));
    return taken::fresh;
  }
  Row& r = it->second;
  if (about.incarnation == r.about.incarnation) {
    r.beats.came(now - r.last);
    r.about = about;
    r.last = now;
    return taken::known;
  }
  if (std::find(r.former.begin(), r.former.end(), about.incarnation) != r.former.end()) {
    // One that was paused, or a copy: its successor stands, and the two are told.
    r.twice_at = now;
    return taken::twice;
  }
  r.former.push_back(r.about.incarnation);
  if (r.former.size() > most_former) r.former.erase(r.former.begin());
  r.about = about;
  r.beats = {};
  r.since = r.last = now;
  ++r.starts;
  return taken::restarted;
}

std::vector<Seen> Table::all(micros now) {
  std::vector<Seen> seen;
  std::erase_if(rows_, [&](const auto& r) { return now - r.second.last > forgotten_after; });
  for (const auto& [name, r] : rows_) {
    Seen s;
    s.about = r.about;
    s.suspicion = r.beats.suspicion(now - r.last, r.about.every);
    s.is = standing_of(s.suspicion);
    s.since = now - r.since;
    s.last = now - r.last;
    s.starts = r.starts;
    s.twice = now - r.twice_at < twice_for;
    seen.push_back(std::move(s));
  }
  return seen;
}

}  // namespace robinpin::members
