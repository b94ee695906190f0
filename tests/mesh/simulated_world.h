// A world of core machines for the explorer: control_plane::ReplicatedState, gossip::Gossip and
// configuration::ConfigurationStore as they are, over a network that is a bag of letters, disks as LevelDB
// has them, and a clock for each machine. Beside them stands what was settled and what operators were told,
// kept in words of its own and held against all that any core holds, says or answers.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "../../src/control_plane/persistence.h"
#include "../../src/control_plane/replicated_state.h"
#include "help.h"

namespace robinpin::mesh_test::explored {

using configuration::VersionedItem;
using gossip::Machine;
using What = control_plane::OperatorRequest::what;
using Items = configuration::ConfigurationStore::Items;

inline std::uint64_t mixed(std::uint64_t h, std::uint64_t x) {
  return configuration::hashed({reinterpret_cast<const char*>(&x), sizeof x}, h);
}
inline std::uint64_t mixed(std::uint64_t h, std::string_view x) { return configuration::hashed(x, h); }

// An operator's call, and what it asks for in words of the explorer's own.
struct Call {
  control_plane::OperatorRequest order;
  std::vector<VersionedItem> items;
  std::vector<std::pair<std::size_t, std::string>> needs;  // of which item, which service
  bool invalid = false;                                    // whatever stands

  bool brings(const VersionedItem& i) const {
    if (order.is == What::begin || order.is == What::finish)
      return i.name == std::string(configuration::evacuation_prefix) + order.text;
    return std::any_of(items.begin(), items.end(),
                       [&](const VersionedItem& x) { return configuration::same_wording(x, i); });
  }
  // Two that can't both be taken, whichever comes first.
  bool clashes(const Call& o) const {
    for (const VersionedItem& a : items)
      for (const VersionedItem& b : o.items)
        if (a.name == b.name && a.version == b.version && !configuration::same_wording(a, b)) return true;
    return false;
  }
};

inline Call change(const std::string& text) {
  Call c{{What::adjust, text}, {}, {}, false};
  auto read = configuration::read_call(text);
  c.items = std::move(read.items), c.invalid = !read.faults.empty();
  for (const auto& n : read.needs) c.needs.emplace_back(n.item, n.service);
  return c;
}
inline std::string drop_text(const std::string& label, int version) {
  return R"({"label":")" + label + R"(","revision":")" + configuration::version_text(std::uint64_t(version)) +
         R"("})";
}
inline Call route(int version, const std::string& target, const std::string& label = "r0") {
  return change(one_route(configuration::version_text(std::uint64_t(version)), target, label));
}
inline Call drop(const std::string& list, const std::string& label, int version) {
  return change(R"({"remove":{")" + list + R"(":[)" + drop_text(label, version) + "]}}");
}
// A route set and another dropped, in one call.
inline Call both(int version, const std::string& target, const std::string& label,
                 const std::string& dropped) {
  std::string text = one_route(configuration::version_text(std::uint64_t(version)), target, label);
  text.pop_back();
  return change(text + R"(,"remove":{"channels":[)" + drop_text(dropped, version) + "]}}");
}
inline Call reading() { return {{What::read, {}}, {}, {}, false}; }
inline Call size(const std::string& voters) { return {{What::size, voters}, {}, {}, false}; }
inline Call zone(bool begin) { return {{begin ? What::begin : What::finish, "zone-a"}, {}, {}, false}; }

// What a disk holds. A batch is there whole or not at all, since LevelDB's is ("a put may tear" of the older
// explorer was too hard on it); a loss of power takes those that were put in time from the end on, as far as
// it likes.
struct Disk {
  using Batch = storage::KeyValueStore::WriteBatch;
  std::map<std::string, std::string> lasts;
  std::vector<Batch> since;
  static void apply(std::map<std::string, std::string>& to, const Batch& b) {
    for (const auto& [k, v] : b.puts) to[k] = v;
    for (const auto& k : b.removals) to.erase(k);
  }
  std::map<std::string, std::string> written() const {
    auto all = lasts;
    for (const Batch& b : since) apply(all, b);
    return all;
  }
  void settle() {
    for (const Batch& b : std::exchange(since, {})) apply(lasts, b);
  }
  void lose_power(std::size_t spared) {
    if (spared < since.size()) since.resize(spared);
    settle();
  }
  bool empty() const { return lasts.empty() && since.empty(); }
  std::uint64_t print() const {
    std::uint64_t h = since.size();
    for (const auto& [k, v] : lasts) h = mixed(mixed(h, k), v);
    for (const Batch& b : since) {
      for (const auto& [k, v] : b.puts) h = mixed(mixed(h, k), v);
      for (const auto& k : b.removals) h = mixed(h + 1, k);
    }
    return h;
  }
};

class Store : public storage::KeyValueStore {
 public:
  explicit Store(std::shared_ptr<Disk> disk) : disk_(std::move(disk)) {
    disk_->settle();
  }                 // opened: what was found is synced
  int spared = -1;  // the process dies once so many more puts are there; below 0: it does not
  bool died = false;
  storage::result<void> write(const WriteBatch& batch, Durability durability = Durability::synced) override {
    if (died || spared == 0)
      return died = true,
             boost::leaf::new_error(storage::Error{storage::Error::Step::sync, "memory", "died"});
    if (spared > 0) --spared;
    disk_->since.push_back(batch);
    if (durability == Durability::synced) disk_->settle();
    return {};
  }
  storage::result<std::vector<Entry>> read_all() override {
    const auto held = disk_->written();
    return std::vector<Entry>(held.begin(), held.end());
  }
  storage::result<std::uint64_t> size_on_disk() override { return 0; }

 private:
  std::shared_ptr<Disk> disk_;
};

struct Plot {
  std::string name;
  std::vector<std::vector<Call>> scripts;    // each operator's calls one after the other, each to any core
  int voters = 3, standbys = 0, vacant = 0;  // machines; vacant: addresses at which nobody has been yet
  bool gossip = false, beats = false;        // else they are lost until the end
  // At most: deaths, of them in the midst of a put and with the disk; older disks put back; what comes twice;
  // calls sent again; times that a core's clock ticks, and that it leaps.
  int deaths = 0, torn = 0, wipes = 0, olds = 0, doubles = 0, agains = 0, ticks = 0, leaps = 0;
  // Drawn plays only: losses of power everywhere, new machines, planned ends, cuts, freezes.
  int powers = 0, joins = 0, leaves = 0, cuts = 0, freezes = 0;
  bool pruned = false;  // all but one machine's older disk have let go of the names that were dropped
};

struct State {
  Items items;
  std::uint64_t floor = 0;
  std::string text;
};

