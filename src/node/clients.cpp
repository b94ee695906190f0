#include "clients.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "../log/log.h"
#include "listening.h"

namespace robinpin::node {

namespace {

using namespace std::chrono_literals;
// A head must be whole so soon after its first byte, and a first one so soon after its client has connected,
// whatever trickles in; a body comes at no less than that pace.
constexpr std::size_t slow_pace = 32 * 1024;
constexpr Limits client_limits = {16 * 1024, 48 * 1024 * 1024};
constexpr int send_buffer = 128 * 1024;  // a longer one would hide for long that a client takes nothing
constexpr steady::duration message_limit = 2500ms, first_limit = 2800ms, idle_limit = 60s,
                           crowded_idle_limit = 3s, write_limit = 5s;
constexpr steady::duration slow_sender = 300ms, fresh = 250ms, newcomer = 50ms, linger = 20ms;
constexpr auto last_words = 500ms;
// What a client sent on a connection that it held when its node was told to end is there after so long.
constexpr auto crossing = 500ms;
// After SIGTERM a node has the longest expiry, of this at the most, and then a little more for its last
// answers.
constexpr micros longest_notice = 3'000'000, last_answers = 600'000;
constexpr micros longest_wait = 3'600'000'000;

std::string_view phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    default:
      return "Internal Server Error";
  }
}

// Headers that concern one connection only, or that the node writes itself.
bool stays_here(std::string_view name, std::string_view connection_lists) {
  static constexpr std::array own = {"Connection", "Keep-Alive", "Proxy-Connection",   "TE",
                                     "Trailer",    "Upgrade",    "Transfer-Encoding",  "Content-Length",
                                     "Expect",     "Host",       "Request-Timeout-Ms", "Proxy-Authorization"};
  if (std::any_of(own.begin(), own.end(), [&](const char* o) { return same_name(o, name); })) return true;
  while (!connection_lists.empty()) {
    const auto comma = std::min(connection_lists.find(','), connection_lists.size());
    if (same_name(trim(connection_lists.substr(0, comma)), name)) return true;
    connection_lists.remove_prefix(std::min(comma + 1, connection_lists.size()));
  }
  return false;
}

std::shared_ptr<Outbound> outbound_of(const Message& m, bool once) {
  auto r = std::make_shared<Outbound>();
  const std::string_view host = m.header("Host");
  r->start = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", m.method(), m.target(),
                         host.empty() ? std::string_view("backend.local") : host);
  const std::string_view lists = m.header("Connection");
  for (std::size_t i = 0; i < m.headers(); ++i) {
    const auto [name, value] = m.header(i);
    if (!stays_here(name, lists)) r->headers += fmt::format("{}: {}\r\n", name, value);
  }
  if (!m.longer_than(most_kept)) r->body = m.body();
  r->once = once;
  return r;
}

}  // namespace

Asked asked_of(const Message& m, const read::House& house) {
  const auto bad = [](int status, const char* why) {
    Asked a;
    a.status = status;
    a.why = why;
    return a;
  };
  if (!m.clean()) return bad(400, "a name, value, target or length that is not HTTP");
  for (const char* once : {"Request-Id", "Request-Class", "Tenant", "Request-Timeout-Ms", "Idempotency-Key"})
    if (m.times(once) > 1) return bad(400, "a header that may stand once stands twice");
  Asked a;
  a.id = m.header("Request-Id");
  if (!plain_word(a.id)) return bad(400, "Request-Id is missing or not a plain word");
  const auto scheme = house.schemes.find(std::string(m.header("Request-Class")));
  if (scheme == house.schemes.end()) return bad(400, "Request-Class is missing or not known");
  a.scheme = scheme->second;
  if (!house.tenants.empty()) {
    const auto tenant = house.tenants.find(std::string(m.header("Tenant")));
    if (tenant == house.tenants.end()) return bad(400, "Tenant is missing or not known");
    a.tenant = tenant->second;
  }
  const long long ms = whole_number(m.header("Request-Timeout-Ms"));
  if (ms < 0) return bad(400, "Request-Timeout-Ms is missing or not a whole number");
  a.left = std::min<micros>(longest_wait / 1000, ms) * 1000;
  const repeats kind = house.terms.schemes[std::size_t(a.scheme)].kind;
  if (m.method() != (kind == repeats::repeatable ? "GET" : "POST"))
    return bad(405, "the method is not the one of that Request-Class");
  // What is said to have no body and has one may be read as two requests by the next.
  if (kind == repeats::repeatable &&
      (m.has_body() || m.times("Transfer-Encoding") > 0 || whole_number(m.header("Content-Length")) > 0))
    return bad(400, "GET with a body");
  const int keys = m.times("Idempotency-Key");
  if (kind == repeats::referenced ? !plain_word(m.header("Idempotency-Key")) : keys > 0)
    return bad(400, "Idempotency-Key is missing, not a plain word, or not for that Request-Class");
  a.cost = double(std::max(0LL, whole_number(m.header("Work-Hint"))));  // no more than a hint: else none
  a.said.repeat = m.header("Client-Retry") == "1";
  const std::string info = "," + std::string(m.header("Request-Info"));
  if (const auto key = info.find(",key="); key != std::string::npos)
    a.said.key = hashed(std::string_view(info).substr(key + 5, info.find(',', key + 5) - key - 5));
  a.outbound = outbound_of(m, kind == repeats::once_only);
  return a;
}

