#include "upstream_pool.h"

#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

#include "progress_limit.h"

namespace robinpin::sidecar {

namespace {
using namespace std::chrono_literals;
constexpr codec::Limits answer_limits = {64 * 1024, 64 * 1024 * 1024};
constexpr int most_strangers = 4;
constexpr int most_interim_answers = 16;  // before an answer
constexpr auto read_out_limit = 2s;       // for what is left of one that nobody wants any more
}  // namespace

bool of_connection(std::string_view name, std::string_view listed) {
  static constexpr std::array own = {"Connection", "Keep-Alive", "Proxy-Connection",  "TE",
                                     "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length",
                                     "Expect"};
  if (std::any_of(own.begin(), own.end(), [&](const char* o) { return codec::same_name(o, name); }))
    return true;
  while (!listed.empty()) {
    const auto comma = std::min(listed.find(','), listed.size());
    if (codec::same_name(codec::trim(listed.substr(0, comma)), name)) return true;
    listed.remove_prefix(std::min(comma + 1, listed.size()));
  }
  return false;
}

// A surplus that was cut off runs into what comes behind it: into a value, where nothing else tells.
static bool runs_together(const codec::Message& m) {
  static constexpr std::string_view version =
      "HTTP/1.";  // then a digit, a blank and a status: other values name versions, too
  const auto begins_another = [](std::string_view text) {
    for (auto at = text.find(version); at != std::string::npos; at = text.find(version, at + 1))
      if (const auto rest = text.substr(std::min(text.size(), at + version.size() + 1));
          rest.starts_with(' ') && codec::whole_number(rest.substr(1, 3)) >= 100)
        return true;
    return false;
  };
  for (std::size_t i = 0; i < m.headers(); ++i)
    if (begins_another(m.header(i).second)) return true;
  return begins_another(m.reason());
}

std::string_view UpstreamResult::header(std::string_view name) const {
  for (const auto& [n, v] : headers)
    if (codec::same_name(n, name)) return v;
  return {};
}

UpstreamPool::PooledConnection UpstreamPool::kept(std::uint32_t id) {
  for (std::size_t i = idle_.size(); i-- > 0;) {
    if (idle_[i].has(id)) continue;
    PooledConnection lane = std::move(idle_[i]);
    idle_.erase(idle_.begin() + std::ptrdiff_t(i));
    if (steady::now() < lane.connection->idle_since && lane.connection->quiet())
      return lane;  // here: until when it is good
  }
  return {};
}

void UpstreamPool::forget() { idle_.clear(); }

bool UpstreamPool::evict() {
  if (idle_.empty()) return false;
  idle_.pop_front();
  return true;
}

void UpstreamPool::sweep() {
  const auto now = steady::now();
  std::erase_if(idle_, [&](const PooledConnection& l) {
    return now >= l.connection->idle_since || !l.connection->quiet();
  });
}

awaitable<void> read_out(Connection& c) {
  c.limit(steady::now() + read_out_limit);
  asio::error_code error;
  while (!c.in.is_complete()) {
    c.in.pass_on();
    if (co_await c.more(error) != codec::reading::unfinished || error) break;
  }
}

namespace {

// Reads on, and drops, what is left of an answer that belongs to no request.
awaitable<void> read_past(Connection& c, asio::error_code& error) {
  while (!error && !c.in.is_complete()) {
    c.in.pass_on();
    const codec::reading got = co_await c.more(error);
    const bool goes_on = got == codec::reading::unfinished || got == codec::reading::complete;
    if (!error && !goes_on) error = asio::error::invalid_argument;
  }
}

}  // namespace

awaitable<UpstreamPool::Poured> UpstreamPool::pour(std::shared_ptr<Connection> to,
                                                   std::shared_ptr<InFlightRequest> in_flight,
                                                   std::shared_ptr<Source> source, bool framed) {
  Poured p;
  // Whoever has something to say before it has all is heard at once: no more is sent.
  struct Ear : std::enable_shared_from_this<Ear> {
    Ear(std::shared_ptr<Connection> t, std::shared_ptr<Source> s) : to(std::move(t)), source(std::move(s)) {}
    const std::shared_ptr<Connection> to;
    const std::shared_ptr<Source> source;
    bool early = false, over = false;
    void wait() {
      to->socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](asio::error_code cancelled) {
        if (self->over || cancelled) return;
        if (self->to->still()) return self->wait();  // woken by what was read before
        self->early = true;
        asio::error_code ignored;
        if (self->to->open()) self->to->socket.cancel(ignored);
        if (self->source->from->open()) self->source->from->socket.cancel(ignored);
      });
    }
  };
  const auto ear = std::make_shared<Ear>(to, source);
  ear->wait();
  Connection& from = *source->from;
  source->pouring = true;
  in_flight->source = source;
  ProgressLimit progress;
  for (codec::reading got = from.in.is_complete() ? codec::reading::complete : codec::reading::unfinished;;) {
    p.whole = got == codec::reading::complete;
    const std::string_view body = from.in.body();
    std::size_t written = 0;
    // A chunk of nothing would end the body.
    if (framed && !body.empty())
      p.error = co_await to->write(fmt::format("{:x}\r\n", body.size()), {}, written);
    if (!p.error && !body.empty())
      p.error = co_await to->write(body, framed ? std::string_view("\r\n") : std::string_view(), written);
    if (!p.error && framed && p.whole) p.error = co_await to->write("0\r\n\r\n", {}, written);
    if (p.error || ear->early || in_flight->off) {
      p.whole = p.whole && !p.error;
      break;
    }
    if (p.whole) break;
    source->let_go = true;
    from.in.pass_on();
    const auto since = steady::now();
    const auto before = from.in.came();
    from.limit(since + progress.remaining(before));
    asio::error_code error;
    got = co_await from.more(error);
    progress.on_waited(steady::now() - since);
    source->waited += steady::now() - since;
    from.no_limit();
    if (source->moved) source->moved(double(from.in.came() - before));
    if (ear->early || in_flight->off) break;
    if (error || (got != codec::reading::unfinished && got != codec::reading::complete)) {
      source->failed = true;
      break;
    }
    if (got == codec::reading::complete && source->whole) std::exchange(source->whole, nullptr)();
  }
  p.early = ear->early;
  ear->over = true;
  asio::error_code ignored;
  if (to->open()) to->socket.cancel(ignored);
  source->pouring = false;
  in_flight->source.reset();
  source->rest.cancel();
  co_return p;
}

