#include <cstdlib>
#include <functional>

#include "../../src/gossip/gossip.h"
#include "../../src/transport/simulated_network.h"
#include "help.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using gossip::Machine;

namespace {
constexpr std::int64_t second = 1'000'000,
                       two_rounds = 2 * (gossip::Gossip::round * 11 / 10 + 50'000) + 50'000;
constexpr std::int64_t converge = 2'500'000;            // the shortest that operators ask for
constexpr std::size_t default_socket_buffer = 212'992;  // net.core.rmem_default
Machine core(int i) { return 100 + Machine(i); }
Machine ambit(int i) { return 1000 + Machine(i); }

// Ambits with cores whose state is settled from without: each has taken the changes up to a place of its own
// in the one order.
struct Town {
  struct Node {
    bool core = false;
    std::uint64_t incarnation = 0;
    std::size_t taken = 0;  // changes, at a core
    std::unique_ptr<configuration::ConfigurationStore> creed;
    std::unique_ptr<gossip::Gossip> rumour;
    std::unique_ptr<transport::SimulatedTransport> span;
    std::map<std::string, std::uint64_t>
        lost;  // names that went without a tombstone in this incarnation, with their numbers
    std::map<std::string, std::uint64_t> held;
    std::uint64_t looked = 0;
  };
  struct Change {
    configuration::VersionedItem item;
    std::uint64_t floor = 0;  // instead of an item: let go of up to there
  };
  Town(int ambits, int cores, std::uint32_t seed) : net(seed), chance(seed ^ 5) {
    for (int i = 0; i < cores; ++i) nodes[core(i)].core = true;
    for (int i = 0; i < ambits; ++i) nodes[ambit(i)];
    for (auto& [m, n] : nodes) start(m);
  }
  configuration::ConfigurationStore& creed(Machine m) { return *nodes.at(m).creed; }
  gossip::Gossip& rumour(Machine m) { return *nodes.at(m).rumour; }

  void start(Machine m) {
    Node& n = nodes.at(m);
    std::vector<Machine> seeds;
    for (const auto& [c, x] : nodes)
      if (x.core) seeds.push_back(c);
    n.creed = std::make_unique<configuration::ConfigurationStore>();
    n.rumour =
        std::make_unique<gossip::Gossip>(gossip::Self{m, std::string("zone-") + char('a' + m % 3), n.core},
                                         ++n.incarnation, seeds, *n.creed, chance());
    n.rumour->whole(n.core);
    n.span = std::make_unique<transport::SimulatedTransport>(net, m);
    n.span->set_handler([this, m](Machine from, std::string_view bytes) {
      act(m, [&](gossip::Outbox& out) { nodes.at(m).rumour->on_datagram(net.now, from, bytes, out); });
    });
    n.lost.clear(), n.held.clear(), n.looked = 0;
    if (n.core) n.taken = 0, catch_up(m);
    act(m, [&](gossip::Outbox& out) { n.rumour->state(net.now, {}, out); });
  }
  void kill(Machine m) { nodes.at(m).rumour.reset(), nodes.at(m).creed.reset(), nodes.at(m).span.reset(); }
  void catch_up(Machine m) {
    Node& n = nodes.at(m);
    for (; n.taken < changes.size(); ++n.taken)
      if (const Change& c = changes[n.taken]; c.floor)
        n.creed->let_go(c.floor);
      else
        n.creed->take(c.item);
  }
  void catch_up() {
    for (auto& [m, n] : nodes)
      if (n.core && n.creed && !stale.contains(m)) catch_up(m);
  }
  // Settled by the cores that are not stale, and told of by one of them.
  std::uint64_t settle(const std::string& name, bool dropped = false, const std::string& text = "{}",
                       bool spreads = true) {
    const configuration::VersionedItem* held = settled.find(name);
    const configuration::VersionedItem i{name, held ? held->version + 1 : 1, dropped, dropped ? "" : text,
                                         ++number};
    settled.take(i), changes.push_back({i}), catch_up();
    for (auto& [m, n] : nodes)
      if (spreads && n.core && n.creed && !stale.contains(m)) {
        act(m, [&](gossip::Outbox& out) { n.rumour->spread({i}, out); });
        break;
      }
    return number;
  }
  // One call's: told of by one core in pieces.
  void settle_at_once(const std::string& prefix, int count, const std::string& text, bool spreads = true) {
    std::vector<configuration::VersionedItem> items;
    ++number;
    for (int i = 0; i < count; ++i) {
      items.push_back({prefix + std::to_string(i), number, false, text, number});
      settled.take(items.back()), changes.push_back({items.back()});
    }
    catch_up();
    if (spreads) act(core(0), [&](gossip::Outbox& out) { nodes.at(core(0)).rumour->spread(items, out); });
  }
  void let_go(std::uint64_t floor) {
    if (floor <= settled.floor()) return;
    settled.let_go(floor), changes.push_back({{}, floor}), catch_up();
  }

  void cut(Machine a, Machine b) { net.blocked_links.insert({a, b}), net.blocked_links.insert({b, a}); }
  void cut_off(
      Machine m, const std::function<bool(Machine)>& but = [](Machine) { return false; }) {
    for (const auto& [o, n] : nodes)
      if (o != m && !but(o)) cut(m, o);
  }
  void run(std::int64_t span) {
    for (const std::int64_t until = net.now + span; net.now < until;) {
      net.advance_to(std::min(until, net.now + 50'000));
      for (auto& [m, n] : nodes)
        if (n.rumour) act(m, [&, r = n.rumour.get()](gossip::Outbox& out) { r->tick(net.now, out); });
    }
  }
  bool agree() const {
    for (const auto& [m, n] : nodes)
      if (n.creed && (n.creed->items() != settled.items() || n.creed->floor() != settled.floor()))
        return false;
    return true;
  }
  std::size_t standing(const std::string& name) const {
    std::size_t count = 0;
    for (const auto& [m, n] : nodes) count += n.creed && n.creed->stands(name);
    return count;
  }

  transport::SimulatedNetwork net;
  std::map<Machine, Node> nodes;
  std::set<Machine> stale;  // cores that take no changes
  configuration::ConfigurationStore settled;
  std::vector<Change> changes;
  std::uint64_t number = 0;
  std::mt19937 chance;
  std::map<gossip::kind, std::uint64_t> sent;
  std::vector<std::string> faults;  // what may never be
  bool watches = true;              // over what ambits hold

 private:
  template <typename F>
  void act(Machine m, const F& f) {
    gossip::Outbox out;
    f(out);
    Node& n = nodes.at(m);
    for (const auto& d : out) {
      if (d.bytes.size() > gossip::longest_datagram) faults.push_back("a datagram too long to be taken");
      ++sent[gossip::kind_of(d.bytes)];
      n.span->send(d.to, d.bytes);
    }
    if (watches && !n.core && std::exchange(n.looked, n.creed->changes()) != n.creed->changes()) look(m, n);
  }
  // What each ambit may hold at any time.
  void look(Machine m, Node& n) {
    const auto fault = [&](const std::string& what, const std::string& name) {
      faults.push_back(std::to_string(m) + ": " + what + ": " + name);
    };
    for (const auto& [name, at] : n.held)
      if (!n.creed->find(name)) n.lost[name] = at;
    n.held.clear();
    for (const auto& [name, i] : n.creed->items()) {
      n.held[name] = i.at;
      if (i.at == 0 || i.at > changes.size() + number) fault("never settled", name);
      if (const auto it = n.lost.find(name); it != n.lost.end() && i.at <= it->second)
        fault("came back", name);
      // Held at or below its own floor: it was not let go of up to there.
      const configuration::VersionedItem* now = settled.find(name);
      if (i.at <= n.creed->floor() && (!now || now->at < i.at) && n.creed->floor() >= settled.floor())
        fault("let go of, and held", name);
    }
    for (const auto& [name, i] : settled.items())
      if (i.at <= n.creed->floor())
        if (const configuration::VersionedItem* own = n.creed->find(name); !own || own->at < i.at)
          fault("below its floor, and not held", name);
  }
};

gossip::MemberRecord record_of(Machine m, const std::string& zone = "z") {
  gossip::MemberRecord r;
  r.machine = m, r.incarnation = r.sequence = 1, r.zone = zone;
  return r;
}

// Real cores with thousands of members that only send their digest each half second, to the cores in turn.
struct Leases {
  Leases(int members, int cores, std::uint32_t seed)
      : net(seed), silent(std::size_t(members)), bound(silent) {
    std::vector<Machine> all;
    for (int i = 0; i < cores; ++i) all.push_back(core(i));
    gossip::Outbox out;
    for (const Machine m : all) {
      auto& r = cores_[m] = std::make_unique<gossip::Gossip>(gossip::Self{m, "z", true}, 1, all, creed, m);
      r->state(0, {}, out);
      gossip::UpdateMessage news;
      for (int i = 0; i < members; ++i)
        if (news.records.push_back(record_of(ambit(i))); news.records.size() == 100 || i + 1 == members)
          r->on_datagram(0, 1, gossip::written(gossip::kind::news, std::exchange(news, {})), out);
      net.handlers[m] = [this, m](Machine from, std::string_view bytes) {
        act(m, [&](gossip::Outbox& o) { cores_.at(m)->on_datagram(net.now, from, bytes, o); });
      };
    }
  }
  void run(std::int64_t span) {
    for (const std::int64_t until = net.now + span; net.now < until;) {
      net.advance_to(net.now + 50'000);
      for (auto& [m, r] : cores_)
        if (net.handlers.contains(m)) act(m, [&](gossip::Outbox& o) { r->tick(net.now, o); });
      const auto step = std::size_t(net.now / 50'000);
      std::vector<std::string> bytes;
      for (auto& [m, r] : cores_)
        bytes.push_back(gossip::written(
            gossip::kind::digest,
            gossip::DigestMessage{false, true, creed.digest(), r->members().digest(), {}, {}, false, 0}));
      for (std::size_t i = step % 10; i < silent.size(); i += 10)
        if (const std::size_t turn = (i / 10 + step / 10) % bytes.size();
            !silent[i] && (!bound[i] || turn == 0)) {
          const double loss = std::exchange(
              net.loss_probability,
              bound[i] ? 0 : net.loss_probability);  // theirs all come: what cores tell of them may be lost
          net.send(ambit(int(i)), core(int(turn)), bytes[turn]);
          net.loss_probability = loss;
        }
    }
  }
  std::size_t expired(Machine at) const {
    std::size_t count = 0;
    for (const auto& [m, e] : cores_.at(at)->members().entries()) count += m >= ambit(0) && e.record.expired;
    return count;
  }
  std::size_t expired() const {
    std::size_t count = 0;
    for (const auto& [m, r] : cores_)
      if (net.handlers.contains(m)) count += expired(m);
    return count;
  }
  transport::SimulatedNetwork net;
  std::vector<bool> silent, bound;  // by member; to the first core
  std::size_t longest = 0, most_leases = 0, strangers = 0, leases_told = 0;

 private:
  template <typename F>
  void act(Machine m, const F& f) {
    gossip::Outbox out;
    f(out);
    for (const auto& d : out) {
      longest = std::max(longest, d.bytes.size());
      if (gossip::kind_of(d.bytes) == gossip::kind::digest)
        if (const auto t = gossip::read<gossip::DigestMessage>(d.bytes)) {
          most_leases = std::max(most_leases, t->leases.size());
          for (const auto& l : t->leases)
            strangers += !cores_.at(m)->members().find(l.machine), leases_told += l.machine >= ambit(0);
        }
      net.send(m, d.to, d.bytes);
    }
  }
  configuration::ConfigurationStore creed;
  std::map<Machine, std::unique_ptr<gossip::Gossip>> cores_;
};
}  // namespace

TEST_GROUP(Gossip){};

TEST(Gossip, a_core_takes_the_records_of_rumours_but_no_items_and_lists_none_that_it_lacks) {
  configuration::ConfigurationStore held, others;
  held.take({"c/a", 1, false, "{}", 1}), others.take({"c/a", 2, false, "{}", 4}),
      others.take({"c/b", 1, false, "{}", 5});
  gossip::Gossip r({core(0), "z", true}, 1, {core(0), core(1)}, held, 7);
  r.whole(true);
  gossip::Outbox out;
  r.on_datagram(0, ambit(0),
                gossip::written(gossip::kind::news,
                                gossip::UpdateMessage{
                                    {*others.find("c/a"), *others.find("c/b")}, {record_of(ambit(0))}, 0}),
                out);
  CHECK(held.find("c/a")->at == 1 && !held.find("c/b"));
  CHECK(r.members().find(ambit(0)));
  out.clear();
  gossip::ListingMessage l;
  l.of.items = 0xffff;
  for (const auto& [name, i] : others.items())
    l.items.push_back({configuration::hashed(name), i.at, i.version});
  r.on_datagram(0, ambit(0), gossip::written(gossip::kind::listing, l), out);
  CHECK(out.empty());
  l.items.clear();  // who has nothing gets what it lacks
  r.on_datagram(0, ambit(0), gossip::written(gossip::kind::listing, l), out);
  CHECK_EQUAL(1, out.size());
  CHECK(gossip::read<gossip::UpdateMessage>(out[0].bytes)->items.at(0) == *held.find("c/a"));
}

TEST(Gossip, a_node_is_caught_up_by_one_core_that_is_whole_and_by_no_other_word) {
  configuration::ConfigurationStore c;
  gossip::Gossip r({ambit(0), "z", false}, 1, {core(0), core(1), core(2)}, c, 7);
  gossip::Outbox out;
  const auto told = [&](Machine m, bool of_core, bool whole, std::uint64_t other) {
    gossip::DigestMessage t{true, whole, c.digest(), r.members().digest(), {}, {}, of_core, 0};
    t.items[3] ^= other;
    r.on_datagram(0, m, gossip::written(gossip::kind::digest, t), out);
    return r.caught_up();
  };
  for (std::int64_t now = 0; now < 20 * second; now += 100'000) r.tick(now, out);
  CHECK_FALSE(told(ambit(1), false, true, 0));
  CHECK_FALSE(told(core(0), true, false, 0));
  CHECK_FALSE(told(core(0), true, true, 1));
  CHECK(told(core(1), true, true, 0));
  CHECK(told(core(0), true, true, 1));  // what was caught up stays so
}

TEST(Gossip, new_seeds_are_asked_until_one_with_a_whole_copy_has_told_who_is_core) {
  configuration::ConfigurationStore c;
  gossip::Gossip r({1000, "z", false}, 1, {100}, c, 7);
  std::int64_t now = 0;
  gossip::Outbox out;
  const auto told_by = [&](Machine m, bool whole, std::vector<Machine> cores) {
    r.on_datagram(
        now, m,
        gossip::written(gossip::kind::digest,
                        gossip::DigestMessage{
                            true, whole, c.digest(), r.members().digest(), std::move(cores), {}, true, 0}),
        out);
  };
  const auto asks = [&] {  // who is asked so that an answer must come
    r.tick(now += 2 * second, out);
    std::vector<Machine> to;
    for (const auto& d : std::exchange(out, {}))
      if (const auto t = gossip::read<gossip::DigestMessage>(d.bytes); t && !t->whole) to.push_back(d.to);
    return to;
  };
  told_by(100, true, {100});
  CHECK(r.caught_up() && asks().empty());
  r.seeds(now, {100, 101, 102}, out);
  CHECK_EQUAL(2, std::exchange(out, {}).size());
  CHECK(asks() == std::vector<Machine>({101, 102}));
  told_by(102, false, {});  // a core that is no copy knows no more than this node
  out.clear();
  CHECK(asks() == std::vector<Machine>({101, 102}));
  told_by(101, true, {101, 102, 103});
  CHECK(asks().empty());
  CHECK(r.cores() == std::vector<Machine>({101, 102, 103}));
}

TEST(Gossip, who_is_core_is_believed_by_its_epoch_whoever_tells_and_who_is_behind_is_told) {
  configuration::ConfigurationStore c;
  gossip::Gossip r({ambit(0), "z", false}, 1, {core(0)}, c, 7);
  gossip::Outbox out;
  const auto told = [&](Machine m, bool whole, std::uint64_t epoch, std::vector<Machine> cores) {
    out.clear();
    gossip::DigestMessage t{false,    whole, c.digest(), r.members().digest(), std::move(cores), {},
                            m < 1000, 0,     epoch};
    r.on_datagram(0, m, gossip::written(gossip::kind::digest, t), out);
    return out.empty() ? std::uint64_t(0) : gossip::read<gossip::DigestMessage>(out.at(0).bytes)->epoch;
  };
  const std::vector<Machine> older{core(0), core(1), core(2)}, newer{core(0), core(1), core(9)},
      wrong{core(5)};
  CHECK(told(core(0), true, 4, older) == 0 && r.cores() == older);
  CHECK(told(core(5), false, 9, wrong) == 4 && r.cores() == older);  // who is not whole is not believed
  CHECK(told(ambit(1), true, 5, newer) == 0 && r.cores() == newer);
  CHECK(told(ambit(2), true, 4, older) == 5 && r.cores() == newer);
  CHECK(told(core(2), true, 4, older) == 5 && r.cores() == newer);
}

TEST(Gossip, a_node_that_begins_beside_a_core_that_is_not_whole_is_not_ready_until_it_meets_one_that_is) {
  Town t(3, 3, 1);
  for (int i = 0; i < 40; ++i) t.settle("c/" + std::to_string(i));
  t.run(2 * second);
  t.stale.insert(core(2)), t.rumour(core(2)).whole(false);
  t.settle("c/new");
  t.kill(ambit(0)), t.start(ambit(0));
  t.cut_off(ambit(0), [](Machine m) { return m == core(2) || m == ambit(1); });
  t.run(10 * second);  // it has all from a member that is caught up
  CHECK(t.creed(ambit(0)).items() == t.settled.items());
  CHECK_FALSE(t.rumour(ambit(0)).caught_up());
  t.net.blocked_links.clear(), t.cut_off(ambit(0), [](Machine m) { return m == core(1); });
  t.run(1'900'000);  // a calm pause between two asks
  CHECK(t.rumour(ambit(0)).caught_up());
}

TEST(Gossip, who_begins_before_the_core_is_caught_up_soon_after_it_has_come) {
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    Town t(1, 3, seed);
    t.cut_off(ambit(0));
    for (int i = 0; i < 300; ++i) t.settle("c/" + std::to_string(i), i % 3 == 0);
    t.let_go(200);
    t.run(10 * second + seed * 50'000);
    t.net.blocked_links.clear();
    t.run(2'200'000);  // a calm pause between two asks, and short ones
    CHECK(t.rumour(ambit(0)).caught_up() && t.agree());
  }
}

// Away for longer than dropped names are known, with a route that stood as it went.
TEST(Gossip, what_was_dropped_and_let_go_of_meanwhile_is_lost_within_two_rounds_and_never_handed_back) {
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    const int routes = seed % 2 ? 4 : 300;  // few are sent without a listing
    Town t(6, 3, seed);
    for (int i = 0; i < routes; ++i) t.settle("c/" + std::to_string(i), false, "{}", i < 4);
    t.settle("c/old");
    t.run(2 * second);
    CHECK_EQUAL(9, t.standing("c/old"));
    t.cut_off(ambit(0)), t.cut_off(ambit(1));
    t.settle("c/old", true);
    const auto again = t.settle("c/1", true);  // this one is set anew, above the floor
    for (int i = 0; i < 20; ++i) t.settle("c/0");
    t.run(second);
    t.let_go(again);
    t.settle("c/1"), t.settle("c/more");
    t.run(2 * second);
    CHECK_EQUAL(2, t.standing("c/old"));
    t.net.blocked_links.clear();
    // The two that were away and others among themselves first: nobody else takes it.
    const auto no_core = [](Machine m) { return m >= 1000; };
    t.cut_off(ambit(0), no_core), t.cut_off(ambit(1), no_core);
    t.run(2 * second);
    CHECK(t.standing("c/old") <= 2);
    t.net.blocked_links.clear();
    if (seed % 3 == 0)
      t.cut_off(ambit(1), no_core);  // one of them stays so, and hands over what the other loses
    t.run(two_rounds);
    CHECK_FALSE(t.creed(ambit(0)).find("c/old"));
    CHECK(t.creed(ambit(0)).items() == t.settled.items());
    CHECK_EQUAL(t.settled.floor(), t.creed(ambit(0)).floor());
    t.net.blocked_links.clear();
    t.run(two_rounds);
    CHECK(t.agree());
    for (const auto& f : t.faults) FAIL(f.c_str());
  }
}

TEST(Gossip, names_let_go_of_cost_no_listing_of_items_and_all_agree_after_two_rounds) {
  Town t(10, 3, 3);
  for (std::size_t i = 0; i < 300; ++i) t.settle("c/" + std::to_string(i), i % 2 == 0, "{}", false);
  t.run(4 * second);
  CHECK(t.agree());
  const auto before = t.sent[gossip::kind::listing];
  t.let_go(200);
  t.run(two_rounds);
  CHECK(t.agree());
  t.run(5 * second);
  CHECK_EQUAL(before, t.sent[gossip::kind::listing]);
}

TEST(Gossip, who_hears_of_a_higher_floor_lists_only_where_more_than_old_tombstones_differ) {
  configuration::ConfigurationStore own, theirs;
  for (const configuration::VersionedItem& i : {configuration::VersionedItem{"c/a", 1, false, "{}", 6},
                                                configuration::VersionedItem{"c/b", 1, false, "{}", 7}})
    own.take(i), theirs.take(i);
  for (int i = 0; own.dropped() < 2; ++i)  // one of them in the part that differs
    if (const std::string name = "c/gone" + std::to_string(i);
        (configuration::part_of(name) == configuration::part_of("c/new")) == (own.dropped() == 0))
      own.take({name, 2, true, "", 5});
  theirs.let_go(8), theirs.take({"c/new", 1, false, "{}", 12});
  gossip::Gossip r({ambit(0), "z", false}, 1, {core(0)}, own, 7);
  gossip::Outbox out;
  const auto told = [&](Machine m, bool of_core) {
    out.clear();
    r.on_datagram(0, m,
                  gossip::written(gossip::kind::digest,
                                  gossip::DigestMessage{
                                      true, true, theirs.digest(), r.members().digest(), {}, {}, of_core, 8}),
                  out);
    std::vector<std::uint64_t> listed;
    for (const auto& d : out)
      if (const auto l = gossip::read<gossip::ListingMessage>(d.bytes);
          l && gossip::kind_of(d.bytes) == gossip::kind::listing)
        for (const auto& i : l->items) listed.push_back(i.at);
    return listed;
  };
  std::vector<std::uint64_t> of_part;
  for (const auto& i : theirs.part(configuration::part_of("c/new")))
    if (i.at < 12) of_part.push_back(i.at);
  CHECK(told(core(0), true) == of_part && out.size() == 1);
  own.take(*theirs.find("c/new"));
  out.clear();
  r.on_datagram(
      0, core(0),
      gossip::written(gossip::kind::listing, gossip::ListingMessage{true, true, 0, {0, 0xffff}, {}, {}}),
      out);
  CHECK(out.empty());  // a core takes no items
  CHECK(told(ambit(1), false).empty() && out.empty() &&
        own.floor() == 0);  // a member's word: nothing to be said, nothing let go of
  CHECK(told(core(0), true).empty() && out.empty() && own.floor() == 8);
  CHECK(own.items() == theirs.items() && r.caught_up());
}

TEST(Gossip, a_stale_core_takes_nothing_that_was_set_since_and_still_what_was_gone_by_then) {
  Town t(1, 2, 4);
  t.cut_off(ambit(0));
  t.settle("c/set-again"), t.settle("c/gone"), t.settle("c/stays");
  t.creed(ambit(0)).take(*t.settled.find("c/gone")), t.creed(ambit(0)).take(*t.settled.find("c/stays"));
  t.settle("c/set-again", true), t.let_go(t.settle("c/gone", true));
  t.stale.insert(core(1));
  t.creed(ambit(0)).take({"c/set-again", 9, false, "{}", t.settle("c/set-again")});
  for (int i = 0; i < 20; ++i)
    t.creed(ambit(0)).take(
        {"c/late" + std::to_string(i), 1, false, "{}", t.settle("c/late" + std::to_string(i))});
  t.net.blocked_links.clear(), t.cut(ambit(0), core(0)), t.cut(core(0), core(1));
  t.run(two_rounds);
  CHECK_FALSE(t.creed(ambit(0)).find("c/gone"));
  CHECK(t.creed(ambit(0)).stands("c/set-again") && t.creed(ambit(0)).stands("c/stays") &&
        t.creed(ambit(0)).stands("c/late19"));
}

TEST(Gossip, thousands_of_items_are_taken_and_let_go_of_by_listings_in_pieces_that_each_fit_a_datagram) {
  Town t(2, 3, 5);
  for (int i = 0; i < 2'500; ++i) t.settle("c/" + std::to_string(i), false, "{}", false);
  t.run(3 * second);
  t.cut_off(ambit(0));
  for (int i = 1; i < 2'500; i += 5) t.settle("c/" + std::to_string(i), true, {}, false);
  t.let_go(2'900);
  t.net.blocked_links.clear();
  t.run(two_rounds);
  CHECK(t.agree());
  t.watches = false;
  t.cut_off(ambit(0));
  for (int i = 0; i < 20'000; i += 2) t.settle("c/" + std::to_string(i), false, "{}", false);
  t.net.blocked_links.clear();
  t.run(4 * second);
  CHECK(t.agree());
  for (const auto& f : t.faults) FAIL(f.c_str());
}

TEST(Gossip, a_node_with_ten_thousand_items_to_take_is_ready_though_its_socket_holds_a_dozen_datagrams) {
  Town t(3, 3, 11);
  t.watches = false;
  t.net.socket_buffer_bytes = default_socket_buffer;
  t.settle_at_once("c/", 10'000, std::string(300, 'x'), false);
  const auto took = [&] {
    const std::int64_t begun = t.net.now;
    while (!t.agree() && t.net.now < begun + 60 * second) t.run(100'000);
    return t.net.now - begun;
  };
  const std::int64_t first = took();
  t.kill(ambit(0)), t.start(ambit(0));
  const std::int64_t restarted = took();
  // Many changes for one that was away, which holds as many items.
  t.cut_off(ambit(1));
  t.settle_at_once("c/", 10'000, std::string(300, 'y'), false);
  t.net.blocked_links.clear();
  const std::int64_t changed = took();
  std::printf(" first %.1f s, restarted %.1f s, changed %.1f s\n", double(first) / second,
              double(restarted) / second, double(changed) / second);
  CHECK(t.agree());
  t.run(second);
  CHECK(t.rumour(ambit(0)).caught_up());
  CHECK(first < 15 * second && restarted < 15 * second && changed < 15 * second);
}

TEST(Gossip, a_call_of_1400_routes_is_everywhere_within_converge_though_sockets_overflow) {
  std::int64_t longest = 0;
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    Town t(seed % 2 ? 3 : 24, 3, seed);
    t.watches = false;
    t.net.socket_buffer_bytes = default_socket_buffer;
    t.settle_at_once("c/first-", 100, std::string(300, 'x'));
    t.run(3 * second);
    CHECK(t.agree());
    const std::int64_t begun = t.net.now;
    t.settle_at_once("c/big-", 1'400, std::string(300, 'x'));
    while (!t.agree() && t.net.now < begun + 20 * second) t.run(50'000);
    longest = std::max(longest, t.net.now - begun);
  }
  std::printf(" longest %.2f s\n", double(longest) / second);
  CHECK(longest < converge / 2);  // the other half is for busy processors and real networks
}

TEST(Gossip, a_gap_is_mended_though_items_never_cease_to_come_by_the_hundred) {
  Town t(3, 3, 8);
  t.watches = false;
  for (int i = 0; i < 200; ++i) t.settle("c/" + std::to_string(i), false, "{}");
  t.run(3 * second);
  // One that was away while a name was let go of, and another set: of the two it has the lower floor.
  t.cut_off(ambit(0));
  t.let_go(t.settle("c/0", true, {}, false));
  t.settle("c/missed", false, "{}", false);
  t.net.blocked_links.clear();
  for (int i = 0; i < 25; ++i) {
    t.settle_at_once("c/more-", 40, "{}");
    t.run(100'000);
  }
  CHECK(t.creed(ambit(0)).stands("c/missed"));
  CHECK_FALSE(t.creed(ambit(0)).stands("c/0"));
}

TEST(Gossip, what_nobody_told_a_node_it_learns_within_converge_though_two_of_five_cores_are_out_of_reach) {
  std::int64_t longest = 0;
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    Town t(1, 5, seed);  // no other member that could tell it
    t.settle("c/first");
    t.run(3 * second + std::int64_t(seed) * 13'000);
    for (const int i : {int(seed % 5), int((seed + 1 + seed % 2) % 5)})
      if (seed % 3)
        t.cut(ambit(0), core(i));
      else
        t.stale.insert(core(i)), t.rumour(core(i)).whole(false);
    const std::int64_t begun = t.net.now;
    t.settle("c/news", false, "{}", false);
    while (!t.creed(ambit(0)).stands("c/news") && t.net.now < begun + 10 * second) t.run(10'000);
    longest = std::max(longest, t.net.now - begun);
  }
  std::printf(" longest %.2f s\n", double(longest) / second);
  CHECK(longest < converge);
}

TEST(Gossip, of_6000_members_none_lapses_while_a_twentieth_is_lost_and_none_stays_that_is_silent) {
  for (const auto& [members, cores] : {std::pair(6'000, 3), std::pair(1'200, 7)}) {
    Leases l(members, cores, 6);
    l.net.loss_probability = 0.05;
    for (std::size_t i = 0; i < 300; ++i)
      l.bound[i] = true;  // heard by one core alone, in its turn: the others are told
    l.run(9 * second);
    CHECK_EQUAL(0, l.expired());
    l.net.blocked_links = {{core(0), core(1)}, {core(1), core(0)}};  // and one of those by a third only
    l.run(6 * second);
    CHECK_EQUAL(0, l.expired());
    l.net.blocked_links.clear();
    l.net.handlers.erase(core(2));  // one is down, and is told in its turn all the same
    l.run(6 * second);
    CHECK_EQUAL(0, l.expired());
    for (std::size_t i = 0; i < 50; ++i) l.silent[300 + 10 * i] = true;
    l.net.send(9'999, core(0),
               gossip::written(gossip::kind::digest, gossip::DigestMessage()));  // whose record nobody has
    l.run(gossip::Gossip::lease_term - 2 * second);
    CHECK_EQUAL(0, l.expired());
    l.run(2 * second + 4 * gossip::Gossip::round);
    for (int i = 0; i < 2; ++i) CHECK_EQUAL(50, l.expired(core(i)));
    CHECK(l.longest < 20'000 && l.longest < gossip::longest_datagram &&
          l.most_leases <= gossip::leases_at_once);
    CHECK_EQUAL(0, l.strangers);
    l.silent.assign(l.silent.size(), true);
    l.run(8 * gossip::Gossip::round);
    l.leases_told = 0;
    l.run(2 * gossip::Gossip::round);
    CHECK_EQUAL(0, l.leases_told);  // each was told of in a few rounds, and no more
  }
}

TEST(Gossip, a_member_renews_its_lease_at_each_core_in_turn) {
  configuration::ConfigurationStore c;
  gossip::Gossip r({ambit(0), "z", false}, 1, {core(0), core(1), core(2), core(3)}, c, 7);
  gossip::Outbox out;
  r.on_datagram(
      0, core(0),
      gossip::written(gossip::kind::digest,
                      gossip::DigestMessage{true, true, c.digest(), r.members().digest(), {}, {}, true, 0}),
      out);
  std::map<Machine, std::int64_t> asked;
  for (std::int64_t now = 0; now < 60 * second; now += 100'000) {
    r.tick(now, out);
    for (const auto& d : std::exchange(out, {})) asked[d.to] = now;
    for (const auto& [m, at] : asked) CHECK(now - at <= 4 * (gossip::Gossip::round * 11 / 10 + 100'000));
  }
  CHECK_EQUAL(4, asked.size());
}

TEST(Gossip, whoever_draws_from_a_lot_draws_each_alike_and_never_the_one_left_out) {
  gossip::PeerSampler lot;
  for (Machine m = 0; m < 30; ++m) lot.put(m, true), lot.put(m, true);
  for (Machine m = 0; m < 30; m += 3) lot.put(m, false), lot.put(m, false);
  CHECK_EQUAL(20, lot.size());
  std::mt19937 chance(1);
  std::map<Machine, int> drawn;
  for (int i = 0; i < 40'000; ++i) {
    const auto of = lot.draw(3, 7, chance);
    CHECK_EQUAL(3, std::set<Machine>(of.begin(), of.end()).size());
    for (const Machine m : of) ++drawn[m];
  }
  CHECK_EQUAL(19, drawn.size());
  for (const auto& [m, n] : drawn) CHECK(m % 3 != 0 && m != 7 && std::abs(n - 120'000 / 19) < 400);
  CHECK_EQUAL(19, lot.draw(99, 7, chance).size());
}

TEST(Gossip, news_goes_to_two_of_the_own_zone_and_one_across_and_to_nobody_who_has_lapsed_or_leaves) {
  configuration::ConfigurationStore c;
  gossip::Gossip r({ambit(0), "z", false}, 1, {core(0)}, c, 7);
  gossip::Outbox out;
  const auto hears = [&](gossip::MemberRecord record) {
    r.on_datagram(0, core(0),
                  gossip::written(gossip::kind::news, gossip::UpdateMessage{{}, {std::move(record)}, 0}),
                  out);
  };
  for (int i = 1; i <= 20; ++i) hears(record_of(ambit(i), i <= 10 ? "z" : "y"));
  for (const int i : {1, 11}) {
    gossip::MemberRecord gone = record_of(ambit(i), i == 1 ? "z" : "y");
    gone.sequence = 2, gone.expired = i == 1, gone.leaving = i == 11;
    hears(gone);
  }
  std::map<Machine, int> told;
  const auto tells = [&] {
    r.spread({{"c/a", 1, false, "{}", 1}}, out = {});
    std::size_t near = 0;
    for (const auto& d : out) ++told[d.to], near += d.to <= ambit(10);
    return std::make_pair(near, out.size() - near);
  };
  for (int i = 0; i < 9'000; ++i) CHECK(tells() == std::make_pair(std::size_t(2), std::size_t(1)));
  CHECK_EQUAL(18, told.size());
  for (const auto& [m, n] : told)
    CHECK(m != ambit(1) && m != ambit(11) && std::abs(n - (m <= ambit(10) ? 2'000 : 1'000)) < 150);
  for (int i = 12; i <= 20; ++i) {
    gossip::MemberRecord moved = record_of(ambit(i), "z");
    moved.sequence = 2;
    hears(moved);
  }
  r.spread({{"c/a", 1, false, "{}", 1}}, out = {});
  CHECK_EQUAL(3, out.size());  // all of the own zone now
  for (int i = 2; i <= 20; ++i) {
    gossip::MemberRecord gone = record_of(ambit(i), "z");
    gone.sequence = 3, gone.leaving = true;
    if (i != 4) hears(gone);
  }
  r.spread({{"c/a", 1, false, "{}", 1}}, out = {});
  CHECK(out.size() == 1 && out[0].to == ambit(4));
}

// Listings of records, too, come in pieces: only what the other lacks is sent.
TEST(Gossip, a_roll_of_4000_is_brought_up_to_date_by_what_it_lacks_alone) {
  Town t(0, 2, 8);
  t.cut(core(0), core(1));
  gossip::Outbox out;
  for (int i = 0; i < 4'000; ++i)
    for (int c = 0; c < 2; ++c)
      if (i % 40 != c)
        t.rumour(core(c)).on_datagram(
            0, 1, gossip::written(gossip::kind::news, gossip::UpdateMessage{{}, {record_of(ambit(i))}, 0}),
            out);
  t.net.blocked_links.clear();
  const auto before = t.sent[gossip::kind::news];
  t.run(4 * second);
  CHECK(t.rumour(core(0)).members().digest() == t.rumour(core(1)).members().digest());
  CHECK_EQUAL(4'002, t.rumour(core(0)).members().entries().size());
  CHECK(t.sent[gossip::kind::news] - before <
        200);  // of 200 records in eights, some twice, each passed on to three
  for (const auto& f : t.faults) FAIL(f.c_str());
}

// Whatever is drawn: nothing let go of comes back to a node that has lost it, nor to one whose floor is above
// it; all agree in the end.
TEST(Gossip, floors_and_items_agree_after_drawn_changes_cuts_deaths_and_stale_cores) {
  for (std::uint32_t seed = 1000; seed < 1100; ++seed) {
    Town t(5, 3, seed);
    std::mt19937 chance(seed);
    t.net.loss_probability = 0.05, t.net.duplication_probability = 0.02;
    const auto any = [&](std::uint32_t n) { return int(chance() % n); };
    for (int step = 0; step < 60; ++step) {
      switch (any(9)) {
        case 0:
        case 1:
        case 2:
        case 3:
          t.settle("c/" + std::to_string(any(seed % 2 ? 6 : 60)), any(2) == 0,
                   std::string(1, char('a' + any(26))), any(3) > 0);
          break;
        case 4:
          t.let_go(t.number - std::min<std::uint64_t>(t.number, chance() % 12));
          break;
        case 5:
          t.cut_off(any(4) ? ambit(any(5)) : core(any(3)));
          break;
        case 6:
          t.net.blocked_links.clear();
          break;
        case 7: {
          const Machine m = ambit(any(5));
          t.kill(m), t.start(m);
          break;
        }
        default: {  // one core at the most is behind, and may not know
          for (const Machine m : t.stale) t.rumour(m).whole(true);
          t.stale.clear(), t.catch_up();
          if (any(2)) {
            const Machine m = core(any(3));
            t.stale.insert(m), t.rumour(m).whole(any(2));
          }
        }
      }
      t.run(std::int64_t(chance() % 400'000));
    }
    t.net.blocked_links.clear(), t.net.loss_probability = 0;
    t.stale.clear(), t.catch_up();
    for (int i = 0; i < 3; ++i) t.rumour(core(i)).whole(true);
    t.run(4 * second);  // two calm pauses of one that begins
    CHECK_TEXT(t.agree(), std::to_string(seed).c_str());
    for (const auto& f : t.faults) FAIL((std::to_string(seed) + " " + f).c_str());
  }
}
