#include "help.h"

using namespace robinpin;
using namespace robinpin::help;

TEST_CASE("rule 1: nothing is posted after the final answer, the expiry or the start of a stream") {
  Balancer b = knowing({"a"});
  Txn t = txn(0);
  CHECK(b.may_post(t, b.servers["a"]));
  SECTION("answered") { t.answered = true; }
  SECTION("expired") { t.expiry = noon; }
  SECTION("streaming") { t.streaming = true; }
  SECTION("all postings used") { t.postings.assign(5, posted(b, "a")); }
  CHECK_FALSE(b.may_post(t, b.servers["a"]));
}

TEST_CASE("rule 1: a txn with no server to go to is declined before its client gives up") {
  Balancer b = knowing({});
  b.txns["t"] = txn(0);
  b.txns["t"].sla = noon + 100 * ms;
  const Decisions d = b.woke(noon + 100 * ms);
  REQUIRE(d.finals.size() == 1);
  CHECK(d.finals[0].declined);
}

TEST_CASE("rule 1: a txn whose expiry has come is answered whatever is out") {
  Balancer b = knowing({"a"});
  b.txns["t"] = txn(2);
  b.txns["t"].postings = {posted(b, "a")};
  const Decisions d = b.woke(noon + 1200 * ms);
  REQUIRE(d.finals.size() == 1);
  CHECK_FALSE(d.finals[0].declined);
  CHECK(d.withdrawals.size() == 1);
}

TEST_CASE("rule 2: what each outcome lets a node do next") {
  const auto [how, proven] = GENERATE(table<ending, bool>({{ending::error, false},
                                                           {ending::refused, true},
                                                           {ending::timed_out, false},
                                                           {ending::unreachable, true},
                                                           {ending::reset, false},
                                                           {ending::withdrawn, false},
                                                           {ending::moot, true}}));
  const int scheme = GENERATE(0, 1, 2);
  Balancer b = knowing({"a", "far"});
  b.servers["far"].line.zone = "there";
  Txn t = txn(scheme);
  t.postings = {posted(b, "a")};
  b.txns["t"] = t;
  const Decisions d = b.posting_ended(noon + ms, "t", 0, how, ms, false, nullptr);
  if (proven || scheme == 0) {
    CHECK(d.sends.size() == 1);
  } else if (scheme == 1) {
    REQUIRE(d.sends.size() == 1);
    CHECK(d.sends[0].server == "a");  // its group is the zone
  } else {
    CHECK(d.sends.empty());
    REQUIRE(d.finals.size() == 1);
    CHECK_FALSE(d.finals[0].declined);
  }
}

TEST_CASE("rule 2: a referenced txn is repeated in its group and memory only") {
  Balancer b = knowing({"a", "far"});
  b.servers["far"].line.zone = "there";
  b.servers["far"].line.cell = 4;
  Txn t = txn(1);
  t.expiry = noon + 9000 * ms;
  t.postings = {posted(b, "a")};
  CHECK(b.may_post(t, b.servers["a"]));
  CHECK_FALSE(b.may_post(t, b.servers["far"]));
  b.terms.schemes[1].within = group::cell;
  CHECK_FALSE(b.may_post(t, b.servers["far"]));
  b.terms.schemes[1].within = group::all;
  CHECK(b.may_post(t, b.servers["far"]));
  b.now = noon + 4000 * ms;
  CHECK_FALSE(b.may_post(t, b.servers["a"]));
}

TEST_CASE("rule 2: what may be declined") {
  const int scheme = GENERATE(0, 1, 2);
  const bool never_ran = GENERATE(true, false);
  Balancer b = knowing({"a"});
  Txn t = txn(scheme);
  t.postings = {posted(b, "a")};
  t.postings[0].never_ran = never_ran;
  CHECK(b.may_decline(t) == (never_ran || scheme == 0));
}

