// The control plane's replicated state: the configuration of the mesh, kept on every control-plane machine.
//
// One register is agreed by a majority of the voters, as in CASPaxos (Rystsov, 2018): its version N is the
// N-th change of the state. A voter accepts N only when it holds the state as of N - 1, so every majority
// holds the state and the next change may overwrite the register. There is no log and no leader: any machine
// takes requests and proposes. See docs/design/control.md.
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

// Periods that an operator sets, in microseconds.
struct Timeouts {
  // A voter that a majority has not heard for half of this is replaced by a standby. It has to be done before
  // the next loss, which the operators' rules allow a set time after the start of the successor.
  std::int64_t voter_contact = 3'000'000;
};

// One machine's copy of the control state, with its voter and its proposals.
//
// Not thread-safe: the owner calls it from one thread. It reads no clock and opens no socket: `now` is in
// microseconds of a monotonic clock, and datagrams to send are appended to `out`. It writes to `storage`
// synchronously. The references given to the constructor must outlive it.
class ReplicatedState {
 public:
  // All periods in microseconds.
  // A request without a decision ends with 503 after this: callers turn elsewhere after a second of silence.
  static constexpr std::int64_t request_timeout = 850'000;
  // First delay before an unanswered message is sent again; it doubles up to four times this.
  static constexpr std::int64_t resend_interval = 70'000;
  // How long an answered heartbeat counts as contact with its peer.
  static constexpr std::int64_t contact_lifetime = 1'500'000;
  // Between heartbeats; a fifth of it while contact, catch-up or a change of voters is incomplete.
  static constexpr std::int64_t heartbeat_period = 500'000;
  // An accepted value that is still not known as committed after this is proposed again by this machine.
  static constexpr std::int64_t undecided_timeout = 200'000;
  static constexpr std::size_t max_pending_requests = 64;
  static constexpr std::size_t max_peers = 16;
  static constexpr std::size_t max_earlier_incarnations = 8;
  // How long an instance of an application server stays recorded as retired: heartbeats of it may arrive
  // seconds late, after a restart of the sidecar beside it.
  static constexpr std::int64_t retirement_lifetime = 300'000'000;

  // Called once for each submitted request, with the answer for the operator.
  using Done = std::function<void(RequestOutcome)>;

  // `random_seed` seeds the draws of identities, incarnations and delays.
  ReplicatedState(Machine self, configuration::ConfigurationStore& configuration, gossip::Gossip& gossip,
                  storage::KeyValueStore& storage, std::uint64_t random_seed, Timeouts timeouts = {});

  // Loads the store. An empty store becomes a founder's at the first start of the system (`first_start`, and
  // this machine among `seeds`); otherwise this machine waits until the voters admit it.
  // Errors: the store can't be read, is corrupted, or can't be written.
  storage::result<void> start(std::int64_t now, bool first_start, const std::vector<Machine>& seeds);
  // Further machines to contact while too few of the known ones answer.
  void set_seeds(const std::vector<Machine>& seeds) { seeds_ = seeds; }
  // Queues an operator's request. `done` may be called before this returns.
  void submit(std::int64_t now, OperatorRequest request, Done done, Outbox& out);
  void submit(std::int64_t now, ValidatedCall call, Done done, Outbox& out);
  void on_datagram(std::int64_t now, Machine from, std::string_view datagram, Outbox& out);
  // To be called about every 100 ms, and at next_deadline().
  void tick(std::int64_t now, Outbox& out);
  // When tick() has to be called at the latest; the largest number where nothing is due.
  std::int64_t next_deadline() const;
  // Asks that a standby take over this machine's vote, before the process stops.
  void start_leaving(std::int64_t now, Outbox& out);
  // After start_leaving(): this machine has no vote any more, or nobody can take it over.
  bool may_stop() const;

  // A majority of the voters answered within contact_lifetime, and none of them knows of a later change.
  bool is_current(std::int64_t now) const;
  const consensus::Voters& voters() const { return voter_->memory().voters; }
  // This machine is among the voters, and its store is known to be the latest of its identity.
  bool is_voter() const { return voter_->standing() == consensus::verdict::yes && voters().seat(store()); }
  // The identity of this machine's store, drawn when the store was made.
  const std::string& store() const { return voter_->memory().store; }
  std::uint64_t committed_number() const { return committed_.number; }
  std::size_t pending_requests() const { return requests_.size(); }
  // Set once a write to the store has failed: from then on nothing is acknowledged.
  const std::optional<storage::Error>& storage_failure() const { return storage_failure_; }

