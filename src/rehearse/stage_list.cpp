// The list of boxes as its service tells it.
#include "stage_parts.h"

namespace robinpin::rehearse {

std::string Stage::list_json(const NodeHost& n, const std::vector<model::Entry>& entries, long long version,
                             bool all) const {
  std::string out = fmt::format(R"({{"rev":{},"all":{},"targets":[)", version, all ? "true" : "false");
  bool first = true;
  for (const auto& e : entries) {
    const BoxHost& b = *box(e.uid);
    const char* is = e.is == model::state::ready      ? "Ready"
                     : e.is == model::state::draining ? "Terminating"
                                                      : "Gone";
    const auto boot = e.started == 0 ? 0 : unix_start_ms_ + e.started / 1000;
    out += fmt::format(
        R"({}{{"uid":"{}","endpoint":"{}","az":"{}","model":"{}","pod_group":{},"state":"{}","capacity_hint":{:.3f},"boot_ms":{}}})",
        first ? "" : ",", e.uid, text_of(box_at(b.number, n.hall)), e.zone, e.kind, e.cell, is, e.size, boot);
    first = false;
  }
  return out + "]}";
}

void Stage::remember(NodeHost& n, const model::Entry& e) {
  const int number = box(e.uid)->number;
  const bool serving = e.is == model::state::ready;
  n.starts_told[number] = e.started;
  const auto [it, fresh] = n.told.try_emplace(number, serving);
  if (!fresh && it->second == serving) return;
  it->second = serving;
  out_.history.told.push_back({n.number, number, now(), serving});
}

awaitable<void> Stage::serve_list(NodeHost& n, std::shared_ptr<Peer> p) {
  for (;;) {
    if (co_await p->read() != reading::complete) co_return;
    const std::string target(p->in.target());
    const auto figure = [&](const char* name) {
      const auto found = target.find(name);
      return found == std::string::npos ? -1LL : std::atoll(target.c_str() + found + std::strlen(name));
    };
    const long long after = figure("after=");
    const auto until =
        steady::now() + std::chrono::milliseconds(std::clamp(figure("wait_ms="), 0LL, 60'000LL));
    bool all = false;
    std::vector<model::Entry> news;
    for (;;) {
      pump();
      news = list_of(n).since(after, all);
      if (all || !news.empty() || steady::now() >= until) break;
      asio::steady_timer t(io_, until);
      watching_.insert(&t);
      asio::error_code woken;
      co_await t.async_wait(redirect_error(use_awaitable, woken));
      watching_.erase(&t);
      if (p->gone()) co_return;
    }
    const micros when = list_of(n).call(news.size());
    if (when < 0) {
      co_await sleep(20'000);
      co_await p->write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    if (when > now()) co_await sleep(when - now());
    const std::string body = list_json(n, news, list_of(n).version(), all);
    if (!co_await p->write(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body)))
      co_return;
    std::set<int> told;
    for (const auto& e : news) {
      remember(n, e);
      told.insert(box(e.uid)->number);
    }
    if (all)
      for (auto& [number, serving] : n.told)
        if (serving && !told.contains(number)) {
          serving = false;
          out_.history.told.push_back({n.number, number, now(), false});
        }
    n.known = list_json(n, list_of(n).whole(), list_of(n).version(), true);
  }
}

}  // namespace robinpin::rehearse
