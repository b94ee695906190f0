#include "admission_controller.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace robinpin::admission {

namespace {

using Limits = AdmissionController::Limits;
using RequestInfo = AdmissionController::RequestInfo;

constexpr std::int64_t second = 1'000'000;
// The limit holds for any second of the server's clock: requests that are under way for different times may
// arrive closer together than they were sent.
constexpr std::int64_t slack = 50'000;
constexpr std::size_t max_times_kept = 4'000;
constexpr std::size_t max_earlier_instances = 8;
// Connections of the server kept free: for a probe, and for one that is being closed.
constexpr int reserved_connections = 2;
// Weight of the mean service time, as a number of samples.
constexpr double service_time_samples = 30;
// Fraction of the time left within which the answer has to be expected.
constexpr double expected_fraction = 0.8;
// Fraction of the shortest deadline that requests with longer ones may use up.
constexpr double longer_deadlines_fraction = 0.5;
// Fraction of the link that streamed bodies may use.
constexpr double streamed_fraction = 0.85;
// Fraction of the time left in which the body of a request has to arrive that has missed its latency target.
constexpr double late_fraction = 0.1;

void append_time(std::deque<std::int64_t>& times, std::int64_t now) {
  times.push_back(now);
  if (times.size() > max_times_kept) times.pop_front();
}

void drop_older_than_a_second(std::deque<std::int64_t>& times, std::int64_t now) {
  while (!times.empty() && times.front() <= now - second - slack) times.pop_front();
}

// How long requests with longer deadlines may occupy what those with the shortest one need, too.
double max_beside_shortest(const Limits& limits, const RequestInfo& request) {
  if (limits.shortest_deadline <= 0 || request.deadline <= limits.shortest_deadline)
    return std::numeric_limits<double>::infinity();
  return longer_deadlines_fraction * expected_fraction * double(limits.shortest_deadline);
}

// The longest expected duration at which a request is admitted. One with the shortest deadline can't be
// repeated, since mostly its caller is a server that has worked already: it may take until its deadline.
// Others are of use until their latency target, and must not delay those.
double max_expected_duration(const Limits& limits, const RequestInfo& request) {
  if (request.deadline <= limits.shortest_deadline) return expected_fraction * double(request.to_deadline);
  return std::min(expected_fraction * double(request.to_latency_target),
                  max_beside_shortest(limits, request));
}

// How long a streamed body may take to arrive. All of them share the link: more of them delay each other and
// everything else. One that has missed its target goes where little else is under way.
double max_transfer_time(const RequestInfo& request) {
  if (request.to_latency_target > 0) return expected_fraction * double(request.to_latency_target);
  return late_fraction * double(request.to_deadline);
}

int warmup_requests_per_second(const Limits& limits) {
  return limits.warmup_per_s < 1 ? 1 : int(limits.warmup_per_s);
}

}  // namespace

bool AdmissionController::on_heartbeat(std::int64_t now, Server server, std::int64_t warmup_left) {
  const bool same = server.id == server_.id;
  if (same && (server.sequence <= server_.sequence || departed_))
    return !departed_ && server.sequence == server_.sequence;
  if (!same) {
    if (!displaces_present(now, server)) return false;
    std::erase_if(earlier_instances_, [&](const EarlierInstance& e) { return e.id == server.id; });
    if (!server_.id.empty()) earlier_instances_.push_back({server_.id, server_.sequence});
    if (earlier_instances_.size() > max_earlier_instances) earlier_instances_.pop_front();
    // A sidecar that has just started doesn't know what the one before it sent within this second.
    const bool sidecar_restarted = server_.id.empty() && server.sequence > 1;
    written_.clear();
    finished_.clear();
    departed_ = false;
    no_warmup_request_until_ = sidecar_restarted ? now + second + slack : 0;
  }
  server.last_heartbeat = now;
  server.warming_up_until = warmup_left > 0 ? now + warmup_left : 0;
  server.draining = server.draining || (same && server_.draining);  // an instance never ends its draining
  server_ = std::move(server);
  return true;
}

// An unknown instance is taken for the successor. After a restart of this process it may as well be one that
// ended before the present one started.
bool AdmissionController::displaces_present(std::int64_t now, const Server& server) const {
  const auto earlier = std::find_if(earlier_instances_.begin(), earlier_instances_.end(),
                                    [&](const EarlierInstance& e) { return e.id == server.id; });
  const bool is_present_silent = now - server_.last_heartbeat > longest_silence_;
  // No instance starts out draining: this one was here before.
  if (server.draining && has_server() && !is_present_silent) return false;
  if (earlier == earlier_instances_.end()) return true;
  return !server.draining && is_present_silent && server.sequence > earlier->sequence;
}

