// The last gate beside an application server: every request that is to reach it passes here, whoever sent it,
// so that what holds for a server over all machines is kept at one place. Free of I/O, told the time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <limits>
#include <string>

namespace robinpin::admission {

// Why a request is held back before the server has heard of it; `none`: it may go on.
enum class held { none, no_server, other_instance, draining, emptied, cold, crowded, unready };
constexpr const char* names[] = {"none",    "no-server", "other-instance", "draining",
                                 "emptied", "cold",      "crowded",        "unready"};

struct Server {
  std::string id, service, address;
  bool draining = false;
  int slots = 1;
  std::int64_t cold_until = 0;  // microseconds
  std::uint64_t sequence = 0;
  std::int64_t heard = 0;  // the last beat
};

class AdmissionController {
 public:
  struct Bounds {
    bool known = true;  // what is in force here: who has not caught up knows neither its service's bounds nor
                        // emptied zones
    double warmup_per_s = 0;  // 0: not told
    double most_cold = 1e9;   // in any second, by the rules: `warmup_per_s` with its overshoot and slack
    int conn_limit = 100;
    bool emptied = false;       // the zone
    double link = 0;            // bytes a second that this machine's link carries; 0: not told
    std::int64_t shortest = 0;  // deadline of a route to this service; 0: there is none
  };
  struct Asked {                               // by one request
    std::int64_t deadline = 0;                 // its route's
    std::int64_t to_aim = 0, to_deadline = 0;  // microseconds left
    bool comes = false;                        // its body is long and still on its way
    double bytes = 0;                          // of that, as told
  };
  // Of the time that a request has, so much at the most may pass before its answer is foreseen.
  static constexpr double foreseen_part = 0.8;
  // Others leave so much of the time of those with the shortest deadline free.
  static constexpr double others_part = 0.5;
  static constexpr double bodies_part = 0.85;  // of a link that long bodies get
  static constexpr double late_part = 0.1;
  static constexpr std::int64_t second = 1'000'000;

  // What a server says of itself. False for a late beat of the incarnation at hand, or of one that another
  // has followed.
  bool beat(std::int64_t now, Server told, std::int64_t cold_left) {
    const bool same = told.id == server_.id;
    if (same && (told.sequence <= server_.sequence || gone_))
      return !gone_ && told.sequence == server_.sequence;
    if (!same) {
      if (std::find(followed_.begin(), followed_.end(), told.id) != followed_.end()) return false;
      if (!server_.id.empty()) followed_.push_back(server_.id);
      if (followed_.size() > most_followed) followed_.pop_front();
      // A process that begins does not know what the one before it sent in this second.
      const bool first = server_.id.empty() && told.sequence > 1;
      sent_.clear(), ended_.clear(), gone_ = false;
      closed_until_ = first ? now + second + slack : 0;
    }
    told.heard = now;
    told.cold_until = cold_left > 0 ? now + cold_left : 0;
    told.draining = told.draining || (same && server_.draining);  // no way back within a incarnation
    server_ = std::move(told);
    return true;
  }
  void departed(const std::string& id) {
    if (id == server_.id) gone_ = true;
  }
  // It may have turned cold and does not say so before its next beat.
  void doubt_until(std::int64_t until) { doubted_until_ = until; }
  void cold_for(std::int64_t now, std::int64_t left) {
    server_.cold_until = left > 0 ? now + left : 0, doubted_until_ = 0;
  }

  bool has_server() const { return !server_.id.empty() && !gone_; }
  const Server& server() const { return server_; }
  bool cold(std::int64_t now) const { return now < server_.cold_until || now < doubted_until_; }
  int at_work() const { return at_work_; }

