#include "mesh_process.h"

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <cstdlib>
#include <random>
#include <utility>

#include "../log/log.h"
#include "crash_report.h"

namespace robinpin::app {

namespace {

using event_log::EventType;
using namespace std::chrono_literals;

constexpr auto tick_interval = 100ms;
constexpr std::size_t bytes_per_megabyte = 1024 * 1024;
constexpr std::uint64_t ticks_between_resource_checks = 5;
constexpr std::int64_t memory_log_interval = 10'000'000;  // microseconds
constexpr std::int64_t clock_jump_threshold = 1'000'000;  // microseconds from one tick to the next

log::level log_level_of(EventType type) {
  switch (type) {
    case EventType::storage_failed:
    case EventType::settings_rejected:
    case EventType::process_crashed:
      return log::level::error;
    case EventType::clock_jumped:
    case EventType::memory_short:
    case EventType::memory_high:
    case EventType::descriptors_short:
    case EventType::change_undecided:
    case EventType::replica_stale:
    case EventType::storage_quarantined:
      return log::level::warning;
    default:
      return log::level::info;
  }
}

void log_event(const event_log::Event& event) {
  const log::level level = log_level_of(event.type);
  if (!log::writes(log::part::node, level)) return;
  log::write(log::part::node, level, fmt::format("E{} {}", int(event.type), event.text));
}

// From the wall clock, so that a later incarnation of a machine's process is higher. If the clock was set
// back, the first message from a peer raises it.
std::uint64_t new_incarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

std::shared_ptr<node::MemoryBudget> make_memory_budget(const bootstrap::Settings& settings) {
  // The rest is the process's own: its code, its state, and what the allocator cannot use.
  constexpr double part_for_peers = 0.4;
  return std::make_shared<node::MemoryBudget>(
      std::size_t(double(settings.memory_mb) * bytes_per_megabyte * part_for_peers));
}

}  // namespace

std::vector<gossip::Machine> parse_machines(const std::vector<std::string>& addresses) {
  std::vector<gossip::Machine> machines;
  machines.reserve(addresses.size());
  for (const auto& address : addresses) machines.push_back(transport::parse_address(address));
  return machines;
}

std::uint32_t draw_random_seed(const bootstrap::Settings& settings) {
  return std::uint32_t(configuration::hashed(settings.ip, std::random_device{}()));
}

MeshProcess::MeshProcess(bootstrap::Settings initial_settings, std::string settings_path,
                         bootstrap::MachineKind kind)
    : current_settings_(std::move(initial_settings)),
      event_log_(log_event),
      memory_budget_(make_memory_budget(settings)),
      gossip_({transport::parse_address(settings.ip), settings.zone, kind == bootstrap::MachineKind::core},
              new_incarnation(), parse_machines(settings.seed_nodes), configuration_,
              draw_random_seed(settings)),
      settings_watcher_(bootstrap::settings_path(settings_path), kind),
      tick_timer_(io_),
      apply_timer_(io_),
      signals_(io_, SIGTERM, SIGINT, SIGHUP) {}

std::int64_t MeshProcess::now() const {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_start).count();
}

storage::result<void> MeshProcess::open_transport() {
  BOOST_LEAF_ASSIGN(transport_, transport::UdpTransport::open(io_, transport::parse_address(settings.ip),
                                                              settings.internal_port));
  return {};
}

void MeshProcess::start_events() {
  transport_->set_handler(
      [this](gossip::Machine from, std::string_view datagram) { on_datagram(from, datagram); });
  last_tick_ = now();
  watch_signals();
  schedule_tick();
}

void MeshProcess::send(const gossip::Outbox& out) {
  const gossip::Machine self = transport::parse_address(settings.ip);
  for (const auto& datagram : out) {
    if (datagram.to != self) {
      transport_->send(datagram.to, datagram.bytes);
      continue;
    }
    // Posted, so that the datagrams to others leave first.
    asio::post(io_, [this, self, bytes = datagram.bytes] { on_datagram(self, bytes); });
  }
}

void MeshProcess::exit_process(int exit_code) {
  event_log_.append(EventType::process_exiting, now(), fmt::format("code={}", exit_code));
  log::finish();
  std::_Exit(exit_code);
}

void MeshProcess::apply_state_changes() {
  if (apply_pending_) return;
  const std::uint64_t configuration_changes = configuration_.changes();
  const std::uint64_t membership_changes = gossip_.members().changes();
  if (configuration_changes == applied_configuration_changes_ &&
      membership_changes == applied_membership_changes_)
    return;
  const std::int64_t at = now();
  if (!apply_throttle_.due(at)) {
    apply_state_changes_later(at);
    return;
  }
  applied_configuration_changes_ = configuration_changes;
  applied_membership_changes_ = membership_changes;
  on_state_changed();
  apply_throttle_.applied(at, now());
}

void MeshProcess::apply_state_changes_later(std::int64_t at) {
  apply_pending_ = true;
  apply_timer_.expires_after(std::chrono::microseconds(apply_throttle_.next() - at));
  apply_timer_.async_wait([this](asio::error_code error) {
    if (error) return;
    apply_pending_ = false;
    apply_state_changes();
  });
}

void MeshProcess::schedule_tick() {
  tick_timer_.expires_after(tick_interval);
  tick_timer_.async_wait([this](asio::error_code error) {
    if (error) return;
    tick();
    schedule_tick();
  });
}

void MeshProcess::tick() {
  const std::int64_t at = now();
  const bool clock_jumped = at - last_tick_ > clock_jump_threshold;
  last_tick_ = at;
  if (clock_jumped) recover_from_clock_jump(at);
  check_settings(false);
  on_tick(clock_jumped);
  log_configuration_changes(at);
  log_memory_shortage(at);
  if (++ticks_ % ticks_between_resource_checks == 0) log_resources(at);
}

