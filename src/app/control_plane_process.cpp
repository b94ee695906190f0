// The role on each core machine.
#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <filesystem>

#include "../control_plane/replicated_state.h"
#include "../log/log.h"
#include "../rpc/calls.h"
#include "../storage/leveldb_store.h"
#include "mesh_process.h"

namespace robinpin::app {

int run_role(const std::function<storage::result<int>()>& role);

namespace {

using namespace std::chrono_literals;
using asio::awaitable;
using event_log::EventType;

constexpr codec::Limits call_limits = {16 * 1024, 16 * 1024 * 1024};
constexpr std::int64_t late = 150'000;  // microseconds past its time that an outcome may reach its caller

class ControlPlaneProcess : public MeshProcess {
 public:
  ControlPlaneProcess(bootstrap::Settings s, std::string path, std::unique_ptr<storage::KeyValueStore> trove,
                      std::string aside)
      : MeshProcess(std::move(s), std::move(path), true),
        sockets_(std::max(32, settings.file_limit - 264)),
        storage_(std::move(trove)),
        replicated_state_(transport::parse_address(settings.ip), configuration_, gossip_, *storage_,
                          (std::uint64_t(chance_of(settings)) << 32) | chance_of(settings),
                          {settings.contact_timeout}),
        control_(io_, sockets_, call_limits, {.wait = 30s, .for_who_waits = true}),
        wakes_(io_),
        aside_(std::move(aside)) {
    using What = control_plane::OperatorRequest::what;
    control_.on<rpc::Adjust>([this](rpc::Adjust c) { return order({What::adjust, std::move(c.body)}); });
    control_.on<rpc::Read>([this](rpc::Read) { return order({What::read, {}}); });
    control_.on<rpc::Evacuation<true>>(
        [this](rpc::Evacuation<true> c) { return for_zone(What::begin, std::move(c.zone)); });
    control_.on<rpc::Evacuation<false>>(
        [this](rpc::Evacuation<false> c) { return for_zone(What::finish, std::move(c.zone)); });
    control_.on<rpc::CoreSize>([this](rpc::CoreSize c) { return order({What::size, std::move(c.count)}); });
    control_.on<rpc::Status>([this](rpc::Status) -> awaitable<rpc::Reply> {
      co_return rpc::Reply{200, status(), {}};
    });
    control_.on<rpc::Readiness>([this](rpc::Readiness) -> awaitable<rpc::Done> {
      co_return rpc::Done{replicated_state_.is_current(now()), "not in contact with a majority of the core"};
    });
  }

  storage::result<int> run() {
    BOOST_LEAF_CHECK(open());
    BOOST_LEAF_CHECK(replicated_state_.start(now(), settings.first_start, machines_of(settings.seed_nodes)));
    control_.listen(node::endpoint_of(settings.ports.at("control")));
    event_log_.append(
        EventType::role_started, now(),
        fmt::format("role=control-plane node={} items={}", settings.node, configuration_.items().size()));
    if (!aside_.empty()) event_log_.append(EventType::storage_quarantined, now(), aside_);
    event_log_.append(EventType::replica_stale, now());
    control_.run();
    begin();
    gossip::Outbox out;
    gossip_.state(now(), {}, out);
    replicated_state_.tick(now(), out);
    send(out);
    io_.run();
    leave(failed_ ? 1 : 0);
  }

 private:
  // A name that nobody knows may be mistyped: it is told so. One that the state has is known, too, whatever
  // the settings say by now: what stands can be taken back, and what was taken is acknowledged again.
  awaitable<rpc::Reply> for_zone(control_plane::OperatorRequest::what is, std::string zone) {
    if (!settings.may_be_zone(zone) &&
        !configuration_.find(std::string(configuration::evacuation_mark) + zone))
      co_return rpc::Reply{404, R"({"fault":"the settings know no such zone"})", {}};
    control_plane::OperatorRequest asked{is, std::move(zone)};
    co_return co_await order(std::move(asked));
  }

