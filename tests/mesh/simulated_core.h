// Whole fleets of the mesh's state logic in memory, under one seed, told the time: rumours and core over the
// in-memory span and trove, machines that are killed, lose their disks, are cut off and come back. Programs
// that measure derive from it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../../src/control_plane/replicated_state.h"
#include "../../src/transport/simulated_network.h"
#include "../../src/storage/memory_store.h"
#include "help.h"

namespace robinpin::mesh_test {

using gossip::Machine;

class Fleet {
 public:
  struct Node {
    bool core = false;
    std::string zone;
    std::uint64_t incarnation = 0;
    std::int64_t ticked = 0;
    // One incarnation's:
    std::unique_ptr<transport::SimulatedTransport> span;
    std::unique_ptr<configuration::ConfigurationStore> creed;
    std::unique_ptr<gossip::Gossip> rumour;
    std::unique_ptr<storage::MemoryStore> trove;
    std::unique_ptr<control_plane::ReplicatedState> keep;
    gossip::MemberRecord record;
    bool frozen = false;
    std::vector<std::pair<Machine, std::string>> waiting;
    // Beyond it:
    std::shared_ptr<storage::MemoryStore::Disk> disk = std::make_shared<storage::MemoryStore::Disk>();
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
        seen;  // of this incarnation: numbers and versions never go back
    std::uint64_t looked = 0;
    bool up() const { return span != nullptr; }
  };

  Fleet(int ambits, int cores, std::uint32_t seed) : net(seed), chance(seed ^ 77) {
    for (int i = 0; i < cores; ++i) add(core(i), true, i);
    for (int i = 0; i < ambits; ++i) add(ambit(i), false, i);
    for (auto& [m, n] : nodes) start(m, true);
  }
  virtual ~Fleet() = default;
  static Machine core(int i) { return 100 + Machine(i); }
  static Machine ambit(int i) { return 1000 + Machine(i); }

  void start(Machine m, bool first = false) {
    Node& n = nodes.at(m);
    n.creed = std::make_unique<configuration::ConfigurationStore>();
    std::vector<Machine> seeds;
    for (const auto& [c, x] : nodes)
      if (x.core && seeds.size() < 3) seeds.push_back(c);
    n.rumour = std::make_unique<gossip::Gossip>(gossip::Self{m, n.zone, n.core}, ++n.incarnation, seeds,
                                                *n.creed, chance());
    n.span = std::make_unique<transport::SimulatedTransport>(net, m);
    n.span->set_handler([this, m](Machine from, std::string_view bytes) { on_datagram(m, from, bytes); });
    n.seen.clear(), n.looked = 0;
    if (n.core) {
      n.trove = std::make_unique<storage::MemoryStore>(n.disk);
      n.keep = std::make_unique<control_plane::ReplicatedState>(m, *n.creed, *n.rumour, *n.trove,
                                                                (std::uint64_t(chance()) << 32) | chance());
      std::vector<Machine> founders;
      for (const auto& [c, x] : nodes)
        if (x.core) founders.push_back(c);
      const std::string why = trouble_of<void>([&] { return n.keep->start(net.now, first, founders); });
      if (!why.empty()) faults.push_back(why);
    }
    called(m, n, [&](gossip::Outbox& out) { n.rumour->state(net.now, n.record, out); });
  }
  void kill(Machine m) {
    Node& n = nodes.at(m);
    n.keep.reset(), n.trove.reset(), n.rumour.reset(), n.creed.reset(), n.span.reset();
    n.frozen = false, n.waiting.clear();
  }
  void wipe(Machine m) { nodes.at(m).disk = std::make_shared<storage::MemoryStore::Disk>(); }
  void cut(Machine a, Machine b) { net.blocked_links.insert({a, b}), net.blocked_links.insert({b, a}); }
  void cut_off(Machine m) {
    for (const auto& [o, n] : nodes)
      if (o != m) cut(m, o);
  }
  void join() { net.blocked_links.clear(); }
  // A process that stands still: what comes waits in its sockets until it wakes, and then comes before its
  // clocks are looked at.
  void freeze(Machine m) { nodes.at(m).frozen = true; }
  void thaw(Machine m) {
    Node& n = nodes.at(m);
    n.frozen = false;
    for (auto& [from, bytes] : std::exchange(n.waiting, {})) on_datagram(m, from, bytes);
  }

