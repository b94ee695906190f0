// The interface of robinpin's decision module (src/choice/): the types it is called with and keeps.
// It knows no wire, clock or I/O. Every input is a call with the time; what is to be done comes back in
// `Decisions`.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "robinpin/asking.h"

namespace robinpin {

using micros = std::int64_t;

// The same at every node: of a server's name its place, of a txn's key its hash; and of a hash a part of one.
inline std::uint32_t hashed(std::string_view text) {
  std::uint32_t hash = 2166136261U;
  for (const char c : text) hash = (hash ^ std::uint8_t(c)) * 16777619U;
  return hash;
}
inline double mixed(std::uint64_t x) {
  x = (x ^ (x >> 31)) * 0x7fb5d329728ea185U;
  x = (x ^ (x >> 27)) * 0x81dadef4bc2dd44dU;
  return double((x ^ (x >> 33)) >> 11) / 9007199254740992.0;
}

enum class repeats { repeatable, referenced, once_only };
enum class group { all, zone, cell };

// One row a scheme: only what the module reads.
struct scheme_row {
  repeats kind = repeats::repeatable;
  group within = group::all;
  micros memory = 0;  // how long servers know a mark again
  micros sla = 0;
  double sla_stretch = 0;  // the SLA time grows by so many times the txn's own work
  micros expiry = 0;
  double revenue = 1;
  double late_revenue = 0;
  bool operator==(const scheme_row&) const = default;
};

// The house's terms, read once at start.
struct Terms {
  std::vector<scheme_row> schemes;
  std::vector<double> allowances;  // per tenant, txns a second over all nodes
  double beyond_share = 1;         // revenue of a txn beyond its tenant's share
  std::string zone;
  int tier = 0;
  int tiers = 1;
  int nodes = 1;
  int me = 0;            // this node's number among them
  bool by_work = false;  // revenue is counted by work
  bool ask_list = false;
  bool sizes_told = false;
  bool may_probe = false;
  bool may_withdraw = false;
  bool two_at_once = false;
  bool advice_heeded = false;
  int most_postings = 1;
  int streams = 1;  // txns that a connection carries at once
  bool repeats_marked = false;
  bool warm_keys = false;  // servers do less work for a key that they met lately
  micros longest_advice = 0;
  micros ask_every = 0;
  micros cold_for = 0;
  double cold_from = 1;
  double tip_multiple = 1;
  micros tip_window = 0;
  micros resend_span = 0;  // in any such span a node may make free_resends further postings ...
  double free_resends = 0,
         extra_share = 0;  // ... and this share of the txns that it took in it; 0: no such rule
  double price_crossing = 0;
  double rank_crossing =
      0;  // by so much, in parts of F(b), a server abroad ranks lower, times the txn's own `crossing`
  bool operator==(const Terms&) const = default;
};

// A sum that fades with time, brought up to date when it is read.
struct Fading {
  double sum = 0;
  micros at = 0;
  double read(micros now, micros life) const {
    return sum == 0 ? 0 : sum * std::exp(-double(now - at) / double(life));
  }
  void add(micros now, micros life, double x) {
    sum = read(now, life) + x;
    at = now;
  }
};

// Txns taken and further postings over a span, in slots: its memory does not grow with traffic. The slot that
// the span begins in counts for the postings and not for the txns, so that no edge of a slot lets one more
// through.
struct Tally {
  static constexpr std::int64_t slots = 32;
  struct Slot {
    std::int64_t number = -1;
    int taken = 0, further = 0;
  };
  std::array<Slot, slots + 2> ring{};
  static micros width(micros span) { return std::max<micros>(1, (span + slots - 1) / slots); }
  Slot& at(micros now, micros span) {
    const std::int64_t number = now / width(span);
    Slot& slot = ring[std::size_t(number) % ring.size()];
    if (slot.number != number) slot = {number};
    return slot;
  }
  bool spares(micros now, const Terms& t) const {
    if (t.resend_span <= 0) return true;
    const std::int64_t oldest = std::max<micros>(0, now - t.resend_span) / width(t.resend_span);
    int taken = 0, further = 1;
    for (const Slot& s : ring) {
      if (s.number >= oldest) further += s.further;
      if (s.number > oldest) taken += s.taken;
    }
    return further <= t.free_resends + t.extra_share * taken;
  }
};

struct Spent {  // by a route's txns of late
  Fading taken, further;
};

// What a route allows its txns. It narrows the house's terms and never widens them: the stricter holds.
struct Allowed {
  repeats kind = repeats::repeatable;
  group within = group::all;
  int postings = 1 << 30;
  micros wait = 0;                  // of one posting for its answer; 0: until the client gives up
  group known_in = group::all;      // where servers know its mark again, as told before
  micros memory = micros(1) << 60;  // and for how long
  bool two_at_once = true;
  micros copy_after = 0;         // of silence, before a second copy; 0: by what answers take
  double further = -1;           // postings beyond the first, as a share of the route's txns; below 0: any
  std::shared_ptr<Spent> spent;  // what `further` counts
  bool full = false;             // the route takes nothing now: declined at once
  micros come_back = 0;          // for clients that are declined; 0: by what answers take
  double crossing = 1;           // times `rank_crossing`: what a long body costs on its way abroad
};

struct Said {  // by the client, of its txn
  bool repeat = false;
  std::uint32_t key = 0;  // of what the txn is about, hashed; 0: none
  bool coming = false;    // its body has only begun
};

enum class standing { serving, draining, gone };

struct Line {
  std::string server;
  std::string zone;
  std::string kind;  // of machine: only whether two are the same counts
  int cell = 0;
  double size = 1;
  standing state = standing::serving;
  micros started = 0;  // 0: long ago
};

enum class ending { settled, error, refused, timed_out, unreachable, reset, withdrawn, moot };

struct Report {  // what a server says of itself; below zero: not told
  double waiting = -1;
  double in_work = -1;
  double busy = -1;
  micros service = -1;
};

// A mean over what has not faded yet; both sums fade alike, so that it stands still between samples.
struct Mean {
  Fading sum, count;
  void take(micros now, micros life, double x) {
    sum.add(now, life, x);
    count.add(now, life, 1);
  }
  double mean(double absent) const { return count.sum > 0 ? sum.sum / count.sum : absent; }
  double leaning(micros now, micros life, double usual, double samples) const {
    return (sum.read(now, life) + samples * usual) / (count.read(now, life) + samples);
  }
  // Of parts of the usual: leaning on it by three samples.
  double slow() const { return (sum.sum + 3) / (count.sum + 3); }
};

constexpr int most_bins = 256;

// The sliding histogram of one server's last latencies.
struct Window {
  std::deque<std::uint16_t> bins;  // newest last
  std::array<std::uint16_t, most_bins> count{};
  std::array<std::uint16_t, most_bins> reference{};  // as at the last build
  int reference_total = 0;
  std::array<float, most_bins> row{};  // F(b), the table's row, as at the last build
  void take(int bin, int length) {
    bins.push_back(std::uint16_t(bin));
    ++count[std::size_t(bin)];
    if (int(bins.size()) > length) {
      --count[bins.front()];
      bins.pop_front();
    }
  }
  // The table's row, and the reference for the next test, as the window stands.
  void freeze(int used) {
    reference = count;
    reference_total = int(bins.size());
    for (std::size_t b = 0, sum = 0; b < std::size_t(used); ++b) {
      sum += count[b];
      row[b] = bins.empty() ? 1.0F : float(sum) / float(bins.size());
    }
  }
  // The Kolmogorov-Smirnov distance to the reference, times the root of nm/(n+m).
  double change() const {
    const double n = double(bins.size()), m = reference_total;
    if (n == 0 || m == 0) return n * 1e9;
    double a = 0, b = 0, d = 0;
    for (std::size_t i = 0; i < most_bins; ++i) {
      a += count[i] / n;
      b += reference[i] / m;
      d = std::max(d, std::abs(a - b));
    }
    return d / std::sqrt((n + m) / (n * m));
  }
};

struct Fault {  // errors of one scheme at a server, in a row
  int in_a_row = 0;
  micros at = 0;  // the last
};

struct Server {
  Line line;
  Mean* kind = nullptr;  // how long calls of its kind of machine take, for their scheme and work
  Mean pace;             // and its own, against its kind's
  bool known = true;     // on the list as it stands
  micros told_off = -1;
  std::uint32_t place = 0;  // on the ring
  Window window;
  std::vector<micros> out;  // when our postings in flight were sent
  int chosen_at = 0;        // the node's count of calls when it was last chosen or probed
  int wait_factor = 1;      // trials that went wrong stretch the time to the next
  int failures = 0;         // in a row
  bool on_trial = false;
  bool erring = false;  // its last txn ended in an error
  bool probing = false;
  micros asked = 0;  // when, while a probe for its load is out
  double told = 0;   // by it: its lag less the way there
  micros told_at = 0;
  std::map<int, Fault> faults;  // by scheme
  Mean latency, crowd;
  double cold_credit = 0;
  micros credit_at = 0;
  double held = 0;  // the mean of our postings in flight, over the last second or so
  micros held_at = 0;
  static constexpr micros told_for = 30'000;
  bool told_lately(micros now) const { return told > 0 && now - told_at <= told_for; }
  bool serving() const { return known && told_off < 0; }
  double holds(micros now) {  // as it stands, before `out` changes
    const double kept = std::exp(-double(now - held_at) / 1e6);
    held_at = now;
    return held = kept * held + (1 - kept) * double(out.size());
  }
};

struct Near {  // a server of the node's circle, what part of it, and its place in the table
  Server* server = nullptr;
  double part = 1;
  double rank = 0;
  static bool lower(const Near& a, const Near& b) { return a.rank < b.rank; }
};

struct Circle {
  std::vector<Near> servers;
  double size = 0;
};

struct Posting {
  Server* server = nullptr;
  micros sent = 0;
  int beside = 0;  // our others in flight there when it was sent
  bool trial = false;
  bool ended = false;
  bool never_ran = false;
  double pressed = 1;  // by what a probe told: how much longer than usual calls took there
};

struct Txn {
  int scheme = 0;
  int tenant = -1;
  std::uint32_t key = 0;
  micros taken = 0;
  micros expiry = 0;
  micros sla = 0;  // the moment it ends
  double cost = 1;
  micros ready_at = -(micros(1) << 60);  // servers asked are waited for until then
  double luck = 0;                       // from 0 to under 1, drawn once
  bool in_share = true;
  bool streaming = false;  // its answer has begun: the client's, without expiry
  bool coming = false;     // its own bytes are
  bool answered = false;
  bool promised = false;  // taken under other terms: it lives to its expiry
  Allowed allowed;
  std::vector<Posting> postings;
  auto out() const {
    return std::count_if(postings.begin(), postings.end(), [](const Posting& p) { return !p.ended; });
  }
  bool never_ran() const {
    return std::all_of(postings.begin(), postings.end(), [](const Posting& p) { return p.never_ran; });
  }
  bool held() const { return !answered && out() == 0; }
};

enum class list_call { none, watch };

// Why a txn was given up: not let in as answers are slow, no answer foreseen in time, no room, waited too
// long for room, no further posting allowed, may have run and may not run again, or its time is up.
enum class cause { slow, foreseen, no_room, waited, spent, may_have_run, late };

struct Decisions {
  struct Send {
    std::string txn, server;
    micros wait = 0;  // for its answer; 0: until the client gives up
  };
  struct Final {
    std::string txn;
    bool declined = true;  // otherwise reversed
    micros come_back = 0;
    cause why = cause::late;
  };
  struct Withdrawal {
    std::string txn;
    int posting = 0;
  };
  std::vector<Final> finals;
  std::vector<Withdrawal> withdrawals;
  std::vector<Send> sends;
  std::vector<std::string> probes;
  list_call list = list_call::none;
  micros wake_in = 0;  // 0: no new wake-up
};

class Balancer {
 public:
  Balancer(Terms terms, std::uint32_t seed, micros now);

