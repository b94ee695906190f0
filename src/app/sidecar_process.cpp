// The role beside each application server.
#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <boost/leaf/handle_errors.hpp>
#include <csignal>

#include "../log/log.h"
#include "../net/listening.h"
#include "../rpc/calls.h"
#include "../sidecar/outbound_proxy.h"
#include "mesh_process.h"
#include "shutdown_schedule.h"

namespace robinpin::app {

namespace {

using namespace std::chrono_literals;
using asio::awaitable;
using event_log::EventType;

constexpr codec::Limits call_limits = {16 * 1024, 64 * 1024}, caller_limits = {64 * 1024, 64 * 1024 * 1024};
constexpr int beats_missed = 4;  // then the server beside this node is taken to be gone
constexpr int own_descriptors = 64;

class SidecarProcess : public MeshProcess {
 public:
  SidecarProcess(bootstrap::Settings s, std::string path)
      : MeshProcess(std::move(s), std::move(path), false),
        sockets_(std::max(32, settings.file_limit - 200 - own_descriptors)),
        own_sockets_(own_descriptors),
        control_(io_, own_sockets_, call_limits),
        readiness_(io_, own_sockets_, call_limits),
        outbound_(io_),
        inbound_(io_),
        inbound_proxy_(io_, sockets_, settings, node::endpoint_of(settings.application)),
        outbound_proxy_(io_, clock_, sockets_, settings, inbound_proxy_, chance_of(settings)) {
    control_.on<rpc::Heartbeat>([this](rpc::Heartbeat b) -> awaitable<rpc::Done> { co_return beat(b); });
    control_.on<rpc::Departure>([this](rpc::Departure d) -> awaitable<rpc::Done> { co_return left(d); });
    control_.on<rpc::Status>([this](rpc::Status) -> awaitable<rpc::Reply> {
      co_return rpc::Reply{200, status(), {}};
    });
    readiness_.on<rpc::Readiness>([this](rpc::Readiness) -> awaitable<rpc::Done> {
      co_return rpc::Done{is_ready_, "not ready"};
    });
  }

  storage::result<int> run() {
    BOOST_LEAF_CHECK(open());
    control_.listen(node::endpoint_of(settings.ports.at("control")));
    readiness_.listen(node::endpoint_of(settings.ports.at("readiness")));
    node::listen_at(outbound_, node::endpoint_of(settings.ports.at("outbound")), 1024);
    node::listen_at(inbound_, node::endpoint_of(settings.ports.at("inbound")), 1024);
    event_log_.append(EventType::role_started, now(),
                      fmt::format("role=sidecar node={} target={}", settings.node, settings.target));
    control_.run();
    readiness_.run();
    asio::co_spawn(io_,
                   rpc::accept(outbound_, sockets_, caller_limits,
                               [this](auto c) { return outbound_proxy_.serve(std::move(c)); }),
                   asio::detached);
    asio::co_spawn(io_,
                   rpc::accept(inbound_, sockets_, caller_limits,
                               [this](auto c) { return outbound_proxy_.serve_inner(std::move(c)); }),
                   asio::detached);
    begin();
    publish();
    io_.run();
    leave(0);
  }

 private:
  rpc::Done beat(const rpc::Heartbeat& b) {
    admission::Server s;
    s.id = b.id, s.service = b.target, s.address = b.address, s.draining = b.draining, s.slots = b.capacity,
    s.sequence = b.sequence;
    admission::AdmissionController& door = inbound_proxy_.admission();
    const std::string before = door.has_server() ? door.server().id : "";
    const bool drained = door.has_server() && door.server().draining;
    if (!door.on_heartbeat(now(), s, b.warmup_left)) return {};
    if (before != b.id)
      event_log_.append(EventType::server_up, now(),
                        fmt::format("id={} service={} cold_ms={}", b.id, b.target, b.warmup_left / 1000));
    if (door.server().draining && !(drained && before == b.id))
      event_log_.append(EventType::server_draining, now(), fmt::format("id={}", b.id));
    publish();
    return {};  // from here on this gate lets nothing new through to one that drains, and the word of it is
                // out
  }

  rpc::Done left(const rpc::Departure& d) {
    inbound_proxy_.admission().on_departure(d.id);
    event_log_.append(EventType::server_down, now(), fmt::format("id={} how=departed", d.id));
    publish();
    return {};
  }

  // This machine's record as it is now; a change goes out at once.
  void publish() {
    gossip::MemberRecord r;
    r.leaving = ending_;
    const admission::AdmissionController& door = inbound_proxy_.admission();
    if (door.has_server() && !silent_) {
      const admission::Server& s = door.server();
      r.server = s.id, r.service = s.service, r.address = s.address, r.draining = s.draining,
      r.slots = s.slots;
      r.cold_ms = std::uint32_t(std::max<std::int64_t>(0, s.warming_up_until - now()) / 1000);
    }
    gossip::Outbox out;
    gossip_.state(now(), r, out);
    send(out);
    changed();
  }

  void on_datagram(gossip::Machine from, std::string_view datagram) override {
    gossip::Outbox out;
    gossip_.on_datagram(now(), from, datagram, out);
    send(out);
    changed();
  }

