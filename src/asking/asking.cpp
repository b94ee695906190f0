// When a node asks for its list, and what of an answer it takes: include/robinpin/asking.h.
#include "robinpin/asking.h"

namespace robinpin::asking {

namespace {
constexpr micros second = 1'000'000;
constexpr micros at_once = 100'000;        // an answer this soon was not waited for
constexpr int quick_allowed = 3;           // in a row: changes do come in bursts
constexpr micros longest_pause = 100'000;  // half of what ends a watch
}  // namespace

Calls::Calls(micros every, micros now, double chance)
    : every_(every), next_(now + micros(double(every) * first_spread * chance)) {}

bool Calls::due(micros now) {
  if (out_ || now < next_) return false;
  return out_ = true;
}

void Calls::answered() { wait_ = 0; }

void Calls::failed(micros now, double chance) {
  out_ = false;
  const micros most = std::max(second, micros(double(every_) * longest / 1.5));
  wait_ = std::clamp(2 * wait_, std::min(most, every_ / 10), most);
  next_ = now + micros(double(wait_) * (0.5 + chance));
}

taking Versions::judge(Heard heard) {
  const bool older = heard.version < known_;
  if (older && !(heard.whole && doubted_)) {
    doubted_ = true;
    return taking::bad_news;
  }
  known_ = heard.version;
  doubted_ = false;
  return taking::all;
}

micros Pace::pause(micros asked, micros answered, double chance) {
  quick_ = answered - asked < at_once ? quick_ + 1 : 0;
  return quick_ <= quick_allowed ? 0 : micros(double(longest_pause) * (0.5 + 0.5 * chance));
}

}  // namespace robinpin::asking
