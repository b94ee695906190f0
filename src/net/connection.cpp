#include "connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <optional>
#include <utility>

#include "../read/json.h"

namespace robinpin::node {

std::chrono::nanoseconds Waits::of(std::chrono::nanoseconds apparent) {
  constexpr int compared = 64;
  constexpr auto longest = std::chrono::seconds(5);
  if (++reads_ % compared == 0) least_before_ = std::exchange(least_, none);
  least_ = std::min(least_, apparent);
  const auto waited = apparent - std::min(least_, least_before_);
  return waited < longest ? waited : std::chrono::nanoseconds(0);
}

bool Sockets::ensure_capacity() {
  for (const auto& evict : evictors_)
    while (full() && evict()) {
    }
  while (full() && close_resting()) {
  }
  if (full()) ++refused_;
  return !full();
}

std::size_t Sockets::unread_bytes() const {
  std::size_t bytes = 0;
  for (const Connection* connection : registry_->connections) bytes += connection->unread_bytes();
  return bytes;
}

bool Sockets::close_resting() {
  const auto& accepted = registry_->accepted;
  const auto resting = std::find_if(accepted.begin(), accepted.end(),
                                    [](Connection* connection) { return connection->rests(); });
  if (resting == accepted.end()) return false;
  (*resting)->close();
  return true;
}

Connection::Connection(tcp::socket s, Sockets& sockets, http_parser_type kind, Limits limits,
                       std::shared_ptr<MemoryBudget::Share> share)
    : socket(std::move(s)),
      in(kind, limits),
      sockets_(sockets),
      registry_(sockets.registry_),
      is_peers_request_(kind == HTTP_REQUEST),
      memory_(sockets.shared_memory(), std::move(share)),
      consumer_(sockets.memory().add(this)),
      connection_(registry_->connections.insert(registry_->connections.end(), this)),
      timer_(socket.get_executor()) {}

void Connection::unregister() {
  registry_->connections.erase(connection_);
  registry_->memory->remove(consumer_);
  if (accepted_) registry_->accepted.erase(*accepted_);
}

void Connection::set_accepted() {
  is_accepted_ = true;
  accepted_ = registry_->accepted.insert(registry_->accepted.end(), this);
}

// Not while a request is at work: its caller has sent it whole.
std::size_t Connection::evictable_bytes(std::optional<MemoryBudget::Use> use) const {
  if (!is_peers_request_ || !open() || (phase_ != Phase::reading && phase_ != Phase::writing)) return 0;
  return memory_.bytes(use) + (answer_memory_ ? answer_memory_->bytes(use) : 0);
}

// What it holds is freed as whoever uses it goes on.
void Connection::evict() {
  memory_.release();
  if (answer_memory_) answer_memory_->release();
  abort();
}

void Connection::enter(Phase phase) {
  if (phase_ == phase) return;
  phase_ = phase;
  phase_since_ = steady::now();
}

MemoryBudget::Use Connection::memory_use(std::size_t footprint) const {
  constexpr std::size_t long_answer = 64 * 1024;
  if (is_peers_request_) return MemoryBudget::Use::partial_request;
  return footprint > long_answer ? MemoryBudget::Use::long_answer : MemoryBudget::Use::ordinary;
}

// A server whose answer is short has sent no more than that.
std::size_t Connection::unread_allowance(std::size_t footprint) const {
  constexpr std::size_t short_answer = 16 * 1024;
  if (!in.begun()) return 0;
  if (is_accepted_) return most_unread_bytes;
  return !is_peers_request_ && footprint > short_answer ? most_unread_answer_bytes : 0;
}

bool Connection::reserve_capacity() {
  const std::size_t footprint = in.footprint_with_room();
  const std::size_t bytes = footprint + unread_allowance(footprint);
  const MemoryBudget::Use use = memory_use(footprint);
  // The number of connections bounds these: so what a message wants is known, and it can be answered.
  const bool is_first_read = !in.begun() && footprint <= Message::first_buffer_bytes;
  if (!is_first_read) return memory_.resize(bytes, use);
  memory_.record(bytes, use);
  return true;
}

void Connection::record_memory() {
  if (!open()) return memory_.release();
  const std::size_t footprint = in.footprint();
  const bool is_whole_request = is_peers_request_ && (!in.begun() || in.whole());
  memory_.record(footprint + unread_allowance(footprint),
                 is_whole_request ? MemoryBudget::Use::ordinary : memory_use(footprint));
}

void Connection::close() {
  no_limit();
  asio::error_code ignored;
  socket.close(ignored);
  if (counted_) unregister();
  counted_ = false;
}

void Connection::abort() {
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

void Connection::limit(steady::time_point at) {
  limit_ = at;
  timer_.expires_at(at);
  timer_.async_wait([weak = weak_from_this(), round = ++round_](asio::error_code cancelled) {
    const auto self = weak.lock();
    if (cancelled || !self || self->round_ != round) return;
    self->ran_out_ = true;
    self->close();
  });
}

void Connection::no_limit() {
  ++round_;
  timer_.cancel();
}

Connection::peeked Connection::peek() {
  if (!open()) return peeked::end;
  char byte = 0;
  const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) return peeked::bytes;
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) ? peeked::nothing : peeked::end;
}

