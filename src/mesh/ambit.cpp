// The role beside each application server.
#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <boost/leaf/handle_errors.hpp>
#include <csignal>

#include "../ambit/carry.h"
#include "../log/log.h"
#include "../net/listening.h"
#include "../port/calls.h"
#include "role.h"
#include "shutdown_schedule.h"

namespace robinpin::mesh {

namespace {

using namespace std::chrono_literals;
using asio::awaitable;
using chronicle::EventType;

constexpr codec::Limits call_limits = {16 * 1024, 64 * 1024}, caller_limits = {64 * 1024, 64 * 1024 * 1024};
constexpr int beats_missed = 4;  // then the server beside this node is taken to be gone
constexpr int own_descriptors = 64;

class Ambit : public Role {
 public:
  Ambit(ground::Settings s, std::string path)
      : Role(std::move(s), std::move(path), false),
        sockets_(std::max(32, settings.file_limit - 200 - own_descriptors)),
        own_sockets_(own_descriptors),
        control_(io_, own_sockets_, call_limits),
        readiness_(io_, own_sockets_, call_limits),
        outbound_(io_),
        inbound_(io_),
        hand_(io_, sockets_, settings, node::endpoint_of(settings.application)),
        carry_(io_, clock_, sockets_, settings, hand_, chance_of(settings)) {
    control_.on<port::Heartbeat>([this](port::Heartbeat b) -> awaitable<port::Done> { co_return beat(b); });
    control_.on<port::Departure>([this](port::Departure d) -> awaitable<port::Done> { co_return left(d); });
    control_.on<port::Status>([this](port::Status) -> awaitable<port::Reply> {
      co_return port::Reply{200, status(), {}};
    });
    readiness_.on<port::Readiness>([this](port::Readiness) -> awaitable<port::Done> {
      co_return port::Done{is_ready_, "not ready"};
    });
  }

  trove::result<int> run() {
    BOOST_LEAF_CHECK(open());
    control_.listen(node::endpoint_of(settings.ports.at("control")));
    readiness_.listen(node::endpoint_of(settings.ports.at("readiness")));
    node::listen_at(outbound_, node::endpoint_of(settings.ports.at("outbound")), 1024);
    node::listen_at(inbound_, node::endpoint_of(settings.ports.at("inbound")), 1024);
    chronicle_.append(EventType::role_started, now(),
                      fmt::format("role=ambit node={} target={}", settings.node, settings.target));
    control_.run();
    readiness_.run();
    asio::co_spawn(io_,
                   port::accept(outbound_, sockets_, caller_limits,
                                [this](auto c) { return carry_.serve(std::move(c)); }),
                   asio::detached);
    asio::co_spawn(io_,
                   port::accept(inbound_, sockets_, caller_limits,
                                [this](auto c) { return carry_.serve_inner(std::move(c)); }),
                   asio::detached);
    begin();
    publish();
    io_.run();
    leave(0);
  }

 private:
  port::Done beat(const port::Heartbeat& b) {
    gate::Server s;
    s.id = b.id, s.service = b.target, s.address = b.address, s.draining = b.draining, s.slots = b.capacity,
    s.sequence = b.sequence;
    gate::Gate& door = hand_.door();
    const std::string before = door.has_server() ? door.server().id : "";
    const bool drained = door.has_server() && door.server().draining;
    if (!door.beat(now(), s, b.warmup_left)) return {};
    if (before != b.id)
      chronicle_.append(EventType::server_up, now(),
                        fmt::format("id={} service={} cold_ms={}", b.id, b.target, b.warmup_left / 1000));
    if (door.server().draining && !(drained && before == b.id))
      chronicle_.append(EventType::server_draining, now(), fmt::format("id={}", b.id));
    publish();
    return {};  // from here on this gate lets nothing new through to one that drains, and the word of it is
                // out
  }

  port::Done left(const port::Departure& d) {
    hand_.door().departed(d.id);
    chronicle_.append(EventType::server_down, now(), fmt::format("id={} how=departed", d.id));
    publish();
    return {};
  }

  // This machine's record as it is now; a change goes out at once.
  void publish() {
    rumour::Record r;
    r.leaving = ending_;
    const gate::Gate& door = hand_.door();
    if (door.has_server() && !silent_) {
      const gate::Server& s = door.server();
      r.server = s.id, r.service = s.service, r.address = s.address, r.draining = s.draining,
      r.slots = s.slots;
      r.cold_ms = std::uint32_t(std::max<std::int64_t>(0, s.cold_until - now()) / 1000);
    }
    rumour::Outbox out;
    rumour_.state(now(), r, out);
    send(out);
    changed();
  }

  void heard(rumour::Machine from, std::string_view datagram) override {
    rumour::Outbox out;
    rumour_.heard(now(), from, datagram, out);
    send(out);
    changed();
  }

