#include "udp.h"

#include <boost/leaf/error.hpp>

namespace robinpin::span {

using asio::ip::udp;

std::string text_of(Machine m) { return asio::ip::make_address_v4(m).to_string(); }

Machine machine_of(std::string_view text) {
  asio::error_code wrong;
  const auto address = asio::ip::make_address_v4(std::string(text.substr(0, text.find(':'))), wrong);
  return wrong ? 0 : address.to_uint();
}

trove::result<std::unique_ptr<Udp>> Udp::open(asio::io_context& io, Machine self, std::uint16_t port) {
  std::unique_ptr<Udp> u(new Udp(io, port));
  asio::error_code wrong;
  u->socket_.open(udp::v4(), wrong);
  if (!wrong) u->socket_.bind({asio::ip::make_address_v4(self), port}, wrong);
  if (wrong)
    return boost::leaf::new_error(
        trove::Error{trove::Error::Step::bind, text_of(self) + ":" + std::to_string(port), wrong.message()});
  u->socket_.non_blocking(true);
  return u;
}

// A full buffer or an address out of reach loses the datagram, as the network may.
void Udp::send(Machine to, std::string_view datagram) {
  if (datagram.size() > rumour::longest_datagram) return;
  asio::error_code lost;
  socket_.send_to(asio::buffer(datagram.data(), datagram.size()), {asio::ip::make_address_v4(to), port_}, 0,
                  lost);
  ++sent, sent_bytes += datagram.size();
}

void Udp::listen(Heard heard) {
  heard_ = std::move(heard);
  receive();
}

void Udp::receive() {
  socket_.async_wait(udp::socket::wait_read, [this](asio::error_code wrong) {
    if (wrong) return;
    for (int burst = 0; burst < 64; ++burst) {  // others get their turn between bursts
      udp::endpoint from;
      asio::error_code none;
      const std::size_t size = socket_.receive_from(asio::buffer(buffer_), from, 0, none);
      if (none == asio::error::would_block || none == asio::error::try_again) break;
      if (none) continue;  // an answer of ICMP to what was sent
      ++received;
      if (from.port() == port_) heard_(from.address().to_v4().to_uint(), {buffer_.data(), size});
    }
    receive();
  });
}

}  // namespace robinpin::span
