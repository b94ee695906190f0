// Datagram transport over UDP and IPv4. The port is the same on every machine of the mesh.
#pragma once

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <memory>

#include "../storage/error.h"
#include "datagram_transport.h"

namespace robinpin::transport {

class UdpTransport : public DatagramTransport {
 public:
  // Binds `port` on the address of `self`. The context outlives the transport, and its thread calls the
  // handler. Errors: Step::bind, with "address:port" as peer.
  static storage::result<std::unique_ptr<UdpTransport>> open(asio::io_context& io, Machine self,
                                                             std::uint16_t port);

  void send(Machine destination, std::string_view datagram) override;
  void set_handler(DatagramHandler handler) override;

  // Since it was opened; those that the network loses are counted as sent.
  std::uint64_t datagrams_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t datagrams_received = 0;

 private:
  UdpTransport(asio::io_context& io, std::uint16_t port) : socket_(io), port_(port) {}
  void wait_for_datagrams();
  void receive_burst();

  asio::ip::udp::socket socket_;
  const std::uint16_t port_;
  DatagramHandler handler_;
  std::array<char, gossip::longest_datagram + 1> buffer_{};
};

}  // namespace robinpin::transport
