// Messages among control-plane machines: one datagram each, encoded by cereal; longer ones go as fragments.
// The first byte tells them from gossip messages. Fields are encoded by position: their order is the format.
#pragma once

#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "../consensus/register.h"
#include "../gossip/gossip.h"

namespace robinpin::consensus {

// Encodes an enumeration as one byte.
template <typename A, typename E>
void numbered(A& a, E& value) {
  auto n = std::uint8_t(value);
  a(n);
  value = E(n);
}
template <typename A>
void serialize(A& a, Ballot& value) {
  a(value.round, value.proposer);
}
template <typename A>
void serialize(A& a, Value& value) {
  a(value.version, value.text, value.by);
}
template <typename A>
void serialize(A& a, Seat& value) {
  a(value.voter, value.store, value.address);
}
template <typename A>
void serialize(A& a, Voters& value) {
  a(value.version, value.now, value.next);
}
template <typename A>
void serialize(A& a, Ask& value) {
  numbered(a, value.what);
  a(value.store, value.name, value.ballot, value.value, value.voters, value.seen);
}
template <typename A>
void serialize(A& a, Reply& value) {
  numbered(a, value.how);
  numbered(a, value.what);
  a(value.store, value.ballot, value.promised, value.accepted, value.value, value.voters, value.counter,
    value.names);
}

}  // namespace robinpin::consensus

namespace robinpin::control_plane {

using gossip::Machine;
using gossip::Outbox;

enum class MessageType : std::uint8_t {
  consensus_request = 16,
  consensus_reply,
  heartbeat,
  catch_up_request,
  catch_up_response,
  fragment,
  retirement_request
};
inline bool is_control_plane_message(std::string_view datagram) {
  return !datagram.empty() && std::uint8_t(datagram[0]) >= std::uint8_t(MessageType::consensus_request);
}

// The committed number that the sender holds, and the write that committed it (`by`): a voter that has
// accepted exactly this write may apply it.
struct CommittedPosition {
  std::uint64_t number = 0;
  std::string by;
  template <typename A>
  void serialize(A& a) {
    a(number, by);
  }
  friend bool operator==(const CommittedPosition&, const CommittedPosition&) = default;
};

// A request of the consensus protocol, from a proposer to a voter.
struct ConsensusRequest {
  consensus::Ask ask;
  CommittedPosition committed;
  bool knows_text = false;  // the sender has the text of `committed`: the reply may leave it out
  std::string store;        // the sender's store, and its counter of changes
  std::uint64_t counter = 0;
  template <typename A>
  void serialize(A& a) {
    a(ask, committed, knows_text, store, counter);
  }
};

// A voter's reply to a ConsensusRequest.
struct ConsensusReply {
  consensus::Reply reply;  // with the counter of the voter's store
  CommittedPosition committed;
  template <typename A>
  void serialize(A& a) {
    a(reply, committed);
  }
};

// Sent to each peer periodically, and as the reply to one.
struct PeerHeartbeat {
  std::uint64_t incarnation = 0,
                sequence = 0;  // of its sender's process, drawn; grows with each: a late one can be known
  std::uint64_t echo = 0;      // of the beat that this answers; 0: plain news
  bool answer = false;
  std::string store;
  std::uint64_t counter = 0;
  std::string peer_store;  // whose counter `seen` is
  std::uint64_t peer_counter = 0;
  CommittedPosition committed;
  std::uint64_t accepted = 0;  // the number in its own register, perhaps not settled
  consensus::Voters voters;
  bool votes = false;    // its disk is known to be the latest of its store
  bool ready = false;    // holds the state of its number whole
  bool leaving = false;  // is about to end for good, or does not know better
  std::vector<std::pair<std::string, std::uint32_t>>
      ages;  // of each voter's store, milliseconds since it was heard
  template <typename A>
  void serialize(A& a) {
    a(incarnation, sequence, echo, answer, store, counter, peer_store, peer_counter, committed, accepted,
      voters, votes, ready, leaving, ages);
  }
};

struct Cursor {  // all items up to here have arrived, in the order of (at, name)
  std::uint64_t at = 0;
  std::string name;
  template <typename A>
  void serialize(A& a) {
    a(at, name);
  }
  friend auto operator<=>(const Cursor&, const Cursor&) = default;
};

// Asks a peer for the items that changed after a position.
struct CatchUpRequest {
  std::uint64_t id = 0;  // of this transfer: drawn, never used twice
  Cursor after;
  template <typename A>
  void serialize(A& a) {
    a(id, after);
  }
};

// A part of the items asked for.
struct CatchUpResponse {
  std::uint64_t id = 0;
  CommittedPosition committed;  // as of the time of this response
  std::uint64_t floor = 0;      // names dropped at or below this number are no longer kept
  Cursor after, upto;
  bool last = false, burst_ends = false;
  std::vector<configuration::VersionedItem> items;
  template <typename A>
  void serialize(A& a) {
    a(id, committed, floor, after, upto, last, burst_ends, items);
  }
};

// From a sidecar: record an instance of its application server as retired. The core's reply is the record
// itself, as gossip of that one item, once it is committed. Sent again until then.
struct RetirementRequest {
  static constexpr std::size_t max_instance_bytes = 256;
  std::string instance;
  template <typename A>
  void serialize(A& a) {
    a(instance);
  }
};

// A part of a message that is longer than a datagram.
struct MessageFragment {
  std::uint64_t id = 0;  // of the whole message: its hash
  std::uint32_t size = 0, from = 0;
  std::string bytes;
  template <typename A>
  void serialize(A& a) {
    a(id, size, from, bytes);
  }
};

template <typename T>
std::string encode(MessageType type, const T& message) {
  return gossip::written(gossip::kind(std::uint8_t(type)), message);
}

template <typename T>
std::optional<T> decode(std::string_view message) {
  if (message.size() < 2) return std::nullopt;
  try {
    gossip::Reading archive(message.substr(1));
    T decoded;
    archive(decoded);
    return decoded;
  } catch (const std::exception&) {  // lengths that the message does not hold
    return std::nullopt;
  }
}

// Splits messages that are longer than a datagram, and assembles their fragments. Fragments of a message that
// is sent again complete those that arrived before.
class FragmentAssembler {
 public:
  static constexpr std::size_t fragment_bytes = 12'000, max_message_bytes = 6'500'000, max_messages = 24,
                               max_total_bytes = 24'000'000;  // being put together; the oldest goes

