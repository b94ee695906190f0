#include "connection.h"

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
  if (full()) sweep();
  while (full() && (registry_->draining.reset_oldest() || close_accepted())) {
  }
  if (full()) refuse();
  return !full();
}

bool Sockets::ensure_capacity_to_accept() {
  constexpr int spared_divisor = 4;
  const auto& accepted = registry_->accepted;
  const std::size_t most_accepted = std::size_t(std::max(1, most_ - most_ / spared_divisor));
  while (accepted.size() >= most_accepted && close_accepted()) {
  }
  if (accepted.size() < most_accepted) return ensure_capacity();
  refuse();
  return false;
}

void Sockets::refuse() {
  ++refused_;
  refused_at_ = steady::now();
}

bool Sockets::close_accepted() {
  constexpr std::chrono::milliseconds search_interval{10};
  const auto now = steady::now();
  if (now < next_search_) return false;
  if (close_resting() || close_stalled()) return true;
  next_search_ = now + search_interval;
  return false;
}

std::size_t Sockets::unread_bytes() const {
  std::size_t bytes = 0;
  for (const Connection* connection : registry_->connections) bytes += connection->unread_bytes();
  return bytes;
}

std::size_t Sockets::unsent_bytes() const {
  std::size_t bytes = 0;
  for (const Connection* connection : registry_->connections) bytes += connection->unsent_bytes();
  return bytes;
}

