// The role on each core machine.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "../control_plane/replicated_state.h"
#include "../rpc/calls.h"
#include "mesh_process.h"
#include "replica_store.h"
#include "status_json.h"

namespace robinpin::app {

namespace {

using namespace std::chrono_literals;
using asio::awaitable;
using control_plane::OperatorRequest;
using control_plane::RequestOutcome;
using control_plane::ValidatedCall;
using event_log::EventType;
using RequestKind = OperatorRequest::what;

constexpr codec::Limits control_call_limits = {16 * 1024, 16 * 1024 * 1024};
constexpr std::chrono::milliseconds control_call_timeout = 30s;
constexpr int reserved_descriptors = 264;  // the store's files, and sockets other than those of control calls
constexpr int least_descriptors = 32;

// Microseconds.
constexpr std::int64_t reply_slack = 150'000;  // that an outcome may reach its caller late
constexpr std::int64_t longest_handover = 2'500'000;
constexpr std::int64_t tick_distance = 100'000;
constexpr std::int64_t shortest_wake_up = 1'000;

std::uint64_t draw_random_seed_64(const bootstrap::Settings& settings) {
  return (std::uint64_t(draw_random_seed(settings)) << 32) | draw_random_seed(settings);
}

class ControlPlaneProcess : public MeshProcess {
 public:
  ControlPlaneProcess(bootstrap::Settings initial_settings, std::string settings_path, ReplicaStore replica)
      : MeshProcess(std::move(initial_settings), std::move(settings_path), bootstrap::MachineKind::core),
        sockets_(most_connections(std::max(least_descriptors, settings.file_limit - reserved_descriptors)),
                 memory_budget_),
        replica_(std::move(replica)),
        replicated_state_(transport::parse_address(settings.ip), configuration_, gossip_, *replica_.store,
                          draw_random_seed_64(settings), {settings.contact_timeout}),
        control_server_(io_, sockets_, control_call_limits,
                        {.call_timeout = control_call_timeout, .only_for_connected_callers = true}),
        wake_up_timer_(io_),
        handover_timer_(io_) {
    register_calls();
  }

  storage::result<int> run() {
    if (auto opened = open_transport(); !opened) return opened.error();
    auto begun = replicated_state_.start(now(), settings.first_start, parse_machines(settings.seed_nodes));
    if (!begun) return begun.error();
    control_server_.listen(node::endpoint_of(settings.ports.at("control")));
    log_start();
    control_server_.run();
    start_events();
    gossip::Outbox out;
    gossip_.state(now(), {}, out);
    replicated_state_.tick(now(), out);
    send(out);
    io_.run();
    exit_process(has_storage_failed_ ? 1 : 0);
  }

 private:
  void register_calls() {
    control_server_.handle<rpc::Adjust>([this](rpc::Adjust call) { return adjust(call.body); });
    control_server_.handle<rpc::Read>([this](rpc::Read) { return execute({RequestKind::read, {}}); });
    control_server_.handle<rpc::Evacuation<true>>([this](rpc::Evacuation<true> call) {
      return execute_for_zone(RequestKind::begin, std::move(call.zone));
    });
    control_server_.handle<rpc::Evacuation<false>>([this](rpc::Evacuation<false> call) {
      return execute_for_zone(RequestKind::finish, std::move(call.zone));
    });
    control_server_.handle<rpc::CoreSize>([this](rpc::CoreSize call) {
      return execute({RequestKind::size, std::move(call.count)});
    });
    control_server_.handle<rpc::Status>([this](rpc::Status) -> awaitable<rpc::Reply> {
      const ProcessView process{settings,        configuration_,   gossip_, *transport_,
                                *memory_budget_, resource_usage(), now()};
      co_return rpc::Reply{200, control_plane_status_json(process, replicated_state_), {}};
    });
    control_server_.handle<rpc::Readiness>([this](rpc::Readiness) -> awaitable<rpc::Acknowledgement> {
      co_return rpc::Acknowledgement{replicated_state_.is_current(now()),
                                     "not in contact with a majority of the core"};
    });
  }

  void log_start() {
    event_log_.append(
        EventType::role_started, now(),
        fmt::format("role=control-plane node={} items={}", settings.node, configuration_.items().size()));
    if (!replica_.quarantine_reason.empty())
      event_log_.append(EventType::storage_quarantined, now(), replica_.quarantine_reason);
    event_log_.append(EventType::replica_stale, now());
  }

