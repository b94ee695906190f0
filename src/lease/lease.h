// A lease: who may act on a task, until when, and with which number. One node's side of one lease; the record
// itself is a register that the fleet agrees on. Told the time by a clock that goes on in sleep; free of I/O
// and globals.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "../consensus/proposal.h"

namespace robinpin::lease {

using micros = std::int64_t;  // of one machine's own clock; two machines' are never compared

struct Terms {
  micros term = 5'000'000;  // so long a holder may act after it sent the renewal that was acknowledged
  double drift = 0.01;      // a clock runs off by this share at the most, either way
};

// What the register holds. The number grows with every taking and stays when the lease is given back or
// deleted.
struct Record {
  std::uint64_t number = 0, renewals = 0;
  micros term = 0;
  std::string holder, incarnation;  // empty: nobody holds it
  bool held() const { return !holder.empty(); }
  std::string text() const;
  static std::optional<Record> read(std::string_view text);
  friend bool operator==(const Record&, const Record&) = default;
};

std::string register_of(std::string_view lease);  // "lease/NAME"

// "May I act now, and until when?" A task asks before each step and says how long it takes.
struct May {
  bool act = false;
  std::uint64_t number = 0;  // what is acted upon refuses a lower one than it has seen
  micros until = 0;
};

class Claim {
 public:
  // `incarnation`: this process's own; another under the same name holds nothing of it.
  Claim(std::string lease, std::string node, std::string incarnation, Terms terms);

  void wants(bool wanted) { wanted_ = wanted; }  // no: it is given back, and not taken again
  // Of those who wait, the how-manieth this node is: each rank waits so much longer, so that hundreds are no
  // herd.
  void rank(int n, micros each = 50'000) { late_ = n * each; }

  // The next call on the register, if one is due; none while one is out. Its caller says when it was sent.
  std::optional<consensus::Want> next(micros now, bool& again);
  micros wake(micros now) const;  // when next() may have something to say without any news
  void ended(const consensus::Outcome& outcome, micros now);

  May may(micros now, micros step = 0) const;
  bool holds() const { return holding_; }  // as the register says; whether it may act, may() says
  bool in_doubt() const { return doubt_.has_value(); }  // a write of it may stand or not
  const Record& record() const { return known_; }
  std::string state() const;  // all of it, for exploration
  std::uint64_t takings = 0, renewals_missed = 0;

 private:
  enum class step { read, take, renew, give_back };
  struct Call {
    step what;
    consensus::Want want;
    Record record;  // that it writes
    micros sent;    // the first time: what it gives counts from there
  };
  std::optional<consensus::Want> send(step what, Record record, micros now);
  void saw(const consensus::Value& value, micros now);
  micros acts() const;                       // by a holder's own clock
  micros waits(const Record& record) const;  // by a taker's

  std::string lease_, node_, incarnation_;
  Terms terms_;
  bool wanted_ = true, holding_ = false;
  micros late_ = 0, until_ = 0, renew_at_ = 0, read_at_ = 0;
  std::uint64_t marks_ = 0, version_ = 0;
  bool seen_ = false;      // anything of the register
  micros seen_since_ = 0;  // this version of it
  Record known_;
  std::optional<Call> out_, doubt_;
};

}  // namespace robinpin::lease