  held verdict(std::int64_t now, const std::string& instance, const Bounds& b, const Asked& asked) {
    if (!b.known) return held::unready;
    if (!has_server()) return held::no_server;
    if (!instance.empty() && instance != server_.id) return held::other_instance;
    if (server_.draining) return held::draining;
    if (b.emptied) return held::emptied;
    if (cold(now) && b.warmup_per_s > 0 &&
        (now < closed_until_ || int(recent(now)) >= cold_room(b) || may_arrive(now) + 1 >= b.most_cold))
      return held::cold;
    if (at_work_ + coming_ >= b.conn_limit - 2) return held::crowded;  // a probe and one that is being closed
    // Long bodies that are still coming hold no slot: they meet only those that come as long.
    if (asked.comes && coming_ > 0 && b.link > 0 && link_crowded(b, asked)) return held::crowded;
    const int before = at_work_ + (asked.comes ? coming_ : 0);
    if (before >= server_.slots && foreseen(before) > patience(b, asked)) return held::crowded;
    return held::none;
  }
  // When one more would have its answer, by what calls took that did not wait.
  double foreseen(int before) const { return double(before + 1) / server_.slots * service_; }
  // Who has the shortest deadline can't come again: a server's calls, mostly, whose caller has worked
  // already. They have until then; others are of use until their aim, and never so many that those would be
  // late behind them.
  static double patience(const Bounds& b, const Asked& a) {
    if (a.deadline <= b.shortest) return foreseen_part * double(a.to_deadline);
    return std::min(foreseen_part * double(a.to_aim), most_beside_shortest(b, a));
  }
  // How long others may take up what those with the shortest deadline need, too.
  static double most_beside_shortest(const Bounds& b, const Asked& a) {
    if (b.shortest <= 0 || a.deadline <= b.shortest) return std::numeric_limits<double>::infinity();
    return others_part * foreseen_part * double(b.shortest);
  }
  // Whether the bodies that are coming and this one would take up the link for too long: for this one to be
  // in time, or for the requests with the shortest deadline, which come over the same link.
  bool link_crowded(const Bounds& b, const Asked& a) const {
    const double takes = (coming_bytes_ + a.bytes) / (bodies_part * b.link) * second;
    return takes + service_ > std::min(awaited(a), most_beside_shortest(b, a));
  }
  // How long a body may take to come. Together those that come share this machine's link: more of them make
  // all late, and with them what else is to get through. One that is late already goes where there is little
  // else on the way.
  static double awaited(const Asked& a) {
    return a.to_aim > 0 ? foreseen_part * double(a.to_aim) : late_part * double(a.to_deadline);
  }
  // It is let through. Until it is written to the server it counts for any second: a busy process writes
  // late, and what it let through in one second must not meet what it lets through in the next.
  void sent(bool comes) { ++(comes ? coming_ : at_work_), ++unwritten_; }
  void comes(double bytes) {
    coming_bytes_ += bytes;
  }  // of long bodies, to come; below zero: have come, or never will
  void wrote(std::int64_t now, bool comes) {
    --unwritten_;
    if (comes) --coming_, ++at_work_;
    sent_.push_back(now);
    if (sent_.size() > most_recent) sent_.pop_front();
  }
  // `arrived`: a part of a long one had reached the server, which counts it though it never runs it.
  void never_wrote(std::int64_t now, bool comes, bool arrived) {
    --unwritten_, --(comes ? coming_ : at_work_);
    if (!arrived) return;
    for (auto* q : {&sent_, &ended_}) {
      q->push_back(now);
      if (q->size() > most_recent) q->pop_front();
    }
  }
  // Of one that was written. `beside`: at work there when it was sent; `lag`: how long it took, 0 where it
  // got no answer.
  void ended(std::int64_t now, int beside, std::int64_t lag) {
    --at_work_;
    ended_.push_back(now);
    if (ended_.size() > most_recent) ended_.pop_front();
    if (lag <= 0) return;
    const double alone = double(lag) / std::max(1.0, double(beside + 1) / server_.slots);
    service_ = service_ <= 0 ? alone : service_ + (alone - service_) / samples;
  }
  // When a cold server may get its next, at the earliest.
  std::int64_t next_room(std::int64_t now) const {
    return sent_.empty() ? now : sent_.front() + second + slack;
  }

 private:
  // The bound holds for any second by the server's clock: what is under way for longer or shorter may close
  // up.
  static constexpr std::int64_t slack = 50'000;
  static constexpr std::size_t most_recent = 4'000;
  static int cold_room(const Bounds& b) { return b.warmup_per_s < 1 ? 1 : int(b.warmup_per_s); }
  std::size_t recent(std::int64_t now) {
    while (!sent_.empty() && sent_.front() <= now - second - slack) sent_.pop_front();
    return sent_.size() + std::size_t(unwritten_);
  }
  // How many the server may get in one second at the most, whatever held this process up: one is known to
  // have arrived only once it has ended, and a process that is starved of its processor notes both ends late.
  double may_arrive(std::int64_t now) {
    while (!ended_.empty() && ended_.front() <= now - second - slack) ended_.pop_front();
    return double(ended_.size()) + at_work_ + coming_;
  }
  Server server_;
  bool gone_ = false;
  std::deque<std::string> followed_;  // earlier lives here, the last ones
  static constexpr std::size_t most_followed = 8;
  std::int64_t doubted_until_ = 0, closed_until_ = 0;
  int at_work_ = 0, coming_ = 0, unwritten_ = 0;
  double coming_bytes_ = 0;
  static constexpr double samples = 30;
  double service_ = 0;                     // mean time at work of one that does not wait, microseconds
  std::deque<std::int64_t> sent_, ended_;  // of the last second
};

}  // namespace robinpin::admission
