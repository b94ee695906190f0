// The server's side of a node: what other nodes (and this one) forward passes the gate, is handed on to the
// application server of this machine, and comes back with word of how far it came.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "../admission/admission_controller.h"
#include "../bootstrap/settings.h"
#include "../configuration/route_table.h"
#include "upstream_pool.h"

namespace robinpin::sidecar {

// How a try ended at the server's node: what the caller's node has to know of it.
enum class outcome {
  answered,  // the server's answer, whole
  held,      // held back before the server heard of it: no arrival, has not run
  refused,   // the server's own word that it has not run it
  unknown,   // it may have run
};

struct Result {
  outcome how = outcome::unknown;
  std::string why;      // held: by the gate's name; unknown: what broke
  UpstreamResult fate;  // answered and refused: what the server said
};

// Headers between nodes; they never leave the mesh.
constexpr std::string_view deadline_header = "X-Mesh-Deadline-Ms", aim_header = "X-Mesh-Aim-Ms";
constexpr std::string_view held_header = "X-Mesh-Held", broke_header = "X-Mesh-Broke",
                           instance_header = "X-Target-Instance";
inline bool of_mesh(std::string_view name) {
  return name.size() > 7 && codec::same_name(name.substr(0, 7), "X-Mesh-");
}

class InboundProxy {
 public:
  InboundProxy(asio::io_context& io, Sockets& sockets, const bootstrap::Settings& settings,
               tcp::endpoint application);

  // `instance`: the server that the caller means. Until `until` at the latest.
  awaitable<Result> take(std::shared_ptr<InFlightRequest> in_flight,
                         std::shared_ptr<const OutgoingRequest> request, std::string instance,
                         admission::AdmissionController::RequestInfo asked, steady::time_point until);
  // Whether the gate would let it pass now: asked before a long body is sent.
  admission::RejectReason verdict(const std::string& instance,
                                  const admission::AdmissionController::RequestInfo& asked) {
    return admission_.check(now(), instance, bounds(), asked);
  }
  // Asks the server how it is, on the path of its service. Nothing where it can't be asked.
  awaitable<std::optional<UpstreamResult>> probe(std::string instance, steady::duration limit);

  admission::AdmissionController& admission() { return admission_; }
  void plan(std::shared_ptr<const configuration::RouteTable> plan);
  void ready(bool is) { ready_ = is; }  // caught up: before that nothing passes
  void sweep() { upstream_.sweep(); }
  std::int64_t now() const;

 private:
  admission::AdmissionController::Limits bounds() const;
  const bootstrap::Settings& settings_;
  UpstreamPool upstream_;
  admission::AdmissionController admission_;
  std::shared_ptr<const configuration::RouteTable> plan_;
  bool ready_ = false;
  std::string last_instance_;
  std::map<std::string, std::int64_t> shortest_;  // by service
};

// The steady clock in microseconds.
std::int64_t steady_now();

}  // namespace robinpin::sidecar
