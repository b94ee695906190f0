// The body of `GET /v1/status`: what a process is and believes, for operators and tools.
// docs/operators/mesh.md names the members.
#pragma once

#include <cstdint>
#include <string>

#include "../bootstrap/settings.h"
#include "../configuration/configuration_store.h"
#include "../control_plane/replicated_state.h"
#include "../gossip/gossip.h"
#include "../sidecar/outbound_proxy.h"
#include "../transport/udp_transport.h"
#include "resource_watch.h"

namespace robinpin::app {

// What both roles report on. Refers to the process's parts; `now` is in microseconds of the steady clock.
struct ProcessView {
  const bootstrap::Settings& settings;
  const configuration::ConfigurationStore& configuration;
  const gossip::Gossip& gossip;
  const transport::UdpTransport& transport;
  const node::MemoryBudget& memory;
  ResourceUsage resources;
  std::int64_t now;
};

std::string sidecar_status_json(const ProcessView& process, const sidecar::OutboundProxy& outbound_proxy,
                                bool is_ready);

std::string control_plane_status_json(const ProcessView& process,
                                      const control_plane::ReplicatedState& replicated_state);

}  // namespace robinpin::app
