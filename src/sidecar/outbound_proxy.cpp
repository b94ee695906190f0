#include "outbound_proxy.h"

#include <fmt/format.h>

#include <algorithm>

#include "../net/listening.h"
#include "../transport/address.h"

namespace robinpin::sidecar {

namespace {

using namespace std::chrono_literals;
constexpr int bodies_part = 4;              // of this process's memory that bodies may take, as a divisor
constexpr auto closes_idle_after = 2500ms;  // after SIGTERM: callers have been told by then

ConnectionOptions between_nodes() {
  ConnectionOptions m;
  m.dial_limit = 250ms;
  m.idle_limit = 25s;
  m.user_timeout_ms = 800;
  m.asks_first = Source::handed;
  return m;
}

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

OutboundProxy::Answer OutboundProxy::passed_on(UpstreamResult& f) {
  Answer a;
  a.status = f.status;
  for (const auto& [name, value] : f.headers)
    if (!of_mesh(name)) a.headers += fmt::format("{}: {}\r\n", name, value);
  a.body = std::move(f.body);
  a.held = std::move(f.held);
  a.stream = std::move(f.stream);
  return a;
}

// The mark alone says that a request has not run: a server's own status makes no promise for one that may run
// once.
OutboundProxy::Answer OutboundProxy::passed_on(UpstreamResult& f, const ClientRequest& t) {
  const bool promises = f.status == 408 || f.status == 429 || f.status == 503;
  if (promises && t.channel->kind != configuration::mode::idempotent)
    return own(502, "the server has not said that it did not run it");
  if (f.stream && !f.stream->is_open()) return own(502, "the answer has ended before it was passed on");
  return passed_on(f);
}

}  // namespace robinpin::sidecar
