// The model of boxes, list and clients, told the time by hand.
#include <catch2/catch.hpp>

#include "../src/model/box.h"
#include "../src/model/list.h"
#include "../src/model/load.h"

using namespace robinpin;
using namespace robinpin::model;

namespace {

constexpr micros ms = 1000, s = 1'000'000;

Make plain() {
  Make m;
  m.cores = 2;
  m.slots = 4;
  m.queue = 2;
  m.thrash = 0;
  m.handshake = 0;
  m.choke_at = 1000;
  return m;
}

struct World {
  Agenda agenda;
  std::shared_ptr<Marks> marks = std::make_shared<Marks>();
  std::map<std::string, std::pair<done, micros>> ended;
  int ran = 0;
  std::vector<std::pair<std::uint64_t, int>> calls;
  Box box;
  explicit World(Make m = plain()) : box(agenda, m, 7, marks) {}
  std::uint64_t send(const std::string& id, double work, int calls_wanted = 0, const std::string& mark = "") {
    Job j;
    j.id = id;
    j.work = work;
    j.calls = calls_wanted;
    j.mark = mark;
    j.window = 4 * s;
    j.expiry = agenda.now() + s;
    const auto number = box.next_number();
    j.ended = [this, id](done how) { ended[id] = {how, agenda.now()}; };
    j.runs = [this] { ++ran; };
    j.call = [this, number](int n) { calls.emplace_back(number, n); };
    return box.arrive(std::move(j), "n1");
  }
};

}  // namespace

TEST_CASE("cores are shared: two run at full speed, four at half, and each ends at its own time") {
  World w;
  for (const char* id : {"1", "2"}) w.send(id, 100 * ms);
  w.agenda.advance(50 * ms);
  for (const char* id : {"3", "4"}) w.send(id, 100 * ms);
  w.agenda.advance(s);
  CHECK(w.ended["1"].second == 150 * ms);
  CHECK(w.ended["3"].second == 200 * ms);
  CHECK(w.box.work_done == Approx(400 * ms));
}

TEST_CASE("beyond slots and queue a txn is turned away unseen") {
  World w;
  for (int i = 0; i < 7; ++i) w.send(std::to_string(i), 100 * ms);
  CHECK((w.ended.size() == 1 && w.ended["6"].first == done::refused && w.ran == 4));
}

TEST_CASE("a txn holds its slot while it calls the next tier, and fails if a call does") {
  World w;
  const auto a = w.send("a", 100 * ms, 2), b = w.send("b", 100 * ms, 1);
  w.agenda.advance(50 * ms);
  REQUIRE(w.calls.size() == 2);
  w.box.called(b, false);
  CHECK(w.ended["b"].first == done::error);
  w.box.called(a, true);
  REQUIRE(w.calls.size() == 3);
  w.agenda.advance(200 * ms);
  w.box.called(a, true);
  w.agenda.advance(s);
  CHECK((w.ended["a"].first == done::served && w.ended["a"].second == 250 * ms));
}

TEST_CASE("a cold box warms evenly, one that is sent far more than it can do falls over and says by whom") {
  Make m = plain();
  m.cold_from = 0.25;
  m.cold_for = 10 * s;
  m.queue = 1000;
  World w(m);
  double share = 0;
  w.box.on_fall = [&](const auto& by) { share = by.at("n1"); };
  w.box.stop();
  w.agenda.advance(s);
  w.box.start(true);
  CHECK(w.box.warmth() == Approx(0.25));
  w.send("1", 100 * ms);
  w.agenda.advance(3 * s);
  CHECK(w.ended["1"].second == Approx(s + 390 * ms).margin(20 * ms));
  w.agenda.advance(6 * s);
  CHECK(w.box.warmth() == Approx(0.625));
  for (int i = 0; i < 200 && !w.box.fell; ++i) w.send("x" + std::to_string(i), 100 * ms);
  CHECK(w.box.fell);
  // 4 x 2 cores x 0.625 x 1.5 s of work and the slack of four txns.
  CHECK(share == Approx(7.5 * s + 5 * 100 * ms).margin(100 * ms));
  w.agenda.advance(60 * s);
  w.send("later", ms);
  w.agenda.advance(61 * s);
  CHECK(w.ended.count("later") == 0);
}

TEST_CASE("a box kept crowded tips over, and is itself again once it has been mostly idle") {
  Make m = plain();
  m.queue = 100;
  m.slots = 50;
  m.choke_at = 4;
  World w(m);
  for (int i = 0; i < 40; ++i) w.send(std::to_string(i), 100 * ms);
  w.agenda.advance(1500 * ms);
  CHECK((w.box.choked() && w.box.tipped == 1));
  CHECK(w.box.capacity() == Approx(2 / m.choke_slower));
  w.agenda.advance(30 * s);
  CHECK_FALSE(w.box.choked());
  CHECK(w.ended.size() == 40);
}

TEST_CASE("a mark is known for its time and not for longer, at all boxes of its group") {
  World w;
  Box other(w.agenda, plain(), 8, w.marks);
  w.send("1", 10 * ms, 0, "m");
  w.agenda.advance(3900 * ms);
  w.send("2", 10 * ms, 0, "m");
  w.agenda.advance(3990 * ms);
  CHECK((w.ran == 1 && w.ended["2"].first == done::served));
  w.agenda.advance(4100 * ms);
  w.send("3", 10 * ms, 0, "m");
  CHECK(w.ran == 2);
  CHECK(w.marks->size() == 1);
}

