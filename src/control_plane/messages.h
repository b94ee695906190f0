// What cores say to each other, as datagrams by cereal; longer ones in parts. Each is told from a rumour by
// its first byte.
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

// As its number: what reads a datagram has no words for an enumeration.
template <typename A, typename E>
void numbered(A& a, E& x) {
  auto n = std::uint8_t(x);
  a(n);
  x = E(n);
}
template <typename A>
void serialize(A& a, Ballot& x) {
  a(x.round, x.proposer);
}
template <typename A>
void serialize(A& a, Value& x) {
  a(x.version, x.text, x.by);
}
template <typename A>
void serialize(A& a, Seat& x) {
  a(x.voter, x.store, x.address);
}
template <typename A>
void serialize(A& a, Voters& x) {
  a(x.version, x.now, x.next);
}
template <typename A>
void serialize(A& a, Ask& x) {
  numbered(a, x.what);
  a(x.store, x.name, x.ballot, x.value, x.voters, x.seen);
}
template <typename A>
void serialize(A& a, Reply& x) {
  numbered(a, x.how);
  numbered(a, x.what);
  a(x.store, x.ballot, x.promised, x.accepted, x.value, x.voters, x.counter, x.names);
}

}  // namespace robinpin::consensus

namespace robinpin::control_plane {

using gossip::Machine;
using gossip::Outbox;

enum class kind : std::uint8_t { ask = 16, answer, beat, fetch, fetched, part };
inline bool among_cores(std::string_view datagram) {
  return !datagram.empty() && std::uint8_t(datagram[0]) >= std::uint8_t(kind::ask);
}

// Which number its sender holds as settled, and which attempt brought that: who has accepted just that one
// holds it, too.
struct CommittedPosition {
  std::uint64_t number = 0;
  std::string by;
  template <typename A>
  void serialize(A& a) {
    a(number, by);
  }
  friend bool operator==(const CommittedPosition&, const CommittedPosition&) = default;
};

struct ConsensusRequest {
  consensus::Ask ask;
  CommittedPosition holds;
  bool knows_text = false;  // of what it holds: an answer need not bring it again
  std::string store;        // its sender's, and how far that is
  std::uint64_t counter = 0;
  template <typename A>
  void serialize(A& a) {
    a(ask, holds, knows_text, store, counter);
  }
};

struct ConsensusReply {
  consensus::Reply reply;  // its counter is its sender's
  CommittedPosition holds;
  template <typename A>
  void serialize(A& a) {
    a(reply, holds);
  }
};

struct PeerHeartbeat {
  std::uint64_t incarnation = 0,
                sequence = 0;  // of its sender's process, drawn; grows with each: a late one can be known
  std::uint64_t echo = 0;      // of the beat that this answers; 0: plain news
  bool answer = false;
  std::string store;
  std::uint64_t counter = 0;
  std::string yours;  // whose counter `seen` is
  std::uint64_t seen = 0;
  CommittedPosition holds;
  std::uint64_t accepted = 0;  // the number in its own register, perhaps not settled
  consensus::Voters voters;
  bool votes = false;    // its disk is known to be the latest of its store
  bool ready = false;    // holds the state of its number whole
  bool leaving = false;  // is about to end for good, or does not know better
  std::vector<std::pair<std::string, std::uint32_t>>
      ages;  // of each voter's store, milliseconds since it was heard
  template <typename A>
  void serialize(A& a) {
    a(incarnation, sequence, echo, answer, store, counter, yours, seen, holds, accepted, voters, votes, ready,
      leaving, ages);
  }
};

struct Cursor {  // all items up to it are held, in the order of (at, name)
  std::uint64_t at = 0;
  std::string name;
  template <typename A>
  void serialize(A& a) {
    a(at, name);
  }
  friend auto operator<=>(const Cursor&, const Cursor&) = default;
};

struct CatchUpRequest {
  std::uint64_t id = 0;  // of this catching up: drawn, never used twice
  Cursor after;
  template <typename A>
  void serialize(A& a) {
    a(id, after);
  }
};

struct CatchUpResponse {
  std::uint64_t id = 0;
  CommittedPosition holds;  // as its sender held when it wrote this
  std::uint64_t floor = 0;  // of its dropped names
  Cursor after, upto;
  bool last = false, burst_ends = false;
  std::vector<configuration::VersionedItem> items;
  template <typename A>
  void serialize(A& a) {
    a(id, holds, floor, after, upto, last, burst_ends, items);
  }
};

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
std::string written(kind k, const T& said) {
  return gossip::written(gossip::kind(std::uint8_t(k)), said);
}

template <typename T>
std::optional<T> read_whole(std::string_view message) {
  if (message.size() < 2) return std::nullopt;
  try {
    gossip::Reading archive(message.substr(1));
    T said;
    archive(said);
    return said;
  } catch (const std::exception&) {  // lengths that the message does not hold
    return std::nullopt;
  }
}

// Messages longer than a datagram. What is lost of one is made good when it is sent again: parts add up.
class FragmentAssembler {
 public:
  static constexpr std::size_t part_bytes = 12'000, longest = 6'500'000, most = 24,
                               most_bytes = 24'000'000;  // being put together; the oldest goes

  static void send(Machine to, std::string message, Outbox& out) {
    if (message.size() <= part_bytes) return out.push_back({to, std::move(message)});
    if (message.size() > longest) return;
    MessageFragment p;
    p.id = configuration::hashed(message);
    p.size = std::uint32_t(message.size());
    for (std::size_t at = 0; at < message.size(); at += part_bytes) {
      p.from = std::uint32_t(at);
      p.bytes = message.substr(at, part_bytes);
      out.push_back({to, written(kind::part, p)});
    }
  }
  // The whole message, once its last part is there.
  std::optional<std::string> on_datagram(Machine from, std::string_view datagram) {
    const auto p = read_whole<MessageFragment>(datagram);
    if (!p || p->size > longest || p->from % part_bytes != 0 || p->from >= p->size ||
        p->bytes.size() != std::min<std::size_t>(part_bytes, p->size - p->from))
      return std::nullopt;
    const Key key{from, p->id, p->size};
    auto it = open_.find(key);
    if (it == open_.end()) {
      while (!order_.empty() && (order_.size() >= most || held_ + p->size > most_bytes))
        close(Key(order_.front()));
      held_ += p->size;
      it = open_.emplace(key, Open{std::string(p->size, '\0'), {}}).first;
      order_.push_back(key);
    }
    Open& o = it->second;
    if (o.there.insert(p->from).second) p->bytes.copy(o.bytes.data() + p->from, p->bytes.size());
    if (o.there.size() * part_bytes < p->size) return std::nullopt;
    std::string whole = std::move(o.bytes);
    close(key);
    if (configuration::hashed(whole) != p->id) return std::nullopt;
    return whole;
  }

 private:
  using Key = std::tuple<Machine, std::uint64_t, std::uint32_t>;
  struct Open {
    std::string bytes;
    std::set<std::uint32_t> there;
  };
  void close(const Key& key) {
    held_ -= std::get<2>(key);
    open_.erase(key);
    std::erase(order_, key);
  }
  std::map<Key, Open> open_;
  std::deque<Key> order_;
  std::size_t held_ = 0;  // bytes
};

}  // namespace robinpin::control_plane
