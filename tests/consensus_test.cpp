// Registers agreed by a majority: single calls, hard orders of events, and every order in small cases.
#include <catch2/catch.hpp>

#include "explore.h"

using namespace robinpin::consensus;
using namespace robinpin::explore;

namespace {

Want writes(std::uint64_t expected, std::string by, std::string name = "r") {
  return {wish::write, std::move(name), expected, "text of " + by, by};
}

struct Fleet {
  std::map<std::string, Voter> voters;
  Voters known;
  explicit Fleet(std::vector<std::string> stores = {"A", "B", "C"}) {
    known.version = 1;
    for (const auto& s : stores) known.now.push_back({"voter-" + s, s, s});
    for (const auto& s : stores)
      voters.emplace(s, Voter(Memory{s, 0, {}, {}, {}})).first->second.found(known);
  }
  // To the end, with those voters answering that are named; the others are silent.
  Outcome run(Proposal p, const std::set<std::string>& up) {
    Step s = p.begin();
    while (!s.end) {
      Step next;
      const phase stage = p.stage();
      for (const auto& send : s.send) {
        if (p.over() || p.stage() != stage) break;
        next = up.contains(send.to.store) ? p.heard(voters.at(send.to.store).ask(send.ask).reply)
                                          : p.lost(send.to.store, stage);
        if (next.end || !next.send.empty()) break;
      }
      REQUIRE((next.end || !next.send.empty()));
      s = next;
    }
    return *s.end;
  }
  Outcome run(Want w, std::uint64_t round, const std::set<std::string>& up = {"A", "B", "C"},
              bool again = false) {
    return run(Proposal(known, {round, "me/1"}, std::move(w), again), up);
  }
};

}  // namespace

TEST_CASE("a proposer that dies between its two phases: its value is finished or buried, never both") {
  Fleet f;
  Proposal dies(f.known, {2, "one/1"}, writes(0, "x"));
  Step s = dies.begin();
  for (const auto& send : s.send) {
    const Step next = dies.heard(f.voters.at(send.to.store).ask(send.ask).reply);
    if (next.send.empty()) continue;
    f.voters.at("A").ask(next.send[0].ask);  // one voter alone gets the second phase
    break;
  }
  SECTION("those who hold it are asked: it is finished, and then stands") {
    const Outcome o = f.run({wish::read, "r", 0, "", ""}, 3, {"A", "B"});
    CHECK(o.how == fate::chosen);
    CHECK(o.value.by == "x");
    CHECK(f.run(writes(0, "y"), 4, {"B", "C"}).how == fate::refused);
  }
  SECTION("a write that is refused by it has finished it: what was told stands for everybody") {
    CHECK(f.run(writes(0, "y"), 3, {"A", "B"}).how == fate::refused);
    CHECK(f.run({wish::read, "r", 0, "", ""}, 4, {"B", "C"}).value.by == "x");
  }
  SECTION("those who do not are asked: another value stands, and it never comes back") {
    CHECK(f.run(writes(0, "y"), 3, {"B", "C"}).how == fate::chosen);
    const Outcome o = f.run({wish::read, "r", 0, "", ""}, 4);
    CHECK(o.value.by == "y");
    CHECK(o.value.version == 1);
  }
}

TEST_CASE("an answer to an earlier ballot that comes after the next one says nothing") {
  Fleet f;
  Proposal first(f.known, {2, "me/1"}, writes(0, "x"));
  Proposal second(f.known, {3, "me/1"}, writes(0, "x"), true);
  const Step early = first.begin(), late = second.begin();
  const Reply old_a = f.voters.at("A").ask(early.send[0].ask).reply,
              old_b = f.voters.at("B").ask(early.send[1].ask).reply;
  CHECK(second.heard(old_a).send.empty());
  CHECK(second.heard(old_b).send.empty());
  CHECK(second.heard(f.voters.at("A").ask(late.send[0].ask).reply).send.empty());  // one voter is no majority
  CHECK(second.heard(f.voters.at("A").ask(late.send[0].ask).reply).send.empty());
  CHECK(second.stage() == phase::prepare);
}

