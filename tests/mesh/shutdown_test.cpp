// What a process does between its SIGTERM and its SIGKILL, against what the rules allow.
#include "../../src/mesh/shutdown_schedule.h"

#include <CppUTest/TestHarness.h>

using robinpin::mesh::ShutdownSchedule;

TEST_GROUP(Shutdown){};

TEST(Shutdown, requests_are_given_up_only_where_the_rules_excuse_it_and_the_process_ends_in_time) {
  constexpr std::int64_t second = 1'000'000, tick = second / 10;
  for (const std::int64_t grace : {4 * second, 6 * second, 10 * second, 30 * second}) {
    const auto s = ShutdownSchedule::within(grace);
    CHECK(s.gives_up_at > grace * 5 / 6);  // the server was at work in the last sixth
    CHECK(s.refuses_from < 3 * second);    // and the request was sent in the first three seconds
    CHECK(s.refuses_from < s.earliest_end);
    CHECK(s.gives_up_at + 2 * tick < s.latest_end);  // the answers are written
    CHECK(s.latest_end + tick < grace);
  }
}
