// A desk with the decision module for each service that is called, fed with the mesh's knowledge: the rows of
// its terms from the routes, its servers from the rumours.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "../bootstrap/settings.h"
#include "../configuration/route_table.h"
#include "../gossip/membership_table.h"
#include "../node/desk.h"

namespace robinpin::sidecar {

class ServiceBalancers {
 public:
  ServiceBalancers(asio::io_context& io, const node::Clock& clock, node::Counters& counters,
                   const bootstrap::Settings& settings, std::uint32_t seed)
      : io_(io), clock_(clock), counters_(counters), settings_(settings), seed_(seed) {}

  struct ServiceBalancer {
    std::unique_ptr<node::Desk> desk;
    std::map<std::tuple<int, micros, micros>, int>
        rows;  // by mode, aim and deadline: their number only grows
    std::vector<scheme_row> schemes;
    std::size_t servers = 0;  // that may be chosen
    std::size_t nodes = 0;    // as its terms say
  };

  // Null for a service that no route goes to.
  ServiceBalancer* of(const std::string& service);
  int row(ServiceBalancer& c, const configuration::Route& channel) const;
  void plan(const configuration::RouteTable& plan);
  void servers(const gossip::MembershipTable& roll, const configuration::RouteTable& plan, std::int64_t now);
  // Where a server is; 0: not known.
  gossip::Machine machine(const std::string& server) const;
  void end_by(micros at) {
    for (auto& [name, c] : balancers_)
      if (c.desk) c.desk->end_by(at);
  }
  std::size_t nodes() const { return nodes_; }

 private:
  Terms terms_of(const ServiceBalancer& c) const;
  asio::io_context& io_;
  const node::Clock& clock_;
  node::Counters& counters_;
  const bootstrap::Settings& settings_;
  std::uint32_t seed_;
  std::map<std::string, ServiceBalancer> balancers_;  // by service
  std::map<std::string, gossip::Machine> machines_;   // by server
  std::size_t nodes_ = 1;
};

}  // namespace robinpin::sidecar
