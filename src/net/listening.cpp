#include "listening.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <stdexcept>
#include <thread>

namespace robinpin::node {

namespace {
using namespace std::chrono_literals;
constexpr auto bind_limit = 5s;
}  // namespace

void listen_at(tcp::acceptor& acceptor, tcp::endpoint at, int backlog, Buffering buffering) {
  acceptor.open(at.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  asio::error_code taken;
  const auto until = steady::now() + bind_limit;
  while (acceptor.bind(at, taken), taken == asio::error::address_in_use && steady::now() < until)
    std::this_thread::sleep_for(20ms);
  if (taken)
    throw std::runtime_error(
        fmt::format("listen: {}:{}: {}", at.address().to_string(), at.port(), taken.message()));
  stamp_arrivals(acceptor.native_handle());
  if (buffering == Buffering::bounded) bound_buffers(acceptor);
  acceptor.listen(backlog);
  acceptor.non_blocking(true);
}

void listen_on(tcp::acceptor& acceptor, int descriptor) {
  const auto no = [&] {
    throw std::runtime_error(fmt::format("EDGE_FD: {} is no listening TCP socket", descriptor));
  };
  int listens = 0;
  socklen_t size = sizeof listens;
  if (::getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || !listens) no();
  sockaddr_storage name{};
  socklen_t length = sizeof name;
  if (::getsockname(descriptor, reinterpret_cast<sockaddr*>(&name), &length) != 0) no();
  if (name.ss_family != AF_INET && name.ss_family != AF_INET6) no();
  acceptor.assign(name.ss_family == AF_INET ? tcp::v4() : tcp::v6(), descriptor);
  stamp_arrivals(acceptor.native_handle());
  acceptor.non_blocking(true);
}

}  // namespace robinpin::node
