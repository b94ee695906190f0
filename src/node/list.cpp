#include "list.h"

#include <fmt/format.h>

#include "../log/log.h"

namespace robinpin::node {

namespace {

using namespace std::chrono_literals;
constexpr auto watch_for = 20'000ms, dial_limit = 1'000ms, answer_slack = 1'500ms;
constexpr Limits list_limits = {16 * 1024, 8 * 1024 * 1024};

constexpr read::ListNames names = {"uid",     "az",    "model", "pod_group",   "capacity_hint",
                                   "boot_ms", "state", "Ready", "Terminating", "Gone"};

micros count(steady::time_point t) {
  return std::chrono::duration_cast<std::chrono::microseconds>(t.time_since_epoch()).count();
}

News::Entry entry_of(const read::value& e) {
  using namespace read;
  News::Entry entry;
  entry.line = line_of(e, names);
  if (entry.line.state != standing::gone || find(e, "endpoint")) {
    const std::string at = text(need(e, "endpoint"), "endpoint");
    entry.at = inside("endpoint", [&] { return endpoint_of(at); });
  }
  return entry;
}

}  // namespace

News news_of(const read::value& told) {
  using namespace read;
  object(told, "list");
  News news;
  const double version = number(need(told, "rev"), "rev");
  if (!(version >= 0 && version < 9e15)) wrong("rev is out of range");
  news.version = static_cast<long long>(version);
  news.whole = flag(told, "all");
  each(need(told, "targets"), "targets", [&](const value& e) { news.entries.push_back(entry_of(e)); });
  return news;
}

std::optional<News> news_of(std::string_view text, std::string* why) {
  rapidjson::Document told;
  told.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  try {
    if (told.HasParseError()) read::wrong("not JSON");
    return news_of(told);
  } catch (const read::malformed& what) {
    if (why) *why = what.what();
    return std::nullopt;
  }
}

List::List(asio::io_context& io, Sockets& sockets, Counters& counters, Desk& desk, Servers& servers,
           tcp::endpoint at, steady::duration doubt_after, steady::duration doubt_every,
           records::Facts* facts, std::uint32_t seed)
    : io_(io),
      sockets_(sockets),
      counters_(counters),
      desk_(desk),
      servers_(servers),
      at_(at),
      chance_(seed ^ 0x6c697374U),  // a row of draws of its own
      facts_(facts),
      doubt_after_(doubt_after),
      doubt_every_(doubt_every) {}

void List::told(const News& news, bool asked) {
  heard_ = heard_ || asked;
  const bool older = versions_.judge({news.version, news.whole}) == asking::taking::bad_news;
  if (older) ++counters_.list_older;
  if (!older && news.whole && news.entries.empty() && servers_.any()) {
    ++counters_.list_empty;
    log::warning(log::part::list, "the list says that no server is left: every txn is declined");
  }
  std::vector<Line> lines;
  std::unordered_set<std::string> servers;
  for (const auto& [line, at] : news.entries) {
    servers.insert(line.server);
    if (older && line.state == standing::serving) continue;
    servers_.told(line.server, at, line.started, line.state == standing::gone);
    lines.push_back(line);
  }
  // Who is not in it may be gone for longer than the grace once it is known whether to believe it: nothing
  // goes there.
  if (news.whole) servers_.only(servers);
  if (facts_ && facts_->on() && !older) recall(news);
  desk_.list_told(lines, news.whole && !older, asked && !older);
}

// What is new of it goes into the records; a whole list says mostly what was known.
void List::recall(const News& news) {
  static constexpr const char* names_of[] = {"serving", "draining", "gone"};
  std::unordered_set<std::string> all;
  for (const auto& [line, at] : news.entries) {
    all.insert(line.server);
    const std::pair is{line.state, line.started};
    const auto [it, fresh] = told_.try_emplace(line.server, is);
    if (!fresh && it->second == is) continue;
    facts_->listed(line.server, line.zone, names_of[int(line.state)], news.version);
    if (line.state == standing::gone)
      told_.erase(it);
    else
      it->second = is;
  }
  if (news.whole)
    std::erase_if(told_, [&](const auto& e) {
      if (all.contains(e.first)) return false;
      facts_->listed(e.first, "", names_of[2], news.version);
      return true;
    });
}

awaitable<void> List::follow() {
  for (;;) {
    co_await desk_.list_wanted();
    dropped_ = false;
    try {
      co_await watch_on();
    } catch (const std::exception& failure) {
      ++counters_.exceptions;
      why_ = failure.what();
    }
    connection_.reset();
    if (dropped_) continue;  // no failure that the module should wait after
    ++counters_.list_failures;
    // A node that can't hear its list goes on with what it knows, and declines where it knows nothing.
    if (trouble_.fails(why_))
      log::warning(log::part::list, "the list is not heard from {}:{}: {}{}", at_.address().to_string(),
                   at_.port(), why_, servers_.any() ? "" : "; no server is known, so every txn is declined");
    desk_.list_failed();
  }
}

void List::ask_whole() {
  versions_.doubt();
  desk_.want_list();
}

// Versions may be counted anew elsewhere, and a watch after one that never comes would wait for ever: the
// whole list is asked for.
void List::move(tcp::endpoint to) {
  if (to == at_) return;
  at_ = to;
  versions_.forget();
  drop();
}

// The watch of a service that has vanished, or whose answer was lost, looks like one with nothing to tell.
void List::doubt() {
  const auto now = steady::now();
  if (!connection_ || now - asked_at_ < doubt_after_ || now - doubted_at_ < doubt_every_) return;
  doubted_at_ = now;
  ++counters_.list_doubts;
  drop();
}

void List::drop() {
  dropped_ = true;
  if (connection_) connection_->close();
  desk_.want_list();
}

// A watch ends unless the next call comes at once after each answer.
awaitable<void> List::watch_on() {
  for (bool first = true;; first = false) {
    const auto news = co_await watch();
    if (!news) co_return;
    const auto before = versions_.known();
    if (first || news->whole || !news->entries.empty() || news->version != before) told(*news, true);
    if (versions_.after() == 0 && before > 0) {  // older: the whole list is asked for, as after any failure
      failed(fmt::format("version {} after {}", news->version, before));
      co_return;
    }
    if (trouble_.mended())
      log::info(log::part::list, "the list is heard again, after {} failures in {:.1f} s", trouble_.times(),
                trouble_.lasted());
    const auto wait = pace_.pause(count(asked_at_), count(steady::now()), double(chance_()) / 4294967296.0);
    if (wait == 0) continue;
    ++counters_.list_paced;
    asio::steady_timer pause(io_);
    pause.expires_after(std::chrono::microseconds(wait));
    co_await pause.async_wait(asio::use_awaitable);
    if (dropped_) co_return;
  }
}

std::optional<News> List::failed(std::string why) {
  why_ = std::move(why);
  return std::nullopt;
}

awaitable<std::optional<News>> List::watch() {
  ++counters_.list_calls;
  asked_at_ = steady::now();
  if (!connection_ || !connection_->quiet()) {
    connection_.reset();
    sockets_.ensure_capacity();
    connection_ = std::make_shared<Connection>(tcp::socket(io_), sockets_, HTTP_RESPONSE, list_limits);
    connection_->limit(steady::now() + dial_limit);
    if (const auto error = co_await connection_->connect(at_))
      co_return failed(connection_ && connection_->ran_out() ? "no connection within a second"
                                                             : error.message());
  }
  const auto c = connection_;
  c->limit(steady::now() + watch_for + answer_slack);
  const std::string ask =
      fmt::format("GET /registry/instances?after={}&wait_ms={} HTTP/1.1\r\nHost: discovery\r\n\r\n",
                  versions_.after(), watch_for.count());
  std::size_t written = 0;
  if (const auto error = co_await c->write(ask, {}, written)) co_return failed(error.message());
  asio::error_code error;
  const reading got = co_await c->read(error);
  c->no_limit();
  if (got == reading::unfinished) co_return failed(c->ran_out() ? "no answer in time" : error.message());
  if (got != reading::complete) co_return failed("an answer that is no HTTP, or too long");
  if (c->in.status() != 200) co_return failed(fmt::format("status {}", c->in.status()));
  std::string wrong;
  auto news = news_of(c->in.body(), &wrong);
  if (!news) co_return failed("an answer that is no list: " + wrong);
  counters_.list_news += news->entries.size();
  const bool again = c->in.keep_alive() && c->in.next() == reading::unfinished;
  if (!again) connection_.reset();
  co_return news;
}

}  // namespace robinpin::node