// Whether a state holds what a call asks for, or later; `let_go`: dropped names that no copy holds any more.
inline bool in_force(const State& s, const Call& c, const std::map<std::string, std::uint64_t>& let_go) {
  const auto stands = [&](const std::string& name) {
    const auto it = s.items.find(name);
    return it != s.items.end() && !it->second.dropped;
  };
  if (c.order.is == What::begin || c.order.is == What::finish)
    return stands(std::string(configuration::evacuation_prefix) + c.order.text) ==
           (c.order.is == What::begin);
  return std::all_of(c.items.begin(), c.items.end(), [&](const VersionedItem& i) {
    if (const auto it = s.items.find(i.name); it != s.items.end())
      return it->second.version > i.version || configuration::same_wording(it->second, i);
    const auto gone = let_go.find(i.name);
    return gone != let_go.end() && gone->second >= i.version;
  });
}
// What a call has to be told in a state: 200, 400 or 409.
inline int verdict(const State& s, const Call& c) {
  if (c.invalid) return 400;
  const auto held = [&](const std::string& name) {
    const auto it = s.items.find(name);
    return it == s.items.end() ? nullptr : &it->second;
  };
  for (const auto& [item, service] : c.needs) {
    const VersionedItem& i = c.items[item];
    if (const VersionedItem* h = held(i.name); h && h->version >= i.version) continue;  // changes nothing
    const VersionedItem* before = held(service);
    const VersionedItem* brought = nullptr;
    for (const VersionedItem& x : c.items)
      if (x.name == service && !(before && before->version >= x.version)) brought = &x;
    if (const VersionedItem* stands = brought ? brought : before; !stands || stands->dropped) return 400;
  }
  for (const VersionedItem& i : c.items)
    if (const VersionedItem* h = held(i.name);
        h && h->version == i.version && !configuration::same_wording(*h, i))
      return 409;
  return 200;
}

// What was settled, as any core ever held it; and what voters have said, held together by ballots.
struct Truth {
  struct Bid {
    consensus::Value value;
    consensus::Voters under;
    std::set<std::string> accepted;
  };
  std::map<std::uint64_t, std::shared_ptr<const State>> states;
  std::map<std::string, std::uint64_t> let_go;
  std::map<std::uint64_t, std::string> lists;  // of voters, by version
  consensus::Voters voters;                    // the latest
  std::map<std::string, Bid> bids;             // by register and ballot
  std::map<std::string, std::string> chosen;   // by register and version
  std::set<std::string> lost;                  // stores that are gone
  std::size_t fewest = 99;                     // voters that any order has asked for
  int strikes = 0, handovers = 0;  // what was done to machines; seats that were given to another store
  std::set<int> hurt;              // machines that lost theirs and are not as before yet
  std::uint64_t print = 0;
  std::uint64_t top() const { return states.empty() ? 0 : states.rbegin()->first; }
  bool agreed() const {  // no seat is a lost store's
    return !voters.changing() && std::none_of(voters.now.begin(), voters.now.end(),
                                              [&](const auto& s) { return lost.contains(s.store); });
  }
};

inline std::string differs(const State& s, const configuration::ConfigurationStore& c) {
  std::string told = s.floor == c.floor() ? "" : ", another floor";
  for (const auto& [name, i] : s.items)
    if (const VersionedItem* held = c.find(name); !held || *held != i)
      told += ", " + name + (held ? " differs" : " lacks");
  for (const auto& [name, i] : c.items())
    if (!s.items.contains(name)) told += ", " + name + " beside";
  return told;
}

class World {
 public:
  using Letter = std::tuple<int, int, std::string>;  // from, to, bytes
  enum class does {
    deliver,
    twice,
    call,
    again,
    tick,
    leap,
    kill,
    wipe,
    older,
    start,
    power,
    join,
    leave,
    cut,
    mend,
    freeze,
    wake,
    run
  };
  struct Step {
    does is{};
    int who = 0, spared = -1;  // a machine; or who calls
    Letter letter{};
    std::uint32_t seed = 0;
    std::string told() const;
  };
  static constexpr std::int64_t patience = 850'000, in_contact = 1'500'000,
                                second = 1'000'000;  // microseconds, as promised

