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
  CHECK(b.bound_by(other) == "fewer rows of Schemes, Tier or Stages");
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

TEST_CASE("a scheme that is added is known at once, and the stricter holds for a txn of one that changed") {
  Balancer b = with_one_out(0);
  Terms more = terms();
  more.schemes.push_back({repeats::once_only, group::all, 0, 1000 * ms, 0, 2000 * ms, 1, 0});
  more.schemes[0].kind = repeats::once_only;
  more.allowances.push_back(5);
  more.most_postings = 1;
  CHECK(b.bound_by(more).empty());
  b.adopt(noon, more);
  CHECK(b.txn_taken(noon, "new", 3, 0, 2000 * ms, 0).sends.size() == 1);
  const Decisions d = b.posting_ended(noon + ms, "t", 0, ending::error, ms, false, nullptr);
  CHECK(d.sends.empty());
  REQUIRE(d.finals.size() == 1);
  CHECK_FALSE(d.finals[0].declined);  // repeatable when it was taken, but it may have run
}

TEST_CASE("a name keeps its number through a file that reorders, drops it, and has it again") {
  const auto house = [](std::initializer_list<const char*> names) {
    read::House h;
    for (const char* n : names) {
      h.schemes[n] = int(h.scheme_names.size());
      h.scheme_names.push_back(n);
      h.terms.schemes.push_back({repeats::repeatable, group::all, 0, micros(n[0]), 0, ms, 1, 0});
    }
    return h;
  };
  const read::House first = house({"a", "b", "c"});
  const read::House second = read::renumbered(house({"d", "c", "a"}), first);
  CHECK((second.schemes.at("a") == 0 && second.schemes.at("c") == 2 && second.schemes.at("d") == 3));
  CHECK_FALSE(second.schemes.contains("b"));
  CHECK((second.terms.schemes.size() == 4 && second.terms.schemes[1].sla == 'b' &&
         second.terms.schemes[3].sla == 'd'));
  CHECK(read::renumbered(house({"b"}), second).schemes.at("b") == 1);
  read::House many = first;
  for (int i = 0; i < int(read::most_names); ++i) many.scheme_names.push_back("x" + std::to_string(i));
  CHECK_THROWS_AS(read::renumbered(house({"z"}), many), read::malformed);
}
