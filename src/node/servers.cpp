#include "servers.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace robinpin::node {

namespace {

constexpr steady::duration least_doubt = std::chrono::milliseconds(1),
                           most_doubt = std::chrono::milliseconds(5);
constexpr std::size_t most_idle = 64;  // kept to one server
constexpr int most_interim_answers = 16;

}  // namespace

ending ending_of(how_far came, bool withdrawn, bool ran_out) {
  if (withdrawn) return ending::withdrawn;
  if (came < how_far::written) return ending::unreachable;
  return ran_out ? ending::timed_out : ending::reset;
}

bool read_report(std::string_view text, const std::vector<std::string>& figures, Report& report) {
  bool any = false;
  while (!text.empty()) {
    const auto comma = std::min(text.find(','), text.size());
    const std::string_view part = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    const auto equals = part.find('=');
    if (equals == std::string_view::npos) continue;
    const std::string name(trim(part.substr(0, equals)));
    const std::string_view digits = trim(part.substr(equals + 1));
    double v = 0;
    const auto [stop, wrong] = std::from_chars(digits.data(), digits.data() + digits.size(), v);
    if (wrong != std::errc() || stop != digits.data() + digits.size() || !(v >= 0 && v < 1e9)) continue;
    if (std::find(figures.begin(), figures.end(), name) == figures.end()) continue;
    read::set_figure(report, name, v);
    any = true;
  }
  return any;
}

Servers::Servers(asio::io_context& io, const Clock& clock, Sockets& sockets, Counters& counters,
                 const read::House& house, std::size_t most_answer)
    : io_(io),
      clock_(clock),
      sockets_(sockets),
      counters_(counters),
      house_(house),
      most_answer_(most_answer) {
  sockets_.evict_by([this] { return evict(); });
}

void Servers::told(const std::string& uid, tcp::endpoint at, micros started, bool gone) {
  if (gone) {
    peers_.erase(uid);
    return;
  }
  Peer& peer = peers_[uid];
  if (peer.at != at || peer.started != started) peer.idle.clear();
  peer.started = started;
  peer.at = at;
}

void Servers::only(const std::unordered_set<std::string>& told) {
  std::erase_if(peers_, [&](const auto& p) { return !told.contains(p.first); });
}

// The last used goes first, so that those not needed grow old and are closed.
std::shared_ptr<Connection> Servers::kept(Peer& peer) {
  while (!peer.idle.empty()) {
    auto c = std::move(peer.idle.back());
    peer.idle.pop_back();
    const bool fresh = steady::now() - c->idle_since < keep_for();
    if (fresh && c->quiet()) return c;
    ++counters_.idle_closed;
  }
  return nullptr;
}

void Servers::keep(const std::string& uid, std::shared_ptr<Connection> c) {
  c->no_limit();
  const auto p = peers_.find(uid);
  asio::error_code gone;
  if (p == peers_.end() || c->socket.remote_endpoint(gone) != p->second.at || gone ||
      p->second.idle.size() >= most_idle)
    return;
  c->idle_since = steady::now();
  p->second.idle.push_back(std::move(c));
}

bool Servers::evict() {
  Peer* oldest = nullptr;
  for (auto& [uid, p] : peers_)
    if (!p.idle.empty() && (!oldest || p.idle.front()->idle_since < oldest->idle.front()->idle_since))
      oldest = &p;
  if (!oldest) return false;
  oldest->idle.pop_front();
  ++counters_.idle_evicted;
  return true;
}

void Servers::dialled(const std::string& uid, const Connection& c, asio::error_code failed) {
  const auto p = peers_.find(uid);
  if (p == peers_.end()) return;
  log::Trouble& t = p->second.dialling;
  if (failed) {
    const std::string cause = c.ran_out() ? "is not up in time" : failed.message();
    if (t.fails(cause))
      log::warning(log::part::servers, "{} at {}:{} takes no connection: {}", uid,
                   p->second.at.address().to_string(), p->second.at.port(), cause);
  } else if (t.mended()) {
    log::info(log::part::servers, "{} takes connections again, after {} failures in {:.1f} s", uid, t.times(),
              t.lasted());
  }
}

awaitable<void> Servers::sweep() {
  asio::steady_timer timer(io_);
  for (;;) {
    timer.expires_after(std::chrono::seconds(1));
    co_await timer.async_wait(asio::use_awaitable);
    const auto old = steady::now() - keep_for();
    for (auto& [uid, p] : peers_)
      for (; !p.idle.empty() && p.idle.front()->idle_since < old; ++counters_.idle_closed) p.idle.pop_front();
  }
}

