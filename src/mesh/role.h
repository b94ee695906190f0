// What the two roles share: the loop, what the process is told and by whom, the span, the journal of events.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "../chronicle/event_log.h"
#include "../creed/creed.h"
#include "../ground/settings.h"
#include "../rumour/rumour.h"
#include "../span/address.h"
#include "../span/udp_transport.h"
#include "apply_throttle.h"
#include "lookout.h"

namespace robinpin::mesh {

struct Start {
  std::string settings;  // a path, or empty: as ROBINPIN_CONFIG says
};

// Each runs until SIGTERM or SIGINT; the exit code.
int ambit(const Start& start);
int locus(const Start& start);

class Role {
 public:
  Role(ground::Settings settings, std::string path, bool core);
  virtual ~Role() = default;

 private:
  ground::Settings held_;

 public:
  const ground::Settings& settings = held_;  // what parts hold on to: as last taken on

 protected:
  trove::result<void> open();  // the span
  void begin();                // ticks and signals
  void send(const rumour::Outbox& out);
  std::int64_t now() const;
  virtual void heard(rumour::Machine from, std::string_view datagram) = 0;
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
  chronicle::EventLog chronicle_;
  creed::Creed creed_;
  rumour::Rumour rumour_;
  std::unique_ptr<span::UdpTransport> span_;
  const std::int64_t begun_;

 private:
  void tick();
  void signals();
  void look(bool signalled);
  Lookout lookout_;
  asio::steady_timer timer_, learns_;
  asio::signal_set signals_;
  std::int64_t last_tick_ = 0;
  ApplyThrottle throttle_;
  bool learns_later_ = false;
  std::uint64_t items_seen_ = 0, records_seen_ = 0, items_told_ = 0;
};

std::uint32_t chance_of(const ground::Settings& s);
std::vector<rumour::Machine> machines_of(const std::vector<std::string>& addresses);

}  // namespace robinpin::mesh
