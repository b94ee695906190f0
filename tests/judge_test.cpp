// The judge: hand-made histories, each of which breaks exactly one rule, and one that breaks none.
#include <catch2/catch.hpp>

#include "../src/rehearse/history.h"

using namespace robinpin;
using namespace robinpin::rehearse;
using Catch::Matchers::Contains;

namespace {

constexpr micros ms = 1000, s = 1'000'000;

Grounds grounds() {
  Grounds g;
  g.schemes = {{"view", repeats::repeatable, group::all, 0, 500 * ms, 5},
               {"add", repeats::referenced, group::zone, 4 * s, s, 2},
               {"pay", repeats::once_only, group::all, 0, s, 5}};
  g.halls = {"ruwi", "seeb"};
  g.boxes = {"a", "b", "c"};
  g.nodes = {"n1", "n2"};
  g.box_zone = {0, 0, 1};
  g.box_cell = {0, 1, 100};
  g.until = 10 * s;
  return g;
}

Try asked(int scheme) {
  Try t;
  t.id = "x";
  t.scheme = scheme;
  t.taken = true;
  t.sent = s;
  t.expiry = 2 * s;
  t.answered = s + 300 * ms;
  t.how = answer::settled;
  return t;
}

Try::Posting came(int box, micros at, bool ran = true, micros over = -1) {
  Try::Posting p;
  p.box = box;
  p.came = at;
  p.ran = ran;
  p.over = over;
  return p;
}

History with(Try t, int effects = 1) {
  History h;
  Deal d;
  d.asked = t.sent;
  d.scheme = t.scheme;
  d.answered = t.how == answer::settled ? t.answered : -1;
  d.effects = effects;
  h.deals.push_back(d);
  h.begin(std::move(t));
  return h;
}

// The rule that is broken, once; 0: none.
int broken(const History& h, const Grounds& g = grounds()) {
  const Verdict v = judge(h, g);
  std::uint64_t sum = 0;
  int rule = 0;
  for (int i = 0; i < 4; ++i) {
    sum += v.counts[std::size_t(i)];
    if (v.counts[std::size_t(i)] > 0) rule = i + 1;
  }
  CHECK(sum <= 1);
  CHECK(v.breaks.size() == sum);
  return rule;
}

}  // namespace

TEST_CASE("what is served in time breaks nothing, whatever was turned away before or repeated where it may") {
  for (int scheme = 0; scheme < 3; ++scheme) {
    Try t = asked(scheme);
    t.postings = {came(0, s, false, s + 10 * ms), came(2, s + 20 * ms, true, s + 200 * ms)};
    CHECK(broken(with(t)) == 0);
  }
  Try copies = asked(0);
  copies.postings = {came(0, s), came(2, s + 100 * ms)};
  CHECK(broken(with(copies, 2)) == 0);
  Try again = asked(1);
  again.postings = {came(0, s), came(1, s + 100 * ms)};
  CHECK(broken(with(again)) == 0);
}

TEST_CASE("rule 1: never answered, late, spoilt, or sent again after the answer") {
  Try none = asked(0);
  none.how = answer::none;
  none.answered = -1;
  CHECK(broken(with(none)) == 1);
  Try cut = asked(0);
  cut.how = answer::broken;
  CHECK(broken(with(cut)) == 1);
  Try late = asked(0);
  late.answered = late.expiry + 51 * ms;
  CHECK(broken(with(late)) == 1);
  late.answered = late.expiry + 50 * ms;
  CHECK(broken(with(late)) == 0);
  Try spoilt = asked(0);
  spoilt.spoilt = true;
  CHECK(broken(with(spoilt)) == 1);
  Try after = asked(0);
  after.postings = {came(0, s), came(1, s + 351 * ms)};
  CHECK(broken(with(after)) == 1);
}

TEST_CASE("what a killed node held, what no node took and what its client left is nobody's fault") {
  Try t = asked(2);
  t.how = answer::none;
  t.answered = -1;
  for (bool Try::*why : {&Try::killed, &Try::left}) {
    Try excused = t;
    excused.*why = true;
    CHECK(broken(with(excused)) == 0);
  }
  t.taken = false;
  CHECK(broken(with(t)) == 0);
}

