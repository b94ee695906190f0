// The budget of what a process holds for its peers.
#include <chrono>
#include <memory>
#include <optional>

#include "../../src/net/memory_budget.h"

#include <CppUTest/TestHarness.h>

using robinpin::node::MemoryBudget;
using robinpin::node::steady;
using Reservation = MemoryBudget::Reservation;
using Use = MemoryBudget::Use;

namespace {

class Peer : public MemoryBudget::Consumer {
 public:
  Peer(const std::shared_ptr<MemoryBudget>& budget, std::chrono::seconds age,
       std::shared_ptr<MemoryBudget::Share> share = nullptr)
      : memory(budget, std::move(share)),
        budget_(*budget),
        since_(steady::now() - age),
        place_(budget_.add(this)) {}
  ~Peer() override { budget_.remove(place_); }
  std::size_t evictable_bytes(const MemoryBudget::Shortage& shortage) const override {
    return memory.bytes(shortage);
  }
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

// Guards against a server whose answers take what the peers of all other connections need.
TEST(MemoryBudget, the_answers_of_one_server_leave_as_much_free_as_they_take) {
  const auto budget = std::make_shared<MemoryBudget>(1'600);
  const auto faulty = std::make_shared<MemoryBudget::Share>("faulty"),
             sound = std::make_shared<MemoryBudget::Share>("sound");
  Peer client(budget, std::chrono::seconds(60));
  CHECK(client.memory.resize(100, Use::partial_request));
  Reservation first(budget, faulty), second(budget, faulty), third(budget, faulty);
  CHECK(first.resize(400, Use::long_answer));
  CHECK(second.resize(350, Use::long_answer));
  CHECK_FALSE(third.resize(1, Use::ordinary));  // 750 of its own, 750 free
  CHECK_FALSE(first.resize(401, Use::long_answer));
  CHECK_EQUAL(100, client.memory.bytes());  // nobody is closed for it
  CHECK_EQUAL(2, budget->refused_by_share());
  STRCMP_EQUAL("faulty", budget->last_refused_server().c_str());
  Reservation answer(budget, sound), request(budget);
  CHECK(answer.resize(300, Use::long_answer));
  CHECK(request.resize(300, Use::ordinary));
  second.release();
  CHECK_EQUAL(400, faulty->bytes());
}

// Guards against long answers in calm that are refused, and short ones that are whatever else is held.
TEST(MemoryBudget, a_single_long_answer_may_take_nearly_all_and_a_small_share_is_always_granted) {
  const auto budget = std::make_shared<MemoryBudget>(1'600);
  const auto one = std::make_shared<MemoryBudget::Share>("one"),
             other = std::make_shared<MemoryBudget::Share>("other");
  Reservation single(budget, one), further(budget, other);
  CHECK(single.resize(100, Use::ordinary));
  CHECK(single.resize(1'400, Use::long_answer));
  CHECK_FALSE(single.resize(1'401, Use::long_answer));
  CHECK(further.resize(100, Use::ordinary));
  CHECK_FALSE(further.resize(101, Use::ordinary));
  CHECK(single.resize(1'200, Use::long_answer));
  Reservation client(budget);
  CHECK(client.resize(100, Use::ordinary));  // what others hold counts, too
  CHECK_FALSE(single.resize(1'201, Use::long_answer));
}

// Guards against a client in the midst of its request that is closed though that frees nothing of what is
// short.
TEST(MemoryBudget, who_holds_nothing_of_the_use_that_is_short_is_not_evicted) {
  const auto budget = std::make_shared<MemoryBudget>(1'000);
  Peer uploading(budget, std::chrono::seconds(60)), reading(budget, std::chrono::seconds(2));
  CHECK(uploading.memory.resize(100, Use::partial_request));
  CHECK(reading.memory.resize(600, Use::long_answer));
  Reservation next(budget);
  CHECK(next.resize(200, Use::long_answer));
  CHECK_EQUAL(100, uploading.memory.bytes());
  CHECK_EQUAL(0, reading.memory.bytes());
}

// Guards against unfinished requests and long answers that together leave nothing for ordinary requests.
TEST(MemoryBudget, requests_in_part_and_long_answers_together_leave_a_quarter_for_ordinary_requests) {
  const auto budget = std::make_shared<MemoryBudget>(1'000);
  Reservation upload(budget), answer(budget), another(budget), ordinary(budget);
  CHECK(upload.resize(400, Use::partial_request));
  CHECK(answer.resize(350, Use::long_answer));
  CHECK_FALSE(another.resize(1, Use::long_answer));
  CHECK_FALSE(upload.resize(401, Use::partial_request));
  CHECK(ordinary.resize(250, Use::ordinary));
}

// Guards against a server whose share is taken by clients that read nothing of its answers.
TEST(MemoryBudget, who_makes_no_progress_gives_way_to_others_at_the_same_server) {
  const auto budget = std::make_shared<MemoryBudget>(1'600);
  const auto server = std::make_shared<MemoryBudget::Share>("server"),
             other = std::make_shared<MemoryBudget::Share>("other");
  Peer stalled(budget, std::chrono::seconds(5), server), elsewhere(budget, std::chrono::seconds(60), other);
  CHECK(elsewhere.memory.resize(300, Use::long_answer));
  CHECK(stalled.memory.resize(600, Use::long_answer));
  Reservation next(budget, server);
  CHECK(next.resize(300, Use::long_answer));
  CHECK_EQUAL(0, stalled.memory.bytes());
  CHECK_EQUAL(300, elsewhere.memory.bytes());
}

// Guards against ordinary requests that hear 503 for as long as a crowd that stands still is there.
TEST(MemoryBudget, room_for_a_request_is_made_by_closing_who_makes_no_progress) {
  const auto budget = std::make_shared<MemoryBudget>(12'800);
  Peer stalled(budget, std::chrono::seconds(5)), at_work(budget, std::chrono::seconds(0));
  CHECK(stalled.memory.resize(6'000, Use::ordinary));
  CHECK(at_work.memory.resize(6'800, Use::ordinary));
  CHECK(budget->ensure_capacity_for_request());
  CHECK_EQUAL(0, stalled.memory.bytes());
  Reservation rest(budget);
  CHECK(rest.resize(6'000, Use::ordinary));
  CHECK_FALSE(budget->ensure_capacity_for_request());
  CHECK_EQUAL(6'800, at_work.memory.bytes());
}

// Guards against comforts, as a wider buffer, that others are closed for.
TEST(MemoryBudget, what_is_only_taken_if_it_is_free_closes_nobody_and_is_no_refusal) {
  const auto budget = std::make_shared<MemoryBudget>(1'000);
  Peer peer(budget, std::chrono::seconds(60));
  CHECK(peer.memory.resize(700, Use::ordinary));
  Reservation wider(budget);
  CHECK_FALSE(wider.resize_if_free(301, Use::long_answer));
  CHECK(wider.resize_if_free(300, Use::long_answer));
  CHECK_EQUAL(700, peer.memory.bytes());
  CHECK_EQUAL(0, budget->refused() + budget->evicted());
}

// Guards against a search in vain that keeps others from finding who is in their way.
TEST(MemoryBudget, who_is_closed_is_found_whatever_was_searched_for_in_vain_before) {
  const auto budget = std::make_shared<MemoryBudget>(1'600);
  const auto server = std::make_shared<MemoryBudget::Share>("server");
  Peer uploading(budget, std::chrono::seconds(5));
  CHECK(uploading.memory.resize(700, Use::partial_request));
  Reservation answer(budget, server), other(budget);
  CHECK(other.resize(10, Use::long_answer));
  CHECK(answer.resize(440, Use::long_answer));
  CHECK_FALSE(answer.resize(450, Use::long_answer));  // its share is taken, and nobody stalls at it
  CHECK(other.resize(100, Use::long_answer));         // the upload is in the way of both uses together
  CHECK_EQUAL(0, uploading.memory.bytes());
}