  // An unknown zone is probably misspelt: 404. A zone that the state has ever had is known whatever the
  // settings say by now, so that an evacuation can always be revoked, and a repeated call be acknowledged.
  awaitable<rpc::Reply> execute_for_zone(RequestKind kind, std::string zone) {
    if (!settings.may_be_zone(zone) &&
        !configuration_.find(std::string(configuration::evacuation_prefix) + zone))
      co_return rpc::Reply{404, R"({"fault":"the settings know no such zone"})", {}};
    OperatorRequest request{kind, std::move(zone)};
    co_return co_await execute(std::move(request));
  }

  // A call is read only where the account has room for what that takes, and holds its items until it ends.
  awaitable<rpc::Reply> adjust(std::string_view body) {
    constexpr auto use = node::MemoryBudget::Use::ordinary;
    node::MemoryBudget::Reservation reservation(memory_budget_);
    const std::size_t needed = configuration::bytes_to_read(body);
    if (needed > memory_budget_->limit())
      co_return rpc::Reply{413, R"({"fault":"more values than this core has memory for"})", {}};
    if (!reservation.resize(needed, use)) co_return no_memory();
    ValidatedCall call(configuration::read_call(body));
    if (!reservation.resize(call.bytes(), use)) co_return no_memory();
    co_return co_await execute(RequestKind::adjust, std::move(call));
  }
  static rpc::Reply no_memory() { return {503, R"({"fault":"no memory for the call"})", {}}; }

  awaitable<rpc::Reply> execute(OperatorRequest request) {
    const RequestKind kind = request.is;
    return execute(kind, ValidatedCall(std::move(request)));
  }

