// One node's part in its fleet: it beats to the voters, votes where it has a store, carries calls on
// registers, and answers operators. No txn's path calls into any of this; without [fleet] in our file none of
// it is made.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "../config/file.h"
#include "../log/log.h"
#include "../peer/listener.h"
#include "../peer/wire.h"
#include "../records/records.h"
#include "../store/store.h"
#include "agreement.h"

namespace robinpin::node {

// Whole microseconds of this machine's own clock, one that goes on while it sleeps. Only for spans.
micros span_clock();

class Fleet {
 public:
  struct Identity {
    std::string name, hall, version, config;
    int tier = 0;
  };
  // `sockets` outlive `io` and what it still holds at the end. Opens the store. Throws store::refused with
  // the reason.
  Fleet(asio::io_context& io, Sockets& sockets, const config::Fleet& said, Identity me,
        records::Facts& facts);
  ~Fleet();
  void listen();  // throws if it can't
  awaitable<void> accept() { return listener_.accept(); }
  awaitable<void> beat();  // both run as long as the node

  std::string told() const;     // GET /fleet
  std::string figures() const;  // as Prometheus text
  Agreement& agreement() { return agreement_; }

  // Of the node's descriptors, those that its fleet may have.
  static int descriptors_of(int most) { return std::clamp(most / 3, 24, 1100); }

 private:
  using Told = peer::Told;
  using value = read::value;
  awaitable<Told> take(peer::Call call);
  awaitable<Told> taken_beat(const peer::Call& call);
  awaitable<Told> asked(const peer::Call& call);
  awaitable<Told> hello();
  awaitable<Told> founded(const peer::Call& call);
  awaitable<Told> order(const peer::Call& call);
  awaitable<Told> get(const value& o, steady::time_point until);
  awaitable<Told> set(const value& o, steady::time_point until);
  awaitable<Told> status(steady::time_point until);
  awaitable<Told> init(steady::time_point until);
  awaitable<Told> change(const value& o, steady::time_point until);

  awaitable<std::optional<consensus::Reply>> to_voter(consensus::Seat seat, consensus::Ask ask,
                                                      steady::time_point until);
  awaitable<std::optional<consensus::Reply>> vote(consensus::Ask ask);
  awaitable<bool> lasts(std::optional<consensus::Change> change);
  void failed();
  void know(const consensus::Voters& voters);
  awaitable<void> beat_to(std::string address);
  std::vector<std::string> voter_addresses() const;
  std::string address_of(const consensus::Seat& seat) const;
  std::shared_ptr<peer::Caller> caller(const std::string& address);
  members::About about() const;
  // Rows of all members as this process has them, or as a voter told.
  awaitable<std::optional<std::vector<members::Seen>>> members_heard(steady::time_point until);
  static void put(peer::Out& out, const std::vector<members::Seen>& all);

  asio::io_context& io_;
  const config::Fleet said_;
  const Identity me_;
  const std::string incarnation_;
  records::Facts& facts_;
  Sockets& sockets_;
  std::unique_ptr<store::Store> store_;
  std::optional<consensus::Voter> voter_;
  std::uint64_t lasting_ = 0;  // of the voter's counter
  bool store_failed_ = false;
  members::Table members_;
  std::mt19937 draw_;
  Agreement agreement_;
  peer::Listener listener_;
  std::map<std::string, std::shared_ptr<peer::Caller>> callers_;  // by address
  std::map<std::string, std::pair<std::string, bool>>
      beating_;  // by address: whom to, and whether it was heard last
  std::map<std::string, log::Trouble> trouble_;
  std::uint64_t beats_ = 0, beats_failed_ = 0, asks_ = 0, beats_taken_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace robinpin::node
