// Requests and replies of the consensus protocol: this machine's voter answers, its proposals take replies.
#include <algorithm>

#include "replicated_state.h"
#include "replicated_state_internal.h"

namespace robinpin::control_plane {

using consensus::phase;
using consensus::verdict;

namespace {

constexpr std::size_t most_said = 32, longest_said = 20'000;
constexpr std::int64_t yield = 10'000;

}  // namespace

// Up to where another's store was seen: a copy of it from before can't pass for it. In time: a majority would
// have to lose it with the power, beside the disk that was put back.
void ReplicatedState::saw(const std::string& store, std::uint64_t counter) {
  if (const auto change = voter_->saw(store, counter))
    put(*change, storage::KeyValueStore::Durability::unsynced);
}

void ReplicatedState::on_consensus_request(std::int64_t now, Machine from, const ConsensusRequest& a,
                                           Outbox& out) {
  saw(a.store, a.counter);
  learn(now, a.holds, out);
  // An ask that comes again is answered as it was: a promise is given once.
  const auto& ask = a.ask;
  std::string key = std::to_string(from) + " " + ask.ballot.proposer + " " +
                    std::to_string(ask.ballot.round) + " " + std::to_string(int(ask.what)) + " " + ask.store;
  for (const auto& [asked, bytes] : said_)
    if (asked == key) return FragmentAssembler::send(from, bytes, out);
  ConsensusReply answer;
  if (ask.what == phase::accept && ask.name == state_register && ask.store == store() &&
      ask.value.version > committed_.number + 1) {
    // It lacks what this change is built on, and so could not hand its state on.
    answer.reply.how = verdict::returning, answer.reply.what = ask.what, answer.reply.store = store(),
    answer.reply.ballot = ask.ballot;
    highest_known_ = std::max(highest_known_, ask.value.version - 1);
    continue_catch_up(now, out);
  } else {
    const auto epoch = voters().version;
    auto heard = voter_->ask(ask);
    if (heard.change && !put(*heard.change, storage::KeyValueStore::Durability::synced))
      return;  // never answered before it lasts
    if (voters().version != epoch) cores_changed(now);
    answer.reply = std::move(heard.reply);
    if (a.knows_text && answer.reply.value.version == a.holds.number && answer.reply.value.by == a.holds.by)
      answer.reply.value.text.clear();
  }
  answer.holds = committed_;
  auto bytes = written(kind::answer, answer);
  if (answer.reply.how == verdict::yes && ask.what == phase::prepare) {
    // Who is at it is let finish: two that outbid each other get on more slowly than one after the other.
    if (from != self_ && !attempt_)
      not_before_ = std::max(not_before_, now + yield + std::int64_t(chance_() % std::uint64_t(yield)));
    if (bytes.size() > longest_said) return FragmentAssembler::send(from, std::move(bytes), out);
    if (said_.size() >= most_said) said_.pop_front();
    said_.emplace_back(std::move(key), bytes);
  }
  FragmentAssembler::send(from, std::move(bytes), out);
}

void ReplicatedState::on_consensus_reply(std::int64_t now, Machine from, ConsensusReply a, Outbox& out) {
  consensus::Reply& r = a.reply;
  if (r.how == verdict::not_me) return;
  saw(r.store, r.counter);
  if (r.value.version > 0 && r.value.text.empty()) {  // what this core knew as it asked
    if (r.value.version != last_.version || r.value.by != last_.by) return;
    r.value.text = last_.text;
  }
  for (auto* attempt : {&attempt_, &seats_}) {
    if (!*attempt) continue;
    const auto asked = (*attempt)->unanswered.find(r.store);
    if (asked == (*attempt)->unanswered.end() || asked->second.first != from)
      continue;  // a copy of a disk elsewhere is not the one asked
    round_ = std::max(round_, r.promised.round);
    if ((*attempt)->answers(r.ballot) && (r.how == verdict::lower || r.how == verdict::stale))
      (*attempt)->refused = true;
    consensus::Step step = (*attempt)->proposal.heard(r);
    take_step(now, *attempt, std::move(step), out);
    if (*attempt && r.how == verdict::yes && r.what == (*attempt)->proposal.stage() &&
        (*attempt)->answers(r.ballot))
      (*attempt)->unanswered.erase(r.store);
  }
  learn(now, a.holds, out);
}

}  // namespace robinpin::control_plane