awaitable<void> Servers::post(std::shared_ptr<Call> call, std::string uid,
                              std::shared_ptr<const Outbound> outbound, micros expiry) {
  const micros sent = clock_.now();
  call->server = uid;
  co_await exchange(*call, uid, *outbound, expiry);
  Answer& a = call->answer;
  if (a.came != how_far::answered)
    a.how = ending_of(a.came, call->withdrawn, call->connection && call->connection->ran_out());
  if (a.lag == 0) a.lag = clock_.now() - sent;
  if (!a.longer) call->connection.reset();
}

awaitable<void> Servers::exchange(Call& call, const std::string& uid, const Outbound& outbound,
                                  micros expiry) {
  Answer& a = call.answer;
  const auto p = peers_.find(uid);
  if (p == peers_.end() || call.withdrawn) co_return;
  const tcp::endpoint at = p->second.at;  // the peer itself may be gone after any wait
  call.connection = kept(p->second);
  if (call.connection) {
    ++counters_.reuses;
  } else {
    if (!sockets_.ensure_capacity()) {
      ++counters_.no_room;
      co_return;
    }
    ++counters_.dials;
    call.connection = std::make_shared<Connection>(tcp::socket(io_), sockets_, HTTP_RESPONSE,
                                                   Limits{16 * 1024, most_answer_});
    call.connection->limit(clock_.at(std::min(expiry, clock_.now() + house_.dial_limit)));
    const auto failed = co_await call.connection->connect(at);
    if (!call.withdrawn) dialled(uid, *call.connection, failed);
    if (failed) {
      ++counters_.dials_failed;
      if (unreachable_ && !call.withdrawn) unreachable_();
      co_return;
    }
  }
  Connection& c = *call.connection;
  const micros left = expiry - clock_.now();
  if (call.withdrawn || !c.open() || left <= 0) co_return;
  a.came = how_far::connected;
  c.limit(clock_.at(expiry));
  const std::string start =
      fmt::format("{}{}Request-Timeout-Ms: {}\r\n", outbound.start, outbound.headers, left / 1000);
  micros sent = 0;
  if (outbound.source) {
    const auto told = outbound.source->in.content_length();
    const std::string head = told ? fmt::format("{}Content-Length: {}\r\n\r\n", start, *told)
                                  : start + "Transfer-Encoding: chunked\r\n\r\n";
    if (co_await send_long(call, outbound, head, left)) co_return;
    sent = clock_.now();
  } else {
    const std::string head = fmt::format("{}Content-Length: {}\r\n\r\n", start, outbound.body.size());
    std::size_t written = 0;
    const auto broken = co_await send(c, outbound, head, written);
    if (written == head.size() + outbound.body.size()) {
      a.came = how_far::written;
      ++counters_.postings_written;
    }
    if (broken) co_return;
  }
  if (call.withdrawn) co_return;
  asio::error_code error;
  reading got = co_await c.read(error, most_kept, 0, open_ended_kept);
  // Interim answers say nothing.
  for (int interims = 0; got == reading::complete && c.in.status() < 200;) {
    if (++interims > most_interim_answers) {
      got = reading::malformed;
      break;
    }
    got = c.in.next();
    if (got == reading::unfinished) got = co_await c.read(error, most_kept, 0, open_ended_kept);
  }
  if (got == reading::unfinished) co_return;
  a.came = how_far::answered;
  // A server's part begins with the last byte that a client has sent.
  if (sent > 0) a.lag = std::max<micros>(1, clock_.now() - sent);
  if (got != reading::complete && got != reading::longer) {
    a.how = ending::error;
    co_return;
  }
  read_answer(call, c.in);
  if (got == reading::longer) {
    a.longer = a.how == ending::settled;
    if (a.longer) c.no_limit();
    co_return;
  }
  // What comes behind an answer was not asked for: nothing else may be read there.
  if (!c.in.keep_alive() || c.in.behind()) co_return;
  c.in.next();
  if (c.quiet()) keep(uid, std::move(call.connection));
}

// A server that has given up a connection resets it at the first bytes of a request. Where the request may
// run once only, its last byte waits until that would be known: before it nothing runs.
awaitable<asio::error_code> Servers::send(Connection& c, const Outbound& outbound, std::string_view head,
                                          std::size_t& written) {
  std::string_view body = outbound.body;
  if (!outbound.once) co_return co_await c.write(head, body, written);
  std::string_view& tail = body.empty() ? head : body;
  const std::string_view last = tail.substr(tail.size() - 1);
  tail.remove_suffix(1);
  if (const auto broken = co_await c.write(head, body, written)) co_return broken;
  co_return co_await send_last(c, last, written);
}

