#include "gossip.h"

#include <algorithm>
#include <bit>
#include <unordered_map>

namespace robinpin::gossip {

namespace {
constexpr std::int64_t eager = 100'000,
                       calm = 1'600'000;  // between digests of a node that is not caught up: each time longer
constexpr std::int64_t heard_lately = 1'600'000;
constexpr std::size_t most_records = 8;  // in a datagram
constexpr int lease_told = 3;  // successive rounds in which a core tells of a renewal: some may be lost
constexpr std::size_t few_items = 8;  // sent without a listing first
constexpr std::size_t flood = 32;     // news of items within `flood_span`
constexpr std::int64_t flood_span = 500'000;
// A socket's buffers hold about a dozen datagrams of 12 KB (212,992 bytes by default, overhead counted): a
// longer burst loses its end, the same one each time. What is more is asked for again.
constexpr std::size_t most_repair_bytes = 48'000;  // of items, in answer to a listing that covers all names
constexpr std::size_t most_listing_pieces = 2;     // at once; each is answered by so small a part
constexpr int many_parts = 4;  // who differs from a whole core in so many asks again before its round

bool among(const std::vector<Machine>& all, Machine m) {
  return std::find(all.begin(), all.end(), m) != all.end();
}
}  // namespace

Gossip::Gossip(Self self, std::uint64_t incarnation, std::vector<Machine> seeds,
               configuration::ConfigurationStore& creed, std::uint32_t chance)
    : self_(std::move(self)),
      seeds_(std::move(seeds)),
      configuration_(creed),
      chance_(chance),
      next_core_(chance) {
  own_.machine = self_.machine;
  own_.incarnation = incarnation;
  own_.zone = self_.zone;
  own_.core = self_.core;
  cores_ = seeds_;
}

void Gossip::state(std::int64_t now, MemberRecord own, Outbox& out) {
  own.machine = own_.machine, own.incarnation = own_.incarnation, own.zone = own_.zone, own.core = own_.core;
  own.sequence = own_.sequence, own.expired = false;
  // How much longer it is cold is said when that begins and ends, not at each beat.
  const std::uint32_t cold = own.cold_ms;
  if (own.cold_ms > 0 && own_.cold_ms > 0 && own.cold_ms <= own_.cold_ms) own.cold_ms = own_.cold_ms;
  if (own_.sequence > 0 && own == own_) return;
  own.cold_ms = cold;
  ++own.sequence;
  own_ = own;
  take(own_, now);
  pass_on({{}, {own_}, 0}, 0, out);
}

void Gossip::spread(const std::vector<configuration::VersionedItem>& items, Outbox& out) {
  for (auto& piece : pieces_of(items)) pass_on({std::move(piece), {}, 0}, 0, out);
}

// Those of the own zone first, one across.
std::vector<Machine> Gossip::some(std::size_t most, Machine but) {
  std::vector<Machine> near = near_.draw(most, but, chance_), far = far_.draw(most, but, chance_);
  if (members_.entries().size() <= 1) {
    for (const Machine m : seeds_)
      if (m != self_.machine) far.push_back(m);
    std::shuffle(far.begin(), far.end(), chance_);
  }
  const std::size_t across = std::min(far.size(), most - std::min(near.size(), most - 1));
  near.resize(std::min(near.size(), most - across));
  near.insert(near.end(), far.begin(), far.begin() + std::ptrdiff_t(across));
  return near;
}

bool Gossip::take(const MemberRecord& r, std::int64_t now) {
  if (!members_.take(r, now)) return false;
  const bool told = r.machine != self_.machine && !r.expired && !r.leaving;
  near_.put(r.machine, told && r.zone == self_.zone);
  far_.put(r.machine, told && r.zone != self_.zone);
  return true;
}

void Gossip::pass_on(UpdateMessage news, Machine but, Outbox& out) {
  news.floor = configuration_.floor();
  const std::string bytes = written(kind::news, news);
  for (const Machine m : some(told_to, but)) out.push_back({m, bytes});
}

DigestMessage Gossip::told(bool answer) const {
  DigestMessage t;
  t.answer = answer;
  t.whole = self_.core ? whole_ : caught_up_;
  t.items = configuration_.digest();
  t.records = members_.digest();
  t.cores = cores_;
  t.core = self_.core;
  t.floor = configuration_.floor();
  t.epoch = epoch_;
  return t;
}

void Gossip::send_digest(Machine to, bool answer, Outbox& out) const {
  out.push_back({to, written(kind::digest, told(answer))});
}

// To the other cores, and what was heard since it was last told; the first piece is a digest like any, the
// others carry no more.
void Gossip::send_leases(std::int64_t now, Outbox& out) {
  std::vector<MemberLease> due;
  for (auto& [m, r] : leases_)
    if (r.tell > 0) {
      --r.tell;
      due.push_back({m, std::uint16_t(std::clamp<std::int64_t>((now - r.at) / 1000, 0, 65'535))});
    }
  DigestMessage t = told(false);
  for (auto at = due.begin(); !t.answer || at != due.end(); t.answer = true) {
    const auto end = std::size_t(due.end() - at) > leases_at_once ? at + leases_at_once : due.end();
    t.leases.assign(at, end);
    at = end;
    const std::string bytes = written(kind::digest, t);
    for (const Machine m : cores_)
      if (m != self_.machine) out.push_back({m, bytes});
  }
}

// What another core told counts as news to be told on only of a machine that this core does not hear: the
// link between two others may be cut.
void Gossip::renew(std::int64_t now, Machine m, std::int64_t at, bool first_hand) {
  if (!members_.find(m)) return;
  Renewal& r = leases_[m];
  const std::int64_t unheard = std::int64_t(cores_.size() + 2) * round;
  if (first_hand || (now - r.own > unheard && at > r.at + round / 2)) r.tell = lease_told;
  if (first_hand) r.own = at;
  r.at = std::max(r.at, at);
}

void Gossip::cores(std::vector<Machine> known, std::uint64_t epoch) {
  cores_ = std::move(known);
  epoch_ = epoch;
  std::erase_if(core_last_heard_, [&](const auto& heard) { return !among(cores_, heard.first); });
}

// A digest of who says that it lacks something is always answered, and by a core with who is core.
void Gossip::ask(Machine to, Outbox& out) const {
  DigestMessage t = told(false);
  t.whole = false;
  out.push_back({to, written(kind::digest, t)});
}

void Gossip::seeds(std::int64_t now, std::vector<Machine> told, Outbox& out) {
  std::erase_if(unmet_, [&](Machine m) { return !among(told, m); });
  for (const Machine m : told)
    if (m != self_.machine && !among(seeds_, m) && !among(cores_, m)) unmet_.push_back(m);
  seeds_ = std::move(told);
  eager_ = 0;
  next_ = now + eager;
  for (const Machine m : unmet_) ask(m, out);
}

void Gossip::observe_floor(std::uint64_t floor) {
  if (!self_.core) highest_floor_ = std::max(highest_floor_, floor);
}

// Once a floor has been told of, an item at or below it may have been dropped and let go of, unless whoever
// holds it has let go up to there, too: it then stood there. Without this what a listing has taken from one
// that was away for long would come back from another, as long as its own floor is lower.
bool Gossip::may_exist(std::uint64_t at, std::uint64_t holders_floor) const {
  return at == 0 || at > highest_floor_ || holders_floor >= highest_floor_;
}

configuration::Digest Gossip::digest_without_dropped(std::uint64_t floor) const {
  configuration::Digest d = configuration_.digest();
  if (configuration_.dropped() == 0) return d;
  for (const auto& [name, item] : configuration_.items())
    if (item.dropped && item.at <= floor) d[configuration::part_of(name)] ^= configuration::print_of(item);
  return d;
}

// Items of at most so many bytes altogether, and one at the least. Where they are more the first is drawn:
// several senders then fill different gaps, and what was lost is not lost each time.
std::vector<configuration::VersionedItem> Gossip::portion(std::vector<configuration::VersionedItem> items,
                                                          std::size_t most_bytes) {
  std::size_t bytes = 0;
  for (const configuration::VersionedItem& i : items) bytes += size_of(i);
  if (bytes <= most_bytes) return items;
  const auto first = std::uniform_int_distribution<std::size_t>(0, items.size() - 1)(chance_);
  std::rotate(items.begin(), items.begin() + std::ptrdiff_t(first), items.end());
  std::size_t count = 1;
  for (bytes = size_of(items[0]); count < items.size() && bytes + size_of(items[count]) <= most_bytes;
       ++count)
    bytes += size_of(items[count]);
  items.resize(count);
  return items;
}

void Gossip::hurry(std::int64_t now) { eager_ = 0, next_ = std::min(next_, now + eager); }

void Gossip::send_items(Machine to, std::vector<configuration::VersionedItem> items, Outbox& out) const {
  if (items.empty()) return;
  for (auto& piece : pieces_of(std::move(items)))
    out.push_back({to, written(kind::news, UpdateMessage{std::move(piece), {}, configuration_.floor()})});
}

// Of what differs a few items are sent as they are; of many, and of records, a listing says first how new
// each is. While items come in by the hundred the gaps are those that are about to be filled: nothing is said
// of them among members. To a core it is said all the same: changes that never pause would hide a gap for
// ever. Of two floors it is the lower one's node that lists, as it alone can tell what differs by old
// tombstones only; the other's answer has told it how high. Between cores nothing is said of items.
void Gossip::send_differences(std::int64_t now, Machine to, const DigestMessage& theirs, Outbox& out) {
  ListingScope of;
  const bool lower = configuration_.floor() < theirs.floor, level = configuration_.floor() == theirs.floor;
  if ((level || (lower && !self_.core)) && !(self_.core && theirs.core)) {
    const configuration::Digest mine = lower ? digest_without_dropped(theirs.floor) : configuration_.digest();
    std::size_t many = 0;
    for (std::size_t p = 0; p < configuration::parts; ++p)
      if (theirs.items[p] != mine[p]) of.items |= 1U << p, many += configuration_.in_part(p);
    if (!self_.core && theirs.core && theirs.whole && std::popcount(of.items) >= many_parts) {
      repairing_ = asks_one_ = true;
      hurry(now);
    }
    if (now < flood_until_ && !theirs.core) of.items = 0;
    if (of.items != 0 && level && many <= few_items && !theirs.core) {
      std::vector<configuration::VersionedItem> items;
      for (std::size_t p = 0; p < configuration::parts; ++p)
        if (of.items >> p & 1U)
          for (auto& i : configuration_.part(p))
            if (may_exist(i.at, configuration_.floor())) items.push_back(std::move(i));
      send_items(to, std::move(items), out);
      of.items = 0;
    }
    if (level && theirs.answer) of.items = 0;
  }
  // One of the two lists what it holds: the other sends what that lacks, and lists in turn where it lacks
  // something itself.
  if (!theirs.answer)
    for (std::size_t p = 0; p < configuration::parts; ++p)
      if (theirs.records[p] != members_.digest()[p]) of.records |= 1U << p;
  send_listing(to, of, false, out);
}

namespace {
// Whole for the keys from `first` to `last`, in pieces that are each whole for a span of them.
template <typename T, typename K>
struct Piece {
  std::vector<T> listed;
  K first, last;
};
template <typename T, typename K>
std::vector<Piece<T, K>> pieces(std::vector<T> all, K first, K last, K T::*key) {
  std::sort(all.begin(), all.end(), [&](const T& a, const T& b) { return a.*key < b.*key; });
  std::vector<Piece<T, K>> cut;
  for (auto at = all.begin(); cut.empty() || at != all.end();) {
    const auto end = std::size_t(all.end() - at) > listed_at_once ? at + listed_at_once : all.end();
    cut.push_back({{at, end}, first, end == all.end() ? last : (*std::prev(end)).*key});
    first = cut.back().last + 1;
    at = end;
  }
  return cut;
}

template <typename T, typename K, typename Chance>
void draw_pieces(std::vector<Piece<T, K>>& all, Chance& chance) {
  if (all.size() <= most_listing_pieces) return;
  std::shuffle(all.begin(), all.end(), chance);
  all.resize(most_listing_pieces);
}
}  // namespace

// Pieces that are each whole for what they name; of many some are drawn.
void Gossip::send_listing(Machine to, const ListingScope& of, bool answer, Outbox& out) {
  if (of.empty()) return;
  std::vector<RecordSummary> records;
  if (of.records != 0)
    for (const auto& [m, e] : members_.entries())
      if (of.record(m)) records.push_back({m, e.record.incarnation, e.record.sequence, e.record.expired});
  std::vector<ItemSummary> items;
  if (of.items != 0)
    for (const auto& [name, item] : configuration_.items()) {
      if (item.dropped && item.at != 0 && item.at <= highest_floor_) continue;  // about to be let go of
      if (const auto hash = configuration::hashed(name); of.item(hash))
        items.push_back({hash, item.at, item.version});
    }
  auto of_records = pieces(std::move(records), of.first, of.last, &RecordSummary::machine);
  auto of_items = pieces(std::move(items), of.first_name, of.last_name, &ItemSummary::name);
  if (of.records == 0) of_records.clear();
  if (of.items == 0) of_items.clear();
  draw_pieces(of_records, chance_);
  draw_pieces(of_items, chance_);
  for (std::size_t p = 0; p < std::max(of_records.size(), of_items.size()); ++p) {
    ListingMessage l{answer, self_.core, configuration_.floor(), {}, {}, {}};
    if (p < of_records.size())
      l.of.records = of.records, l.of.first = of_records[p].first, l.of.last = of_records[p].last,
      l.records = std::move(of_records[p].listed);
    if (p < of_items.size())
      l.of.items = of.items, l.of.first_name = of_items[p].first, l.of.last_name = of_items[p].last,
      l.items = std::move(of_items[p].listed);
    out.push_back({to, written(kind::listing, l)});
  }
}

void Gossip::on_listing(Machine from, const ListingMessage& theirs, Outbox& out) {
  observe_floor(theirs.floor);
  std::map<Machine, MemberRecord> told;
  for (const RecordSummary& l : theirs.records) {
    MemberRecord& r = told[l.machine];
    r.incarnation = l.incarnation, r.sequence = l.sequence, r.expired = l.expired;
  }
  ListingScope lacks = theirs.of;  // parts of which this node lacks something
  lacks.records = lacks.items = 0;
  UpdateMessage news;
  if (theirs.of.records != 0)
    for (const auto& [m, e] : members_.entries()) {
      if (!theirs.of.record(m)) continue;
      const auto it = told.find(m);
      if (it == told.end() || newer(e.record, it->second))
        news.records.push_back(e.record);
      else if (newer(it->second, e.record))
        lacks.records |= 1U << MembershipTable::part_of(m);
      if (it != told.end()) told.erase(it);
      if (news.records.size() >= most_records)
        out.push_back({from, written(kind::news, std::exchange(news, {}))});
    }
  for (const auto& [m, r] : told) lacks.records |= 1U << MembershipTable::part_of(m);
  if (!news.records.empty()) out.push_back({from, written(kind::news, news)});

  std::unordered_map<std::uint64_t, const ItemSummary*> listed;
  if (!(self_.core && theirs.core))
    for (const ItemSummary& i : theirs.items) listed.emplace(i.name, &i);
  std::vector<configuration::VersionedItem> items;
  std::vector<std::string> gone;
  if (theirs.of.items != 0)
    for (const auto& [name, item] : configuration_.items()) {
      const auto hash = configuration::hashed(name);
      if (!theirs.of.item(hash)) continue;
      const auto it = listed.find(hash);
      if (it == listed.end()) {
        // A core holds a state that was settled, whatever has been since. What was settled up to its floor
        // stands in it, or was overtaken there, or was dropped and let go of: what it does not list of that
        // was dropped. So it is however stale that core is, as a name that was set once more since has a
        // number above its floor.
        if (theirs.core && !self_.core && item.at != 0 && item.at <= theirs.floor)
          gone.push_back(name);
        else if (may_exist(item.at, configuration_.floor()))
          items.push_back(item);
        continue;
      }
      const configuration::VersionedItem other{{}, it->second->version, false, {}, it->second->at};
      if (configuration::newer(item, other))
        items.push_back(item);
      else if (!self_.core && configuration::newer(other, item))
        lacks.items |= 1U << configuration::part_of(hash);
      listed.erase(it);
    }
  for (const auto& name : gone) configuration_.erase(name);
  const std::size_t most_bytes =
      theirs.of.all_names() ? most_repair_bytes : most_repair_bytes / most_listing_pieces;
  if (!theirs.core) send_items(from, portion(std::move(items), most_bytes), out);
  // A core lacks nothing that others have; it lists in turn what it has let go of, so that they do.
  for (const auto& [hash, i] : listed)
    if (const bool gone_here = i->at != 0 && i->at <= configuration_.floor();
        self_.core ? gone_here : !gone_here && may_exist(i->at, theirs.floor))
      lacks.items |= 1U << configuration::part_of(hash);
  if (!theirs.answer) send_listing(from, lacks, true, out);
}

void Gossip::on_update(std::int64_t now, Machine from, const UpdateMessage& news, Outbox& out) {
  UpdateMessage on;
  if (now >= flood_from_ + flood_span) flood_from_ = now, flood_count_ = 0;
  observe_floor(news.floor);
  if (!self_.core)
    for (const configuration::VersionedItem& i : news.items)
      if ((configuration_.find(i.name) || may_exist(i.at, news.floor)) && configuration_.take(i)) {
        on.items.push_back(i);
        if (++flood_count_ > flood) flood_until_ = now + flood_span;
      }
  for (const MemberRecord& r : news.records) {
    if (r.machine == self_.machine) {
      // Word of an earlier incarnation, or that this node has expired: the owner knows better.
      if (newer(r, own_)) {
        own_.incarnation =
            std::max(own_.incarnation, r.incarnation + (r.incarnation > own_.incarnation ? 1 : 0));
        own_.sequence = std::max(own_.sequence, r.sequence) + 1;
        take(own_, now);
        on.records.push_back(own_);
      }
      continue;
    }
    if (take(r, now)) on.records.push_back(r);
  }
  // What it lacked is coming in: whether that was all is asked at once, however seldom it asks by now.
  if (!self_.core && !caught_up_ && !on.items.empty()) hurry(now);
  if (repairing_ && among(cores_, from)) {
    for (const configuration::VersionedItem& i : on.items) repaired_bytes_ += size_of(i);
    if (repaired_bytes_ >= most_repair_bytes / 4) {
      repaired_bytes_ = 0;
      send_digest(from, false, out);
    }
  }
  if (!on.items.empty() || !on.records.empty()) pass_on(std::move(on), from, out);
}

void Gossip::on_digest(std::int64_t now, Machine from, const DigestMessage& theirs, Outbox& out) {
  if (theirs.whole && among(unmet_, from)) unmet_.clear();
  if (self_.core) {
    renew(now, from, now, true);
    if (among(cores_, from)) {
      core_last_heard_[from] = now;
      for (const MemberLease& l : theirs.leases)
        renew(now, l.machine, now - std::int64_t(l.age_ms) * 1000, false);
    }
  } else {
    if (!theirs.cores.empty() && theirs.whole && theirs.epoch >= epoch_) cores(theirs.cores, theirs.epoch);
    observe_floor(theirs.floor);
    // It differs from a whole copy by nothing but tombstones that have been let go of there.
    if (theirs.core && theirs.whole && theirs.floor > configuration_.floor() &&
        digest_without_dropped(theirs.floor) == theirs.items)
      configuration_.let_go(theirs.floor);
  }
  const bool same = theirs.items == configuration_.digest();
  if (theirs.core && theirs.whole) {
    caught_up_ = caught_up_ || same;
    repairing_ = repairing_ && !same;
    // Who has waited long for one asks as often as who begins, from the first that it meets.
    if (!std::exchange(met_, true)) hurry(now);
  }
  if (!same || theirs.records != members_.digest()) send_differences(now, from, theirs, out);
  // Whose items differ sends its own back, too; who begins learns by the answer that it has all, who is
  // behind how far others have let go and who is core. Cores learn all that from each other in another way.
  const bool behind = theirs.floor < configuration_.floor() || theirs.epoch < epoch_;
  if (!theirs.answer && (!theirs.whole || (!(self_.core && theirs.core) && (!same || behind))))
    send_digest(from, true, out);
}

void Gossip::on_datagram(std::int64_t now, Machine from, std::string_view datagram, Outbox& out) {
  if (kind_of(datagram) == kind::news) {
    if (const auto news = read<UpdateMessage>(datagram)) on_update(now, from, *news, out);
  } else if (kind_of(datagram) == kind::listing) {
    if (const auto listing = read<ListingMessage>(datagram)) on_listing(from, *listing, out);
  } else if (kind_of(datagram) == kind::digest) {
    if (const auto told = read<DigestMessage>(datagram)) on_digest(now, from, *told, out);
  }
}

void Gossip::leapt(std::int64_t, Outbox& out) {
  with_majority_ = 0;
  for (const Machine m : cores_)
    if (m != self_.machine) send_digest(m, false, out);
}

void Gossip::tick(std::int64_t now, Outbox& out) {
  if (now < next_) return;
  const bool hurried = !self_.core && !caught_up_;
  std::uniform_int_distribution<std::int64_t> about(9, 11);
  // All may begin at once, and the core is small: each asks less often the longer it takes.
  eager_ = hurried ? std::min(calm, std::max(eager, 2 * eager_)) : 0;
  next_ = now + (hurried ? eager_ : round) * about(chance_) / 10;
  std::vector<Machine> to;
  const bool asks_one = std::exchange(asks_one_, false) && !cores_.empty();
  if (hurried && !asks_one) {
    to = cores_;
    to.insert(to.end(), seeds_.begin(), seeds_.end());
  } else {
    if (self_.core)
      send_leases(now, out);
    else if (!cores_.empty())
      to.push_back(cores_[next_core_++ % cores_.size()]);
    if (!asks_one)
      for (const Machine m : some(1, 0))
        if (!self_.core || !among(cores_, m)) to.push_back(m);
  }
  std::sort(to.begin(), to.end());
  to.erase(std::unique(to.begin(), to.end()), to.end());
  for (const Machine m : to)
    if (m != self_.machine && !among(unmet_, m)) send_digest(m, false, out);
  for (const Machine m : unmet_) ask(m, out);
  if (self_.core) sweep(now, out);
}

// Only a core that has heard a majority of the core for a whole term, and so all leases, may tell that one
// has run out.
void Gossip::sweep(std::int64_t now, Outbox& out) {
  std::size_t heard = 1;
  for (const Machine m : cores_)
    if (const auto it = core_last_heard_.find(m);
        m != self_.machine && it != core_last_heard_.end() && now - it->second < heard_lately)
      ++heard;
  if (2 * heard <= cores_.size()) {
    with_majority_ = 0;
    return;
  }
  if (with_majority_ == 0) with_majority_ = now;
  if (now - with_majority_ < lease_term) return;
  std::vector<MemberRecord> expired;
  for (const auto& [m, e] : members_.entries()) {
    if (e.record.expired) leases_.erase(m);
    if (m == self_.machine || e.record.expired) continue;
    const auto lease = leases_.find(m);
    if (now - std::max(e.heard, lease == leases_.end() ? 0 : lease->second.at) < lease_term) continue;
    expired.push_back(e.record);
    expired.back().expired = true;
  }
  for (const MemberRecord& r : expired) {
    take(r, now);
    pass_on({{}, {r}, 0}, 0, out);
  }
}

}  // namespace robinpin::gossip