TEST_CASE("a write whose answers are lost is unknown, and the same write tried again finds out") {
  Fleet f;
  Proposal p(f.known, {2, "me/1"}, writes(0, "x"));
  Step s = p.begin(), next;
  for (const auto& send : s.send)
    if (next = p.heard(f.voters.at(send.to.store).ask(send.ask).reply); !next.send.empty()) break;
  for (const auto& send : next.send) f.voters.at(send.to.store).ask(send.ask);  // accepted, the answers lost
  for (const auto& send : next.send)
    if (!p.over()) s = p.lost(send.to.store, phase::accept);
  REQUIRE(s.end);
  CHECK(s.end->how == fate::unknown);
  const Outcome again = f.run(writes(0, "x"), 3, {"B", "C"}, true);
  CHECK(again.how == fate::chosen);
  CHECK(again.value.version == 1);
  SECTION("what has been written over twice since can't be told any more") {
    REQUIRE(f.run(writes(1, "y"), 4).how == fate::chosen);
    CHECK(f.run(writes(0, "x"), 5, {"A", "B"}, true).how == fate::overtaken);
  }
}

TEST_CASE("a minority cut off with the old holder can neither read as if fresh nor write") {
  Fleet f;
  REQUIRE(f.run(writes(0, "x"), 2).how == fate::chosen);
  REQUIRE(f.run(writes(1, "y"), 3, {"B", "C"}).how == fate::chosen);
  CHECK(f.run({wish::read, "r", 0, "", ""}, 4, {"A"}).how == fate::unreachable);
  CHECK(f.run(writes(1, "z"), 5, {"A"}).how == fate::unreachable);
  CHECK(f.run({wish::read, "r", 0, "", ""}, 6, {"A", "C"}).value.by == "y");
}

TEST_CASE("an older copy of a store that is put back is seen by its counter, and votes no more") {
  Fleet f;
  const Memory old = f.voters.at("A").memory();
  REQUIRE(f.run(writes(0, "x"), 2).how == fate::chosen);
  REQUIRE(f.run(writes(1, "y"), 3).how == fate::chosen);
  CHECK(f.voters.at("B").seen_of("A") > old.counter);
  Voter back(old, true);
  CHECK(back.standing() == verdict::returning);
  back.witnessed("B", f.voters.at("B").seen_of("A"));
  CHECK(back.standing() == verdict::older);
  SECTION("one that is as it was is let in by a majority") {
    Voter same(f.voters.at("A").memory(), true);
    same.witnessed("D", 1);  // no voter
    CHECK(same.standing() == verdict::returning);
    same.witnessed("B", f.voters.at("B").seen_of("A"));
    CHECK(same.standing() == verdict::yes);
  }
}

TEST_CASE("a voter that lost its disk is not the one that voted: its answers do not count") {
  Fleet f;
  REQUIRE(f.run(writes(0, "x"), 2, {"A", "B"}).how == fate::chosen);
  Voter blank(Memory{"A2", 0, {}, {}, {}});
  Ask a;
  a.what = phase::prepare;
  a.store = "A";
  a.voters = f.known;
  a.name = "r";
  a.ballot = {9, "me/1"};
  CHECK(blank.ask(a).reply.how == verdict::not_me);
  a.store = "A2";
  CHECK(blank.ask(a).reply.how == verdict::not_me);
}

TEST_CASE("registers, values and names are bounded") {
  Fleet f({"A"});
  Want w = writes(0, "x");
  w.text.assign(longest_value + 1, 'x');
  CHECK(f.run(w, 2, {"A"}).how == fate::full);
  std::size_t taken = 1;  // the voters' own
  while (taken < most_registers &&
         f.run(writes(0, "x", "r" + std::to_string(taken)), 2, {"A"}).how == fate::chosen)
    ++taken;
  CHECK(taken == most_registers);
  CHECK(f.run(writes(0, "x", "one more"), 2, {"A"}).how == fate::full);
  CHECK(f.run(writes(1, "y", "r7"), 3, {"A"}).how == fate::chosen);
}

TEST_CASE("voters are replaced while registers are written, and the old one comes back to life") {
  Fleet f;
  REQUIRE(f.run(writes(0, "x"), 2, {"A", "B"}).how == fate::chosen);
  f.voters.emplace("D", Voter(Memory{"D", 0, {}, {}, {}}));
  Succession change(f.known, {f.known.now[0], f.known.now[1], {"voter-D", "D", "D"}});
  std::uint64_t round = 10;
  for (int i = 0; i < 20; ++i) {
    const auto job = change.next();
    if (!job) break;
    change.ended(f.run(Proposal(job->under, {++round, "me/1"}, job->want), {"A", "B", "D"}));
  }
  REQUIRE(change.done());
  const Voters old = f.known;
  f.known = change.voters();
  CHECK(f.known.version == 3);
  CHECK(f.run({wish::read, "r", 0, "", ""}, 40, {"B", "D"}).value.by == "x");
  // Who still goes by the old voters is told of the new ones, also where the one let go would agree.
  f.known = old;
  const Outcome o = f.run(writes(1, "y"), 41, {"B", "C"});
  CHECK(o.how == fate::outbid);
  REQUIRE(o.newer);
  CHECK(o.newer->version == 3);
}

