#include "keep.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <sstream>

namespace robinpin::locus {

namespace {

constexpr std::string_view item_mark = "i/", own_name = "own";

struct Own {  // beside the items: who this copy is
  std::uint64_t identity = 0;
  bool whole = false;
  std::vector<Machine> cores;
  template <typename A>
  void serialize(A& a) {
    a(identity, whole, cores);
  }
};

template <typename T>
std::string packed(const T& x) {
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(x);
  return std::move(out).str();
}

template <typename T>
bool unpacked(const std::string& text, T& x) {
  try {
    std::istringstream in(text);
    cereal::BinaryInputArchive archive(in);
    archive(x);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace

Keep::Keep(Machine self, creed::Creed& creed, rumour::Rumour& rumour, trove::Trove& trove, std::uint64_t chance)
    : self_(self), creed_(creed), rumour_(rumour), trove_(trove), next_id_(chance | 1) {}

trove::result<void> Keep::begin(bool first_start, const std::vector<Machine>& seeds) {
  BOOST_LEAF_AUTO(held, trove_.all());
  Own own;
  bool known = false;
  for (const auto& [name, text] : held) {
    if (name == own_name) {
      if (!unpacked(text, own)) return boost::leaf::new_error(trove::Trouble{"read", "own record", "can't be read"});
      known = true;
    } else if (name.starts_with(item_mark)) {
      creed::Item item;
      if (!unpacked(text, item)) return boost::leaf::new_error(trove::Trouble{"read", name, "can't be read"});
      creed_.take(item);
    }
  }
  if (known) {
    cores_ = own.cores;
    whole_ = own.whole;
  } else {
    cores_ = seeds;
    if (std::find(cores_.begin(), cores_.end(), self_) == cores_.end()) cores_.push_back(self_);
    std::sort(cores_.begin(), cores_.end());
    whole_ = first_start && held.empty();
    if (!put_own()) return boost::leaf::new_error(*failed_);
  }
  rumour_.cores(cores_);
  rumour_.whole(whole_);
  return {};
}

// Beside those it knows, none of which is let go of: a longer list asks for more copies before this one is whole, and the
// first whole copy that names this core sets it right.
void Keep::seeds(const std::vector<Machine>& told) {
  if (whole_) return;
  for (const Machine m : told)
    if (std::find(cores_.begin(), cores_.end(), m) == cores_.end()) cores_.push_back(m);
  std::sort(cores_.begin(), cores_.end());
}

bool Keep::put_own() {
  const Own own{next_id_, whole_, cores_};
  return boost::leaf::try_handle_all(
      [&]() -> trove::result<bool> {
        BOOST_LEAF_CHECK(trove_.put({{{std::string(own_name), packed(own)}}, {}}));
        return true;
      },
      [&](const trove::Trouble& t) { return failed_ = t, false; }, [&] { return failed_ = trove::Trouble{"sync", "trove", "unknown"}, false; });
}

bool Keep::put(const std::vector<creed::Item>& items) {
  if (failed_) return false;
  if (items.empty()) return true;
  std::vector<trove::Trove::Pair> pairs;
  for (const creed::Item& i : items)
    if (const creed::Item* held = creed_.find(i.name)) pairs.emplace_back(std::string(item_mark) + i.name, packed(*held));
  return boost::leaf::try_handle_all(
      [&]() -> trove::result<bool> {
        BOOST_LEAF_CHECK(trove_.put({pairs, {}}));
        return true;
      },
      [&](const trove::Trouble& t) { return failed_ = t, false; }, [&] { return failed_ = trove::Trouble{"sync", "trove", "unknown"}, false; });
}

void Keep::keep(const std::vector<creed::Item>& items) { put(items); }

void Keep::order(std::int64_t now, Order order, Done done, Outbox& out) {
  if (failed_ || !whole_ || work_.size() >= most_orders) return done({503, R"({"fault":"this core can't tell now"})"});
  const std::uint64_t id = next_id_ += 2;
  const auto at = work_.try_emplace(id).first;
  Work& w = at->second;
  w.order = std::move(order);
  w.done = std::move(done);
  w.until = now + patience;
  w.next = now + again;
  send_fetches(w, id, out);
  if (enough_merged(w)) merged(now, at, out);
}

void Keep::send_fetches(Work& w, std::uint64_t id, Outbox& out) {
  const std::string bytes = rumour::written(rumour::kind::fetch, rumour::Fetch{id, ++w.round, creed_.digest()});
  for (const Machine m : cores_)
    if (m != self_ && !w.asked[m].done) {
      w.asked[m].pieces.clear();  // asked anew by a newer digest
      out.push_back({m, bytes});
    }
}

void Keep::send_stores(Work& w, Outbox& out) {
  for (const auto& [id, what] : w.stores) {
    const auto& [piece, m] = what;
    if (w.lacking[m].contains(piece)) out.push_back({m, rumour::written(rumour::kind::store, rumour::Store{id, w.pieces[piece]})});
  }
}

bool Keep::enough_merged(const Work& w) const {
  std::size_t copies = whole_ ? 1 : 0, answered = 1;
  for (const auto& [m, a] : w.asked) copies += a.done && a.whole, answered += a.done;
  // Who learns must meet every majority that may have synced, though one of it was this core, with its old disk.
  if (!w.done) return copies >= cores_.size() - majority() + 1 || answered == cores_.size();
  return copies >= majority();
}

bool Keep::enough_stored(const Work& w) const {
  std::size_t copies = 1;
  for (const auto& [m, pieces] : w.lacking) copies += pieces.empty();
  return copies >= majority();
}

void Keep::merged(std::int64_t now, Place at, Outbox& out) {
  Work& w = at->second;
  if (!w.done) {
    whole_ = true;
    learning_ = false;
    work_.erase(at);
    if (put_own()) rumour_.cores(cores_), rumour_.whole(true);
    return;
  }
  switch (w.order.is) {
    case Order::what::read:
      return end(at, {200, creed::written_out(creed_)});
    case Order::what::adjust: {
      creed::Change change = creed::read_change(w.order.text, creed_);
      if (!change.faults.empty()) return end(at, {400, creed::faults_as_json(change.faults)});
      w.items = std::move(change.items);
      break;
    }
    case Order::what::begin:
    case Order::what::finish: {
      const std::string name = std::string(creed::evacuation_mark) + w.order.text;
      const creed::Item* held = creed_.find(name);
      const bool drop = w.order.is == Order::what::finish;
      creed::Item item{name, held ? held->version : 1, drop, drop ? "" : "{}"};
      if (held && held->dropped != drop) item.version = held->version + 1;  // one that stands so is synced once more as it is
      if (!held && drop) return end(at, {200, "{}"});
      w.items.push_back(std::move(item));
      break;
    }
  }
  settle(now, at, out);
}

void Keep::settle(std::int64_t now, Place at, Outbox& out) {
  Work& w = at->second;
  std::vector<creed::Item> news;
  for (creed::Item& i : w.items) {
    if (creed_.take(i)) news.push_back(i);
    if (const creed::Item* held = creed_.find(i.name); held && creed::newer(*held, i)) i = *held;  // overtaken: that is what lasts
  }
  if (!put(w.items)) return end(at, {503, R"({"fault":"the disk has failed"})"});
  w.storing = true;
  w.pieces = rumour::pieces_of(w.items);
  for (const Machine m : cores_) {
    if (m == self_) continue;
    for (std::size_t p = 0; p < w.pieces.size(); ++p) {
      w.stores[next_id_ += 2] = {p, m};
      w.lacking[m].insert(p);
    }
  }
  w.next = now + again;
  send_stores(w, out);
  rumour_.spread(news, out);
  if (enough_stored(w)) end(at, {200, "{}"});
}

void Keep::end(Place at, Outcome outcome) {
  const Done done = std::move(at->second.done);
  work_.erase(at);
  done(std::move(outcome));
}

void Keep::heard(std::int64_t now, Machine from, std::string_view datagram, Outbox& out) {
  using rumour::kind;
  switch (rumour::kind_of(datagram)) {
    case kind::fetch: {
      const auto f = rumour::read<rumour::Fetch>(datagram);
      if (!f || failed_) return;
      std::vector<creed::Item> items;
      for (std::size_t p = 0; p < creed::parts; ++p)
        if (f->items[p] != creed_.digest()[p])
          for (auto& i : creed_.part(p)) items.push_back(std::move(i));
      auto pieces = rumour::pieces_of(std::move(items));
      for (std::uint32_t p = 0; p < pieces.size(); ++p)
        out.push_back({from, rumour::written(kind::fetched, rumour::Fetched{f->id, f->round, p, std::uint32_t(pieces.size()), whole_, cores_, pieces[p]})});
      return;
    }
    case kind::fetched: {
      const auto f = rumour::read<rumour::Fetched>(datagram);
      if (!f) return;
      std::vector<creed::Item> news;
      for (const creed::Item& i : f->items)
        if (creed_.take(i)) news.push_back(i);
      if (!put(news)) return;
      if (!news.empty()) rumour_.spread(news, out);
      const auto at = work_.find(f->id);
      if (at == work_.end() || at->second.storing) return;
      Work& w = at->second;
      Asked& a = w.asked[from];
      if (f->round != w.round || a.done) return;
      a.of = f->pieces;
      a.whole = f->whole;
      a.pieces[f->piece] = true;
      a.done = a.pieces.size() >= a.of;
      if (!w.done && f->whole && f->cores != cores_ && std::find(f->cores.begin(), f->cores.end(), self_) != f->cores.end()) {
        cores_ = f->cores;  // an empty disk knows only seeds
        put_own();
      }
      if (enough_merged(w)) merged(now, at, out);
      return;
    }
    case kind::store: {
      const auto s = rumour::read<rumour::Store>(datagram);
      if (!s || failed_) return;
      std::vector<creed::Item> news;
      for (const creed::Item& i : s->items)
        if (creed_.take(i)) news.push_back(i);
      if (!put(news)) return;  // never answered before it lasts
      out.push_back({from, rumour::written(kind::stored, rumour::Stored{s->id})});
      if (!news.empty()) rumour_.spread(news, out);
      return;
    }
    case kind::stored: {
      const auto s = rumour::read<rumour::Stored>(datagram);
      if (!s) return;
      for (auto at = work_.begin(); at != work_.end(); ++at) {
        Work& w = at->second;
        const auto it = w.stores.find(s->id);
        if (it == w.stores.end() || it->second.second != from) continue;
        w.lacking[from].erase(it->second.first);
        if (enough_stored(w)) end(at, {200, "{}"});
        return;
      }
      return;
    }
    default:
      return;
  }
}

void Keep::learn(std::int64_t now, Outbox& out) {
  const std::uint64_t id = next_id_ += 2;
  Work& w = work_.try_emplace(id).first->second;
  w.until = now + 10 * patience;
  w.next = now + again;
  learning_ = true;
  send_fetches(w, id, out);
}

void Keep::tick(std::int64_t now, Outbox& out) {
  if (!whole_ && !learning_ && !failed_) learn(now, out);
  for (auto at = work_.begin(); at != work_.end();) {
    const auto here = at++;
    Work& w = here->second;
    if (now >= w.until || failed_) {
      if (w.done) {
        end(here, {503, R"({"fault":"no majority of the core answers"})"});
      } else {
        work_.erase(here);
        learning_ = false;
      }
      continue;
    }
    if (now < w.next) continue;
    w.next = now + (w.pause = std::min(4 * again, 2 * w.pause));
    if (w.storing) send_stores(w, out);
    else send_fetches(w, here->first, out);
  }
}

}  // namespace robinpin::locus