  awaitable<rpc::Reply> order(control_plane::OperatorRequest what) {
    struct Wait {
      explicit Wait(asio::io_context& io) : news(io, std::chrono::steady_clock::time_point::max()) {}
      asio::steady_timer news;
      std::optional<control_plane::RequestOutcome> outcome;
    };
    const auto wait = std::make_shared<Wait>(io_);
    const auto is = what.is;
    const std::int64_t begun = now();
    gossip::Outbox out;
    replicated_state_.submit(
        now(), std::move(what),
        [wait](control_plane::RequestOutcome o) {
          wait->outcome = std::move(o);
          wait->news.cancel();
        },
        out);
    send(out);
    while (!wait->outcome) {
      asio::error_code woken;
      co_await wait->news.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    }
    changed();
    const int status = wait->outcome->status;
    if (status == 503)
      event_log_.append(EventType::change_undecided, now(), wait->outcome->body);
    else if (status >= 400)
      event_log_.append(EventType::change_rejected, now(), wait->outcome->body);
    else if (is == control_plane::OperatorRequest::what::adjust)
      event_log_.append(EventType::change_committed, now());
    else if (is == control_plane::OperatorRequest::what::begin)
      event_log_.append(EventType::zone_evacuated, now());
    else if (is == control_plane::OperatorRequest::what::finish)
      event_log_.append(EventType::zone_restored, now());
    // What was read, or refused, by then says nothing of now where this process stood still since. That a
    // change was taken stays true.
    const bool ages = status != 200 || is == control_plane::OperatorRequest::what::read;
    co_return rpc::Reply{status,
                         std::move(wait->outcome->body),
                         {},
                         ages ? begun + control_plane::ReplicatedState::request_timeout + late : 0};
  }

  void on_datagram(gossip::Machine from, std::string_view datagram) override {
    gossip::Outbox out;
    if (control_plane::is_control_plane_message(datagram)) {
      replicated_state_.on_datagram(now(), from, datagram, out);
    } else {
      gossip_.whole(replicated_state_.is_current(now()));  // as of now: this process may have stood still
      gossip_.on_datagram(now(), from, datagram, out);
    }
    send(out);
    after();
  }

  void ticked(bool) override {
    gossip::Outbox out;
    replicated_state_.tick(now(), out);
    gossip_.tick(now(), out);
    send(out);
    after();
  }

  // A disk that has failed once is believed no more: the process ends, and whoever starts it anew reads what
  // lasts.
  void after() {
    if (replicated_state_.storage_failure() && !failed_) {
      failed_ = true;
      event_log_.append(EventType::storage_failed, now(),
                        storage::to_string(replicated_state_.storage_failure()->step) + std::string(" ") +
                            replicated_state_.storage_failure()->peer + ": " +
                            replicated_state_.storage_failure()->reason);
      io_.stop();
    }
    if (const bool is = replicated_state_.is_current(now()); is != was_fresh_) {
      was_fresh_ = is;
      event_log_.append(is ? EventType::replica_current : EventType::replica_stale, now());
    }
    if (replicated_state_.voters().version != epoch_) {
      epoch_ = replicated_state_.voters().version;
      std::string who;
      for (const auto& s : replicated_state_.voters().all())
        who += fmt::format(" {}", transport::format_address(gossip::Machine(std::stoul(s.address))));
      event_log_.append(
          EventType::voters_changed, now(),
          fmt::format("epoch={} changing={} who={}", epoch_, replicated_state_.voters().changing(), who));
    }
    if (leaving_ && replicated_state_.may_stop()) io_.stop();
    arm();
    changed();
  }

