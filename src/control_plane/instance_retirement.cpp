// Records of application servers' instances that were acknowledged as draining or departed. Sidecars have no
// disk: the core keeps for them what a restarted sidecar must not forget.
#include <algorithm>

#include "replicated_state.h"

namespace robinpin::control_plane {

namespace {

constexpr std::int64_t sweep_interval = 1'000'000;  // microseconds
constexpr std::size_t max_forgotten_at_once = 32;
// Microseconds by which each further voter waits longer: mostly one of them does it.
constexpr std::int64_t voter_stagger = 10'000'000;

}  // namespace

void ReplicatedState::on_retirement_request(std::int64_t now, Machine from, const RetirementRequest& request,
                                            Outbox& out) {
  if (request.instance.empty() || request.instance.size() > RetirementRequest::max_instance_bytes) return;
  const std::string name = std::string(configuration::retirement_prefix) + request.instance;
  if (configuration_.stands(name)) return send_retirement(from, name, out);
  if (!retirements_in_progress_.insert(name).second) return;
  const auto done = [this, from, name](const RequestOutcome& outcome) {
    retirements_in_progress_.erase(name);
    if (outcome.status == 200) retirements_done_.emplace_back(from, name);
  };
  submit(now, {OperatorRequest::what::retire, request.instance}, done, out);
}

void ReplicatedState::confirm_retirements(Outbox& out) {
  for (const auto& [machine, name] : retirements_done_) send_retirement(machine, name, out);
  retirements_done_.clear();
}

void ReplicatedState::send_retirement(Machine to, const std::string& name, Outbox& out) const {
  const configuration::VersionedItem* item = configuration_.find(name);
  if (!item) return;
  const gossip::UpdateMessage update{{*item}, {}, configuration_.floor()};
  out.push_back({to, gossip::written(gossip::kind::news, update)});
}

void ReplicatedState::forget_retired_instances(std::int64_t now, Outbox& out) {
  if (now < next_retirement_sweep_) return;
  next_retirement_sweep_ = now + sweep_interval;
  const std::vector<std::string> expired = expired_retirements(now);
  if (!is_voter() || !is_current(now) || !requests_.empty()) return;
  for (const std::string& name : expired) {
    std::string instance = name.substr(configuration::retirement_prefix.size());
    submit(
        now, {OperatorRequest::what::forget_retired, std::move(instance)}, [](const RequestOutcome&) {}, out);
  }
}

std::vector<std::string> ReplicatedState::expired_retirements(std::int64_t now) {
  const auto& seats = voters().now;
  const auto own =
      std::find_if(seats.begin(), seats.end(), [&](const auto& s) { return s.store == store(); });
  const std::int64_t lifetime = retirement_lifetime + (own - seats.begin()) * voter_stagger;
  std::erase_if(retirements_seen_, [&](const auto& seen) { return !configuration_.stands(seen.first); });
  std::vector<std::string> expired;
  const auto& items = configuration_.items();
  for (auto it = items.lower_bound(configuration::retirement_prefix);
       it != items.end() && it->first.starts_with(configuration::retirement_prefix); ++it) {
    if (it->second.dropped) continue;
    const std::int64_t since = retirements_seen_.try_emplace(it->first, now).first->second;
    if (now - since >= lifetime && expired.size() < max_forgotten_at_once) expired.push_back(it->first);
  }
  return expired;
}

}  // namespace robinpin::control_plane
