// Limits at a node: reloads under load, and the pages that tell what is in force.
#include "routes.h"

#include "help.h"

using namespace robinpin;
using namespace robinpin::help;
using namespace robinpin::help::net;
using Catch::Matchers::Contains;

namespace {

config::Reading file(const std::string& text, const read::House& house) {
  config::Reading r = config::read("f.toml", text);
  config::check(r, house);
  return r;
}

const std::string fine = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

}  // namespace

TEST_CASE(
    "1,000 txns out at a reload end under the limits that they were taken under, and the next meet the new") {
  Parts p;
  p.knows("a", here);
  REQUIRE(p.routes.renew(
      file("[defaults]\nin_flight = 1000\nposting_timeout = \"400ms\"\npostings = 2\n", p.house)));
  std::vector<Desk::visit> out;
  for (int i = 0; i < 1000; ++i) {
    auto route = p.routes.take({0, 0, "GET", "/api"}, p.clock.now());
    REQUIRE(route.why == limits::full::no);
    out.push_back(p.desk.take(std::to_string(i), 0, 0, p.clock.now(), 300 * ms, 0, std::move(route)));
  }
  CHECK(p.routes.take({0, 0, "GET", "/api"}, p.clock.now()).why == limits::full::in_flight);
  const bool broken = GENERATE(true, false);
  if (broken) {
    CHECK_FALSE(p.routes.renew(file("[defaults]\nsecond_copies = true\n", p.house)));
    CHECK(p.routes.version() == 1);
    CHECK(p.routes.take({0, 0, "GET", "/api"}, p.clock.now()).why == limits::full::in_flight);
  } else {
    REQUIRE(p.routes.renew(file("[defaults]\nin_flight = 10\npostings = 1\n", p.house)));
    CHECK_THAT(p.routes.told(), Contains("\"in_flight\":1000"));
  }
  std::size_t ended = 0;
  int posted = 0, by_the_new = 0;
  for (auto& v : out)
    asio::co_spawn(
        p.io,
        [&p, &v, &posted, &by_the_new]() -> awaitable<void> {
          for (Order o = co_await p.desk.pick(v);; o = co_await p.desk.pick(v)) {
            if (o.next == Order::what::post) {
              ++posted;
              by_the_new += o.wait == 400 * ms ? 0 : 1;
              p.desk.report(v, o.posting, ending::settled, ms, nullptr);
            }
            if (o.next != Order::what::post && o.next != Order::what::withdraw) co_return;
          }
        },
        [&](std::exception_ptr) { ++ended; });
  for (int i = 0; i < 2000 && ended < out.size(); ++i) p.io.run_for(1ms), p.io.restart();
  CHECK(ended == out.size());
  CHECK((posted > 0 && by_the_new == 0));
  for (const auto& v : out) CHECK(v->over());
  out.clear();
  const auto route = p.routes.take({0, 0, "GET", "/api"}, p.clock.now());
  CHECK(route.why == limits::full::no);
  CHECK(route.allowed.postings == (broken ? 2 : 1));
}

TEST_CASE(
    "a faulty file is told once, however often it is read, and what is in force is told with its hash") {
  Parts p;
  CHECK_THAT(p.routes.told(), Contains("\"version\":0") && !Contains("file"));
  const auto good = file("[defaults]\npostings = 2\n", p.house);
  REQUIRE(p.routes.renew(good));
  const auto bad = file("[defaults]\npostings = 0\n", p.house);
  CHECK_FALSE(p.routes.renew(bad));
  CHECK_FALSE(p.routes.renew(bad));
  CHECK(p.counters.config_refused == 2);
  CHECK_THAT(p.routes.told(), Contains("\"version\":1") && Contains(good.file.hash) &&
                                  Contains("postings: is zero") && Contains(bad.file.hash));
  REQUIRE(p.routes.renew(good));
  CHECK_THAT(p.routes.told(), Contains("\"version\":2") && !Contains("refused"));
}

TEST_CASE(
    "a client over its route's pace hears so at once, with its turn, and the page tells what is in force") {
  read::House h = net::house();
  h.terms.advice_heeded = true;
  h.terms.longest_advice = 2000 * ms;
  Parts p(100, h);
  StandIn s(p.io, fine);
  p.knows("a", s.at());
  p.listens();
  REQUIRE(p.routes.renew(file("[[route]]\nname = \"slow\"\npath = \"/api\"\nrate = 2\n", p.house)));
  CHECK_THAT(p.ask(request("1")), Contains("200 OK"));
  const std::string second = p.ask(request("2"));
  CHECK_THAT(second, Contains("503") && Contains("Retry-After: 0.") && Contains("declined"));
  CHECK(s.got.size() == 1);
  CHECK(p.counters.limited_by_rate == 1);
  CHECK_THAT(p.ask("GET /config HTTP/1.1\r\nHost: b\r\n\r\n"),
             Contains("application/json") && Contains("\"slow\""));
}

TEST_CASE("a posting is given up after its route's time-out, and a repeatable txn gets the next in time") {
  Parts p;
  StandIn silent(p.io, ""), good(p.io, fine);
  p.listens();
  p.knows("a", silent.at());
  REQUIRE(
      p.routes.renew(file("[[route]]\nname = \"r\"\nscheme = \"view\"\npostings = 2\nposting_timeout = "
                          "\"60ms\"\nsecond_copies = false\n",
                          p.house)));
  const std::string one = p.ask(request("1"), 200ms);
  CHECK_THAT(one, Contains("503"));  // both postings to the only server that it knows
  CHECK(silent.got.size() == 2);
  CHECK(p.counters.postings[std::size_t(ending::timed_out)] == 2);
}