awaitable<UpstreamResult> UpstreamPool::carry(std::shared_ptr<InFlightRequest> in_flight,
                                              std::shared_ptr<const OutgoingRequest> request,
                                              steady::time_point until) {
  UpstreamResult f;
  const auto begun = steady::now();
  auto handed = begun;
  const auto result = [&] {
    const auto now = steady::now();
    const auto waited = request->source ? request->source->waited : steady::duration();
    f.ran_out = f.ran_out || now >= until;
    f.lag = std::chrono::duration_cast<std::chrono::microseconds>(now - begun - waited).count();
    f.served = std::chrono::duration_cast<std::chrono::microseconds>(now - handed).count();
    in_flight->connection.reset();
    return std::move(f);
  };
  if (in_flight->off) co_return result();
  const auto known_as = std::uint32_t(std::hash<std::string>()(request->id));
  PooledConnection lane = kept(known_as);
  in_flight->connection = lane.connection;
  if (!in_flight->connection) {
    lane.incarnation = incarnation_;
    if (!sockets_.ensure_capacity()) co_return result();
    ++dials;
    in_flight->connection =
        std::make_shared<Connection>(tcp::socket(io_), sockets_, HTTP_RESPONSE, answer_limits, share_);
    in_flight->connection->bound_sending(Connection::UnsentOnClose::dropped);
    in_flight->connection->limit(std::min(until, steady::now() + options_.dial_limit));
    const auto failed = co_await in_flight->connection->connect(to_);
    if (failed || in_flight->off) co_return result();
    if (options_.user_timeout_ms > 0) {
      const int ms = options_.user_timeout_ms;
      ::setsockopt(in_flight->connection->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms,
                   sizeof ms);
    }
  }
  const auto held = in_flight->connection;  // it may be let go of meanwhile
  Connection& c = *held;
  if (!c.open() || steady::now() >= until) co_return result();
  f.how_far = came::connected;
  c.limit(until);
  const std::string_view body = request->body ? std::string_view(*request->body) : std::string_view();
  const std::shared_ptr<Source> source = request->source;
  const bool framed = source && !source->from->in.content_length();
  const bool sized = source || !body.empty() || request->method == "POST" || request->method == "PUT" ||
                     request->method == "PATCH";
  const bool asks = options_.asks_first > 0 && (source || body.size() >= options_.asks_first);
  const std::string length =
      framed ? "Transfer-Encoding: chunked"
             : fmt::format("Content-Length: {}", source ? *source->from->in.content_length() : body.size());
  const std::string head =
      sized ? fmt::format("{} {} HTTP/1.1\r\n{}{}{}\r\n\r\n", request->method, request->target,
                          request->headers, asks ? "Expect: 100-continue\r\n" : "", length)
            : fmt::format("{} {} HTTP/1.1\r\n{}\r\n", request->method, request->target, request->headers);
  std::size_t written = 0;
  asio::error_code error = co_await c.write(head, asks ? std::string_view() : body, written);
  bool wanted = !asks;
  if (!error && asks) {
    const codec::reading got = co_await c.read(error);
    if (error || in_flight->off || got == codec::reading::unfinished)
      co_return result();  // not a byte of the body was sent
    wanted = got == codec::reading::complete && c.in.status() == 100;
    if (wanted) {
      if (c.in.next() == codec::reading::malformed) co_return result();
      std::size_t more = 0;
      if (!source) error = co_await c.write(body, {}, more);
      written += more;
    }
  }
  bool all = written == head.size() + body.size();
  if (source && wanted && !error) {
    const Poured p = co_await pour(held, in_flight, source, framed);
    all = p.whole, f.early = p.early && !p.whole;
    error = f.early ? asio::error_code() : p.error;
    wanted = !f.early;  // what its peer has not read whole leaves nothing to go on with
    if (!all && !f.early) co_return result();
  }
  if (all && wanted) {
    f.how_far = came::written;
    handed = steady::now();
    if (in_flight->wrote) in_flight->wrote();
  }
  if (error || in_flight->off) co_return result();
  bool nameless_refusal = false;
  for (int strangers = 0, interims = 0;;) {
    codec::reading got = co_await read_answer(c, error, request->longest_answer);
    if (in_flight->off || got == codec::reading::unfinished) co_return result();
    const bool is_streamed =
        got == codec::reading::longer && request->longest_answer > AnswerStream::buffered_bytes;
    if (got != codec::reading::complete && !is_streamed) {
      f.broken = true;
      co_return result();
    }
    const bool interim = c.in.status() < 200;
    const auto echoed = c.in.header("X-Attempt-Id");
    // One that names no request is known by its place alone: of a connection that has carried named ones
    // only.
    const bool nameless = c.in.times("X-Attempt-Id") == 0;
    nameless_refusal =
        nameless && options_.strangers && (!c.in.header("X-Not-Executed").empty() || c.in.status() == 421);
    const bool ours = nameless ? request->id.empty() || nameless_refusal
                               : echoed == request->id && c.in.times("X-Attempt-Id") == 1;
    if (!interim && runs_together(c.in)) {
      f.broken = true;
      co_return result();
    }
    if (!interim && ours) break;
    // Before its body was sent whole no server has said anything of it: there is nothing to wait for.
    if (f.early && !interim) co_return result();
    if (interim ? ++interims > most_interim_answers
                : !options_.strangers || nameless || ++strangers > most_strangers) {
      f.broken = true;
      co_return result();
    }
    if (is_streamed) co_await read_past(c, error);
    if (error || in_flight->off) co_return result();
    if (c.in.next() == codec::reading::malformed) {
      f.broken = true;
      co_return result();
    }
  }
  // A body that only the connection's end ends can't be told from one that was cut off.
  if (c.in.status() != 204 && c.in.status() != 304 && !c.in.content_length() &&
      c.in.header("Transfer-Encoding").empty()) {
    f.broken = true;
    co_return result();
  }
  f.how_far = came::answered;
  f.status = c.in.status();
  const std::string_view listed = c.in.header("Connection");
  for (std::size_t i = 0; i < c.in.headers(); ++i) {
    const auto [name, value] = c.in.header(i);
    if (!of_connection(name, listed)) f.headers.emplace_back(name, codec::trim(value));
  }
  const auto idle_limit = idle_limit_of(c.in);
  const bool is_reusable = wanted && !nameless_refusal && lane.incarnation == incarnation_;
  lane.connection = held;
  if (!c.in.is_complete()) {
    f.stream = std::make_shared<AnswerStream>(held, until, [this, lane, known_as, idle_limit, is_reusable] {
      if (is_reusable) keep(lane, known_as, idle_limit);
    });
    co_return result();
  }
  const bool is_long = c.in.body().size() > node::MemoryBudget::short_message_bytes;
  f.held = std::make_shared<node::MemoryBudget::Reservation>(sockets_.shared_memory());
  f.held->record(c.in.body().size(),
                 is_long ? node::MemoryBudget::Use::long_answer : node::MemoryBudget::Use::ordinary);
  f.body = c.in.body();
  c.in.let_go();
  // A copy of a refusal that named no request could be any request's.
  if (is_reusable) keep(std::move(lane), known_as, idle_limit);
  co_return result();
}

