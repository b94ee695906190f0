// The nodes: daemons, or baselines of the kit in their place.
#include "stage_parts.h"

namespace robinpin::rehearse {

void Stage::add_node(const std::string& name, int hall, std::size_t tier, int me, int nodes) {
  auto n = std::make_unique<NodeHost>();
  n->number = int(nodes_.size());
  n->name = name;
  n->hall = hall;
  n->tier = tier;
  n->me = me;
  n->nodes = nodes;
  const int third = 1 + n->number / 250 * 2, fourth = n->number % 250 + 1;
  n->listen = {asio::ip::make_address(address(third, fourth)), 3000};
  n->list = {asio::ip::make_address(address(third + 1, fourth)), 8500};
  n->list_acceptor = std::make_unique<tcp::acceptor>(listening(n->list));
  out_.grounds.nodes.push_back(name);
  listening(n->listen);  // taken by somebody else? said now, not by a daemon's log
  nodes_.push_back(std::move(n));
  NodeHost* host = nodes_.back().get();
  spawn([this, host]() -> awaitable<void> {
    for (;;) {
      asio::error_code error;
      tcp::socket s = co_await host->list_acceptor->async_accept(redirect_error(use_awaitable, error));
      if (error) co_return;
      auto p = std::make_shared<Peer>(std::move(s), HTTP_REQUEST);
      spawn([this, host, p]() { return serve_list(*host, p); });
    }
  });
}

void Stage::start_nodes() {
  for (auto& n : nodes_) start(*n);
  const auto until = steady::now() + ready_limit;
  const auto all_ready = [&] {
    return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& n) { return n->believed; });
  };
  while (!all_ready() && steady::now() < until) {
    io_.run_for(20ms);
    for (auto& n : nodes_)
      if (n->daemon && !n->daemon->running())
        throw std::runtime_error(fmt::format("{} did not start (exit code {}); its log: {}/{}.log", n->name,
                                             n->daemon->ended().value_or(-1), setup_.out, n->name));
  }
  if (!all_ready())
    throw std::runtime_error("nodes are not ready after 20 s; their logs are in " + setup_.out);
}

void Stage::start(NodeHost& n) {
  n.meant = true;
  ++n.starts;
  if (n.known.empty()) {
    n.known = list_json(n, list_of(n).whole(), list_of(n).version(), true);
    for (const auto& e : list_of(n).whole()) remember(n, e);
  }
  if (setup_.by != policy::module) {
    n.plain = std::make_unique<PlainNode>(
        io_, n.listen, setup_.by == policy::random, setup_.seed * 7919 + std::uint64_t(n.number),
        PlainNode::World{[this, &n] { return boxes_for(n); }, plan_.permissions.most_postings,
                         [this](const std::string& name) { return kind_of(name); }});
    n.believed = true;
    return;
  }
  NodeFacts facts{n.name,
                  text_of(n.listen),
                  text_of(n.list),
                  plan_.halls[std::size_t(n.hall)].name,
                  n.known,
                  int(n.tier),
                  n.me,
                  n.nodes,
                  model::mixed(setup_.seed * 1009 + std::uint64_t(n.number * 100 + n.starts))};
  const std::string file = fmt::format("{}/{}.json", setup_.out, n.name);
  std::ofstream(file) << node_json(plan_, facts);
  Daemon::Start how;
  how.command = {setup_.daemon, "serve"};
  if (!plan_.config.empty())
    how.command.insert(
        how.command.end(),
        {"--config", (std::filesystem::path(plan_.path).parent_path() / plan_.config).string()});
  how.environment = {{"EDGE_CONFIG", file}};
  how.log = fmt::format("{}/{}.log", setup_.out, n.name);
  how.sockets = plan_.sockets;
  how.memory_mb = plan_.memory_mb;
  if (!n.daemon) n.daemon = std::make_unique<Daemon>(io_);
  n.daemon->start(how);
  spawn([this, &n]() { return await_ready(n); });
}