  Decisions list_told(micros now, const std::vector<Line>& lines, bool whole, bool asked = true);
  // A failed call is tried again later each time, at a moment of this node's own.
  Decisions list_failed(micros at) {
    now = at;
    list_calls_.failed(now, part_of_one());
    return run();
  }
  Decisions txn_taken(micros now, const std::string& id, int scheme, int tenant, micros left, double cost,
                      Allowed by_route = {}, Said said = {});
  Decisions posting_ended(micros now, const std::string& id, int n, ending how, micros lag, bool final,
                          const Report* report);
  // A stream that has begun is the client's: no expiry runs, and nothing else is sent.
  Decisions stream_begun(micros at, const std::string& id, int n) {
    now = at;
    if (const auto it = txns.find(id); it != txns.end()) {
      it->second.streaming = true;
      withdraw_but(id, it->second, n);
    }
    return run();
  }
  // Of a txn's own bytes more have come, so long after what was heard of it before: until they are whole
  // neither it nor its server is late, and the server does no work for it.
  Decisions still_coming(micros at, const std::string& id, micros by, bool whole) {
    now = at;
    const auto it = txns.find(id);
    if (it == txns.end() || it->second.answered || !it->second.coming) return run();
    Txn& t = it->second;
    t.coming = !whole;
    for (micros* moment : {&t.taken, &t.sla, &t.expiry}) *moment += by;
    for (Posting& p : t.postings) {
      if (p.ended) continue;
      p.sent = now;
      if (whole) p.server->holds(now), p.server->out.push_back(now);
    }
    return run();
  }
  Decisions client_left(micros at, const std::string& id) {
    now = at;
    if (const auto it = txns.find(id); it != txns.end() && !it->second.answered) close(id, it->second, false);
    return run();
  }
  Decisions probe_answered(micros now, const std::string& server, bool ok, micros lag, const Report* report);
  // Peers send nothing of use yet; a front may pass on what it hears.
  Decisions peer_heard(micros at, int, const std::string&) {
    now = at;
    return run();
  }
  // Other terms from now on, and back by the same step (src/adopt.cpp); terms that can't be taken on change
  // nothing.
  Decisions adopt(micros now, Terms next);
  // What of them can't be while it runs, by the platform's names; empty if all can.
  std::string bound_by(const Terms& next) const;
  Decisions woke(micros at) {
    now = at;
    if (wake_at_ <= now) wake_at_ = 0;
    return run();
  }