bool Connection::quiet() { return !in.begun() && !in.behind() && peek() == peeked::nothing; }
bool Connection::still() { return peek() == peeked::nothing; }
bool Connection::peer_gone() { return peek() == peeked::end; }

std::size_t Connection::unread_bytes() const {
  asio::error_code unknown;
  const std::size_t bytes = socket.available(unknown);
  return unknown ? 0 : bytes;
}

awaitable<asio::error_code> Connection::connect(tcp::endpoint to) {
  asio::error_code error;
  const auto begun = steady::now();
  socket.open(to.protocol(), error);
  if (error) co_return error;
  bound_unread_bytes(socket);
  co_await socket.async_connect(to, asio::redirect_error(asio::use_awaitable, error));
  round_trip_ = steady::now() - begun;
  if (!error) socket.set_option(tcp::no_delay(true), error);
  co_return error;
}

awaitable<asio::error_code> Connection::write(std::string_view head, std::string_view body,
                                              std::size_t& written) {
  asio::error_code error;
  const std::array<asio::const_buffer, 2> parts = {asio::buffer(head.data(), head.size()),
                                                   asio::buffer(body.data(), body.size())};
  const Phase before = phase_;
  enter(Phase::writing);
  written = co_await asio::async_write(socket, parts, asio::redirect_error(asio::use_awaitable, error));
  enter(before);
  co_return error;
}

namespace {
template <typename Socket>
void bound_unread_bytes_to(Socket& socket, std::size_t bytes) {
  // Segments have to be well below the window that this leaves: on loopback they would be longer, and a
  // sender waits for a timer where none fits in.
  constexpr std::size_t segments = 8;
  asio::error_code ignored;
  // The kernel doubles it, for its own overhead.
  socket.set_option(asio::socket_base::receive_buffer_size(int(bytes / 2)), ignored);
  socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>(int(bytes / segments)),
                    ignored);
}
}  // namespace

void bound_unread_bytes(tcp::acceptor& acceptor) {
  bound_unread_bytes_to(acceptor, Connection::most_unread_bytes);
}
void bound_unread_bytes(tcp::socket& socket) {
  bound_unread_bytes_to(socket, Connection::most_unread_answer_bytes);
}

void stamp_arrivals(int socket) {
  const int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on);
}

// A client's time runs from its sending, also while its bytes wait for a node that is busy or crowded; only
// the kernel knows since when they have been waiting.
awaitable<std::size_t> Connection::receive(char* to, std::size_t size, asio::error_code& error) {
  for (;;) {
    iovec part{to, size};
    alignas(cmsghdr) std::array<char, 128> control{};
    msghdr m{};
    m.msg_iov = &part;
    m.msg_iovlen = 1;
    m.msg_control = control.data();
    m.msg_controllen = control.size();
    const auto n = ::recvmsg(socket.native_handle(), &m, MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
      co_await socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return 0;
      continue;
    }
    if (n < 0) error = asio::error_code(errno, asio::error::get_system_category());
    if (n == 0) error = asio::error::eof;
    if (n <= 0) co_return 0;
    arrived_ = steady::now();
    for (const cmsghdr* c = CMSG_FIRSTHDR(&m); c; c = CMSG_NXTHDR(&m, const_cast<cmsghdr*>(c))) {
      if (c->cmsg_level != SOL_SOCKET || c->cmsg_type != SCM_TIMESTAMPNS) continue;
      timespec then{};
      std::memcpy(&then, CMSG_DATA(c), sizeof then);
      const auto stamp = std::chrono::seconds(then.tv_sec) + std::chrono::nanoseconds(then.tv_nsec);
      arrived_ -= sockets_.waits.of(std::chrono::system_clock::now().time_since_epoch() - stamp);
    }
    co_return std::size_t(n);
  }
}