awaitable<void> Stage::await_ready(NodeHost& n) {
  const int start = n.starts;
  while (n.meant && n.starts == start && n.daemon->running()) {
    const Heard h = co_await asker_.ask(n.listen, "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n",
                                        steady::now() + 200ms, [] {});
    if (h.how == came::answered && h.status == 200) {
      n.believed = n.meant && n.starts == start;
      co_return;
    }
    co_await sleep(20'000);
  }
}

void Stage::kill(NodeHost& n) {
  n.meant = n.believed = false;
  if (n.daemon) n.daemon->kill();
  n.plain.reset();
  asker_.forget(n.listen);
  forgive(n);
}

// What a node held that was killed outright is its client's to repeat.
void Stage::forgive(const NodeHost& n) {
  for (const std::size_t i : out_tries_)
    if (out_.history.tries[i].node == n.number) out_.history.tries[i].killed = true;
}

void Stage::roll(const Mishap& m) {
  std::vector<NodeHost*> all;
  for (auto& n : nodes_)
    if (n->tier == 0 && (m.hall.empty() || plan_.halls[std::size_t(n->hall)].name == m.hall))
      all.push_back(n.get());
  model::Chance chance(setup_.seed, "roll", std::uint64_t(&m - plan_.mishaps.data()));
  const auto wanted = std::size_t(std::max(1.0, std::round(m.share * double(all.size()))));
  while (all.size() > wanted) all.erase(all.begin() + std::ptrdiff_t(chance.one_of(all.size())));
  const std::size_t batches = (all.size() + std::size_t(m.together) - 1) / std::size_t(m.together);
  say(fmt::format("{} nodes restart, {} at once, {}", all.size(), m.together,
                  m.killed ? "killed" : "told to end"));
  for (std::size_t i = 0; i < all.size(); ++i) {
    NodeHost* n = all[i];
    const micros at =
        micros(i / std::size_t(m.together)) * (m.span / micros(std::max<std::size_t>(1, batches)));
    agenda_.in(at, [this, n, &m] { restart(*n, m.killed, m.down); });
  }
}

void Stage::restart(NodeHost& n, bool killed, micros down) {
  const int start_number = n.starts;
  n.meant = false;
  const auto again = [this, &n, start_number] {
    if (n.starts == start_number) start(n);
  };
  if (killed || n.plain) {
    if (n.daemon) n.daemon->kill();
    n.plain.reset();
    forgive(n);
    agenda_.in(plan_.front_notice, [&n, start_number] {
      if (n.starts == start_number) n.believed = false;
    });
    agenda_.in(down, again);
    return;
  }
  n.daemon->tell(SIGTERM);
  agenda_.in(300'000, [&n] { n.believed = false; });
  // It has its longest expiry (3 s at most) and 0.7 s more; a node that does not end is ended, and has
  // failed.
  const micros patience = std::min<micros>(longest_expiry(), 3 * second) + 700'000;
  spawn([this, &n, down, patience, again]() -> awaitable<void> {
    const micros until = now() + patience;
    while (n.daemon->running() && now() < until) co_await sleep(20'000);
    if (n.daemon->running())
      out_.crashed.push_back(n.name + " did not end when told to");
    else if (n.daemon->ended().value_or(0) != 0)
      out_.crashed.push_back(fmt::format("{} ended with {} when told to end", n.name, *n.daemon->ended()));
    n.daemon->kill();
    co_await sleep(down);
    again();
  });
}

void Stage::look_after_nodes() {
  for (auto& n : nodes_)
    if (n->meant && n->daemon && !n->daemon->running()) {
      out_.crashed.push_back(
          fmt::format("{} ended by itself with {}", n->name, n->daemon->ended().value_or(-1)));
      say(out_.crashed.back());
      n->meant = n->believed = false;
      agenda_.in(second, [this, host = n.get(), starts = n->starts] {
        if (host->starts == starts) start(*host);
      });
    }
}

std::vector<PlainNode::Target> Stage::boxes_for(const NodeHost& n) const {
  std::vector<PlainNode::Target> all;
  for (const auto& e : list_of(n).whole())
    if (e.is == model::state::ready) all.push_back({e.uid, box_at(box(e.uid)->number, n.hall)});
  return all;
}

repeats Stage::kind_of(const std::string& name) const {
  const int s = scheme(name);
  return s < 0 ? repeats::once_only : plan_.mix.schemes[std::size_t(s)].kind;
}

}  // namespace robinpin::rehearse