  // The state, open so that a test can build it.
  Terms terms;
  std::mt19937 chance;
  std::map<std::string, Server> servers;
  std::map<std::string, Mean> kinds;
  std::map<std::string, Txn> txns;
  std::array<std::uint16_t, most_bins> pooled{};
  std::vector<Fading> tenants;
  Fading arrivals, sent, repeats_sent;
  Mean hints;
  Tally tally;
  Mean told_taken;  // the lag told where postings went
  micros now = 0, bin_width = 1, started = 0;
  int bins = 1;
  int calls = 0;          // postings so far
  double fleet_size = 0;  // of the servers in service, the cold for what they can do

  // What the rules are made of, by the file of src/choice/ that holds it; gate: every posting and final
  // passes there.
  bool may_post(const Txn& txn, const Server& server) const;
  bool may_decline(const Txn& txn) const;
  // A route may hold its txns for stricter than their scheme is, and allow them fewer further postings.
  repeats kind(const Txn& txn) const {
    return std::max(terms.schemes[std::size_t(txn.scheme)].kind, txn.allowed.kind);
  }
  int most_postings(const Txn& txn) const { return std::min(terms.most_postings, txn.allowed.postings); }
  // further
  bool spares_another(const Txn& txn) const;
  micros long_silence(const Txn& txn) const {
    return txn.allowed.copy_after > 0 ? txn.allowed.copy_after : 4 * typical();
  }
  // mechanism
  // Bin k holds latencies within half a width of k widths; the last bin holds all overruns.
  int bin_of(micros latency) const {
    return int(std::clamp<micros>((latency + bin_width / 2) / bin_width, 0, bins - 1));
  }
  void build();
  double likely(const Server& server, micros left) const;
  bool unchosen(const Server& server, double circle_size) const;
  void sample(Server& server, bool good, micros latency, bool trial, double pressed = 1);
  // candidates
  Server* choose(const Txn& txn, micros left, bool& trial);
  bool cold_allows(Server& server, double able);
  bool fails(const Server& server, int scheme) const;
  bool avoids(const Server& server) const;  // gets no txns now but trials
  Circle circle() const;
  double abroad() const;
  void draw_rings();
  double capacity(const Server& server) const;
  // room
  double room(double part, const Fading& settled, double worth) const;
  double admitted(double worth) const;
  micros foreseen(const Server& server) const;
  // held
  double in_time(const Txn& txn, const Server& server) const;
  // probes
  double turn(const Txn& txn, const Near& near);
  double pressed(const Server& server) const;
  bool ask(Txn& txn);
  bool ready(const Txn& txn) const;