// Less a little than its peer tells: none is met as it is being closed.
steady::duration UpstreamPool::idle_limit_of(const codec::Message& answer) const {
  constexpr std::string_view name = "timeout=";
  const std::string_view keep_alive = answer.header("Keep-Alive");
  const auto at = keep_alive.find(name);
  if (at == std::string_view::npos) return options_.idle_limit;
  const std::string_view value = keep_alive.substr(at + name.size());
  const auto seconds = codec::whole_number(value.substr(0, value.find_first_of(", ;")));
  if (seconds < 0) return options_.idle_limit;
  return std::min<steady::duration>(options_.idle_limit, std::chrono::seconds(seconds) * 8 / 10);
}

void UpstreamPool::keep(PooledConnection pooled, std::uint32_t request, steady::duration idle_limit) {
  Connection& connection = *pooled.connection;
  const bool is_of_use = pooled.incarnation == incarnation_ && connection.in.keep_alive() &&
                         !connection.in.behind() && idle_.size() < options_.most_idle;
  if (!is_of_use) return;
  connection.next();
  connection.no_limit();
  if (!connection.quiet()) return;
  connection.idle_since = steady::now() + idle_limit;
  pooled.ids[pooled.carried++ % pooled.ids.size()] = request;
  idle_.push_back(std::move(pooled));
}

}  // namespace robinpin::sidecar
