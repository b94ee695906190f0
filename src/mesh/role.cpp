#include "role.h"

#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <cstdlib>
#include <random>

#include "../log/log.h"

namespace robinpin::mesh {

namespace {
using namespace std::chrono_literals;
constexpr auto tick_every = 100ms;
constexpr std::int64_t leap =
    1'000'000;  // microseconds beyond its time that a tick may come before it tells of a stop

log::level level_of(chronicle::EventType e) {
  using chronicle::EventType;
  return e == EventType::storage_failed || e == EventType::settings_rejected ? log::level::error
         : e == EventType::clock_jumped || e == EventType::change_undecided ||
                 e == EventType::replica_stale || e == EventType::storage_quarantined
             ? log::level::warning
             : log::level::info;
}

// Of the wall clock, so that a later life of a machine's process is higher; where the clock was set back, the
// first word from others lifts it.
std::uint64_t life() {
  return std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count());
}
}  // namespace

std::vector<rumour::Machine> machines_of(const std::vector<std::string>& addresses) {
  std::vector<rumour::Machine> found;
  for (const auto& a : addresses) found.push_back(span::parse_address(a));
  return found;
}

std::uint32_t chance_of(const ground::Settings& s) {
  return std::uint32_t(creed::hashed(s.ip, std::random_device{}()));
}

Role::Role(ground::Settings told, std::string path, bool core)
    : held_(std::move(told)),
      chronicle_([](const chronicle::Event& e) {
        const auto l = level_of(e.type);
        if (log::writes(log::part::node, l))
          log::write(log::part::node, l, fmt::format("E{} {}", int(e.type), e.text));
      }),
      rumour_({span::parse_address(settings.ip), settings.zone, core}, life(),
              machines_of(settings.seed_nodes), creed_, chance_of(settings)),
      begun_(now()),
      lookout_(ground::settings_path(path), core),
      timer_(io_),
      learns_(io_),
      signals_(io_, SIGTERM, SIGINT) {
  signals_.add(SIGHUP);
}

std::int64_t Role::now() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

trove::result<void> Role::open() {
  BOOST_LEAF_ASSIGN(span_,
                    span::UdpTransport::open(io_, span::parse_address(settings.ip), settings.internal_port));
  return {};
}

void Role::begin() {
  span_->set_handler([this](rumour::Machine from, std::string_view datagram) { heard(from, datagram); });
  last_tick_ = now();
  signals();
  tick();
}

void Role::send(const rumour::Outbox& out) {
  const rumour::Machine self = span::parse_address(settings.ip);
  for (const auto& d : out)
    if (d.to == self)
      asio::post(io_,
                 [this, self, bytes = d.bytes] { heard(self, bytes); });  // once the others' are on their way
    else
      span_->send(d.to, d.bytes);
}

void Role::leave(int code) {
  chronicle_.append(chronicle::EventType::process_exiting, now(), fmt::format("code={}", code));
  log::finish();
  std::_Exit(code);
}

void Role::changed() {
  if (learns_later_ || (creed_.changes() == items_seen_ && rumour_.roll().changes() == records_seen_)) return;
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
  items_seen_ = creed_.changes();
  records_seen_ = rumour_.roll().changes();
  learnt();
  throttle_.applied(at, now());
}

void Role::tick() {
  timer_.expires_after(tick_every);
  timer_.async_wait([this](asio::error_code over) {
    if (over) return;
    const std::int64_t at = now();
    const bool leapt = at - last_tick_ > leap;
    last_tick_ = at;
    if (leapt) {
      chronicle_.append(chronicle::EventType::clock_jumped, at);
      rumour::Outbox out;
      rumour_.leapt(at, out);
      send(out);
    }
    look(false);
    ticked(leapt);
    if (creed_.changes() != items_told_) {
      items_told_ = creed_.changes();
      chronicle_.append(chronicle::EventType::items_changed, at,
                        fmt::format("items={} changes={}", creed_.items().size(), items_told_));
    }
    tick();
  });
}

void Role::look(bool signalled) {
  boost::leaf::try_handle_all(
      [&]() -> trove::result<void> {
        BOOST_LEAF_AUTO(next, lookout_.look(now(), signalled, held_));
        if (!next) return {};
        const bool news = *next != held_;
        held_ = std::move(*next);
        chronicle_.append(chronicle::EventType::settings_applied, now(),
                          fmt::format("how={} changed={} seeds={}", signalled ? "signal" : "seen", news,
                                      held_.seed_nodes.size()));
        if (!news) return {};
        rumour::Outbox out;
        rumour_.seeds(now(), machines_of(held_.seed_nodes), out);
        send(out);
        switched();
        return {};
      },
      [&](const trove::Error& t) {
        chronicle_.append(chronicle::EventType::settings_rejected, now(), t.reason);
      },
      [] {});
}

void Role::signals() {
  signals_.async_wait([this](asio::error_code over, int signal) {
    if (over) return;
    if (signal == SIGHUP) {
      look(true);
    } else {
      chronicle_.append(chronicle::EventType::stop_requested, now());
      told_to_end();
    }
    signals();
  });
}

}  // namespace robinpin::mesh
