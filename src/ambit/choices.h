// A desk with the decision module for each service that is called, fed with the mesh's knowledge: the rows of
// its terms from the routes, its servers from the rumours.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "../creed/plan.h"
#include "../ground/settings.h"
#include "../node/desk.h"
#include "../rumour/roll.h"

namespace robinpin::ambit {

class Choices {
 public:
  Choices(asio::io_context& io, const node::Clock& clock, node::Counters& counters,
          const ground::Settings& settings, std::uint32_t seed)
      : io_(io), clock_(clock), counters_(counters), settings_(settings), seed_(seed) {}

  struct Choice {
    std::unique_ptr<node::Desk> desk;
    std::map<std::tuple<int, micros, micros>, int>
        rows;  // by mode, aim and deadline: their number only grows
    std::vector<scheme_row> schemes;
    std::size_t servers = 0;  // that may be chosen
    std::size_t nodes = 0;    // as its terms say
  };

  // Null for a service that no route goes to.
  Choice* of(const std::string& service);
  int row(Choice& c, const creed::Channel& channel) const;
  void plan(const creed::Plan& plan);
  void servers(const rumour::Roll& roll, const creed::Plan& plan, std::int64_t now);
  // Where a server is; 0: not known.
  rumour::Machine machine(const std::string& server) const;
  void end_by(micros at) {
    for (auto& [name, c] : choices_)
      if (c.desk) c.desk->end_by(at);
  }
  std::size_t nodes() const { return nodes_; }

 private:
  Terms terms_of(const Choice& c) const;
  asio::io_context& io_;
  const node::Clock& clock_;
  node::Counters& counters_;
  const ground::Settings& settings_;
  std::uint32_t seed_;
  std::map<std::string, Choice> choices_;            // by service
  std::map<std::string, rumour::Machine> machines_;  // by server
  std::size_t nodes_ = 1;
};

}  // namespace robinpin::ambit
