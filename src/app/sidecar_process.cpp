// The role beside each application server.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "../log/log.h"
#include "../net/listening.h"
#include "../rpc/calls.h"
#include "../sidecar/outbound_proxy.h"
#include "instance_retirements.h"
#include "mesh_process.h"
#include "shutdown_schedule.h"
#include "status_json.h"

namespace robinpin::app {

namespace {

using asio::awaitable;
using event_log::EventType;

constexpr codec::Limits control_call_limits = {16 * 1024, 64 * 1024};
constexpr codec::Limits request_limits = {64 * 1024, 64 * 1024 * 1024};
constexpr int accept_backlog = 1024;
constexpr int control_descriptors = 64;
constexpr int reserved_descriptors = 200;  // files and sockets other than those counted
constexpr int least_descriptors = 32;
constexpr int missed_heartbeats_until_down = 4;
constexpr std::int64_t heartbeat_slack = 500'000;  // microseconds that a heartbeat may come late
constexpr std::uint64_t ticks_between_sweeps = 20;
// Microseconds: an application server waits a second for its acknowledgement.
constexpr std::int64_t longest_wait_for_record = 850'000;

class SidecarProcess : public MeshProcess {
 public:
  SidecarProcess(bootstrap::Settings initial_settings, std::string settings_path)
      : MeshProcess(std::move(initial_settings), std::move(settings_path), bootstrap::MachineKind::server),
        sockets_(most_connections(std::max(least_descriptors,
                                           settings.file_limit - reserved_descriptors - control_descriptors)),
                 memory_budget_),
        control_sockets_(control_descriptors, memory_budget_),
        control_server_(io_, control_sockets_, control_call_limits),
        readiness_server_(io_, control_sockets_, control_call_limits),
        outbound_acceptor_(io_),
        inbound_acceptor_(io_),
        retirements_(configuration_),
        retirement_recorded_(io_, asio::steady_timer::time_point::max()),
        inbound_proxy_(io_, sockets_, settings, node::endpoint_of(settings.application)),
        outbound_proxy_(io_, clock_, sockets_, settings, inbound_proxy_, draw_random_seed(settings)) {
    register_calls();
  }

  storage::result<int> run() {
    if (auto opened = open_transport(); !opened) return opened.error();
    listen();
    event_log_.append(EventType::role_started, now(),
                      fmt::format("role=sidecar node={} target={}", settings.node, settings.target));
    serve();
    start_events();
    publish_member_record();
    io_.run();
    exit_process(0);
  }

 private:
  void register_calls() {
    control_server_.handle<rpc::Heartbeat>(
        [this](rpc::Heartbeat heartbeat) { return on_heartbeat(std::move(heartbeat)); });
    control_server_.handle<rpc::Departure>(
        [this](rpc::Departure departure) { return on_departure(std::move(departure)); });
    control_server_.handle<rpc::Status>([this](rpc::Status) -> awaitable<rpc::Reply> {
      const ProcessView process{settings,        configuration_,   gossip_, *transport_,
                                *memory_budget_, resource_usage(), now()};
      co_return rpc::Reply{200, sidecar_status_json(process, outbound_proxy_, is_ready_), {}};
    });
    readiness_server_.handle<rpc::Readiness>([this](rpc::Readiness) -> awaitable<rpc::Acknowledgement> {
      co_return rpc::Acknowledgement{is_ready_, "not ready"};
    });
  }

  void listen() {
    control_server_.listen(node::endpoint_of(settings.ports.at("control")));
    readiness_server_.listen(node::endpoint_of(settings.ports.at("readiness")));
    node::listen_at(outbound_acceptor_, node::endpoint_of(settings.ports.at("outbound")), accept_backlog,
                    node::Buffering::bounded);
    node::listen_at(inbound_acceptor_, node::endpoint_of(settings.ports.at("inbound")), accept_backlog,
                    node::Buffering::bounded);
  }

  void serve() {
    control_server_.run();
    readiness_server_.run();
    asio::co_spawn(
        io_,
        rpc::accept(outbound_acceptor_, sockets_, request_limits,
                    [this](auto connection) { return outbound_proxy_.serve(std::move(connection)); }),
        asio::detached);
    asio::co_spawn(
        io_,
        rpc::accept(inbound_acceptor_, sockets_, request_limits,
                    [this](auto connection) { return outbound_proxy_.serve_inner(std::move(connection)); }),
        asio::detached);
  }

  // Once this is acknowledged, a draining server gets no new request, also of a later process here, and its
  // peers have been notified.
  awaitable<rpc::Acknowledgement> on_heartbeat(rpc::Heartbeat heartbeat) {
    take_heartbeat(heartbeat);
    if (heartbeat.draining) return record_retirement(std::move(heartbeat.id));
    return acknowledge();
  }