  // Another control-plane machine, by its latest heartbeat and its latest reply to one.
  struct Peer {
    PeerHeartbeat heartbeat;
    // The last few incarnations before the present one: heartbeats of theirs may arrive late.
    std::deque<std::uint64_t> earlier_incarnations;
    std::int64_t last_heard = 0;
    // When the heartbeat was sent that it replied to last; -1: none.
    std::int64_t last_contact = -1;
    // The highest number in that reply, committed or only accepted.
    std::uint64_t highest_number = 0;
    // It said in that reply that it votes.
    bool votes = false;
  };
  const std::map<Machine, Peer>& peers() const { return peers_; }

 private:
  struct PendingRequest {
    ValidatedCall call;
    Done done;
    std::int64_t deadline;
    bool in_attempt = false;  // evaluated for the attempt in flight; `outcome` is what it gave
    RequestOutcome outcome;
  };
  // A message that waits for a reply.
  struct UnansweredMessage {
    Machine to = 0;
    std::string message;
  };
  // One proposal in flight.
  struct Attempt {
    consensus::Proposal proposal;
    bool writes = false;                                  // it proposes a change; else it only reads
    std::map<std::string, UnansweredMessage> unanswered;  // by the store of the voter
    std::int64_t started_at = 0;
    std::int64_t next_resend = 0;
    std::int64_t resend_delay = resend_interval;
    std::uint64_t base_number = 0;  // the number of the state that its requests were evaluated on
    consensus::Ballot ballot{};
    bool rejected = false;  // a voter knows a higher ballot or a later list of voters
    bool matches(const consensus::Ballot& other) const { return other == ballot; }
  };
  // A transfer of the committed state from a peer.
  struct CatchUp {
    std::uint64_t id = 0;
    Machine source = 0;
    Cursor cursor;          // up to where items have arrived
    bool snapshot = false;  // replaces the whole state instead of adding to it
    // Applied together with the last response, so that the state is always that of one number.
    std::vector<configuration::VersionedItem> items;
    std::uint64_t floor = 0;           // the source's floor of dropped names
    std::uint64_t minimum_number = 0;  // a lower number at the source means that it lost state: start over
    std::int64_t next_request = 0;
    std::int64_t resend_delay = resend_interval;
  };

  // Start from a store with records, as a founder, or with a new store identity. False: storage_failure_ is
  // set.
  bool restore(StoreContents contents);
  bool found_system(const std::vector<Machine>& founders);
  bool create_store(const consensus::Voters& known_voters, storage::KeyValueStore::WriteBatch batch);
  void expire_requests(std::int64_t now);
  void complete_request(std::deque<PendingRequest>::iterator at, RequestOutcome outcome);
  // The whole configuration as operators read it, shared by all who hold that of the present state.
  std::shared_ptr<const std::string> configuration_text();
  void process_requests(std::int64_t now, Outbox& out);
  void propose(std::int64_t now, Outbox& out);
  consensus::Ballot next_ballot();
  void perform_step(std::int64_t now, std::optional<Attempt>& attempt, consensus::Step step, Outbox& out);
  void on_attempt_ended(std::int64_t now, const consensus::Outcome& o, bool wrote, std::uint64_t base_number,
                        Outbox& out);
  void on_committed(std::int64_t now, const consensus::Value& value, Outbox& out);
  void on_voter_change_ended(std::int64_t now, const consensus::Outcome& o, Outbox& out);
  void maintain_voters(std::int64_t now, Outbox& out);
  void propose_next_voter_change(std::int64_t now, Outbox& out);

  void on_consensus_request(std::int64_t now, Machine from, const ConsensusRequest& a, Outbox& out);
  void on_consensus_reply(std::int64_t now, Machine from, ConsensusReply a, Outbox& out);
  void on_heartbeat(std::int64_t now, Machine from, PeerHeartbeat b, Outbox& out);
  void on_catch_up_request(Machine from, const CatchUpRequest& f, Outbox& out) const;
  void on_catch_up_response(std::int64_t now, Machine from, const CatchUpResponse& f, Outbox& out);
  void on_retirement_request(std::int64_t now, Machine from, const RetirementRequest& request, Outbox& out);
  void send_retirement(Machine to, const std::string& name, Outbox& out) const;
  void confirm_retirements(Outbox& out);
  void forget_retired_instances(std::int64_t now, Outbox& out);
  // Records that have stood for their lifetime, as far as this machine has seen; a few at most.
  std::vector<std::string> expired_retirements(std::int64_t now);

