// Requests and replies of the consensus protocol: this machine's voter answers, its proposals take replies.
#include <algorithm>

#include "replicated_state.h"
#include "replicated_state_internal.h"

namespace robinpin::control_plane {

using consensus::phase;
using consensus::verdict;

namespace {

constexpr std::size_t max_recent_replies = 32, max_recent_reply_bytes = 20'000;
constexpr std::int64_t competitor_delay = 10'000;

}  // namespace

// Records how far another voter's store was seen, so that an older copy of it is recognised. Not synced: a
// majority would have to lose the record by loss of power while that store is restored from a copy.
void ReplicatedState::observe_counter(const std::string& store, std::uint64_t counter) {
  if (const auto change = voter_->saw(store, counter))
    persist(*change, storage::KeyValueStore::Durability::unsynced);
}

void ReplicatedState::on_consensus_request(std::int64_t now, Machine from, const ConsensusRequest& a,
                                           Outbox& out) {
  observe_counter(a.store, a.counter);
  learn_committed(now, a.committed, out);
  // A repeated request gets the same reply: a promise is given once.
  const auto& ask = a.ask;
  std::string key = std::to_string(from) + " " + ask.ballot.proposer + " " +
                    std::to_string(ask.ballot.round) + " " + std::to_string(int(ask.what)) + " " + ask.store;
  for (const auto& [asked, bytes] : recent_replies_)
    if (asked == key) return FragmentAssembler::send(from, bytes, out);
  ConsensusReply answer;
  if (ask.what == phase::accept && ask.name == state_register && ask.store == store() &&
      ask.value.version > committed_.number + 1) {
    // This voter lacks the state before this change, and so could not pass the state on.
    answer.reply.how = verdict::returning;
    answer.reply.what = ask.what;
    answer.reply.store = store();
    answer.reply.ballot = ask.ballot;
    highest_known_ = std::max(highest_known_, ask.value.version - 1);
    continue_catch_up(now, out);
  } else {
    const auto epoch = voters().version;
    auto result = voter_->ask(ask);
    if (result.change && !persist(*result.change, storage::KeyValueStore::Durability::synced))
      return;  // no reply before the promise is durable
    if (voters().version != epoch) on_voters_changed(now);
    answer.reply = std::move(result.reply);
    if (a.knows_text && answer.reply.value.version == a.committed.number &&
        answer.reply.value.by == a.committed.by)
      answer.reply.value.text.clear();
  }
  answer.committed = committed_;
  auto bytes = encode(MessageType::consensus_reply, answer);
  if (answer.reply.how == verdict::yes && ask.what == phase::prepare) {
    // Let the other proposer finish: proposers that outbid each other are slower than one after the other.
    if (from != self_ && !attempt_)
      next_proposal_ = std::max(
          next_proposal_, now + competitor_delay + std::int64_t(random_() % std::uint64_t(competitor_delay)));
    if (bytes.size() > max_recent_reply_bytes) return FragmentAssembler::send(from, std::move(bytes), out);
    if (recent_replies_.size() >= max_recent_replies) recent_replies_.pop_front();
    recent_replies_.emplace_back(std::move(key), bytes);
  }
  FragmentAssembler::send(from, std::move(bytes), out);
}

void ReplicatedState::on_consensus_reply(std::int64_t now, Machine from, ConsensusReply a, Outbox& out) {
  consensus::Reply& r = a.reply;
  if (r.how == verdict::not_me) return;
  observe_counter(r.store, r.counter);
  if (r.value.version > 0 && r.value.text.empty()) {  // left out, as this machine had it when it asked
    if (r.value.version != last_committed_.version || r.value.by != last_committed_.by) return;
    r.value.text = last_committed_.text;
  }
  for (auto* attempt : {&attempt_, &voter_change_}) {
    if (!*attempt) continue;
    const auto asked = (*attempt)->unanswered.find(r.store);
    if (asked == (*attempt)->unanswered.end() || asked->second.to != from)
      continue;  // a copy of the store at another address was not asked
    round_ = std::max(round_, r.promised.round);
    if ((*attempt)->matches(r.ballot) && (r.how == verdict::lower || r.how == verdict::stale))
      (*attempt)->rejected = true;
    consensus::Step step = (*attempt)->proposal.heard(r);
    perform_step(now, *attempt, std::move(step), out);
    if (*attempt && r.how == verdict::yes && r.what == (*attempt)->proposal.stage() &&
        (*attempt)->matches(r.ballot))
      (*attempt)->unanswered.erase(r.store);
  }
  learn_committed(now, a.committed, out);
}

}  // namespace robinpin::control_plane
