// Limits per route: which route a txn meets, what the route's own account allows, what the module makes of
// it.
#include "../src/limits/limits.h"

#include <rapidcheck.h>

#include <cstdlib>

#include "help.h"

using namespace robinpin;
using namespace robinpin::help;
using namespace robinpin::limits;

namespace {

const int seeded = ::setenv("RC_PARAMS", "seed=20261201 max_success=300", 0);

Route route(const std::string& name, int scheme = any, const std::string& path = "", int tenant = any,
            const std::string& method = "") {
  Route r;
  r.name = name;
  r.scheme = scheme;
  r.path = path;
  r.tenant = tenant;
  r.method = method;
  return r;
}

Balancer with_servers(Terms t = terms()) { return knowing({"a", "b", "c"}, std::move(t)); }

}  // namespace

TEST_CASE("a txn meets the first route that fits, however many there are: the look-up and a walk agree") {
  const bool held = rc::check("find", [] {
    const auto part =
        rc::gen::elementOf(std::vector<std::string>{"", "/", "/a", "/a/", "/a/b", "/ab", "/a/b/c", "/b"});
    const auto method = rc::gen::elementOf(std::vector<std::string>{"", "GET", "POST"});
    std::vector<Route> routes;
    for (int i = *rc::gen::inRange(1, 40); i > 0; --i)
      routes.push_back(
          route("r" + std::to_string(i), *rc::gen::inRange(-1, 3), *part, *rc::gen::inRange(-1, 3), *method));
    const Table table(routes);
    for (int i = 0; i < 30; ++i) {
      const std::string path = *rc::gen::elementOf(
          std::vector<std::string>{"/", "/a", "/a/", "/ab", "/a/b", "/a/b/c/d", "/abc", "/b/a", "/c", "*"});
      const std::string m = *rc::gen::elementOf(std::vector<std::string>{"GET", "POST", "PUT"});
      const Asked txn{*rc::gen::inRange(-1, 4), *rc::gen::inRange(-1, 4), m, path};
      const auto walked =
          std::find_if(routes.begin(), routes.end(), [&](const Route& r) { return fits(r, txn); });
      RC_ASSERT(table.find(txn) == (walked == routes.end() ? any : int(walked - routes.begin())));
    }
  });
  CHECK((held && seeded == 0));
}

TEST_CASE("a path can't slip past its route by another spelling") {
  const Table table({route("deposits", any, "/api/confirm")});
  for (const char* path : {"/api/confirm", "/api/confirm/", "/api/confirm?k=a", "/api/%63onfirm",
                           "/api/./confirm", "/api/x/../confirm", "//api//confirm", "/api/confirm/later"})
    CHECK(table.find({0, 0, "POST", path}) == 0);
  for (const char* path : {"/api/confirmed", "/api", "/", "", "/api/confirm%2flater/..", "/confirm"})
    CHECK(table.find({0, 0, "POST", path}) == any);
}

TEST_CASE(
    "a route that is full turns away at once, and a place is free when the last copy of a txn's has gone") {
  Route r = route("all");
  r.in_flight = 2;
  r.allowed.come_back = 700 * ms;
  const Table table({r});
  Taken first = table.take({}, noon), second = table.take({}, noon);
  Taken copy = first;
  const Taken third = table.take({}, noon);
  CHECK((third.why == full::in_flight && third.allowed.full && third.allowed.come_back == 700 * ms));
  first = {};
  CHECK(table.take({}, noon).why == full::in_flight);
  copy = {};
  CHECK(table.take({}, noon).why == full::no);
}

