#include "plain.h"

#include <fmt/format.h>

#include <set>

namespace robinpin::rehearse {

namespace {
using asio::redirect_error;
using asio::use_awaitable;
}  // namespace

struct PlainNode::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io, tcp::endpoint at, bool random, std::uint64_t seed, World w)
      : acceptor(io), asker(io), chance(seed, "plain"), at_random(random), world(std::move(w)) {
    acceptor.open(at.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(at);
    acceptor.listen(1024);
  }

  tcp::acceptor acceptor;
  Asker asker;
  model::Chance chance;
  bool at_random;
  World world;
  std::unordered_map<std::string, int> out;
  std::vector<std::weak_ptr<Peer>> peers;

  awaitable<void> accept() {
    const auto self = shared_from_this();
    for (;;) {
      asio::error_code error;
      tcp::socket s = co_await acceptor.async_accept(redirect_error(use_awaitable, error));
      if (error) co_return;
      s.set_option(tcp::no_delay(true), error);
      auto p = std::make_shared<Peer>(std::move(s), HTTP_REQUEST);
      std::erase_if(peers, [](const auto& w) { return w.expired(); });
      peers.push_back(p);
      asio::co_spawn(acceptor.get_executor(), serve(p), asio::detached);
    }
  }

  const Target* pick(const std::vector<Target>& all, const std::set<std::string>& tried) {
    std::vector<const Target*> fit;
    int least = 1 << 30;
    for (const auto& t : all) {
      if (tried.contains(t.name) && tried.size() < all.size()) continue;
      const int n = at_random ? 0 : out[t.name];
      if (n < least) fit.clear();
      least = std::min(least, n);
      if (n == least) fit.push_back(&t);
    }
    return fit.empty() ? nullptr : fit[chance.one_of(fit.size())];
  }

  awaitable<void> serve(std::shared_ptr<Peer> p) {
    const auto self = shared_from_this();
    while (co_await p->read() == codec::reading::complete) {
      const std::string scheme(p->in.header("Request-Class")), id(p->in.header("Request-Id")),
          key(p->in.header("Idempotency-Key")), method(p->in.method());
      const auto until = steady::now() + std::chrono::milliseconds(std::max(
                                             0LL, codec::whole_number(p->in.header("Request-Timeout-Ms"))));
      const repeats kind = world.kind(scheme);
      std::set<std::string> tried;
      std::string answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
      for (int n = 0; n < world.most_postings && steady::now() < until; ++n) {
        const auto all = world.boxes();
        const Target* box = pick(all, tried);
        if (!box) break;
        tried.insert(box->name);
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(until - steady::now()).count();
        const std::string mark = key.empty() ? "" : fmt::format("Idempotency-Key: {}\r\n", key);
        const std::string name = box->name;
        ++out[name];
        bool sent = false;
        const Heard h =
            co_await asker.ask(box->at,
                               fmt::format("{} /api HTTP/1.1\r\nHost: b\r\nRequest-Id: {}\r\nRequest-Class: "
                                           "{}\r\n{}Request-Timeout-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                                           method, id, scheme, mark, left),
                               until, [&] { sent = true; });
        --out[name];
        if (h.how == came::answered && h.status == 200) {
          answer = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", h.body.size(), h.body);
          break;
        }
        const bool never_ran =
            (h.how == came::answered && h.status == 503) || h.how == came::unreachable || !sent;
        if (!never_ran) {
          answer = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n";
          if (kind != repeats::repeatable) break;
        }
      }
      if (!co_await p->write(answer)) break;
    }
  }
};

PlainNode::PlainNode(asio::io_context& io, tcp::endpoint listen, bool at_random, std::uint64_t seed,
                     World world)
    : state_(std::make_shared<State>(io, listen, at_random, seed, std::move(world))) {
  asio::co_spawn(io, state_->accept(), asio::detached);
}

PlainNode::~PlainNode() {
  asio::error_code ignored;
  state_->acceptor.close(ignored);
  for (auto& w : state_->peers)
    if (const auto p = w.lock()) p->reset();
}

}  // namespace robinpin::rehearse