awaitable<asio::error_code> Servers::send_last(Connection& c, std::string_view last, std::size_t& written) {
  asio::steady_timer pause(io_);
  pause.expires_after(std::clamp<steady::duration>(2 * c.round_trip(), least_doubt, most_doubt));
  co_await pause.async_wait(asio::use_awaitable);
  if (c.peer_gone()) co_return asio::error_code(asio::error::connection_reset);
  std::size_t more = 0;
  const auto broken = co_await c.write(last, {}, more);
  written += more;
  co_return broken;
}

std::string chunk_head(std::size_t size) { return fmt::format("{:x}\r\n", size); }

// As it comes from the client: each piece is read when the one before it is written, so that neither side's
// pace fills the node. What was read is let go with the next piece; before that another server could still be
// tried.
awaitable<asio::error_code> Servers::send_long(Call& call, const Outbound& outbound, std::string_view head,
                                               micros left) {
  Connection &c = *call.connection, &from = *outbound.source;
  const bool framed = !from.in.content_length();
  // A server that answers before it has all has not begun: no more is sent to it.
  struct Watch {
    bool early = false, over = false;
  };
  const auto w = std::make_shared<Watch>();
  c.socket.async_wait(tcp::socket::wait_read, [w, kept = call.connection](asio::error_code cancelled) {
    if (w->over || cancelled) return;
    w->early = true;
    asio::error_code ignored;
    kept->socket.cancel(ignored);
  });
  const auto over = [&](asio::error_code why) {
    w->over = true;
    asio::error_code ignored;
    if (c.open()) c.socket.cancel(ignored);
    return why;
  };
  const auto broken_off = [&] { return w->early || call.withdrawn; };
  std::string before(head), last;
  steady::duration waited{};
  for (reading got = reading::longer;;) {
    const bool whole = got == reading::complete;
    std::string_view body = from.in.body();
    if (framed && !body.empty()) before += chunk_head(body.size());
    std::string after = framed && !body.empty() ? "\r\n" : "";
    if (framed && whole) after += "0\r\n\r\n";
    if (whole) {  // the last byte waits where nothing may run twice
      if (!after.empty()) {
        last = after.substr(after.size() - 1);
        after.pop_back();
      } else if (!body.empty()) {
        last = std::string(body.substr(body.size() - 1));
        body.remove_suffix(1);
      }
    }
    c.limit(steady::now() + stall_limit);
    std::size_t written = 0;
    if (const auto broken = co_await c.write(before, body, written)) co_return over(broken);
    if (!after.empty())
      if (const auto broken = co_await c.write(after, {}, written)) co_return over(broken);
    before.clear();
    if (broken_off()) co_return over(asio::error_code(asio::error::connection_reset));
    if (whole) break;
    c.no_limit();
    call.let_go = true;
    if (call.moved) call.moved();
    from.in.pass_on();
    asio::error_code error;
    from.limit(steady::now() + stall_limit);
    const auto since = steady::now();
    got = co_await from.more(error);
    waited += steady::now() - since;
    if (broken_off()) co_return over(asio::error_code(asio::error::connection_reset));
    call.source_failed =
        error || too_slow(waited, from.in.came()) || (got != reading::unfinished && got != reading::complete);
    if (call.source_failed) co_return over(asio::error_code(asio::error::eof));
    from.no_limit();
  }
  if (call.moved) call.moved();
  over({});
  std::size_t written = 0;
  const auto broken =
      outbound.once ? co_await send_last(c, last, written) : co_await c.write(last, {}, written);
  if (written == last.size()) {
    call.answer.came = how_far::written;
    ++counters_.postings_written;
  }
  c.limit(clock_.at(clock_.now() + left));
  co_return broken;
}

void Servers::done(Call& call) {
  Connection& c = *call.connection;
  if (!c.in.keep_alive() || c.in.behind()) return;
  c.in.next();
  if (c.quiet()) keep(call.server, std::move(call.connection));
}

void Servers::read_answer(Call& call, const Message& m) const {
  Answer& a = call.answer;
  a.reported = read_report(m.header("Server-Load"), house_.figures, a.report);
  if (m.status() == 200) {
    a.how = ending::settled;
    a.type = m.header("Content-Type");
    if (m.is_complete()) a.body = m.body();
  } else {
    const bool never_ran = (m.status() == 503 || m.status() == 504) && m.header("Not-Started") == "1";
    a.how = never_ran ? ending::refused : ending::error;
  }
}

}  // namespace robinpin::node
