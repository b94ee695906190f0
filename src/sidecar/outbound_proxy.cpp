#include "outbound_proxy.h"

#include <fmt/format.h>

#include <algorithm>

#include "../net/detached.h"
#include "../net/listening.h"
#include "../rpc/server.h"
#include "../transport/address.h"

namespace robinpin::sidecar {

namespace {

using namespace std::chrono_literals;
constexpr std::size_t pace = 64 * 1024;  // bytes a second that a body comes at, at the least
constexpr std::chrono::seconds write_limit = 10s, body_limit = 10s, probe_limit = 1s, out_limit = 1s;
constexpr micros unready_back = 300'000;  // when to come back to a node that is not ready
constexpr micros closing_margin =
    8'000;  // by which a server's time is shorter than its caller's: its word still gets here
constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr double usual_bytes =
    10'000;  // of a request and its answer, which the module's term of a crossing goes by
constexpr double most_crossing =
    10;                         // times that: a server of the own zone that answers in time at all goes first
constexpr int bodies_part = 4;  // of this process's memory that bodies may take, as a divisor
constexpr auto closes_idle_after = 2500ms;  // after SIGTERM: callers have been told by then

ConnectionOptions between_nodes() {
  ConnectionOptions m;
  m.dial_limit = 250ms;
  m.idle_limit = 25s;
  m.user_timeout_ms = 800;
  m.asks_first = Source::handed;
  return m;
}

// Whether a caller of this connection is gone, told once, while nothing else is read there.
class DisconnectWatch {
 public:
  // While a body is still being read that reading tells it: the watch begins when it is whole.
  DisconnectWatch(std::shared_ptr<Connection> c, std::shared_ptr<Source> source, std::function<void()> gone)
      : c_(std::move(c)), source_(std::move(source)), state_(std::make_shared<State>()) {
    state_->gone = std::move(gone);
    if (source_)
      source_->whole = [this] { wait(); };
    else
      wait();
  }
  ~DisconnectWatch() {
    state_->over = true;
    if (source_) source_->whole = nullptr;
    asio::error_code ignored;
    if (c_->open() && state_->waits) c_->socket.cancel(ignored);
  }
  DisconnectWatch(const DisconnectWatch&) = delete;
  DisconnectWatch& operator=(const DisconnectWatch&) = delete;

