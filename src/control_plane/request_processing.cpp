// Operators' requests: their queue, the proposals that carry them, and how these end.
#include <algorithm>

#include "replicated_state.h"
#include "replicated_state_internal.h"

namespace robinpin::control_plane {

using consensus::fate;
using consensus::verdict;
using consensus::wish;

namespace {

constexpr std::size_t batch_bytes = 1'000'000;

const RequestOutcome no_majority{503, R"({"fault":"no majority of the core answers"})"},
    can_not_tell{503, R"({"fault":"this core can't tell now"})"},
    disk_failed{503, R"({"fault":"the disk has failed"})"};

}  // namespace

void ReplicatedState::order(std::int64_t now, OperatorRequest order, Done done, Outbox& out) {
  expire(now);
  if (failed_ || requests_.size() >= most_orders || voters().version == 0) return done(can_not_tell);
  requests_.push_back({ValidatedCall(std::move(order)), std::move(done), now + patience, false, {}});
  work(now, out);
}

void ReplicatedState::answer(std::deque<PendingRequest>::iterator at, RequestOutcome outcome) {
  const Done done = std::move(at->done);
  if (outcome.status == 200 && at->call.reads()) outcome.body = configuration::written_out(configuration_);
  requests_.erase(at);
  done(std::move(outcome));
}

// Before anything that has come is looked at: a process that stood still must not end an order by answers of
// before.
void ReplicatedState::expire(std::int64_t now) {
  for (std::size_t i = 0; i < requests_.size();)
    if (failed_)
      answer(requests_.begin() + std::ptrdiff_t(i), disk_failed);
    else if (now >= requests_[i].until)
      answer(requests_.begin() + std::ptrdiff_t(i), no_majority);
    else
      ++i;
  const bool wanted =
      std::any_of(requests_.begin(), requests_.end(), [](const PendingRequest& w) { return w.tried; });
  if (attempt_ && (failed_ || now >= attempt_->begun + patience || (!wanted && doubtful_since_ == 0))) {
    attempt_.reset();  // what it has sent may come to stand: nobody was told either way
    for (PendingRequest& w : requests_) w.tried = false;
  }
  if (seats_ && (failed_ || now >= seats_->begun + patience)) seats_.reset();
}

void ReplicatedState::work(std::int64_t now, Outbox& out) {
  expire(now);
  if (!attempt_) propose(now, out);
  gossip_.whole(fresh(now));
}

void ReplicatedState::propose(std::int64_t now, Outbox& out) {
  const bool doubtful = doubtful_since_ > 0 && now - doubtful_since_ >= doubtful_for;
  if (failed_ || (requests_.empty() && !doubtful) || now < not_before_ || voters().version == 0) return;
  if (highest_known_ > committed_.number && !doubtful) return continue_catch_up(now, out);
  StateView view(configuration_);
  std::size_t bytes = configuration_.bytes();
  for (PendingRequest& w : requests_) {
    w.tried = true;
    w.verdict = w.call.judge(view);
    if (view.bytes() > bytes + batch_bytes) break;
  }
  const auto changes = view.changes();
  consensus::Want want;
  want.name = state_register;
  if (!changes.empty()) {
    want.what = wish::write;
    want.expected = committed_.number;
    want.text = packed(changes);
    want.by = proposer_ + "/" + std::to_string(++attempts_);
  }
  const auto b = ballot();
  attempt_.emplace(Attempt{
      consensus::Proposal(voters(), b, want), !changes.empty(), {}, now, 0, again, committed_.number, b});
  take_step(now, attempt_, attempt_->proposal.begin(), out);
}

void ReplicatedState::take_step(std::int64_t now, std::optional<Attempt>& attempt, consensus::Step step,
                                Outbox& out) {
  if (!step.send.empty()) {
    attempt->unanswered.clear();
    for (auto& s : step.send) {
      const Machine m = machine_of(s.to.address);
      auto bytes =
          written(kind::ask, ConsensusRequest{std::move(s.ask), committed_,
                                              last_.version > 0 && last_.version == committed_.number,
                                              store(), voter_->memory().counter});
      FragmentAssembler::send(m, bytes, out);
      attempt->unanswered[s.to.store] = {m, std::move(bytes)};
    }
    attempt->pause = again;
    attempt->next = now + again;
  }
  if (!step.end) return;
  const bool wrote = attempt->writes;
  const std::uint64_t base = attempt->base;
  attempt.reset();
  round_ = std::max(round_, step.end->round);
  if (step.end->newer) told(now, *step.end->newer);
  if (&attempt == &seats_)
    on_voter_change_ended(now, *step.end, out);
  else
    ended(now, *step.end, wrote, base, out);
}

void ReplicatedState::ended(std::int64_t now, const consensus::Outcome& o, bool wrote, std::uint64_t base,
                            Outbox& out) {
  if (o.how == fate::chosen && (wrote || o.value.version == base)) {
    tries_ = 0;
    if (wrote) {
      settled(now, o.value, out);
      beat(now, out, true);
    }
    // What they were judged on was current, and is followed by nothing but what this attempt itself has
    // settled.
    for (std::size_t i = 0; i < requests_.size();)
      if (requests_[i].tried)
        answer(requests_.begin() + std::ptrdiff_t(i), requests_[i].verdict);
      else
        ++i;
  } else if (o.how == fate::chosen || o.how == fate::refused) {
    settled(now, o.value, out);  // others came first: judged anew
  } else if (o.how == fate::full) {
    for (std::size_t i = 0; i < requests_.size();)
      if (requests_[i].tried)
        answer(requests_.begin() + std::ptrdiff_t(i), {507, R"({"fault":"too much at once"})"});
      else
        ++i;
  } else {
    not_before_ = now + consensus::wait_before(int(std::min<std::uint64_t>(++tries_, 8)),
                                               double(chance_() >> 11) / double(1ULL << 53));
  }
  for (PendingRequest& w : requests_) w.tried = false;
  if (!attempt_) propose(now, out);
}

}  // namespace robinpin::control_plane
