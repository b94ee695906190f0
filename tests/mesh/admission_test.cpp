#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <vector>

#include "../../src/sidecar/retry_budget.h"
#include "../../src/admission/admission_controller.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using admission::AdmissionController;
using admission::RejectReason;

namespace {
constexpr std::int64_t ms = 1000, second = 1'000'000;
admission::Server server(const std::string& id, std::uint64_t sequence, bool draining = false) {
  admission::Server s;
  s.id = id, s.service = "one", s.slots = 4, s.sequence = sequence, s.draining = draining;
  return s;
}
AdmissionController::RequestInfo asked(std::int64_t deadline, std::int64_t to_aim) {
  return {deadline, to_aim, deadline};
}
const AdmissionController::RequestInfo usual = asked(4 * second, 600 * ms);
}  // namespace

TEST_GROUP(Admission){};

TEST(Admission, nothing_new_passes_to_one_that_drains_also_by_a_late_beat_that_calls_it_admitted) {
  AdmissionController g;
  CHECK(RejectReason::no_server == g.check(0, "a", {}, usual));
  CHECK(g.on_heartbeat(0, server("a", 4), 0));
  CHECK(RejectReason::none == g.check(1, "a", {}, usual));
  CHECK(g.on_heartbeat(2, server("a", 6, true), 0));
  CHECK(RejectReason::draining == g.check(3, "a", {}, usual));
  CHECK_FALSE(g.on_heartbeat(4, server("a", 5), 0));
  CHECK(g.on_heartbeat(5, server("a", 7), 0));
  CHECK(RejectReason::draining == g.check(6, "a", {}, usual));
  g.on_departure("a");
  CHECK(RejectReason::no_server == g.check(7, "a", {}, usual));
  CHECK_FALSE(g.on_heartbeat(8, server("a", 8), 0));  // gone for good: only another incarnation comes back
  CHECK(RejectReason::no_server == g.check(9, "a", {}, usual));
  CHECK(g.on_heartbeat(10, server("b", 1), 0));
  CHECK(RejectReason::other_instance == g.check(11, "a", {}, usual));
}

// A connection that was slow to open brings it after the server that came next has called.
TEST(Admission, a_late_word_of_an_earlier_life_brings_it_not_back_and_forgets_nothing_of_the_present_one) {
  AdmissionController g;
  AdmissionController::Limits b;
  b.warmup_per_s = 1;
  CHECK(g.on_heartbeat(0, server("a", 7), 0));
  CHECK(g.on_heartbeat(1, server("b", 1), second));
  g.on_admitted(false), g.on_written(2, false);
  CHECK_FALSE(g.on_heartbeat(3, server("a", 8, true), 0));
  g.on_departure("a");
  CHECK(RejectReason::other_instance == g.check(4, "a", b, usual));
  CHECK(RejectReason::warming_up == g.check(4, "b", b, usual));  // its one of this second is counted still
  for (int i = 0; i < 20; ++i) CHECK(g.on_heartbeat(10 + i, server("c" + std::to_string(i), 1), 0));
  CHECK_FALSE(g.on_heartbeat(50, server("c18", 2), 0));
  CHECK(RejectReason::none == g.check(51, "c19", {}, usual));
}

// Guards against a successor that is passed over for good: after a restart a late heartbeat of its
// predecessor came behind its own first one.
TEST(Admission, an_instance_that_goes_on_sending_heartbeats_is_reinstated_and_a_late_one_is_not) {
  AdmissionController g(3 * second);
  CHECK(g.on_heartbeat(0, server("b", 7), 0));
  CHECK(g.on_heartbeat(second, server("a", 40), 0));  // late: it ended before "b" started
  CHECK_FALSE(g.on_heartbeat(2 * second, server("b", 8), 0));
  CHECK(g.on_heartbeat(4 * second + 1, server("b", 9), 0));
  CHECK(RejectReason::none == g.check(4 * second + 2, "b", {}, usual));
  CHECK_FALSE(g.on_heartbeat(5 * second, server("a", 41), 0));  // a further late one: "b" is heard
  CHECK(RejectReason::none == g.check(5 * second + 1, "b", {}, usual));
  CHECK_FALSE(g.on_heartbeat(30 * second, server("a", 40), 0));  // one that was counted before
  CHECK_FALSE(g.on_heartbeat(30 * second, server("a", 42, true), 0));
  CHECK_FALSE(AdmissionController(g).on_heartbeat(6 * second, server("c", 9, true), 0));  // nor one unknown
}

TEST(Admission, of_an_emptied_zone_nothing_passes_and_the_server_is_doubted_when_it_is_taken_back) {
  AdmissionController g;
  g.on_heartbeat(0, server("a", 1), 0);
  AdmissionController::Limits b;
  b.zone_evacuated = true, b.warmup_per_s = 1;
  CHECK(RejectReason::evacuated == g.check(1, "a", b, usual));
  b.zone_evacuated = false;
  g.assume_warmup_until(2 * second);
  CHECK(RejectReason::none == g.check(2, "a", b, usual));
  g.on_admitted(false);
  CHECK(RejectReason::warming_up == g.check(3, "a", b, usual));
  g.set_warmup_left(4, 0);
  CHECK(RejectReason::none == g.check(5, "a", b, usual));
}

