#include "node.h"

#include <algorithm>
#include <asio.hpp>
#include <csignal>
#include <exception>
#include <filesystem>
#include <optional>
#include <utility>

#include "../config/file.h"
#include "../log/log.h"
#include "clients.h"
#include "control.h"
#include "figures.h"
#include "fleet.h"
#include "list.h"
#include "routes.h"
#include "twins.h"

namespace robinpin::node {
namespace {

log::level level_of(const std::string& word) {
  return word == "debug"     ? log::level::debug
         : word == "warning" ? log::level::warning
         : word == "error"   ? log::level::error
         : word == "off"     ? log::level::off
                             : log::level::info;
}

log::Manner manner_of(const config::Log& said) {
  log::Manner m;
  m.json = said.format.value == "json";
  m.least.fill(level_of(said.level.value));
  for (const auto& [part, level] : said.parts)
    for (std::size_t i = 0; i < log::parts; ++i)
      if (part == log::part_names[i]) m.least[i] = level_of(level.value);
  m.fold = std::chrono::milliseconds(std::max<micros>(1, said.fold.value / 1000));
  return m;
}

records::Keeping keeping_of(const config::Records& said) {
  return {said.path.value, said.rotate_at.value, said.keep.value, std::size_t(said.queue.value),
          said.flush.value};
}

// The stricter of the platform's and ours holds.
Boot narrowed(Boot b, const std::optional<config::Reading>& ours) {
  if (!ours) return b;
  b.house = config::applied(ours->file, std::move(b.house));
  const config::Node& n = ours->file.node;
  if (n.sockets.said()) b.most_sockets = std::min(b.most_sockets, sockets_for_peers(n.sockets.value));
  if (n.longest_answer.said()) b.most_answer = std::min(b.most_answer, n.longest_answer.value);
  return b;
}

class Node {
 public:
  Node(Boot b, const std::optional<config::Reading>& ours, std::string config, std::string terms,
       const environment& variable)
      : platform_(b.house),
        boot_(narrowed(std::move(b), ours)),
        variable_(variable),
        config_(std::move(config)),
        terms_(std::move(terms)),
        twins_(boot_.folder),
        facts_(ours && ours->file.records.path.said() ? kept(ours->file.records) : records::Facts()),
        fleet_sockets_(Fleet::descriptors_of(boot_.most_sockets)),
        sockets_(boot_.most_sockets -
                 (ours && ours->file.fleet.on() ? Fleet::descriptors_of(boot_.most_sockets) : 0)),
        routes_(boot_.house, counters_, facts_),
        desk_(io_, clock_, counters_, boot_.house.terms, boot_.seed, &facts_),
        servers_(io_, clock_, sockets_, counters_, boot_.house, boot_.most_answer),
        list_(io_, sockets_, counters_, desk_, servers_, boot_.discovery, std::chrono::seconds(2),
              std::chrono::microseconds(boot_.house.terms.ask_every), &facts_, boot_.seed),
        clients_(io_, clock_, sockets_, counters_, desk_, servers_, boot_.house, routes_),
        fleet_(fleet_of(ours)),
        control_(io_, {[this] { return clients_.takes(); }, [this] { return metrics(); },
                       fleet_ ? std::function([this] { return fleet_->told(); }) : nullptr}),
        ends_(io_, SIGTERM, SIGINT),
        asks_(io_, SIGUSR1),
        renewals_(io_, SIGHUP) {
    facts_.names(boot_.house.scheme_names, boot_.house.tenant_names);
    facts_.started(boot_.name, boot_.house.terms.tier);
    if (ours) routes_.renew(*ours);
  }

  void run() {
    list_.told(boot_.known, false);
    servers_.when_unreachable([this] { list_.doubt(); });
    clients_.listen(boot_.listen, boot_.inherited);
    if (boot_.control) {
      control_.listen(*boot_.control);
      spawn([this] { return control_.accept(); });
    }
    if (fleet_) {
      fleet_->listen();
      spawn([this] { return fleet_->accept(); });
      spawn([this] { return fleet_->beat(); });
    }
    spawn([this] { return desk_.tick(); });
    spawn([this] { return servers_.sweep(); });
    spawn([this] { return list_.follow(); });
    spawn([this] { return twins_.alive() > 1 ? take_over() : clients_.accept(); });
    if (boot_.inherited >= 0) spawn([this] { return share(); });
    spawn([this] { return await_end(); });
    spawn([this] { return print_when_asked(); });
    spawn([this] { return read_when_renewed(); });
    spawn([this] { return tell_folded(); });
    log::info(log::part::node, "{}: tier {} of {}, serves at {}:{}, {} servers known, {} sockets", boot_.name,
              boot_.house.terms.tier, boot_.house.terms.tiers, boot_.listen.address().to_string(),
              boot_.listen.port(), boot_.known.entries.size(), boot_.most_sockets);
    io_.run();
    facts_.ended("told to end");
    counters_.records_dropped = facts_.dropped();
    log::info(log::part::node, "{}: ended; counters:\n{}", boot_.name, counters_.text());
  }

