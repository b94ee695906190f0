#include <deque>
#include <map>
#include <random>
#include <vector>

#include "../../src/sidecar/retry_budget.h"
#include "../../src/admission/admission_controller.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using admission::AdmissionController;
using admission::held;

namespace {
constexpr std::int64_t ms = 1000, second = 1'000'000;
admission::Server server(const std::string& id, std::uint64_t sequence, bool draining = false) {
  admission::Server s;
  s.id = id, s.service = "one", s.slots = 4, s.sequence = sequence, s.draining = draining;
  return s;
}
AdmissionController::Asked asked(std::int64_t deadline, std::int64_t to_aim) {
  return {deadline, to_aim, deadline};
}
const AdmissionController::Asked usual = asked(4 * second, 600 * ms);
}  // namespace

TEST_GROUP(Admission){};

TEST(Admission, nothing_new_passes_to_one_that_drains_also_by_a_late_beat_that_calls_it_admitted) {
  AdmissionController g;
  CHECK(held::no_server == g.verdict(0, "a", {}, usual));
  CHECK(g.beat(0, server("a", 4), 0));
  CHECK(held::none == g.verdict(1, "a", {}, usual));
  CHECK(g.beat(2, server("a", 6, true), 0));
  CHECK(held::draining == g.verdict(3, "a", {}, usual));
  CHECK_FALSE(g.beat(4, server("a", 5), 0));
  CHECK(g.beat(5, server("a", 7), 0));
  CHECK(held::draining == g.verdict(6, "a", {}, usual));
  g.departed("a");
  CHECK(held::no_server == g.verdict(7, "a", {}, usual));
  CHECK_FALSE(g.beat(8, server("a", 8), 0));  // gone for good: only another incarnation comes back
  CHECK(held::no_server == g.verdict(9, "a", {}, usual));
  CHECK(g.beat(10, server("b", 1), 0));
  CHECK(held::other_instance == g.verdict(11, "a", {}, usual));
}

// A connection that was slow to open brings it after the server that came next has called.
TEST(Admission, a_late_word_of_an_earlier_life_brings_it_not_back_and_forgets_nothing_of_the_present_one) {
  AdmissionController g;
  AdmissionController::Bounds b;
  b.warmup_per_s = 1;
  CHECK(g.beat(0, server("a", 7), 0));
  CHECK(g.beat(1, server("b", 1), second));
  g.sent(false), g.wrote(2, false);
  CHECK_FALSE(g.beat(3, server("a", 8, true), 0));
  g.departed("a");
  CHECK(held::other_instance == g.verdict(4, "a", b, usual));
  CHECK(held::cold == g.verdict(4, "b", b, usual));  // its one of this second is counted still
  for (int i = 0; i < 20; ++i) CHECK(g.beat(10 + i, server("c" + std::to_string(i), 1), 0));
  CHECK_FALSE(g.beat(50, server("c18", 2), 0));
  CHECK(held::none == g.verdict(51, "c19", {}, usual));
}

TEST(Admission, of_an_emptied_zone_nothing_passes_and_the_server_is_doubted_when_it_is_taken_back) {
  AdmissionController g;
  g.beat(0, server("a", 1), 0);
  AdmissionController::Bounds b;
  b.emptied = true, b.warmup_per_s = 1;
  CHECK(held::emptied == g.verdict(1, "a", b, usual));
  b.emptied = false;
  g.doubt_until(2 * second);
  CHECK(held::none == g.verdict(2, "a", b, usual));
  g.sent(false);
  CHECK(held::cold == g.verdict(3, "a", b, usual));
  g.cold_for(4, 0);
  CHECK(held::none == g.verdict(5, "a", b, usual));
}