TEST_CASE("rule 2: never two at once where the terms forbid it") {
  Terms terms_now = terms();
  terms_now.two_at_once = false;
  Balancer b = knowing({"a", "b"}, terms_now);
  Txn t = txn(0);
  t.postings = {posted(b, "a")};
  CHECK_FALSE(b.may_post(t, b.servers["b"]));
}

TEST_CASE("rule 3: nothing to a server told to drain, or gone from a whole list") {
  Balancer b = knowing({"a", "b"});
  Line told = line("a");
  SECTION("draining") {
    told.state = standing::draining;
    b.list_told(noon, {told}, false);
  }
  SECTION("removed") {
    told.state = standing::gone;
    b.list_told(noon, {told}, false);
  }
  SECTION("absent") { b.list_told(noon, {line("b")}, true); }
  CHECK((!b.servers.contains("a") || !b.may_post(txn(0), b.servers["a"])));
  CHECK(b.may_post(txn(0), b.servers["b"]));
}

TEST_CASE("a server that is gone is forgotten, but not while a txn that was posted there goes on") {
  Balancer b = knowing({"a", "b"});
  b.txns["1"] = txn(2);
  b.txns["1"].postings = {posted(b, "a")};
  b.list_told(noon, {line("b")}, true);
  REQUIRE(b.servers.contains("a"));
  CHECK_FALSE(b.may_post(txn(0), b.servers["a"]));
  b.txns.clear();
  b.list_told(noon, {line("b")}, true);
  CHECK_FALSE(b.servers.contains("a"));
}

TEST_CASE(
    "rule 4: a cold server gets a part of what a warm one gets, divided among the nodes by their own pace") {
  Terms t = terms();
  t.cold_for = 20'000 * ms;
  t.cold_from = 0.12;
  t.tip_multiple = 4;
  t.tip_window = 1500 * ms;
  Balancer b = knowing({"warm", "cold"}, t);
  b.started = noon - 60'000 * ms;
  b.sent.add(noon, 5000 * ms, 100);  // twenty a second
  Server& cold = b.servers["cold"];
  cold.line.started = noon - ms;
  int sent = 0;
  for (b.now = noon; b.now < noon + 1500 * ms; b.now += ms)
    if (b.cold_allows(cold, 1)) {
      cold.cold_credit -= 1;
      ++sent;
    }
  CHECK(sent >= 1);
  CHECK(sent <= 8);  // 4 x 0.12 x 20 a second x 1.5 s would be 14
}

TEST_CASE("a list call that failed is made again, later each time, and at a moment of the node's own") {
  Terms t = terms();
  t.ask_list = true;
  t.ask_every = 10'000 * ms;
  Balancer b(t, 7, noon), other(t, 8, noon);
  const Decisions d = b.list_failed(noon);
  CHECK(d.list == list_call::none);
  CHECK(d.wake_in > 0);
  CHECK(d.wake_in != other.list_failed(noon).wake_in);
  CHECK(b.woke(noon + d.wake_in).list == list_call::watch);
}

TEST_CASE("further postings keep to a budget over any span, also just before and after the edge of one") {
  Terms t = terms();
  t.resend_span = 5000 * ms;
  t.free_resends = 3;
  t.extra_share = 0.1;
  Balancer b = knowing({"a"}, t);
  std::deque<micros> taken, further;
  for (int i = 0; i < 6000;
       ++i) {  // a quiet start, a burst of txns, then none: all ask for a further posting
    b.now = noon + i * 3 * ms;
    if (i > 1000 && i < 2500) {
      ++b.tally.at(b.now, t.resend_span).taken;
      taken.push_back(b.now);
    }
    Txn again = txn(0);
    again.postings = {posted(b, "a")};
    if (b.spares_another(again)) {
      ++b.tally.at(b.now, t.resend_span).further;
      further.push_back(b.now);
    }
    while (!taken.empty() && taken.front() <= b.now - t.resend_span) taken.pop_front();
    while (!further.empty() && further.front() < b.now - t.resend_span) further.pop_front();
    REQUIRE(double(further.size()) <= 3 + 0.1 * double(taken.size()));
  }
  CHECK(further.size() == 3);
}
