#include "inbound_proxy.h"

#include <algorithm>
#include <charconv>

#include "proxy_limits.h"

namespace robinpin::sidecar {

using namespace std::chrono_literals;

std::int64_t steady_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(steady::now().time_since_epoch()).count();
}

namespace {
constexpr int missed_heartbeats_until_silent = 2;

ConnectionOptions at_server() {
  ConnectionOptions m;
  m.dial_limit = 300ms;
  m.idle_limit = 8s;
  m.strangers = true;
  return m;
}
}  // namespace

InboundProxy::InboundProxy(asio::io_context& io, Sockets& sockets, const bootstrap::Settings& settings,
                           tcp::endpoint application)
    : settings_(settings),
      upstream_(io, sockets, application, at_server()),
      admission_(missed_heartbeats_until_silent * settings.heartbeat_period),
      plan_(std::make_shared<configuration::RouteTable>()) {
  sockets.evict_by([this] { return upstream_.evict(); });
}

std::int64_t InboundProxy::now() const { return steady_now(); }

void InboundProxy::plan(std::shared_ptr<const configuration::RouteTable> plan) {
  plan_ = std::move(plan);
  shortest_.clear();
  for (const auto& [host, channels] : plan_->hosts)
    for (const auto& [prefix, c] : channels)
      for (const configuration::WeightedTarget& s : c->targets)
        if (auto& d = shortest_[s.service]; d == 0 || c->deadline < d) d = c->deadline;
}

admission::AdmissionController::Limits InboundProxy::bounds() const {
  admission::AdmissionController::Limits b;
  b.known = ready_;
  b.link_bytes_per_s = settings_.link_mbps * 1e6 / 8;
  if (const auto s = plan_->services.find(admission_.server().service); s != plan_->services.end()) {
    b.warmup_per_s = s->second.warmup_per_s;
    b.max_during_warmup = b.warmup_per_s * settings_.warmup_overshoot + settings_.warmup_slack;
    b.conn_limit = s->second.conn_limit;
  }
  if (const auto d = shortest_.find(admission_.server().service); d != shortest_.end())
    b.shortest_deadline = d->second;
  b.zone_evacuated = plan_->emptied.contains(settings_.zone);
  return b;
}

awaitable<Result> InboundProxy::take(std::shared_ptr<InFlightRequest> in_flight,
                                     std::shared_ptr<const OutgoingRequest> request, std::string instance,
                                     admission::AdmissionController::RequestInfo asked,
                                     steady::time_point until) {
  Result r;
  const admission::RejectReason why = verdict(instance, asked);
  if (why != admission::RejectReason::none) {
    r.how = outcome::held;
    r.why = admission::reject_reason_names[std::size_t(why)];
    co_return r;
  }
  if (last_instance_ != admission_.server().id) upstream_.renew(), last_instance_ = admission_.server().id;
  const int beside = admission_.in_progress();
  const bool comes = request->source != nullptr;
  admission_.on_admitted(comes);
  // Of its bytes those that have come, and at its end the others, are counted no more.
  const auto to_come = std::make_shared<double>(asked.body_bytes);
  const auto came = [this, to_come](double bytes) {
    bytes = std::min(bytes, *to_come);
    admission_.add_expected_bytes(-bytes), *to_come -= bytes;
  };
  if (comes) admission_.add_expected_bytes(*to_come), request->source->moved = came;
  in_flight->wrote = [this, comes] { admission_.on_written(now(), comes); };
  r.fate = co_await upstream_.carry(in_flight, request, until);
  in_flight->wrote = nullptr;
  if (comes) request->source->moved = nullptr, came(*to_come);
  UpstreamResult& f = r.fate;
  const bool wrote = f.how_far >= came::written && !f.early;
  if (wrote)
    admission_.on_finished(now(), beside, f.how_far == came::answered && f.status < 300 ? f.served : 0);
  const bool begun = comes && request->source->let_go;  // its head and a part of its body went out
  if (!wrote) admission_.on_aborted(now(), comes, begun);
  if (f.how_far < came::written && begun) {
    // An arrival, and known not to have run: the server has no whole request.
    r.how = outcome::refused;
    f.status = 503;
    f.headers = {{"X-Not-Executed", "1"}, {"X-Attempt-Id", request->id}};
    if (!request->source->failed) upstream_.forget();
  } else if (f.how_far < came::written) {
    r.how = outcome::held;
    r.why = "unreachable";
    upstream_.forget();
  } else if (f.how_far == came::answered) {
    const bool good = f.status >= 200 && f.status < 300;
    const bool is_sealed = !f.header("X-Server-Seal").empty() && f.header("X-Attempt-Id") == request->id &&
                           f.header("Content-Encoding").empty();
    // `early`: an answer to what was not read whole.
    const bool is_spoilt = f.early || (good && !is_sealed);
    if (!f.header("X-Not-Executed").empty() || f.status == 421) {
      r.how = outcome::refused;
    } else if (is_spoilt) {
      r.why = "spoilt";
    } else {
      r.how = outcome::answered;
    }
  } else {
    r.why = f.broken ? "spoilt" : f.ran_out ? "late" : "broken";
  }
  co_return r;
}

awaitable<std::optional<UpstreamResult>> InboundProxy::probe(std::string instance, steady::duration limit) {
  if (!admission_.has_server() || instance != admission_.server().id) co_return std::nullopt;
  auto request = std::make_shared<OutgoingRequest>();
  request->method = "GET";
  request->longest_answer = longest_probe_answer;
  const auto service = plan_->services.find(admission_.server().service);
  request->target = service == plan_->services.end() ? "/probe" : service->second.probe;
  request->headers = "Host: " + admission_.server().address + "\r\n";
  UpstreamResult f =
      co_await upstream_.carry(std::make_shared<InFlightRequest>(), request, steady::now() + limit);
  if (const auto cold = f.header("X-Warmup-Ms");
      !cold.empty() && f.header("X-Answering-Instance") == admission_.server().id)
    if (const auto ms = codec::whole_number(cold); ms >= 0) admission_.set_warmup_left(now(), ms * 1000);
  co_return f;
}

}  // namespace robinpin::sidecar