  static void send(Machine to, std::string message, Outbox& out) {
    if (message.size() <= fragment_bytes) return out.push_back({to, std::move(message)});
    if (message.size() > max_message_bytes) return;
    MessageFragment fragment;
    fragment.id = configuration::hashed(message);
    fragment.size = std::uint32_t(message.size());
    for (std::size_t at = 0; at < message.size(); at += fragment_bytes) {
      fragment.from = std::uint32_t(at);
      fragment.bytes = message.substr(at, fragment_bytes);
      out.push_back({to, encode(MessageType::fragment, fragment)});
    }
  }
  // Returns the message when `datagram` is its last missing fragment.
  std::optional<std::string> on_datagram(Machine from, std::string_view datagram) {
    const auto fragment = decode<MessageFragment>(datagram);
    if (!fragment || fragment->size > max_message_bytes || fragment->from % fragment_bytes != 0 ||
        fragment->from >= fragment->size ||
        fragment->bytes.size() != std::min<std::size_t>(fragment_bytes, fragment->size - fragment->from))
      return std::nullopt;
    const Key key{from, fragment->id, fragment->size};
    auto it = open_.find(key);
    if (it == open_.end()) {
      while (!order_.empty() &&
             (order_.size() >= max_messages || reserved_bytes_ + fragment->size > max_total_bytes))
        close(Key(order_.front()));
      reserved_bytes_ += fragment->size;
      it = open_.emplace(key, Open{std::string(fragment->size, '\0'), {}}).first;
      order_.push_back(key);
    }
    Open& message = it->second;
    if (message.received.insert(fragment->from).second)
      fragment->bytes.copy(message.bytes.data() + fragment->from, fragment->bytes.size());
    if (message.received.size() * fragment_bytes < fragment->size) return std::nullopt;
    std::string complete = std::move(message.bytes);
    close(key);
    if (configuration::hashed(complete) != fragment->id) return std::nullopt;
    return complete;
  }

 private:
  using Key = std::tuple<Machine, std::uint64_t, std::uint32_t>;
  struct Open {
    std::string bytes;
    std::set<std::uint32_t> received;
  };
  void close(const Key& key) {
    reserved_bytes_ -= std::get<2>(key);
    open_.erase(key);
    std::erase(order_, key);
  }
  std::map<Key, Open> open_;
  std::deque<Key> order_;
  std::size_t reserved_bytes_ = 0;  // bytes
};

}  // namespace robinpin::control_plane
