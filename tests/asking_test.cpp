// When the list is asked for, and what of an answer is taken: a fleet that asks together, versions that go
// back.
#include "help.h"

using namespace robinpin;
using namespace robinpin::asking;
using namespace robinpin::help;

namespace {

constexpr micros every = 10'000 * ms;

// The most calls of a hundred nodes in any tenth of a second.
int most_at_once(std::vector<micros> calls) {
  std::sort(calls.begin(), calls.end());
  std::ptrdiff_t most = 0;
  for (auto from = calls.begin(), to = from; from != calls.end(); ++from) {
    while (to != calls.end() && *to < *from + 100 * ms) ++to;
    most = std::max(most, to - from);
  }
  return int(most);
}

}  // namespace

TEST_CASE("a hundred nodes that start together ask at moments of their own, within two fifths of AskEvery") {
  std::vector<micros> calls;
  for (std::uint32_t seed = 0; seed < 100; ++seed) {
    Terms t = terms();
    t.ask_list = true;
    t.ask_every = every;
    Balancer b(t, seed, noon);
    const Decisions d = b.woke(noon);
    calls.push_back(d.list == list_call::watch ? 0 : d.wake_in);
  }
  CHECK(most_at_once(calls) <= 12);  // evenly it would be 2.5
  CHECK(*std::max_element(calls.begin(), calls.end()) <= 4000 * ms);
}

TEST_CASE(
    "a hundred nodes that lose discovery together come back one by one, later each time, within AskEvery") {
  std::mt19937 chance(3);
  std::vector<Calls> nodes(100, Calls(every, noon, 0));
  for (Calls& n : nodes) REQUIRE(n.due(noon));
  micros longest_yet = 0;
  for (int time = 1; time <= 8; ++time) {
    std::vector<micros> calls;
    for (Calls& n : nodes) {
      n.failed(noon, double(chance()) / 4294967296.0);
      calls.push_back(n.next() - noon);
      CHECK_FALSE(n.due(n.next() - 1));
      CHECK(n.due(n.next()));
      CHECK(n.next() == never);  // while a call is out
    }
    const micros last = *std::max_element(calls.begin(), calls.end());
    CHECK(last >= longest_yet - 500 * ms);
    CHECK(last <= every * 9 / 10);
    CHECK(most_at_once(calls) <= (time == 1 ? 25 : 20));
    longest_yet = last;
  }
}

TEST_CASE("an answer ends the waiting for longer each time") {
  Calls c(every, noon, 0);
  for (int i = 0; i < 5; ++i) c.failed(noon, 0.5);
  CHECK(c.next() - noon > 5000 * ms);
  c.answered();
  c.failed(noon, 0.5);
  CHECK(c.next() - noon == 1000 * ms);
}

TEST_CASE("of an older version only bad news is taken, until versions are seen to be counted anew") {
  Versions v;
  CHECK(v.judge({41, true}) == taking::all);
  CHECK(v.judge({41, false}) == taking::all);
  CHECK(v.judge({43, false}) == taking::all);
  CHECK(v.after() == 43);
  CHECK(v.judge({40, false}) == taking::bad_news);
  CHECK(v.after() == 0);                            // the whole list is asked for
  CHECK(v.judge({42, false}) == taking::bad_news);  // a change still tells nothing
  SECTION("it was a late copy") {
    CHECK(v.judge({44, true}) == taking::all);
    CHECK(v.after() == 44);
  }
  SECTION("counted anew") {
    CHECK(v.judge({2, true}) == taking::all);
    CHECK(v.after() == 2);
    CHECK(v.judge({3, false}) == taking::all);
  }
}

TEST_CASE("answers that come at once, again and again, slow the watch without ending it") {
  Pace p;
  for (int i = 0; i < 3; ++i) CHECK(p.pause(noon, noon + ms, 0.9) == 0);
  for (int i = 0; i < 3; ++i) {
    CHECK(p.pause(noon, noon + ms, 0) == 50 * ms);
    CHECK(p.pause(noon, noon + ms, 0.999) < 100 * ms);
  }
  CHECK(p.pause(noon, noon + 2000 * ms, 0.9) == 0);
  CHECK(p.pause(noon, noon + ms, 0.9) == 0);
}
