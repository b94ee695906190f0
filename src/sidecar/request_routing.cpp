// One client request: its route, its attempts at servers, and its one answer.
#include <fmt/format.h>

#include <algorithm>

#include "../net/detached.h"
#include "disconnect_watch.h"
#include "outbound_proxy.h"
#include "proxy_limits.h"

namespace robinpin::sidecar {

namespace {

constexpr double usual_bytes =
    10'000;  // of a request and its answer, which the module's term of a crossing goes by
constexpr double most_crossing =
    10;  // times that: a server of the own zone that answers in time at all goes first

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

}  // namespace

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
  const double bytes = source ? double(m.content_length().value_or(Source::kept)) : double(m.body().size());
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
  const admission::AdmissionController::RequestInfo asked{
      t->channel->deadline, std::max<micros>(0, t->aim_at - begun), left, source != nullptr,
      source ? double(source->from->in.content_length().value_or(Source::kept)) : 0};
  request->headers =
      fmt::format("{}X-Remaining-Ms: {}\r\n{}: {}\r\n{}: {}\r\n{}: {}\r\n", t->common,
                  std::max<micros>(1, (left - closing_margin) / 1000), instance_header, order.server,
                  deadline_header, asked.deadline / 1000, aim_header, asked.to_latency_target / 1000);
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
  if (how != ending::settled && t->last != result) result->fate.stream.reset();
  t->done[order.posting] = result;
  const bool again = how != ending::settled && !t->visit->over();
  if (again && t->arrivals >= t->channel->tries) t->desk->no_further(t->visit);
  if (again && t->arrivals > 0 && !retry_budget_.spares(steady_now(), t->service))
    t->desk->no_further(t->visit);
  t->desk->report(t->visit, order.posting, how, std::max<micros>(1, lag), nullptr);
}

awaitable<Result> OutboundProxy::forward(std::shared_ptr<InFlightRequest> in_flight,
                                         std::shared_ptr<const OutgoingRequest> request, std::string server,
                                         admission::AdmissionController::RequestInfo asked,
                                         steady::time_point until) {
  const gossip::Machine machine = balancers_.machine(server);
  if (machine == self_)
    co_return co_await inbound_proxy_.take(in_flight, request, std::move(server), asked, until);
  Result r;
  if (machine == 0) {
    r.how = outcome::held;
    r.why = admission::reject_reason_names[std::size_t(admission::RejectReason::no_server)];
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

}  // namespace robinpin::sidecar
