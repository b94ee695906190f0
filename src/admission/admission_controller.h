// Admission of requests at the application server beside this node. Every request to that server passes here,
// whichever node sent it, so limits that hold over all callers are enforced in one place. Free of I/O; the
// time is an argument. All times are microseconds, on any clock that never goes back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace robinpin::admission {

// Why a request is rejected before the server has received any of it; `none`: it is admitted.
enum class RejectReason {
  none,
  no_server,
  other_instance,
  draining,
  evacuated,
  warming_up,
  overloaded,
  not_ready
};
// By value of RejectReason. Sent between nodes and counted: never to be changed.
constexpr const char* reject_reason_names[] = {"none",    "no-server", "other-instance", "draining",
                                               "emptied", "cold",      "crowded",        "unready"};

// The application server, as its heartbeats describe it.
struct Server {
  std::string id, service, address;
  bool draining = false;
  int slots = 1;                      // requests that it processes concurrently
  std::int64_t warming_up_until = 0;  // 0: it is not warming up
  std::uint64_t sequence = 0;         // of its last heartbeat
  std::int64_t last_heartbeat = 0;
};

class AdmissionController {
 public:
  // Limits of the configuration in force.
  struct Limits {
    bool known = true;               // false until this node has caught up with the configuration
    double warmup_per_s = 0;         // requests a second while warming up; 0: unlimited
    double max_during_warmup = 1e9;  // in any second: `warmup_per_s` with the overshoot and slack allowed
    int conn_limit = 100;            // connections that the server accepts
    bool zone_evacuated = false;
    double link_bytes_per_s = 0;         // capacity of this machine's link; 0: not known
    std::int64_t shortest_deadline = 0;  // of the routes to this service; 0: there is none
  };
  // What is known of a request before it is admitted.
  struct RequestInfo {
    std::int64_t deadline = 0;           // of its route
    std::int64_t to_latency_target = 0;  // time left until its latency target
    std::int64_t to_deadline = 0;        // time left until its own deadline
    bool streamed = false;               // its body is long and still being received
    double body_bytes = 0;               // of a streamed body, as announced
  };

  // An instance that is silent for longer may have been displaced by a late heartbeat of an earlier one.
  static constexpr std::int64_t default_longest_silence = 3'000'000;

  explicit AdmissionController(std::int64_t longest_silence = default_longest_silence)
      : longest_silence_(longest_silence) {}

  // Records a heartbeat. Returns false for one that is out of date: an older sequence number of the present
  // instance, or any of an earlier instance. An earlier one is reinstated if it goes on sending heartbeats
  // while the present one has been silent for `longest_silence`: then it was the present one that came late.
  bool on_heartbeat(std::int64_t now, Server server, std::int64_t warmup_left);
  // Records that instance `id` has ended.
  void on_departure(const std::string& id);
  // The present instance drains, by what is known from elsewhere.
  void start_draining() { server_.draining = true; }
  // Treats the server as warming up until then: it may have started to without telling.
  void assume_warmup_until(std::int64_t until) { assumed_warmup_until_ = until; }
  // Records how long the server, by its own statement, goes on warming up.
  void set_warmup_left(std::int64_t now, std::int64_t left);

  bool has_server() const { return !server_.id.empty() && !departed_; }
  const Server& server() const { return server_; }
  bool warming_up(std::int64_t now) const {
    return now < server_.warming_up_until || now < assumed_warmup_until_;
  }
  // Requests at the server, without streamed ones whose body is incomplete.
  int in_progress() const { return in_progress_; }

  // Decides on a request for instance `instance` (empty: any). Does not count it: see on_admitted.
  RejectReason check(std::int64_t now, const std::string& instance, const Limits& limits,
                     const RequestInfo& request);

  // A request has been admitted. Each is followed by on_written and on_finished, or by on_aborted.
  void on_admitted(bool streamed);
  // Bytes of streamed bodies that are still expected; negative once received, or given up.
  void add_expected_bytes(double bytes) { expected_bytes_ += bytes; }
  // The request has been written to the server completely.
  void on_written(std::int64_t now, bool streamed);
  // The request was not written completely. `reached_server`: a part of it was, which the server counts
  // though it never processes it.
  void on_aborted(std::int64_t now, bool streamed, bool reached_server);
  // A written request has ended. `others`: in_progress() at its admission; `duration`: how long it took, 0 if
  // it was not answered.
  void on_finished(std::int64_t now, int others, std::int64_t duration);

 private:
  struct EarlierInstance {
    std::string id;
    std::uint64_t sequence = 0;  // of its last heartbeat
  };
  // Whether a heartbeat of an instance other than the present one makes that the present one.
  bool displaces_present(std::int64_t now, const Server& server) const;
  bool warmup_exhausted(std::int64_t now, const Limits& limits);
  double expected_duration(int others) const;
  bool link_overloaded(const Limits& limits, const RequestInfo& request) const;
  std::size_t sent_in_last_second(std::int64_t now);
  double may_arrive_in_one_second(std::int64_t now);

  Server server_;
  bool departed_ = false;
  std::deque<EarlierInstance> earlier_instances_;  // the last few
  std::int64_t longest_silence_;
  std::int64_t assumed_warmup_until_ = 0;
  std::int64_t no_warmup_request_until_ = 0;
  int in_progress_ = 0;
  int streaming_ = 0;  // streamed requests whose body is incomplete
  int unwritten_ = 0;  // admitted, not written completely yet
  double expected_bytes_ = 0;
  double service_time_ = 0;                      // mean, of a request that does not queue
  std::deque<std::int64_t> written_, finished_;  // times within the last second
};

}  // namespace robinpin::admission