 private:
  records::Facts kept(const config::Records& said) {
    return {keeping_of(said), boot_.name, [clock = clock_] { return clock.now(); },
            [](const std::string& trouble) { log::warning(log::part::records, "{}", trouble); }};
  }

  std::unique_ptr<Fleet> fleet_of(const std::optional<config::Reading>& ours) {
    if (!ours || !ours->file.fleet.on()) return nullptr;
    const config::Fleet& f = ours->file.fleet;
    return std::make_unique<Fleet>(io_, fleet_sockets_, f,
                                   Fleet::Identity{f.me.said() ? f.me.value : boot_.name,
                                                   f.hall.said() ? f.hall.value : boot_.house.terms.zone,
                                                   ROBINPIN_VERSION, ours->file.hash, boot_.house.terms.tier},
                                   facts_);
  }

  // What runs as long as the node begins anew after a failure: one part's must not take the others with it.
  void spawn(std::function<awaitable<void>()> part) {
    asio::co_spawn(io_, keep_up(std::move(part)), asio::detached);
  }

  awaitable<void> keep_up(std::function<awaitable<void>()> part) {
    asio::steady_timer pause(io_);
    for (;;) {
      try {
        co_await part();
        co_return;
      } catch (const std::exception& failure) {
        ++counters_.exceptions;
        log::error(log::part::node, "{}", failure.what());
      }
      pause.expires_after(std::chrono::milliseconds(20));
      co_await pause.async_wait(asio::use_awaitable);
    }
  }

  awaitable<void> await_end() {
    co_await ends_.async_wait(asio::use_awaitable);
    log::info(log::part::node, "{}: told to end", boot_.name);
    co_await clients_.drain();
    io_.stop();
  }

  // A process that starts while another serves takes clients once it has heard the list, which that one
  // follows since long, or when there is no more time to wait for it. The platform counts from when the
  // process was there: what a busy machine made of its start is taken off.
  awaitable<void> take_over() {
    asio::steady_timer pause(io_);
    const auto until =
        steady::now() + take_over_within - std::min<steady::duration>(age_of_process(), take_over_within);
    list_.ask_whole();
    for (const auto least = steady::now() + 2 * look;
         steady::now() < least || (!list_.heard() && steady::now() < until);) {
      pause.expires_after(std::chrono::milliseconds(10));
      co_await pause.async_wait(asio::use_awaitable);
    }
    log::info(log::part::node, "{}: takes over, {}", boot_.name,
              list_.heard() ? "the list is heard" : "the list is not heard yet");
    co_await clients_.accept();
  }

  // Two processes keep to the descriptors of one.
  awaitable<void> share() {
    asio::steady_timer pause(io_);
    for (int before = 1;;) {
      const int n = twins_.alive();
      if (n != before)
        log::info(log::part::node, "{}: {} process{} of this node", boot_.name, n, n == 1 ? "" : "es");
      before = n;
      sockets_.most(std::max(least_share, (boot_.most_sockets + boot_.kept_back) / n - boot_.kept_back));
      sockets_.ensure_capacity();
      pause.expires_after(look);
      co_await pause.async_wait(asio::use_awaitable);
    }
  }

  awaitable<void> print_when_asked() {
    for (;;) {
      co_await asks_.async_wait(asio::use_awaitable);
      counters_.records_dropped = facts_.dropped();
      log::info(log::part::node, "{}: counters:\n{}", boot_.name, counters_.text());
    }
  }

  std::string metrics() {
    counters_.records_dropped = facts_.dropped();
    return figures(counters_, boot_.house.scheme_names,
                   {clients_.pending(), desk_.members(), desk_.avoided()}) +
           (fleet_ ? fleet_->figures() : "");
  }

  awaitable<void> tell_folded() {
    asio::steady_timer timer(io_);
    for (;;) {
      timer.expires_after(std::chrono::seconds(1));
      co_await timer.async_wait(asio::use_awaitable);
      log::sweep();
      counters_.records_dropped = facts_.dropped();
    }
  }

