#include "desk.h"

#include <algorithm>
#include <utility>

namespace robinpin::node {

namespace {
constexpr auto forever = steady::time_point::max();

const char* word(ending how) { return ending_names[std::size_t(how)]; }
}  // namespace

Desk::Desk(asio::io_context& io, const Clock& clock, Counters& counters, Terms terms, std::uint32_t seed,
           records::Facts* facts)
    : io_(io),
      clock_(clock),
      counters_(counters),
      facts_(facts ? *facts : none_),
      balancer_(std::move(terms), seed, clock.now()),
      wake_(io, forever),
      list_(io, forever) {}

// The module is told of a txn as of its arrival. Less time left as of now would look like a client's repeat,
// whose SLA time ran from its first try, and a node that was held up for a few ms would decline what it had
// to read late.
Desk::visit Desk::take(const std::string& id, int scheme, int tenant, micros arrived, micros left,
                       double cost, limits::Taken route, Said said) {
  visit v(new Visit(io_, id, arrived, arrived + left));
  v->place_ = std::move(route.place);
  visits_[id] = v;
  ++counters_.txns_taken;
  const std::string_view name = route.route ? std::string_view(route.route->name) : std::string_view();
  facts_.taken(id, scheme, tenant, left, name);
  if (route.why != limits::full::no) {
    const bool pace = route.why == limits::full::rate;
    ++(pace ? counters_.limited_by_rate : counters_.limited_in_flight);
    facts_.limited(id, name, pace ? "rate" : "in_flight", route.allowed.come_back);
  }
  carry_out(balancer_.txn_taken(arrived, id, scheme, tenant, left, cost, std::move(route.allowed), said));
  if (ends_ > 0) clip();
  return v;
}

awaitable<Order> Desk::pick(visit v) {
  for (;;) {
    while (!v->orders_.empty()) {
      Order order = std::move(v->orders_.front());
      v->orders_.pop_front();
      if (order.next != Order::what::post || !v->over_) co_return order;
      // Over before it was sent: a posting for it now would come after the final answer.
      report(v, order.posting, ending::moot, 0, nullptr);
    }
    asio::error_code woken;
    co_await v->news_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
  }
}

void Desk::report(const visit& v, int posting, ending how, micros lag, const Report* report) {
  ++counters_.postings[std::size_t(how)];
  facts_.posting_ended(v->id, posting, word(how), lag);
  --v->out_;
  const bool answers = how == ending::settled && !v->over_;
  carry_out(balancer_.posting_ended(clock_.now(), v->id, posting, how, lag, answers || v->over_, report));
  if (answers) give(v->id, {Order::what::settled, posting, {}, 0, 0, {}});
  if (v->over_ && v->out_ == 0) visits_.erase(v->id);
}

std::string Desk::adopt(const Terms& next) {
  std::string bound = balancer_.bound_by(next);
  if (bound.empty()) carry_out(balancer_.adopt(clock_.now(), next));
  return bound;
}

void Desk::leave(const visit& v) {
  if (v->over_) return;
  ++counters_.clients_left;
  facts_.left(v->id);
  carry_out(balancer_.client_left(clock_.now(), v->id));
  give(v->id, {Order::what::gone, 0, {}, 0, 0, {}});
}

void Desk::still_coming(const visit& v, bool whole) {
  const micros by = clock_.now() - std::exchange(v->moved_, clock_.now());
  if (v->over_) return;
  v->expiry += by;
  carry_out(balancer_.still_coming(clock_.now(), v->id, by, whole));
  if (ends_ > 0) clip();
}

void Desk::no_further(const visit& v) {
  const auto t = balancer_.txns.find(v->id);
  if (t != balancer_.txns.end()) t->second.allowed.postings = int(t->second.postings.size());
}

void Desk::end_by(micros at) {
  ends_ = at;
  clip();
}

// What the client would still wait for is left as it was told until the txn is taken: less would look like a
// repeat.
void Desk::clip() {
  for (auto& [id, t] : balancer_.txns) t.expiry = std::min(t.expiry, ends_);
  carry_out(balancer_.woke(clock_.now()));
}

std::size_t Desk::members() const {
  return std::size_t(std::count_if(balancer_.servers.begin(), balancer_.servers.end(), [](const auto& e) {
    return e.second.known && e.second.line.state != standing::gone;
  }));
}

std::size_t Desk::avoided() const {
  return std::size_t(std::count_if(balancer_.servers.begin(), balancer_.servers.end(), [&](const auto& e) {
    return e.second.known && e.second.line.state != standing::gone && balancer_.avoids(e.second);
  }));
}

awaitable<void> Desk::tick() {
  for (;;) {
    asio::error_code moved;
    co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, moved));
    if (due_ == 0 || clock_.now() < due_) continue;
    due_ = 0;
    wake_.expires_at(forever);
    carry_out(balancer_.woke(clock_.now()));
  }
}

awaitable<void> Desk::list_wanted() {
  while (!list_wanted_) {
    asio::error_code woken;
    co_await list_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
  }
  list_wanted_ = false;
}

void Desk::list_told(const std::vector<Line>& lines, bool whole, bool asked) {
  carry_out(balancer_.list_told(clock_.now(), lines, whole, asked));
}

void Desk::list_failed() {
  list_wanted_ = false;
  carry_out(balancer_.list_failed(clock_.now()));
}

void Desk::probed(const std::string& server, bool ok, micros lag) {
  carry_out(balancer_.probe_answered(clock_.now(), server, ok, lag, nullptr));
}

void Desk::want_list() {
  list_wanted_ = true;
  list_.cancel();
}

// Withdrawals go first: the final answer is the last order that is picked.
void Desk::carry_out(const Decisions& d) {
  for (const auto& w : d.withdrawals) give(w.txn, {Order::what::withdraw, w.posting, {}, 0, 0, {}});
  for (const auto& s : d.sends) give(s.txn, {Order::what::post, 0, s.server, s.wait, 0, {}});
  for (const auto& f : d.finals)
    give(f.txn, {f.declined ? Order::what::declined : Order::what::reversed, 0, {}, 0, f.come_back, f.why});
  if (probe_)
    for (const auto& server : d.probes) probe_(server);
  if (d.list != list_call::none) want_list();
  if (d.wake_in > 0) {
    due_ = balancer_.now + d.wake_in;
    wake_.expires_at(clock_.at(due_));
  }
}

void Desk::give(const std::string& id, Order order) {
  const auto it = visits_.find(id);
  if (it == visits_.end()) return;
  const visit v = it->second;
  if (order.next == Order::what::post) {
    order.posting = v->sent_++;
    ++v->out_;
    facts_.posted(id, order.posting, order.server, order.wait);
  } else if (order.next != Order::what::withdraw) {
    if (v->over_) return;
    v->over_ = true;
    const bool ours = order.next == Order::what::declined || order.next == Order::what::reversed;
    if (ours) ++counters_.given_up[std::size_t(order.why)];
    if (order.next != Order::what::gone)
      facts_.answered(id,
                      order.next == Order::what::settled    ? "settled"
                      : order.next == Order::what::declined ? "declined"
                                                            : "reversed",
                      order.come_back, ours ? cause_names[std::size_t(order.why)] : "");
    if (v->out_ == 0) visits_.erase(it);
  }
  v->orders_.push_back(std::move(order));
  v->news_.cancel();
}

}  // namespace robinpin::node