TEST_CASE("rule 2: once-only posted again where it may have run, or declined when it had") {
  Try twice = asked(2);
  twice.postings = {came(0, s, true), came(1, s + 100 * ms, false, s + 110 * ms)};
  CHECK(broken(with(twice)) == 2);
  Try unknown = asked(2);  // no answer yet, and it may still begin
  unknown.postings = {came(0, s, false), came(1, s + 100 * ms)};
  CHECK(broken(with(unknown)) == 2);
  Try declined = asked(2);
  declined.how = answer::declined;
  declined.postings = {came(0, s, true, s + 100 * ms)};
  CHECK(broken(with(declined)) == 2);
  declined.postings = {came(0, s, false, s + 100 * ms)};
  CHECK(broken(with(declined, 0)) == 0);
}

TEST_CASE("rule 2: one effect over all of a txn's tries, once-only or known by its mark") {
  Try t = asked(2);
  t.postings = {came(0, s, true, s + 100 * ms)};
  CHECK(broken(with(t, 2)) == 2);
  Try add = asked(1);
  add.postings = {came(0, s, true, s + 100 * ms)};
  CHECK(broken(with(add, 2)) == 2);
  CHECK(broken(with(asked(0), 2)) == 0);
}

TEST_CASE("rule 2: referenced outside its group or after its memory, two at once where forbidden, too many") {
  Try abroad = asked(1);
  abroad.postings = {came(0, s), came(2, s + 100 * ms)};
  CHECK(broken(with(abroad)) == 2);
  Try old = asked(1);
  old.expiry = old.answered = 9 * s;
  old.postings = {came(0, s), came(1, 5 * s + 51 * ms)};
  CHECK(broken(with(old)) == 2);
  old.postings[1].came = 5 * s;
  CHECK(broken(with(old)) == 0);
  Grounds g = grounds();
  g.second_copies = false;
  Try copies = asked(0);
  copies.postings = {came(0, s), came(1, s + 100 * ms)};
  CHECK(broken(with(copies), g) == 2);
  copies.postings[0].gone = true;
  CHECK(broken(with(copies), g) == 0);
  g.most_postings = 1;
  CHECK(broken(with(copies), g) == 2);
}

TEST_CASE(
    "rule 3: posted later than the grace after this node was told, another node's news is not its own") {
  Try t = asked(0);
  t.expiry = t.answered = 5 * s;
  t.postings = {came(0, 2 * s + 51 * ms, true, 3 * s)};
  History h = with(t);
  h.told = {{0, 0, 0, true}, {0, 0, s, false}};
  CHECK(broken(h) == 3);
  h.tries[0].postings[0].came = 2 * s + 50 * ms;
  CHECK(broken(h) == 0);
  h.tries[0].postings[0].came = 4 * s;
  h.told = {{1, 0, s, false}};
  CHECK(broken(h) == 0);
  h.told = {{0, 0, s, false}, {0, 0, 3 * s, true}};  // it came back meanwhile
  CHECK(broken(h) == 0);
}

TEST_CASE("rule 4: a cold box fell over, and those who knew sent two thirds of it") {
  History h = with(asked(0));
  h.falls = {{1, s, 0.66}};
  CHECK(broken(h) == 0);
  h.falls = {{1, s, 0.67}};
  CHECK(broken(h) == 4);
  CHECK_THAT(judge(h, grounds()).breaks[0].what, Contains("b fell over"));
}

TEST_CASE("service is the worth answered within the SLA time of the first try, by hall, scheme and window") {
  History h;
  for (const auto& [at, scheme, hall, answered] :
       std::vector<std::tuple<micros, int, int, micros>>{{s, 0, 0, s + 500 * ms},
                                                         {s, 0, 1, s + 501 * ms},
                                                         {6 * s, 1, 1, 6 * s + 900 * ms},
                                                         {7 * s, 2, 0, -1},
                                                         {11 * s, 0, 0, -1}}) {  // after what counts
    Deal d;
    d.asked = at;
    d.scheme = scheme;
    d.hall = hall;
    d.answered = answered;
    h.deals.push_back(d);
  }
  const Verdict v = judge(h, grounds());
  CHECK(v.txns == 4);
  CHECK(v.service.share() == Approx(7.0 / 17));
  CHECK(v.by_hall[0].share() == Approx(0.5));
  CHECK(v.by_scheme[1].share() == Approx(1));
  CHECK(v.windows[0][0].share() == Approx(1));
  CHECK(v.windows[1][0].share() == Approx(0));
  CHECK(v.latency == std::vector<double>{500, 501, 900});
}