void MeshProcess::log_resources(std::int64_t at) {
  const ResourceUsage usage = resource_usage();
  if (const auto notice = resource_watch_.memory_notice(at, usage))
    event_log_.append(notice->type, at, notice->text);
  if (const auto notice = resource_watch_.descriptor_notice(at, usage))
    event_log_.append(notice->type, at, notice->text);
}

int MeshProcess::most_connections(int descriptors) const {
  constexpr std::size_t part_for_kernel_buffers = 3;  // of this process's memory, as a divisor
  constexpr int least_connections = 32;
  const std::size_t bytes = std::size_t(settings.memory_mb) * bytes_per_megabyte / part_for_kernel_buffers;
  return std::min(descriptors, std::max(least_connections, int(bytes / node::SocketBuffers::narrow_total)));
}

ResourceUsage MeshProcess::memory_usage() const {
  ResourceUsage usage;
  usage.resident_bytes = resident_bytes();
  usage.memory_limit_bytes = std::size_t(settings.memory_mb) * bytes_per_megabyte;
  return usage;
}

void MeshProcess::add_connections(const node::Sockets& sockets, ResourceUsage& usage) {
  usage.unread_bytes += sockets.unread_bytes();
  usage.unsent_bytes += sockets.unsent_bytes();
  usage.connections += sockets.open();
  usage.connection_limit += sockets.most();
  usage.connections_refused += sockets.refused();
}

void MeshProcess::log_memory_shortage(std::int64_t at) {
  const node::MemoryBudget& account = *memory_budget_;
  const std::uint64_t refusals = account.refused() + account.evicted();
  if (refusals == logged_memory_refusals_ || at < next_memory_log_) return;
  logged_memory_refusals_ = refusals;
  next_memory_log_ = at + memory_log_interval;
  event_log_.append(EventType::memory_short, at,
                    fmt::format("limit={} in_use={} refused={} closed={} over_share={} last_server={}",
                                account.limit(), account.in_use(), account.refused(), account.evicted(),
                                account.refused_by_share(), account.last_refused_server()));
}

void MeshProcess::recover_from_clock_jump(std::int64_t at) {
  event_log_.append(EventType::clock_jumped, at);
  gossip::Outbox out;
  gossip_.leapt(at, out);
  send(out);
}

void MeshProcess::log_configuration_changes(std::int64_t at) {
  if (configuration_.changes() == logged_configuration_changes_) return;
  logged_configuration_changes_ = configuration_.changes();
  event_log_.append(
      EventType::items_changed, at,
      fmt::format("items={} changes={}", configuration_.items().size(), logged_configuration_changes_));
}

void MeshProcess::check_settings(bool signalled) {
  boost::leaf::try_handle_all(
      [&]() -> storage::result<void> {
        BOOST_LEAF_AUTO(next, settings_watcher_.poll(now(), signalled, current_settings_));
        if (next) apply_settings(std::move(*next), signalled);
        return {};
      },
      [&](const storage::Error& error) {
        event_log_.append(EventType::settings_rejected, now(), error.reason);
      },
      [] {});
}

void MeshProcess::apply_settings(bootstrap::Settings next, bool signalled) {
  const bool is_changed = next != current_settings_;
  current_settings_ = std::move(next);
  event_log_.append(EventType::settings_applied, now(),
                    fmt::format("how={} changed={} seeds={}", signalled ? "signal" : "seen", is_changed,
                                current_settings_.seed_nodes.size()));
  if (!is_changed) return;
  gossip::Outbox out;
  gossip_.seeds(now(), parse_machines(current_settings_.seed_nodes), out);
  send(out);
  on_settings_changed();
}

void MeshProcess::watch_signals() {
  signals_.async_wait([this](asio::error_code error, int signal) {
    if (error) return;
    if (signal == SIGHUP) {
      check_settings(true);
    } else {
      event_log_.append(EventType::stop_requested, now());
      on_termination_signal();
    }
    watch_signals();
  });
}

namespace {
// What is freed goes back to the system, however long the messages were that passed: without a fixed
// threshold the allocator keeps blocks as long as the longest ever freed.
void return_freed_memory() {
  constexpr int mapped_from_bytes = 128 * 1024;
  constexpr int kept_bytes = 1024 * 1024;
  ::mallopt(M_MMAP_THRESHOLD, mapped_from_bytes);
  ::mallopt(M_TRIM_THRESHOLD, kept_bytes);
}
}  // namespace

int run_process(const Start& start, bootstrap::MachineKind kind,
                const std::function<storage::result<int>(bootstrap::Settings)>& role) {
  constexpr int start_failed = 1;
  std::signal(SIGPIPE, SIG_IGN);
  return_freed_memory();
  install_crash_report();
  return boost::leaf::try_handle_all(
      [&]() -> storage::result<int> {
        BOOST_LEAF_AUTO(settings, bootstrap::load_settings(start.settings, kind));
        return role(std::move(settings));
      },
      [](const storage::Error& error) {
        fmt::print(stderr, "robinpin: {} {}: {}{}", storage::to_string(error.step), error.peer, error.reason,
                   error.reason.ends_with('\n') ? "" : "\n");
        return start_failed;
      },
      [](const std::exception& error) {
        fmt::print(stderr, "robinpin: {}\n", error.what());
        return start_failed;
      },
      [] {
        fmt::print(stderr, "robinpin: unknown error\n");
        return start_failed;
      });
}

}  // namespace robinpin::app