  void learnt() override {
    if (configuration_.changes() != planned_) {
      planned_ = configuration_.changes();
      const bool was_emptied = plan_ && plan_->emptied.contains(settings.zone);
      plan_ = route_table_builder_.build(configuration_);
      outbound_proxy_.plan(plan_);
      if (log::writes(log::part::node, log::level::debug))
        for (const auto& [name, item] : configuration_.items())
          log::debug(log::part::node, "item {} {:08x}{} {}", name, item.version,
                     item.dropped ? " dropped" : "", item.text);
      const bool emptied = plan_->emptied.contains(settings.zone);
      if (emptied != was_emptied) {
        event_log_.append(emptied ? EventType::zone_evacuated : EventType::zone_restored, now(),
                          settings.zone);
        // Its servers may have turned cold meanwhile: until the next beat tells it is taken to be.
        if (!emptied)
          inbound_proxy_.admission().assume_warmup_until(now() + settings.heartbeat_period + 500'000);
      }
    }
    outbound_proxy_.servers(gossip_.members(), now());
    settle_ready();
  }

  void switched() override { learnt(); }  // the budget of further tries follows its figures

  void settle_ready() {
    // Who has caught up acts on nothing older than that.
    const bool is = knows_ || (gossip_.caught_up() && planned_ == configuration_.changes() && plan_ &&
                               !plan_->hosts.empty());
    knows_ = is;
    outbound_proxy_.ready(is);
    if ((is && !ending_) != is_ready_) {
      is_ready_ = is && !ending_;
      event_log_.append(is_ready_ ? EventType::ready : EventType::not_ready, now());
    }
  }

  void ticked(bool leapt) override {
    // Its server went on while this process stood still, and may have turned cold: taken to be until it says
    // so.
    if (leapt) inbound_proxy_.admission().assume_warmup_until(now() + settings.heartbeat_period + 500'000);
    gossip::Outbox out;
    gossip_.tick(now(), out);
    send(out);
    const admission::AdmissionController& door = inbound_proxy_.admission();
    const bool silent =
        door.has_server() && now() - door.server().last_heartbeat > beats_missed * settings.heartbeat_period;
    if (silent != silent_) {
      silent_ = silent;
      if (silent)
        event_log_.append(EventType::server_down, now(), fmt::format("id={} how=silent", door.server().id));
      publish();
    }
    changed();
    settle_ready();
    if (++ticks_ % 20 == 0) {
      outbound_proxy_.sweep();
      if (log::writes(log::part::node, log::level::debug)) {
        std::string line;
        for (const auto& [name, n] : outbound_proxy_.endings()) line += fmt::format(" {}={};", name, n);
        log::debug(log::part::node, "endings{}", line);
      }
    }
    if (ending_ && now() >= least_end_ && (outbound_proxy_.pending() == 0 || now() >= last_end_)) io_.stop();
  }

  // Its server has ended already. Callers are still connected: all that has come is ended whole.
  void told_to_end() override {
    if (ending_) return;
    ending_ = true;
    const ShutdownSchedule schedule = ShutdownSchedule::within(settings.grace_period);
    least_end_ = now() + schedule.earliest_end;
    last_end_ = now() + schedule.latest_end;
    outbound_proxy_.end_by(clock_.now() + schedule.gives_up_at);
    outbound_proxy_.ends(clock_.now() + schedule.refuses_from);
    publish();
    settle_ready();
  }

  std::string status() const {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> out(buffer);
    const auto put = [&](const char* key, std::uint64_t v) { out.Key(key), out.Uint64(v); };
    out.StartObject();
    out.Key("role"), out.String("sidecar");
    out.Key("node"), out.String(settings.node.c_str());
    out.Key("zone"), out.String(settings.zone.c_str());
    out.Key("ready"), out.Bool(is_ready_);
    put("items", configuration_.items().size());
    put("machines", gossip_.members().entries().size());
    put("pending", outbound_proxy_.pending());
    const auto& c = outbound_proxy_.counts();
    put("taken", c.taken), put("good", c.good), put("failed", c.failed), put("refused", c.refused),
        put("further", c.further), put("held", c.held);
    put("own_4xx", c.own_4xx), put("probes", c.probes);
    put("datagrams", transport_->datagrams_sent), put("datagram_bytes", transport_->bytes_sent);
    out.Key("servers"), out.StartArray();
    for (const auto& [m, e] : gossip_.members().entries()) {
      if (e.record.server.empty()) continue;
      out.StartObject();
      out.Key("id"), out.String(e.record.server.c_str());
      out.Key("service"), out.String(e.record.service.c_str());
      out.Key("zone"), out.String(e.record.zone.c_str());
      out.Key("machine"), out.String(transport::format_address(m).c_str());
      out.Key("state"), out.String(e.record.expired    ? "expired"
                                   : e.record.draining ? "draining"
                                                       : "admitted");
      out.Key("heard_ms"), out.Int64((now() - e.heard) / 1000);
      out.EndObject();
    }
    out.EndArray();
    out.EndObject();
    return buffer.GetString();
  }

  node::Clock clock_;
  node::Sockets sockets_, own_sockets_;
  rpc::Port control_, readiness_;
  asio::ip::tcp::acceptor outbound_, inbound_;
  sidecar::InboundProxy inbound_proxy_;
  sidecar::OutboundProxy outbound_proxy_;
  configuration::RouteTableBuilder route_table_builder_;
  std::shared_ptr<const configuration::RouteTable> plan_;
  std::uint64_t planned_ = 0, ticks_ = 0;
  bool knows_ = false, is_ready_ = false, ending_ = false, silent_ = false;
  std::int64_t least_end_ = 0, last_end_ = 0;
};

}  // namespace

int run_role(const std::function<storage::result<int>()>& role) {
  return boost::leaf::try_handle_all(
      role,
      [](const storage::Error& t) {
        fmt::print(stderr, "robinpin: {} {}: {}{}", storage::to_string(t.step), t.peer, t.reason,
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

int run_sidecar(const Start& start) {
  std::signal(SIGPIPE, SIG_IGN);
  return run_role([&]() -> storage::result<int> {
    BOOST_LEAF_AUTO(settings, bootstrap::load_settings(start.settings, bootstrap::MachineKind::server));
    SidecarProcess role(std::move(settings), start.settings);
    return role.run();
  });
}

}  // namespace robinpin::app