bool Sockets::close_stalled() {
  Connection* longest = nullptr;
  for (Connection* connection : registry_->accepted) {
    const auto since = connection->stalled_since();
    if (since && (!longest || *since < *longest->stalled_since())) longest = connection;
  }
  if (!longest) return false;
  longest->abort();
  return true;
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
      send_memory_(sockets.shared_memory()),
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

void Connection::bound_sending(UnsentOnClose on_close) {
  is_sending_bounded_ = true;
  unsent_on_close_ = on_close;
  if (!is_accepted_) bound_send_buffer(socket.native_handle(), SocketBuffers::narrow_send);
}

// Not while a request is at work: its caller has sent it whole.
bool Connection::may_be_closed() const {
  if (!is_peers_request_ || !open()) return false;
  if (phase_ == Phase::reading || phase_ == Phase::writing) return true;
  return phase_ == Phase::resting && receives_widely_ && rests();
}

// Not while a message that has come is passed on to a slow server.
std::optional<steady::time_point> Connection::stalled_since() const {
  const bool is_reading = phase_ == Phase::reading && is_receiving_;
  if (!is_reading && phase_ != Phase::writing) return std::nullopt;
  const steady::time_point since = is_reading ? received_since_ : phase_since_;
  const bool is_stalled = steady::now() - since >= MemoryBudget::least_age_to_evict;
  return is_stalled ? std::optional(since) : std::nullopt;
}

void Connection::note_received(std::size_t bytes) {
  constexpr std::size_t least_progress = 1024;
  received_ += bytes;
  if (received_ < least_progress) return;
  received_ = 0;
  received_since_ = steady::now();
}

std::size_t Connection::evictable_bytes(const MemoryBudget::Shortage& shortage) const {
  if (!may_be_closed()) return 0;
  std::size_t bytes = memory_.bytes(shortage) + send_memory_.bytes(shortage);
  if (answer_memory_) bytes += answer_memory_->bytes(shortage);
  if (streamed_from_) bytes += streamed_from_->memory_.bytes(shortage);
  return bytes;
}

// What is used by others is freed as they go on; what nobody looks at while more is waited for, at once.
void Connection::evict() {
  if (is_receiving_) in.discard();
  memory_.release();
  send_memory_.release();
  if (answer_memory_) answer_memory_->release();
  if (streamed_from_) {
    streamed_from_->memory_.release();
    streamed_from_->abort();
  }
  abort();
}

void Connection::reclaim() {
  if (send_memory_.bytes() == 0 || phase_ == Phase::writing || !open()) return;
  if (unsent_bytes() > SocketBuffers::narrow_send) return;
  bound_send_buffer(socket.native_handle(), SocketBuffers::narrow_send);
  send_memory_.release();
}

void Connection::enter(Phase phase) {
  if (phase_ == phase) return;
  phase_ = phase;
  phase_since_ = received_since_ = steady::now();
  received_ = 0;
}

MemoryBudget::Use Connection::memory_use(std::size_t footprint) const {
  if (is_peers_request_) return MemoryBudget::Use::partial_request;
  const bool is_long = footprint > MemoryBudget::short_message_bytes;
  return is_long ? MemoryBudget::Use::long_answer : MemoryBudget::Use::ordinary;
}

// A server whose answer is short has sent no more than that.
std::size_t Connection::unread_allowance(std::size_t footprint) const {
  if (is_accepted_) return receives_widely_ ? SocketBuffers::wide_receive : 0;
  return in.begun() && !is_peers_request_ && footprint > MemoryBudget::short_message_bytes
             ? SocketBuffers::answer_receive
             : 0;
}

// For a long message. Without memory for it the message comes through a narrow buffer, no less whole.
void Connection::widen_receiving(std::size_t footprint) {
  if (!is_accepted_ || receives_widely_ || !in.begun() || in.is_complete()) return;
  if (footprint <= SocketBuffers::narrow_receive && !in.longer_than(SocketBuffers::narrow_receive)) return;
  if (!memory_.resize_if_free(footprint + SocketBuffers::wide_receive, memory_use(footprint))) return;
  receives_widely_ = true;
  widen_receive_buffer(socket.native_handle());
}

void Connection::widen_sending() {
  constexpr std::size_t bytes = SocketBuffers::wide_send + SocketBuffers::wide_record;
  const auto use = is_peers_request_ ? MemoryBudget::Use::long_answer : MemoryBudget::Use::partial_request;
  if (send_memory_.bytes() > 0 || !send_memory_.resize_if_free(bytes, use)) return;
  bound_send_buffer(socket.native_handle(), SocketBuffers::wide_send);
}

bool Connection::reserve_capacity() {
  const std::size_t footprint = in.footprint_with_room();
  widen_receiving(footprint);
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
  const bool is_whole_request = is_peers_request_ && (!in.begun() || in.is_complete());
  memory_.record(footprint + unread_allowance(footprint),
                 is_whole_request ? MemoryBudget::Use::ordinary : memory_use(footprint));
}

void Connection::close() {
  no_limit();
  const bool is_unsent = open() && unsent_on_close_ != UnsentOnClose::left_to_kernel && unsent_bytes() > 0;
  asio::error_code ignored;
  if (is_unsent && unsent_on_close_ == UnsentOnClose::dropped)
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
  if (is_unsent && unsent_on_close_ == UnsentOnClose::drained)
    drain();
  else
    socket.close(ignored);
  memory_.release();
  send_memory_.release();
  streamed_from_.reset();
  if (counted_) unregister();
  counted_ = false;
}

// Whoever waits at this connection is told that it is closed.
void Connection::drain() {
  asio::error_code failed;
  socket.cancel(failed);
  const int handle = socket.release(failed);
  if (!failed) registry_->draining.add(handle, steady::now());
}

void Connection::abort() {
  asio::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  unsent_on_close_ = UnsentOnClose::left_to_kernel;  // there is none
  close();
}

void Connection::limit(steady::time_point at) {
  limit_ = at;
  timer_.expires_at(at);
  timer_.async_wait([weak = weak_from_this(), generation = ++timer_generation_](asio::error_code cancelled) {
    const auto self = weak.lock();
    if (cancelled || !self || self->timer_generation_ != generation) return;
    self->ran_out_ = true;
    self->close();
  });
}

void Connection::no_limit() {
  ++timer_generation_;
  timer_.cancel();
}

Connection::peeked Connection::peek() const {
  if (!open()) return peeked::end;
  char byte = 0;
  const auto n = ::recv(handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) return peeked::bytes;
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) ? peeked::nothing : peeked::end;
}

bool Connection::quiet() const { return !in.begun() && !in.behind() && peek() == peeked::nothing; }
bool Connection::still() { return peek() == peeked::nothing; }
bool Connection::peer_gone() { return peek() == peeked::end; }

std::size_t Connection::unread_bytes() const {
  asio::error_code unknown;
  const std::size_t bytes = socket.available(unknown);
  return unknown ? 0 : bytes;
}

std::size_t Connection::unsent_bytes() const { return open() ? node::unsent_bytes(handle()) : 0; }

int Connection::handle() const { return const_cast<tcp::socket&>(socket).native_handle(); }

awaitable<asio::error_code> Connection::connect(tcp::endpoint to) {
  asio::error_code error;
  const auto begun = steady::now();
  socket.open(to.protocol(), error);
  if (error) co_return error;
  bound_receive_buffer(socket.native_handle(), SocketBuffers::answer_receive);
  if (is_sending_bounded_) bound_send_buffer(socket.native_handle(), SocketBuffers::narrow_send);
  co_await socket.async_connect(to, asio::redirect_error(asio::use_awaitable, error));
  round_trip_ = steady::now() - begun;
  if (!error) socket.set_option(tcp::no_delay(true), error);
  co_return error;
}