  awaitable<rpc::Acknowledgement> on_departure(rpc::Departure departure) {
    inbound_proxy_.admission().on_departure(departure.id);
    event_log_.append(EventType::server_down, now(), fmt::format("id={} how=departed", departure.id));
    publish_member_record();
    return record_retirement(std::move(departure.id));
  }

  awaitable<rpc::Acknowledgement> acknowledge() { co_return rpc::Acknowledgement{}; }

  void take_heartbeat(const rpc::Heartbeat& heartbeat) {
    admission::Server reported;
    reported.id = heartbeat.id;
    reported.service = heartbeat.target;
    reported.address = heartbeat.address;
    // A late heartbeat, of before its draining, may reach a process that was not there then.
    reported.draining = heartbeat.draining || retirements_.is_retired(heartbeat.id);
    reported.slots = heartbeat.capacity;
    reported.sequence = heartbeat.sequence;
    admission::AdmissionController& admission = inbound_proxy_.admission();
    const std::string previous_id = admission.has_server() ? admission.server().id : "";
    const bool was_draining = admission.has_server() && admission.server().draining;
    if (!admission.on_heartbeat(now(), reported, heartbeat.warmup_left)) return;
    const bool is_new = previous_id != heartbeat.id;
    if (is_new)
      event_log_.append(EventType::server_up, now(),
                        fmt::format("id={} service={} cold_ms={}", heartbeat.id, heartbeat.target,
                                    heartbeat.warmup_left / 1000));
    if (admission.server().draining && (is_new || !was_draining))
      event_log_.append(EventType::server_draining, now(), fmt::format("id={}", heartbeat.id));
    publish_member_record();
  }

  // Acknowledges once the core has recorded the instance: whoever runs here next will know.
  awaitable<rpc::Acknowledgement> record_retirement(std::string id) {
    gossip::Outbox out;
    const bool is_requested = retirements_.request(now(), id, gossip_.cores(), out);
    send(out);
    const std::int64_t given_up_at = now() + longest_wait_for_record;
    while (is_requested && !retirements_.is_retired(id) && now() < given_up_at) {
      asio::error_code woken;
      co_await retirement_recorded_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    }
    rpc::Acknowledgement acknowledgement;
    acknowledgement.is_success = retirements_.is_retired(id);
    acknowledgement.fault = "the core has not recorded it";
    co_return acknowledgement;
  }

  // What the core has recorded binds here, too: it may be of a process before this one.
  void apply_retirements() {
    admission::AdmissionController& admission = inbound_proxy_.admission();
    if (admission.has_server() && !admission.server().draining &&
        retirements_.is_retired(admission.server().id)) {
      admission.start_draining();
      event_log_.append(EventType::server_draining, now(),
                        fmt::format("id={} how=recorded", admission.server().id));
      publish_member_record();
    }
    if (retirements_.has_requests()) retirement_recorded_.cancel();
  }

  // Sends this machine's record as it is now to the peers.
  void publish_member_record() {
    gossip::MemberRecord record;
    record.leaving = is_stopping_;
    const admission::AdmissionController& admission = inbound_proxy_.admission();
    if (admission.has_server() && !is_server_silent_) {
      const admission::Server& server = admission.server();
      record.server = server.id;
      record.service = server.service;
      record.address = server.address;
      record.draining = server.draining;
      record.slots = server.slots;
      record.cold_ms = std::uint32_t(std::max<std::int64_t>(0, server.warming_up_until - now()) / 1000);
    }
    gossip::Outbox out;
    gossip_.state(now(), record, out);
    send(out);
    apply_state_changes();
  }

  void on_datagram(gossip::Machine from, std::string_view datagram) override {
    gossip::Outbox out;
    gossip_.on_datagram(now(), from, datagram, out);
    send(out);
    apply_retirements();
    apply_state_changes();
  }

  void on_state_changed() override {
    if (configuration_.changes() != routed_configuration_changes_) rebuild_route_table();
    outbound_proxy_.servers(gossip_.members(), now());
    update_readiness();
  }

  // The retry budget's settings take effect with the next state that the proxy is given.
  void on_settings_changed() override { on_state_changed(); }

  void rebuild_route_table() {
    routed_configuration_changes_ = configuration_.changes();
    const bool was_evacuated = is_zone_evacuated();
    route_table_ = route_table_builder_.build(configuration_);
    outbound_proxy_.plan(route_table_);
    log_items();
    if (is_zone_evacuated() == was_evacuated) return;
    event_log_.append(was_evacuated ? EventType::zone_restored : EventType::zone_evacuated, now(),
                      settings.zone);
    if (was_evacuated) assume_server_is_cold();
  }

  bool is_zone_evacuated() const { return route_table_ && route_table_->emptied.contains(settings.zone); }

