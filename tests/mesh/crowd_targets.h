// The ports of real processes as a crowd meets them, and their processes as they are looked at.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "crowd.h"
#include "mesh_processes.h"
#include "resource_usage.h"

namespace robinpin::mesh_test {

enum class Port { outbound, inbound, sidecar_control, readiness, core_control };

// What a crowd sends to that port of a sidecar, or to `core`.
inline CrowdTarget crowd_target(Port port, const Sidecar& sidecar, const tcp::endpoint& core) {
  constexpr std::size_t upload_bytes = 4 * 1024 * 1024, heartbeat_bytes = 64'000, change_bytes = 16'000'000;
  const std::string mesh_headers = fmt::format(
      "X-Attempt-Id: crowd\r\nX-Remaining-Ms: 20000\r\nX-Target-Instance: i-{}\r\nX-Mesh-Deadline-Ms: "
      "20000\r\nX-Mesh-Aim-Ms: 20000\r\n",
      sidecar.ip());
  const std::string client_headers = "Host: a.example\r\nX-Attempt-Id: crowd\r\nX-Remaining-Ms: 20000\r\n";
  const std::string json = "Host: c\r\nContent-Type: application/json\r\n";
  const auto get = [](std::string_view path, const std::string& headers) {
    return fmt::format("GET {} HTTP/1.1\r\n{}\r\n", path, headers);
  };
  const auto post = [](std::string_view path, const std::string& headers) {
    return fmt::format("POST {} HTTP/1.1\r\n{}", path, headers);
  };
  switch (port) {
    case Port::outbound:
      return {sidecar.outbound(), get("/p0/large", client_headers), get("/p0/medium", client_headers),
              post("/p0/x", client_headers), upload_bytes};
    case Port::inbound:
      return {sidecar.inbound(), get("/p0/large", mesh_headers), get("/p0/medium", mesh_headers),
              post("/p0/x", mesh_headers), upload_bytes};
    case Port::sidecar_control:
      return {sidecar.control(), get("/v1/status", json), get("/v1/status", json),
              post("/v1/Servers.Heartbeat/i-crowd", json), heartbeat_bytes};
    case Port::readiness:
      return {sidecar.readiness(), get("/v1/readiness", json), get("/v1/readiness", json),
              post("/v1/readiness", json), heartbeat_bytes};
    case Port::core_control:
      break;
  }
  return {core, get("/v1/Configuration.Read", json), get("/v1/Configuration.Read", json),
          post("/v1/Configuration.Adjust", json), change_bytes};
}

inline KernelEndpoint kernel_endpoint_of(const tcp::endpoint& endpoint) {
  return kernel_endpoint_of(fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port()));
}

// `connects_to`: other sidecars that only this one calls.
inline ProcessAddresses addresses_of(Sidecar& sidecar, std::vector<KernelEndpoint> connects_to) {
  const KernelEndpoint server = kernel_endpoint_of(sidecar.server().address());
  connects_to.push_back(server);
  return {sidecar.process().pid(), sidecar.ip(), std::move(connects_to), {server}};
}

}  // namespace robinpin::mesh_test