  // `all`: for every order of steps, where what a core says to itself comes at once.
  explicit World(const Plot& p, bool all = false) : World(p, all, base(p)) {}
  // The same after a loss of power everywhere, one disk perhaps gone with it.
  World(const World& of, int wiped)
      : plot_(of.plot_), left_(of.left_), truth_(of.truth_), live_(of.live_), clock_(of.clock_) {
    nodes_.resize(of.nodes_.size());
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      nodes_[i].disk = std::make_shared<Disk>(*of.nodes_[i].disk);
      nodes_[i].incarnation = of.nodes_[i].incarnation, nodes_[i].there = of.nodes_[i].there;
      nodes_[i].disk->lose_power(0);
    }
    truth_.strikes += int(nodes_.size());
    if (wiped >= 0) lose_disk(wiped), *nodes_[wiped].disk = Disk();
    for (Live& l : live_)
      if (l.status < 0) l.status = 0;
  }

  std::vector<Step> options(bool drawn) const;
  bool take(const Step& s);  // false: it can't be done now

  // What tells two states apart: what each incarnation has heard since its start, what is under way, what
  // operators know.
  std::uint64_t print() const {
    std::uint64_t h = mixed(known(), truth_.print);
    for (const int x : {left_.deaths, left_.torn, left_.wipes, left_.olds, left_.doubles, left_.agains,
                        left_.ticks, left_.leaps})
      h = mixed(h, std::uint64_t(x));
    for (const Node& n : nodes_) h = mixed(h, n.keep ? n.story : mixed(n.incarnation * 2, n.disk->print()));
    for (const auto& [l, copies] : net_)
      h = mixed(mixed(h, std::get<2>(l)),
                std::uint64_t(copies * 4096 + std::get<0>(l) * 64 + std::get<1>(l)));
    for (const auto& a : at_) h = mixed(h, a.next * 64 + std::uint64_t(a.live + 1));
    return h;
  }
  // Of what a loss of power leaves, and of what was promised.
  std::uint64_t lasting() const {
    std::uint64_t h = mixed(known(), truth_.top());
    for (const Node& n : nodes_) {
      h = mixed(h, n.there);
      for (const auto& [k, v] : n.disk->lasts) h = mixed(mixed(h, k), v);
    }
    return h;
  }

  // All comes up, links are whole and messages flow: copies agree, each core is read, an order is taken.
  void heal(std::uint32_t seed, int late = -1);
  // As it is then: every seat is given to one that is there, and one further loss is borne.
  void loses_one_more(std::uint32_t seed);
  // Nothing is broken: so many orders at once all end within their time.
  void at_once(int orders, std::uint32_t seed, std::int64_t way);
  bool may_wipe() const;
  std::size_t machines() const { return nodes_.size(); }
  bool is_there(int i) const { return nodes_[i].there; }
  std::size_t acknowledged() const {
    return std::size_t(std::count_if(live_.begin(), live_.end(), [](const Live& l) {
      return l.status == 200 && l.call->order.is != What::read;
    }));
  }
  std::uint64_t epoch() const { return truth_.voters.version; }
  std::string broken;

 private:
  struct Node {
    std::unique_ptr<configuration::ConfigurationStore> creed;
    std::unique_ptr<gossip::Gossip> rumour;
    std::unique_ptr<Store> store;
    std::unique_ptr<control_plane::ReplicatedState> keep;
    std::shared_ptr<Disk> disk = std::make_shared<Disk>(), older;
    bool there = false, cut = false, frozen = false, leaving = false;
    std::uint64_t incarnation = 0, story = 0, looked = 0, number = 0, epoch = 0;
    std::int64_t now = 0, ahead = 0;  // its clock, and by how much that is before the world's
    std::deque<std::pair<std::int64_t, std::uint64_t>>
        past;                 // what was settled as its clock went on from there
    std::uint64_t least = 0;  // what was, longer ago than an answered beat may be
  };
  struct Live {
    const Call* call = nullptr;
    int core = 0, status = -1;  // below 0: no answer yet; 0: none will come
    std::uint64_t before = 0;   // what was settled as it began
    std::int64_t began = 0;     // by its core's clock
    std::string body{};
    std::uint64_t until = 0;  // and as it ended
  };
  struct At {
    std::size_t next = 0;
    int live = -1;
  };
  struct Base {
    std::vector<std::shared_ptr<Disk>> disks, older;
    Truth truth;
    std::int64_t clock = 0;
  };

  World(const Plot& p, bool all, const Base& b);
  static const Base& base(const Plot& p);
  static std::shared_ptr<const Base> founded(const Plot& p);

  static Machine machine(int i) { return Machine(100 + i); }
  void fail(const std::string& what) {
    if (broken.empty()) broken = what;
  }
  std::uint64_t known() const {
    std::uint64_t h = std::uint64_t(left_.wipes);
    for (const Live& l : live_)
      h = mixed(h, mixed(std::uint64_t(l.status + 1) * 4096 + l.before * 64 + std::uint64_t(l.core),
                         l.call->order.text));
    return h;
  }

  void start(int i, bool first);
  void kill(int i);
  void lose_disk(int i);
  std::string store_of(int i) const;
  void mended();
  void pass(Node& n, std::int64_t to);
  template <typename F>
  void act(int i, int spared, const F& f);
  void post(int from, Machine to, std::string bytes);
  void deliver(const Letter& l, int spared);
  void tick(int i);
  int call(const Call& c, int i);
  void run(std::int64_t span, std::uint32_t seed, double loss, std::int64_t way = 3'000);

  void overhear(int from, const std::string& bytes);
  void look(int i);
  void settled(Node& n);
  void judge(const Live& l);
  bool explained(const Live& l, const std::function<bool(const State&)>& by) const {
    for (std::uint64_t n = l.before; n <= truth_.top(); ++n)
      if (const auto it = truth_.states.find(n); it != truth_.states.end() && by(*it->second)) return true;
    return false;
  }
  // Another call than a refused one has brought this; or its own, sent another time.
  bool brought(const VersionedItem& i) const {
    return std::any_of(live_.begin(), live_.end(), [&](const Live& l) {
      return (l.status < 400 || l.status >= 500) && l.call->brings(i);
    });
  }
  bool until(std::int64_t within, std::uint32_t seed, const std::function<bool()>& holds);
  bool taken(const Call& c, int i, std::int64_t within, std::uint32_t seed);
  bool agree() const;

  const Plot& plot_;
  Plot left_;
  Truth truth_;
  std::vector<Node> nodes_;
  std::map<Letter, int> net_;
  std::vector<Live> live_;
  std::deque<Call> own_;  // beside the scripts'
  std::vector<std::size_t> answered_;
  std::vector<At> at_;
  std::int64_t clock_ = 1'000'000;
  bool all_ = false, begun_ = false, heals_ = true;  // heals: nothing is withheld
};

inline std::string World::Step::told() const {
  static const char* const names[] = {"deliver", "twice", "call",  "again",  "tick",  "leap",
                                      "kill",    "wipe",  "older", "start",  "power", "join",
                                      "leave",   "cut",   "mend",  "freeze", "wake",  "run"};
  static const char* const rumours[] = {"?",       "news",  "digest", "fetch",
                                        "fetched", "store", "stored", "listing"};
  static const char* const kinds[] = {"ask", "answer", "beat", "fetch", "fetched", "part"};
  static const char* const phases[] = {"look", "prepare", "accept", "names"};
  std::string s = std::string(names[int(is)]) + " " + std::to_string(who);
  if (is <= does::again) s += " -> " + std::to_string(std::get<1>(letter));
  if (is <= does::twice) {
    const std::string& b = std::get<2>(letter);
    const auto ballot = [](const consensus::Ballot& x) { return std::to_string(x.round) + "/" + x.proposer; };
    if (!control_plane::is_control_plane_message(b))
      s += std::string(" ") + rumours[int(gossip::kind_of(b)) & 7];
    else
      s += std::string(" ") + kinds[(int(b[0]) - 16) % 6];
    if (b[0] == char(control_plane::MessageType::consensus_request))
      if (const auto a = control_plane::decode<control_plane::ConsensusRequest>(b))
        s += std::string(" ") + phases[int(a->ask.what)] + " " + a->ask.name + " " + ballot(a->ask.ballot) +
             " of " + std::to_string(a->ask.value.version);
    if (b[0] == char(control_plane::MessageType::consensus_reply))
      if (const auto a = control_plane::decode<control_plane::ConsensusReply>(b))
        s += std::string(" ") + phases[int(a->reply.what)] + " " + ballot(a->reply.ballot) + " " +
             std::to_string(int(a->reply.how)) + " accepted " + std::to_string(a->reply.value.version) +
             " holds " + std::to_string(a->committed.number);
  }
  if (spared >= 0) s += ", dies, puts spared " + std::to_string(spared);
  return seed == 0 ? s : s + " #" + std::to_string(seed);
}

// ---- the base: a founded system with a first configuration, from which plays begin with all machines just
// started ----

