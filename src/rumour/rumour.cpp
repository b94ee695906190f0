#include "rumour.h"

#include <algorithm>
#include <unordered_map>

namespace robinpin::rumour {

namespace {
constexpr std::int64_t alone_for = 1'500'000;  // then less than a majority is enough to begin with
constexpr std::int64_t eager = 100'000, calm = 1'600'000;  // between digests of a node that is not caught up: each time longer
constexpr std::int64_t short_of = 850'000;  // between asks of all of the core by who began with less: each second round, whatever the rounds are drawn
constexpr std::int64_t heard_lately = 1'600'000;
constexpr std::size_t most_records = 8;  // in a datagram
constexpr std::size_t few_items = 8;     // sent without a listing first
constexpr std::size_t flood = 32;        // news of items within `flood_span`
constexpr std::int64_t flood_span = 500'000;
}  // namespace

Rumour::Rumour(Self self, std::uint64_t life, std::vector<Machine> seeds, creed::Creed& creed, std::uint32_t chance)
    : self_(std::move(self)), seeds_(std::move(seeds)), creed_(creed), chance_(chance) {
  own_.machine = self_.machine;
  own_.life = life;
  own_.zone = self_.zone;
  own_.core = self_.core;
  cores_ = seeds_;
}

void Rumour::state(std::int64_t now, Record own, Outbox& out) {
  own.machine = own_.machine, own.life = own_.life, own.zone = own_.zone, own.core = own_.core;
  own.word = own_.word, own.lapsed = false;
  // How much longer it is cold is said when that begins and ends, not at each beat.
  const std::uint32_t cold = own.cold_ms;
  if (own.cold_ms > 0 && own_.cold_ms > 0 && own.cold_ms <= own_.cold_ms) own.cold_ms = own_.cold_ms;
  if (own_.word > 0 && own == own_) return;
  own.cold_ms = cold;
  ++own.word;
  own_ = own;
  roll_.take(own_, now);
  pass_on({{}, {own_}}, 0, out);
}

void Rumour::spread(const std::vector<creed::Item>& items, Outbox& out) {
  for (auto& piece : pieces_of(items)) pass_on({std::move(piece), {}}, 0, out);
}

// Those of the own zone first, one across; a core tells as many cores beside.
std::vector<Machine> Rumour::some(std::size_t most, Machine but) {
  std::vector<Machine> near, far;
  for (const auto& [m, e] : roll_.entries()) {
    if (m == self_.machine || m == but || e.record.lapsed || e.record.leaving) continue;
    (e.record.zone == self_.zone ? near : far).push_back(m);
  }
  if (roll_.entries().size() <= 1)
    for (const Machine m : seeds_)
      if (m != self_.machine) far.push_back(m);
  std::shuffle(near.begin(), near.end(), chance_);
  std::shuffle(far.begin(), far.end(), chance_);
  std::vector<Machine> chosen;
  while (chosen.size() < most && !(near.empty() && far.empty())) {
    auto& from = far.empty() || (!near.empty() && chosen.size() + 1 < most) ? near : far;
    chosen.push_back(from.back());
    from.pop_back();
  }
  return chosen;
}

void Rumour::pass_on(News news, Machine but, Outbox& out) {
  const std::string bytes = written(kind::news, news);
  for (const Machine m : some(told_to, but)) out.push_back({m, bytes});
}

Told Rumour::told(bool answer) const {
  Told t;
  t.answer = answer;
  t.whole = self_.core ? whole_ : caught_up_;
  t.items = creed_.digest();
  t.records = roll_.digest();
  t.cores = cores_;
  return t;
}

void Rumour::send_digest(std::int64_t now, Machine to, bool answer, Outbox& out) const {
  Told t = told(answer);
  if (self_.core && std::find(cores_.begin(), cores_.end(), to) != cores_.end())
    for (const auto& [m, at] : leases_) t.leases.push_back({m, std::uint32_t(std::max<std::int64_t>(0, now - at) / 1000)});
  out.push_back({to, written(kind::digest, t)});
}

// A digest of who says that it lacks something is always answered, and by a core with who is core.
void Rumour::ask(Machine to, Outbox& out) const {
  Told t = told(false);
  t.whole = false;
  out.push_back({to, written(kind::digest, t)});
}

void Rumour::seeds(std::int64_t now, std::vector<Machine> told, Outbox& out) {
  const auto among = [](const std::vector<Machine>& all, Machine m) { return std::find(all.begin(), all.end(), m) != all.end(); };
  std::erase_if(unmet_, [&](Machine m) { return !among(told, m); });
  for (const Machine m : told)
    if (m != self_.machine && !among(seeds_, m) && !among(cores_, m)) unmet_.push_back(m);
  seeds_ = std::move(told);
  eager_ = 0;
  next_ = now + eager;
  for (const Machine m : unmet_) ask(m, out);
}

// Of what differs a few items are sent as they are; of many, and of records, a listing says first how new each is. While
// items come in by the hundred the gaps are those that are about to be filled: nothing is said of them.
void Rumour::send_gaps(std::int64_t now, Machine to, const Told& theirs, Outbox& out) const {
  std::uint32_t items_differ = 0, differ = 0;
  std::size_t many = 0;
  if (now >= flood_until_)
    for (std::size_t p = 0; p < creed::parts; ++p)
      if (theirs.items[p] != creed_.digest()[p]) items_differ |= 1U << p, many += creed_.in_part(p);
  if (items_differ != 0 && many <= few_items) {
    std::vector<creed::Item> items;
    for (std::size_t p = 0; p < creed::parts; ++p)
      if (items_differ >> p & 1U)
        for (auto& i : creed_.part(p)) items.push_back(std::move(i));
    for (auto& piece : pieces_of(std::move(items))) out.push_back({to, written(kind::news, News{std::move(piece), {}})});
    items_differ = 0;
  }
  for (std::size_t p = 0; p < creed::parts; ++p)
    if (theirs.records[p] != roll_.digest()[p]) differ |= 1U << p;
  // One of the two lists what it holds: the other sends what that lacks, and lists in turn where it lacks something itself.
  if ((differ != 0 || items_differ != 0) && !theirs.answer) send_listing(to, differ, items_differ, false, out);
}

// As many datagrams as it takes, each whole for the parts that it names.
void Rumour::send_listing(Machine to, std::uint32_t differ, std::uint32_t items_differ, bool answer, Outbox& out) const {
  Listing l;
  l.answer = answer;
  l.differ = differ;
  for (const auto& [m, e] : roll_.entries())
    if (differ >> Roll::part_of(m) & 1U) l.records.push_back({m, e.record.life, e.record.word, e.record.lapsed});
  std::vector<std::vector<ListedItem>> listed(creed::parts);
  if (items_differ != 0)
    for (const auto& [name, item] : creed_.items())
      if (const auto p = creed::part_of(name); items_differ >> p & 1U) listed[p].push_back({creed::hashed(name, 1), item.version, creed::print_of(item)});
  for (std::size_t p = 0; p < creed::parts; ++p) {
    if (!(items_differ >> p & 1U)) continue;
    if (!l.items.empty() && l.items.size() + listed[p].size() > listed_at_once) {
      out.push_back({to, written(kind::listing, std::exchange(l, {}))});
      l.answer = answer;
    }
    l.items_differ |= 1U << p;
    l.items.insert(l.items.end(), listed[p].begin(), listed[p].end());
  }
  out.push_back({to, written(kind::listing, l)});
}

void Rumour::heard_listing(Machine from, const Listing& theirs, Outbox& out) const {
  std::map<Machine, Record> told;
  for (const Listed& l : theirs.records) {
    Record& r = told[l.machine];
    r.life = l.life, r.word = l.word, r.lapsed = l.lapsed;
  }
  std::uint32_t differ = 0, items_differ = 0;  // parts of which this node lacks something
  News news;
  for (const auto& [m, e] : roll_.entries()) {
    if (!(theirs.differ >> Roll::part_of(m) & 1U)) continue;
    const auto it = told.find(m);
    if (it == told.end() || newer(e.record, it->second)) news.records.push_back(e.record);
    else if (newer(it->second, e.record)) differ |= 1U << Roll::part_of(m);
    if (it != told.end()) told.erase(it);
    if (news.records.size() >= most_records) out.push_back({from, written(kind::news, std::exchange(news, {}))});
  }
  for (const auto& [m, r] : told) differ |= 1U << Roll::part_of(m);
  if (!news.records.empty()) out.push_back({from, written(kind::news, news)});

  std::unordered_map<std::uint64_t, const ListedItem*> listed;
  for (const ListedItem& i : theirs.items) listed.emplace(i.name, &i);
  std::vector<creed::Item> items;
  if (theirs.items_differ != 0)
    for (const auto& [name, item] : creed_.items()) {
      const auto p = creed::part_of(name);
      if (!(theirs.items_differ >> p & 1U)) continue;
      const auto it = listed.find(creed::hashed(name, 1));
      const ListedItem* other = it == listed.end() ? nullptr : it->second;
      if (other) listed.erase(it);
      if (other && other->print == creed::print_of(item)) continue;
      // Of one version in two wordings each shows its own: merging settles it.
      if (!other || other->version <= item.version) items.push_back(item);
      if (other && other->version >= item.version) items_differ |= 1U << p;
    }
  if (!items.empty())
    for (auto& piece : pieces_of(std::move(items))) out.push_back({from, written(kind::news, News{std::move(piece), {}})});
  if (!listed.empty()) items_differ |= theirs.items_differ;
  if ((differ != 0 || items_differ != 0) && !theirs.answer) send_listing(from, differ, items_differ, true, out);
}

void Rumour::agreed(std::int64_t now, Machine with, bool whole) {
  if (majority_ || !whole) return;
  agrees_.insert(with);
  const auto of_core = std::count_if(agrees_.begin(), agrees_.end(), [&](Machine m) {
    return std::find(cores_.begin(), cores_.end(), m) != cores_.end();
  });
  majority_ = 2 * std::size_t(of_core) > cores_.size();
  caught_up_ = caught_up_ || majority_ || now - begun_ > alone_for;
}

void Rumour::heard(std::int64_t now, Machine from, std::string_view datagram, Outbox& out) {
  if (begun_ < 0) begun_ = now;
  if (kind_of(datagram) == kind::news) {
    const auto news = read<News>(datagram);
    if (!news) return;
    News on;
    if (now >= flood_from_ + flood_span) flood_from_ = now, flood_count_ = 0;
    for (const creed::Item& i : news->items)
      if (!self_.core && creed_.take(i)) {  // a core goes by what it has settled itself
        on.items.push_back(i);
        if (++flood_count_ > flood) flood_until_ = now + flood_span;
      }
    for (const Record& r : news->records) {
      if (r.machine == self_.machine) {
        // Word of an earlier life, or that this node has lapsed: the owner knows better.
        if (newer(r, own_)) {
          own_.life = std::max(own_.life, r.life + (r.life > own_.life ? 1 : 0));
          own_.word = std::max(own_.word, r.word) + 1;
          roll_.take(own_, now);
          on.records.push_back(own_);
        }
        continue;
      }
      if (roll_.take(r, now)) {
        on.records.push_back(r);
        if (self_.core && !r.lapsed) leases_[r.machine] = now;
      }
    }
    // What it lacked is coming in: whether that was all is asked at once, however seldom it asks by now.
    if (!self_.core && !caught_up_ && !on.items.empty()) eager_ = 0, next_ = std::min(next_, now + eager);
    if (!on.items.empty() || !on.records.empty()) pass_on(std::move(on), from, out);
    return;
  }
  if (kind_of(datagram) == kind::listing) {
    if (const auto listing = read<Listing>(datagram)) heard_listing(from, *listing, out);
    return;
  }
  if (kind_of(datagram) != kind::digest) return;
  const auto theirs = read<Told>(datagram);
  if (!theirs) return;
  if (theirs->whole && std::find(unmet_.begin(), unmet_.end(), from) != unmet_.end()) unmet_.clear();
  const bool of_core = std::find(cores_.begin(), cores_.end(), from) != cores_.end();
  if (self_.core) {
    leases_[from] = now;
    if (of_core) cores_heard_[from] = now;
    if (of_core)
      for (const Lease& l : theirs->leases) {
        auto& at = leases_.try_emplace(l.machine, 0).first->second;
        at = std::max(at, now - std::int64_t(l.age_ms) * 1000);
      }
  } else if (!theirs->cores.empty() && theirs->whole) {
    cores_ = theirs->cores;
  }
  const bool same = theirs->items == creed_.digest();
  if (same) agreed(now, from, theirs->whole);
  if (!same || theirs->records != roll_.digest()) send_gaps(now, from, *theirs, out);
  // Whose items differ sends its own back, too; who begins learns by the answer that it has all.
  if (!theirs->answer && (!same || !theirs->whole)) send_digest(now, from, true, out);
}

void Rumour::leapt(std::int64_t now, Outbox& out) {
  with_majority_ = 0;
  for (const Machine m : cores_)
    if (m != self_.machine) send_digest(now, m, false, out);
}

void Rumour::tick(std::int64_t now, Outbox& out) {
  if (begun_ < 0) begun_ = now;
  if (now < next_) return;
  const bool hurried = !self_.core && !caught_up_;
  std::uniform_int_distribution<std::int64_t> about(9, 11);
  // All may begin at once, and the core is small: each asks less often the longer it takes.
  eager_ = hurried ? std::min(calm, std::max(eager, 2 * eager_)) : 0;
  next_ = now + (hurried ? eager_ : round) * about(chance_) / 10;
  std::vector<Machine> to;
  if (self_.core || hurried) {
    for (const Machine m : cores_)
      if (self_.core || !agrees_.contains(m)) to.push_back(m);
    if (hurried)
      for (const Machine m : seeds_)
        if (std::find(to.begin(), to.end(), m) == to.end()) to.push_back(m);
  } else if (!cores_.empty()) {
    to.push_back(cores_[std::size_t(chance_()) % cores_.size()]);
  }
  if (!hurried)
    for (const Machine m : some(1, 0)) to.push_back(m);
  std::sort(to.begin(), to.end());
  to.erase(std::unique(to.begin(), to.end()), to.end());
  for (const Machine m : to)
    if (m != self_.machine && std::find(unmet_.begin(), unmet_.end(), m) == unmet_.end()) send_digest(now, m, false, out);
  for (const Machine m : unmet_) ask(m, out);
  // What it began with may be stale, and the core drawn at each round the stale one time and again. Those that agree have to
  // do so between two asks: what one held long ago says nothing of what was settled without it since.
  if (!self_.core && caught_up_ && !majority_ && now >= next_ask_) {
    next_ask_ = now + short_of;
    agrees_.clear();
    for (const Machine m : cores_) ask(m, out);
  }
  if (self_.core) sweep(now, out);
}

// Only a core that has heard a majority of the core for a whole term, and so all leases, may tell that one has run out.
void Rumour::sweep(std::int64_t now, Outbox& out) {
  std::size_t heard = 1;
  for (const Machine m : cores_)
    if (const auto it = cores_heard_.find(m); m != self_.machine && it != cores_heard_.end() && now - it->second < heard_lately) ++heard;
  if (2 * heard <= cores_.size()) {
    with_majority_ = 0;
    return;
  }
  if (with_majority_ == 0) with_majority_ = now;
  if (now - with_majority_ < lease_term) return;
  std::vector<Record> lapsed;
  for (const auto& [m, e] : roll_.entries()) {
    if (m == self_.machine || e.record.lapsed) continue;
    const auto lease = leases_.find(m);
    if (now - std::max(e.heard, lease == leases_.end() ? 0 : lease->second) < lease_term) continue;
    lapsed.push_back(e.record);
    lapsed.back().lapsed = true;
  }
  for (const Record& r : lapsed) {
    roll_.take(r, now);
    pass_on({{}, {r}}, 0, out);
  }
}

}  // namespace robinpin::rumour
