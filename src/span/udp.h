// Datagrams over UDP, IPv4; the port is the same on every machine.
#pragma once

#include <array>
#include <asio.hpp>
#include <memory>

#include "span.h"

namespace robinpin::span {

class Udp : public Span {
 public:
  // Errors: the address can't be bound.
  static trove::result<std::unique_ptr<Udp>> open(asio::io_context& io, Machine self, std::uint16_t port);
  void send(Machine to, std::string_view datagram) override;
  void listen(Heard heard) override;
  std::uint64_t sent = 0, sent_bytes = 0, received = 0;

 private:
  Udp(asio::io_context& io, std::uint16_t port) : socket_(io), port_(port) {}
  void receive();
  asio::ip::udp::socket socket_;
  std::uint16_t port_;
  Heard heard_;
  std::array<char, rumour::longest_datagram + 1> buffer_{};
};

}  // namespace robinpin::span