 private:
  struct State {
    bool over = false, waits = false;
    std::function<void()> gone;
  };
  void wait() { wait(c_, state_); }
  static void wait(const std::shared_ptr<Connection>& c, const std::shared_ptr<State>& s) {
    s->waits = true;
    c->socket.async_wait(tcp::socket::wait_read, [c, s](asio::error_code cancelled) {
      s->waits = false;
      if (s->over) return;
      if (c->peer_gone())
        s->gone();
      else if (!cancelled && c->still())
        wait(c, s);  // woken by what was read before
    });
  }
  std::shared_ptr<Connection> c_;
  std::shared_ptr<Source> source_;
  std::shared_ptr<State> state_;
};

// How long a caller waits for its answer from the sending of its request: as it says, but no longer than the
// route's deadline.
micros remaining_of(const codec::Message& request, const configuration::Route& route) {
  constexpr long long longest_ms = 600'000;
  if (request.times("X-Remaining-Ms") == 0) return route.deadline;
  const long long told_ms = codec::whole_number(request.header("X-Remaining-Ms"));
  if (told_ms < 0) return route.deadline;
  return std::min<micros>(route.deadline, std::min(told_ms, longest_ms) * 1000);
}

// By how much a caller gets its final answer before its time is over: the answer has a way to go.
micros answer_margin(micros remaining) {
  constexpr int part = 50;
  return std::max(closing_margin, remaining / part);
}

// Adds to a total while it lives. The total is shared: a suspended coroutine may outlive its node.
class ScopedCount {
 public:
  ScopedCount(std::shared_ptr<std::size_t> total, std::size_t amount)
      : total_(std::move(total)), amount_(amount) {
    *total_ += amount_;
  }
  ~ScopedCount() { *total_ -= amount_; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  std::shared_ptr<std::size_t> total_;
  std::size_t amount_;
};

}  // namespace

OutboundProxy::OutboundProxy(asio::io_context& io, const node::Clock& clock, Sockets& sockets,
                             const bootstrap::Settings& settings, InboundProxy& hand, std::uint32_t seed)
    : io_(io),
      clock_(clock),
      sockets_(sockets),
      settings_(settings),
      inbound_proxy_(hand),
      balancers_(io, clock, desk_counts_, settings, seed),
      plan_(std::make_shared<configuration::RouteTable>()),
      most_bodies_(std::size_t(settings.memory_mb) * 1024 * 1024 / bodies_part),
      chance_(seed),
      self_(transport::parse_address(settings.ip)) {
  retry_budget_.bounds(settings.retry_window, settings.retry_ratio, settings.retry_slack, 1);
  sockets.evict_by([this] {
    return std::any_of(upstreams_.begin(), upstreams_.end(), [](auto& w) { return w.second->evict(); });
  });
}

void OutboundProxy::plan(std::shared_ptr<const configuration::RouteTable> plan) {
  const bool rest_longer = plan->bounds.idle > plan_->bounds.idle;
  plan_ = plan;
  if (rest_longer) extend_idle();
  inbound_proxy_.plan(plan);
  balancers_.plan(*plan);
}

// Clients go by the limit that is in force as they take up a connection, not by the one under which it began
// to rest. A shorter one binds connections from their next rest on: some clients still go by the longer.
void OutboundProxy::extend_idle() {
  for (const auto& weak : callers_) {
    const auto c = weak.lock();
    if (!c || !c->open() || c->in.begun() || c->idle_since == steady::time_point()) continue;
    c->limit(c->idle_since + std::chrono::microseconds(plan_->bounds.idle));
  }
}

void OutboundProxy::servers(const gossip::MembershipTable& roll, std::int64_t now) {
  balancers_.servers(roll, *plan_, now);
  // Of what is free each of twice the nodes known has a part: some may be unknown here, and a new incarnation
  // begins anew.
  retry_budget_.bounds(settings_.retry_window, settings_.retry_ratio, settings_.retry_slack,
                       2 * balancers_.nodes());
  for (auto& [machine, w] : upstreams_)
    if (const gossip::MemberRecord* r = roll.find(machine); r && r->expired) w->forget();
}

UpstreamPool& OutboundProxy::way(gossip::Machine m) {
  auto& w = upstreams_[m];
  if (!w) {
    const auto colon = settings_.ports.at("inbound").rfind(':');
    w = std::make_unique<UpstreamPool>(
        io_, sockets_,
        node::endpoint_of(transport::format_address(m) + settings_.ports.at("inbound").substr(colon)),
        between_nodes());
  }
  return *w;
}

void OutboundProxy::sweep() {
  for (auto& [m, w] : upstreams_) w->sweep();
  inbound_proxy_.sweep();
  std::erase_if(callers_, [](const auto& c) { return c.expired(); });
}

void OutboundProxy::ends(micros refuses_from) {
  ending_ = true;
  refuses_from_ = refuses_from;
  auto timer = std::make_shared<asio::steady_timer>(io_, closes_idle_after);
  timer->async_wait([this, timer](asio::error_code) {
    for (const auto& weak : callers_)
      if (const auto c = weak.lock(); c && c->open() && !c->in.begun()) c->close();
  });
}

OutboundProxy::Answer OutboundProxy::own(int status, std::string_view fault, micros come_back) {
  Answer a;
  a.status = status;
  a.body = fmt::format("{{\"fault\":\"{}\"}}", fault);
  a.headers = "Content-Type: application/json\r\n";
  if (come_back > 0) a.headers += fmt::format("Retry-After: {:.3f}\r\n", double(come_back) / 1e6);
  return a;
}

OutboundProxy::Answer OutboundProxy::passed_on(const UpstreamResult& f) {
  Answer a;
  a.status = f.status;
  for (const auto& [name, value] : f.headers)
    if (!of_mesh(name)) a.headers += fmt::format("{}: {}\r\n", name, value);
  a.body = f.body;
  return a;
}

// The mark alone says that a request has not run: a server's own status makes no promise for one that may run
// once.
OutboundProxy::Answer OutboundProxy::passed_on(const UpstreamResult& f, const ClientRequest& t) {
  const bool promises = f.status == 408 || f.status == 429 || f.status == 503;
  if (promises && t.channel->kind != configuration::mode::idempotent)
    return own(502, "the server has not said that it did not run it");
  return passed_on(f);
}

awaitable<void> OutboundProxy::serve(std::shared_ptr<Connection> c) {
  callers_.push_back(c);
  for (bool first = true;; first = false) {
    if (!c->in.begun()) {
      const configuration::Bounds& bounds = plan_->bounds;
      if (!first) c->idle_since = steady::now();
      c->limit(steady::now() + std::chrono::microseconds(first ? bounds.header : bounds.idle));
      if (!c->in.behind()) {
        asio::error_code gone;
        co_await c->socket.async_wait(tcp::socket::wait_read,
                                      asio::redirect_error(asio::use_awaitable, gone));
        if (gone) co_return;
      }
    }
    const ScopedCount pending(pending_, 1);
    c->limit(steady::now() + std::chrono::microseconds(plan_->bounds.header));
    asio::error_code error;
    const codec::reading got =
        c->in.whole() ? codec::reading::complete : co_await c->read(error, Source::kept, pace);
    if (error || got == codec::reading::unfinished) co_return;
    c->no_limit();
    Answer a;
    bool gone = false;
    const auto source = got == codec::reading::longer ? std::make_shared<Source>(io_, c) : nullptr;
    const bool read = got == codec::reading::complete || source;
    if (!read) {
      ++counts_.own_4xx;
      a = own(got == codec::reading::body_too_long   ? 413
              : got == codec::reading::head_too_long ? 431
                                                     : 400,
              "the request can't be read");
    } else {
      if (source && c->in.wants_word()) {
        std::size_t written = 0;
        error = co_await c->write(go_on, {}, written);
        if (error) co_return;
      }
      const ScopedCount body_bytes(bodies_, source ? Source::kept : c->in.body().size());
      most_held_ = std::max(most_held_, *bodies_);
      if (*bodies_ <= most_bodies_)
        a = co_await answer_to(c, source, gone);
      else
        ++counts_.refused, a = own(503, "this node holds all it can", unready_back);
      while (source && source->pouring)
        co_await source->rest.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    if (gone || !c->open()) co_return;
    const bool rest = source && !c->in.whole();
    // What a client has sent behind this request already is answered, too, before a process ends.
    const bool last = ending_ && !c->in.behind() && c->still();
    const bool stays = read && !rest && c->in.keep_alive() && !last;
    c->limit(steady::now() + write_limit);
    const bool bare = a.status == 204 || a.status == 304;
    const std::string head =
        fmt::format("HTTP/1.1 {} {}\r\n{}{}{}\r\n", a.status, rpc::phrase(a.status), a.headers,
                    bare ? "" : fmt::format("Content-Length: {}\r\n", a.body.size()),
                    stays ? "" : "Connection: close\r\n");
    std::size_t written = 0;
    error = co_await c->write(head, c->in.method() == "HEAD" ? std::string_view() : std::string_view(a.body),
                              written);
    if (!error && rest) co_await read_out(*c);
    if (!error && !stays) co_await c->see_out(out_limit);
    if (error || !stays) co_return;
    if (const auto next = c->next(); next != codec::reading::unfinished && next != codec::reading::complete)
      co_return;
  }
}

awaitable<OutboundProxy::Answer> OutboundProxy::answer_to(std::shared_ptr<Connection> c,
                                                          std::shared_ptr<Source> source, bool& gone) {
  const codec::Message& m = c->in;
  const std::string id(m.header("X-Attempt-Id"));
  if (!codec::plain_word(id) || m.times("X-Attempt-Id") != 1 || !m.clean()) {
    ++counts_.own_4xx;
    co_return own(400, "no X-Attempt-Id, or a malformed head");
  }
  if (!ready_) {
    ++counts_.refused;
    co_return own(503, "this node is not ready", unready_back);
  }
  if (clock_.now() >= refuses_from_) {
    ++counts_.refused;
    co_return own(503, "this node is about to end", unready_back);
  }
  auto t = std::make_shared<ClientRequest>();
  t->plan = plan_;
  t->channel = plan_->find(m.header("Host"), m.target());
  if (!t->channel) {
    ++counts_.own_4xx;
    co_return own(404, "no route");
  }
  const micros elapsed = clock_.now() - clock_.of(c->message_arrived());
  const micros remaining = remaining_of(m, *t->channel);
  const micros left = remaining - elapsed - answer_margin(remaining);
  if (left <= closing_margin) {
    ++counts_.refused;
    co_return own(503, "no time is left");
  }
  t->service = t->channel->service(double(chance_()) / 4294967296.0);
  ServiceBalancers::ServiceBalancer* choice = balancers_.of(t->service);
  const int row = choice ? balancers_.row(*choice, *t->channel) : -1;
  if (row < 0 || !choice->desk) {
    ++counts_.refused;
    co_return own(503, "no server of the service is known", unready_back);
  }
  t->desk = choice->desk.get();
  if (auto& set = probing_[t->desk]; !set) {
    set = true;
    t->desk->probes_by([this, desk = t->desk](const std::string& server) {
      asio::co_spawn(io_, probe(desk, server), node::log_failure);
    });
  }
  t->request = std::make_shared<OutgoingRequest>();
  t->request->id = id;
  t->request->method = m.method();
  t->request->target = m.target();
  const std::string_view listed = m.header("Connection");
  for (std::size_t i = 0; i < m.headers(); ++i) {
    const auto [name, value] = m.header(i);
    if (of_connection(name, listed) || of_mesh(name) || codec::same_name(name, instance_header) ||
        codec::same_name(name, "X-Remaining-Ms") || codec::same_name(name, "X-Caller-Service"))
      continue;
    t->common += fmt::format("{}: {}\r\n", name, codec::trim(value));
  }
  t->common += fmt::format("X-Caller-Service: {}\r\n", settings_.target);
  t->request->source = source;
  if (!source && m.has_body()) t->request->body = std::make_shared<const std::string>(m.body());
  retry_budget_.taken(steady_now(), t->service);
  ++counts_.taken;
  limits::Taken taken;
  taken.allowed.two_at_once = false;
  const double bytes = source ? double(m.told().value_or(Source::kept)) : double(m.body().size());
  taken.allowed.crossing = std::clamp(bytes / usual_bytes, 1.0, most_crossing);
  const micros waited = t->channel->deadline - remaining + elapsed;
  t->aim_at = clock_.now() + std::max<micros>(0, t->channel->aim - waited);
  t->visit =
      t->desk->take(fmt::format("{}", ++number_), row, -1, clock_.now(), left, 0, std::move(taken), {});
  co_return co_await run(c, t, gone);
}

awaitable<OutboundProxy::Answer> OutboundProxy::run(std::shared_ptr<Connection> c, client_request t,
                                                    bool& gone) {
  t->left = [&gone, t = t.get()] {
    gone = true;
    t->desk->leave(t->visit);
  };
  const DisconnectWatch watch(c, t->request->source, t->left);
  // What has not been offered to any server within a quarter of its aim is not held further.
  const auto held_out = std::make_shared<bool>(false);
  asio::steady_timer patience(io_, std::chrono::microseconds(t->channel->aim / 4));
  patience.async_wait([t, held_out](asio::error_code cancelled) {
    if (cancelled || t->offered > 0 || t->visit->over()) return;
    *held_out = true;
    t->desk->leave(t->visit);
  });
  for (;;) {
    node::Order order = co_await t->desk->pick(t->visit);
    switch (order.next) {
      case node::Order::what::post:
        t->out[order.posting] = std::make_shared<InFlightRequest>();
        asio::co_spawn(io_, post(t, order), node::log_failure);
        break;
      case node::Order::what::withdraw:
        if (const auto it = t->out.find(order.posting); it != t->out.end()) it->second->call_off();
        break;
      case node::Order::what::settled: {
        ++counts_.good;
        const auto result = t->done[order.posting];
        co_return passed_on(result->fate, *t);
      }
      case node::Order::what::declined:
      case node::Order::what::reversed:
      case node::Order::what::gone:
        ++endings_[fmt::format("{}:given up {}", t->service,
                               *held_out ? "held out"
                               : gone    ? "caller gone"
                                         : node::cause_names[std::size_t(order.why)])];
        for (auto& [n, in_flight] : t->out) in_flight->call_off();
        if (*held_out) {
          ++counts_.refused;
          co_return own(503, "no server can take it now",
                        std::max<micros>(unready_back, t->channel->aim / 4));
        }
        if (gone) co_return Answer{};
        // A failure of a server's own, where nothing better came.
        if (t->last && t->last->how == outcome::answered) {
          ++counts_.failed;
          co_return passed_on(t->last->fate, *t);
        }
        if (order.next == node::Order::what::declined && !t->may_have_run) {
          ++counts_.refused;
          co_return own(503, "no server has run it", std::max<micros>(100'000, order.come_back));
        }
        ++counts_.failed;
        co_return own(clock_.now() >= t->visit->expiry - 2 * closing_margin ? 504 : 502,
                      "a server may have run it, and no answer came");
    }
  }
}

awaitable<void> OutboundProxy::post(client_request t, node::Order order) {
  const auto in_flight = t->out[order.posting];
  // Nothing is sent for a caller that has its answer (held out: a promise), however this coroutine comes to
  // begin.
  if (t->visit->over()) {
    t->desk->report(t->visit, order.posting, ending::moot, 0, nullptr);
    co_return;
  }
  const auto& source = t->request->source;
  const bool repeat = t->arrivals > 0;  // it would be a further arrival
  if (repeat && !retry_budget_.spend(steady_now(), t->service)) {
    t->desk->no_further(t->visit);
    t->desk->report(t->visit, order.posting, ending::moot, 0, nullptr);
    co_return;
  }
  const micros begun = clock_.now(), left = t->visit->expiry - begun;
  auto request = std::make_shared<OutgoingRequest>(*t->request);
  const admission::AdmissionController::Asked asked{
      t->channel->deadline, std::max<micros>(0, t->aim_at - begun), left, source != nullptr,
      source ? double(source->from->in.told().value_or(Source::kept)) : 0};
  request->headers =
      fmt::format("{}X-Remaining-Ms: {}\r\n{}: {}\r\n{}: {}\r\n{}: {}\r\n", t->common,
                  std::max<micros>(1, (left - closing_margin) / 1000), instance_header, order.server,
                  deadline_header, asked.deadline / 1000, aim_header, asked.to_aim / 1000);
  ++t->offered;
  if (repeat) ++counts_.further;
  auto result = std::make_shared<Result>(
      co_await forward(in_flight, request, order.server, asked, clock_.at(t->visit->expiry)));
  const micros lag = source ? result->fate.lag : clock_.now() - begun;
  // Who broke off is the caller: that tells nothing of the server, and it may be answered nothing any more.
  if (source && source->failed && !t->visit->over()) t->left();
  if (source && source->let_go) t->desk->no_further(t->visit);
  ending how = ending::error;
  switch (result->how) {
    case outcome::answered:
      ++t->arrivals;
      t->last = result;
      how = result->fate.status >= 200 && result->fate.status < 500 ? ending::settled : ending::error;
      if (how == ending::error) t->may_have_run = true;
      break;
    case outcome::held:
      ++counts_.held;
      how = source && source->failed       ? ending::withdrawn
            : result->why == "unreachable" ? ending::unreachable
                                           : ending::refused;
      break;
    case outcome::refused:
      ++t->arrivals;
      how = source && source->failed ? ending::withdrawn : ending::refused;
      break;
    case outcome::unknown:
      ++t->arrivals;
      t->may_have_run = true;
      how = in_flight->off ? ending::withdrawn : result->why == "late" ? ending::timed_out : ending::reset;
      break;
  }
  static constexpr const char* words[] = {"answered", "held", "refused", "unknown"};
  ++endings_[fmt::format(
      "{}:{} {}", t->service, words[int(result->how)],
      result->how == outcome::answered ? std::to_string(result->fate.status) : result->why)];
  t->done[order.posting] = result;
  const bool again = how != ending::settled && !t->visit->over();
  if (again && t->arrivals >= t->channel->tries) t->desk->no_further(t->visit);
  if (again && t->arrivals > 0 && !retry_budget_.spares(steady_now(), t->service))
    t->desk->no_further(t->visit);
  t->desk->report(t->visit, order.posting, how, std::max<micros>(1, lag), nullptr);
}

awaitable<Result> OutboundProxy::forward(std::shared_ptr<InFlightRequest> in_flight,
                                         std::shared_ptr<const OutgoingRequest> request, std::string server,
                                         admission::AdmissionController::Asked asked,
                                         steady::time_point until) {
  const gossip::Machine machine = balancers_.machine(server);
  if (machine == self_)
    co_return co_await inbound_proxy_.take(in_flight, request, std::move(server), asked, until);
  Result r;
  if (machine == 0) {
    r.how = outcome::held;
    r.why = admission::names[std::size_t(admission::held::no_server)];
    co_return r;
  }
  r.fate = co_await way(machine).carry(in_flight, request, until);
  const UpstreamResult& f = r.fate;
  if (f.how_far < came::written) {
    r.how = outcome::held;
    r.why = "unreachable";
    if (request->source && request->source->failed) co_return r;
    if (const auto w = upstreams_.find(machine); w != upstreams_.end()) w->second->forget();
  } else if (f.how_far == came::answered) {
    if (const auto why = f.header(held_header); !why.empty())
      r.how = outcome::held, r.why = why;
    else if (const auto broke = f.header(broke_header); !broke.empty())
      r.why = broke;
    else
      r.how = !f.header("X-Not-Executed").empty() || f.status == 421 ? outcome::refused : outcome::answered;
  } else {
    r.why = f.ran_out ? "late" : "broken";
  }
  co_return r;
}

namespace {

admission::AdmissionController::Asked asked_by(const codec::Message& m) {
  const auto told = [&](std::string_view name) {
    return std::max<long long>(0, codec::whole_number(m.header(name))) * 1000;
  };
  const bool comes = m.longer_than(Source::handed);
  return {told(deadline_header), told(aim_header), told("X-Remaining-Ms"), comes,
          comes ? double(m.told().value_or(Source::kept)) : 0};
}

}  // namespace

awaitable<codec::reading> OutboundProxy::read_inner(Connection& c, asio::error_code& error,
                                                    admission::held& held) {
  std::uint64_t counted = 0;
  for (codec::reading got = codec::reading::unfinished;;) {
    got = co_await c.more(error);
    if (error || got != codec::reading::unfinished) co_return got;
    if (c.in.wants_word()) {
      held = inbound_proxy_.verdict(std::string(c.in.header(instance_header)), asked_by(c.in));
      if (held != admission::held::none) co_return codec::reading::unfinished;
      std::size_t written = 0;
      error = co_await c.write(go_on, {}, written);
      if (error) co_return codec::reading::unfinished;
    }
    if (c.in.longer_than(Source::handed)) co_return codec::reading::longer;
    if (c.in.came() - counted >= pace) counted = c.in.came(), c.limit(steady::now() + body_limit);
  }
}

// Another node's request: what it wants is known by its headers, and how far it came goes back by ours.
awaitable<void> OutboundProxy::serve_inner(std::shared_ptr<Connection> c) {
  for (;;) {
    c->limit(steady::now() + 60s);
    asio::error_code error;
    admission::held early = admission::held::none;
    const codec::reading got =
        c->in.whole() ? codec::reading::complete : co_await read_inner(*c, error, early);
    if (error) co_return;
    if (early != admission::held::none) {
      std::size_t written = 0;
      co_await c->write(
          fmt::format("HTTP/1.1 503 Held\r\n{}: {}\r\nX-Attempt-Id: {}\r\nConnection: "
                      "close\r\nContent-Length: 0\r\n\r\n",
                      held_header, admission::names[std::size_t(early)], c->in.header("X-Attempt-Id")),
          {}, written);
      co_return;
    }
    const auto source = got == codec::reading::longer ? std::make_shared<Source>(io_, c) : nullptr;
    if (got != codec::reading::complete && !source) co_return;
    c->no_limit();
    const codec::Message& m = c->in;
    auto request = std::make_shared<OutgoingRequest>();
    request->id = m.header("X-Attempt-Id");
    request->method = m.method();
    request->target = m.target();
    std::string instance(m.header(instance_header));
    const bool probes = !m.header("X-Mesh-Probe").empty();
    const micros told = std::max<long long>(0, codec::whole_number(m.header("X-Remaining-Ms"))) * 1000;
    const micros left = std::max<micros>(0, told - (clock_.now() - clock_.of(c->message_arrived())));
    const admission::AdmissionController::Asked asked = asked_by(m);
    const std::string_view listed = m.header("Connection");
    for (std::size_t i = 0; i < m.headers(); ++i) {
      const auto [name, value] = m.header(i);
      if (!of_connection(name, listed) && !of_mesh(name))
        request->headers += fmt::format("{}: {}\r\n", name, codec::trim(value));
    }
    request->source = source;
    if (!source && m.has_body())
      request->body = std::make_shared<const std::string>(m.body()), inner_bytes_ += m.body().size();
    Answer a;
    bool gone = false;
    const ScopedCount pending(pending_, 1);
    if (probes) {
      const auto f = co_await inbound_proxy_.probe(instance, probe_limit);
      a.status = f && f->how_far == came::answered ? f->status : 503;
      a.headers = fmt::format("X-Attempt-Id: {}\r\n", request->id);
    } else {
      const auto in_flight = std::make_shared<InFlightRequest>();
      Result r;
      {
        const DisconnectWatch watch(c, source, [&gone, in_flight] {
          gone = true;
          in_flight->call_off();
        });
        r = co_await inbound_proxy_.take(in_flight, request, std::move(instance), asked,
                                         steady::now() + std::chrono::microseconds(left + closing_margin));
      }
      if (r.how == outcome::answered || r.how == outcome::refused) {
        a = passed_on(r.fate);
        if (r.fate.header("X-Attempt-Id").empty())
          a.headers +=
              fmt::format("X-Attempt-Id: {}\r\n", request->id);  // between nodes each answer has its name
      } else {
        a.status = r.how == outcome::held ? 503 : 502;
        a.headers =
            fmt::format("{}: {}\r\nX-Attempt-Id: {}\r\n", r.how == outcome::held ? held_header : broke_header,
                        r.why.empty() ? "broken" : r.why, request->id);
      }
    }
    if (source) inner_bytes_ += c->in.came();
    if (gone || !c->open() || (source && source->failed)) co_return;
    const bool rest = source && !c->in.whole();
    const bool stays = !rest && c->in.keep_alive() && !ending_;
    c->limit(steady::now() + write_limit);
    const std::string head =
        fmt::format("HTTP/1.1 {} {}\r\n{}Content-Length: {}\r\n{}\r\n", a.status, rpc::phrase(a.status),
                    a.headers, a.body.size(), stays ? "" : "Connection: close\r\n");
    std::size_t written = 0;
    error = co_await c->write(head, a.body, written);
    if (!error && rest) co_await read_out(*c);
    if (error || !stays) co_return;
    if (const auto next = c->next(); next != codec::reading::unfinished && next != codec::reading::complete)
      co_return;
  }
}

awaitable<void> OutboundProxy::probe(node::Desk* desk, std::string server) {
  ++counts_.probes;
  const gossip::Machine machine = balancers_.machine(server);
  const auto begun = clock_.now();
  bool good = false;
  if (machine == self_) {
    const auto f = co_await inbound_proxy_.probe(server, probe_limit);
    good = f && f->how_far == came::answered && f->status == 200;
  } else if (machine != 0) {
    auto request = std::make_shared<OutgoingRequest>();
    request->method = "GET";
    request->target = "/";
    request->id = fmt::format("probe-{}", ++number_);
    request->headers = fmt::format("Host: mesh\r\nX-Mesh-Probe: 1\r\nX-Attempt-Id: {}\r\n{}: {}\r\n",
                                   request->id, instance_header, server);
    const UpstreamResult f = co_await way(machine).carry(std::make_shared<InFlightRequest>(), request,
                                                         steady::now() + probe_limit);
    good = f.how_far == came::answered && f.status == 200;
  }
  desk->probed(server, good, std::max<micros>(1, clock_.now() - begun));
}

}  // namespace robinpin::sidecar