  // The server may have turned cold unnoticed: it counts as cold until its next heartbeat.
  void assume_server_is_cold() {
    inbound_proxy_.admission().assume_warmup_until(now() + settings.heartbeat_period + heartbeat_slack);
  }

  void log_items() const {
    if (!log::writes(log::part::node, log::level::debug)) return;
    for (const auto& [name, item] : configuration_.items())
      log::debug(log::part::node, "item {} {:08x}{} {}", name, item.version, item.dropped ? " dropped" : "",
                 item.text);
  }

  // A process that has once caught up with the core stays so: its configuration never gets older.
  void update_readiness() {
    const bool is_current = gossip_.caught_up() && routed_configuration_changes_ == configuration_.changes();
    has_caught_up_ = has_caught_up_ || (is_current && route_table_ && !route_table_->hosts.empty());
    outbound_proxy_.ready(has_caught_up_);
    const bool was_ready = std::exchange(is_ready_, has_caught_up_ && !is_stopping_);
    if (is_ready_ != was_ready) event_log_.append(is_ready_ ? EventType::ready : EventType::not_ready, now());
  }

  void on_tick(bool clock_jumped) override {
    if (clock_jumped) assume_server_is_cold();
    gossip::Outbox out;
    gossip_.tick(now(), out);
    if (retirements_.has_requests()) retirement_recorded_.cancel();
    retirements_.tick(now(), gossip_.cores(), out);
    send(out);
    check_server_heartbeat();
    sockets_.sweep();
    control_sockets_.sweep();
    apply_state_changes();
    update_readiness();
    if (++sweep_ticks_ % ticks_between_sweeps == 0) sweep();
    if (may_exit()) io_.stop();
  }

  void check_server_heartbeat() {
    const admission::AdmissionController& admission = inbound_proxy_.admission();
    const std::int64_t longest_silence = missed_heartbeats_until_down * settings.heartbeat_period;
    const bool is_silent =
        admission.has_server() && now() - admission.server().last_heartbeat > longest_silence;
    if (is_silent == is_server_silent_) return;
    is_server_silent_ = is_silent;
    if (is_silent)
      event_log_.append(EventType::server_down, now(),
                        fmt::format("id={} how=silent", admission.server().id));
    publish_member_record();
  }

  void sweep() {
    outbound_proxy_.sweep();
    if (!log::writes(log::part::node, log::level::debug)) return;
    std::string line;
    for (const auto& [name, count] : outbound_proxy_.endings()) line += fmt::format(" {}={};", name, count);
    log::debug(log::part::node, "endings{}", line);
  }

  bool may_exit() const {
    if (!is_stopping_ || now() < earliest_exit_) return false;
    return outbound_proxy_.pending() == 0 || now() >= latest_exit_;
  }

  ResourceUsage resource_usage() const override {
    ResourceUsage usage = memory_usage();
    add_connections(sockets_, usage);
    add_connections(control_sockets_, usage);
    return usage;
  }

  // The application server has ended already. Clients are still connected: what has arrived is answered.
  void on_termination_signal() override {
    if (is_stopping_) return;
    is_stopping_ = true;
    const ShutdownSchedule schedule = ShutdownSchedule::within(settings.grace_period);
    earliest_exit_ = now() + schedule.earliest_end;
    latest_exit_ = now() + schedule.latest_end;
    outbound_proxy_.end_by(clock_.now() + schedule.gives_up_at);
    outbound_proxy_.ends(clock_.now() + schedule.refuses_from);
    publish_member_record();
    update_readiness();
  }

  node::Clock clock_;
  node::Sockets sockets_;
  node::Sockets control_sockets_;
  rpc::Server control_server_, readiness_server_;
  asio::ip::tcp::acceptor outbound_acceptor_, inbound_acceptor_;
  InstanceRetirements retirements_;
  asio::steady_timer retirement_recorded_;  // cancelled to wake who waits for a record
  sidecar::InboundProxy inbound_proxy_;
  sidecar::OutboundProxy outbound_proxy_;
  configuration::RouteTableBuilder route_table_builder_;
  std::shared_ptr<const configuration::RouteTable> route_table_;
  std::uint64_t routed_configuration_changes_ = 0;  // as of `route_table_`
  std::uint64_t sweep_ticks_ = 0;
  bool has_caught_up_ = false;
  bool is_ready_ = false;
  bool is_stopping_ = false;
  bool is_server_silent_ = false;
  std::int64_t earliest_exit_ = 0, latest_exit_ = 0;
};

}  // namespace

int run_sidecar(const Start& start) {
  return run_process(start, bootstrap::MachineKind::server,
                     [&start](bootstrap::Settings settings) -> storage::result<int> {
                       SidecarProcess process(std::move(settings), start.settings);
                       return process.run();
                     });
}

}  // namespace robinpin::app
