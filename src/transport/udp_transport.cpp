#include "udp_transport.h"

#include <boost/leaf/error.hpp>
#include <utility>

#include "address.h"

namespace robinpin::transport {

using asio::ip::udp;

namespace {

// Other events of the process get their turn between bursts.
constexpr int max_burst = 64;

// A configuration of a thousand routes comes from several senders at once. The kernel may grant less.
constexpr int socket_buffer_bytes = 4'000'000;

}  // namespace

storage::result<std::unique_ptr<UdpTransport>> UdpTransport::open(asio::io_context& io, Machine self,
                                                                  std::uint16_t port) {
  std::unique_ptr<UdpTransport> transport(new UdpTransport(io, port));
  asio::error_code error;
  transport->socket_.open(udp::v4(), error);
  if (!error) transport->socket_.bind({asio::ip::make_address_v4(self), port}, error);
  if (error) {
    const std::string endpoint = format_address(self) + ":" + std::to_string(port);
    return boost::leaf::new_error(storage::Error{storage::Error::Step::bind, endpoint, error.message()});
  }
  transport->socket_.non_blocking(true);
  asio::error_code not_granted;
  transport->socket_.set_option(udp::socket::receive_buffer_size(socket_buffer_bytes), not_granted);
  transport->socket_.set_option(udp::socket::send_buffer_size(socket_buffer_bytes), not_granted);
  return transport;
}

// A full buffer or an unreachable address loses the datagram, as the network may.
void UdpTransport::send(Machine destination, std::string_view datagram) {
  if (datagram.size() > gossip::longest_datagram) return;
  const udp::endpoint endpoint(asio::ip::make_address_v4(destination), port_);
  asio::error_code ignored;
  socket_.send_to(asio::buffer(datagram.data(), datagram.size()), endpoint, 0, ignored);
  ++datagrams_sent;
  bytes_sent += datagram.size();
}

void UdpTransport::set_handler(DatagramHandler handler) {
  handler_ = std::move(handler);
  wait_for_datagrams();
}

void UdpTransport::wait_for_datagrams() {
  socket_.async_wait(udp::socket::wait_read, [this](asio::error_code error) {
    if (error) return;
    receive_burst();
    wait_for_datagrams();
  });
}

void UdpTransport::receive_burst() {
  for (int i = 0; i < max_burst; ++i) {
    udp::endpoint sender;
    asio::error_code error;
    const std::size_t size = socket_.receive_from(asio::buffer(buffer_), sender, 0, error);
    if (error == asio::error::would_block || error == asio::error::try_again) return;
    if (error) continue;  // an ICMP reply to something that was sent
    ++datagrams_received;
    if (sender.port() == port_) handler_(sender.address().to_v4().to_uint(), {buffer_.data(), size});
  }
}

}  // namespace robinpin::transport