Clients::Clients(asio::io_context& io, const Clock& clock, Sockets& sockets, Counters& counters, Desk& desk,
                 Servers& servers, const read::House& house, const Routes& routes)
    : io_(io),
      clock_(clock),
      sockets_(sockets),
      counters_(counters),
      desk_(desk),
      servers_(servers),
      house_(house),
      routes_(routes),
      acceptor_(io) {
  sockets_.evict_by([this] { return evict(); });
}

void Clients::listen(tcp::endpoint at, int inherited) {
  inherited_ = inherited >= 0;
  inherited_ ? listen_on(acceptor_, inherited) : listen_at(acceptor_, at, 4096);
}

awaitable<void> Clients::accept() {
  asio::steady_timer pause(io_);
  taking_ = true;
  while (acceptor_.is_open()) {
    asio::error_code error;
    // Room for the txns' own postings stays free: of what is taken in, each needs one more socket.
    const bool room = sockets_.ensure_capacity() && int(seats_.size()) < sockets_.most() * 3 / 5;
    if (!room && !evict()) {
      pause.expires_after(5ms);
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    tcp::socket socket(io_);
    co_await acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      ++counters_.clients_accepted;
      socket.set_option(tcp::no_delay(true), error);
      asio::co_spawn(
          io_, serve(std::make_shared<Connection>(std::move(socket), sockets_, HTTP_REQUEST, client_limits)),
          asio::detached);
    } else if (acceptor_.is_open() && error != asio::error::operation_aborted) {
      // Out of descriptors, or a connection that went before it was taken.
      ++counters_.accepts_failed;
      evict();
      pause.expires_after(5ms);
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
  }
}

// Who has been turned away goes first, then who has connected and says nothing, then those between txns, but
// not one so fresh that its client may be sending just now; then those that are still sending, for what has
// not come whole is not taken. Else a crowd that is silent or slow could keep all others out.
bool Clients::evict() {
  return evict(doing::leaving, linger) || evict(doing::arriving, newcomer) || evict(doing::nothing, fresh) ||
         evict(doing::reading, slow_sender);
}

// A crowded node closes after an answer, where no client's next txn is crossed.
bool Clients::stays(const Connection& c) const {
  return c.in.keep_alive() && c.in.minor() > 0 && !closing_ && sockets_.open() < sockets_.most() * 3 / 4;
}

bool Clients::evict(doing what, steady::duration old) {
  const auto now = steady::now();
  const bool said_nothing = what == doing::arriving || what == doing::nothing;
  for (const Seat& s : seats_)
    if (const auto c = s.connection.lock();
        s.what == what && c && c->open() && now - s.since > old && (!said_nothing || c->quiet())) {
      ++counters_.clients_evicted;
      c->close();
      return true;
    }
  return false;
}

// Only what is quiet: what has begun to send is served first.
void Clients::close_idle() {
  for (const Seat& s : seats_)
    if (const auto c = s.connection.lock();
        c && (s.what == doing::nothing || s.what == doing::arriving) && c->quiet())
      c->close();
}

// A client that is turned away finds nobody while its front still counts on this node and the others are
// restarting too: who has a connection is served for as long as the node is sure to live.
awaitable<void> Clients::drain() {
  draining_ = true;
  asio::error_code ignored;
  // Another process takes who comes now: what was accepted is answered here, each answer the last of its
  // connection.
  if (inherited_) {
    closing_ = true;
    acceptor_.close(ignored);
  }
  micros longest = 0;
  for (const auto& row : house_.terms.schemes) longest = std::max(longest, row.expiry);
  const micros last_taken = clock_.now() + std::min(longest, longest_notice), end = last_taken + last_answers;
  desk_.end_by(end);
  asio::steady_timer pause(io_);
  pause.expires_at(inherited_ ? steady::now() + crossing : clock_.at(last_taken));
  co_await pause.async_wait(asio::use_awaitable);
  closing_ = true;
  acceptor_.close(ignored);
  do {
    close_idle();
    pause.expires_after(20ms);
    co_await pause.async_wait(asio::use_awaitable);
  } while (!seats_.empty() && clock_.now() < end);
}

awaitable<void> Clients::serve(connection c) {
  const seat s = seats_.insert(seats_.end(), Seat{c, doing::arriving, steady::now()});
  bool failed = false;
  try {
    const auto first_until = steady::now() + first_limit;
    for (bool first = true; co_await serve_next(c, s, first ? first_until : steady::time_point::max());)
      first = false;
  } catch (const std::exception& failure) {
    ++counters_.exceptions;
    log::error(log::part::clients, "client connection: {}", failure.what());
    failed = s->what == doing::txn;
  }
  try {
    // What was taken gets an answer, whatever went wrong on our side.
    if (failed && c->open()) co_await answer(c, 500, "", "failed\n", false);
  } catch (const std::exception& failure) {
    log::error(log::part::clients, "client connection: {}", failure.what());
  }
  c->close();
  seats_.erase(s);
}

void Clients::now_doing(seat s, doing what) {
  s->what = what;
  s->since = steady::now();
  seats_.splice(seats_.end(), seats_, s);
}

// One message and its answer; false when the connection is at its end.
awaitable<bool> Clients::serve_next(connection c, seat s, steady::time_point until) {
  reading got = c->in.next();
  asio::error_code error;
  if (got == reading::unfinished && !c->in.begun()) {
    if (s->what != doing::arriving) now_doing(s, doing::nothing);
    // A kept connection is a way in when no new one is dealt to any node; but many are for those that ask
    // again.
    const bool many = int(seats_.size()) > sockets_.most() / 4;
    c->limit(std::min(until, steady::now() + (many ? crowded_idle_limit : idle_limit)));
    co_await c->socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return false;
  }
  if (got == reading::unfinished) {
    now_doing(s, doing::reading);
    c->limit(std::min(until, steady::now() + message_limit));
    got = co_await c->read(error, most_kept, slow_pace);
    if (got == reading::unfinished) co_return false;
  }
  s->what = doing::page;
  c->no_limit();
  switch (got) {
    case reading::complete:
    case reading::longer:
      break;
    case reading::body_too_long:
      co_return co_await turn_down(c, s, 413, "the body is too long");
    case reading::head_too_long:
      co_return co_await turn_down(c, s, 431, "the headers are too long");
    default:
      co_return co_await turn_down(c, s, 400, "not HTTP/1.1");
  }
  const std::string_view target = c->in.target();
  if (c->in.connects()) co_return co_await turn_down(c, s, 405, "no tunnels");
  if (target.starts_with("/health/") || target == "/config") co_return co_await own_page(c, s);
  co_return co_await txn(c, s);
}

awaitable<bool> Clients::turn_down(connection c, seat s, int status, std::string_view why) {
  ++counters_.bad_requests;
  co_return co_await answer_last(c, s, status, "Content-Type: text/plain\r\n", fmt::format("{}\n", why));
}

// Where the client may still be sending: to close on that would reset the connection before it has read the
// answer.
awaitable<bool> Clients::answer_last(connection c, seat s, int status, std::string_view headers,
                                     std::string_view body) {
  co_await answer(c, status, headers, body, false);
  asio::error_code error;
  c->socket.shutdown(tcp::socket::shutdown_send, error);
  now_doing(s, doing::leaving);
  c->limit(steady::now() + last_words);
  std::array<char, 4096> rest{};
  while (!error)
    co_await c->socket.async_read_some(asio::buffer(rest), asio::redirect_error(asio::use_awaitable, error));
  co_return false;
}

awaitable<bool> Clients::own_page(connection c, seat s) {
  ++counters_.health_calls;
  const std::string_view target = c->in.target();
  constexpr std::string_view plain = "Content-Type: text/plain\r\n";
  if (c->in.method() != "GET" || !c->in.is_complete()) co_return co_await turn_down(c, s, 405, "only GET");
  if (target == "/config")
    co_return co_await answer(c, 200, "Content-Type: application/json\r\n", routes_.told());
  if (target == "/health/live") co_return co_await answer(c, 200, plain, "live\n");
  if (target != "/health/ready") co_return co_await turn_down(c, s, 404, "no such page");
  const bool ready = takes() && servers_.any();
  co_return co_await answer(c, ready ? 200 : 503, plain, ready ? "ready\n" : "not ready\n");
}

awaitable<bool> Clients::txn(connection c, seat s) {
  Asked asked = asked_of(c->in, house_);
  if (asked.status != 0) co_return co_await turn_down(c, s, asked.status, asked.why);
  if (desk_.knows(asked.id)) co_return co_await turn_down(c, s, 409, "Request-Id is in use");
  limits::Taken route =
      routes_.take({asked.scheme, asked.tenant, c->in.method(), c->in.target()}, clock_.now());
  const bool longer = !c->in.is_complete();
  if (longer) {
    asked.outbound->source = c;
    asked.said.coming = true;
    route.allowed.two_at_once = false;  // its body comes once
  } else {
    c->in.let_go();
  }
  const Desk::visit v = desk_.take(asked.id, asked.scheme, asked.tenant, clock_.of(c->arrived()), asked.left,
                                   asked.cost, std::move(route), asked.said);
  s->what = doing::txn;
  if (!longer) watch(c, [this, v] { desk_.leave(v); });
  std::vector<std::shared_ptr<Call>> calls;
  Order order;
  for (;;) {
    order = co_await desk_.pick(v);
    if (order.next == Order::what::post) {
      calls.push_back(std::make_shared<Call>());
      asio::co_spawn(io_, posting(c, v, calls.back(), order, asked.outbound), asio::detached);
    } else if (order.next == Order::what::withdraw) {
      if (std::size_t(order.posting) < calls.size()) calls[std::size_t(order.posting)]->withdraw();
    } else {
      break;
    }
  }
  asio::error_code ignored;
  if (c->open()) c->socket.cancel(ignored);  // the watch, or the reading of a long body
  const auto give = [&](int status, std::string_view headers, std::string_view body) {
    return c->in.is_complete() ? answer(c, status, headers, body) : answer_last(c, s, status, headers, body);
  };
  Ended& ended = counters_.ended(asked.scheme);
  switch (order.next) {
    case Order::what::settled: {
      Call& call = *calls[std::size_t(order.posting)];
      if (call.answer.longer) co_return co_await relay(c, call, asked.scheme);
      ++ended.settled;
      const Answer& a = call.answer;
      const std::string type = a.type.empty() ? "" : fmt::format("Content-Type: {}\r\n", a.type);
      co_return co_await give(200, type, a.body);
    }
    case Order::what::declined: {
      ++ended.declined;
      const std::string advice =
          order.come_back > 0 ? fmt::format("Retry-After: {:.3f}\r\n", double(order.come_back) / 1e6) : "";
      co_return co_await give(503, advice, "declined\n");
    }
    case Order::what::reversed: {
      ++ended.reversed;
      co_return co_await give(502, "", "reversed\n");
    }
    default:
      co_return false;
  }
}

// The rest of a long answer, as it comes and as the client takes it: each piece is read when the one before
// it is written. The txn has its answer, so neither ends it late; only a side that does nothing for long ends
// the transfer, and then the client can tell that it is not whole.
awaitable<bool> Clients::relay(connection c, Call& call, int scheme) {
  const auto from = call.connection;
  const auto told = from->in.content_length();
  const bool old = c->in.minor() == 0, framed = !told && !old, stay = stays(*c) && !(old && !told);
  asio::error_code error;
  c->socket.set_option(asio::socket_base::send_buffer_size(send_buffer), error);
  watch(c, [from] { from->close(); });
  std::string before =
      fmt::format("HTTP/1.1 200 OK\r\n{}{}{}\r\n",
                  call.answer.type.empty() ? "" : fmt::format("Content-Type: {}\r\n", call.answer.type),
                  told     ? fmt::format("Content-Length: {}\r\n", *told)
                  : framed ? "Transfer-Encoding: chunked\r\n"
                           : "",
                  stay ? "" : "Connection: close\r\n");
  // However it ends, it counts once, and what is not whole can be told: an exception's 500 would go into the
  // body.
  struct Transfer {
    Counters& counters;
    connection c, from;
    int scheme;
    bool through = false;
    ~Transfer() {
      ++(through ? counters.ended(scheme).settled : counters.ended(scheme).reversed);
      if (through) return;
      ++counters.answers_broken;
      from->close();
      c->abort();
    }
  } transfer{counters_, c, from, scheme};
  bool whole = false, taken = true;
  steady::duration waited{};
  while (taken) {
    const std::string_view body = from->in.body();
    std::string after;
    if (framed && !body.empty()) before += chunk_head(body.size()), after = "\r\n";
    if (framed && whole) after += "0\r\n\r\n";
    c->limit(steady::now() + stall_limit);
    std::size_t written = 0;
    taken = !co_await c->write(before, body, written) &&
            (after.empty() || !co_await c->write(after, {}, written));
    before.clear();
    if (whole || !taken) break;
    from->in.pass_on();
    from->limit(steady::now() + stall_limit);
    const auto since = steady::now();
    const reading got = co_await from->more(error);
    waited += steady::now() - since;
    from->no_limit();
    whole = got == reading::complete;
    if (error || too_slow(waited, from->in.came()) || (got != reading::unfinished && !whole)) break;
  }
  c->no_limit();
  if (c->open()) c->socket.cancel(error);
  transfer.through = whole && taken;
  if (transfer.through) servers_.done(call);
  co_return transfer.through&& stay;
}

// Whatever happens to it, a posting ends in one report to the desk.
awaitable<void> Clients::posting(connection c, Desk::visit v, std::shared_ptr<Call> call, Order order,
                                 std::shared_ptr<const Outbound> outbound) {
  if (outbound->source)
    call->moved = [this, c, v] {
      desk_.still_coming(v, c->in.is_complete());
      if (c->in.is_complete()) watch(c, [this, v] { desk_.leave(v); });
    };
  try {
    const micros until = order.wait > 0 ? std::min(v->expiry, clock_.now() + order.wait) : v->expiry;
    co_await servers_.post(call, order.server, std::move(outbound), until);
  } catch (const std::exception& failure) {
    ++counters_.exceptions;
    log::error(log::part::clients, "posting to {}: {}", order.server, failure.what());
    call->answer.how = ending::reset;
    call->connection.reset();
  }
  const Answer& a = call->answer;
  if (call->source_failed) desk_.leave(v);
  if (call->let_go && a.how != ending::settled) desk_.no_further(v);
  call->moved = nullptr;
  if (v->over()) call->connection.reset();  // another's answer is passed on: this one is not read
  desk_.report(v, order.posting, a.how, a.lag, a.reported ? &a.report : nullptr);
}

// True if the client has it whole and the connection may go on.
awaitable<bool> Clients::answer(connection c, int status, std::string_view headers, std::string_view body,
                                bool may_stay) {
  const bool stay = may_stay && stays(*c);
  const std::string head =
      fmt::format("HTTP/1.1 {} {}\r\n{}{}Content-Length: {}\r\n\r\n", status, phrase(status), headers,
                  stay ? "" : "Connection: close\r\n", body.size());
  c->limit(steady::now() + write_limit);
  std::size_t written = 0;
  const auto broken = co_await c->write(head, body, written);
  if (broken) ++counters_.answers_broken;
  c->no_limit();
  co_return stay && !broken;
}

// A client that closes while its txn is at the desk, or while it is answered, has gone away.
void Clients::watch(const connection& c, std::function<void()> gone) {
  c->socket.async_wait(tcp::socket::wait_read, [c, gone = std::move(gone)](asio::error_code cancelled) {
    if (!cancelled && c->peer_gone()) gone();
  });
}

}  // namespace robinpin::node