  awaitable<rpc::Reply> execute(RequestKind kind, ValidatedCall call) {
    struct PendingOutcome {
      explicit PendingOutcome(asio::io_context& io)
          : arrived(io, std::chrono::steady_clock::time_point::max()) {}
      asio::steady_timer arrived;  // cancelled once the outcome is there
      std::optional<RequestOutcome> outcome;
    };
    const auto pending = std::make_shared<PendingOutcome>(io_);
    const std::int64_t begun = now();
    gossip::Outbox out;
    replicated_state_.submit(
        now(), std::move(call),
        [pending](RequestOutcome outcome) {
          pending->outcome = std::move(outcome);
          pending->arrived.cancel();
        },
        out);
    send(out);
    while (!pending->outcome) {
      asio::error_code cancelled;
      co_await pending->arrived.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
    apply_state_changes();
    log_outcome(kind, *pending->outcome);
    const int status = pending->outcome->status;
    // A read or a rejection describes the state of that time only, which this process may have outlived while
    // it stood still. An acknowledged change stays acknowledged.
    const bool expires = status != 200 || kind == RequestKind::read;
    const std::int64_t valid_until =
        expires ? begun + control_plane::ReplicatedState::request_timeout + reply_slack : 0;
    rpc::Reply reply{status, std::move(pending->outcome->body), {}, valid_until};
    reply.shared_body = std::move(pending->outcome->shared_body);
    co_return reply;
  }

  void log_outcome(RequestKind kind, const RequestOutcome& outcome) {
    if (outcome.status == 503)
      event_log_.append(EventType::change_undecided, now(), outcome.body);
    else if (outcome.status >= 400)
      event_log_.append(EventType::change_rejected, now(), outcome.body);
    else if (kind == RequestKind::adjust)
      event_log_.append(EventType::change_committed, now());
    else if (kind == RequestKind::begin)
      event_log_.append(EventType::zone_evacuated, now());
    else if (kind == RequestKind::finish)
      event_log_.append(EventType::zone_restored, now());
  }

  void on_datagram(gossip::Machine from, std::string_view datagram) override {
    gossip::Outbox out;
    if (control_plane::is_control_plane_message(datagram)) {
      replicated_state_.on_datagram(now(), from, datagram, out);
    } else {
      gossip_.whole(replicated_state_.is_current(now()));  // as of now: this process may have stood still
      gossip_.on_datagram(now(), from, datagram, out);
    }
    send(out);
    follow_replicated_state();
  }

  void on_tick(bool) override {
    gossip::Outbox out;
    replicated_state_.tick(now(), out);
    gossip_.tick(now(), out);
    send(out);
    sockets_.sweep();
    follow_replicated_state();
  }

  // Whatever may have changed the replicated state is followed by this.
  void follow_replicated_state() {
    stop_if_storage_failed();
    log_freshness();
    log_voters();
    if (is_leaving_ && replicated_state_.may_stop()) io_.stop();
    schedule_wake_up();
    apply_state_changes();
  }

  // A disk that has failed once is not trusted any more: the process ends, and the next one reads what lasts.
  void stop_if_storage_failed() {
    if (has_storage_failed_ || !replicated_state_.storage_failure()) return;
    has_storage_failed_ = true;
    const storage::Error& error = *replicated_state_.storage_failure();
    event_log_.append(EventType::storage_failed, now(),
                      fmt::format("{} {}: {}", storage::to_string(error.step), error.peer, error.reason));
    io_.stop();
  }

  void log_freshness() {
    const bool is_fresh = replicated_state_.is_current(now());
    if (is_fresh == was_fresh_) return;
    was_fresh_ = is_fresh;
    event_log_.append(is_fresh ? EventType::replica_current : EventType::replica_stale, now());
  }

  void log_voters() {
    const auto& voters = replicated_state_.voters();
    if (voters.version == logged_epoch_) return;
    logged_epoch_ = voters.version;
    std::string addresses;
    for (const auto& voter : voters.all())
      addresses += fmt::format(" {}", transport::format_address(gossip::Machine(std::stoul(voter.address))));
    event_log_.append(
        EventType::voters_changed, now(),
        fmt::format("epoch={} changing={} who={}", logged_epoch_, voters.changing(), addresses));
  }

  // Ticks the replicated state before the next regular tick if something is due sooner.
  void schedule_wake_up() {
    const std::int64_t due = replicated_state_.next_deadline();
    if (due >= now() + tick_distance || due == scheduled_wake_up_) return;
    scheduled_wake_up_ = due;
    wake_up_timer_.expires_after(std::chrono::microseconds(std::max(shortest_wake_up, due - now())));
    wake_up_timer_.async_wait([this](asio::error_code error) {
      if (error) return;
      scheduled_wake_up_ = 0;
      gossip::Outbox out;
      replicated_state_.tick(now(), out);
      send(out);
      follow_replicated_state();
    });
  }

  void on_state_changed() override {}
  void on_settings_changed() override { replicated_state_.set_seeds(parse_machines(settings.seed_nodes)); }

  // A vote that another machine can take over is handed over first.
  ResourceUsage resource_usage() const override {
    ResourceUsage usage = memory_usage();
    add_connections(sockets_, usage);
    return usage;
  }

  void on_termination_signal() override {
    if (is_leaving_) return;
    is_leaving_ = true;
    gossip::Outbox out;
    replicated_state_.start_leaving(now(), out);
    send(out);
    const std::int64_t handover_time = std::min(settings.grace_period / 2, longest_handover);
    handover_timer_.expires_after(std::chrono::microseconds(handover_time));
    handover_timer_.async_wait([this](asio::error_code error) {
      if (!error) io_.stop();
    });
    follow_replicated_state();
  }

  node::Sockets sockets_;
  const ReplicaStore replica_;
  control_plane::ReplicatedState replicated_state_;
  rpc::Server control_server_;
  asio::steady_timer wake_up_timer_, handover_timer_;
  std::int64_t scheduled_wake_up_ = 0;  // 0: none
  std::uint64_t logged_epoch_ = 0;
  bool was_fresh_ = false;
  bool has_storage_failed_ = false;
  bool is_leaving_ = false;
};

}  // namespace

int run_control_plane(const Start& start) {
  return run_process(start, bootstrap::MachineKind::core,
                     [&start](bootstrap::Settings settings) -> storage::result<int> {
                       BOOST_LEAF_AUTO(replica, open_replica_store(settings.data_dir + "/trove"));
                       if (!replica.quarantine_reason.empty()) settings.first_start = false;
                       ControlPlaneProcess process(std::move(settings), start.settings, std::move(replica));
                       return process.run();
                     });
}

}  // namespace robinpin::app