TEST_CASE("what a cancel stops hangs on the make: nothing, what waits, or all") {
  for (const auto c : {cancels::none, cancels::queued, cancels::all}) {
    Make m = plain();
    m.slots = 1;
    m.cancel = c;
    World w(m);
    const auto runs = w.send("runs", 100 * ms), waits = w.send("waits", 100 * ms);
    w.box.cancel(waits);
    w.box.cancel(runs);
    w.agenda.advance(s);
    CHECK(w.ran == (c == cancels::none ? 2 : 1));
    CHECK(w.ended.size() == (c == cancels::none ? 2 : c == cancels::queued ? 1 : 0));
  }
}

TEST_CASE("what is done for who has gone is waste, and no more than was done") {
  World w;
  const auto a = w.send("a", 100 * ms, 1);
  w.send("b", 100 * ms);
  w.agenda.advance(80 * ms);
  w.box.cancel(a);
  w.box.called(a, false);  // its call failed: half of its work was done
  w.agenda.advance(s);
  CHECK(w.box.work_wasted == Approx(50 * ms));
  CHECK(w.box.work_done == Approx(150 * ms));
}

TEST_CASE("half the machine taken doubles the time, a hanging box answers when it is let go") {
  World w;
  w.box.take_away(0.5);
  w.send("1", 100 * ms);
  w.agenda.advance(s);
  CHECK(w.ended["1"].second == 200 * ms);
  w.box.take_away(0);
  w.box.hang(true);
  w.send("2", 100 * ms);
  w.agenda.advance(5 * s);
  CHECK(w.ended.count("2") == 0);
  w.box.hang(false);
  w.agenda.advance(6 * s);
  CHECK(w.ended["2"].second == 5100 * ms);
}

TEST_CASE("the list tells late, later when it falls behind, and an old start never over a new one") {
  Agenda agenda;
  Ways ways;
  ways.notice = 2 * s;
  ways.add = s;
  List list(agenda, ways);
  list.knows({"a", "ruwi", "mid", 0, 1, state::ready, 0});
  const long long before = list.version();
  list.behind(5 * s);
  list.changed({"a", "ruwi", "mid", 0, 1, state::gone, 0});
  list.behind(0);
  agenda.advance(3 * s);
  list.changed({"a", "ruwi", "mid", 0, 1, state::ready, 3 * s});
  bool all = false;
  CHECK(list.since(before, all).empty());
  agenda.advance(4 * s);
  CHECK(list.since(before, all).at(0).started == 3 * s);
  agenda.advance(20 * s);
  CHECK(list.whole().size() == 1);
  CHECK(list.whole()[0].is == state::ready);
  list.since(list.version() + 1, all);  // a version that was never told
  CHECK(all);
}

TEST_CASE("the list's service works through calls in turn and turns away those that would wait too long") {
  Agenda agenda;
  Ways ways;
  ways.lines_a_second = 100;
  ways.call_lines = 50;
  ways.gives_up = s;
  List list(agenda, ways);
  CHECK(list.call(50) == s);
  CHECK(list.call(0) == 1500 * ms);
  CHECK(list.call(0) == -1);
  list.broken(true);
  agenda.advance(10 * s);
  CHECK(list.call(0) == -1);
}

TEST_CASE("the same seed draws the same afternoon, another fault or rate shifts no txn's own draw") {
  Mix mix;
  mix.schemes = {{"view"}, {"pay"}};
  mix.halls = {1, 1};
  const auto a = drawn(mix, {}, 10 * s, 5), b = drawn(mix, {}, 10 * s, 5), other = drawn(mix, {}, 10 * s, 6);
  REQUIRE(a.size() == b.size());
  CHECK(std::equal(a.begin(), a.end(), b.begin(),
                   [](const auto& x, const auto& y) { return x.at == y.at && x.work == y.work; }));
  CHECK(a.size() != other.size());
  CHECK(double(a.size()) == Approx(3500).margin(250));
  const auto jump = drawn(mix, {{2 * s, 4 * s, 2}}, 10 * s, 5);
  CHECK(double(jump.size()) == Approx(4200).margin(300));
  double work = 0;
  for (const auto& w : a) work += w.work / double(a.size());
  CHECK(work == Approx(60'000).epsilon(0.06));
}

TEST_CASE("a client tries a once-only txn again only where that is known to be harmless") {
  Manners m;
  Chance chance(1, "test");
  SchemeOf pay;
  pay.kind = repeats::once_only;
  CHECK(again(m, pay, 0, heard::failed, 0, 0, s, chance) < 0);
  CHECK(again(m, pay, 0, heard::nothing, 0, 0, s, chance) < 0);
  CHECK(again(m, pay, 0, heard::declined, 0, 0, s, chance) > 0);
  CHECK(again(m, pay, 0, heard::unreachable, 0, 0, s, chance) > 0);
  CHECK(again(m, pay, m.retries, heard::declined, 0, 0, s, chance) < 0);
  m.heeds = 1;
  CHECK(again(m, pay, 0, heard::declined, 900 * ms, 0, s, chance) >= 900 * ms);
  CHECK(again(m, pay, 0, heard::declined, 9 * s, 0, s, chance) <= m.longest_advice);
  SchemeOf add;
  add.kind = repeats::referenced;
  add.memory = 4 * s;
  add.expiry = 2500 * ms;
  CHECK(again(m, add, 0, heard::failed, 0, 0, s, chance) > 0);
  CHECK(again(m, add, 0, heard::failed, 0, 0, 2 * s, chance) < 0);  // it would run when the mark is forgotten
}
