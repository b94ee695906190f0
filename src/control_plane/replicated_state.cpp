#include "replicated_state.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <limits>

namespace robinpin::control_plane {

using consensus::fate;
using consensus::phase;
using consensus::Seat;
using consensus::Value;
using consensus::verdict;
using consensus::Voters;
using consensus::wish;

namespace {

constexpr std::string_view state_register = "state";
constexpr std::size_t most_said = 32, longest_said = 20'000, most_beats = 8, batch_bytes = 1'000'000;
constexpr std::int64_t yield = 10'000;
constexpr std::size_t burst_pieces = 4, piece_bytes = 12'000, spread_at_most = 64;
constexpr std::int64_t forgotten =
    10'000'000;  // microseconds: a core machine unheard for so long is no peer any more
constexpr std::int64_t seats_pause = 250'000, succession_limit = 5'000'000;

// A machine in a seat's words.
std::string text_of(Machine m) { return std::to_string(m); }
Machine machine_of(const std::string& text) {
  Machine m = 0;
  std::from_chars(text.data(), text.data() + text.size(), m);
  return m;
}

std::string hex(std::uint64_t x) {
  char digits[17];
  const auto [end, wrong] = std::to_chars(digits, digits + 16, x, 16);
  return wrong == std::errc() ? std::string(digits, end) : std::string();
}

// Before a machine's disk has one of its own: all founders know each other's.
std::string founder(Machine m) { return "founder-" + text_of(m); }

const RequestOutcome no_majority{503, R"({"fault":"no majority of the core answers"})"},
    can_not_tell{503, R"({"fault":"this core can't tell now"})"},
    disk_failed{503, R"({"fault":"the disk has failed"})"};

}  // namespace

ReplicatedState::ReplicatedState(Machine self, configuration::ConfigurationStore& creed,
                                 gossip::Gossip& rumour, storage::KeyValueStore& trove, std::uint64_t chance,
                                 Spans spans)
    : self_(self),
      configuration_(creed),
      gossip_(rumour),
      storage_(trove),
      spans_(spans),
      chance_(chance),
      incarnation_(chance_()),
      proposer_(text_of(self) + "/" + hex(incarnation_)) {}

storage::result<void> ReplicatedState::begin(std::int64_t now, bool first_start,
                                             const std::vector<Machine>& seeds) {
  begun_ = now;
  seeds_ = seeds;
  BOOST_LEAF_AUTO(held, storage_.read_all());
  BOOST_LEAF_AUTO(disk, kept(held));
  consensus::Memory memory;
  bool known = false, changed = true;
  storage::KeyValueStore::WriteBatch batch;
  if (disk.own) {
    for (const auto& i : disk.items) configuration_.take(i);
    configuration_.floor(disk.own->floor);
    committed_ = disk.own->holds;
    memory.voters = disk.own->voters;
    if (disk.own->machine == self_) {
      memory.store = disk.own->store;
      memory.counter = disk.own->counter;
      memory.slots = std::move(disk.slots);
      memory.seen.insert(disk.own->seen.begin(), disk.own->seen.end());
      known = true, changed = false;
      if (const auto it = memory.slots.find(std::string(state_register)); it != memory.slots.end())
        if (const Value& v = it->second.value; v.version == committed_.number && v.by == committed_.by)
          last_ = v;
    } else {  // copied or moved: what it holds was settled, but it is another copy
      memory.store = hex(chance_());
      for (const auto& [name, slot] : disk.slots) batch.removals.push_back(std::string(slot_mark) + name);
    }
  } else if (const bool founds = first_start && std::find(seeds.begin(), seeds.end(), self_) != seeds.end();
             founds) {
    memory.store = founder(self_);
    Voters v;
    v.version = 1;
    for (const Machine m : std::set<Machine>(seeds.begin(), seeds.end()))
      v.now.push_back({text_of(m), founder(m), text_of(m)});
    voter_.emplace(std::move(memory), false);
    if (const auto change = voter_->found(v);
        !change || !put(*change, storage::KeyValueStore::Durability::synced))
      return boost::leaf::new_error(*failed_);
    changed = false;
  } else {
    memory.store = hex(chance_());
  }
  if (!voter_) voter_.emplace(std::move(memory), known);
  highest_known_ = committed_.number;
  if (changed) {
    control_plane::put(batch, own());
    if (!put(std::move(batch), storage::KeyValueStore::Durability::synced))
      return boost::leaf::new_error(*failed_);
  }
  cores_changed(now);
  gossip_.whole(false);
  return {};
}

StoreHeader ReplicatedState::own() const {
  const consensus::Memory& m = voter_->memory();
  StoreHeader own{form, self_, m.store, m.counter, m.voters, {}, committed_, configuration_.floor()};
  for (const auto& [store, counter] : m.seen)
    if (m.voters.seat(store)) own.seen.emplace_back(store, counter);
  return own;
}

bool ReplicatedState::put(storage::KeyValueStore::WriteBatch batch, storage::KeyValueStore::Durability how) {
  if (failed_) return false;
  return boost::leaf::try_handle_all(
      [&]() -> storage::result<bool> {
        BOOST_LEAF_CHECK(storage_.write(batch, how));
        return true;
      },
      [&](const storage::Error& t) { return failed_ = t, false; },
      [&] {
        return failed_ = storage::Error{storage::Error::Step::sync, "trove", "unknown"}, false;
      });
}

bool ReplicatedState::put(const consensus::Change& change, storage::KeyValueStore::Durability how) {
  storage::KeyValueStore::WriteBatch batch;
  control_plane::put(batch, own());
  if (!change.name.empty()) control_plane::put(batch, change.name, change.slot);
  return put(std::move(batch), how);
}

void ReplicatedState::told(std::int64_t now, const Voters& voters) {
  if (const auto change = voter_->told(voters)) {
    put(*change, storage::KeyValueStore::Durability::synced);
    cores_changed(now);
  }
}

void ReplicatedState::cores_changed(std::int64_t now) {
  listed_ = now;
  std::set<Machine> cores;
  for (const Seat& s : voters().all()) {
    cores.insert(machine_of(s.address));
    last_heard_.try_emplace(s.store, now);  // silent from when it has its seat, not from before
  }
  std::erase_if(last_heard_, [&](const auto& heard) { return !voters().seat(heard.first); });
  if (!cores.empty()) gossip_.cores({cores.begin(), cores.end()}, voters().version);
}

// Of an older or copied disk: what it holds was settled once, but it is no copy that others may count on.
void ReplicatedState::become(std::string store) {
  storage::KeyValueStore::WriteBatch batch;
  for (const auto& [name, slot] : voter_->memory().slots)
    batch.removals.push_back(std::string(slot_mark) + name);
  consensus::Memory memory;
  memory.store = std::move(store);
  memory.voters = voters();
  voter_.emplace(std::move(memory), false);
  said_.clear();
  control_plane::put(batch, own());
  put(std::move(batch), storage::KeyValueStore::Durability::synced);
}

std::uint64_t ReplicatedState::accepted() const {
  const auto& slots = voter_->memory().slots;
  const auto it = slots.find(std::string(state_register));
  return it == slots.end() ? 0 : it->second.value.version;
}

consensus::Ballot ReplicatedState::ballot() { return {++round_, proposer_}; }

// ---- orders ----

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

// ---- what stands ----

void ReplicatedState::settled(std::int64_t now, const Value& value, Outbox& out) {
  if (value.version <= committed_.number) return;
  highest_known_ = std::max(highest_known_, value.version);
  if (value.version != committed_.number + 1 || !apply(value, out)) continue_catch_up(now, out);
}

void ReplicatedState::learn(std::int64_t now, const CommittedPosition& other, Outbox& out) {
  if (other.number <= committed_.number) return;
  highest_known_ = std::max(highest_known_, other.number);
  const auto& slots = voter_->memory().slots;
  const auto it = slots.find(std::string(state_register));
  if (it != slots.end() && other.number == committed_.number + 1 &&
      it->second.value.version == other.number && it->second.value.by == other.by &&
      apply(it->second.value, out))
    return;
  continue_catch_up(now, out);
}

// The state of the number before is held whole: that is what makes it this one's.
bool ReplicatedState::apply(const Value& value, Outbox& out) {
  auto items = unpacked(value.text);
  if (!items) return false;
  storage::KeyValueStore::WriteBatch batch;
  std::vector<configuration::VersionedItem> news;
  for (configuration::VersionedItem& i : *items) {
    i.at = value.version;
    if (configuration_.take(i)) news.push_back(i);
  }
  for (const auto& name : configuration_.prune()) drop(batch, name);
  for (const auto& i : *items)
    if (const configuration::VersionedItem* held = configuration_.find(i.name))
      control_plane::put(batch, *held);
  committed_ = {value.version, value.by};
  last_ = value;
  highest_known_ = std::max(highest_known_, value.version);
  if (catch_up_ && highest_known_ <= committed_.number) catch_up_.reset();
  if (tries_ == 0) not_before_ = 0;
  control_plane::put(batch, own());
  // In time: until it lasts, the register of a majority has it, and whoever accepts the next one syncs this
  // with it.
  if (put(std::move(batch), storage::KeyValueStore::Durability::unsynced)) gossip_.spread(news, out);
  return true;
}

// ---- catching up ----

void ReplicatedState::continue_catch_up(std::int64_t now, Outbox& out) {
  if (highest_known_ <= committed_.number) catch_up_.reset();
  if (highest_known_ <= committed_.number || failed_) return;
  if (!catch_up_) {
    catch_up_.emplace();
    catch_up_->id = chance_();
    catch_up_->after = {committed_.number + 1, {}};
  } else if (now < catch_up_->next) {
    return;
  }
  const bool stuck = catch_up_->next > 0 && catch_up_->pause > 2 * again;
  std::vector<Machine> able;
  for (const auto& [m, p] : peers_)
    if (p.told.ready && p.told.holds.number > committed_.number && now - p.heard < forgotten &&
        !(stuck && m == catch_up_->from && peers_.size() > 1))
      able.push_back(m);
  catch_up_->pause = std::min(4 * again, catch_up_->next == 0 ? again : 2 * catch_up_->pause);
  catch_up_->next = now + catch_up_->pause;
  if (able.empty()) return;
  if (stuck || std::find(able.begin(), able.end(), catch_up_->from) == able.end()) {
    catch_up_->from = able[chance_() % able.size()];
    restart_catch_up(false);
  }
  out.push_back({catch_up_->from, written(kind::fetch, CatchUpRequest{catch_up_->id, catch_up_->after})});
}

void ReplicatedState::restart_catch_up(bool snapshot) {
  CatchUp& c = *catch_up_;
  c.id = chance_();
  c.snapshot = snapshot;
  c.after = snapshot ? Cursor{} : Cursor{committed_.number + 1, {}};
  c.items.clear();
  c.least = committed_.number + 1;
  c.floor = 0;
  c.pause = again;
}

void ReplicatedState::on_catch_up_request(Machine from, const CatchUpRequest& f, Outbox& out) const {
  if (!ready()) return;
  using Place = std::pair<Cursor, const configuration::VersionedItem*>;
  std::vector<Place> wanted;
  for (const auto& [name, item] : configuration_.items())
    if (Cursor at{item.at, name}; at > f.after) wanted.emplace_back(std::move(at), &item);
  constexpr std::size_t at_once = 2'000;
  const auto sorted = wanted.begin() + std::ptrdiff_t(std::min(at_once, wanted.size()));
  std::partial_sort(wanted.begin(), sorted, wanted.end(),
                    [](const Place& a, const Place& b) { return a.first < b.first; });
  CatchUpResponse piece{f.id, committed_, configuration_.floor(), f.after, f.after, false, false, {}};
  std::size_t bytes = 0, pieces = 0;
  for (auto it = wanted.begin();; ++it) {
    const bool end = it == sorted;
    if (end || (!piece.items.empty() && bytes + gossip::size_of(*it->second) > piece_bytes)) {
      ++pieces;
      piece.last = end && sorted == wanted.end();
      piece.burst_ends = end || pieces == burst_pieces;
      FragmentAssembler::send(from, written(kind::fetched, piece), out);
      if (piece.burst_ends) return;
      piece.after = piece.upto;
      piece.items.clear(), bytes = 0;
    }
    bytes += gossip::size_of(*it->second);
    piece.items.push_back(*it->second);
    piece.upto = it->first;
  }
}

void ReplicatedState::on_catch_up_response(std::int64_t now, Machine from, const CatchUpResponse& f,
                                           Outbox& out) {
  if (!catch_up_ || from != catch_up_->from || f.id != catch_up_->id || f.after != catch_up_->after) return;
  CatchUp& c = *catch_up_;
  // The other has lost what it had not synced; or let go of names that this copy may still hold, or has been
  // sent.
  const bool gone_back = f.holds.number < c.least;
  const bool let_go = c.snapshot ? c.after.at > 0 && f.floor != c.floor : f.floor > committed_.number;
  if (gone_back || let_go) {
    restart_catch_up(let_go);
    c.next = now;
    return continue_catch_up(now, out);
  }
  c.floor = f.floor;
  c.least = f.holds.number;
  c.items.insert(c.items.end(), f.items.begin(), f.items.end());
  c.after = f.upto;
  c.pause = again;
  c.next = now + again;
  if (f.last) return caught_up(f.holds, f.floor, out);
  if (f.burst_ends) out.push_back({c.from, written(kind::fetch, CatchUpRequest{c.id, c.after})});
}

void ReplicatedState::caught_up(const CommittedPosition& holds, std::uint64_t floor, Outbox& out) {
  CatchUp c = std::move(*catch_up_);
  catch_up_.reset();
  if (holds.number <= committed_.number) return;
  storage::KeyValueStore::WriteBatch batch;
  if (c.snapshot) {
    std::set<std::string_view> there;
    for (const auto& i : c.items) there.insert(i.name);
    std::vector<std::string> gone;
    for (const auto& [name, i] : configuration_.items())
      if (!there.contains(name)) gone.push_back(name);
    for (const auto& name : gone) configuration_.erase(name), drop(batch, name);
    configuration_.floor(0);  // until all is in
  }
  std::vector<configuration::VersionedItem> news;
  for (const auto& i : c.items)
    if (configuration_.take(i)) news.push_back(i);
  for (const auto& name : configuration_.let_go(floor)) drop(batch, name);
  for (const auto& i : c.items)
    if (const configuration::VersionedItem* held = configuration_.find(i.name))
      control_plane::put(batch, *held);
  committed_ = holds;
  last_ = {};
  highest_known_ = std::max(highest_known_, committed_.number);
  control_plane::put(batch, own());
  if (put(std::move(batch), storage::KeyValueStore::Durability::unsynced) && news.size() <= spread_at_most)
    gossip_.spread(news, out);
}

// ---- what comes ----

void ReplicatedState::on_datagram(std::int64_t now, Machine from, std::string_view datagram, Outbox& out) {
  expire(now);
  std::optional<std::string> whole;
  if (!datagram.empty() && kind(datagram[0]) == kind::part) {
    whole = fragments_.on_datagram(from, datagram);
    if (!whole) return;
    datagram = *whole;
  }
  if (datagram.empty() || failed_) return;
  switch (kind(datagram[0])) {
    case kind::ask:
      if (const auto a = read_whole<ConsensusRequest>(datagram)) on_consensus_request(now, from, *a, out);
      break;
    case kind::answer:
      if (auto a = read_whole<ConsensusReply>(datagram)) on_consensus_reply(now, from, std::move(*a), out);
      break;
    case kind::beat:
      if (auto b = read_whole<PeerHeartbeat>(datagram)) on_heartbeat(now, from, std::move(*b), out);
      break;
    case kind::fetch:
      if (const auto f = read_whole<CatchUpRequest>(datagram)) on_catch_up_request(from, *f, out);
      break;
    case kind::fetched:
      if (const auto f = read_whole<CatchUpResponse>(datagram)) on_catch_up_response(now, from, *f, out);
      break;
    default:
      return;
  }
  work(now, out);
}

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

// ---- who is there ----

PeerHeartbeat ReplicatedState::own_beat(std::int64_t now, Machine to) {
  PeerHeartbeat b;
  b.incarnation = incarnation_, b.sequence = ++said_beats_;
  b.store = store();
  b.counter = voter_->memory().counter;
  if (const auto it = peers_.find(to); it != peers_.end())
    b.yours = it->second.told.store, b.seen = voter_->seen_of(b.yours);
  b.holds = committed_;
  b.accepted = votes() ? accepted() : 0;
  b.voters = voters();
  b.votes = voter_->standing() == verdict::yes;
  b.ready = ready();
  b.leaving = leaving_;
  for (const Seat& s : voters().now) {
    const auto it = last_heard_.find(s.store);
    const std::int64_t since = it == last_heard_.end() ? begun_ : it->second;
    if (s.store != store())
      b.ages.emplace_back(s.store, std::uint32_t(std::min<std::int64_t>(
                                       std::max<std::int64_t>(0, now - since) / 1000, 1'000'000)));
  }
  return b;
}

std::set<Machine> ReplicatedState::others(std::int64_t now) const {
  std::set<Machine> all;
  for (const Seat& s : voters().all()) all.insert(machine_of(s.address));
  for (const auto& [m, p] : peers_)
    if (now - p.heard < forgotten) all.insert(m);
  if (!fresh(now)) all.insert(seeds_.begin(), seeds_.end());
  all.erase(self_);
  return all;
}

void ReplicatedState::beat(std::int64_t now, Outbox& out, bool news) {
  std::uint64_t echo = 0;
  if (!news) {
    echo = (chance_() | 1U);
    beats_.emplace_back(echo, now);
    if (beats_.size() > most_beats) beats_.pop_front();
  }
  for (const Machine m : others(now)) {
    PeerHeartbeat b = own_beat(now, m);
    b.echo = echo;
    b.answer = news;
    out.push_back({m, written(kind::beat, b)});
  }
}

void ReplicatedState::on_heartbeat(std::int64_t now, Machine from, PeerHeartbeat b, Outbox& out) {
  if (b.store == store()) return;  // a copy of this disk at another address: it finds out by itself
  if (!peers_.contains(from) && peers_.size() >= most_peers) {
    const auto oldest = std::min_element(peers_.begin(), peers_.end(), [](const auto& x, const auto& y) {
      return x.second.heard < y.second.heard;
    });
    if (now - oldest->second.heard < forgotten) return;
    peers_.erase(oldest);
  }
  Peer& p = peers_[from];
  // Late or doubled: it would make a machine that has said that it leaves, or has a new disk, look as it was.
  // Which of two lives is the present one is told by who answers what was asked just now: a late word may be
  // the first that is heard of either.
  const auto sent = std::find_if(beats_.begin(), beats_.end(),
                                 [&](const auto& x) { return b.answer && b.echo != 0 && x.first == b.echo; });
  if (const auto known = std::find(p.lives.begin(), p.lives.end(), b.incarnation);
      b.incarnation == p.told.incarnation) {
    if (b.sequence <= p.told.sequence) return;
  } else if (known != p.lives.end()) {
    if (sent == beats_.end()) return;
    p.lives.erase(known);
  }
  if (b.incarnation != p.told.incarnation && p.told.incarnation != 0) p.lives.push_back(p.told.incarnation);
  if (p.lives.size() > most_incarnations) p.lives.pop_front();
  if (p.told.store != b.store) p.contact = -1, p.number = 0;  // another disk, or its first word
  p.heard = now;
  if (const Seat* s = voters().seat(b.store); s && machine_of(s->address) == from) last_heard_[b.store] = now;
  if (b.voters.version > voters().version) told(now, b.voters);
  if (b.yours == store()) {
    const bool returned = voter_->standing() == verdict::returning;
    voter_->witnessed(b.store, b.seen);
    if (voter_->standing() == verdict::older && !failed_)
      become(hex(chance_()));
    else if (returned && voter_->standing() == verdict::yes)
      put(voter_->lives(), storage::KeyValueStore::Durability::synced);
  }
  saw(b.store, b.counter);
  if (b.answer) {
    if (sent != beats_.end() && sent->second >= p.contact)
      p.contact = sent->second, p.number = std::max(b.holds.number, b.accepted), p.votes = b.votes;
  } else {
    PeerHeartbeat reply = own_beat(now, from);
    reply.yours = b.store, reply.seen = voter_->seen_of(b.store);
    reply.echo = b.echo;
    reply.answer = true;
    out.push_back({from, written(kind::beat, reply)});
  }
  const CommittedPosition theirs = b.holds;
  p.told = std::move(b);
  learn(now, theirs, out);
}

bool ReplicatedState::fresh(std::int64_t now) const {
  if (failed_ || voters().version == 0) return false;
  std::set<std::string> agree;
  if (votes()) {
    if (accepted() > committed_.number) return false;
    agree.insert(store());
  }
  for (const auto& [m, p] : peers_) {
    if (p.contact < 0 || now - p.contact > in_contact || !p.votes) continue;
    const Seat* s = voters().seat(p.told.store);
    if (!s || machine_of(s->address) != m) continue;
    if (p.number > committed_.number) return false;
    agree.insert(p.told.store);
  }
  return voters().majority(agree);
}

// ---- who votes ----

std::set<std::string> ReplicatedState::gone(std::int64_t now) const {
  std::set<std::string> found;
  for (const Seat& s : voters().now) {
    const Machine m = machine_of(s.address);
    if (m == self_) {
      if (s.store != store() || leaving_) found.insert(s.store);
      continue;
    }
    const auto it = peers_.find(m);
    // A word from before the present list says nothing of who holds a seat in it.
    if (it != peers_.end() && now - it->second.heard < in_contact &&
        it->second.told.voters.version >= voters().version &&
        (it->second.told.store != s.store || it->second.told.leaving)) {
      found.insert(s.store);
      continue;
    }
    // Unheard by a majority of the voters, each for so long: a cut beside this one core empties no seat.
    const auto silent = [&](std::int64_t age) { return age > spans_.contact / 2; };
    const auto at = last_heard_.find(s.store);
    if (!silent(now - (at == last_heard_.end() ? begun_ : at->second))) continue;
    std::set<std::string> unheard;
    if (voters().seat(store())) unheard.insert(store());
    for (const auto& [other, p] : peers_)
      if (now - p.heard < in_contact)
        for (const auto& [of, age] : p.told.ages)
          if (of == s.store && silent(std::int64_t(age) * 1000)) unheard.insert(p.told.store);
    if (voters().majority(unheard)) found.insert(s.store);
  }
  return found;
}

std::set<std::string> ReplicatedState::quiet(std::int64_t now) const {
  std::set<std::string> found;
  for (const Seat& s : voters().now) {
    const auto it = peers_.find(machine_of(s.address));
    const bool answers = it != peers_.end() && it->second.told.store == s.store && it->second.votes &&
                         it->second.contact >= 0 && now - it->second.contact <= 2 * beat_pause;
    if (s.store != store() && !answers) found.insert(s.store);
  }
  return found;
}

std::vector<Standby> ReplicatedState::standbys(std::int64_t now) const {
  std::map<Machine, std::string> found;
  if (!voters().seat(store()) && ready() && !leaving_ && highest_known_ <= committed_.number)
    found[self_] = store();
  for (const auto& [m, p] : peers_)
    if (now - p.heard < in_contact && p.told.ready && !p.told.leaving &&
        p.told.voters.version >= voters().version && !voters().seat(p.told.store) &&
        p.told.holds.number + 2 >= committed_.number)
      found[m] = p.told.store;
  std::vector<Standby> all;
  for (const auto& [m, s] : found) all.push_back({{text_of(m), s, text_of(m)}});
  return all;
}

std::size_t ReplicatedState::wanted_size() const {
  const configuration::VersionedItem* i = configuration_.find(size_name);
  std::size_t n = 0;
  if (!i || i->dropped ||
      std::from_chars(i->text.data(), i->text.data() + i->text.size(), n).ec != std::errc() || n == 0)
    return voters().now.size();
  return n;
}

void ReplicatedState::maintain_voters(std::int64_t now, Outbox& out) {
  if (failed_ || voters().version == 0 || seats_ || now < next_seats_) return;
  const auto pause = [&] { return std::int64_t(chance_() % std::uint64_t(seats_pause)) + seats_pause / 2; };
  if (succession_) {
    if (now >= succession_until_) return succession_.reset();
    return next_job(now, out);
  }
  next_seats_ = now + pause();
  if (highest_known_ > committed_.number) return;
  if (voters().changing()) {
    // Whoever began it may be gone: after a while any other goes on.
    if (changing_since_ == 0) changing_since_ = now;
    if (now - changing_since_ < 2 * seats_pause) return;
    succession_.emplace(voters(), std::vector<Seat>());
  } else {
    changing_since_ = 0;
    if (!fresh(now)) return;
    auto seats = next_seats(voters(), gone(now), quiet(now), standbys(now), wanted_size());
    if (!seats) return;
    succession_.emplace(voters(), std::move(*seats));
  }
  succession_until_ = now + succession_limit;
  next_job(now, out);
}

void ReplicatedState::next_job(std::int64_t now, Outbox& out) {
  const auto job = succession_->next();
  if (!job) {
    succession_.reset();
    changing_since_ = 0;
    return;
  }
  const auto b = ballot();
  seats_.emplace(Attempt{consensus::Proposal(job->under, b, job->want), false, {}, now, 0, again, 0, b});
  job_ = job->want;
  take_step(now, seats_, seats_->proposal.begin(), out);
}

void ReplicatedState::on_voter_change_ended(std::int64_t now, const consensus::Outcome& o, Outbox& out) {
  if (!succession_) return;
  if (o.how == fate::chosen && job_.name == state_register) settled(now, o.value, out);
  // Whoever brought a later list may have gone before it told anybody.
  if (job_.name == consensus::voters_register && (o.how == fate::refused || o.how == fate::chosen) &&
      o.value.version > voters().version)
    if (const auto settled_list = Voters::read(o.value.version, o.value.text)) {
      told(now, *settled_list);
      beat(now, out, true);
    }
  succession_->ended(o);
  if (succession_->voters().version > voters().version) {
    told(now, succession_->voters());
    beat(now, out, true);
  }
  if (o.how == fate::chosen) return next_job(now, out);
  next_seats_ = now + std::int64_t(chance_() % std::uint64_t(again)) + again / 2;
}

void ReplicatedState::leave(std::int64_t now, Outbox& out) {
  leaving_ = true;
  next_seats_ = now;
  beat(now, out, true);
  tick(now, out);
}

bool ReplicatedState::may_go() const { return failed_ || !voters().seat(store()) || !can_hand_over_; }

void ReplicatedState::tick(std::int64_t now, Outbox& out) {
  expire(now);
  if (failed_) return;
  // Of one that has no seat any more nobody counts it: others settle without it, and it would ask for ever.
  doubtful_since_ =
      votes() && accepted() > committed_.number ? (doubtful_since_ > 0 ? doubtful_since_ : now) : 0;
  // While the list changes whoever takes the seat has it already and stands by no more; and just after, who
  // stands by has not yet said that it knows the list. The one that leaves counts until then.
  can_hand_over_ = voters().changing() || now - listed_ <= beat_pause || !standbys(now).empty();
  if (now >= next_beat_) {
    // Somebody unheard is looked into at once: the sooner a seat is given away the sooner a further loss is
    // borne.
    bool amiss = !fresh(now) || highest_known_ > committed_.number || voters().changing();
    for (const Seat& s : voters().now) {
      const auto it = last_heard_.find(s.store);
      amiss = amiss || (s.store != store() &&
                        now - (it == last_heard_.end() ? begun_ : it->second) > 3 * beat_pause / 2);
    }
    next_beat_ = now + (amiss ? beat_pause / 5 : beat_pause);
    beat(now, out, false);
  }
  if (catch_up_ && now >= catch_up_->next) continue_catch_up(now, out);
  for (auto* attempt : {&attempt_, &seats_}) {
    if (!*attempt || now < (*attempt)->next) continue;
    if ((*attempt)->refused) {
      // A higher ballot or a later list is needed anyway: those who say nothing may be down, and aren't
      // waited for.
      (*attempt)->refused = false;
      const auto ballot = (*attempt)->ballot;
      const auto silent = (*attempt)->unanswered;
      for (const auto& [store, asked] : silent)
        if (*attempt && (*attempt)->answers(ballot))
          take_step(now, *attempt, (*attempt)->proposal.lost(store, (*attempt)->proposal.stage()), out);
      continue;
    }
    (*attempt)->pause = std::min(4 * again, 2 * (*attempt)->pause);
    (*attempt)->next = now + (*attempt)->pause;
    for (const auto& [to, asked] : (*attempt)->unanswered)
      FragmentAssembler::send(asked.first, asked.second, out);
  }
  maintain_voters(now, out);
  work(now, out);
}

std::int64_t ReplicatedState::wake() const {
  std::int64_t at = std::numeric_limits<std::int64_t>::max();
  if (attempt_)
    at = std::min(at, attempt_->next);
  else if (!requests_.empty() && highest_known_ <= committed_.number)
    at = std::min(at, not_before_);
  if (seats_)
    at = std::min(at, seats_->next);
  else if (succession_)
    at = std::min(at, next_seats_);
  if (!requests_.empty()) at = std::min(at, requests_.front().until);
  if (catch_up_) at = std::min(at, catch_up_->next);
  return at;
}

}  // namespace robinpin::control_plane
