// Boxes on sockets: they take, work, call the next tier, die and come back.
#include "stage_parts.h"

namespace robinpin::rehearse {

void Stage::open(BoxHost& b, int hall) {
  spawn([this, &b, hall]() -> awaitable<void> {
    for (;;) {
      asio::error_code error;
      auto& acceptor = b.acceptors[std::size_t(hall)];
      tcp::socket s = co_await acceptor.async_accept(redirect_error(use_awaitable, error));
      if (error) co_return;
      s.set_option(tcp::no_delay(true), error);
      auto p = std::make_shared<Peer>(std::move(s), HTTP_REQUEST);
      std::erase_if(b.peers, [](const auto& w) { return w.expired(); });
      b.peers.push_back(p);
      spawn([this, &b, p, hall]() { return serve(b, p, hall); });
    }
  });
}

// Nobody comes up to who is not there: a full queue of connections drops what knocks, as a dead machine does.
void Stage::fall_silent(BoxHost& b, int hall) {
  asio::error_code ignored;
  auto& a = b.acceptors[std::size_t(hall)];
  a.close(ignored);
  a = listening(box_at(b.number, hall), 0);
  auto& fillers = b.fillers[std::size_t(hall)];
  for (int i = 0; i < 3; ++i) {
    fillers.emplace_back(io_);
    fillers.back().open(tcp::v4());
    fillers.back().non_blocking(true);
    // Asio's own would wait for a queue that is to stay full.
    const auto to = box_at(b.number, hall);
    if (::connect(fillers.back().native_handle(), to.data(), socklen_t(to.size())) != 0 &&
        errno != EINPROGRESS)
      throw std::runtime_error(fmt::format("{}: {}", text_of(to), std::strerror(errno)));
  }
}

void Stage::speak_again(BoxHost& b, int hall) {
  asio::error_code ignored;
  b.fillers[std::size_t(hall)].clear();
  b.acceptors[std::size_t(hall)].close(ignored);
  b.acceptors[std::size_t(hall)] = listening(box_at(b.number, hall));
  open(b, hall);
}

micros Stage::delay(int a, int b, const std::string& id) const {
  const micros usual = a == b ? plan_.net.same : plan_.net.cross;
  std::uint64_t of = 0;
  for (const char c : id) of = of * 131 + std::uint8_t(c);
  return micros(double(usual) * (1 + plan_.net.jitter * (2 * model::Chance(of, "delay").part() - 1)));
}

// A machine that is cut off or silent gets nothing; what was under way comes when it is back, or never.
awaitable<bool> Stage::reaches(BoxHost& b, int hall, std::uint64_t life) {
  while ((b.silent || cut(b.hall, hall)) && b.life == life) co_await sleep(20'000);
  co_return b.life == life;
}

awaitable<void> Stage::serve(BoxHost& b, std::shared_ptr<Peer> p, int hall) {
  const std::uint64_t life = b.life;
  if (!b.box->connected()) {
    p->reset();
    co_return;
  }
  pump();
  for (;;) {
    const reading got = co_await p->read();
    if (b.life != life) co_return p->reset();
    if (got == reading::unfinished) break;
    if (got != reading::complete) {
      co_await p->write("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
      break;
    }
    if (!co_await one(b, p, hall, life)) break;
    if (b.life != life) co_return p->reset();
  }
  b.box->disconnected();
}

struct Stage::Exchange {
  explicit Exchange(asio::io_context& io) : news(io, steady::time_point::max()) {}
  asio::steady_timer news;
  std::optional<model::done> how;
  bool left = false;
};

awaitable<bool> Stage::one(BoxHost& b, std::shared_ptr<Peer> p, int hall, std::uint64_t life) {
  const std::string id(p->in.header("Request-Id"));
  const micros wait = std::max(0LL, codec::whole_number(p->in.header("Request-Timeout-Ms"))) * 1000;
  Try* t = out_.history.find(id);
  if (!t) {
    if (!setup_.boxes_only) {
      co_await p->write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
      co_return true;
    }
    t = &out_.history.begin(by_hand(p->in, id, wait));
  }
  const std::size_t number = t->postings.size();
  t->postings.push_back({});
  t->postings.back().box = b.number;
  t->postings.back().came = now();
  const auto posting = [this, id, number]() -> Try::Posting& {
    return out_.history.find(id)->postings[number];
  };
  const micros expiry = now() + wait;
  if (!co_await reaches(b, hall, life)) co_return false;
  co_await sleep(delay(b.hall, hall, id));
  if (b.life != life) co_return false;

  auto x = std::make_shared<Exchange>(io_);
  const Try facts = *out_.history.find(id);
  const auto& scheme = plan_.mix.schemes[std::size_t(facts.scheme)];
  model::Job job;
  job.id = id;
  job.scheme = facts.scheme;
  job.expiry = expiry;
  job.work = work_of(facts) * plan_.tiers[b.tier].work;
  job.calls = b.own_node >= 0 ? model::calls_of(plan_.mix, b.tier, facts.txn, setup_.seed) : 0;
  if (scheme.kind == repeats::referenced) {
    job.mark = std::string(p->in.header("Idempotency-Key"));
    job.window = scheme.memory;
  }
  const std::uint64_t job_number = next_job(b);
  job.ended = [x](model::done how) {
    x->how = how;
    x->news.cancel();
  };
  job.runs = [this, posting, facts] {
    posting().ran = true;
    posting().begun = agenda_.now();
    if (facts.tier == 0 && facts.txn < out_.history.deals.size()) ++out_.history.deals[facts.txn].effects;
  };
  job.call = [this, &b, job_number, facts, number, expiry, mark = job.mark](int n) {
    spawn([=, this, &b]() { return call_next(b, job_number, facts, number, n, expiry, mark); });
  };
  agenda_.advance(now());
  b.box->arrive(std::move(job),
                out_.grounds.nodes.empty() ? "" : out_.grounds.nodes[std::size_t(facts.node)]);
  pump();
  p->socket.async_wait(tcp::socket::wait_read, [x, p](asio::error_code cancelled) {
    if (cancelled || !p->gone()) return;
    x->left = true;
    x->news.cancel();
  });
  while (!x->how && !x->left && b.life == life) {
    asio::error_code woken;
    co_await x->news.async_wait(redirect_error(use_awaitable, woken));
  }
  asio::error_code ignored;
  if (p->socket.is_open()) p->socket.cancel(ignored);
  if (b.life != life) co_return false;
  if (x->left && !x->how) {
    posting().gone = true;
    agenda_.advance(now());
    b.box->cancel(job_number);
    pump();
    co_return false;
  }
  posting().over = now();
  co_await sleep(delay(b.hall, hall, id));
  if (!co_await reaches(b, hall, life)) co_return false;
  model::Chance fate(setup_.seed, "fate" + id, number);
  if (*x->how == model::done::served && fate.hits(b.reset)) {
    p->reset();
    co_return false;
  }
  if (*x->how == model::done::served && fate.hits(b.spoilt)) {
    co_await p->write("HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n" + id);
    co_return true;
  }
  co_return co_await p->write(answer(b, *x->how, id));
}

std::string Stage::answer(const BoxHost& b, model::done how, const std::string& id) const {
  const model::Load l = b.box->load();
  const std::string load =
      fmt::format("Server-Load: pending={},busy_reqs={},cpu_share={:.2f},svc_ms={:.1f}\r\n", l.waiting,
                  l.in_work, l.busy, double(l.latency) / 1000);
  if (how == model::done::served) {
    const std::string body = id + " by " + b.name;
    return fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}", load, body.size(), body);
  }
  return how == model::done::refused
             ? fmt::format(
                   "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\n{}Content-Length: 0\r\n\r\n", load)
             : fmt::format("HTTP/1.1 500 Internal Server Error\r\n{}Content-Length: 0\r\n\r\n", load);
}

double Stage::work_of(const Try& t) const {
  return t.txn < works_.size() ? works_[t.txn] : plan_.mix.schemes[std::size_t(t.scheme)].work;
}

// A request poked in by hand, where only the boxes are played.
Try Stage::by_hand(const codec::Message& m, const std::string& id, micros wait) const {
  Try t;
  t.id = id;
  t.txn = ~0ULL;
  t.expiry = now() + wait;
  for (std::size_t i = 0; i < plan_.mix.schemes.size(); ++i)
    if (plan_.mix.schemes[i].name == m.header("Request-Class")) t.scheme = int(i);
  return t;
}

awaitable<void> Stage::call_next(BoxHost& b, std::uint64_t job, Try caller, std::size_t posting, int n,
                                 micros expiry, std::string mark) {
  const std::uint64_t life = b.life;
  NodeHost& node = *nodes_[std::size_t(b.own_node)];
  Try t;
  t.id = fmt::format("{}.{}-{}", caller.id, posting, n);
  t.tier = caller.tier + 1;
  t.scheme = caller.scheme;
  t.node = node.number;
  t.txn = caller.txn;
  t.sent = now();
  t.expiry = expiry;
  bool served = false;
  const int tenant = caller.txn < out_.history.deals.size() ? out_.history.deals[caller.txn].tenant : -1;
  if (expiry - now() > 1000) {
    const std::string id = t.id;
    const Heard h =
        co_await ask(std::move(t), node,
                     request(id, caller.scheme, tenant, expiry - now(), mark + "." + std::to_string(n)));
    served = h.how == came::answered && h.status == 200;
  }
  if (b.life != life) co_return;
  agenda_.advance(now());
  b.box->called(job, served);
  pump();
}

void Stage::die(BoxHost& b, bool silently) {
  ++b.life;
  b.box->stop();
  b.silent = silently;
  b.entry.is = model::state::gone;
  lists_[b.tier]->changed(b.entry, silently);
  for (int h = 0; h < int(b.acceptors.size()); ++h) {
    if (silently) {
      fall_silent(b, h);
    } else {
      asio::error_code ignored;
      b.acceptors[std::size_t(h)].close(ignored);
    }
  }
  if (!silently) hang_up(b);
  if (b.own_node >= 0) kill(*nodes_[std::size_t(b.own_node)]);
}

void Stage::hang_up(BoxHost& b) {
  for (auto& w : b.peers)
    if (const auto p = w.lock()) p->reset();
  b.peers.clear();
}

void Stage::revive(BoxHost& b) {
  if (b.box->up()) return;
  hang_up(b);
  ++b.life;
  b.silent = false;
  b.box->start(true);
  b.entry.is = model::state::ready;
  b.entry.started = agenda_.now();
  lists_[b.tier]->changed(b.entry);
  for (int h = 0; h < int(b.acceptors.size()); ++h)
    if (!cut(b.hall, h)) speak_again(b, h);
  if (b.own_node >= 0) start(*nodes_[std::size_t(b.own_node)]);
  say(b.name + " is back, cold");
}

void Stage::fell(BoxHost& b, const std::map<std::string, double>& by_sender) {
  double sum = 0, told = 0;
  for (const auto& [sender, work] : by_sender) {
    sum += work;
    for (const auto& n : nodes_)
      if (n->name == sender) {
        const auto t = n->starts_told.find(b.number);
        if (t != n->starts_told.end() && t->second == b.entry.started) told += work;
      }
  }
  out_.history.falls.push_back({b.number, now(), sum > 0 ? told / sum : 0});
  say(b.name + " fell over, cold");
}

}  // namespace robinpin::rehearse