// Others on this loop wait while a peer's next bytes are always there as the last have been dealt with.
bool Connection::is_turn_over() {
  constexpr int most_steps = 4;
  if (++steps_ <= most_steps) return false;
  steps_ = 0;
  return true;
}

awaitable<void> Connection::yield() { co_await asio::post(socket.get_executor(), asio::use_awaitable); }

awaitable<asio::error_code> Connection::write(std::string_view head, std::string_view body,
                                              std::size_t& written) {
  const Phase before = phase_;
  enter(Phase::writing);
  asio::error_code error;
  if (is_sending_bounded_) {
    error = co_await write_in_records(head, body, written);
  } else {
    const std::array<asio::const_buffer, 2> parts = {asio::buffer(head.data(), head.size()),
                                                     asio::buffer(body.data(), body.size())};
    written = co_await asio::async_write(socket, parts, asio::redirect_error(asio::use_awaitable, error));
  }
  enter(before);
  co_return error;
}

namespace {

// Writes the beginning of what is left of both, `most` bytes of it; how much the kernel took. As a record of
// its own: to one that it has the kernel would add beyond the bound of its buffer.
std::size_t send_record(int socket, std::string_view head, std::string_view body, std::size_t most,
                        asio::error_code& error) {
  head = head.substr(0, most);
  body = body.substr(0, most - head.size());
  std::array<iovec, 2> parts = {iovec{const_cast<char*>(head.data()), head.size()},
                                iovec{const_cast<char*>(body.data()), body.size()}};
  msghdr message{};
  message.msg_iov = parts.data();
  message.msg_iovlen = parts.size();
  const auto taken = ::sendmsg(socket, &message, MSG_DONTWAIT | MSG_NOSIGNAL | MSG_EOR);
  if (taken >= 0) return std::size_t(taken);
  error = asio::error_code(errno, asio::error::get_system_category());
  return 0;
}

bool is_to_be_tried_again(const asio::error_code& error) {
  return error == asio::error::would_block || error == asio::error::try_again ||
         error == asio::error::interrupted;
}

}  // namespace

awaitable<asio::error_code> Connection::write_in_records(std::string_view head, std::string_view body,
                                                         std::size_t& written) {
  const std::size_t total = head.size() + body.size();
  if (total > SocketBuffers::narrow_send) widen_sending();
  for (written = 0; written < total;) {
    if (!open()) co_return asio::error::operation_aborted;
    const std::size_t most =
        send_memory_.bytes() > 0 ? SocketBuffers::wide_record : SocketBuffers::narrow_record;
    const std::string_view rest_of_head = head.substr(std::min(written, head.size()));
    const std::string_view rest_of_body = body.substr(written > head.size() ? written - head.size() : 0);
    asio::error_code error;
    const std::size_t taken = send_record(socket.native_handle(), rest_of_head, rest_of_body, most, error);
    if (taken > 0) phase_since_ = steady::now();
    written += taken;
    if (!error) continue;
    if (!is_to_be_tried_again(error)) co_return error;
    error = {};
    co_await socket.async_wait(tcp::socket::wait_write, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return error;
  }
  co_return asio::error_code();
}

void bound_buffers(tcp::acceptor& acceptor) {
  bound_receive_buffer(acceptor.native_handle(), SocketBuffers::narrow_receive);
  bound_send_buffer(acceptor.native_handle(), SocketBuffers::narrow_send);
}

void stamp_arrivals(int socket) {
  const int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on);
}

// A client's time runs from its sending, also while its bytes wait for a node that is busy or crowded; only
// the kernel knows since when they have been waiting.
awaitable<std::size_t> Connection::receive(char* to, std::size_t size, asio::error_code& error) {
  if (is_turn_over()) co_await yield();
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
      steps_ = 0;
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
  is_receiving_ = true;
  const std::size_t came = co_await receive(at, size, error);
  is_receiving_ = false;
  note_received(came);
  if (first) message_arrived_ = arrived_;
  if (!error) {
    const reading got = in.take(came);
    record_memory();
    enter(in.is_complete() ? Phase::working : Phase::reading);
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
  reclaim();
  record_memory();
  enter(!in.begun() ? Phase::resting : in.is_complete() ? Phase::working : Phase::reading);
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
    if (in.expects_continue()) error = co_await write(word, {}, written);
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