inline std::shared_ptr<const World::Base> World::founded(const Plot& p) {
  static const Plot plain{};
  auto b = std::make_shared<Base>();
  const int n = p.voters + p.standbys + p.vacant;
  b->clock = 1'000'000;
  for (int i = 0; i < n; ++i)
    b->disks.push_back(std::make_shared<Disk>()), b->older.push_back(std::make_shared<Disk>());
  Plot plot = p;
  plot.scripts.clear();
  World w(plot, false, *b);
  for (int i = 0; i < p.voters + p.standbys; ++i) w.nodes_[i].there = true;
  for (int i = 0; i < p.voters + p.standbys; ++i) w.start(i, i < p.voters);
  const auto does_call = [&](const Call& c) {
    if (!w.taken(c, 0, 3 * second, 1)) w.fail("the first calls are not taken");
  };
  static const Call first = change(first_call("00000001", 1)), more = route(1, "one", "r1"),
                    later = both(2, "two", "r2", "r1"), gone = drop("targets", "three", 1);
  does_call(first), does_call(more);
  if (!w.until(4 * second, 2, [&] { return w.agree(); })) w.fail("at first the copies differ");
  for (int i = 0; i < n; ++i) *b->older[i] = *w.nodes_[i].disk, b->older[i]->settle();
  does_call(later), does_call(gone);
  if (!w.until(4 * second, 3, [&] { return w.agree(); })) w.fail("at first the copies differ");
  b->truth = w.truth_, b->clock = w.clock_;
  for (int i = 0; i < n; ++i) b->disks[i] = w.nodes_[i].disk;
  for (int i = 0; i < n; ++i) w.kill(i), b->disks[i]->settle();
  if (!w.broken.empty()) std::fprintf(stderr, "%s\n", w.broken.c_str()), std::abort();
  if (p.pruned) {  // by hand, as it would come about beyond most_dropped
    State s = *b->truth.states.rbegin()->second;
    s.floor = b->truth.top();
    std::erase_if(s.items, [&](const auto& x) {
      return x.second.dropped && (b->truth.let_go[x.first] = x.second.version, true);
    });
    b->truth.states[b->truth.top()] = std::make_shared<const State>(std::move(s));
    for (auto& d : b->disks) {
      if (d->empty()) continue;
      std::vector<storage::KeyValueStore::Entry> pairs(d->lasts.begin(), d->lasts.end());
      const auto k = boost::leaf::try_handle_all([&] { return control_plane::parse_store(pairs); },
                                                 [] { return control_plane::StoreContents{}; });
      storage::KeyValueStore::WriteBatch batch;
      control_plane::StoreHeader own = *k.own;
      own.floor = own.committed.number;
      control_plane::put(batch, own);
      for (const VersionedItem& i : k.items)
        if (i.dropped) control_plane::drop(batch, i.name);
      Disk::apply(d->lasts, batch);
    }
  }
  return b;
}

inline const World::Base& World::base(const Plot& p) {
  static std::map<std::tuple<int, int, int, bool>, std::shared_ptr<const Base>> known;
  auto& b = known[{p.voters, p.standbys, p.vacant, p.pruned}];
  if (!b) b = founded(p);
  return *b;
}

inline World::World(const Plot& p, bool all, const Base& b)
    : plot_(p), left_(p), truth_(b.truth), clock_(b.clock), all_(all) {
  nodes_.resize(b.disks.size());
  at_.resize(p.scripts.size());
  bool begun = false;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& n = nodes_[i];
    *n.disk = *b.disks[i], n.older = b.older[i];
    if (n.disk->empty()) continue;
    n.there = begun = true;
    start(int(i), false);
  }
  if (!begun) return;  // it is about to be founded
  static const Call read = reading();
  run(10'000, 1, 0);  // they have met, and know of the ballots of before
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i].keep) call(read, int(i));
  run(10'000, 1, 0);
  net_.clear(), live_.clear();
  heals_ = false;
}

// ---- steps ----

inline std::vector<World::Step> World::options(bool drawn) const {
  std::vector<Step> found;
  const auto add = [&](does is, int who, int spared = -1, Letter l = {}) {
    found.push_back({is, who, spared, std::move(l), 0});
  };
  for (const auto& [l, copies] : net_) {
    const Node& to = nodes_[std::get<1>(l)];
    if (!to.keep || to.frozen) continue;
    add(does::deliver, std::get<0>(l), -1, l);
    if (left_.doubles > 0) add(does::twice, std::get<0>(l), -1, l);
    if (left_.torn > 0 && left_.deaths > 0)
      for (int spared = 0; spared < 2; ++spared) add(does::deliver, std::get<0>(l), spared, l);
  }
  for (int s = 0; s < int(at_.size()); ++s)
    for (int i = 0; i < (drawn || begun_ ? int(nodes_.size()) : 1); ++i) {  // at first all cores are alike
      if (!nodes_[i].keep || nodes_[i].frozen) continue;
      const bool under_way = at_[s].live >= 0 && live_[at_[s].live].status < 0;
      if (at_[s].next < plot_.scripts[s].size() && !under_way) add(does::call, s, -1, {s, i, {}});
      if (at_[s].live >= 0 && left_.agains > 0) add(does::again, s, -1, {s, i, {}});
    }
  int down = 0, frozen = 0, cut = 0;
  for (const Node& n : nodes_) down += n.there && !n.keep, frozen += n.frozen, cut += n.cut;
  for (int i = 0; i < int(nodes_.size()); ++i) {
    const Node& n = nodes_[i];
    if (!n.there) {
      if (drawn && left_.joins > 0) add(does::join, i);
      continue;
    }
    if (!n.keep) add(does::start, i);
    if (n.keep && left_.deaths > 0) add(does::kill, i);
    if (left_.wipes > 0 && left_.deaths > 0 && may_wipe())
      add(does::wipe, i), add(does::wipe, i, (i + 1) % int(nodes_.size()));
    if (left_.olds > 0 && left_.deaths > 0 && may_wipe() && down + frozen + cut == 0) add(does::older, i);
    if (n.keep && !n.frozen && left_.ticks > 0) add(does::tick, i);
    if (n.keep && !n.frozen && left_.leaps > 0) add(does::leap, i);
    if (!drawn) continue;
    if (n.keep && !n.leaving && left_.leaves > 0 && down == 0) add(does::leave, i);
    if (n.cut)
      add(does::mend, i);
    else if (left_.cuts > 0)
      add(does::cut, i);
    if (n.frozen)
      add(does::wake, i);
    else if (n.keep && left_.freezes > 0)
      add(does::freeze, i);
  }
  if (drawn && left_.powers > 0) add(does::power, 0);
  if (drawn) add(does::run, 0);
  return found;
}