TEST_CASE(
    "two voters of three are replaced one after the other, and a value that only they and one more held is "
    "still there") {
  Fleet f;
  REQUIRE(f.run(writes(0, "x"), 2, {"A", "B"}).how == fate::chosen);
  for (const char* fresh : {"D", "E"}) f.voters.emplace(fresh, Voter(Memory{fresh, 0, {}, {}, {}}));
  std::uint64_t round = 10;
  const auto change = [&](std::vector<Seat> wanted, const std::set<std::string>& up) {
    Succession s(f.known, std::move(wanted));
    for (int i = 0; i < 20; ++i)
      if (const auto job = s.next()) s.ended(f.run(Proposal(job->under, {++round, "me/1"}, job->want), up));
    REQUIRE(s.done());
    f.known = s.voters();
  };
  const Seat a = f.known.now[0], b = f.known.now[1], d{"voter-D", "D", "D"}, e{"voter-E", "E", "E"};
  change({a, b, d}, {"A", "B", "D"});
  change({a, d, e}, {"A", "B", "D", "E"});
  CHECK(f.run({wish::read, "r", 0, "", ""}, 90, {"D", "E"}).value.by == "x");
}

TEST_CASE("waits after being outbid are drawn from spans that double, to a bound") {
  CHECK(wait_before(1, 1.0) == 4'000);
  CHECK(wait_before(4, 1.0) == 32'000);
  CHECK(wait_before(60, 1.0) == 256'000);
  CHECK(wait_before(60, 0.0) == 0);
}

TEST_CASE("voters as text and back, and what is no such text") {
  Voters v;
  v.version = 4;
  v.now = {{"a", "1f", "127.0.0.1:1"}, {"b", "2f", "127.0.0.1:2"}};
  v.next = {{"c", "3f", "127.0.0.1:3"}};
  CHECK(Voters::read(4, v.text()) == v);
  for (const char* wrong : {"", "now a 1f", "now a 1f x\nsoon b 2f y\n", "now a 1f 127.0.0.1:1"})
    CHECK_FALSE(Voters::read(1, wrong));
}

TEST_CASE(
    "every order of two writers, three voters and late or lost messages, to the end, keeps one value a "
    "version") {
  Case c;
  c.scripts = {{{writes(0, "")}, 1, {}}, {{writes(0, "")}, 1, {}}};
  c.give_ups = 0;
#ifdef __SANITIZE_ADDRESS__
  c.most_states = 5'000;  // a part of it: the whole takes minutes here
#endif
  const Found f = robinpin::explore::explore(c);
  CAPTURE(f.trace, f.states, f.depth);
  CHECK(f.broken.empty());
#ifndef __SANITIZE_ADDRESS__
  CHECK(f.complete);
  CHECK(f.chosen_states > 10'000);  // else it has looked at nothing
#endif
}

TEST_CASE(
    "drawn orders with crashes, doubled messages, tries again, readers and a change of voters keep one value "
    "a version") {
  Case c;
  c.scripts = {{{writes(0, ""), writes(1, "")}, 3, {}}, {{writes(0, "")}, 3, {}}};
  c.crashes = 1;
  c.doubles = 2;
  c.give_ups = 4;
  SECTION("two writers") {}
  SECTION("two writers of one version and many crashes") {
    c.crashes = 5, c.scripts[0] = c.scripts[1], c.doubles = 0;
  }
  SECTION("three writers") { c.scripts.push_back(c.scripts[1]); }
  SECTION("a reader") { c.scripts[1].wants.assign(3, {wish::read, "r", 0, "", ""}); }
  SECTION("voters changed meanwhile") {
    c.others = {"D"};
    c.scripts.push_back({{}, 4, {{"A", "A", "A"}, {"B", "B", "B"}, {"D", "D", "D"}}});
  }
  SECTION("five voters") { c.founders = {"A", "B", "C", "D", "E"}; }
  const Found f = robinpin::explore::stroll(c, 11, 400);
  CAPTURE(f.trace);
  CHECK(f.broken.empty());
  CHECK(f.chosen_states > 100);
  CHECK(f.all_done > 20);
}
