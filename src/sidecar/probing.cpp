// Health probes of servers, sent on behalf of the balancer.
#include <fmt/format.h>

#include <algorithm>

#include "outbound_proxy.h"
#include "proxy_limits.h"

namespace robinpin::sidecar {

awaitable<void> OutboundProxy::probe(node::Desk* desk, std::string server) {
  ++counts_.probes;
  const gossip::Machine machine = balancers_.machine(server);
  const auto begun = clock_.now();
  bool good = false;
  if (machine == self_) {
    const auto f = co_await inbound_proxy_.probe(server, probe_limit);
    good = f && f->how_far == came::answered && f->status == 200;
  } else if (machine != 0) {
    auto request = std::make_shared<OutgoingRequest>();
    request->method = "GET";
    request->target = "/";
    request->longest_answer = longest_probe_answer;
    request->id = fmt::format("probe-{}", ++number_);
    request->headers = fmt::format("Host: mesh\r\nX-Mesh-Probe: 1\r\nX-Attempt-Id: {}\r\n{}: {}\r\n",
                                   request->id, instance_header, server);
    const UpstreamResult f = co_await way(machine).carry(std::make_shared<InFlightRequest>(), request,
                                                         steady::now() + probe_limit);
    good = f.how_far == came::answered && f.status == 200;
  }
  desk->probed(server, good, std::max<micros>(1, clock_.now() - begun));
}

}  // namespace robinpin::sidecar
