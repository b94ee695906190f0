#include "hand.h"

#include <algorithm>
#include <charconv>

namespace robinpin::ambit {

using namespace std::chrono_literals;

std::int64_t steady_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(steady::now().time_since_epoch()).count();
}

namespace {
Manners at_server() {
  Manners m;
  m.dial_limit = 300ms;
  m.idle_limit = 8s;
  m.strangers = true;
  return m;
}
}  // namespace

Hand::Hand(asio::io_context& io, Sockets& sockets, const ground::Settings& settings,
           tcp::endpoint application)
    : settings_(settings),
      way_(io, sockets, application, at_server()),
      plan_(std::make_shared<creed::Plan>()) {
  sockets.evict_by([this] { return way_.evict(); });
}

std::int64_t Hand::now() const { return steady_now(); }

void Hand::plan(std::shared_ptr<const creed::Plan> plan) {
  plan_ = std::move(plan);
  shortest_.clear();
  for (const auto& [host, channels] : plan_->hosts)
    for (const auto& [prefix, c] : channels)
      for (const creed::Share& s : c->shares)
        if (auto& d = shortest_[s.service]; d == 0 || c->deadline < d) d = c->deadline;
}

gate::Gate::Bounds Hand::bounds() const {
  gate::Gate::Bounds b;
  b.known = ready_;
  b.link = settings_.link_mbps * 1e6 / 8;
  if (const auto s = plan_->services.find(gate_.server().service); s != plan_->services.end()) {
    b.warmup_per_s = s->second.warmup_per_s;
    b.most_cold = b.warmup_per_s * settings_.warmup_overshoot + settings_.warmup_slack;
    b.conn_limit = s->second.conn_limit;
  }
  if (const auto d = shortest_.find(gate_.server().service); d != shortest_.end()) b.shortest = d->second;
  b.emptied = plan_->emptied.contains(settings_.zone);
  return b;
}

awaitable<Result> Hand::take(std::shared_ptr<Errand> errand, std::shared_ptr<const Parcel> parcel,
                             std::string instance, gate::Gate::Asked asked, steady::time_point until) {
  Result r;
  const gate::held why = verdict(instance, asked);
  if (why != gate::held::none) {
    r.how = outcome::held;
    r.why = gate::names[std::size_t(why)];
    co_return r;
  }
  if (last_instance_ != gate_.server().id) way_.renew(), last_instance_ = gate_.server().id;
  const int beside = gate_.at_work();
  const bool comes = parcel->source != nullptr;
  gate_.sent(comes);
  // Of its bytes those that have come, and at its end the others, are counted no more.
  const auto to_come = std::make_shared<double>(asked.bytes);
  const auto came = [this, to_come](double bytes) {
    bytes = std::min(bytes, *to_come);
    gate_.comes(-bytes), *to_come -= bytes;
  };
  if (comes) gate_.comes(*to_come), parcel->source->moved = came;
  errand->wrote = [this, comes] { gate_.wrote(now(), comes); };
  r.fate = co_await way_.carry(errand, parcel, until);
  errand->wrote = nullptr;
  if (comes) parcel->source->moved = nullptr, came(*to_come);
  Fate& f = r.fate;
  const bool wrote = f.how_far >= came::written && !f.early;
  if (wrote) gate_.ended(now(), beside, f.how_far == came::answered && f.status < 300 ? f.served : 0);
  const bool begun = comes && parcel->source->let_go;  // its head and a part of its body went out
  if (!wrote) gate_.never_wrote(now(), comes, begun);
  if (f.how_far < came::written && begun) {
    // An arrival, and known not to have run: the server has no whole request.
    r.how = outcome::refused;
    f.status = 503;
    f.headers = {{"X-Not-Executed", "1"}, {"X-Attempt-Id", parcel->id}};
    if (!parcel->source->failed) way_.forget();
  } else if (f.how_far < came::written) {
    r.how = outcome::held;
    r.why = "unreachable";
    way_.forget();
  } else if (f.how_far == came::answered) {
    const bool good = f.status >= 200 && f.status < 300;
    if (!f.header("X-Not-Executed").empty() || f.status == 421) {
      r.how = outcome::refused;
    } else if (f.early) {
      r.why = "spoilt";  // an answer to what it has not read whole
    } else if (good && (f.header("X-Server-Seal").empty() || f.header("X-Attempt-Id") != parcel->id ||
                        !f.header("Content-Encoding").empty())) {
      r.why = "spoilt";
    } else {
      r.how = outcome::answered;
    }
  } else {
    r.why = f.broken ? "spoilt" : f.ran_out ? "late" : "broken";
  }
  co_return r;
}

awaitable<std::optional<Fate>> Hand::probe(std::string instance, steady::duration limit) {
  if (!gate_.has_server() || instance != gate_.server().id) co_return std::nullopt;
  auto parcel = std::make_shared<Parcel>();
  parcel->method = "GET";
  const auto service = plan_->services.find(gate_.server().service);
  parcel->target = service == plan_->services.end() ? "/probe" : service->second.probe;
  parcel->headers = "Host: " + gate_.server().address + "\r\n";
  Fate f = co_await way_.carry(std::make_shared<Errand>(), parcel, steady::now() + limit);
  if (const auto cold = f.header("X-Warmup-Ms");
      !cold.empty() && f.header("X-Answering-Instance") == gate_.server().id)
    if (const auto ms = codec::whole_number(cold); ms >= 0) gate_.cold_for(now(), ms * 1000);
  co_return f;
}

}  // namespace robinpin::ambit
