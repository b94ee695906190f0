// What both roles of the mesh share: the event loop, gossip, settings and signals.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "../bootstrap/settings.h"
#include "../configuration/configuration_store.h"
#include "../event_log/event_log.h"
#include "../gossip/gossip.h"
#include "../net/connection.h"
#include "../net/memory_budget.h"
#include "../transport/address.h"
#include "../transport/udp_transport.h"
#include "apply_throttle.h"
#include "resource_watch.h"
#include "settings_watcher.h"

namespace robinpin::app {

struct Start {
  std::string settings;  // path of the settings file; empty: what ROBINPIN_CONFIG names
};

// Each runs its role until SIGTERM or SIGINT. Returns an exit code if the role cannot start; a role that has
// started ends the process itself.
int run_sidecar(const Start& start);
int run_control_plane(const Start& start);

// One role of the mesh as a process. One thread runs all of it. Times are microseconds of the steady clock.
class MeshProcess {
 public:
  MeshProcess(bootstrap::Settings settings, std::string settings_path, bootstrap::MachineKind kind);
  virtual ~MeshProcess() = default;
  MeshProcess(const MeshProcess&) = delete;
  MeshProcess& operator=(const MeshProcess&) = delete;

 private:
  bootstrap::Settings current_settings_;

 public:
  // The settings in force. Parts of the process keep this reference and see changed settings at once.
  const bootstrap::Settings& settings = current_settings_;

 protected:
  // Opens the datagram transport. Errors: the address cannot be bound.
  storage::result<void> open_transport();
  // Starts to receive datagrams, to tick and to watch for signals.
  void start_events();
  void send(const gossip::Outbox& out);
  std::int64_t now() const;
  // Calls on_state_changed() if the configuration or the membership has changed since the last call: at once,
  // or later where changes come so often that applying them would take too much processor time.
  void apply_state_changes();
  ResourceUsage memory_usage() const;  // without its connections
  // How many connections may be open with so many descriptors: the kernel's buffers of all of them have to
  // fit in this process's memory.
  int most_connections(int descriptors) const;
  // Adds what the connections of one port or of several take.
  static void add_connections(const node::Sockets& sockets, ResourceUsage& usage);
  // Ends the process without destructors: suspended coroutines refer to parts that would be destroyed first.
  [[noreturn]] void exit_process(int exit_code);

  virtual void on_datagram(gossip::Machine from, std::string_view datagram) = 0;
  // About every 100 ms. `clock_jumped`: the process stood still since the last tick.
  virtual void on_tick(bool clock_jumped) = 0;
  virtual void on_termination_signal() = 0;
  // The configuration or the membership has changed.
  virtual void on_state_changed() = 0;
  // Of its connections at all ports.
  virtual ResourceUsage resource_usage() const = 0;
  // Other settings are in force, and their seed nodes have been asked.
  virtual void on_settings_changed() = 0;

  asio::io_context io_;
  event_log::EventLog event_log_;
  // Of what this process holds for its peers, at all its ports.
  const std::shared_ptr<node::MemoryBudget> memory_budget_;
  configuration::ConfigurationStore configuration_;
  gossip::Gossip gossip_;
  std::unique_ptr<transport::UdpTransport> transport_;

 private:
  void schedule_tick();
  void tick();
  void recover_from_clock_jump(std::int64_t at);
  void log_configuration_changes(std::int64_t at);
  void log_memory_shortage(std::int64_t at);
  void log_resources(std::int64_t at);
  void watch_signals();
  void check_settings(bool signalled);
  void apply_settings(bootstrap::Settings next, bool signalled);
  void apply_state_changes_later(std::int64_t at);

  SettingsWatcher settings_watcher_;
  asio::steady_timer tick_timer_, apply_timer_;
  asio::signal_set signals_;
  std::int64_t last_tick_ = 0;
  ApplyThrottle apply_throttle_;
  ResourceWatch resource_watch_;
  std::uint64_t ticks_ = 0;
  bool apply_pending_ = false;
  std::uint64_t applied_configuration_changes_ = 0;
  std::uint64_t applied_membership_changes_ = 0;
  std::uint64_t logged_configuration_changes_ = 0;
  std::uint64_t logged_memory_refusals_ = 0;
  std::int64_t next_memory_log_ = 0;
};

// Loads the settings and runs the role with them; prints what prevents its start on standard error.
int run_process(const Start& start, bootstrap::MachineKind kind,
                const std::function<storage::result<int>(bootstrap::Settings)>& role);

std::uint32_t draw_random_seed(const bootstrap::Settings& settings);
std::vector<gossip::Machine> parse_machines(const std::vector<std::string>& addresses);

}  // namespace robinpin::app
