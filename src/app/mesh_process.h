// What the two roles share: the loop, what the process is told and by whom, the span, the journal of events.
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
#include "../transport/address.h"
#include "../transport/udp_transport.h"
#include "apply_throttle.h"
#include "settings_watcher.h"

namespace robinpin::app {

struct Start {
  std::string settings;  // a path, or empty: as ROBINPIN_CONFIG says
};

// Each runs until SIGTERM or SIGINT; the exit code.
int run_sidecar(const Start& start);
int run_control_plane(const Start& start);

class MeshProcess {
 public:
  MeshProcess(bootstrap::Settings settings, std::string path, bool core);
  virtual ~MeshProcess() = default;

 private:
  bootstrap::Settings held_;

 public:
  const bootstrap::Settings& settings = held_;  // what parts hold on to: as last taken on

 protected:
  storage::result<void> open();  // the span
  void begin();                  // ticks and signals
  void send(const gossip::Outbox& out);
  std::int64_t now() const;
  virtual void on_datagram(gossip::Machine from, std::string_view datagram) = 0;
  virtual void ticked(bool leapt) = 0;  // every 100 ms or so
  virtual void told_to_end() = 0;
  // What was learnt may change what this process acts on.
  virtual void learnt() = 0;
  // Other settings are in force, and their seeds have been asked.
  virtual void switched() = 0;
  // Ends the process without unwinding: coroutines at rest hold on to parts that would go before them.
  [[noreturn]] void leave(int code);
  // Calls learnt() where the state or the roll has changed: at once, but where changes come by the hundred so
  // seldom that it takes a part of the processor only.
  void changed();

  asio::io_context io_;
  event_log::EventLog event_log_;
  configuration::ConfigurationStore configuration_;
  gossip::Gossip gossip_;
  std::unique_ptr<transport::UdpTransport> transport_;
  const std::int64_t begun_;

 private:
  void tick();
  void signals();
  void look(bool signalled);
  SettingsWatcher settings_watcher_;
  asio::steady_timer timer_, learns_;
  asio::signal_set signals_;
  std::int64_t last_tick_ = 0;
  ApplyThrottle throttle_;
  bool learns_later_ = false;
  std::uint64_t items_seen_ = 0, records_seen_ = 0, items_told_ = 0;
};

std::uint32_t chance_of(const bootstrap::Settings& s);
std::vector<gossip::Machine> machines_of(const std::vector<std::string>& addresses);

}  // namespace robinpin::app
