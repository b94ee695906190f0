// One node's calls on registers that the fleet agrees on: a proposal is carried to the voters, and tried
// again after a drawn wait until it ends or its time is over. What is decided, src/consensus decides.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "../consensus/proposal.h"
#include "../net/connection.h"

namespace robinpin::node {

class Agreement {
 public:
  // Carries one ask to a voter; nothing: no answer in time.
  using carry = std::function<awaitable<std::optional<consensus::Reply>>(consensus::Seat, consensus::Ask,
                                                                         steady::time_point)>;

  // `me`: this process's own name, never used by another, also not by its next start.
  Agreement(asio::io_context& io, std::string me, std::uint64_t draw, carry to_voter)
      : io_(io), me_(std::move(me)), draw_(std::uint32_t(draw)), carry_(std::move(to_voter)) {}

  // The end of a call: chosen, refused, overtaken or full for good; else how it stood when its time was over.
  // A write whose outcome is not known ends as unknown; tried again with the same `by` it finds out.
  awaitable<consensus::Outcome> settle(consensus::Want want, steady::time_point until, bool again = false);
  // Goes on with a change of voters to its end, or as far as the time allows.
  awaitable<bool> change(std::vector<consensus::Seat> wanted, steady::time_point until);

  const consensus::Voters& voters() const { return voters_; }
  void know(const consensus::Voters& voters);                                // later ones are taken
  std::string fresh_mark() { return me_ + "#" + std::to_string(++marks_); }  // of a write
  std::uint64_t tries = 0, outbid = 0, unknown = 0;

 private:
  struct Run;
  awaitable<consensus::Outcome> once(consensus::Want want, bool again, consensus::Voters under,
                                     steady::time_point until);
  void send(const std::shared_ptr<Run>& run, const consensus::Step& step);
  awaitable<void> ask(std::shared_ptr<Run> run, consensus::Sending sending);
  asio::io_context& io_;
  const std::string me_;
  std::mt19937 draw_;
  const carry carry_;
  consensus::Voters voters_;
  std::uint64_t round_ = 0, marks_ = 0;
};

}  // namespace robinpin::node