void AdmissionController::on_departure(const std::string& id) {
  if (id == server_.id) departed_ = true;
}

void AdmissionController::set_warmup_left(std::int64_t now, std::int64_t left) {
  server_.warming_up_until = left > 0 ? now + left : 0;
  assumed_warmup_until_ = 0;
}

RejectReason AdmissionController::check(std::int64_t now, const std::string& instance, const Limits& limits,
                                        const RequestInfo& request) {
  if (!limits.known) return RejectReason::not_ready;
  if (!has_server()) return RejectReason::no_server;
  if (!instance.empty() && instance != server_.id) return RejectReason::other_instance;
  if (server_.draining) return RejectReason::draining;
  if (limits.zone_evacuated) return RejectReason::evacuated;
  if (warming_up(now) && limits.warmup_per_s > 0 && warmup_exhausted(now, limits))
    return RejectReason::warming_up;
  if (in_progress_ + streaming_ >= limits.conn_limit - reserved_connections) return RejectReason::overloaded;
  // Streamed requests occupy no slot until their body is complete: they compete with each other only.
  if (request.streamed && streaming_ > 0 && limits.link_bytes_per_s > 0 && link_overloaded(limits, request))
    return RejectReason::overloaded;
  const int others = in_progress_ + (request.streamed ? streaming_ : 0);
  if (others >= server_.slots && expected_duration(others) > max_expected_duration(limits, request))
    return RejectReason::overloaded;
  return RejectReason::none;
}

bool AdmissionController::warmup_exhausted(std::int64_t now, const Limits& limits) {
  if (now < no_warmup_request_until_) return true;
  if (int(sent_in_last_second(now)) >= warmup_requests_per_second(limits)) return true;
  return may_arrive_in_one_second(now) + 1 >= limits.max_during_warmup;
}

// How long a request takes that is admitted beside `others`, by the mean service time.
double AdmissionController::expected_duration(int others) const {
  return double(others + 1) / server_.slots * service_time_;
}

// Whether the streamed bodies under way and this one would occupy the link for too long: for this request to
// be in time, or for those with the shortest deadline, which come over the same link. The server's own time
// occupies nothing of the link.
bool AdmissionController::link_overloaded(const Limits& limits, const RequestInfo& request) const {
  const double bytes = expected_bytes_ + request.body_bytes;
  const double transfer_time = bytes / (streamed_fraction * limits.link_bytes_per_s) * second;
  if (transfer_time > max_beside_shortest(limits, request)) return true;
  return transfer_time + service_time_ > max_transfer_time(request);
}

// Until it is written an admitted request counts for every second: a busy process writes late, and what it
// admitted in one second must not reach the server together with what it admits in the next.
void AdmissionController::on_admitted(bool streamed) {
  ++(streamed ? streaming_ : in_progress_);
  ++unwritten_;
}

void AdmissionController::on_written(std::int64_t now, bool streamed) {
  --unwritten_;
  if (streamed) {
    --streaming_;
    ++in_progress_;
  }
  append_time(written_, now);
}

void AdmissionController::on_aborted(std::int64_t now, bool streamed, bool reached_server) {
  --unwritten_;
  --(streamed ? streaming_ : in_progress_);
  if (!reached_server) return;
  append_time(written_, now);
  append_time(finished_, now);
}

void AdmissionController::on_finished(std::int64_t now, int others, std::int64_t duration) {
  --in_progress_;
  append_time(finished_, now);
  if (duration <= 0) return;
  const double queueing = std::max(1.0, double(others + 1) / server_.slots);
  const double sample = double(duration) / queueing;
  service_time_ =
      service_time_ <= 0 ? sample : service_time_ + (sample - service_time_) / service_time_samples;
}

std::size_t AdmissionController::sent_in_last_second(std::int64_t now) {
  drop_older_than_a_second(written_, now);
  return written_.size() + std::size_t(unwritten_);
}

// The most requests that the server may receive within one second, however long this process was delayed: a
// request is known to have arrived only when it has ended.
double AdmissionController::may_arrive_in_one_second(std::int64_t now) {
  drop_older_than_a_second(finished_, now);
  return double(finished_.size()) + in_progress_ + streaming_;
}

}  // namespace robinpin::admission
