#include "mesh_process.h"

#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <cstdlib>
#include <random>

#include "../log/log.h"

namespace robinpin::app {

namespace {
using namespace std::chrono_literals;
constexpr auto tick_every = 100ms;
constexpr std::int64_t leap =
    1'000'000;  // microseconds beyond its time that a tick may come before it tells of a stop

log::level level_of(event_log::EventType e) {
  using event_log::EventType;
  return e == EventType::storage_failed || e == EventType::settings_rejected ? log::level::error
         : e == EventType::clock_jumped || e == EventType::change_undecided ||
                 e == EventType::replica_stale || e == EventType::storage_quarantined
             ? log::level::warning
             : log::level::info;
}

// Of the wall clock, so that a later incarnation of a machine's process is higher; where the clock was set
// back, the first word from others lifts it.
std::uint64_t incarnation() {
  return std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count());
}
}  // namespace

std::vector<gossip::Machine> machines_of(const std::vector<std::string>& addresses) {
  std::vector<gossip::Machine> found;
  for (const auto& a : addresses) found.push_back(transport::parse_address(a));
  return found;
}

std::uint32_t chance_of(const bootstrap::Settings& s) {
  return std::uint32_t(configuration::hashed(s.ip, std::random_device{}()));
}

MeshProcess::MeshProcess(bootstrap::Settings told, std::string path, bool core)
    : held_(std::move(told)),
      event_log_([](const event_log::Event& e) {
        const auto l = level_of(e.type);
        if (log::writes(log::part::node, l))
          log::write(log::part::node, l, fmt::format("E{} {}", int(e.type), e.text));
      }),
      gossip_({transport::parse_address(settings.ip), settings.zone, core}, incarnation(),
              machines_of(settings.seed_nodes), configuration_, chance_of(settings)),
      begun_(now()),
      settings_watcher_(bootstrap::settings_path(path), core),
      timer_(io_),
      learns_(io_),
      signals_(io_, SIGTERM, SIGINT) {
  signals_.add(SIGHUP);
}

std::int64_t MeshProcess::now() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

storage::result<void> MeshProcess::open() {
  BOOST_LEAF_ASSIGN(transport_, transport::UdpTransport::open(io_, transport::parse_address(settings.ip),
                                                              settings.internal_port));
  return {};
}

void MeshProcess::begin() {
  transport_->set_handler(
      [this](gossip::Machine from, std::string_view datagram) { on_datagram(from, datagram); });
  last_tick_ = now();
  signals();
  tick();
}

void MeshProcess::send(const gossip::Outbox& out) {
  const gossip::Machine self = transport::parse_address(settings.ip);
  for (const auto& d : out)
    if (d.to == self)
      asio::post(io_, [this, self, bytes = d.bytes] {
        on_datagram(self, bytes);
      });  // once the others' are on their way
    else
      transport_->send(d.to, d.bytes);
}

void MeshProcess::leave(int code) {
  event_log_.append(event_log::EventType::process_exiting, now(), fmt::format("code={}", code));
  log::finish();
  std::_Exit(code);
}

void MeshProcess::changed() {
  if (learns_later_ ||
      (configuration_.changes() == items_seen_ && gossip_.members().changes() == records_seen_))
    return;
  const std::int64_t at = now();
  if (!throttle_.due(at)) {
    learns_later_ = true;
    learns_.expires_after(std::chrono::microseconds(throttle_.next() - at));
    learns_.async_wait([this](asio::error_code over) {
      if (over) return;
      learns_later_ = false;
      changed();
    });
    return;
  }
  items_seen_ = configuration_.changes();
  records_seen_ = gossip_.members().changes();
  learnt();
  throttle_.applied(at, now());
}

void MeshProcess::tick() {
  timer_.expires_after(tick_every);
  timer_.async_wait([this](asio::error_code over) {
    if (over) return;
    const std::int64_t at = now();
    const bool leapt = at - last_tick_ > leap;
    last_tick_ = at;
    if (leapt) {
      event_log_.append(event_log::EventType::clock_jumped, at);
      gossip::Outbox out;
      gossip_.leapt(at, out);
      send(out);
    }
    look(false);
    ticked(leapt);
    if (configuration_.changes() != items_told_) {
      items_told_ = configuration_.changes();
      event_log_.append(event_log::EventType::items_changed, at,
                        fmt::format("items={} changes={}", configuration_.items().size(), items_told_));
    }
    tick();
  });
}

void MeshProcess::look(bool signalled) {
  boost::leaf::try_handle_all(
      [&]() -> storage::result<void> {
        BOOST_LEAF_AUTO(next, settings_watcher_.look(now(), signalled, held_));
        if (!next) return {};
        const bool news = *next != held_;
        held_ = std::move(*next);
        event_log_.append(event_log::EventType::settings_applied, now(),
                          fmt::format("how={} changed={} seeds={}", signalled ? "signal" : "seen", news,
                                      held_.seed_nodes.size()));
        if (!news) return {};
        gossip::Outbox out;
        gossip_.seeds(now(), machines_of(held_.seed_nodes), out);
        send(out);
        switched();
        return {};
      },
      [&](const storage::Error& t) {
        event_log_.append(event_log::EventType::settings_rejected, now(), t.reason);
      },
      [] {});
}

void MeshProcess::signals() {
  signals_.async_wait([this](asio::error_code over, int signal) {
    if (over) return;
    if (signal == SIGHUP) {
      look(true);
    } else {
      event_log_.append(event_log::EventType::stop_requested, now());
      told_to_end();
    }
    signals();
  });
}

}  // namespace robinpin::app
