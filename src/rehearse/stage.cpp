// Sets a rehearsal up, runs it to its end and gathers its figures.
#include "stage_parts.h"

namespace robinpin::rehearse {

Outcome Stage::run(const std::function<void(const Progress&)>& progress, const std::function<bool()>& stop) {
  for (auto& list : lists_)
    list->on_change = [this] {
      for (auto* t : watching_) t->cancel();
    };
  pump();
  if (setup_.boxes_only) {
    while (!stop()) io_.run_for(100ms);
    return std::move(out_);
  }
  start_nodes();
  begin_ = now();
  const micros end = begin_ + plan_.length;
  out_.grounds.from = begin_ + plan_.warm_up;
  out_.grounds.until = end;
  for (const Mishap& m : plan_.mishaps) agenda_.at(begin_ + m.from, [this, &m] { befall(m); });
  ask_all();
  const double cpu = kit_cpu();
  const micros asked_for = longest_expiry() * (plan_.clients.retries + 1);
  for (auto told = steady::now(); now() < end || (clients_out_ > 0 && now() < end + asked_for);) {
    io_.run_for(50ms);
    if (stop()) {
      out_.void_because = "interrupted";
      break;
    }
    if (steady::now() - told < 1s) continue;
    told = steady::now();
    look_after_nodes();
    progress(how_it_goes());
  }
  out_.kit_cores = (kit_cpu() - cpu) / (double(now() - begin_) / 1e6);
  finish();
  return std::move(out_);
}

micros Stage::now() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(steady::now() - start_).count();
}

// Whatever the model was told, it may be due to act sooner now.
void Stage::pump() {
  agenda_.advance(now());
  const auto next = agenda_.next();
  if (!next) return;
  timer_.expires_at(at(*next));
  timer_.async_wait([this](asio::error_code cancelled) {
    if (!cancelled) pump();
  });
}

awaitable<void> Stage::sleep(micros span) {
  asio::steady_timer t(io_, std::chrono::microseconds(span));
  co_await t.async_wait(use_awaitable);
}

std::string Stage::address(int third, int fourth) const {
  return fmt::format("127.{}.{}.{}", 64 + int(::getpid()) % 150, third, fourth);
}

tcp::acceptor Stage::listening(tcp::endpoint at, int backlog) {
  tcp::acceptor a(io_);
  asio::error_code wrong;
  a.open(at.protocol());
  a.set_option(tcp::acceptor::reuse_address(true));
  a.bind(at, wrong);
  if (!wrong) a.listen(backlog, wrong);
  if (wrong) throw std::runtime_error(fmt::format("{}: {}", text_of(at), wrong.message()));
  return a;
}

tcp::endpoint Stage::box_at(int box, int hall) const {
  return {asio::ip::make_address(address(10 + hall, box % 250 + 1)), std::uint16_t(3000 + box / 250)};
}

void Stage::set_up() {
  std::vector<std::shared_ptr<model::Marks>> marks;
  model::Chance places(setup_.seed, "places");
  std::vector<int> in_hall(plan_.halls.size());
  for (std::size_t tier = 0; tier < plan_.tiers.size(); ++tier) {
    std::map<int, std::shared_ptr<model::Marks>> by_group;
    const bool wide = std::all_of(plan_.mix.schemes.begin(), plan_.mix.schemes.end(), [](const auto& s) {
      return s.kind != repeats::referenced || s.within == group::all;
    });
    int spread = int(places.one_of(plan_.halls.size()));
    for (const BoxKind& kind : plan_.tiers[tier].kinds)
      for (int i = 1; i <= kind.count; ++i) {
        auto b = std::make_unique<BoxHost>();
        b->number = int(boxes_.size());
        b->tier = tier;
        b->name = fmt::format("{}-{}", kind.name, i);
        b->hall = spread++ % int(plan_.halls.size());
        const int cell = b->hall * 100 + in_hall[std::size_t(b->hall)]++ / 4;
        auto& group = by_group[wide ? 0 : b->hall];
        if (!group) group = std::make_shared<model::Marks>();
        b->box = std::make_unique<model::Box>(agenda_, kind.make,
                                              setup_.seed * 1000 + std::uint64_t(b->number), group);
        b->entry = {b->name, plan_.halls[std::size_t(b->hall)].name, kind.name,
                    cell,    kind.make.cores * kind.make.speed,      model::state::ready,
                    0};
        for (int hall = 0; hall < int(plan_.halls.size()); ++hall)
          b->acceptors.push_back(listening(box_at(b->number, hall)));
        b->fillers.resize(plan_.halls.size());
        out_.grounds.boxes.push_back(b->name);
        out_.grounds.box_zone.push_back(b->hall);
        out_.grounds.box_cell.push_back(cell);
        BoxHost* box = b.get();
        b->box->on_fall = [this, box](const auto& by_sender) { fell(*box, by_sender); };
        boxes_.push_back(std::move(b));
        lists_[tier]->knows(boxes_.back()->entry);
      }
  }
  for (auto& b : boxes_)
    for (int hall = 0; hall < int(b->acceptors.size()); ++hall) open(*b, hall);
  if (setup_.boxes_only) return;
  for (int n = 0; n < plan_.nodes; ++n)
    add_node(fmt::format("front-{}", n + 1), n % int(plan_.halls.size()), 0, n, plan_.nodes);
  for (std::size_t tier = 0; tier + 1 < plan_.tiers.size(); ++tier) {
    int callers = 0, me = 0;
    for (const auto& b : boxes_) callers += b->tier == tier ? 1 : 0;
    for (auto& b : boxes_)
      if (b->tier == tier) {
        b->own_node = int(nodes_.size());
        add_node("of-" + b->name, b->hall, tier + 1, me++, callers);
      }
  }
}

