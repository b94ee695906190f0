// Records of this machine's application servers that were acknowledged as draining or departed. The process
// may be killed right after its acknowledgement, and it has no disk: it acknowledges only what a majority of
// the core has recorded, and a later process learns that with the configuration. Told the time, in
// microseconds; free of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "../configuration/configuration_store.h"
#include "../control_plane/messages.h"
#include "../gossip/gossip.h"

namespace robinpin::app {

class InstanceRetirements {
 public:
  static constexpr std::int64_t resend_interval = 100'000;
  // A request is given up after this; the application server says it again.
  static constexpr std::int64_t request_lifetime = 5'000'000;
  static constexpr std::size_t max_requests = 16;
  static constexpr std::size_t max_instance_bytes = control_plane::RetirementRequest::max_instance_bytes;

  // `configuration` must outlive this.
  explicit InstanceRetirements(const configuration::ConfigurationStore& configuration)
      : configuration_(configuration) {}

  // The core has recorded the instance, as far as this machine knows.
  bool is_retired(const std::string& instance) const;
  // Asks one of the cores to record the instance, and the others in turn until it is recorded. Returns false
  // for an id that is too long, and while too many are requested.
  bool request(std::int64_t now, const std::string& instance, const std::vector<gossip::Machine>& cores,
               gossip::Outbox& out);
  // To be called about every 100 ms: sends again what is not recorded yet.
  void tick(std::int64_t now, const std::vector<gossip::Machine>& cores, gossip::Outbox& out);
  bool has_requests() const { return !requests_.empty(); }

 private:
  struct Request {
    std::int64_t given_up_at = 0;
    std::int64_t next_send = 0;
  };
  void send(std::int64_t now, const std::string& instance, Request& request,
            const std::vector<gossip::Machine>& cores, gossip::Outbox& out);

  const configuration::ConfigurationStore& configuration_;
  std::map<std::string, Request> requests_;  // by instance
  std::size_t next_core_ = 0;
};

}  // namespace robinpin::app
