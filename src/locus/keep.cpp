#include "keep.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <limits>

namespace robinpin::locus {

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

const Outcome no_majority{503, R"({"fault":"no majority of the core answers"})"},
    can_not_tell{503, R"({"fault":"this core can't tell now"})"},
    disk_failed{503, R"({"fault":"the disk has failed"})"};

}  // namespace

Keep::Keep(Machine self, creed::Creed& creed, rumour::Rumour& rumour, trove::KeyValueStore& trove,
           std::uint64_t chance, Spans spans)
    : self_(self),
      creed_(creed),
      rumour_(rumour),
      trove_(trove),
      spans_(spans),
      chance_(chance),
      life_(chance_()),
      proposer_(text_of(self) + "/" + hex(life_)) {}

trove::result<void> Keep::begin(std::int64_t now, bool first_start, const std::vector<Machine>& seeds) {
  begun_ = now;
  seeds_ = seeds;
  BOOST_LEAF_AUTO(held, trove_.read_all());
  BOOST_LEAF_AUTO(disk, kept(held));
  consensus::Memory memory;
  bool known = false, changed = true;
  trove::KeyValueStore::WriteBatch batch;
  if (disk.own) {
    for (const auto& i : disk.items) creed_.take(i);
    creed_.floor(disk.own->floor);
    holds_ = disk.own->holds;
    memory.voters = disk.own->voters;
    if (disk.own->machine == self_) {
      memory.store = disk.own->store;
      memory.counter = disk.own->counter;
      memory.slots = std::move(disk.slots);
      memory.seen.insert(disk.own->seen.begin(), disk.own->seen.end());
      known = true, changed = false;
      if (const auto it = memory.slots.find(std::string(state_register)); it != memory.slots.end())
        if (const Value& v = it->second.value; v.version == holds_.number && v.by == holds_.by) last_ = v;
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
        !change || !put(*change, trove::KeyValueStore::Durability::synced))
      return boost::leaf::new_error(*failed_);
    changed = false;
  } else {
    memory.store = hex(chance_());
  }
  if (!voter_) voter_.emplace(std::move(memory), known);
  known_ = holds_.number;
  if (changed) {
    locus::put(batch, own());
    if (!put(std::move(batch), trove::KeyValueStore::Durability::synced))
      return boost::leaf::new_error(*failed_);
  }
  cores_changed(now);
  rumour_.whole(false);
  return {};
}

Own Keep::own() const {
  const consensus::Memory& m = voter_->memory();
  Own own{form, self_, m.store, m.counter, m.voters, {}, holds_, creed_.floor()};
  for (const auto& [store, counter] : m.seen)
    if (m.voters.seat(store)) own.seen.emplace_back(store, counter);
  return own;
}

bool Keep::put(trove::KeyValueStore::WriteBatch batch, trove::KeyValueStore::Durability how) {
  if (failed_) return false;
  return boost::leaf::try_handle_all(
      [&]() -> trove::result<bool> {
        BOOST_LEAF_CHECK(trove_.write(batch, how));
        return true;
      },
      [&](const trove::Error& t) { return failed_ = t, false; },
      [&] {
        return failed_ = trove::Error{trove::Error::Step::sync, "trove", "unknown"}, false;
      });
}

bool Keep::put(const consensus::Change& change, trove::KeyValueStore::Durability how) {
  trove::KeyValueStore::WriteBatch batch;
  locus::put(batch, own());
  if (!change.name.empty()) locus::put(batch, change.name, change.slot);
  return put(std::move(batch), how);
}

void Keep::told(std::int64_t now, const Voters& voters) {
  if (const auto change = voter_->told(voters)) {
    put(*change, trove::KeyValueStore::Durability::synced);
    cores_changed(now);
  }
}

void Keep::cores_changed(std::int64_t now) {
  listed_ = now;
  std::set<Machine> cores;
  for (const Seat& s : voters().all()) {
    cores.insert(machine_of(s.address));
    heard_.try_emplace(s.store, now);  // silent from when it has its seat, not from before
  }
  std::erase_if(heard_, [&](const auto& heard) { return !voters().seat(heard.first); });
  if (!cores.empty()) rumour_.cores({cores.begin(), cores.end()}, voters().version);
}

// Of an older or copied disk: what it holds was settled once, but it is no copy that others may count on.
void Keep::become(std::string store) {
  trove::KeyValueStore::WriteBatch batch;
  for (const auto& [name, slot] : voter_->memory().slots)
    batch.removals.push_back(std::string(slot_mark) + name);
  consensus::Memory memory;
  memory.store = std::move(store);
  memory.voters = voters();
  voter_.emplace(std::move(memory), false);
  said_.clear();
  locus::put(batch, own());
  put(std::move(batch), trove::KeyValueStore::Durability::synced);
}

std::uint64_t Keep::accepted() const {
  const auto& slots = voter_->memory().slots;
  const auto it = slots.find(std::string(state_register));
  return it == slots.end() ? 0 : it->second.value.version;
}

consensus::Ballot Keep::ballot() { return {++round_, proposer_}; }

// ---- orders ----

void Keep::order(std::int64_t now, Order order, Done done, Outbox& out) {
  expire(now);
  if (failed_ || orders_.size() >= most_orders || voters().version == 0) return done(can_not_tell);
  orders_.push_back({Call(std::move(order)), std::move(done), now + patience, false, {}});
  work(now, out);
}

void Keep::answer(std::deque<Waiting>::iterator at, Outcome outcome) {
  const Done done = std::move(at->done);
  if (outcome.status == 200 && at->call.reads()) outcome.body = creed::written_out(creed_);
  orders_.erase(at);
  done(std::move(outcome));
}

// Before anything that has come is looked at: a process that stood still must not end an order by answers of
// before.
void Keep::expire(std::int64_t now) {
  for (std::size_t i = 0; i < orders_.size();)
    if (failed_)
      answer(orders_.begin() + std::ptrdiff_t(i), disk_failed);
    else if (now >= orders_[i].until)
      answer(orders_.begin() + std::ptrdiff_t(i), no_majority);
    else
      ++i;
  const bool wanted = std::any_of(orders_.begin(), orders_.end(), [](const Waiting& w) { return w.tried; });
  if (attempt_ && (failed_ || now >= attempt_->begun + patience || (!wanted && doubtful_since_ == 0))) {
    attempt_.reset();  // what it has sent may come to stand: nobody was told either way
    for (Waiting& w : orders_) w.tried = false;
  }
  if (seats_ && (failed_ || now >= seats_->begun + patience)) seats_.reset();
}

void Keep::work(std::int64_t now, Outbox& out) {
  expire(now);
  if (!attempt_) propose(now, out);
  rumour_.whole(fresh(now));
}

void Keep::propose(std::int64_t now, Outbox& out) {
  const bool doubtful = doubtful_since_ > 0 && now - doubtful_since_ >= doubtful_for;
  if (failed_ || (orders_.empty() && !doubtful) || now < not_before_ || voters().version == 0) return;
  if (known_ > holds_.number && !doubtful) return chase(now, out);
  View view(creed_);
  std::size_t bytes = creed_.bytes();
  for (Waiting& w : orders_) {
    w.tried = true;
    w.verdict = w.call.judge(view);
    if (view.bytes() > bytes + batch_bytes) break;
  }
  const auto changes = view.changes();
  consensus::Want want;
  want.name = state_register;
  if (!changes.empty()) {
    want.what = wish::write;
    want.expected = holds_.number;
    want.text = packed(changes);
    want.by = proposer_ + "/" + std::to_string(++attempts_);
  }
  const auto b = ballot();
  attempt_.emplace(
      Attempt{consensus::Proposal(voters(), b, want), !changes.empty(), {}, now, 0, again, holds_.number, b});
  take_step(now, attempt_, attempt_->proposal.begin(), out);
}

void Keep::take_step(std::int64_t now, std::optional<Attempt>& attempt, consensus::Step step, Outbox& out) {
  if (!step.send.empty()) {
    attempt->unanswered.clear();
    for (auto& s : step.send) {
      const Machine m = machine_of(s.to.address);
      auto bytes = written(
          kind::ask, Asking{std::move(s.ask), holds_, last_.version > 0 && last_.version == holds_.number,
                            store(), voter_->memory().counter});
      Parcels::send(m, bytes, out);
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
    seats_ended(now, *step.end, out);
  else
    ended(now, *step.end, wrote, base, out);
}

void Keep::ended(std::int64_t now, const consensus::Outcome& o, bool wrote, std::uint64_t base, Outbox& out) {
  if (o.how == fate::chosen && (wrote || o.value.version == base)) {
    tries_ = 0;
    if (wrote) {
      settled(now, o.value, out);
      beat(now, out, true);
    }
    // What they were judged on was current, and is followed by nothing but what this attempt itself has
    // settled.
    for (std::size_t i = 0; i < orders_.size();)
      if (orders_[i].tried)
        answer(orders_.begin() + std::ptrdiff_t(i), orders_[i].verdict);
      else
        ++i;
  } else if (o.how == fate::chosen || o.how == fate::refused) {
    settled(now, o.value, out);  // others came first: judged anew
  } else if (o.how == fate::full) {
    for (std::size_t i = 0; i < orders_.size();)
      if (orders_[i].tried)
        answer(orders_.begin() + std::ptrdiff_t(i), {507, R"({"fault":"too much at once"})"});
      else
        ++i;
  } else {
    not_before_ = now + consensus::wait_before(int(std::min<std::uint64_t>(++tries_, 8)),
                                               double(chance_() >> 11) / double(1ULL << 53));
  }
  for (Waiting& w : orders_) w.tried = false;
  if (!attempt_) propose(now, out);
}

// ---- what stands ----

void Keep::settled(std::int64_t now, const Value& value, Outbox& out) {
  if (value.version <= holds_.number) return;
  known_ = std::max(known_, value.version);
  if (value.version != holds_.number + 1 || !apply(value, out)) chase(now, out);
}

void Keep::learn(std::int64_t now, const Stands& other, Outbox& out) {
  if (other.number <= holds_.number) return;
  known_ = std::max(known_, other.number);
  const auto& slots = voter_->memory().slots;
  const auto it = slots.find(std::string(state_register));
  if (it != slots.end() && other.number == holds_.number + 1 && it->second.value.version == other.number &&
      it->second.value.by == other.by && apply(it->second.value, out))
    return;
  chase(now, out);
}

// The state of the number before is held whole: that is what makes it this one's.
bool Keep::apply(const Value& value, Outbox& out) {
  auto items = unpacked(value.text);
  if (!items) return false;
  trove::KeyValueStore::WriteBatch batch;
  std::vector<creed::Item> news;
  for (creed::Item& i : *items) {
    i.at = value.version;
    if (creed_.take(i)) news.push_back(i);
  }
  for (const auto& name : creed_.prune()) drop(batch, name);
  for (const auto& i : *items)
    if (const creed::Item* held = creed_.find(i.name)) locus::put(batch, *held);
  holds_ = {value.version, value.by};
  last_ = value;
  known_ = std::max(known_, value.version);
  if (chase_ && known_ <= holds_.number) chase_.reset();
  if (tries_ == 0) not_before_ = 0;
  locus::put(batch, own());
  // In time: until it lasts, the register of a majority has it, and whoever accepts the next one syncs this
  // with it.
  if (put(std::move(batch), trove::KeyValueStore::Durability::unsynced)) rumour_.spread(news, out);
  return true;
}

// ---- catching up ----

void Keep::chase(std::int64_t now, Outbox& out) {
  if (known_ <= holds_.number) chase_.reset();
  if (known_ <= holds_.number || failed_) return;
  if (!chase_) {
    chase_.emplace();
    chase_->id = chance_();
    chase_->after = {holds_.number + 1, {}};
  } else if (now < chase_->next) {
    return;
  }
  const bool stuck = chase_->next > 0 && chase_->pause > 2 * again;
  std::vector<Machine> able;
  for (const auto& [m, p] : peers_)
    if (p.told.ready && p.told.holds.number > holds_.number && now - p.heard < forgotten &&
        !(stuck && m == chase_->from && peers_.size() > 1))
      able.push_back(m);
  chase_->pause = std::min(4 * again, chase_->next == 0 ? again : 2 * chase_->pause);
  chase_->next = now + chase_->pause;
  if (able.empty()) return;
  if (stuck || std::find(able.begin(), able.end(), chase_->from) == able.end()) {
    chase_->from = able[chance_() % able.size()];
    restart_chase(false);
  }
  out.push_back({chase_->from, written(kind::fetch, Fetch{chase_->id, chase_->after})});
}

void Keep::restart_chase(bool snapshot) {
  Chase& c = *chase_;
  c.id = chance_();
  c.snapshot = snapshot;
  c.after = snapshot ? Cursor{} : Cursor{holds_.number + 1, {}};
  c.items.clear();
  c.least = holds_.number + 1;
  c.floor = 0;
  c.pause = again;
}

void Keep::heard_fetch(Machine from, const Fetch& f, Outbox& out) const {
  if (!ready()) return;
  using Place = std::pair<Cursor, const creed::Item*>;
  std::vector<Place> wanted;
  for (const auto& [name, item] : creed_.items())
    if (Cursor at{item.at, name}; at > f.after) wanted.emplace_back(std::move(at), &item);
  constexpr std::size_t at_once = 2'000;
  const auto sorted = wanted.begin() + std::ptrdiff_t(std::min(at_once, wanted.size()));
  std::partial_sort(wanted.begin(), sorted, wanted.end(),
                    [](const Place& a, const Place& b) { return a.first < b.first; });
  Fetched piece{f.id, holds_, creed_.floor(), f.after, f.after, false, false, {}};
  std::size_t bytes = 0, pieces = 0;
  for (auto it = wanted.begin();; ++it) {
    const bool end = it == sorted;
    if (end || (!piece.items.empty() && bytes + rumour::size_of(*it->second) > piece_bytes)) {
      ++pieces;
      piece.last = end && sorted == wanted.end();
      piece.burst_ends = end || pieces == burst_pieces;
      Parcels::send(from, written(kind::fetched, piece), out);
      if (piece.burst_ends) return;
      piece.after = piece.upto;
      piece.items.clear(), bytes = 0;
    }
    bytes += rumour::size_of(*it->second);
    piece.items.push_back(*it->second);
    piece.upto = it->first;
  }
}

void Keep::heard_fetched(std::int64_t now, Machine from, const Fetched& f, Outbox& out) {
  if (!chase_ || from != chase_->from || f.id != chase_->id || f.after != chase_->after) return;
  Chase& c = *chase_;
  // The other has lost what it had not synced; or let go of names that this copy may still hold, or has been
  // sent.
  const bool gone_back = f.holds.number < c.least;
  const bool let_go = c.snapshot ? c.after.at > 0 && f.floor != c.floor : f.floor > holds_.number;
  if (gone_back || let_go) {
    restart_chase(let_go);
    c.next = now;
    return chase(now, out);
  }
  c.floor = f.floor;
  c.least = f.holds.number;
  c.items.insert(c.items.end(), f.items.begin(), f.items.end());
  c.after = f.upto;
  c.pause = again;
  c.next = now + again;
  if (f.last) return caught_up(f.holds, f.floor, out);
  if (f.burst_ends) out.push_back({c.from, written(kind::fetch, Fetch{c.id, c.after})});
}

void Keep::caught_up(const Stands& holds, std::uint64_t floor, Outbox& out) {
  Chase c = std::move(*chase_);
  chase_.reset();
  if (holds.number <= holds_.number) return;
  trove::KeyValueStore::WriteBatch batch;
  if (c.snapshot) {
    std::set<std::string_view> there;
    for (const auto& i : c.items) there.insert(i.name);
    std::vector<std::string> gone;
    for (const auto& [name, i] : creed_.items())
      if (!there.contains(name)) gone.push_back(name);
    for (const auto& name : gone) creed_.erase(name), drop(batch, name);
    creed_.floor(0);  // until all is in
  }
  std::vector<creed::Item> news;
  for (const auto& i : c.items)
    if (creed_.take(i)) news.push_back(i);
  for (const auto& name : creed_.let_go(floor)) drop(batch, name);
  for (const auto& i : c.items)
    if (const creed::Item* held = creed_.find(i.name)) locus::put(batch, *held);
  holds_ = holds;
  last_ = {};
  known_ = std::max(known_, holds_.number);
  locus::put(batch, own());
  if (put(std::move(batch), trove::KeyValueStore::Durability::unsynced) && news.size() <= spread_at_most)
    rumour_.spread(news, out);
}

// ---- what comes ----

void Keep::heard(std::int64_t now, Machine from, std::string_view datagram, Outbox& out) {
  expire(now);
  std::optional<std::string> whole;
  if (!datagram.empty() && kind(datagram[0]) == kind::part) {
    whole = parcels_.heard(from, datagram);
    if (!whole) return;
    datagram = *whole;
  }
  if (datagram.empty() || failed_) return;
  switch (kind(datagram[0])) {
    case kind::ask:
      if (const auto a = read_whole<Asking>(datagram)) heard_ask(now, from, *a, out);
      break;
    case kind::answer:
      if (auto a = read_whole<Answering>(datagram)) heard_answer(now, from, std::move(*a), out);
      break;
    case kind::beat:
      if (auto b = read_whole<Beat>(datagram)) heard_beat(now, from, std::move(*b), out);
      break;
    case kind::fetch:
      if (const auto f = read_whole<Fetch>(datagram)) heard_fetch(from, *f, out);
      break;
    case kind::fetched:
      if (const auto f = read_whole<Fetched>(datagram)) heard_fetched(now, from, *f, out);
      break;
    default:
      return;
  }
  work(now, out);
}

// Up to where another's store was seen: a copy of it from before can't pass for it. In time: a majority would
// have to lose it with the power, beside the disk that was put back.
void Keep::saw(const std::string& store, std::uint64_t counter) {
  if (const auto change = voter_->saw(store, counter))
    put(*change, trove::KeyValueStore::Durability::unsynced);
}

void Keep::heard_ask(std::int64_t now, Machine from, const Asking& a, Outbox& out) {
  saw(a.store, a.counter);
  learn(now, a.holds, out);
  // An ask that comes again is answered as it was: a promise is given once.
  const auto& ask = a.ask;
  std::string key = std::to_string(from) + " " + ask.ballot.proposer + " " +
                    std::to_string(ask.ballot.round) + " " + std::to_string(int(ask.what)) + " " + ask.store;
  for (const auto& [asked, bytes] : said_)
    if (asked == key) return Parcels::send(from, bytes, out);
  Answering answer;
  if (ask.what == phase::accept && ask.name == state_register && ask.store == store() &&
      ask.value.version > holds_.number + 1) {
    // It lacks what this change is built on, and so could not hand its state on.
    answer.reply.how = verdict::returning, answer.reply.what = ask.what, answer.reply.store = store(),
    answer.reply.ballot = ask.ballot;
    known_ = std::max(known_, ask.value.version - 1);
    chase(now, out);
  } else {
    const auto epoch = voters().version;
    auto heard = voter_->ask(ask);
    if (heard.change && !put(*heard.change, trove::KeyValueStore::Durability::synced))
      return;  // never answered before it lasts
    if (voters().version != epoch) cores_changed(now);
    answer.reply = std::move(heard.reply);
    if (a.knows_text && answer.reply.value.version == a.holds.number && answer.reply.value.by == a.holds.by)
      answer.reply.value.text.clear();
  }
  answer.holds = holds_;
  auto bytes = written(kind::answer, answer);
  if (answer.reply.how == verdict::yes && ask.what == phase::prepare) {
    // Who is at it is let finish: two that outbid each other get on more slowly than one after the other.
    if (from != self_ && !attempt_)
      not_before_ = std::max(not_before_, now + yield + std::int64_t(chance_() % std::uint64_t(yield)));
    if (bytes.size() > longest_said) return Parcels::send(from, std::move(bytes), out);
    if (said_.size() >= most_said) said_.pop_front();
    said_.emplace_back(std::move(key), bytes);
  }
  Parcels::send(from, std::move(bytes), out);
}

void Keep::heard_answer(std::int64_t now, Machine from, Answering a, Outbox& out) {
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

Beat Keep::own_beat(std::int64_t now, Machine to) {
  Beat b;
  b.life = life_, b.sequence = ++said_beats_;
  b.store = store();
  b.counter = voter_->memory().counter;
  if (const auto it = peers_.find(to); it != peers_.end())
    b.yours = it->second.told.store, b.seen = voter_->seen_of(b.yours);
  b.holds = holds_;
  b.accepted = votes() ? accepted() : 0;
  b.voters = voters();
  b.votes = voter_->standing() == verdict::yes;
  b.ready = ready();
  b.leaving = leaving_;
  for (const Seat& s : voters().now) {
    const auto it = heard_.find(s.store);
    const std::int64_t since = it == heard_.end() ? begun_ : it->second;
    if (s.store != store())
      b.ages.emplace_back(s.store, std::uint32_t(std::min<std::int64_t>(
                                       std::max<std::int64_t>(0, now - since) / 1000, 1'000'000)));
  }
  return b;
}

std::set<Machine> Keep::others(std::int64_t now) const {
  std::set<Machine> all;
  for (const Seat& s : voters().all()) all.insert(machine_of(s.address));
  for (const auto& [m, p] : peers_)
    if (now - p.heard < forgotten) all.insert(m);
  if (!fresh(now)) all.insert(seeds_.begin(), seeds_.end());
  all.erase(self_);
  return all;
}

void Keep::beat(std::int64_t now, Outbox& out, bool news) {
  std::uint64_t echo = 0;
  if (!news) {
    echo = (chance_() | 1U);
    beats_.emplace_back(echo, now);
    if (beats_.size() > most_beats) beats_.pop_front();
  }
  for (const Machine m : others(now)) {
    Beat b = own_beat(now, m);
    b.echo = echo;
    b.answer = news;
    out.push_back({m, written(kind::beat, b)});
  }
}

void Keep::heard_beat(std::int64_t now, Machine from, Beat b, Outbox& out) {
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
  if (const auto known = std::find(p.lives.begin(), p.lives.end(), b.life); b.life == p.told.life) {
    if (b.sequence <= p.told.sequence) return;
  } else if (known != p.lives.end()) {
    if (sent == beats_.end()) return;
    p.lives.erase(known);
  }
  if (b.life != p.told.life && p.told.life != 0) p.lives.push_back(p.told.life);
  if (p.lives.size() > most_lives) p.lives.pop_front();
  if (p.told.store != b.store) p.contact = -1, p.number = 0;  // another disk, or its first word
  p.heard = now;
  if (const Seat* s = voters().seat(b.store); s && machine_of(s->address) == from) heard_[b.store] = now;
  if (b.voters.version > voters().version) told(now, b.voters);
  if (b.yours == store()) {
    const bool returned = voter_->standing() == verdict::returning;
    voter_->witnessed(b.store, b.seen);
    if (voter_->standing() == verdict::older && !failed_)
      become(hex(chance_()));
    else if (returned && voter_->standing() == verdict::yes)
      put(voter_->lives(), trove::KeyValueStore::Durability::synced);
  }
  saw(b.store, b.counter);
  if (b.answer) {
    if (sent != beats_.end() && sent->second >= p.contact)
      p.contact = sent->second, p.number = std::max(b.holds.number, b.accepted), p.votes = b.votes;
  } else {
    Beat reply = own_beat(now, from);
    reply.yours = b.store, reply.seen = voter_->seen_of(b.store);
    reply.echo = b.echo;
    reply.answer = true;
    out.push_back({from, written(kind::beat, reply)});
  }
  const Stands theirs = b.holds;
  p.told = std::move(b);
  learn(now, theirs, out);
}

bool Keep::fresh(std::int64_t now) const {
  if (failed_ || voters().version == 0) return false;
  std::set<std::string> agree;
  if (votes()) {
    if (accepted() > holds_.number) return false;
    agree.insert(store());
  }
  for (const auto& [m, p] : peers_) {
    if (p.contact < 0 || now - p.contact > in_contact || !p.votes) continue;
    const Seat* s = voters().seat(p.told.store);
    if (!s || machine_of(s->address) != m) continue;
    if (p.number > holds_.number) return false;
    agree.insert(p.told.store);
  }
  return voters().majority(agree);
}

// ---- who votes ----

std::set<std::string> Keep::gone(std::int64_t now) const {
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
    const auto at = heard_.find(s.store);
    if (!silent(now - (at == heard_.end() ? begun_ : at->second))) continue;
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

std::set<std::string> Keep::quiet(std::int64_t now) const {
  std::set<std::string> found;
  for (const Seat& s : voters().now) {
    const auto it = peers_.find(machine_of(s.address));
    const bool answers = it != peers_.end() && it->second.told.store == s.store && it->second.votes &&
                         it->second.contact >= 0 && now - it->second.contact <= 2 * beat_pause;
    if (s.store != store() && !answers) found.insert(s.store);
  }
  return found;
}

std::vector<Standby> Keep::standbys(std::int64_t now) const {
  std::map<Machine, std::string> found;
  if (!voters().seat(store()) && ready() && !leaving_ && known_ <= holds_.number) found[self_] = store();
  for (const auto& [m, p] : peers_)
    if (now - p.heard < in_contact && p.told.ready && !p.told.leaving &&
        p.told.voters.version >= voters().version && !voters().seat(p.told.store) &&
        p.told.holds.number + 2 >= holds_.number)
      found[m] = p.told.store;
  std::vector<Standby> all;
  for (const auto& [m, s] : found) all.push_back({{text_of(m), s, text_of(m)}});
  return all;
}

std::size_t Keep::wanted_size() const {
  const creed::Item* i = creed_.find(size_name);
  std::size_t n = 0;
  if (!i || i->dropped ||
      std::from_chars(i->text.data(), i->text.data() + i->text.size(), n).ec != std::errc() || n == 0)
    return voters().now.size();
  return n;
}

void Keep::mind_seats(std::int64_t now, Outbox& out) {
  if (failed_ || voters().version == 0 || seats_ || now < next_seats_) return;
  const auto pause = [&] { return std::int64_t(chance_() % std::uint64_t(seats_pause)) + seats_pause / 2; };
  if (succession_) {
    if (now >= succession_until_) return succession_.reset();
    return next_job(now, out);
  }
  next_seats_ = now + pause();
  if (known_ > holds_.number) return;
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

void Keep::next_job(std::int64_t now, Outbox& out) {
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

void Keep::seats_ended(std::int64_t now, const consensus::Outcome& o, Outbox& out) {
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

void Keep::leave(std::int64_t now, Outbox& out) {
  leaving_ = true;
  next_seats_ = now;
  beat(now, out, true);
  tick(now, out);
}

bool Keep::may_go() const { return failed_ || !voters().seat(store()) || !can_hand_over_; }

void Keep::tick(std::int64_t now, Outbox& out) {
  expire(now);
  if (failed_) return;
  // Of one that has no seat any more nobody counts it: others settle without it, and it would ask for ever.
  doubtful_since_ = votes() && accepted() > holds_.number ? (doubtful_since_ > 0 ? doubtful_since_ : now) : 0;
  // While the list changes whoever takes the seat has it already and stands by no more; and just after, who
  // stands by has not yet said that it knows the list. The one that leaves counts until then.
  can_hand_over_ = voters().changing() || now - listed_ <= beat_pause || !standbys(now).empty();
  if (now >= next_beat_) {
    // Somebody unheard is looked into at once: the sooner a seat is given away the sooner a further loss is
    // borne.
    bool amiss = !fresh(now) || known_ > holds_.number || voters().changing();
    for (const Seat& s : voters().now) {
      const auto it = heard_.find(s.store);
      amiss = amiss ||
              (s.store != store() && now - (it == heard_.end() ? begun_ : it->second) > 3 * beat_pause / 2);
    }
    next_beat_ = now + (amiss ? beat_pause / 5 : beat_pause);
    beat(now, out, false);
  }
  if (chase_ && now >= chase_->next) chase(now, out);
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
    for (const auto& [to, asked] : (*attempt)->unanswered) Parcels::send(asked.first, asked.second, out);
  }
  mind_seats(now, out);
  work(now, out);
}

std::int64_t Keep::wake() const {
  std::int64_t at = std::numeric_limits<std::int64_t>::max();
  if (attempt_)
    at = std::min(at, attempt_->next);
  else if (!orders_.empty() && known_ <= holds_.number)
    at = std::min(at, not_before_);
  if (seats_)
    at = std::min(at, seats_->next);
  else if (succession_)
    at = std::min(at, next_seats_);
  if (!orders_.empty()) at = std::min(at, orders_.front().until);
  if (chase_) at = std::min(at, chase_->next);
  return at;
}

}  // namespace robinpin::locus