TEST_CASE("a pace lets a burst through, then so many a second, and tells each client a turn of its own") {
  Route r = route("all");
  r.rate = 10;
  r.burst = 3;
  Account a;
  micros back = 0;
  for (int i = 0; i < 3; ++i) REQUIRE(take_one(a, r, noon, back) == full::no);
  std::vector<micros> turns;
  for (int i = 0; i < 3; ++i) {
    REQUIRE(take_one(a, r, noon, back) == full::rate);
    turns.push_back(back);
  }
  CHECK(turns == std::vector<micros>{100 * ms, 200 * ms, 300 * ms});
  CHECK(take_one(a, r, noon + 99 * ms, back) == full::rate);
  CHECK(take_one(a, r, noon + 101 * ms, back) == full::no);
  // A clock that is read late gives nothing back, and a long rest no more than the burst.
  CHECK(take_one(a, r, noon, back) == full::rate);
  for (int i = 0; i < 3; ++i) CHECK(take_one(a, r, noon + 3600'000 * ms, back) == full::no);
  CHECK(take_one(a, r, noon + 3600'000 * ms, back) == full::rate);
}

TEST_CASE(
    "a limit lowered below what is in flight turns away until enough have ended, a removed route's end as "
    "they began") {
  Route r = route("all");
  r.in_flight = 5;
  auto old = std::make_unique<Table>(std::vector<Route>{r, route("gone")});
  std::vector<Taken> out;
  for (int i = 0; i < 4; ++i) out.push_back(old->take({}, noon));
  r.in_flight = 2;
  const Table now({r}, old.get());
  old.reset();
  CHECK(now.account(0).in_flight == 4);
  CHECK(now.take({}, noon).why == full::in_flight);
  out.resize(2);
  CHECK(now.take({}, noon).why == full::in_flight);
  out.resize(1);
  CHECK(now.take({}, noon).why == full::no);
  const Table none({route("other")}, &now);
  out.clear();
  CHECK(now.account(0).in_flight == 0);
}

TEST_CASE("the sum that the checks go by is the longest that a txn's postings can be out") {
  CHECK(longest(3, 500, 0) == 1500);
  CHECK(longest(1, 500, 100) == 500);
  CHECK(longest(3, 500, 100) == 1100);  // the second beside the first, the third when both have ended
  CHECK(longest(2, 500, 500) == 1000);
  CHECK(longest(1 << 30, micros(1) << 59, 0) == micros(1) << 60);
}

// What the module makes of a route's terms, at its one gate.

TEST_CASE("a route may hold its txns for stricter than their scheme is, never for looser") {
  auto b = with_servers();
  Txn t = txn(0);
  t.postings = {posted(b, "a")};
  t.postings[0].ended = true;
  CHECK(b.may_post(t, b.servers["b"]));
  t.allowed.kind = repeats::once_only;
  CHECK_FALSE(b.may_post(t, b.servers["b"]));
  CHECK_FALSE(b.may_decline(t));
  Txn pay = txn(2);
  pay.allowed.kind = repeats::repeatable;
  pay.postings = {posted(b, "a")};
  pay.postings[0].ended = true;
  CHECK_FALSE(b.may_post(pay, b.servers["b"]));
  CHECK_FALSE(b.may_decline(pay));
}

TEST_CASE("a route's postings, copies and group pass the same gate as the house's") {
  auto b = with_servers();
  b.servers["c"].line.zone = "there";
  Txn t = txn(0);
  t.postings = {posted(b, "a")};
  CHECK(b.may_post(t, b.servers["b"]));
  t.allowed.two_at_once = false;
  CHECK_FALSE(b.may_post(t, b.servers["b"]));
  t.postings[0].ended = true;
  CHECK(b.may_post(t, b.servers["b"]));
  t.allowed.postings = 1;
  CHECK_FALSE(b.may_post(t, b.servers["b"]));
  Terms house = terms();
  house.schemes[1].within = group::all;
  auto wide = with_servers(house);
  wide.servers["c"].line.zone = "there";
  Txn add = txn(1);
  add.postings = {posted(wide, "a")};
  add.postings[0].ended = true;
  CHECK(wide.may_post(add, wide.servers["c"]));
  add.allowed.within = group::zone;
  CHECK_FALSE(wide.may_post(add, wide.servers["c"]));
}

TEST_CASE(
    "a full route's txn is declined at once, with the time to return that the route says, cut by the terms") {
  Terms house = terms();
  house.advice_heeded = true;
  house.longest_advice = 1200 * ms;
  auto b = with_servers(house);
  Allowed full;
  full.full = true;
  full.come_back = 900 * ms;
  Decisions d = b.txn_taken(noon, "1", 2, -1, 2500 * ms, 0, full);
  REQUIRE(d.finals.size() == 1);
  CHECK((d.sends.empty() && d.finals[0].declined && d.finals[0].come_back == 900 * ms));
  full.come_back = 9000 * ms;
  CHECK(b.txn_taken(noon, "2", 0, -1, 1200 * ms, 0, full).finals.at(0).come_back == 1200 * ms);
}

TEST_CASE(
    "a posting waits as long as its route says, a once-only one that ran out of it is reversed at once") {
  auto b = with_servers();
  Allowed short_wait;
  short_wait.wait = 400 * ms;
  REQUIRE(b.txn_taken(noon, "1", 2, -1, 2500 * ms, 0, short_wait).sends.at(0).wait == 400 * ms);
  const Decisions d = b.posting_ended(noon + 400 * ms, "1", 0, ending::timed_out, 400 * ms, false, nullptr);
  REQUIRE(d.finals.size() == 1);
  CHECK((d.sends.empty() && !d.finals[0].declined));
}

TEST_CASE("a second copy goes out after the silence that its route says, and the module wakes for it") {
  auto b = with_servers();
  Allowed soon;
  soon.copy_after = 30 * ms;
  const Decisions first = b.txn_taken(noon, "1", 0, -1, 1200 * ms, 0, soon);
  REQUIRE(first.sends.size() == 1);
  CHECK((first.wake_in > 0 && first.wake_in <= 30 * ms));
  CHECK(b.woke(noon + 29 * ms).sends.empty());
  const Decisions copy = b.woke(noon + 31 * ms);
  REQUIRE(copy.sends.size() == 1);
  CHECK(copy.sends[0].server != first.sends[0].server);
}

TEST_CASE(
    "a route whose share of further postings is used up gives its txns up at once instead of holding them") {
  auto b = with_servers();
  Allowed tenth;
  tenth.further = 0.1;
  tenth.spent = std::make_shared<Spent>();
  const auto fail = [&](const std::string& id) {
    b.txn_taken(noon, id, 0, -1, 1200 * ms, 0, tenth);
    return b.posting_ended(noon + ms, id, 0, ending::error, ms, false, nullptr);
  };
  CHECK(fail("1").sends.size() == 1);  // the first may
  const Decisions d = fail("2");
  REQUIRE(d.finals.size() == 1);
  CHECK((d.sends.empty() && d.finals[0].declined));
  // Another route's share is its own.
  tenth.spent = std::make_shared<Spent>();
  CHECK(fail("3").sends.size() == 1);
}
