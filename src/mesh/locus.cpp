// The role on each core machine.
#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <filesystem>

#include "../locus/keep.h"
#include "../log/log.h"
#include "../port/calls.h"
#include "../trove/leveldb_store.h"
#include "role.h"

namespace robinpin::mesh {

int run_role(const std::function<trove::result<int>()>& role);

namespace {

using namespace std::chrono_literals;
using asio::awaitable;
using chronicle::EventType;

constexpr codec::Limits call_limits = {16 * 1024, 16 * 1024 * 1024};
constexpr std::int64_t late = 150'000;  // microseconds past its time that an outcome may reach its caller

class Locus : public Role {
 public:
  Locus(ground::Settings s, std::string path, std::unique_ptr<trove::KeyValueStore> trove, std::string aside)
      : Role(std::move(s), std::move(path), true),
        sockets_(std::max(32, settings.file_limit - 264)),
        trove_(std::move(trove)),
        keep_(span::parse_address(settings.ip), creed_, rumour_, *trove_,
              (std::uint64_t(chance_of(settings)) << 32) | chance_of(settings), {settings.contact_timeout}),
        control_(io_, sockets_, call_limits, {.wait = 30s, .for_who_waits = true}),
        wakes_(io_),
        aside_(std::move(aside)) {
    using What = locus::Order::what;
    control_.on<port::Adjust>([this](port::Adjust c) { return order({What::adjust, std::move(c.body)}); });
    control_.on<port::Read>([this](port::Read) { return order({What::read, {}}); });
    control_.on<port::Evacuation<true>>(
        [this](port::Evacuation<true> c) { return for_zone(What::begin, std::move(c.zone)); });
    control_.on<port::Evacuation<false>>(
        [this](port::Evacuation<false> c) { return for_zone(What::finish, std::move(c.zone)); });
    control_.on<port::CoreSize>([this](port::CoreSize c) { return order({What::size, std::move(c.count)}); });
    control_.on<port::Status>([this](port::Status) -> awaitable<port::Reply> {
      co_return port::Reply{200, status(), {}};
    });
    control_.on<port::Readiness>([this](port::Readiness) -> awaitable<port::Done> {
      co_return port::Done{keep_.fresh(now()), "not in contact with a majority of the core"};
    });
  }

  trove::result<int> run() {
    BOOST_LEAF_CHECK(open());
    BOOST_LEAF_CHECK(keep_.begin(now(), settings.first_start, machines_of(settings.seed_nodes)));
    control_.listen(node::endpoint_of(settings.ports.at("control")));
    chronicle_.append(EventType::role_started, now(),
                      fmt::format("role=locus node={} items={}", settings.node, creed_.items().size()));
    if (!aside_.empty()) chronicle_.append(EventType::storage_quarantined, now(), aside_);
    chronicle_.append(EventType::replica_stale, now());
    control_.run();
    begin();
    rumour::Outbox out;
    rumour_.state(now(), {}, out);
    keep_.tick(now(), out);
    send(out);
    io_.run();
    leave(failed_ ? 1 : 0);
  }

 private:
  // A name that nobody knows may be mistyped: it is told so. One that the state has is known, too, whatever
  // the settings say by now: what stands can be taken back, and what was taken is acknowledged again.
  awaitable<port::Reply> for_zone(locus::Order::what is, std::string zone) {
    if (!settings.may_be_zone(zone) && !creed_.find(std::string(creed::evacuation_mark) + zone))
      co_return port::Reply{404, R"({"fault":"the settings know no such zone"})", {}};
    locus::Order asked{is, std::move(zone)};
    co_return co_await order(std::move(asked));
  }

