#include "../../src/app/apply_throttle.h"

#include <CppUTest/TestHarness.h>

using robinpin::app::ApplyThrottle;

namespace {
constexpr std::int64_t millisecond = 1'000, second = 1'000'000;
}

TEST_GROUP(ApplyThrottle){};

TEST(ApplyThrottle, the_first_is_due_at_once_and_the_next_takes_a_tenth_of_the_processor_at_most) {
  ApplyThrottle throttle;
  CHECK(throttle.due(0));
  throttle.applied(0, 1 * millisecond);
  CHECK_FALSE(throttle.due(20 * millisecond));
  CHECK(throttle.due(21 * millisecond));
  throttle.applied(30 * millisecond, 40 * millisecond);
  CHECK_FALSE(throttle.due(129 * millisecond));
  CHECK(throttle.due(130 * millisecond));
}

TEST(ApplyThrottle, one_that_was_stopped_for_long_by_the_clock_puts_the_next_off_by_no_more_than_its_bound) {
  ApplyThrottle throttle;
  throttle.applied(0, 5 * second);  // the process was stopped, or others had the processor
  CHECK_EQUAL(5 * second + ApplyThrottle::longest_pause, throttle.next());
  CHECK(ApplyThrottle::longest_pause <= second / 2);
}