inline bool World::take(const Step& s) {
  // Each costs a machine its seat at the most, or another one's ears.
  if (s.is == does::power)
    truth_.strikes += int(nodes_.size());
  else if (s.is >= does::leap && s.is <= does::freeze && s.is != does::start && s.is != does::join &&
           s.is != does::mend)
    ++truth_.strikes;
  else if (s.spared >= 0 && s.is == does::deliver)
    ++truth_.strikes;
  const bool is_machine = s.is > does::again && s.is != does::run && s.is != does::power;
  if (is_machine && s.who >= int(nodes_.size())) return false;
  Node& n = nodes_[is_machine ? s.who : s.is <= does::again ? std::get<1>(s.letter) : 0];
  const bool awake = n.keep && !n.frozen;
  begun_ = true;
  switch (s.is) {
    case does::deliver:
    case does::twice: {
      const auto it = net_.find(s.letter);
      if (it == net_.end() || !awake) return false;
      if (s.is == does::twice)
        --left_.doubles;
      else if (--it->second == 0)
        net_.erase(it);
      return deliver(s.letter, s.spared), true;
    }
    case does::call:
    case does::again: {
      At& a = at_[s.who];
      if (!awake || (s.is == does::call ? a.next >= plot_.scripts[s.who].size() : a.live < 0)) return false;
      if (s.is == does::again) --left_.agains;
      const Call& c = s.is == does::call ? plot_.scripts[s.who][a.next++] : *live_[a.live].call;
      return a.live = call(c, std::get<1>(s.letter)), true;
    }
    case does::tick:
      return awake && (--left_.ticks, n.ahead += 100'000, tick(s.who), true);
    case does::leap:  // its process stood still: time has passed, and it hears what lies there before it
                      // looks at the clock
      if (!awake) return false;
      return --left_.leaps, n.ahead += 6 * second, pass(n, clock_ + n.ahead), n.story = mixed(n.story, 7),
                                                                              true;
    case does::kill:
      return n.keep && (--left_.deaths, kill(s.who), true);
    case does::wipe:  // its disk comes back empty, or as a copy of another's
      if (!n.there || !may_wipe()) return false;
      --left_.deaths, --left_.wipes, kill(s.who), lose_disk(s.who);
      *n.disk = s.spared < 0 ? Disk() : *nodes_[s.spared].disk;
      return true;
    case does::older: {
      // What it has promised since nobody can tell but who has heard of it: it counts as lost until it has
      // met all others, and none of them is lost in that time.
      if (!n.keep || !may_wipe() || std::any_of(nodes_.begin(), nodes_.end(), [](const Node& o) {
            return o.there && (!o.keep || o.frozen || o.cut);
          }))
        return false;
      --left_.deaths, --left_.olds, kill(s.who);
      const std::string store = store_of(s.who);
      const auto top = truth_.top();
      *n.disk = *n.older;
      start(s.who, false);
      const bool heals = std::exchange(heals_, true);
      run(1'200'000, 1, 0);
      heals_ = heals;
      if (n.keep && n.keep->committed_number() < top) fail("an older disk does not catch up");
      if (n.keep && n.keep->store() != store) truth_.lost.insert(store), truth_.lost.erase(n.keep->store());
      return true;
    }
    case does::start:
      return n.there && !n.keep && (start(s.who, false), true);
    case does::power: {
      std::mt19937 chance(s.seed);
      --left_.powers;
      for (int i = 0; i < int(nodes_.size()); ++i)
        kill(i), nodes_[i].disk->lose_power(chance() % (nodes_[i].disk->since.size() + 1));
      return true;
    }
    case does::join:
      if (n.there) return false;
      return --left_.joins, n.there = true, start(s.who, false), true;
    case does::leave:
      if (!awake || n.leaving) return false;
      --left_.leaves, n.leaving = true;
      return act(s.who, -1, [&](gossip::Outbox& out) { n.keep->start_leaving(n.now, out); }), true;
    case does::cut:
      return !n.cut && (--left_.cuts, n.cut = true);
    case does::mend:
      return n.cut && (n.cut = false, true);
    case does::freeze:
      return awake && (--left_.freezes, n.frozen = true);
    case does::wake:
      return n.frozen && (n.frozen = false, pass(n, clock_ + n.ahead), true);
    case does::run: {
      static constexpr std::int64_t spans[] = {2'000, 30'000, 400'000, 1'200'000, 5'000'000};
      std::mt19937 chance(s.seed);
      const auto span = spans[chance() % 5];
      return run(span, s.seed, chance() % 3 == 0 ? 0.2 : 0.0), true;
    }
  }
  return false;
}

inline void World::start(int i, bool first) {
  Node& n = nodes_[i];
  n.creed = std::make_unique<configuration::ConfigurationStore>();
  ++n.incarnation;
  n.story = mixed(n.disk->print(), n.incarnation);
  n.now = clock_ + n.ahead;
  n.frozen = n.leaving = false;
  n.past.clear(), n.least = n.looked = n.number = n.epoch = 0;
  std::vector<Machine> seeds;  // of a new one: those that are there, else all; the founders' are all alike
  for (int c = 0; c < (first ? plot_.voters : int(nodes_.size())); ++c)
    if (nodes_[c].there && (first || (c != i && seeds.size() < 3))) seeds.push_back(machine(c));
  if (!first && seeds.size() < 3) seeds.push_back(machine(i));
  n.rumour = std::make_unique<gossip::Gossip>(gossip::Self{machine(i), "zone", true}, n.incarnation, seeds,
                                              *n.creed, std::uint32_t(i));
  n.store = std::make_unique<Store>(n.disk);
  n.keep = std::make_unique<control_plane::ReplicatedState>(machine(i), *n.creed, *n.rumour, *n.store,
                                                            mixed(n.incarnation, std::uint64_t(i)));
  const std::string why = trouble_of<void>([&] { return n.keep->start(n.now, first, seeds); });
  if (!why.empty()) return fail("core " + std::to_string(i) + " does not start: " + why);
  act(i, -1, [&](gossip::Outbox& out) { n.rumour->state(n.now, {}, out), n.keep->tick(n.now, out); });
}

inline void World::kill(int i) {
  Node& n = nodes_[i];
  n.keep.reset(), n.store.reset(), n.rumour.reset(), n.creed.reset();
  n.frozen = n.leaving = false;
  for (Live& l : live_)
    if (l.core == i && l.status < 0) l.status = 0;
}

inline std::string World::store_of(int i) const {
  const auto held = nodes_[i].disk->written();
  const auto it = held.find(std::string(control_plane::header_key));
  if (it == held.end()) return {};
  const auto k = boost::leaf::try_handle_all(
      [&] {
        return control_plane::parse_store({{it->first, it->second}});
      },
      [] { return control_plane::StoreContents{}; });
  return k.own && k.own->machine == machine(i) ? k.own->store : std::string();  // else it is a copy
}

inline void World::lose_disk(int i) {
  if (const auto store = store_of(i); !store.empty()) truth_.lost.insert(store);
  truth_.hurt.insert(i);
}

// As many machines may have lost their disks at once as leave a majority; each until all is as it was before.
inline bool World::may_wipe() const {
  std::vector<consensus::Voters> lists{truth_.voters};
  // And those under way: once one is accepted it may come to stand, with a seat of a store that has gone
  // since it was proposed.
  for (const auto& [name, bid] : truth_.bids)
    if (name.starts_with(consensus::voters_register) && bid.value.version > truth_.voters.version &&
        !bid.accepted.empty())
      if (const auto list = consensus::Voters::read(bid.value.version, bid.value.text))
        lists.push_back(*list);
  for (const auto& list : lists)
    for (const auto* set : {&list.now, &list.next}) {
      const auto gone = std::count_if(set->begin(), set->end(),
                                      [&](const auto& s) { return truth_.lost.contains(s.store); });
      // From when fewer voters are asked for no more losses are borne than those bear.
      if (!set->empty() &&
          2 * std::max(std::size_t(gone) + 1, truth_.hurt.size() + 1) >= std::min(set->size(), truth_.fewest))
        return false;
    }
  return true;
}

inline void World::mended() {
  // Who is core has to be known to a majority of the list, and no later list be under way: what one alone
  // knew to be settled goes with it, and a seat under way may be a store's that was lost before it had it.
  for (const auto& [name, bid] : truth_.bids)
    if (name.starts_with(consensus::voters_register) && bid.value.version > truth_.voters.version &&
        !bid.accepted.empty())
      return;
  std::set<std::string> know;
  for (const Node& n : nodes_)
    if (n.keep && n.keep->voters().version == truth_.voters.version) know.insert(n.keep->store());
  if (!truth_.agreed() || !truth_.voters.majority(know)) return;
  std::erase_if(truth_.hurt, [&](int i) {
    const Node& n = nodes_[i];
    return !n.there ||
           (n.keep && !n.frozen && !n.cut && n.number == truth_.top() && n.keep->is_current(n.now));
  });
}

inline void World::pass(Node& n, std::int64_t to) {
  if (to <= n.now) return;
  n.past.emplace_back(n.now, truth_.top());
  n.now = to;
  for (; !n.past.empty() && n.past.front().first < to - in_contact; n.past.pop_front())
    n.least = n.past.front().second;
}

template <typename F>
void World::act(int i, int spared, const F& f) {
  Node& n = nodes_[i];
  gossip::Outbox out;
  n.store->spared = spared;
  f(out);
  n.store->spared = -1;
  if (n.store->died) return --left_.deaths, --left_.torn, kill(i);  // what it would have said is never sent
  for (auto& d : out) overhear(i, d.bytes);
  look(i);
  for (const std::size_t id : std::exchange(answered_, {})) judge(live_[id]);
  for (auto& d : out) post(i, d.to, std::move(d.bytes));
}

inline void World::post(int from, Machine to, std::string bytes) {
  const int at = int(to) - 100;
  if (at < 0 || at >= int(nodes_.size()) || (at != from && (nodes_[from].cut || nodes_[at].cut))) return;
  if (!(heals_ && begun_) && !control_plane::is_control_plane_message(bytes) && !plot_.gossip) return;
  if (!heals_ && bytes[0] == char(control_plane::MessageType::heartbeat) && !plot_.beats) return;
  if (all_ && at == from) return deliver({from, at, std::move(bytes)}, -1);
  ++net_[{from, at, std::move(bytes)}];
}

inline void World::deliver(const Letter& l, int spared) {
  const auto& [from, to, bytes] = l;
  Node& n = nodes_[to];
  if (!n.keep) return;
  n.story = mixed(mixed(n.story, bytes), std::uint64_t(from));
  act(to, spared, [&, from = from, &bytes = bytes](gossip::Outbox& out) {
    if (control_plane::is_control_plane_message(bytes))
      n.keep->on_datagram(n.now, machine(from), bytes, out);
    else
      n.rumour->whole(n.keep->is_current(n.now)), n.rumour->on_datagram(n.now, machine(from), bytes, out);
  });
}

inline void World::tick(int i) {
  Node& n = nodes_[i];
  pass(n, clock_ + n.ahead);
  n.story = mixed(n.story, std::uint64_t(n.now));
  act(i, -1, [&](gossip::Outbox& out) { n.keep->tick(n.now, out), n.rumour->tick(n.now, out); });
  for (const Live& l : live_)
    if (l.core == i && l.status < 0 && nodes_[i].keep && n.now - l.began >= patience)
      fail("an order is left without an answer past its time");
  if (n.keep && n.leaving && n.keep->may_stop()) {
    // It ends, and where its seat is another's its disk goes with it.
    const bool seated = truth_.voters.seat(n.keep->store());
    kill(i);
    if (!seated) truth_.lost.insert(store_of(i)), *n.disk = Disk(), n.there = false;
  }
}

inline int World::call(const Call& c, int i) {
  Node& n = nodes_[i];
  const std::size_t id = live_.size();
  live_.push_back({&c, i, -1, truth_.top(), n.now, {}});
  if (c.order.is == What::size)
    truth_.strikes += 4, truth_.fewest = std::min<std::size_t>(
                             truth_.fewest, std::stoul(c.order.text));  // from three to seven
  n.story = mixed(mixed(n.story, c.order.text), std::uint64_t(c.order.is));
  act(i, -1, [&](gossip::Outbox& out) {
    const auto done = [this, id, incarnation = n.incarnation](control_plane::RequestOutcome o) {
      Live& l = live_[id];
      const Node& at = nodes_[l.core];
      if (l.status >= 0 || at.incarnation != incarnation || !at.store || at.store->died) return;
      if (o.status != 503 && at.now - l.began >= patience)
        fail("answered " + std::to_string(o.status) + " past its time");
      l.status = o.status, l.body = o.text(), l.until = truth_.top();
      answered_.push_back(id);
    };
    n.keep->submit(n.now, c.order, done, out);
  });
  return int(id);
}

// Time goes on for all that are awake, and letters come within `way`; those to one that is frozen lie there.
inline void World::run(std::int64_t span, std::uint32_t seed, double loss, std::int64_t way) {
  std::mt19937 chance(seed);
  std::multimap<std::int64_t, Letter> coming;
  std::vector<Letter> lying;
  const std::int64_t end = clock_ + span;
  const auto gather = [&] {
    for (const auto& [l, copies] : std::exchange(net_, {}))
      for (int k = 0; k < copies; ++k)
        if (loss == 0 || double(chance()) / 4294967296.0 >= loss)
          coming.emplace(clock_ + 200 + std::int64_t(chance() % std::uint64_t(way)), l);
  };
  std::vector<std::int64_t> next(nodes_.size());
  int woken = 0;  // at once, one time after the other
  for (auto& t : next) t = clock_ + std::int64_t(chance() % 100'000);
  for (gather(); broken.empty();) {
    std::size_t who = nodes_.size();
    std::int64_t at = end;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const Node& n = nodes_[i];
      if (!n.keep || n.frozen) continue;
      const std::int64_t due = std::max(clock_, std::min(next[i], n.keep->next_deadline() - n.ahead));
      if (due < at) at = due, who = i;
    }
    const bool letter = !coming.empty() && coming.begin()->first <= at;
    if (letter) at = coming.begin()->first;
    woken = at > clock_ || letter ? 0 : woken + 1;
    if (woken > 100) return fail("a core wants to be woken for ever");
    clock_ = std::max(clock_, at);
    for (Node& n : nodes_)
      if (n.keep && !n.frozen) pass(n, clock_ + n.ahead);
    if (letter) {
      const Letter l = std::move(coming.begin()->second);
      coming.erase(coming.begin());
      const auto& [from, to, bytes] = l;
      if (nodes_[to].frozen)
        lying.push_back(l);
      else if (nodes_[to].keep && (from == to || !(nodes_[from].cut || nodes_[to].cut)))
        deliver(l, -1);
    } else if (who < nodes_.size()) {
      next[who] = clock_ + 100'000;
      tick(int(who));
    } else {
      break;
    }
    gather();
  }
  for (auto& [at, l] : coming) ++net_[std::move(l)];
  for (auto& l : lying) ++net_[std::move(l)];
  mended();
}

// ---- what is held against the truth ----

// What leaves a core. A value is chosen once a majority has accepted it under one ballot, whoever knows of
// that.
inline void World::overhear(int from, const std::string& bytes) {
  const auto key = [](const std::string& name, const consensus::Ballot& b) {
    return name + "/" + std::to_string(b.round) + "/" + b.proposer;
  };
  if (bytes[0] == char(control_plane::MessageType::consensus_request)) {
    const auto a = control_plane::decode<control_plane::ConsensusRequest>(bytes);
    if (!a || a->ask.what != consensus::phase::accept) return;
    auto& bid = truth_.bids[key(a->ask.name, a->ask.ballot)];
    if (bid.value.version > 0 && bid.value != a->ask.value) fail("two values under one ballot");
    bid.value = a->ask.value;
    if (bid.under.version == 0) bid.under = a->ask.voters;
  } else if (bytes[0] == char(control_plane::MessageType::consensus_reply)) {
    const auto a = control_plane::decode<control_plane::ConsensusReply>(bytes);
    if (!a || a->reply.what != consensus::phase::accept || a->reply.how != consensus::verdict::yes) return;
    for (auto& [name, bid] : truth_.bids) {
      if (!name.ends_with(key("", a->reply.ballot)) || bid.value.version == 0) continue;
      if (!bid.accepted.insert(a->reply.store).second || !bid.under.majority(bid.accepted)) continue;
      const std::string of = name.substr(0, name.find('/')) + "@" + std::to_string(bid.value.version);
      const auto [it, is_new] = truth_.chosen.emplace(of, bid.value.by + bid.value.text);
      truth_.print += mixed(mixed(1, of), a->reply.store);
      if (it->second != bid.value.by + bid.value.text) fail("two values of one number were chosen: " + of);
    }
  } else if (gossip::kind_of(bytes) == gossip::kind::news) {
    const auto news = gossip::read<gossip::UpdateMessage>(bytes);
    for (const VersionedItem& i : news ? news->items : std::vector<VersionedItem>()) {
      const auto it = truth_.states.find(i.at);
      const bool known = it != truth_.states.end() && it->second->items.contains(i.name) &&
                         it->second->items.at(i.name) == i;
      if (!known && i.at <= truth_.top() && i.at > 0 && it == truth_.states.end()) continue;
      if (!known &&
          !(nodes_[from].keep && nodes_[from].keep->committed_number() >= i.at && i.at > truth_.top()))
        fail("handed to nodes, and not settled: " + i.name);
    }
  } else if (gossip::kind_of(bytes) == gossip::kind::digest) {
    const auto told = gossip::read<gossip::DigestMessage>(bytes);
    const Node& n = nodes_[from];
    if (told && told->whole && n.keep && n.keep->committed_number() < n.least)
      fail("core " + std::to_string(from) + " hands out as whole what is older than " +
           std::to_string(in_contact / 1000) + " ms");
  }
}

// What each incarnation holds after each of its steps.
inline void World::look(int i) {
  Node& n = nodes_[i];
  const std::string who = "core " + std::to_string(i);
  const std::uint64_t number = n.keep->committed_number();
  if (number < n.number) fail(who + " went back within a incarnation");
  if (number != n.number && number > 0) n.number = number, settled(n);
  if (n.looked != n.creed->changes()) {
    n.looked = n.creed->changes();
    for (const auto& [name, item] : n.creed->items()) {
      const auto it = truth_.states.find(item.at);
      if (it == truth_.states.end())
        fail(who + " holds what was never settled: " + name);
      else if (const auto was = it->second->items.find(name);
               was != it->second->items.end() && was->second != item)
        fail(who + " holds another wording than was settled: " + name);
    }
  }
  const auto& v = n.keep->voters();
  if (v.version < n.epoch) fail(who + " went back to earlier voters");
  if (v.version > n.epoch) {
    n.epoch = v.version;
    if (truth_.lists.emplace(v.version, v.text()).first->second != v.text())
      fail("two lists of who is core under one epoch");
    if (v.version > truth_.voters.version) {
      std::set<std::string> addresses, before;
      for (const auto& s : v.next.empty() ? v.now : v.next)
        if (!addresses.insert(s.address).second) fail("a machine has two seats");
      for (const auto& s : truth_.voters.now) before.insert(s.store);
      for (const auto& s : v.now) truth_.handovers += truth_.voters.version > 0 && !before.contains(s.store);
      if (truth_.handovers > truth_.strikes) fail("seats change hands more often than anything was amiss");
      truth_.voters = v;
    }
  }
  if (n.keep->is_current(n.now) && n.number < n.least)
    fail(who + " says that it is fresh, and is older than " + std::to_string(in_contact / 1000) + " ms");
}

// A core holds the state of a number for the first time in its incarnation.
inline void World::settled(Node& n) {
  const std::string at = std::to_string(n.number);
  if (const auto it = truth_.states.find(n.number); it != truth_.states.end()) {
    if (it->second->items != n.creed->items() || it->second->floor != n.creed->floor())
      fail("two states under one number, " + at + differs(*it->second, *n.creed));
    return;
  }
  const State none;
  const State& before = truth_.states.empty() ? none : *truth_.states.rbegin()->second;
  if (n.number != truth_.top() + 1) fail("number " + at + " is held and the one before it never was");
  auto s = std::make_shared<State>(
      State{n.creed->items(), n.creed->floor(), configuration::written_out(*n.creed)});
  for (const auto& [name, was] : before.items)
    if (const auto it = s->items.find(name); it == s->items.end()) {
      if (!was.dropped || was.at > s->floor)
        fail(name + " is gone in number " + at);
      else
        truth_.let_go[name] = was.version;
    } else if (it->second != was && (it->second.at != n.number || it->second.version <= was.version)) {
      fail(name + " went back in number " + at);
    }
  for (const auto& [name, i] : s->items)
    if (i.at == n.number) {
      bool whole = name.starts_with("k/");
      for (const Live& l : live_)
        whole = whole || ((l.status < 400 || l.status >= 500) && l.call->brings(i) &&
                          (l.call->order.is != What::adjust || in_force(*s, *l.call, truth_.let_go)));
      if (!whole) fail("in force, and no call that may be has brought it whole: " + name);
    } else if (i.at > n.number) {
      fail(name + " is from a later number");
    }
  truth_.states.emplace(n.number, std::move(s));
}

inline void World::judge(const Live& l) {
  const Call& c = *l.call;
  const std::string told = " at core " + std::to_string(l.core);
  if (l.status == 200 && c.order.is == What::read) {
    if (!explained(l, [&](const State& s) { return s.text == l.body; }))
      fail("read" + told + " is none of what stood since it began, number " + std::to_string(l.before));
  } else if (l.status == 200) {
    // Begun and finished in one change: the one of the two that is not to be seen came first.
    const auto turned = [&](const Live& o) {
      return o.call->order.is != c.order.is && o.call->order.is != What::adjust &&
             o.call->order.is != What::read && (o.status < 0 || (o.status == 200 && o.until >= l.before));
    };
    const bool unseen = c.order.is != What::adjust && std::any_of(live_.begin(), live_.end(), turned);
    if (c.invalid || !(unseen || explained(l, [&](const State& s) { return in_force(s, c, truth_.let_go); })))
      fail("confirmed" + told + " and not in force: " + c.order.text);
  } else if (l.status >= 400 && l.status < 500) {
    const auto against = [&](const Live& o) {
      return o.status == 200 && o.call != &c &&
             (o.call->clashes(c) ||
              std::any_of(o.call->items.begin(), o.call->items.end(), [&](const VersionedItem& i) {
                return i.dropped && std::any_of(c.needs.begin(), c.needs.end(),
                                                [&](const auto& x) { return x.second == i.name; });
              }));
    };
    const bool right = explained(l, [&](const State& s) { return verdict(s, c) == l.status; }) ||
                       std::any_of(live_.begin(), live_.end(), against);
    if (!right)
      fail("refused with " + std::to_string(l.status) + told +
           ", and nothing that stood since it began says so: " + c.order.text);
    for (const auto& [n, s] : truth_.states)
      for (const VersionedItem& i : c.items)
        if (const auto it = s->items.find(i.name); n > l.before && it != s->items.end() &&
                                                   it->second.at == n &&
                                                   configuration::same_wording(it->second, i) && !brought(i))
          fail("refused" + told + ", and in force: " + i.name);
  } else if (l.status != 503) {
    fail("told " + std::to_string(l.status) + told);
  }
}

// ---- the end of a play ----

inline bool World::until(std::int64_t within, std::uint32_t seed, const std::function<bool()>& holds) {
  const std::int64_t end = clock_ + within;
  while (broken.empty() && clock_ < end) {
    if (holds()) return true;
    run(100'000, ++seed, 0);
  }
  return holds();
}

// As an operator does it: again until it is taken.
inline bool World::taken(const Call& c, int i, std::int64_t within, std::uint32_t seed) {
  const std::int64_t end = clock_ + within;
  while (broken.empty() && clock_ < end && nodes_[i].keep) {
    const int id = call(c, i);
    until(second, ++seed, [&] { return live_[id].status >= 0; });
    if (live_[id].status == 200) return true;
    run(100'000, ++seed, 0);
  }
  return false;
}

inline bool World::agree() const {
  for (const Node& n : nodes_)
    if (n.keep && (n.keep->committed_number() != truth_.top() ||
                   (n.number > 0 && n.creed->items() != truth_.states.at(n.number)->items)))
      return false;
  return true;
}

inline void World::heal(std::uint32_t seed, int late) {
  static const Call read = reading();
  heals_ = begun_ = true;
  for (int i = 0; i < int(nodes_.size()); ++i) {
    Node& n = nodes_[i];
    n.cut = false;
    if (n.leaving) ++truth_.strikes, kill(i);  // it ends with or without a successor
    if (n.frozen) n.frozen = false, pass(n, clock_ + n.ahead);
    if (i != late && n.there && !n.keep) start(i, false);
  }
  const auto all_read = [&](const char* when) {
    for (int i = 0; i < int(nodes_.size()); ++i)
      if (nodes_[i].keep && !taken(read, i, 4 * second, seed + std::uint32_t(i)) && nodes_[i].keep)
        fail(std::string(when) + " and core " + std::to_string(i) + " can't be read");
  };
  if (late >= 0 && nodes_[late].there) {
    all_read("all but one are up");
    start(late, false);
  }
  if (!until(4 * second, seed, [&] { return agree(); }))
    fail("all are up and the copies differ");  // before a read brings them together
  all_read("all are up");
}

inline void World::loses_one_more(std::uint32_t seed) {
  static const Call read = reading();
  // Fewer machines than seats, or than were asked for: none can be given anew.
  std::size_t seats = std::max(truth_.voters.now.size(), truth_.voters.next.size());
  if (const State& s = *truth_.states.rbegin()->second;
      s.items.contains(std::string(control_plane::voter_count_name)))
    seats = std::max<std::size_t>(seats,
                                  std::stoul(s.items.at(std::string(control_plane::voter_count_name)).text));
  if (std::size_t(std::count_if(nodes_.begin(), nodes_.end(), [](const Node& n) { return n.there; })) < seats)
    return;
  if (!until(15 * second, seed, [&] { return truth_.agreed() && agree(); }))
    return fail("a lost seat is not given anew");
  run(second, seed, 0);
  if (!broken.empty()) return;
  int who = int(seed % nodes_.size());
  for (; !nodes_[who].keep; who = (who + 1) % int(nodes_.size())) {
  }
  if (!may_wipe()) return;
  ++truth_.strikes, kill(who);
  for (int i = 0; i < int(nodes_.size()) && broken.empty(); ++i) {
    if (!nodes_[i].keep) continue;
    if (!taken(read, i, 3 * second, seed))
      return fail("after a further loss core " + std::to_string(i) + " can't be read");
    own_.push_back(change(first_call(configuration::version_text(1'000'000 + truth_.top()), 1)));
    if (!taken(own_.back(), i, 3 * second, seed))
      return fail("after a further loss core " + std::to_string(i) + " takes no order");
  }
}

inline void World::at_once(int orders, std::uint32_t seed, std::int64_t way) {
  std::mt19937 chance(seed);
  heals_ = true;
  for (int k = 0; k < orders; ++k)
    own_.push_back(
        route(100 + int(chance() % 3), chance() % 2 ? "one" : "two", "r" + std::to_string(chance() % 5)));
  for (const Call& c : own_) call(c, int(chance() % std::uint32_t(plot_.voters + plot_.standbys)));
  run(patience, seed, 0, way);
  for (const Live& l : live_)
    if (l.status != 200 && l.status != 409)
      fail("of " + std::to_string(orders) + " orders at once one ends with " + std::to_string(l.status));
}

}  // namespace robinpin::mesh_test::explored