  awaitable<port::Reply> order(locus::Order what) {
    struct Wait {
      explicit Wait(asio::io_context& io) : news(io, std::chrono::steady_clock::time_point::max()) {}
      asio::steady_timer news;
      std::optional<locus::Outcome> outcome;
    };
    const auto wait = std::make_shared<Wait>(io_);
    const auto is = what.is;
    const std::int64_t begun = now();
    rumour::Outbox out;
    keep_.order(
        now(), std::move(what),
        [wait](locus::Outcome o) {
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
      chronicle_.append(EventType::change_undecided, now(), wait->outcome->body);
    else if (status >= 400)
      chronicle_.append(EventType::change_rejected, now(), wait->outcome->body);
    else if (is == locus::Order::what::adjust)
      chronicle_.append(EventType::change_committed, now());
    else if (is == locus::Order::what::begin)
      chronicle_.append(EventType::zone_evacuated, now());
    else if (is == locus::Order::what::finish)
      chronicle_.append(EventType::zone_restored, now());
    // What was read, or refused, by then says nothing of now where this process stood still since. That a
    // change was taken stays true.
    const bool ages = status != 200 || is == locus::Order::what::read;
    co_return port::Reply{
        status, std::move(wait->outcome->body), {}, ages ? begun + locus::Keep::patience + late : 0};
  }

  void heard(rumour::Machine from, std::string_view datagram) override {
    rumour::Outbox out;
    if (locus::among_cores(datagram)) {
      keep_.heard(now(), from, datagram, out);
    } else {
      rumour_.whole(keep_.fresh(now()));  // as of now: this process may have stood still
      rumour_.heard(now(), from, datagram, out);
    }
    send(out);
    after();
  }

  void ticked(bool) override {
    rumour::Outbox out;
    keep_.tick(now(), out);
    rumour_.tick(now(), out);
    send(out);
    after();
  }

  // A disk that has failed once is believed no more: the process ends, and whoever starts it anew reads what
  // lasts.
  void after() {
    if (keep_.failed() && !failed_) {
      failed_ = true;
      chronicle_.append(EventType::storage_failed, now(),
                        trove::to_string(keep_.failed()->step) + std::string(" ") + keep_.failed()->peer +
                            ": " + keep_.failed()->reason);
      io_.stop();
    }
    if (const bool is = keep_.fresh(now()); is != was_fresh_) {
      was_fresh_ = is;
      chronicle_.append(is ? EventType::replica_current : EventType::replica_stale, now());
    }
    if (keep_.voters().version != epoch_) {
      epoch_ = keep_.voters().version;
      std::string who;
      for (const auto& s : keep_.voters().all())
        who += fmt::format(" {}", span::format_address(rumour::Machine(std::stoul(s.address))));
      chronicle_.append(EventType::voters_changed, now(),
                        fmt::format("epoch={} changing={} who={}", epoch_, keep_.voters().changing(), who));
    }
    if (leaving_ && keep_.may_go()) io_.stop();
    arm();
    changed();
  }

  // Between two ticks, where something is due sooner.
  void arm() {
    const std::int64_t at = keep_.wake();
    if (at >= now() + 100'000 || at == armed_) return;
    armed_ = at;
    wakes_.expires_after(std::chrono::microseconds(std::max<std::int64_t>(1'000, at - now())));
    wakes_.async_wait([this](asio::error_code over) {
      if (over) return;
      armed_ = 0;
      rumour::Outbox out;
      keep_.tick(now(), out);
      send(out);
      after();
    });
  }

  void learnt() override {}
  void switched() override { keep_.seeds(machines_of(settings.seed_nodes)); }

  // A seat that somebody can take is given up first.
  void told_to_end() override {
    if (leaving_) return;
    leaving_ = true;
    rumour::Outbox out;
    keep_.leave(now(), out);
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
    out.Key("role"), out.String("locus");
    out.Key("node"), out.String(settings.node.c_str());
    out.Key("zone"), out.String(settings.zone.c_str());
    out.Key("copy_whole"), out.Bool(keep_.fresh(now()));
    out.Key("store"), out.String(keep_.store().c_str());
    out.Key("votes"), out.Bool(keep_.votes());
    out.Key("number"), out.Uint64(keep_.number());
    out.Key("epoch"), out.Uint64(keep_.voters().version);
    out.Key("changing"), out.Bool(keep_.voters().changing());
    out.Key("floor"), out.Uint64(creed_.floor());
    out.Key("items"), out.Uint64(creed_.items().size());
    out.Key("orders"), out.Uint64(keep_.orders());
    out.Key("datagrams"), out.Uint64(span_->datagrams_sent);
    out.Key("datagram_bytes"), out.Uint64(span_->bytes_sent);
    out.Key("core"), out.StartArray();
    for (const auto m : rumour_.cores()) out.String(span::format_address(m).c_str());
    out.EndArray();
    out.Key("peers"), out.StartArray();
    for (const auto& [m, p] : keep_.peers()) {
      out.StartObject();
      out.Key("machine"), out.String(span::format_address(m).c_str());
      out.Key("store"), out.String(p.told.store.c_str());
      out.Key("number"), out.Uint64(p.told.holds.number);
      out.Key("votes"), out.Bool(p.told.votes);
      out.Key("leaving"), out.Bool(p.told.leaving);
      out.Key("heard_ms"), out.Int64((now() - p.heard) / 1000);
      out.Key("answered_ms"), out.Int64(p.contact < 0 ? -1 : (now() - p.contact) / 1000);
      out.EndObject();
    }
    out.EndArray();
    out.Key("members"), out.StartArray();
    for (const auto& [m, e] : rumour_.roll().entries()) {
      out.StartObject();
      out.Key("machine"), out.String(span::format_address(m).c_str());
      out.Key("zone"), out.String(e.record.zone.c_str());
      out.Key("state"), out.String(e.record.lapsed ? "lapsed" : e.record.leaving ? "leaving" : "member");
      out.Key("server"), out.String(e.record.server.c_str());
      out.EndObject();
    }
    out.EndArray();
    out.EndObject();
    return buffer.GetString();
  }

  node::Sockets sockets_;
  std::unique_ptr<trove::KeyValueStore> trove_;
  locus::Keep keep_;
  port::Port control_;
  asio::steady_timer wakes_, last_end_{io_};
  std::int64_t armed_ = 0;
  std::uint64_t epoch_ = 0;
  const std::string aside_;  // why, where the disk's store was
  bool was_fresh_ = false, failed_ = false, leaving_ = false;
};

// A store that can't be read for what it was is set aside: its machine is one with a lost disk, which the
// others know how to take in. What was never told from a good one is found by the voters' counters
// (locus/keep).
trove::result<std::unique_ptr<trove::KeyValueStore>> opened(const std::string& folder, std::string& aside) {
  const auto usable = [&]() -> trove::result<std::unique_ptr<trove::KeyValueStore>> {
    BOOST_LEAF_AUTO(trove, trove::open_leveldb_store(folder));
    BOOST_LEAF_AUTO(held, trove->read_all());
    BOOST_LEAF_CHECK(locus::kept(held));
    return trove;
  };
  return boost::leaf::try_handle_some(
      usable, [&](const trove::Error& t) -> trove::result<std::unique_ptr<trove::KeyValueStore>> {
        std::error_code wrong;
        if (t.step != trove::Error::Step::corruption)
          return boost::leaf::new_error(t);  // in use, or no room: it may be right again
        aside = trove::to_string(t.step) + std::string(" ") + t.peer + ": " + t.reason;
        std::filesystem::remove_all(folder + ".aside", wrong);  // one is kept, for whoever looks into it
        std::filesystem::rename(folder, folder + ".aside", wrong);
        if (wrong) return boost::leaf::new_error(t);
        return trove::open_leveldb_store(folder);
      });
}

}  // namespace

int locus(const Start& start) {
  std::signal(SIGPIPE, SIG_IGN);
  return run_role([&]() -> trove::result<int> {
    BOOST_LEAF_AUTO(settings, ground::load_settings(start.settings, ground::MachineKind::core));
    std::string aside;
    BOOST_LEAF_AUTO(trove, opened(settings.data_dir + "/trove", aside));
    if (!aside.empty()) settings.first_start = false;
    Locus role(std::move(settings), start.settings, std::move(trove), std::move(aside));
    return role.run();
  });
}

}  // namespace robinpin::mesh
