// A simulated network for tests: delay, loss, duplication and partitions drawn from one seed. Its clock is
// set by the test, so that a seed is a history.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "datagram_transport.h"

namespace robinpin::transport {

class SimulatedNetwork {
 public:
  using Link = std::pair<Machine, Machine>;  // from, to: one direction

  explicit SimulatedNetwork(std::uint32_t seed) : random_(seed) {}

  double loss_probability = 0;
  double duplication_probability = 0;
  std::int64_t min_delay = 200;    // microseconds
  std::int64_t max_delay = 3'000;  // microseconds
  std::set<Link> blocked_links;    // also for datagrams that are in flight
  // Of each receiver's socket, as the kernel counts; 0: no bound. Its reader empties it every
  // `read_interval`.
  std::size_t socket_buffer_bytes = 0;
  std::int64_t read_interval = 20'000;  // microseconds

  std::int64_t now = 0;  // microseconds
  std::map<Machine, DatagramHandler> handlers;

  std::uint64_t datagrams_sent = 0;
  std::uint64_t bytes_sent = 0;

  void send(Machine sender, Machine destination, std::string_view datagram) {
    ++datagrams_sent;
    bytes_sent += datagram.size();
    const int copies = draw_fraction() < duplication_probability ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (draw_fraction() < loss_probability || blocked_links.contains({sender, destination})) continue;
      const std::int64_t delay = min_delay + std::int64_t(draw_fraction() * double(max_delay - min_delay));
      in_flight_.emplace(now + delay, Datagram{sender, destination, std::string(datagram)});
    }
  }

  // Delivers all that arrives until then in order of time; handlers may send.
  void advance_to(std::int64_t until) {
    while (!in_flight_.empty() && in_flight_.begin()->first <= until) {
      const auto [arrival, datagram] = *in_flight_.begin();
      in_flight_.erase(in_flight_.begin());
      now = arrival;
      deliver(datagram);
    }
    now = until;
  }

 private:
  struct Datagram {
    Machine sender, destination;
    std::string bytes;
  };

  void deliver(const Datagram& datagram) {
    if (blocked_links.contains({datagram.sender, datagram.destination})) return;
    const auto handler = handlers.find(datagram.destination);
    if (handler == handlers.end() || !handler->second) return;
    if (!fits_receive_buffer(datagram.destination, datagram.bytes.size())) return;
    handler->second(datagram.sender, datagram.bytes);
  }

  bool fits_receive_buffer(Machine destination, std::size_t size) {
    if (socket_buffer_bytes == 0) return true;
    ReceiveBuffer& buffer = receive_buffers_[destination];
    const std::int64_t interval = now / read_interval;
    if (buffer.interval != interval) buffer = {interval, 0};
    // What the kernel charges for a datagram beside its payload, rounded up to whole pages.
    constexpr std::size_t overhead = 768;
    constexpr std::size_t page = 4'096;
    const std::size_t charged = (size + overhead + page - 1) / page * page;
    if (buffer.bytes + charged > socket_buffer_bytes) return false;
    buffer.bytes += charged;
    return true;
  }

  struct ReceiveBuffer {
    std::int64_t interval = -1;
    std::size_t bytes = 0;
  };

  // From 0 up to 1, without it.
  double draw_fraction() {
    constexpr double range = 4294967296.0;  // of the generator
    return double(random_()) / range;
  }

  std::mt19937 random_;
  std::map<Machine, ReceiveBuffer> receive_buffers_;
  std::multimap<std::int64_t, Datagram> in_flight_;  // by time of arrival
};

// One machine's end of a simulated network, which outlives it.
class SimulatedTransport : public DatagramTransport {
 public:
  SimulatedTransport(SimulatedNetwork& network, Machine self) : network_(network), self_(self) {}
  ~SimulatedTransport() override { network_.handlers.erase(self_); }

  void send(Machine destination, std::string_view datagram) override {
    if (datagram.size() <= gossip::longest_datagram) network_.send(self_, destination, datagram);
  }
  void set_handler(DatagramHandler handler) override { network_.handlers[self_] = std::move(handler); }

 private:
  SimulatedNetwork& network_;
  const Machine self_;
};

}  // namespace robinpin::transport
