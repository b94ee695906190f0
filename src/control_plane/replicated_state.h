// A core machine's part in keeping the control state: one register agreed by a majority of the voters, whose
// number N is the N-th change of the state. Whoever has accepted N holds the state of N-1, so each majority
// holds the state; the next change overwrites the register. No log, no leader: any core takes orders and
// proposes. Told the time, free of I/O beside the trove. See docs/design/control.md.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "../configuration/configuration_store.h"
#include "../consensus/proposal.h"
#include "../consensus/voter.h"
#include "../gossip/gossip.h"
#include "../storage/key_value_store.h"
#include "messages.h"
#include "persistence.h"
#include "request_validation.h"
#include "voter_membership.h"

namespace robinpin::control_plane {

struct Spans {  // microseconds
  std::int64_t contact =
      3'000'000;  // a voter unheard by a majority for half of it gives its seat to a standby: before the next
                  // loss, which may come `settle` after its successor's start, it has to be done
};

class ReplicatedState {
 public:
  static constexpr std::int64_t patience =
      850'000;  // microseconds: callers go elsewhere after a second of silence
  static constexpr std::int64_t again =
      70'000;  // until what got no answer is sent again, each time twice as long
  static constexpr std::int64_t in_contact = 1'500'000;  // an answered beat says so much of the present
  static constexpr std::int64_t beat_pause =
      500'000;  // between beats; a fifth of it while something is amiss
  static constexpr std::int64_t doubtful_for =
      200'000;  // an accepted change that nobody has settled by then is settled
  static constexpr std::size_t most_orders = 64, most_peers = 16, most_incarnations = 8;

  using Done = std::function<void(RequestOutcome)>;

  ReplicatedState(Machine self, configuration::ConfigurationStore& creed, gossip::Gossip& rumour,
                  storage::KeyValueStore& trove, std::uint64_t chance, Spans spans = {});

  // What the disk holds is taken on. An empty one is a founder's at the system's first start, else it has to
  // be taken in by the others. Errors: the disk can't be read, or written.
  storage::result<void> begin(std::int64_t now, bool first_start, const std::vector<Machine>& seeds);
  // Other machines to ask, where those it knows of don't answer.
  void seeds(const std::vector<Machine>& told) { seeds_ = told; }
  void order(std::int64_t now, OperatorRequest order, Done done, Outbox& out);
  void on_datagram(std::int64_t now, Machine from, std::string_view datagram, Outbox& out);
  // Every 100 ms or so, and when wake() says.
  void tick(std::int64_t now, Outbox& out);
  std::int64_t wake() const;
  // Gives the seat to a standby, if one can take it.
  void leave(std::int64_t now, Outbox& out);
  bool may_go() const;  // after leave(): nobody counts on this copy, or nobody can take its seat

  // A majority of the voters has answered lately, and none of them knows of a later change.
  bool fresh(std::int64_t now) const;
  const consensus::Voters& voters() const { return voter_->memory().voters; }
  bool votes() const { return voter_->standing() == consensus::verdict::yes && voters().seat(store()); }
  const std::string& store() const { return voter_->memory().store; }
  std::uint64_t number() const { return committed_.number; }
  std::size_t orders() const { return requests_.size(); }
  // The disk has failed: nothing may be acknowledged any more.
  const std::optional<storage::Error>& failed() const { return failed_; }

  struct Peer {  // another core machine, as its last word and its last answer told
    PeerHeartbeat told;
    std::deque<std::uint64_t> lives;  // earlier ones, the last few: their words come late
    std::int64_t heard = 0;
    std::int64_t contact = -1;  // when the beat was sent that it answered last
    std::uint64_t number = 0;   // the highest that this answer told, settled or not
    bool votes = false;
  };
  const std::map<Machine, Peer>& peers() const { return peers_; }

 private:
  struct PendingRequest {
    ValidatedCall call;
    Done done;
    std::int64_t until;
    bool tried = false;  // judged by the attempt under way
    RequestOutcome verdict;
  };
  struct Attempt {  // one proposal on its way
    consensus::Proposal proposal;
    bool writes = false;
    std::map<std::string, std::pair<Machine, std::string>>
        unanswered;  // by store: where, and what it was asked
    std::int64_t begun = 0, next = 0, pause = again;
    std::uint64_t base = 0;  // the number that its orders were judged on
    consensus::Ballot ballot{};
    bool refused = false;  // by one: a ballot or a list too low
    bool answers(const consensus::Ballot& b) const { return b == ballot; }
  };
  struct CatchUp {  // catching up
    std::uint64_t id = 0;
    Machine from = 0;
    Cursor after;
    bool snapshot = false;  // taken whole, in place of what is held
    std::vector<configuration::VersionedItem>
        items;                // put in at once when the last is there: the state is always one number's
    std::uint64_t floor = 0;  // of the other
    std::uint64_t least = 0;  // a number that it must have reached
    std::int64_t next = 0, pause = again;
  };

