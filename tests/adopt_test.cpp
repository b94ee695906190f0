// Other terms while it runs: what is known is kept, and a txn taken before ends by the stricter of both.
#include "help.h"

using namespace robinpin;
using namespace robinpin::help;

namespace {

Balancer with_one_out(int scheme, Terms t = terms()) {
  Balancer b = knowing({"a", "b"}, std::move(t));
  b.txns["t"] = txn(scheme);
  b.txns["t"].postings = {posted(b, "a")};
  b.servers["a"].out = {noon};
  return b;
}

}  // namespace

TEST_CASE("a switch keeps servers, windows in their own latencies, and calls in flight") {
  Balancer b = with_one_out(0);
  fill(b, "a", 100 * ms);
  Terms wider = terms();
  for (auto& s : wider.schemes) s.sla *= 4;
  b.adopt(noon, wider);
  CHECK(b.bin_width == 4 * Balancer(terms(), 1, noon).bin_width);
  CHECK(b.servers["a"].window.count[std::size_t(b.bin_of(100 * ms))] == 50);
  CHECK((b.servers["a"].out.size() == 1 && b.txns["t"].out() == 1));
  CHECK(b.posting_ended(noon + ms, "t", 0, ending::settled, ms, true, nullptr).finals.empty());
  CHECK(b.txns.empty());
}

TEST_CASE("a txn taken as once-only is neither repeated nor declined after a switch that would allow it") {
  Balancer b = with_one_out(2);
  Terms looser = terms();
  looser.schemes[2].kind = repeats::repeatable;
  b.adopt(noon, looser);
  b.adopt(noon, terms());
  b.adopt(noon, looser);
  const Decisions d = b.posting_ended(noon + ms, "t", 0, ending::error, ms, false, nullptr);
  CHECK(d.sends.empty());
  REQUIRE(d.finals.size() == 1);
  CHECK_FALSE(d.finals[0].declined);
}

TEST_CASE("a txn taken as referenced in a zone keeps to that zone and memory, and gets no decline") {
  Balancer b = with_one_out(1);
  b.servers["b"].line.zone = "there";
  Terms looser = terms();
  looser.schemes[1].within = group::all;
  looser.schemes[1].memory = 60'000 * ms;
  b.adopt(noon, looser);
  Txn& t = b.txns["t"];
  t.postings[0].ended = true;
  CHECK_FALSE(b.may_post(t, b.servers["b"]));
  CHECK_FALSE(b.may_decline(t));
  CHECK(b.may_post(t, b.servers["a"]));
  t.expiry = noon + 20'000 * ms;
  b.now = noon + 4000 * ms;
  CHECK_FALSE(b.may_post(t, b.servers["a"]));
}

TEST_CASE("a txn taken before is not called off at its SLA time by terms that call off") {
  Balancer b = with_one_out(0);
  Terms many = terms();
  many.streams = 100;
  b.adopt(noon, many);
  CHECK(b.woke(noon + 600 * ms).finals.empty());
  CHECK(b.woke(noon + 1200 * ms).finals.size() == 1);
}

TEST_CASE("terms that need a new start are refused by name and change nothing") {
  Balancer b = with_one_out(0);
  Terms other = terms();
  other.schemes.pop_back();
  other.tier = 1;
  CHECK(b.bound_by(other) == "the number of Schemes, Tier or Stages");
  b.adopt(noon, other);
  CHECK(b.terms == terms());
}

TEST_CASE("a budget of further postings that comes with a switch counts those of before it") {
  Balancer b = with_one_out(0);
  b.tally.at(noon, 0).further = 3;
  Terms budget = terms();
  budget.resend_span = 5000 * ms;
  budget.free_resends = GENERATE(3, 4);
  b.adopt(noon, budget);
  CHECK(b.spares_another(b.txns["t"]) == (budget.free_resends > 3));
}