double Stage::kit_cpu() {
  rusage u{};
  ::getrusage(RUSAGE_SELF, &u);
  return double(u.ru_utime.tv_sec + u.ru_stime.tv_sec) +
         double(u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1e6;
}

Progress Stage::how_it_goes() {
  Progress p;
  p.part = double(now() - begin_) / double(plan_.length);
  p.service = lately_asked_ > 0 ? lately_served_ / lately_asked_ : 1;
  lately_asked_ = lately_served_ = 0;
  p.going_wrong.assign(wrong_.begin(), wrong_.end());
  return p;
}

void Stage::finish() {
  for (const std::size_t i : out_tries_)
    out_.history.tries[i].left = true;  // the end of the run cut them short
  look_after_nodes();
  for (auto& n : nodes_) {
    n->meant = false;
    if (n->daemon) n->daemon->kill();
  }
  double done = 0, wasted = 0;
  for (const auto& b : boxes_) {
    out_.tipped += b->box->tipped;
    done += b->box->work_done;
    wasted += b->box->work_wasted;
  }
  out_.fallen = int(out_.history.falls.size());
  out_.waste = done > 0 ? wasted / done : 0;
  std::sort(late_.begin(), late_.end());
  out_.late_p99_ms =
      late_.empty() ? 0 : late_[std::min(late_.size() - 1, std::size_t(0.99 * double(late_.size())))];
  out_.sends_a_second = double(sends_) / (double(now() - begin_) / 1e6);
  if (out_.void_because.empty() && out_.late_p99_ms * 1000 > double(plan_.late_limit))
    out_.void_because = fmt::format(
        "the kit ran late: one send in a hundred by over {:.1f} ms (limit {}); it wants more of the machine",
        out_.late_p99_ms, config::duration(plan_.late_limit));
  out_.verdict = judge(out_.history, out_.grounds);
  io_.stop();
}

Outcome play(const Plan& plan, const Setup& setup, const std::function<void(const Progress&)>& progress,
             const std::function<bool()>& stop) {
  std::filesystem::create_directories(setup.out);
  Stage stage(plan, setup);
  return stage.run(progress, stop);
}

std::string node_json(const Plan& plan, const NodeFacts& n) {
  const auto ms = [](micros t) { return fmt::format("{:.3f}", double(t) / 1000); };
  std::string schemes, tenants, stages;
  for (const auto& s : plan.mix.schemes)
    schemes += fmt::format(
        R"({}{{"Name":"{}","Effect":"{}","Group":"{}","Window":{},"SlaTime":{},"Expiry":{},"Revenue":{}}})",
        schemes.empty() ? "" : ",", s.name,
        s.kind == repeats::repeatable   ? "safe"
        : s.kind == repeats::referenced ? "keyed"
                                        : "unsafe",
        s.within == group::all    ? "all"
        : s.within == group::zone ? "zone"
                                  : "cell",
        ms(s.memory), ms(s.sla), ms(s.expiry), s.revenue);
  for (const auto& t : plan.mix.tenants)
    tenants += fmt::format(R"({}{{"Name":"{}","AllowancePerS":{}}})", tenants.empty() ? "" : ",", t.name,
                           t.allowance > 0 ? t.allowance : 1e9);
  for (const auto& t : plan.tiers) stages += fmt::format(R"({}"{}")", stages.empty() ? "" : ",", t.name);
  const model::Make& make = plan.tiers[std::size_t(n.tier)].kinds[0].make;
  const Permissions& p = plan.permissions;
  return fmt::format(
      R"({{"name":"{}","listen":"{}","discovery":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},)"
      R"("known":{},"settings":{{"Schemes":[{}],"Tenants":[{}],)"
      R"("Permissions":{{"MostPostings":{},"DialTimeout":{},"Keepalive":{},"Cancel":{},"SecondCopies":{},"RetryAfter":{},"MaxRetryAfter":{}}},)"
      R"("Guarantees":{{"AskEvery":{},"Cold":{},"ColdFrom":{},"TipMultiple":{},"OverloadFor":{},"DrainGrace":{}}},)"
      R"("Prices":{{"CrossZone":0.01,"Waste":0.2,"LateFail":0.06}},"Stats":{{"Names":["pending","busy_reqs","cpu_share","svc_ms"]}},)"
      R"("Callers":{{"MarksRetry":{}}},"Stages":[{}],"Tier":{},"Me":{},"PeersTotal":{},"Zone":"{}","Weights":"nominal","Discovery":"subscribe"}}}})",
      n.name, n.listen, n.discovery, n.seed, plan.memory_mb > 0 ? plan.memory_mb : 256, plan.sockets, n.known,
      schemes, tenants, p.most_postings, ms(p.dial), ms(p.keepalive), p.cancel, p.second_copies,
      p.retry_after, ms(plan.clients.longest_advice), ms(p.ask_every), ms(make.cold_for), make.cold_from,
      make.fall_multiple, ms(make.fall_window), ms(p.drain_grace), plan.clients.marks, stages, n.tier, n.me,
      n.nodes, n.zone);
}

}  // namespace robinpin::rehearse