awaitable<reading> Connection::more(asio::error_code& error) {
  error = {};
  const bool first = !in.begun();
  enter(first ? Phase::resting : Phase::reading);
  if (!reserve_capacity()) {
    error = asio::error::no_buffer_space;
    co_return reading::unfinished;
  }
  const auto [at, size] = in.room();
  const std::size_t came = co_await receive(at, size, error);
  if (first) message_arrived_ = arrived_;
  if (!error) {
    const reading got = in.take(came);
    record_memory();
    enter(in.whole() ? Phase::working : Phase::reading);
    co_return got;
  }
  const bool whole = error == asio::error::eof && in.begun() && in.ended() == reading::complete;
  if (whole) error = {};
  if (whole) enter(Phase::working);
  co_return whole ? reading::complete : reading::unfinished;
}

void Connection::discard() {
  in.discard();
  record_memory();
}

reading Connection::next() {
  const reading behind = in.next();
  message_arrived_ = arrived_;
  answer_memory_.reset();
  record_memory();
  enter(!in.begun() ? Phase::resting : in.whole() ? Phase::working : Phase::reading);
  return behind;
}

awaitable<reading> Connection::read(asio::error_code& error, std::size_t kept, std::size_t bytes_a_second,
                                    steady::duration patience) {
  struct Nudge {
    bool fired = false, over = false;
  };
  std::shared_ptr<Nudge> nudge;  // only where it is needed: nearly all answers tell their length
  std::optional<asio::steady_timer> patient;
  const struct Over {
    const std::shared_ptr<Nudge>& n;
    ~Over() {
      if (n) n->over = true;
    }
  } over{nudge};
  constexpr std::string_view word = "HTTP/1.1 100 Continue\r\n\r\n";
  error = {};
  for (std::uint64_t counted = 0; !in.longer_than(kept);) {
    if (patience > steady::duration(0) && !nudge && in.open_ended()) {
      nudge = std::make_shared<Nudge>();
      patient.emplace(socket.get_executor(), patience);
      patient->async_wait([nudge, weak = weak_from_this()](asio::error_code cancelled) {
        const auto self = weak.lock();
        if (cancelled || nudge->over || !self || !self->open()) return;
        nudge->fired = true;
        asio::error_code ignored;
        self->socket.cancel(ignored);
      });
    }
    const reading r = co_await more(error);
    if (nudge && nudge->fired && open() && in.open_ended() &&
        (!error || error == asio::error::operation_aborted)) {
      error = {};
      co_return reading::longer;
    }
    if (error || r != reading::unfinished) co_return r;
    if (bytes_a_second > 0 && in.came() - counted >= bytes_a_second / 16) {
      limit(limit_ + std::chrono::microseconds((in.came() - counted) * 1'000'000 / bytes_a_second));
      counted = in.came();
    }
    std::size_t written = 0;
    if (in.wants_word()) error = co_await write(word, {}, written);
    if (error) co_return reading::unfinished;
  }
  co_return reading::longer;
}

awaitable<void> Connection::see_out(steady::duration most) {
  limit(steady::now() + most);
  asio::error_code error;
  socket.shutdown(tcp::socket::shutdown_send, error);
  for (std::array<char, 4096> dropped; !error;) co_await receive(dropped.data(), dropped.size(), error);
}

tcp::endpoint endpoint_of(const std::string& text) {
  const auto colon = text.rfind(':');
  const auto port = colon == std::string::npos ? -1 : whole_number(std::string_view(text).substr(colon + 1));
  std::string host = text.substr(0, std::min(colon, text.size()));
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  asio::error_code wrong;
  const auto address = asio::ip::make_address(host, wrong);
  if (wrong || port < 1 || port > 65535) read::wrong("'" + text + "' is not address:port");
  return {address, std::uint16_t(port)};
}

}  // namespace robinpin::node