TEST(Admission, a_crowd_of_any_rhythm_never_brings_a_cold_server_more_in_a_second_than_it_bears) {
  std::mt19937 chance(3);
  AdmissionController g;
  g.beat(0, server("a", 1), 60 * second);
  AdmissionController::Bounds b;
  b.warmup_per_s = 5.2, b.conn_limit = 1'000'000;
  std::deque<std::int64_t> passed;
  std::size_t most = 0, all = 0;
  for (std::int64_t now = 0; now < 30 * second; now += std::int64_t(chance() % 40'000)) {
    if (g.verdict(now, "a", b, usual) != held::none) continue;
    g.sent(false), g.wrote(now, false), g.ended(now, 0, 0);
    passed.push_back(now), ++all;
    while (passed.front() <= now - second) passed.pop_front();
    most = std::max(most, passed.size());
  }
  CHECK_EQUAL(5, most);
  CHECK(all > 100);
}

TEST(Admission, what_a_busy_process_writes_late_does_not_meet_the_next_second) {
  AdmissionController g;
  AdmissionController::Bounds b;
  b.warmup_per_s = 5;
  g.beat(0, server("a", 1), 60 * second);
  for (int i = 0; i < 5; ++i) g.sent(false);
  CHECK(held::cold == g.verdict(1'500 * ms, "a", b, usual));  // let through long ago, written to nobody yet
  for (int i = 0; i < 5; ++i) g.wrote(1'600 * ms, false);
  CHECK(held::cold == g.verdict(2'500 * ms, "a", b, usual));
  CHECK(held::none == g.verdict(2'700 * ms, "a", b, usual));
  g.sent(false), g.never_wrote(2'700 * ms, false, false);
  for (int i = 0; i < 5; ++i) {
    CHECK(held::none == g.verdict(2'700 * ms, "a", b, usual));
    g.sent(false);
  }
  CHECK(held::cold == g.verdict(2'700 * ms, "a", b, usual));
}

TEST(Admission, a_process_that_begins_in_the_midst_of_a_cold_second_sends_nothing_more_in_it) {
  AdmissionController g;
  AdmissionController::Bounds b;
  b.warmup_per_s = 5;
  g.beat(0, server("a", 7),
         3 * second);  // its seventh beat: the process before this one may have sent five just now
  CHECK(held::cold == g.verdict(900 * ms, "a", b, usual));
  CHECK(held::none == g.verdict(1'100 * ms, "a", b, usual));
  AdmissionController fresh;
  fresh.beat(0, server("a", 1), 3 * second);
  CHECK(held::none == fresh.verdict(1, "a", b, usual));
}

TEST(Admission, who_would_be_late_is_held_back_and_callers_that_have_worked_wait_longest) {
  AdmissionController g;
  g.beat(0, server("a", 1), 0);
  AdmissionController::Bounds b;
  b.shortest = 500 * ms;
  for (int i = 0; i < 40; ++i) g.sent(false), g.wrote(i, false), g.ended(i, 0, 100 * ms);
  int usual_most = 0, tight_most = 0;
  for (; g.verdict(50, "a", b, usual) == held::none; ++usual_most) g.sent(false);
  tight_most = usual_most;
  for (; g.verdict(50, "a", b, asked(500 * ms, 150 * ms)) == held::none; ++tight_most) g.sent(false);
  CHECK_EQUAL(8, usual_most);   // half of 0.8 x 500 ms at 4 slots of 100 ms
  CHECK_EQUAL(16, tight_most);  // all of it
}

TEST(Admission, a_free_slot_is_never_refused_however_slow_the_server_has_become) {
  AdmissionController g;
  g.beat(0, server("a", 1), 0);
  for (int i = 0; i < 40; ++i) g.sent(false), g.wrote(i, false), g.ended(i, 0, 20 * second);
  CHECK(held::none == g.verdict(50, "a", {}, usual));
}

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, further_tries_never_pass_this_nodes_part_in_any_window_however_they_are_asked_for) {
  std::mt19937 chance(5);
  sidecar::RetryBudget a;
  constexpr std::int64_t window = 10 * second;
  constexpr double ratio = 0.2, slack = 60;
  constexpr std::size_t nodes = 12;
  a.bounds(window, ratio, slack, nodes);
  std::deque<std::int64_t> taken, further;
  int spent = 0;
  for (std::int64_t now = 0; now < 90 * second; now += std::int64_t(chance() % 60'000)) {
    if (now < 30 * second || now > 50 * second) a.taken(now, "one"), taken.push_back(now);
    if (a.spend(now, "one")) further.push_back(now), ++spent;
    while (!taken.empty() && taken.front() <= now - window) taken.pop_front();
    while (!further.empty() && further.front() <= now - window) further.pop_front();
    CHECK(double(further.size()) <= ratio / sidecar::RetryBudget::weight * double(taken.size()) +
                                        slack / sidecar::RetryBudget::weight / nodes + 1e-9);
  }
  CHECK(spent > 50);
}

TEST(Admission, nothing_passes_before_its_node_knows_what_is_in_force) {
  AdmissionController g;
  g.beat(0, server("a", 1), 60 * second);
  AdmissionController::Bounds b;
  b.known = false;  // so neither the rate of a cold server nor emptied zones are known
  CHECK(held::unready == g.verdict(1, "a", b, usual));
}

TEST(Admission, long_bodies_are_let_in_as_far_as_the_link_brings_them_in_time) {
  AdmissionController g;
  g.beat(0, server("a", 1), 0);
  AdmissionController::Bounds b;
  b.link = 1e6;
  AdmissionController::Asked upload = {10 * second, 1'000 * ms, 10 * second, true, 300'000};
  std::deque<double> coming;
  const auto let_in = [&](const AdmissionController::Asked& a) {
    int n = 0;
    for (; g.verdict(1, "a", b, a) == held::none && n < 100; ++n)
      g.sent(true), g.comes(a.bytes), coming.push_back(a.bytes);
    return n;
  };
  CHECK_EQUAL(2, let_in(upload));                    // 0.6 MB of the 0.68 that come in 0.8 of its aim
  CHECK(held::none == g.verdict(1, "a", b, usual));  // others don't wait for them
  upload.to_aim = 0;  // late already: only where there is little else on the way
  CHECK_EQUAL(0, let_in(upload));
  g.comes(-600'000), g.wrote(1, true), g.ended(1, 0, 0), g.wrote(1, true), g.ended(1, 0, 0);
  CHECK_EQUAL(2, let_in(upload));
  g.comes(-600'000), g.never_wrote(1, true, false), g.never_wrote(1, true, false);
  upload.bytes = 50'000'000;  // longer than any patience: alone it still goes
  CHECK_EQUAL(1, let_in(upload));
}

// Its link is shared: calls of 0.5 s behind a second of bodies would all be late.
TEST(Admission, long_bodies_leave_time_on_the_link_for_the_requests_with_the_shortest_deadline) {
  AdmissionController g;
  g.beat(0, server("a", 1), 0);
  AdmissionController::Bounds b;
  b.link = 1e6, b.shortest = 500 * ms;
  const AdmissionController::Asked upload = {10 * second, 1'000 * ms, 10 * second, true, 60'000};
  int let_in = 0;
  for (; g.verdict(1, "a", b, upload) == held::none && let_in < 100; ++let_in)
    g.sent(true), g.comes(upload.bytes);
  CHECK_EQUAL(2, let_in);  // 0.12 MB of the 0.17 that come in half of 0.8 x 500 ms; 11 in 0.8 of its aim
  const AdmissionController::Asked shortest = {500 * ms, 400 * ms, 500 * ms, true, 60'000};
  CHECK(held::none == g.verdict(1, "a", b, shortest));  // they have until their own aim
}

TEST(Admission, an_upload_cut_off_on_its_way_counts_for_its_second_at_a_cold_server) {
  AdmissionController g;
  g.beat(0, server("a", 1), 60 * second);
  AdmissionController::Bounds b;
  b.warmup_per_s = 1, b.most_cold = 29;
  g.sent(true), g.never_wrote(100 * ms, true, true);
  CHECK(held::cold == g.verdict(200 * ms, "a", b, usual));
  CHECK(held::none == g.verdict(1'200 * ms, "a", b, usual));
  g.sent(true), g.never_wrote(1'200 * ms, true, false);  // nothing of it went out
  CHECK(held::none == g.verdict(1'201 * ms, "a", b, usual));
}

TEST(Admission, what_a_starved_node_notes_late_never_brings_a_cold_server_more_than_the_rules_allow) {
  AdmissionController g;
  g.beat(0, server("a", 1), 600 * second);
  AdmissionController::Bounds b;
  b.warmup_per_s = 14, b.most_cold = 29, b.conn_limit = 1'000;
  // Each batch is noted as written at once and arrives up to 1.5 s later, as it is answered: batches may meet
  // there.
  std::mt19937 chance(5);
  std::multimap<std::int64_t, std::int64_t> ends;
  std::vector<std::int64_t> arrivals;
  for (std::int64_t now = 0; now < 60 * second; now += 10 * ms) {
    for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin())) g.ended(now, 0, 0);
    while (g.verdict(now, "a", b, usual) == held::none) {
      g.sent(false), g.wrote(now, false);
      const std::int64_t at =
          (now / second + 1) * second + 100 * ms + std::int64_t(chance() % 50'000);  // all at the same moment
      arrivals.push_back(at), ends.emplace(at, at);
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  std::size_t most = 0;
  for (std::size_t i = 0, j = 0; j < arrivals.size(); ++j) {
    while (arrivals[i] <= arrivals[j] - second) ++i;
    most = std::max(most, j - i + 1);
  }
  CHECK(most <= 29);
  CHECK(arrivals.size() > 60 * 7);  // and it gets what it bears, about
}
