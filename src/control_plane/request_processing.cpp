// Operators' requests: their queue, the proposals that carry them, and how these end.
#include <algorithm>

#include "replicated_state.h"
#include "replicated_state_internal.h"

namespace robinpin::control_plane {

using consensus::fate;
using consensus::verdict;
using consensus::wish;

namespace {

constexpr std::size_t max_batch_bytes = 1'000'000;

const RequestOutcome no_majority{503, R"({"fault":"no majority of the core answers"})"},
    not_available{503, R"({"fault":"this core can't tell now"})"},
    storage_failed{503, R"({"fault":"the disk has failed"})"};

}  // namespace

void ReplicatedState::submit(std::int64_t now, OperatorRequest request, Done done, Outbox& out) {
  submit(now, ValidatedCall(std::move(request)), std::move(done), out);
}

void ReplicatedState::submit(std::int64_t now, ValidatedCall call, Done done, Outbox& out) {
  expire_requests(now);
  if (storage_failure_ || requests_.size() >= max_pending_requests || voters().version == 0)
    return done(not_available);
  requests_.push_back({std::move(call), std::move(done), now + request_timeout, false, {}});
  process_requests(now, out);
}

void ReplicatedState::complete_request(std::deque<PendingRequest>::iterator at, RequestOutcome outcome) {
  const Done done = std::move(at->done);
  if (outcome.status == 200 && at->call.reads()) outcome.shared_body = configuration_text();
  requests_.erase(at);
  done(std::move(outcome));
}

std::shared_ptr<const std::string> ReplicatedState::configuration_text() {
  std::shared_ptr<const std::string> text = configuration_text_.lock();
  if (text && text_as_of_ == configuration_.changes()) return text;
  text = std::make_shared<const std::string>(configuration::written_out(configuration_));
  configuration_text_ = text;
  text_as_of_ = configuration_.changes();
  return text;
}

// Runs before any received message is handled: a process that was suspended must not complete a request by
// replies from before.
void ReplicatedState::expire_requests(std::int64_t now) {
  for (std::size_t i = 0; i < requests_.size();)
    if (storage_failure_)
      complete_request(requests_.begin() + std::ptrdiff_t(i), storage_failed);
    else if (now >= requests_[i].deadline)
      complete_request(requests_.begin() + std::ptrdiff_t(i), no_majority);
    else
      ++i;
  const bool any_request =
      std::any_of(requests_.begin(), requests_.end(), [](const PendingRequest& w) { return w.in_attempt; });
  if (attempt_ && (storage_failure_ || now >= attempt_->started_at + request_timeout ||
                   (!any_request && undecided_since_ == 0))) {
    attempt_.reset();  // its value may still be committed: no caller was told either way
    for (PendingRequest& w : requests_) w.in_attempt = false;
  }
  if (voter_change_ && (storage_failure_ || now >= voter_change_->started_at + request_timeout))
    voter_change_.reset();
}

void ReplicatedState::process_requests(std::int64_t now, Outbox& out) {
  expire_requests(now);
  if (!attempt_) propose(now, out);
  confirm_retirements(out);
  gossip_.whole(is_current(now));
}

void ReplicatedState::propose(std::int64_t now, Outbox& out) {
  const bool undecided = undecided_since_ > 0 && now - undecided_since_ >= undecided_timeout;
  if (storage_failure_ || (requests_.empty() && !undecided) || now < next_proposal_ || voters().version == 0)
    return;
  if (highest_known_ > committed_.number && !undecided) return continue_catch_up(now, out);
  StateView view(configuration_);
  std::size_t bytes = configuration_.bytes();
  for (PendingRequest& w : requests_) {
    w.in_attempt = true;
    w.outcome = w.call.evaluate(view);
    if (view.bytes() > bytes + max_batch_bytes) break;
  }
  const auto changes = view.changes();
  consensus::Want want;
  want.name = state_register;
  if (!changes.empty()) {
    want.what = wish::write;
    want.expected = committed_.number;
    want.text = encode_items(changes);
    want.by = proposer_ + "/" + std::to_string(++proposed_writes_);
  }
  const auto b = next_ballot();
  attempt_.emplace(Attempt{consensus::Proposal(voters(), b, want),
                           !changes.empty(),
                           {},
                           now,
                           0,
                           resend_interval,
                           committed_.number,
                           b});
  perform_step(now, attempt_, attempt_->proposal.begin(), out);
}

void ReplicatedState::perform_step(std::int64_t now, std::optional<Attempt>& attempt, consensus::Step step,
                                   Outbox& out) {
  if (!step.send.empty()) {
    attempt->unanswered.clear();
    for (auto& s : step.send) {
      const Machine m = parse_address(s.to.address);
      auto bytes =
          encode(MessageType::consensus_request,
                 ConsensusRequest{std::move(s.ask), committed_,
                                  last_committed_.version > 0 && last_committed_.version == committed_.number,
                                  store(), voter_->memory().counter});
      FragmentAssembler::send(m, bytes, out);
      attempt->unanswered[s.to.store] = {m, std::move(bytes)};
    }
    attempt->resend_delay = resend_interval;
    attempt->next_resend = now + resend_interval;
  }
  if (!step.end) return;
  const bool is_write = attempt->writes;
  const std::uint64_t base_number = attempt->base_number;
  attempt.reset();
  round_ = std::max(round_, step.end->round);
  if (step.end->newer) adopt_voters(now, *step.end->newer);
  if (&attempt == &voter_change_)
    on_voter_change_ended(now, *step.end, out);
  else
    on_attempt_ended(now, *step.end, is_write, base_number, out);
}

void ReplicatedState::on_attempt_ended(std::int64_t now, const consensus::Outcome& outcome, bool is_write,
                                       std::uint64_t base_number, Outbox& out) {
  if (outcome.how == fate::chosen && (is_write || outcome.value.version == base_number)) {
    failed_attempts_ = 0;
    if (is_write) {
      on_committed(now, outcome.value, out);
      send_heartbeats(now, out, true);
    }
    // The state that they were evaluated on was current, and only this attempt has changed it since.
    for (std::size_t i = 0; i < requests_.size();)
      if (requests_[i].in_attempt)
        complete_request(requests_.begin() + std::ptrdiff_t(i), requests_[i].outcome);
      else
        ++i;
  } else if (outcome.how == fate::chosen || outcome.how == fate::refused) {
    on_committed(now, outcome.value, out);  // another change came first: evaluate again
  } else if (outcome.how == fate::full) {
    for (std::size_t i = 0; i < requests_.size();)
      if (requests_[i].in_attempt)
        complete_request(requests_.begin() + std::ptrdiff_t(i), {507, R"({"fault":"too much at once"})"});
      else
        ++i;
  } else {
    next_proposal_ = now + consensus::wait_before(int(std::min<std::uint64_t>(++failed_attempts_, 8)),
                                                  double(random_() >> 11) / double(1ULL << 53));
  }
  for (PendingRequest& w : requests_) w.in_attempt = false;
  if (!attempt_) propose(now, out);
}

}  // namespace robinpin::control_plane
