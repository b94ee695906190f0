#include "service_balancers.h"

#include <set>

namespace robinpin::sidecar {

namespace {
constexpr double slots_of_size_one = 2;  // the module takes a server of size one to work on so many at once
constexpr int most_postings = 8;         // tries that were held back count there, and not in a route's tries
constexpr double usual_part = 3;         // of an aim one call takes, where nothing tells
constexpr double least_cold = 0.05;      // of a server's size
// What a crossing between zones costs, as a part of what a call earns: the pages price it by bytes, dear on
// one site and cheap on another, and tell processes nothing of it.
constexpr double crossing = 0.1;

std::tuple<int, micros, micros> key_of(const configuration::Route& c) {
  return {c.kind == configuration::mode::idempotent ? 0 : 1, c.aim, c.deadline};
}
}  // namespace

ServiceBalancers::ServiceBalancer* ServiceBalancers::of(const std::string& service) {
  const auto it = balancers_.find(service);
  return it == balancers_.end() ? nullptr : &it->second;
}

int ServiceBalancers::row(ServiceBalancer& c, const configuration::Route& channel) const {
  const auto it = c.rows.find(key_of(channel));
  return it == c.rows.end() ? -1 : it->second;
}

Terms ServiceBalancers::terms_of(const ServiceBalancer& c) const {
  Terms t;
  t.schemes = c.schemes;
  t.zone = settings_.zone;
  t.tier = 1;
  t.tiers = 2;
  t.nodes = int(nodes_);
  t.sizes_told = true;
  t.may_probe = true;
  t.may_withdraw = true;
  t.most_postings = most_postings;
  t.advice_heeded = true;
  t.longest_advice = 1'000'000;
  t.price_crossing = t.rank_crossing = crossing;
  return t;
}

// A desk is made for each service that a route names, and its terms follow the routes.
void ServiceBalancers::plan(const configuration::RouteTable& plan) {
  std::set<std::string> touched;
  for (const auto& [host, channels] : plan.hosts)
    for (const auto& [prefix, channel] : channels)
      for (const configuration::WeightedTarget& s : channel->targets) {
        ServiceBalancer& c = balancers_[s.service];
        if (c.rows.emplace(key_of(*channel), int(c.schemes.size())).second) {
          scheme_row row;
          row.kind =
              channel->kind == configuration::mode::idempotent ? repeats::repeatable : repeats::once_only;
          row.sla = std::max<micros>(1, channel->aim);
          row.expiry = std::max<micros>(1, channel->deadline);
          row.revenue = 1;
          row.late_revenue = 0.3;
          c.schemes.push_back(row);
          touched.insert(s.service);
        }
      }
  for (auto& [name, c] : balancers_) {
    if (c.desk && !touched.contains(name) && c.nodes == nodes_) continue;
    Terms t = terms_of(c);
    c.nodes = nodes_;
    if (!c.desk) {
      c.desk = std::make_unique<node::Desk>(io_, clock_, counters_, std::move(t), seed_ ^ hashed(name));
      asio::co_spawn(io_, c.desk->tick(), asio::detached);
    } else {
      c.desk->adopt(t);
    }
  }
}

void ServiceBalancers::servers(const gossip::MembershipTable& roll, const configuration::RouteTable& plan,
                               std::int64_t now) {
  machines_.clear();
  std::map<std::string, std::vector<Line>> lines;
  std::size_t nodes = 0;
  for (const auto& [machine, entry] : roll.entries()) {
    const gossip::MemberRecord& r = entry.record;
    if (!r.core && !r.leaving && !r.expired) ++nodes;
    if (r.server.empty() || r.expired || r.leaving || r.draining || plan.emptied.contains(r.zone)) continue;
    machines_[r.server] = machine;
    Line line;
    line.server = r.server;
    line.zone = r.zone;
    line.size = std::max(1, r.slots) / slots_of_size_one;
    const auto service = plan.services.find(r.service);
    // While cold it counts for what it bears; how many it gets a second its own gate sees to, which knows all
    // senders.
    const auto choice = balancers_.find(r.service);
    if (micros(r.cold_ms) * 1000 > now - entry.heard && service != plan.services.end() &&
        choice != balancers_.end()) {
      micros aim = 0;
      for (const scheme_row& row : choice->second.schemes) aim = std::max(aim, row.sla);
      const double bears = service->second.warmup_per_s * double(aim) / usual_part / 1e6;  // at once
      line.size *= std::clamp(bears / std::max(1, r.slots), least_cold, 1.0);
    }
    lines[r.service].push_back(std::move(line));
  }
  nodes_ = std::max<std::size_t>(1, nodes);
  for (auto& [name, c] : balancers_) {
    const auto& told = lines[name];
    c.servers = told.size();
    if (c.desk) c.desk->list_told(told, true, true);
  }
}

gossip::Machine ServiceBalancers::machine(const std::string& server) const {
  const auto it = machines_.find(server);
  return it == machines_.end() ? 0 : it->second;
}

}  // namespace robinpin::sidecar
