// Who is heard, and how sure it is that a silent one is gone.
#include "../src/members/members.h"

#include <catch2/catch.hpp>

using namespace robinpin::members;

namespace {

constexpr micros ms = 1000;

About node(const std::string& name, const std::string& incarnation = "1") {
  About a;
  a.name = name;
  a.incarnation = incarnation;
  a.every = 100 * ms;
  return a;
}

const Seen& row(const std::vector<Seen>& all, const std::string& name) {
  for (const auto& s : all)
    if (s.about.name == name) return s;
  FAIL("no such row: " << name);
  return all[0];
}

}  // namespace

TEST_CASE("one whose beats stray is waited for longer than one whose beats come like clockwork") {
  Beats steady, straying;
  for (int i = 0; i < 60; ++i) {
    steady.came(100 * ms);
    straying.came((i % 2 ? 30 : 170) * ms);
  }
  CHECK(steady.suspicion(200 * ms, 100 * ms) > straying.suspicion(200 * ms, 100 * ms));
  CHECK(steady.suspicion(90 * ms, 100 * ms) == 0);
  CHECK(Table::standing_of(steady.suspicion(130 * ms, 100 * ms)) ==
        standing::heard);  // one late beat is no death
  CHECK(Table::standing_of(straying.suspicion(2000 * ms, 100 * ms)) == standing::silent);
}

TEST_CASE("a node that has beaten once only is judged by the pace that it told") {
  Table t;
  t.beat(node("a"), 0);
  CHECK(row(t.all(110 * ms), "a").is == standing::heard);
  CHECK(row(t.all(2000 * ms), "a").is == standing::silent);
}

TEST_CASE(
    "a restarted node is a new incarnation, a paused one that comes back is told as a second, and does not "
    "take its place") {
  Table t;
  CHECK(t.beat(node("a", "first"), 0) == Table::taken::fresh);
  CHECK(t.beat(node("a", "first"), 100 * ms) == Table::taken::known);
  CHECK(t.beat(node("a", "second"), 300 * ms) == Table::taken::restarted);
  CHECK(t.beat(node("a", "first"), 400 * ms) == Table::taken::twice);
  const Seen s = row(t.all(410 * ms), "a");
  CHECK(s.about.incarnation == "second");
  CHECK(s.twice);
  CHECK(s.starts == 2);
  CHECK(t.size() == 1);
  CHECK_FALSE(row(t.all(60'000 * ms), "a").twice);
}

TEST_CASE("members are bounded, and who has been silent for long is forgotten") {
  Table t;
  for (std::size_t i = 0; i < most_members; ++i) t.beat(node("n" + std::to_string(i)), 0);
  CHECK(t.beat(node("one more"), 0) == Table::taken::full);
  CHECK(t.beat(node("n7"), forgotten_after) == Table::taken::known);
  CHECK(t.all(forgotten_after + 1).size() == 1);
  CHECK(t.beat(node("one more"), forgotten_after + 2) == Table::taken::fresh);
}
