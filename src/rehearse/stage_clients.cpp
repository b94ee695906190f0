// Clients: who asks whom, when, and what of it.
#include "stage_parts.h"

namespace robinpin::rehearse {

std::string Stage::request(const std::string& id, int scheme, int tenant, micros left,
                           const std::string& mark, bool repeat) const {
  const auto& s = plan_.mix.schemes[std::size_t(scheme)];
  const std::string key = s.kind == repeats::referenced ? fmt::format("Idempotency-Key: {}\r\n", mark) : "";
  const std::string who =
      tenant >= 0 ? fmt::format("Tenant: {}\r\n", plan_.mix.tenants[std::size_t(tenant)].name) : "";
  return fmt::format(
      "{} /api HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {}\r\nRequest-Class: {}\r\n{}{}"
      "{}Request-Timeout-Ms: {}\r\nContent-Length: 0\r\n\r\n",
      s.kind == repeats::repeatable ? "GET" : "POST", id, s.name, who, key,
      repeat ? "Client-Retry: 1\r\n" : "", std::max<micros>(0, left / 1000));
}

// One try from its sending to its answer, in the history.
awaitable<Heard> Stage::ask(Try t, NodeHost& node, std::string text) {
  const std::string id = t.id;
  const micros until = t.expiry + 2 * out_.grounds.slack;
  const std::size_t number = out_.history.tries.size();
  out_.history.begin(std::move(t));
  out_tries_.insert(number);
  const Heard h = co_await asker_.ask(node.listen, std::move(text), at(until), [this, number] {
    Try& sent = out_.history.tries[number];
    // Kept as it was first sent: the client's time runs from there.
    if (!sent.taken) sent.expiry += now() - sent.sent, sent.sent = now();
    sent.taken = true;
    ++sends_;
  });
  out_tries_.erase(number);
  Try& done = out_.history.tries[number];
  if (h.how == came::answered) {
    done.answered = now();
    done.how = h.status == 200                      ? answer::settled
               : h.status == 429 || h.status == 503 ? answer::declined
                                                    : answer::failed;
    done.spoilt = h.status == 200 && !h.body.starts_with(id + " by ");
  } else if (h.how == came::broken) {
    done.how = answer::broken;
    done.answered = now();
  }
  co_return h;
}

micros Stage::longest_expiry() const {
  micros most = 0;
  for (const auto& s : plan_.mix.schemes) most = std::max(most, s.expiry);
  return most;
}

std::vector<model::Wanted> Stage::wanted() const {
  if (plan_.replay.empty()) {
    std::vector<model::Jump> jumps;
    for (const Mishap& m : plan_.mishaps)
      if (m.what == trouble::jump) jumps.push_back({m.from, m.from + m.span, m.size});
    return model::drawn(plan_.mix, jumps, plan_.length, setup_.seed);
  }
  return replayed();
}

// The mix and the pacing of txns that a node has recorded; what they cost is drawn.
std::vector<model::Wanted> Stage::replayed() const {
  const auto path = std::filesystem::path(plan_.path).parent_path() / plan_.replay;
  std::vector<model::Wanted> all;
  micros first = -1;
  for (const auto& f : records::read_back(path.string()).facts) {
    if (f.fact != "taken") continue;
    if (first < 0) first = f.wall;
    model::Wanted w;
    w.at = micros(double(f.wall - first) / plan_.pace);
    if (w.at < 0 || w.at >= plan_.length) continue;
    w.number = all.size();
    bool known = false;
    for (std::size_t i = 0; i < plan_.mix.schemes.size(); ++i)
      if (plan_.mix.schemes[i].name == f.scheme) w.scheme = int(i), known = true;
    if (!known) continue;
    for (std::size_t i = 0; i < plan_.mix.tenants.size(); ++i)
      if (plan_.mix.tenants[i].name == f.tenant) w.tenant = int(i);
    if (w.tenant < 0 && !plan_.mix.tenants.empty()) w.tenant = 0;
    model::Chance own(setup_.seed, "txn", w.number);
    w.hall = int(own.one_of(plan_.halls.size()));
    const auto& s = plan_.mix.schemes[std::size_t(w.scheme)];
    w.work = own.around(s.work, s.spread);
    all.push_back(w);
  }
  if (all.empty()) throw std::runtime_error(path.string() + ": holds no txns of the plan's schemes");
  std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  return all;
}

void Stage::ask_all() {
  wanted_ = wanted();
  for (auto& w : wanted_) {
    works_.push_back(w.work);
    Deal d;
    d.asked = begin_ + w.at;
    d.scheme = w.scheme;
    d.tenant = w.tenant;
    d.hall = w.hall;
    out_.history.deals.push_back(d);
  }
  out_.history.tries.reserve(wanted_.size() * 4);
  next_client_ = 0;
  ask_next();
}

// One entry at a time: the agenda holds the next client only.
void Stage::ask_next() {
  if (next_client_ >= wanted_.size()) return;
  const std::size_t deal = next_client_++;
  const micros due = begin_ + wanted_[deal].at;
  agenda_.at(due, [this, deal, due] {
    ++clients_out_;
    late_.push_back(double(std::max<micros>(0, now() - due)) / 1000);
    spawn([this, deal]() -> awaitable<void> {
      co_await client(deal);
      --clients_out_;
    });
    ask_next();
  });
}

Stage::NodeHost* Stage::front(int hall, model::Chance& chance) {
  std::vector<NodeHost*> near, any;
  for (auto& n : nodes_)
    if (n->tier == 0 && n->believed) {
      any.push_back(n.get());
      if (n->hall == hall) near.push_back(n.get());
    }
  auto& from = near.empty() ? any : near;
  return from.empty() ? nullptr : from[chance.one_of(from.size())];
}

// A client gives up when its time is over, and what it does next may cross the answer that is on its way.
awaitable<Heard> Stage::ask_for(Try t, NodeHost& node, std::string text) {
  struct Waiting {
    explicit Waiting(asio::io_context& io) : news(io) {}
    asio::steady_timer news;
    std::optional<Heard> heard;
  };
  auto w = std::make_shared<Waiting>(io_);
  w->news.expires_at(at(t.expiry));
  spawn([this, w, t = std::move(t), &node, text = std::move(text)]() -> awaitable<void> {
    w->heard = co_await ask(t, node, text);
    w->news.cancel();
  });
  asio::error_code woken;
  co_await w->news.async_wait(redirect_error(use_awaitable, woken));
  Heard late;
  late.how = came::late;
  co_return w->heard ? std::move(*w->heard) : late;
}

awaitable<void> Stage::client(std::size_t deal) {
  const model::Wanted w = wanted_[deal];
  const auto& scheme = plan_.mix.schemes[std::size_t(w.scheme)];
  model::Chance chance(setup_.seed, "client", w.number);
  const std::string mark = fmt::format("{:016x}", model::mixed(setup_.seed ^ model::mixed(w.number)));
  for (int n = 0;; ++n) {
    Deal& asked = out_.history.deals[deal];
    const micros wait = model::patience(plan_.clients, scheme, n, n > 0 ? now() - asked.asked : 0);
    if (wait <= 0) break;
    ++asked.tries;
    model::heard how = model::heard::unreachable;
    micros come_back = 0;
    if (NodeHost* node = front(w.hall, chance)) {
      co_await sleep(plan_.net.client);
      Try t;
      t.id = fmt::format("{}-{}", mark, n);
      t.scheme = w.scheme;
      t.node = node->number;
      t.txn = deal;
      t.sent = now();
      t.expiry = t.sent + wait;
      const std::string text = request(t.id, w.scheme, w.tenant, wait, mark, n > 0 && plan_.clients.marks);
      const Heard h = co_await ask_for(std::move(t), *node, text);
      co_await sleep(plan_.net.client);
      come_back = h.come_back;
      how = h.how == came::unreachable ? model::heard::unreachable
            : h.how != came::answered  ? (h.how == came::late ? model::heard::nothing : model::heard::failed)
            : h.status == 200          ? model::heard::settled
            : h.status == 503 || h.status == 429 ? model::heard::declined
                                                 : model::heard::failed;
    }
    Deal& d = out_.history.deals[deal];
    if (how == model::heard::settled) {
      d.answered = now();
      lately_served_ += 1;
    }
    const micros rest = model::again(plan_.clients, scheme, n, how, come_back, d.asked, now(), chance);
    if (rest < 0) break;
    co_await sleep(rest);
  }
  lately_asked_ += 1;
}

}  // namespace robinpin::rehearse