  void run(std::int64_t span) {
    for (const std::int64_t until = net.now + span; net.now < until;) {
      net.advance_to(std::min(until, net.now + 10'000));
      for (auto& [m, n] : nodes) {
        if (!n.up() || n.frozen) continue;
        const bool ticks = net.now >= n.ticked + 50'000;
        if (ticks || (n.keep && n.keep->next_deadline() <= net.now)) tick(m, n, ticks);
      }
    }
  }

  // An operator's call to a core; what came of it stands in `outcome` once it is settled.
  std::shared_ptr<std::optional<control_plane::RequestOutcome>> order(
      Machine m, control_plane::OperatorRequest::what what, const std::string& text = {}) {
    auto outcome = std::make_shared<std::optional<control_plane::RequestOutcome>>();
    Node& n = nodes.at(m);
    if (!n.up()) return outcome;
    called(m, n, [&](gossip::Outbox& out) {
      n.keep->submit(
          net.now, {what, text}, [outcome](control_plane::RequestOutcome o) { *outcome = std::move(o); },
          out);
    });
    return outcome;
  }
  // The same, until it is settled; 0 for an answer that never came.
  int settled(Machine m, control_plane::OperatorRequest::what what, const std::string& text = {},
              std::string* body = nullptr) {
    const auto o = order(m, what, text);
    for (int i = 0; i < 200 && !*o; ++i) run(10'000);
    if (body && *o) *body = (*o)->text();
    return *o ? (*o)->status : 0;
  }
  std::size_t with(const std::string& name, std::uint64_t version) const {
    std::size_t count = 0;
    for (const auto& [m, n] : nodes)
      if (n.up())
        if (const configuration::VersionedItem* i = n.creed->find(name); i && i->version >= version) ++count;
    return count;
  }
  void add(Machine m, bool is_core, int i) {
    Node& n = nodes[m];
    n.core = is_core;
    n.zone = std::string("zone-") + char('a' + i % 3);
  }
  void state(Machine m, gossip::MemberRecord r) {
    Node& n = nodes.at(m);
    n.record = r;
    called(m, n, [&](gossip::Outbox& out) { n.rumour->state(net.now, r, out); });
  }

  transport::SimulatedNetwork net;
  std::map<Machine, Node> nodes;
  std::mt19937 chance;
  std::vector<std::string> faults;  // what may never be

 protected:
  // Each call into a node's own code, and what it wants sent: who measures stands around it.
  virtual void called(Machine m, Node& n, const std::function<void(gossip::Outbox&)>& call) {
    (void)n;
    gossip::Outbox out;
    call(out);
    send(m, out);
  }
  virtual void on_datagram(Machine m, Machine from, std::string_view bytes) {
    Node& n = nodes.at(m);
    if (n.frozen) {
      n.waiting.emplace_back(from, bytes);
      return;
    }
    called(m, n, [&](gossip::Outbox& out) {
      if (!control_plane::is_control_plane_message(bytes)) {
        if (n.keep) n.rumour->whole(n.keep->is_current(net.now));
        n.rumour->on_datagram(net.now, from, bytes, out);
      } else if (n.keep) {
        n.keep->on_datagram(net.now, from, bytes, out);
      }
    });
    look(n);
  }
  void tick(Machine m, Node& n, bool rumours) {
    called(m, n, [&](gossip::Outbox& out) {
      if (n.keep) n.keep->tick(net.now, out);
      if (rumours) n.rumour->tick(net.now, out), n.ticked = net.now;
    });
    look(n);
  }
  void send(Machine m, const gossip::Outbox& out) {
    for (const auto& d : out) nodes.at(m).span->send(d.to, d.bytes);
  }
  virtual void look(Node& n) {
    if ((!n.rumour->caught_up() && !n.core) || n.creed->changes() == n.looked) return;
    n.looked = n.creed->changes();
    for (const auto& [name, item] : n.creed->items()) {
      auto& [at, version] = n.seen[name];
      if (item.at < at || (item.version < version && n.creed->floor() < at))
        faults.push_back("a version went back: " + name);
      at = item.at, version = item.version;
    }
  }
};

}  // namespace robinpin::mesh_test
