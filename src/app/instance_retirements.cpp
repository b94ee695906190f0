#include "instance_retirements.h"

namespace robinpin::app {

bool InstanceRetirements::is_retired(const std::string& instance) const {
  return configuration_.stands(std::string(configuration::retirement_prefix) + instance);
}

bool InstanceRetirements::request(std::int64_t now, const std::string& instance,
                                  const std::vector<gossip::Machine>& cores, gossip::Outbox& out) {
  if (is_retired(instance)) return true;
  const bool is_known = requests_.contains(instance);
  if (!is_known && requests_.size() >= max_requests) return false;
  if (instance.empty() || instance.size() > max_instance_bytes) return false;
  Request& request = requests_[instance];
  request.given_up_at = now + request_lifetime;
  if (!is_known) send(now, instance, request, cores, out);
  return true;
}

void InstanceRetirements::tick(std::int64_t now, const std::vector<gossip::Machine>& cores,
                               gossip::Outbox& out) {
  std::erase_if(requests_, [&](const auto& entry) {
    return now >= entry.second.given_up_at || is_retired(entry.first);
  });
  for (auto& [instance, request] : requests_)
    if (now >= request.next_send) send(now, instance, request, cores, out);
}

void InstanceRetirements::send(std::int64_t now, const std::string& instance, Request& request,
                               const std::vector<gossip::Machine>& cores, gossip::Outbox& out) {
  request.next_send = now + resend_interval;
  if (cores.empty()) return;
  const gossip::Machine core = cores[next_core_++ % cores.size()];
  out.push_back({core, control_plane::encode(control_plane::MessageType::retirement_request,
                                             control_plane::RetirementRequest{instance})});
}

}  // namespace robinpin::app