  void expire(std::int64_t now);
  void answer(std::deque<PendingRequest>::iterator at, RequestOutcome outcome);
  void work(std::int64_t now, Outbox& out);
  void propose(std::int64_t now, Outbox& out);
  consensus::Ballot ballot();
  void take_step(std::int64_t now, std::optional<Attempt>& attempt, consensus::Step step, Outbox& out);
  void ended(std::int64_t now, const consensus::Outcome& o, bool wrote, std::uint64_t base, Outbox& out);
  void settled(std::int64_t now, const consensus::Value& value, Outbox& out);
  void on_voter_change_ended(std::int64_t now, const consensus::Outcome& o, Outbox& out);
  void maintain_voters(std::int64_t now, Outbox& out);
  void next_job(std::int64_t now, Outbox& out);

  void on_consensus_request(std::int64_t now, Machine from, const ConsensusRequest& a, Outbox& out);
  void on_consensus_reply(std::int64_t now, Machine from, ConsensusReply a, Outbox& out);
  void on_heartbeat(std::int64_t now, Machine from, PeerHeartbeat b, Outbox& out);
  void on_catch_up_request(Machine from, const CatchUpRequest& f, Outbox& out) const;
  void on_catch_up_response(std::int64_t now, Machine from, const CatchUpResponse& f, Outbox& out);

  // Another core holds this as settled.
  void learn(std::int64_t now, const CommittedPosition& other, Outbox& out);
  bool apply(const consensus::Value& settled, Outbox& out);
  void continue_catch_up(std::int64_t now, Outbox& out);
  void restart_catch_up(bool snapshot);
  void caught_up(const CommittedPosition& holds, std::uint64_t floor, Outbox& out);
  void beat(std::int64_t now, Outbox& out, bool news);  // news: not to be answered
  PeerHeartbeat own_beat(std::int64_t now, Machine to);
  StoreHeader own() const;
  bool put(storage::KeyValueStore::WriteBatch batch, storage::KeyValueStore::Durability how);
  bool put(const consensus::Change& change, storage::KeyValueStore::Durability how);
  void told(std::int64_t now, const consensus::Voters& voters);
  void saw(const std::string& store, std::uint64_t counter);
  void cores_changed(std::int64_t now);
  void become(std::string store);
  std::uint64_t accepted() const;
  std::set<std::string> gone(std::int64_t now) const;
  std::set<std::string> quiet(std::int64_t now) const;
  std::vector<Standby> standbys(std::int64_t now) const;
  std::set<Machine> others(std::int64_t now) const;
  bool ready() const { return voters().version > 0; }
  std::size_t wanted_size() const;

  const Machine self_;
  configuration::ConfigurationStore& configuration_;
  gossip::Gossip& gossip_;
  storage::KeyValueStore& storage_;
  const Spans spans_;
  std::mt19937_64 chance_;
  const std::uint64_t incarnation_;  // drawn
  const std::string proposer_;       // this incarnation's
  std::vector<Machine> seeds_;
  std::optional<consensus::Voter> voter_;
  CommittedPosition committed_;
  consensus::Value last_;            // what brought `committed_`, where it is known
  std::uint64_t highest_known_ = 0;  // the highest number heard of as settled
  std::uint64_t round_ = 0, tries_ = 0, attempts_ = 0, said_beats_ = 0;
  std::deque<PendingRequest> requests_;
  std::optional<Attempt> attempt_, seats_;
  std::optional<consensus::Succession> succession_;
  consensus::Want job_;  // of it, the one under way
  std::int64_t succession_until_ = 0, next_seats_ = 0, changing_since_ = 0;
  std::int64_t listed_ = 0;  // when the present list was learnt
  std::optional<CatchUp> catch_up_;
  std::int64_t not_before_ = 0;      // the next try
  std::int64_t doubtful_since_ = 0;  // 0: nothing accepted waits to be settled
  std::map<Machine, Peer> peers_;
  std::map<std::string, std::int64_t>
      last_heard_;  // voters' stores, when; or since when they have their seat
  std::deque<std::pair<std::uint64_t, std::int64_t>> beats_;  // echo, when sent; a few
  std::int64_t begun_ = 0, next_beat_ = 0;
  std::deque<std::pair<std::string, std::string>>
      said_;  // asks that were answered lately, and the answers: one comes again
  FragmentAssembler fragments_;
  bool leaving_ = false, can_hand_over_ = false;
  std::optional<storage::Error> failed_;
};

}  // namespace robinpin::control_plane
