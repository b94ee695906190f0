// One node's side of a lease: who may act on a task, until when, and with which fencing number. The lease
// itself is a consensus register. Free of I/O and globals; the caller passes the time, in microseconds of a
// clock that goes on while the machine sleeps. Source: Gray and Cheriton, "Leases" (1989). Not thread safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "../consensus/proposal.h"

namespace robinpin::lease {

using micros = std::int64_t;  // of one machine's own clock; two machines' clocks are never compared

struct Terms {
  micros term = 5'000'000;  // how long an owner may act after it sent the renewal that was acknowledged
  double drift = 0.01;      // largest relative error of any machine's clock, either way
};

// Content of the lease's register.
struct Record {
  std::uint64_t number = 0;    // fencing number: grows with every acquisition, never goes back
  std::uint64_t renewals = 0;  // since the acquisition
  micros term = 0;
  std::string owner;        // empty: nobody owns the lease
  std::string incarnation;  // of the owner's process

  bool has_owner() const { return !owner.empty(); }
  // The register's text: three or five fields separated by a blank.
  std::string text() const;
  // Nothing where the text is no record.
  static std::optional<Record> read(std::string_view text);
  friend bool operator==(const Record&, const Record&) = default;
};

std::string register_of(std::string_view lease);  // "lease/NAME"

// Whether the owner may act now. A task asks before each step and says how long the step takes.
struct Permission {
  bool act = false;
  std::uint64_t number = 0;  // fencing number: whatever is acted upon rejects a lower one than it has seen
  micros until = 0;
};

// Acquires, renews and releases one lease. The caller carries out what next() returns and reports the
// outcome; at most one register call is in flight.
class Claim {
 public:
  // `incarnation` is this process's own: another process under the same node name owns nothing of it.
  Claim(std::string lease, std::string node, std::string incarnation, Terms terms);

  // False: the lease is released and not acquired again.
  void set_wanted(bool wanted) { wanted_ = wanted; }
  // Position among the nodes that wait for the lease: each waits `each` longer than the one before it, so
  // that hundreds do not try at once.
  void rank(int position, micros each = 50'000) { rank_delay_ = position * each; }

  // The next register call, if one is due. `again`: it repeats one whose outcome is unknown.
  std::optional<consensus::Want> next(micros now, bool& again);
  // When next() may return a call though nothing else happens.
  micros next_wakeup(micros now) const;
  void on_outcome(const consensus::Outcome& outcome, micros now);

  // `step`: how long the caller's next step takes.
  Permission permission(micros now, micros step = 0) const;
  // As the register says; whether the owner may still act, permission() says.
  bool is_owner() const { return owns_; }
  // A write of this claim may or may not have been chosen.
  bool outcome_unknown() const { return unknown_.has_value(); }
  const Record& record() const { return known_; }
  // The whole state as text, for exploration by tests.
  std::string state() const;

  std::uint64_t acquisitions = 0;
  std::uint64_t renewals_missed = 0;

 private:
  enum class step { read, acquire, renew, release };
  struct Call {
    step what;
    consensus::Want want;
    Record record;  // what it writes
    micros sent;    // when it was sent first: the owner's term counts from there
  };

  std::optional<consensus::Want> send(step what, Record record, micros now);
  void observe(const consensus::Value& value, micros now);
  void on_write_failed(const Call& call, consensus::fate fate, micros now);
  void on_written(const Call& call);
  bool can_acquire(micros now) const;
  Record next_owner_record() const;
  micros owner_duration() const;                      // of a term, by the owner's clock
  micros takeover_delay(const Record& record) const;  // of a term, by another node's clock

  std::string lease_;
  std::string node_;
  std::string incarnation_;
  Terms terms_;
  bool wanted_ = true;
  bool owns_ = false;
  micros rank_delay_ = 0;
  micros until_ = 0;     // the owner acts before this
  micros renew_at_ = 0;  // when the next renewal is due
  micros read_at_ = 0;   // when the register is read again
  std::uint64_t attempts_ = 0;
  std::uint64_t version_ = 0;  // of the register, as last observed
  bool seen_ = false;          // whether the register was observed at all
  micros version_seen_at_ = 0;
  Record known_;
  std::optional<Call> in_flight_;
  std::optional<Call> unknown_;  // its outcome is unknown: repeated before anything else
};

}  // namespace robinpin::lease