  // The platform's file may move discovery and change the terms, ours the limits and the deployment. They are
  // taken on whole or not at all: not under a faulty file of ours, nor where a part of them needs a new
  // start.
  awaitable<void> read_when_renewed() {
    for (;;) {
      co_await renewals_.async_wait(asio::use_awaitable);
      std::optional<Boot> renewed;
      read::House wanted = platform_;
      try {
        renewed = boot_again(variable_, terms_, boot_.keys);
        wanted = read::renumbered(renewed->house, platform_);
      } catch (const std::exception& faulty) {
        renewed.reset();
        log::error(log::part::config, "{}: the new configuration is not used: {}", boot_.name, faulty.what());
      }
      std::optional<config::Reading> ours;
      if (!config_.empty()) ours = co_await load_aside(wanted);
      bool taken = renewed.has_value();
      if ((ours && !ours->good()) || switched(wanted, ours ? config::applied(ours->file, wanted) : wanted)) {
        if (ours) taken = routes_.renew(*ours) && taken;
      } else {
        taken = false;
      }
      ++(taken ? counters_.reloads : counters_.reload_errors);
      if (!taken) continue;
      list_.move(renewed->discovery);
      log::info(log::part::config, "{}: configuration read again, discovery at {}:{}", boot_.name,
                renewed->discovery.address().to_string(), renewed->discovery.port());
      if (renewed->name != boot_.name || renewed->listen != boot_.listen || renewed->seed != boot_.seed)
        log::warning(log::part::config, "{}: name, listen and seed hold until the next start", boot_.name);
    }
  }

  bool switched(const read::House& platform, const read::House& wanted) {
    const bool same = wanted.terms == boot_.house.terms;
    const std::string bound = same ? "" : desk_.adopt(wanted.terms);
    if (!bound.empty()) {
      ++counters_.terms_refused;
      log::error(log::part::config, "{}: the new terms are not used, they need a new start: {}", boot_.name,
                 bound);
      return false;
    }
    platform_ = platform;
    const auto before = std::exchange(boot_.house, wanted);
    // What a client sent under the old file is still taken in its scheme.
    for (const auto& [name, number] : before.schemes)
      if (boot_.house.schemes.emplace(name, number).second)
        spawn([this, name = name] { return close_scheme(name); });
    facts_.names(boot_.house.scheme_names, boot_.house.tenant_names);
    if (!same) {
      ++counters_.terms_switched;
      log::info(log::part::config, "{}: new terms in force, {} txns a connection, {} nodes", boot_.name,
                wanted.terms.streams, wanted.terms.nodes);
    }
    return true;
  }

  awaitable<void> close_scheme(std::string name) {
    asio::steady_timer pause(io_, std::chrono::seconds(1));
    co_await pause.async_wait(asio::use_awaitable);
    if (!platform_.schemes.contains(name)) boot_.house.schemes.erase(name);
  }

  // A long file, or one that is just being written, must not hold up the txns.
  awaitable<config::Reading> load_aside(read::House house) {
    asio::thread_pool aside(1);
    co_return co_await asio::co_spawn(
        aside, [this, &house]() -> awaitable<config::Reading> { co_return config::load(config_, &house); },
        asio::use_awaitable);
  }

  static constexpr auto look = std::chrono::milliseconds(100);  // for other processes
  static constexpr auto take_over_within =
      std::chrono::milliseconds(3000);    // half of what the platform allows
  static constexpr int least_share = 16;  // of descriptors

  read::House platform_;  // the platform's, as last taken
  Boot boot_;             // its house: the terms in force, with ours in them
  const environment variable_;
  const std::string config_, terms_;
  Clock clock_;
  Counters counters_;
  const Twins twins_;
  records::Facts facts_;
  Sockets fleet_sockets_, sockets_;  // outlive what io_ still holds at the end
  Routes routes_;
  asio::io_context io_{1};
  Desk desk_;
  Servers servers_;
  List list_;
  Clients clients_;
  std::unique_ptr<Fleet> fleet_;  // none: this node is of no fleet
  Control control_;
  asio::signal_set ends_, asks_, renewals_;
};

}  // namespace

int serve(const std::string& config, const environment& variable) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until the node can heed it: what it would renew has yet to be read
  try {
    std::optional<config::Reading> ours;
    std::string terms;
    if (!config.empty()) {
      ours = config::load(config, nullptr);
      const auto& told = ours->file.node.terms;
      if (told.said()) terms = (std::filesystem::path(config).parent_path() / told.value).string();
    }
    const auto refused = [&] {
      log::error(log::part::config, "{} can't be used:\n{}", config, config::text(config, ours->faults));
      return 1;
    };
    if (ours && !ours->good()) return refused();
    Boot b = boot(variable, terms);
    if (ours) {
      config::check(*ours, b.house);
      if (!ours->good()) return refused();
      log::open(manner_of(ours->file.log));
    }
    Node node(std::move(b), ours, config, terms, variable);
    node.run();
    log::finish();
    return 0;
  } catch (const std::exception& failure) {
    log::error(log::part::node, "{}", failure.what());
    return 1;
  }
}

}  // namespace robinpin::node