TEST(Admission, a_crowd_of_any_rhythm_never_brings_a_cold_server_more_in_a_second_than_it_bears) {
  std::mt19937 chance(3);
  AdmissionController g;
  g.on_heartbeat(0, server("a", 1), 60 * second);
  AdmissionController::Limits b;
  b.warmup_per_s = 5.2, b.conn_limit = 1'000'000;
  std::deque<std::int64_t> passed;
  std::size_t most = 0, all = 0;
  for (std::int64_t now = 0; now < 30 * second; now += std::int64_t(chance() % 40'000)) {
    if (g.check(now, "a", b, usual) != RejectReason::none) continue;
    g.on_admitted(false), g.on_written(now, false), g.on_finished(now, 0, 0);
    passed.push_back(now), ++all;
    while (passed.front() <= now - second) passed.pop_front();
    most = std::max(most, passed.size());
  }
  CHECK_EQUAL(5, most);
  CHECK(all > 100);
}

TEST(Admission, what_a_busy_process_writes_late_does_not_meet_the_next_second) {
  AdmissionController g;
  AdmissionController::Limits b;
  b.warmup_per_s = 5;
  g.on_heartbeat(0, server("a", 1), 60 * second);
  for (int i = 0; i < 5; ++i) g.on_admitted(false);
  CHECK(RejectReason::warming_up ==
        g.check(1'500 * ms, "a", b, usual));  // let through long ago, written to nobody yet
  for (int i = 0; i < 5; ++i) g.on_written(1'600 * ms, false);
  CHECK(RejectReason::warming_up == g.check(2'500 * ms, "a", b, usual));
  CHECK(RejectReason::none == g.check(2'700 * ms, "a", b, usual));
  g.on_admitted(false), g.on_aborted(2'700 * ms, false, false);
  for (int i = 0; i < 5; ++i) {
    CHECK(RejectReason::none == g.check(2'700 * ms, "a", b, usual));
    g.on_admitted(false);
  }
  CHECK(RejectReason::warming_up == g.check(2'700 * ms, "a", b, usual));
}

TEST(Admission, a_process_that_begins_in_the_midst_of_a_cold_second_sends_nothing_more_in_it) {
  AdmissionController g;
  AdmissionController::Limits b;
  b.warmup_per_s = 5;
  g.on_heartbeat(0, server("a", 7),
                 3 * second);  // its seventh beat: the process before this one may have sent five just now
  CHECK(RejectReason::warming_up == g.check(900 * ms, "a", b, usual));
  CHECK(RejectReason::none == g.check(1'100 * ms, "a", b, usual));
  AdmissionController fresh;
  fresh.on_heartbeat(0, server("a", 1), 3 * second);
  CHECK(RejectReason::none == fresh.check(1, "a", b, usual));
}

TEST(Admission, who_would_be_late_is_held_back_and_callers_that_have_worked_wait_longest) {
  AdmissionController g;
  g.on_heartbeat(0, server("a", 1), 0);
  AdmissionController::Limits b;
  b.shortest_deadline = 500 * ms;
  for (int i = 0; i < 40; ++i) g.on_admitted(false), g.on_written(i, false), g.on_finished(i, 0, 100 * ms);
  int usual_most = 0, tight_most = 0;
  for (; g.check(50, "a", b, usual) == RejectReason::none; ++usual_most) g.on_admitted(false);
  tight_most = usual_most;
  for (; g.check(50, "a", b, asked(500 * ms, 150 * ms)) == RejectReason::none; ++tight_most)
    g.on_admitted(false);
  CHECK_EQUAL(8, usual_most);   // half of 0.8 x 500 ms at 4 slots of 100 ms
  CHECK_EQUAL(16, tight_most);  // all of it
}

TEST(Admission, a_free_slot_is_never_refused_however_slow_the_server_has_become) {
  AdmissionController g;
  g.on_heartbeat(0, server("a", 1), 0);
  for (int i = 0; i < 40; ++i) g.on_admitted(false), g.on_written(i, false), g.on_finished(i, 0, 20 * second);
  CHECK(RejectReason::none == g.check(50, "a", {}, usual));
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
  g.on_heartbeat(0, server("a", 1), 60 * second);
  AdmissionController::Limits b;
  b.known = false;  // so neither the rate of a cold server nor emptied zones are known
  CHECK(RejectReason::not_ready == g.check(1, "a", b, usual));
}

TEST(Admission, long_bodies_are_let_in_as_far_as_the_link_brings_them_in_time) {
  AdmissionController g;
  g.on_heartbeat(0, server("a", 1), 0);
  AdmissionController::Limits b;
  b.link_bytes_per_s = 1e6;
  AdmissionController::RequestInfo upload = {10 * second, 1'000 * ms, 10 * second, true, 300'000};
  std::deque<double> coming;
  const auto let_in = [&](const AdmissionController::RequestInfo& a) {
    int n = 0;
    for (; g.check(1, "a", b, a) == RejectReason::none && n < 100; ++n)
      g.on_admitted(true), g.add_expected_bytes(a.body_bytes), coming.push_back(a.body_bytes);
    return n;
  };
  CHECK_EQUAL(2, let_in(upload));                          // 0.6 MB of the 0.68 that come in 0.8 of its aim
  CHECK(RejectReason::none == g.check(1, "a", b, usual));  // others don't wait for them
  upload.to_latency_target = 0;  // late already: only where there is little else on the way
  CHECK_EQUAL(0, let_in(upload));
  g.add_expected_bytes(-600'000), g.on_written(1, true), g.on_finished(1, 0, 0), g.on_written(1, true),
      g.on_finished(1, 0, 0);
  CHECK_EQUAL(2, let_in(upload));
  g.add_expected_bytes(-600'000), g.on_aborted(1, true, false), g.on_aborted(1, true, false);
  upload.body_bytes = 50'000'000;  // longer than any patience: alone it still goes
  CHECK_EQUAL(1, let_in(upload));
}

// Its link is shared: calls of 0.5 s behind a second of bodies would all be late.
TEST(Admission, long_bodies_leave_time_on_the_link_for_the_requests_with_the_shortest_deadline) {
  AdmissionController g;
  g.on_heartbeat(0, server("a", 1), 0);
  AdmissionController::Limits b;
  b.link_bytes_per_s = 1e6, b.shortest_deadline = 500 * ms;
  const AdmissionController::RequestInfo upload = {10 * second, 1'000 * ms, 10 * second, true, 60'000};
  int let_in = 0;
  for (; g.check(1, "a", b, upload) == RejectReason::none && let_in < 100; ++let_in)
    g.on_admitted(true), g.add_expected_bytes(upload.body_bytes);
  CHECK_EQUAL(2, let_in);  // 0.12 MB of the 0.17 that come in half of 0.8 x 500 ms; 11 in 0.8 of its aim
  const AdmissionController::RequestInfo shortest = {500 * ms, 400 * ms, 500 * ms, true, 60'000};
  CHECK(RejectReason::none == g.check(1, "a", b, shortest));  // they have until their own aim
}

TEST(Admission, the_servers_own_time_takes_up_nothing_of_the_link_beside_the_shortest_deadline) {
  AdmissionController g;
  g.on_heartbeat(0, server("a", 6), 0);
  for (int i = 0; i < 40; ++i) g.on_admitted(false), g.on_written(i, false), g.on_finished(i, 0, 300 * ms);
  AdmissionController::Limits b;
  b.link_bytes_per_s = 6e6, b.shortest_deadline = 600 * ms;
  const AdmissionController::RequestInfo upload = {10 * second, 1'500 * ms, 10 * second, true, 300'000};
  g.on_admitted(true), g.add_expected_bytes(upload.body_bytes);
  CHECK(RejectReason::none == g.check(1, "a", b, upload));  // 0.12 s on the link, of 0.24
}

TEST(Admission, an_upload_cut_off_on_its_way_counts_for_its_second_at_a_cold_server) {
  AdmissionController g;
  g.on_heartbeat(0, server("a", 1), 60 * second);
  AdmissionController::Limits b;
  b.warmup_per_s = 1, b.max_during_warmup = 29;
  g.on_admitted(true), g.on_aborted(100 * ms, true, true);
  CHECK(RejectReason::warming_up == g.check(200 * ms, "a", b, usual));
  CHECK(RejectReason::none == g.check(1'200 * ms, "a", b, usual));
  g.on_admitted(true), g.on_aborted(1'200 * ms, true, false);  // nothing of it went out
  CHECK(RejectReason::none == g.check(1'201 * ms, "a", b, usual));
}

TEST(Admission, what_a_starved_node_notes_late_never_brings_a_cold_server_more_than_the_rules_allow) {
  AdmissionController g;
  g.on_heartbeat(0, server("a", 1), 600 * second);
  AdmissionController::Limits b;
  b.warmup_per_s = 14, b.max_during_warmup = 29, b.conn_limit = 1'000;
  // Each batch is noted as written at once and arrives up to 1.5 s later, as it is answered: batches may meet
  // there.
  std::mt19937 chance(5);
  std::multimap<std::int64_t, std::int64_t> ends;
  std::vector<std::int64_t> arrivals;
  for (std::int64_t now = 0; now < 60 * second; now += 10 * ms) {
    for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin())) g.on_finished(now, 0, 0);
    while (g.check(now, "a", b, usual) == RejectReason::none) {
      g.on_admitted(false), g.on_written(now, false);
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