 private:
  struct Seen {
    micros first_wait = 0;  // what a client gives its first try, as last heard
    Mean latency;
    double earning = 0;  // for its work, the best 1
  };
  static constexpr micros memory = 5'000'000;  // of the fading sums
  using rule = bool (Balancer::*)();
  Server* pick(const Txn& txn, std::vector<Near>& ranked);
  Server* least_lag(const Txn& txn, const std::vector<Near>& ranked);
  void home_gives_way(std::vector<Near>& ranked) const;
  void learn_pace(Server& server, micros latency, double pressed, micros usual);
  Decisions run();
  bool ask_for_list();
  bool post_next();
  bool copy_silent();
  bool give_up();
  bool probe_unchosen();
  bool plan_wake();
  void post(const std::string& id, Txn& txn, Server& server, bool trial);
  void answer(const std::string& id, Txn& txn, cause why);
  void close(const std::string& id, Txn& txn, bool served);
  void start_anew(Server& server);
  void withdraw_but(const std::string& id, const Txn& txn, int kept);
  double part_of_one() { return double(chance()) / 4294967296.0; }
  double crowding(const Server& server) const;
  // Time left to the SLA time, while it can be met; an answer after it earns nothing.
  micros time_left(const Txn& txn) const {
    return (txn.sla > now ? std::min(txn.sla, txn.expiry) : txn.expiry) - now;
  }
  // The time over which a fading sum has gathered: less than its memory while the node is young.
  double seen_for() const {
    return double(memory) * std::max(0.05, 1 - std::exp(-double(now - started) / double(memory)));
  }
  micros typical() const { return std::max<micros>(1, micros(all_latency_.mean(double(bin_width)))); }
  bool keyed(const Txn& txn) const { return terms.warm_keys && txn.key != 0; }
  double value(const Txn& txn) const;
  bool earns_no_more(const Txn& txn) const {
    return !txn.promised && now >= txn.sla && terms.schemes[std::size_t(txn.scheme)].late_revenue <= 0;
  }
  void fit_bins();
  void weigh_schemes();
  static micros patience(const Txn& txn) { return (std::min(txn.sla, txn.expiry) - txn.taken) / 4; }

