// A booking box: cores shared by what runs, slots, a queue, calls to the next tier, warming from cold,
// tipping over when crowded, memory of marks, and what may go wrong with it. Free of I/O and clocks; driven
// by an Agenda.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "agenda.h"
#include "chance.h"

namespace robinpin::model {

enum class cancels { none, queued, all };  // what a cancel or a time-out stops

// What a box is made of. Work is in microseconds of a core of the yardstick speed.
struct Make {
  int cores = 2;
  double speed = 1;  // of each core
  int slots = 16;    // in work at once, those that wait for the next tier too
  int queue = 64;
  double thrash = 0.2;  // slower by this for each time that more are held than thrash_at a core
  double thrash_at = 4;
  double cold_from = 0.3;  // share of its capacity at the start
  micros cold_for = 10'000'000;
  cancels cancel = cancels::none;
  bool drops_expired = false;  // what is overdue is turned away when its turn comes
  int connections = 1500;
  micros handshake = 1000;  // work of a new connection
  double error_rate = 0;
  // Tipping over: more than cores + choke_at x root(cores) held in the mean of choke_over turns it
  // choke_slower times slower, until its cores were busy under choke_below for choke_rest, or choke_most is
  // up.
  double choke_at = 6, choke_slower = 2.5, choke_below = 0.35;
  micros choke_over = 2'000'000, choke_rest = 3'000'000, choke_most = 25'000'000;
  // Falling over: a cold one that is sent more than fall_multiple x capacity x fall_window in such a window.
  double fall_multiple = 4;
  micros fall_window = 1'500'000;
  micros report_every = 500'000, report_delay = 100'000;
  double report_noise = 0.03;
};

// Marks of referenced txns, remembered by a group of boxes.
class Marks {
 public:
  // True if the mark is known, so that nothing runs again. `window`: how long it stays known.
  bool known(const std::string& mark, micros now, micros window);
  std::size_t size() const { return seen_.size(); }

 private:
  std::unordered_map<std::string, micros> seen_;
  std::deque<std::pair<micros, std::string>> order_;
};

enum class done { served, error, refused };  // refused: known never to have run

struct Job {
  std::string id;
  int scheme = 0;
  double work = 0;    // its own part, before and after its calls
  int calls = 0;      // to the next tier, one after the other
  std::string mark;   // of a referenced txn
  micros window = 0;  // how long the mark is known
  micros expiry = 0;  // when its caller gives up
  // What becomes of it. `call` asks for the n-th call, to be answered by called().
  std::function<void(done)> ended;
  std::function<void(int)> call;
  std::function<void()> runs;  // it begins: from now on it may have had its effect
};

struct Load {  // what a box says of itself
  int waiting = 0, in_work = 0;
  double busy = 0;
  micros latency = 0;
};

class Box {
 public:
  Box(Agenda& agenda, Make make, std::uint64_t seed, std::shared_ptr<Marks> marks);
  Box(const Box&) = delete;
  Box& operator=(const Box&) = delete;

  // Returns a number to cancel it by; `ended` may be called before it returns.
  std::uint64_t arrive(Job job, const std::string& from);
  std::uint64_t next_number() const { return number_ + 1; }  // that the next to arrive will get
  void called(std::uint64_t number, bool served);
  void cancel(std::uint64_t number);  // its caller has gone; what that stops hangs on the make
  bool connected();                   // false: it holds as many connections as it can
  void disconnected();
  Load load() const;  // as last reported

  // What may go wrong, and its end.
  void stop();  // the process dies: what it held is gone, nothing is told
  void start(bool cold);
  void drain(bool draining) { draining_ = draining; }
  void slow(double times) {
    touch([&] { slow_ = times; });
  }
  void take_away(double share) {
    touch([&] { taken_ = share; });
  }  // by another program
  void hang(bool hangs) {
    touch([&] {
      hangs_ = hangs;
      begin_next();
    });
  }
  void fail(double share) { failing_ = share; }  // quickly
  void refuse(bool all) { refusing_ = all; }
  void dear(int scheme, double share, double times) { dear_[scheme] = {share, times}; }
  void cheap(int scheme) { dear_.erase(scheme); }

  bool up() const { return up_; }
  bool choked() const { return choked_; }
  double warmth() const;    // share of its capacity, by age
  double capacity() const;  // yardstick cores at work now
  micros started() const { return started_; }
  // Counted since it was made.
  int tipped = 0;
  bool fell = false;
  std::function<void(const std::map<std::string, double>& by_sender)> on_fall;  // work in the window
  double work_done = 0, work_wasted = 0;  // wasted: of what was done, for callers that had gone

 private:
  struct Held {
    Job job;
    double left = 0;               // of its own work, while it does not run on a core
    double finish = 0, piece = 0;  // in attained work, while it does; and how much of it this run is
    double after = 0;              // its work after the calls
    double spent = 0;              // on cores so far
    int call = 0;
    micros came = 0;
    bool running = false, gone = false, begun = false;
    std::uint64_t work_id = 0;
  };
  template <typename Change>
  void touch(Change change) {
    settle();
    change();
    plan();
  }
  double rate() const;  // of each that runs
  void settle();        // brings the attained work up to now
  void plan();          // the next moment at which one has done its work
  void begin_next();
  void begin(std::uint64_t number);
  void run(std::uint64_t number, double work);
  void work_done_by(std::uint64_t number);
  void end(std::uint64_t number, done how);
  void tick();
  void watch_cold(double work, const std::string& from);

  Agenda& agenda_;
  Make make_;
  Chance chance_;
  std::shared_ptr<Marks> marks_;
  std::unordered_map<std::uint64_t, Held> held_;
  std::deque<std::uint64_t> queue_;
  std::multimap<double, std::uint64_t> running_;  // by the attained work at which they finish
  std::uint64_t number_ = 0, plan_ = 0, life_ = 0;
  double attained_ = 0;
  micros settled_ = 0, started_ = 0;
  int in_slots_ = 0, connections_ = 0;
  bool up_ = true, draining_ = false, hangs_ = false, refusing_ = false, choked_ = false;
  double slow_ = 1, taken_ = 0, failing_ = 0;
  std::map<int, std::pair<double, double>> dear_;
  double crowd_ = 0, busy_ = 0;
  micros looked_ = 0, calm_since_ = -1, choked_at_ = 0;
  double latency_ = 0;
  std::deque<std::tuple<micros, double, std::string>> pressure_;
  std::deque<std::pair<micros, Load>> reports_;  // told from then on
  Load told_;
};

}  // namespace robinpin::model