  // Between two ticks, where something is due sooner.
  void arm() {
    const std::int64_t at = replicated_state_.next_deadline();
    if (at >= now() + 100'000 || at == armed_) return;
    armed_ = at;
    wakes_.expires_after(std::chrono::microseconds(std::max<std::int64_t>(1'000, at - now())));
    wakes_.async_wait([this](asio::error_code over) {
      if (over) return;
      armed_ = 0;
      gossip::Outbox out;
      replicated_state_.tick(now(), out);
      send(out);
      after();
    });
  }

  void learnt() override {}
  void switched() override { replicated_state_.set_seeds(machines_of(settings.seed_nodes)); }

  // A seat that somebody can take is given up first.
  void told_to_end() override {
    if (leaving_) return;
    leaving_ = true;
    gossip::Outbox out;
    replicated_state_.start_leaving(now(), out);
    send(out);
    last_end_.expires_after(
        std::chrono::microseconds(std::min<std::int64_t>(settings.grace_period / 2, 2'500'000)));
    last_end_.async_wait([this](asio::error_code over) {
      if (!over) io_.stop();
    });
    after();
  }

  std::string status() const {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> out(buffer);
    out.StartObject();
    out.Key("role"), out.String("control-plane");
    out.Key("node"), out.String(settings.node.c_str());
    out.Key("zone"), out.String(settings.zone.c_str());
    out.Key("copy_whole"), out.Bool(replicated_state_.is_current(now()));
    out.Key("store"), out.String(replicated_state_.store().c_str());
    out.Key("votes"), out.Bool(replicated_state_.is_voter());
    out.Key("number"), out.Uint64(replicated_state_.committed_number());
    out.Key("epoch"), out.Uint64(replicated_state_.voters().version);
    out.Key("changing"), out.Bool(replicated_state_.voters().changing());
    out.Key("floor"), out.Uint64(configuration_.floor());
    out.Key("items"), out.Uint64(configuration_.items().size());
    out.Key("orders"), out.Uint64(replicated_state_.pending_requests());
    out.Key("datagrams"), out.Uint64(transport_->datagrams_sent);
    out.Key("datagram_bytes"), out.Uint64(transport_->bytes_sent);
    out.Key("core"), out.StartArray();
    for (const auto m : gossip_.cores()) out.String(transport::format_address(m).c_str());
    out.EndArray();
    out.Key("peers"), out.StartArray();
    for (const auto& [m, p] : replicated_state_.peers()) {
      out.StartObject();
      out.Key("machine"), out.String(transport::format_address(m).c_str());
      out.Key("store"), out.String(p.heartbeat.store.c_str());
      out.Key("number"), out.Uint64(p.heartbeat.committed.number);
      out.Key("votes"), out.Bool(p.heartbeat.votes);
      out.Key("leaving"), out.Bool(p.heartbeat.leaving);
      out.Key("heard_ms"), out.Int64((now() - p.last_heard) / 1000);
      out.Key("answered_ms"), out.Int64(p.last_contact < 0 ? -1 : (now() - p.last_contact) / 1000);
      out.EndObject();
    }
    out.EndArray();
    out.Key("members"), out.StartArray();
    for (const auto& [m, e] : gossip_.members().entries()) {
      out.StartObject();
      out.Key("machine"), out.String(transport::format_address(m).c_str());
      out.Key("zone"), out.String(e.record.zone.c_str());
      out.Key("state"), out.String(e.record.expired ? "expired" : e.record.leaving ? "leaving" : "member");
      out.Key("server"), out.String(e.record.server.c_str());
      out.EndObject();
    }
    out.EndArray();
    out.EndObject();
    return buffer.GetString();
  }

  node::Sockets sockets_;
  std::unique_ptr<storage::KeyValueStore> storage_;
  control_plane::ReplicatedState replicated_state_;
  rpc::Port control_;
  asio::steady_timer wakes_, last_end_{io_};
  std::int64_t armed_ = 0;
  std::uint64_t epoch_ = 0;
  const std::string aside_;  // why, where the disk's store was
  bool was_fresh_ = false, failed_ = false, leaving_ = false;
};

// A store that can't be read for what it was is set aside: its machine is one with a lost disk, which the
// others know how to take in. What was never told from a good one is found by the voters' counters
// (locus/keep).
storage::result<std::unique_ptr<storage::KeyValueStore>> opened(const std::string& folder,
                                                                std::string& aside) {
  const auto usable = [&]() -> storage::result<std::unique_ptr<storage::KeyValueStore>> {
    BOOST_LEAF_AUTO(trove, storage::open_leveldb_store(folder));
    BOOST_LEAF_AUTO(held, trove->read_all());
    BOOST_LEAF_CHECK(control_plane::parse_store(held));
    return trove;
  };
  return boost::leaf::try_handle_some(
      usable, [&](const storage::Error& t) -> storage::result<std::unique_ptr<storage::KeyValueStore>> {
        std::error_code wrong;
        if (t.step != storage::Error::Step::corruption)
          return boost::leaf::new_error(t);  // in use, or no room: it may be right again
        aside = storage::to_string(t.step) + std::string(" ") + t.peer + ": " + t.reason;
        std::filesystem::remove_all(folder + ".aside", wrong);  // one is kept, for whoever looks into it
        std::filesystem::rename(folder, folder + ".aside", wrong);
        if (wrong) return boost::leaf::new_error(t);
        return storage::open_leveldb_store(folder);
      });
}

}  // namespace

int run_control_plane(const Start& start) {
  std::signal(SIGPIPE, SIG_IGN);
  return run_role([&]() -> storage::result<int> {
    BOOST_LEAF_AUTO(settings, bootstrap::load_settings(start.settings, bootstrap::MachineKind::core));
    std::string aside;
    BOOST_LEAF_AUTO(trove, opened(settings.data_dir + "/trove", aside));
    if (!aside.empty()) settings.first_start = false;
    ControlPlaneProcess role(std::move(settings), start.settings, std::move(trove), std::move(aside));
    return role.run();
  });
}

}  // namespace robinpin::app