  // What a cold server can do at the least, as a share of its full capacity.
  double cold_share(const Server& s) const {
    if (s.line.started <= 0 || terms.cold_for <= 0 || now - s.line.started >= terms.cold_for) return 1;
    const double age = double(std::max<micros>(0, now - s.line.started)) / double(terms.cold_for);
    return terms.cold_from + (1 - terms.cold_from) * age;
  }

  struct Unserved {  // whose repeat may come
    int scheme, tenant;
    std::uint32_t key;
    micros sla;
  };
  std::deque<Unserved> unserved_;  // oldest first
  Decisions todo_;
  std::array<double, 2> ways_{};  // the least lag of a probe: away, at home
  Mean at_home_, away_;           // parts of the usual latency
  std::array<std::vector<std::pair<std::uint32_t, Server*>>, 2>
      rings_;  // servers in service: at home, and elsewhere
  Mean all_latency_;
  Fading settled_;
  std::vector<Seen> seen_;  // by scheme
  double calm_ = 0;         // the lowest mean latency seen of late
  micros calm_at_ = 0;
  double best_pace_ = 0;  // calls a second to a warm server of size one, at the most of late
  micros best_pace_at_ = 0;
  micros wake_at_ = 0;
  asking::Calls list_calls_;
};

}  // namespace robinpin