  void learnt() override {
    if (creed_.changes() != planned_) {
      planned_ = creed_.changes();
      const bool was_emptied = plan_ && plan_->emptied.contains(settings.zone);
      plan_ = planner_.plan_of(creed_);
      carry_.plan(plan_);
      if (log::writes(log::part::node, log::level::debug))
        for (const auto& [name, item] : creed_.items())
          log::debug(log::part::node, "item {} {:08x}{} {}", name, item.version,
                     item.dropped ? " dropped" : "", item.text);
      const bool emptied = plan_->emptied.contains(settings.zone);
      if (emptied != was_emptied) {
        chronicle_.append(emptied ? EventType::zone_evacuated : EventType::zone_restored, now(),
                          settings.zone);
        // Its servers may have turned cold meanwhile: until the next beat tells it is taken to be.
        if (!emptied) hand_.door().doubt_until(now() + settings.heartbeat_period + 500'000);
      }
    }
    carry_.servers(rumour_.roll(), now());
    settle_ready();
  }

  void switched() override { learnt(); }  // the budget of further tries follows its figures

  void settle_ready() {
    // Who has caught up acts on nothing older than that.
    const bool is =
        knows_ || (rumour_.caught_up() && planned_ == creed_.changes() && plan_ && !plan_->hosts.empty());
    knows_ = is;
    carry_.ready(is);
    if ((is && !ending_) != is_ready_) {
      is_ready_ = is && !ending_;
      chronicle_.append(is_ready_ ? EventType::ready : EventType::not_ready, now());
    }
  }

  void ticked(bool leapt) override {
    // Its server went on while this process stood still, and may have turned cold: taken to be until it says
    // so.
    if (leapt) hand_.door().doubt_until(now() + settings.heartbeat_period + 500'000);
    rumour::Outbox out;
    rumour_.tick(now(), out);
    send(out);
    const gate::Gate& door = hand_.door();
    const bool silent =
        door.has_server() && now() - door.server().heard > beats_missed * settings.heartbeat_period;
    if (silent != silent_) {
      silent_ = silent;
      if (silent)
        chronicle_.append(EventType::server_down, now(), fmt::format("id={} how=silent", door.server().id));
      publish();
    }
    changed();
    settle_ready();
    if (++ticks_ % 20 == 0) {
      carry_.sweep();
      if (log::writes(log::part::node, log::level::debug)) {
        std::string line;
        for (const auto& [name, n] : carry_.endings()) line += fmt::format(" {}={};", name, n);
        log::debug(log::part::node, "endings{}", line);
      }
    }
    if (ending_ && now() >= least_end_ && (carry_.pending() == 0 || now() >= last_end_)) io_.stop();
  }

  // Its server has ended already. Callers are still connected: all that has come is ended whole.
  void told_to_end() override {
    if (ending_) return;
    ending_ = true;
    const ShutdownSchedule schedule = ShutdownSchedule::within(settings.grace_period);
    least_end_ = now() + schedule.earliest_end;
    last_end_ = now() + schedule.latest_end;
    carry_.end_by(clock_.now() + schedule.gives_up_at);
    carry_.ends(clock_.now() + schedule.refuses_from);
    publish();
    settle_ready();
  }

  std::string status() const {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> out(buffer);
    const auto put = [&](const char* key, std::uint64_t v) { out.Key(key), out.Uint64(v); };
    out.StartObject();
    out.Key("role"), out.String("ambit");
    out.Key("node"), out.String(settings.node.c_str());
    out.Key("zone"), out.String(settings.zone.c_str());
    out.Key("ready"), out.Bool(is_ready_);
    put("items", creed_.items().size());
    put("machines", rumour_.roll().entries().size());
    put("pending", carry_.pending());
    const auto& c = carry_.counts();
    put("taken", c.taken), put("good", c.good), put("failed", c.failed), put("refused", c.refused),
        put("further", c.further), put("held", c.held);
    put("own_4xx", c.own_4xx), put("probes", c.probes);
    put("datagrams", span_->datagrams_sent), put("datagram_bytes", span_->bytes_sent);
    out.Key("servers"), out.StartArray();
    for (const auto& [m, e] : rumour_.roll().entries()) {
      if (e.record.server.empty()) continue;
      out.StartObject();
      out.Key("id"), out.String(e.record.server.c_str());
      out.Key("service"), out.String(e.record.service.c_str());
      out.Key("zone"), out.String(e.record.zone.c_str());
      out.Key("machine"), out.String(span::format_address(m).c_str());
      out.Key("state"), out.String(e.record.lapsed ? "lapsed" : e.record.draining ? "draining" : "admitted");
      out.Key("heard_ms"), out.Int64((now() - e.heard) / 1000);
      out.EndObject();
    }
    out.EndArray();
    out.EndObject();
    return buffer.GetString();
  }

  node::Clock clock_;
  node::Sockets sockets_, own_sockets_;
  port::Port control_, readiness_;
  asio::ip::tcp::acceptor outbound_, inbound_;
  ambit::Hand hand_;
  ambit::Carry carry_;
  creed::Planner planner_;
  std::shared_ptr<const creed::Plan> plan_;
  std::uint64_t planned_ = 0, ticks_ = 0;
  bool knows_ = false, is_ready_ = false, ending_ = false, silent_ = false;
  std::int64_t least_end_ = 0, last_end_ = 0;
};

}  // namespace

int run_role(const std::function<trove::result<int>()>& role) {
  return boost::leaf::try_handle_all(
      role,
      [](const trove::Error& t) {
        fmt::print(stderr, "robinpin: {} {}: {}{}", trove::to_string(t.step), t.peer, t.reason,
                   t.reason.ends_with('\n') ? "" : "\n");
        return 1;
      },
      [](const std::exception& e) {
        fmt::print(stderr, "robinpin: {}\n", e.what());
        return 1;
      },
      [] {
        fmt::print(stderr, "robinpin: unknown trouble\n");
        return 1;
      });
}

int ambit(const Start& start) {
  std::signal(SIGPIPE, SIG_IGN);
  return run_role([&]() -> trove::result<int> {
    BOOST_LEAF_AUTO(settings, ground::load_settings(start.settings, ground::MachineKind::server));
    Ambit role(std::move(settings), start.settings);
    return role.run();
  });
}

}  // namespace robinpin::mesh
