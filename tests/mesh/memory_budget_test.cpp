// The budget of what a process holds for its peers.
#include <chrono>
#include <memory>

#include "../../src/net/memory_budget.h"

#include <CppUTest/TestHarness.h>

using robinpin::node::MemoryBudget;
using robinpin::node::steady;
using Reservation = MemoryBudget::Reservation;
using Use = MemoryBudget::Use;

namespace {

class Peer : public MemoryBudget::Consumer {
 public:
  Peer(const std::shared_ptr<MemoryBudget>& budget, std::chrono::seconds age)
      : memory(budget), budget_(*budget), since_(steady::now() - age), place_(budget_.add(this)) {}
  ~Peer() override { budget_.remove(place_); }
  std::size_t evictable_bytes() const override { return memory.bytes(); }
  steady::time_point in_use_since() const override { return since_; }
  void evict() override { memory.release(); }
  Reservation memory;

 private:
  MemoryBudget& budget_;
  const steady::time_point since_;
  const MemoryBudget::Consumers::iterator place_;
};

}  // namespace

TEST_GROUP(MemoryBudget){};

// Guards against half-sent requests or long answers that take the last of the budget.
TEST(MemoryBudget, each_use_leaves_room_for_ordinary_requests_and_a_single_one_may_take_all_of_it) {
  const auto budget = std::make_shared<MemoryBudget>(1'000);
  {
    Reservation alone(budget);
    CHECK(alone.resize(900, Use::partial_request));  // nothing else is there
    CHECK_FALSE(alone.resize(1'001, Use::partial_request));
    CHECK_EQUAL(900, alone.bytes());
  }
  CHECK_EQUAL(0, budget->in_use());
  Reservation first(budget), second(budget), answer(budget), another(budget), ordinary(budget);
  CHECK(first.resize(300, Use::partial_request));
  CHECK_FALSE(second.resize(201, Use::partial_request));
  CHECK(second.resize(200, Use::partial_request));
  CHECK(first.resize(300, Use::ordinary));  // it has come whole: the next may come
  CHECK(first.resize(0, Use::ordinary));
  CHECK(answer.resize(500, Use::long_answer));
  CHECK_FALSE(another.resize(251, Use::long_answer));
  CHECK(ordinary.resize(300, Use::ordinary));
  CHECK_FALSE(ordinary.resize(301, Use::ordinary));
  CHECK_EQUAL(1'000, budget->highest());
  CHECK_EQUAL(4, budget->refused());
}

// Guards against peers that hold much for long: they are closed before anyone else is refused.
TEST(MemoryBudget, who_has_held_most_for_longest_is_evicted_first_and_nobody_who_has_just_come) {
  const auto budget = std::make_shared<MemoryBudget>(1'000);
  Peer long_ago(budget, std::chrono::seconds(60)), large(budget, std::chrono::seconds(10)),
      just_now(budget, std::chrono::seconds(0));
  CHECK(long_ago.memory.resize(100, Use::ordinary));
  CHECK(large.memory.resize(500, Use::ordinary));
  CHECK(just_now.memory.resize(400, Use::ordinary));
  Reservation next(budget);
  CHECK(next.resize(100, Use::ordinary));
  CHECK_EQUAL(0, long_ago.memory.bytes());  // 100 bytes for 60 s are more than 500 for 10 s
  CHECK_EQUAL(500, large.memory.bytes());
  CHECK(next.resize(600, Use::ordinary));
  CHECK_EQUAL(0, large.memory.bytes());
  CHECK_FALSE(next.resize(601, Use::ordinary));
  CHECK_EQUAL(400, just_now.memory.bytes());
  CHECK_EQUAL(2, budget->evicted());
}
