// Room: how much of this node's work a server, and the node, has room for, by answers when calm and now.
#include "shared.h"

namespace robinpin {

constexpr double cores_guess = 2;    // calls a server works on side by side, where nothing tells
constexpr double room_factor = 1.6;  // room beyond the calm load by a txn's value, over all tiers
constexpr micros calm_memory = 300 * second;

// The server's load now against when its samples were taken: as a probe told, or by this node's own calls in
// flight, the other nodes taken to do as this one did.
double Balancer::crowding(const Server& s) const {
  if (s.told_lately(now)) return pressed(s);
  const double capacity = cores_guess * s.line.size, beside = s.crowd.mean(0);
  const double others = double(terms.nodes - 1) * beside;
  return (capacity + double(s.out.size()) + others) / (capacity + beside + others);
}

micros Balancer::foreseen(const Server& s) const {
  const micros usual = typical();
  const double mean = s.latency.leaning(now, memory, double(usual), 1);
  const micros oldest = s.out.empty() ? 0 : now - *std::min_element(s.out.begin(), s.out.end());
  return std::max(micros(mean * crowding(s)), oldest > 4 * usual ? oldest : 0);
}

// What an answer tells of how long answers take, and of how long while all is calm.
void Balancer::learn_pace(Server& s, micros latency, double pressed, micros usual) {
  s.latency.take(now, memory, double(latency) / pressed);
  // A few txns of many times the usual are no crowding; a node of few calls needs longer for a mean.
  const auto life = std::max(memory, micros(1.5 * calm_samples * seen_for() / arrivals.read(now, memory)));
  const double count = all_latency_.count.read(now, life);
  const bool known = count >= calm_samples || (count >= calm_samples / 3 && now - started >= second);
  // As a warm usual server would have: large ones that give way to small or cold look crowded.
  const auto even = micros(double(latency) / (s.kind ? s.kind->slow() : 1));
  if (cold_share(s) >= 1) all_latency_.take(now, life, double(known ? std::min(even, 3 * usual) : even));
  settled_.add(now, memory, 1);
  const double risen = calm_ * (1 + double(now - calm_at_) / double(calm_memory));
  if (known)
    calm_ = calm_ <= 0 ? double(usual)
                       : std::min(risen, calm_ + std::min(0.0, double(usual) - calm_) / calm_samples);
  calm_at_ = now;
}

// How many of this node's calls a server has room for: the larger of a least and of what it has in flight at
// its calm pace (settled a second x calm latency), their sum where no sizes are told. A crowded server stays
// slow. Inner tiers send what they get, paid for already, but pass such servers over.
double Balancer::room(double part, const Fading& settled, double worth) const {
  const double least = cores_guess * part * fleet_size / terms.nodes * (0.5 + worth);
  const double calm = (1 + room_factor / terms.tiers * worth) * settled.read(now, memory) / seen_for() *
                      (calm_ > 0 ? calm_ : double(typical()));
  return terms.sizes_told ? std::max(least, calm) : least + calm;
}

// What part of the txns one of many nodes lets in. Its own calls in flight are too few to limit what hundreds
// send, one each is a crowd already; so chance does, by how much slower than calm answers are.
double Balancer::admitted(double worth) const {
  if (terms.streams > 1 || calm_ <= 0) return 1;
  const double may_take = (1 + 0.5 * worth) * calm_ / double(typical());
  return std::pow(std::min(1.0, may_take), 4 * (1 - 1 / std::sqrt(double(terms.nodes))));
}

}  // namespace robinpin