  // Another core holds this as settled.
  void learn_committed(std::int64_t now, const CommittedPosition& other, Outbox& out);
  bool apply_committed(const consensus::Value& settled, Outbox& out);
  void continue_catch_up(std::int64_t now, Outbox& out);
  void restart_catch_up(bool snapshot);
  void finish_catch_up(const CommittedPosition& committed, std::uint64_t floor, Outbox& out);
  void send_heartbeats(std::int64_t now, Outbox& out, bool news);  // news: not to be answered
  PeerHeartbeat make_heartbeat(std::int64_t now, Machine to);
  StoreHeader make_store_header() const;
  bool persist(storage::KeyValueStore::WriteBatch batch, storage::KeyValueStore::Durability how);
  bool persist(const consensus::Change& change, storage::KeyValueStore::Durability how);
  void adopt_voters(std::int64_t now, const consensus::Voters& voters);
  void observe_counter(const std::string& store, std::uint64_t counter);
  void on_voters_changed(std::int64_t now);
  void start_new_identity(std::string store);
  std::uint64_t accepted_number() const;
  std::set<std::string> lost_voters(std::int64_t now) const;
  std::set<std::string> silent_voters(std::int64_t now) const;
  std::vector<Standby> standbys(std::int64_t now) const;
  std::set<Machine> heartbeat_targets(std::int64_t now) const;
  bool is_ready() const { return voters().version > 0; }
  std::size_t wanted_size() const;

  const Machine self_;
  configuration::ConfigurationStore& configuration_;
  gossip::Gossip& gossip_;
  storage::KeyValueStore& storage_;
  const Timeouts timeouts_;
  std::mt19937_64 random_;
  const std::uint64_t incarnation_;  // of this process, drawn
  const std::string proposer_;       // this incarnation's name in ballots
  std::vector<Machine> seeds_;

  std::optional<consensus::Voter> voter_;  // set from start() on
  // The number that configuration_ holds. Grows only, but for a store that is loaded.
  CommittedPosition committed_;
  consensus::Value last_committed_;  // the value that brought committed_; version 0 where it is not known
  std::uint64_t highest_known_ = 0;  // the highest number known as committed anywhere; >= committed_.number

  std::weak_ptr<const std::string> configuration_text_;
  std::uint64_t text_as_of_ = 0;  // the changes of the configuration that it includes

  std::deque<PendingRequest> requests_;
  std::optional<Attempt> attempt_;     // on the state's register
  std::int64_t next_proposal_ = 0;     // no proposal before this
  std::uint64_t round_ = 0;            // the highest round of a ballot met or used
  std::uint64_t failed_attempts_ = 0;  // since the last that was decided
  std::uint64_t proposed_writes_ = 0;  // numbers this incarnation's writes
  std::int64_t undecided_since_ = 0;   // an accepted value is not known as committed since then; 0: none
  // Replies to prepares, by request: a repeated request gets the same reply.
  std::deque<std::pair<std::string, std::string>> recent_replies_;

  std::set<std::string> retirements_in_progress_;                  // names of items
  std::vector<std::pair<Machine, std::string>> retirements_done_;  // by whom they were requested
  std::map<std::string, std::int64_t> retirements_seen_;           // since when each record is known here
  std::int64_t next_retirement_sweep_ = 0;

  std::optional<Attempt> voter_change_;  // a step of succession_, in flight
  std::optional<consensus::Succession> succession_;
  consensus::Want voter_change_job_;  // what voter_change_ proposes
  std::int64_t succession_deadline_ = 0;
  std::int64_t next_voter_maintenance_ = 0;
  std::int64_t changing_since_ = 0;    // the list has been changing since then; 0: it is not
  std::int64_t voters_learnt_at_ = 0;  // when the present list was adopted
  bool leaving_ = false;
  bool can_hand_over_ = false;  // as of the last tick: a standby can take this machine's vote

  std::optional<CatchUp> catch_up_;

  std::map<Machine, Peer> peers_;
  std::map<std::string, std::int64_t> last_heard_;  // voters' stores: when heard, or since when they vote
  std::deque<std::pair<std::uint64_t, std::int64_t>> sent_heartbeats_;  // echo and time of the last few
  std::uint64_t heartbeats_sent_ = 0;
  std::int64_t started_at_ = 0;
  std::int64_t next_heartbeat_ = 0;

  FragmentAssembler fragments_;
  std::optional<storage::Error> storage_failure_;
};

}  // namespace robinpin::control_plane
