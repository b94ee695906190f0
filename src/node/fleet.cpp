#include "fleet.h"

#include <fmt/format.h>
#include <time.h>

#include <algorithm>

namespace robinpin::node {

using namespace consensus;
using namespace std::chrono_literals;
using peer::Out;

namespace {

constexpr auto order_limit = 4s;  // of an operator's call, as long as a caller is waited for
constexpr auto beat_limit = 1s;   // for a beat's answer, at the most
constexpr std::size_t most_callers = 64;
constexpr std::size_t longest_text = 64 * 1024;  // bytes of a register, as told to operators

std::string drawn() {
  std::random_device draw;
  return fmt::format("{:08x}{:08x}", unsigned(draw()), unsigned(draw()));
}

peer::Told why(int status, const std::string& text) { return {status, Out().put("why", text).end()}; }

}  // namespace

micros span_clock() {
  timespec t{};
  ::clock_gettime(CLOCK_BOOTTIME, &t);
  return micros(t.tv_sec) * 1'000'000 + t.tv_nsec / 1000;
}

Fleet::Fleet(asio::io_context& io, Sockets& sockets, const config::Fleet& said, Identity me,
             records::Facts& facts)
    : io_(io),
      said_(said),
      me_(std::move(me)),
      incarnation_(drawn()),
      facts_(facts),
      sockets_(sockets),
      store_(said.store.said() ? std::make_unique<store::Store>(said.store.value, said.name.value, me_.name)
                               : nullptr),
      draw_(std::random_device{}()),
      agreement_(io, me_.name + "/" + incarnation_, draw_(),
                 [this](Seat seat, Ask ask, steady::time_point until) {
                   return to_voter(std::move(seat), std::move(ask), until);
                 }),
      listener_(io, sockets_, said.name.value, [this](peer::Call c) { return take(std::move(c)); }) {
  sockets_.evict_by([this] { return listener_.evict(); });
  sockets_.evict_by([this] {
    return std::any_of(callers_.begin(), callers_.end(), [](const auto& c) { return c.second->evict(); });
  });
  if (!store_) return;
  voter_.emplace(store_->memory(), store_->again());
  lasting_ = store_->memory().counter;
  agreement_.know(voter_->memory().voters);
}

// The store's thread may still have answers to hand over: they find nobody.
Fleet::~Fleet() {
  *alive_ = false;
  store_.reset();
}

void Fleet::listen() {
  listener_.listen(endpoint_of(said_.listen.value));
  log::info(log::part::fleet, "{}: of fleet {}, at {}, {}", me_.name, said_.name.value, said_.listen.value,
            !store_                                ? "without a vote"
            : voter_->memory().voters.version == 0 ? "its store belongs to no fleet yet"
            : voter_->standing() == verdict::yes   ? "votes"
                                                   : "asks the other voters before it votes again");
}

// ---- voting

awaitable<bool> Fleet::lasts(std::optional<Change> change) {
  struct Wait {
    explicit Wait(asio::io_context& io) : timer(io, steady::time_point::max()) {}
    asio::steady_timer timer;
    bool over = false, lasts = false;
  };
  const auto wait = std::make_shared<Wait>(io_);
  const std::uint64_t counter = change ? change->counter : 0;
  store_->put(std::move(change), [this, wait, counter, alive = alive_](bool good) {
    asio::post(io_, [this, wait, counter, alive, good] {
      if (!*alive) return;
      if (good) lasting_ = std::max(lasting_, counter);
      wait->over = true;
      wait->lasts = good;
      wait->timer.cancel();
    });
  });
  asio::error_code ignored;
  if (!wait->over) co_await wait->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  if (!wait->lasts) failed();
  co_return wait->lasts;
}

void Fleet::failed() {
  if (std::exchange(store_failed_, true)) return;
  voter_->fail();
  const std::string what = store_->failure();
  log::error(log::part::fleet, "{}: its store failed, it votes no more until it is started anew: {}",
             me_.name, what);
  facts_.agreed("store_failed", what, 0);
}

awaitable<std::optional<Reply>> Fleet::vote(Ask ask) {
  // What can't be kept is not promised either.
  if (store_->full()) co_return std::nullopt;
  ++asks_;
  Heard h = voter_->ask(ask);
  if (h.change && h.change->voters) know(*h.change->voters);
  if (h.reply.how == verdict::not_me || h.reply.how == verdict::older || h.reply.how == verdict::returning)
    co_return h.reply;
  if (!co_await lasts(std::move(h.change))) co_return std::nullopt;
  co_return h.reply;
}

awaitable<std::optional<Reply>> Fleet::to_voter(Seat seat, Ask ask, steady::time_point until) {
  if (voter_ && seat.store == voter_->memory().store) co_return co_await vote(std::move(ask));
  const auto to = caller(address_of(seat));
  if (!to) co_return std::nullopt;
  const peer::Answer a = co_await to->call("/fleet/ask", peer::text_of(ask), until);
  if (a.how != peer::came::answered || a.status != 200) co_return std::nullopt;
  co_return peer::reply_of(a.body);
}

void Fleet::know(const Voters& voters) {
  if (voters.version <= agreement_.voters().version) return;
  agreement_.know(voters);
  log::info(log::part::fleet, "{}: voters, version {}:\n{}", me_.name, voters.version, voters.text());
  facts_.agreed("voters", voters.text(), std::int64_t(voters.version));
}

// ---- whom to call

std::string Fleet::address_of(const Seat& seat) const {
  for (const auto& m : said_.members)
    if (m.name.value == seat.voter) return m.address.value;  // the file knows the way from here
  return seat.address;
}

std::shared_ptr<peer::Caller> Fleet::caller(const std::string& address) {
  if (const auto it = callers_.find(address); it != callers_.end()) return it->second;
  if (callers_.size() >= most_callers) return nullptr;
  try {
    const auto made = std::make_shared<peer::Caller>(
        io_, sockets_, peer::Who{said_.name.value, me_.name, incarnation_}, endpoint_of(address));
    return callers_[address] = made;
  } catch (const read::malformed&) {
    return nullptr;
  }
}

std::vector<std::string> Fleet::voter_addresses() const {
  std::vector<std::string> all;
  for (const Seat& s : agreement_.voters().all())
    if (!voter_ || s.store != voter_->memory().store) all.push_back(address_of(s));
  if (agreement_.voters().version == 0)
    for (const auto& m : said_.members)
      if (m.voter.value && m.name.value != me_.name) all.push_back(m.address.value);
  std::sort(all.begin(), all.end());
  all.erase(std::unique(all.begin(), all.end()), all.end());
  return all;
}

// ---- beats

members::About Fleet::about() const {
  members::About a;
  a.name = me_.name;
  a.incarnation = incarnation_;
  a.hall = me_.hall;
  a.version = me_.version;
  a.config = me_.config;
  a.address = said_.listen.value;
  a.tier = me_.tier;
  a.every = said_.beat.value;
  if (voter_) {
    a.store = voter_->memory().store;
    // Never one that is not on disk yet: a voter that dies now would be taken for an older copy of itself.
    a.counter = lasting_;
  }
  return a;
}

// One coroutine a voter: a silent one costs the others nothing. Phases and waits are drawn, so that hundreds
// that return at once do not come at once.
awaitable<void> Fleet::beat() {
  asio::steady_timer timer(io_);
  for (;;) {
    members_.beat(about(), span_clock());
    const auto wanted = voter_addresses();
    for (const auto& address : wanted)
      if (beating_.try_emplace(address).second)
        asio::co_spawn(io_, beat_to(address),
                       [this, address](std::exception_ptr) { beating_.erase(address); });
    std::erase_if(callers_, [&](const auto& c) {
      return !beating_.contains(c.first) && std::find(wanted.begin(), wanted.end(), c.first) == wanted.end();
    });
    timer.expires_after(std::chrono::microseconds(said_.beat.value));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

awaitable<void> Fleet::beat_to(std::string address) {
  asio::steady_timer timer(io_);
  const auto drawn_part = [this](double from, double to) {
    return std::uniform_real_distribution<>(from, to)(draw_);
  };
  double wait = drawn_part(0, 1);
  for (int missed = 0;;) {
    timer.expires_after(std::chrono::microseconds(micros(wait * double(said_.beat.value))));
    co_await timer.async_wait(asio::use_awaitable);
    const auto wanted = voter_addresses();
    if (std::find(wanted.begin(), wanted.end(), address) == wanted.end()) co_return;
    const auto to = caller(address);
    if (!to) co_return;
    ++beats_;
    const auto limit = std::min<steady::duration>(
        beat_limit, std::chrono::microseconds(std::max<micros>(200'000, 2 * said_.beat.value)));
    const peer::Answer a = co_await to->call("/fleet/beat", peer::text_of(about()), steady::now() + limit);
    std::string cause = a.how == peer::came::answered ? "" : peer::word(a.how);
    if (a.how == peer::came::answered) try {
        const auto d = peer::parsed(a.body);
        if (a.status == 200) {
          const Voters told = peer::voters_of(d);
          know(told);
          if (voter_) {
            // Written before it counts: a voter that forgets who votes could help an earlier majority.
            if (!store_failed_ && !store_->full())
              if (auto c = voter_->told(told)) co_await lasts(std::move(c));
            const auto was = voter_->standing();
            voter_->witnessed(read::text(d, "store", ""), peer::count(d, "saw"));
            if (was != voter_->standing()) {
              const bool older = voter_->standing() == verdict::older;
              older ? log::error(log::part::fleet,
                                 "{}: its store is an older copy of what it was: {} saw change {} of it; it "
                                 "does not vote",
                                 me_.name, address, peer::count(d, "saw"))
                    : log::info(log::part::fleet, "{}: votes again", me_.name);
              facts_.agreed(older ? "older_store" : "votes", address, std::int64_t(peer::count(d, "saw")));
            }
          }
        } else {
          cause = read::text(d, "why", "refused");
        }
      } catch (const read::malformed& wrong) {
        cause = wrong.what();
      }
    beating_[address].second = cause.empty();
    log::Trouble& t = trouble_[address];
    if (cause.empty()) {
      missed = 0;
      if (t.mended())
        log::info(log::part::fleet, "{}: voter at {} is heard again after {} beats", me_.name, address,
                  t.times());
    } else {
      ++beats_failed_;
      ++missed;
      if (t.fails(cause))
        log::warning(log::part::fleet, "{}: voter at {} is not heard: {}", me_.name, address, cause);
    }
    wait = missed == 0 ? drawn_part(0.9, 1.1) : drawn_part(0.5, 1.5) * std::min(4, missed);
  }
}

awaitable<Fleet::Told> Fleet::taken_beat(const peer::Call& call) {
  const members::About a = peer::about_of(call.body);
  if (a.name != call.from || a.incarnation != call.incarnation)
    co_return why(400, "the beat is another node's than the call");
  ++beats_taken_;
  switch (members_.beat(a, span_clock())) {
    case members::Table::taken::full:
      co_return why(503, fmt::format("{} members are the most", members::most_members));
    case members::Table::taken::twice:
      log::error(log::part::fleet, "{}: two processes beat as {}: a paused one that came back, or a copy",
                 me_.name, a.name);
      facts_.agreed("twice", a.name, 0);
      break;
    case members::Table::taken::fresh:
      facts_.agreed("member", a.name, 0);
      break;
    case members::Table::taken::restarted:
      facts_.agreed("restarted", a.name, 0);
      break;
    case members::Table::taken::known:
      break;
  }
  Out out;
  peer::put(out, agreement_.voters());
  if (voter_) {
    out.put("store", voter_->memory().store);
    // What it saw before counts as an answer to who comes up again, so first that, then the news.
    if (!a.store.empty()) {
      out.put("saw", voter_->seen_of(a.store));
      if (!store_failed_ && !store_->full())
        if (auto c = voter_->saw(a.store, a.counter)) co_await lasts(std::move(c));
    }
  }
  co_return Told{200, out.end()};
}

// ---- calls from others

awaitable<Fleet::Told> Fleet::take(peer::Call call) {
  if (call.path == "/fleet/beat") co_return co_await taken_beat(call);
  if (call.path == "/fleet/ask") co_return co_await asked(call);
  if (call.path == "/fleet/hello") co_return co_await hello();
  if (call.path == "/fleet/found") co_return co_await founded(call);
  if (call.path == "/fleet/order") co_return co_await order(call);
  co_return why(404, "no such call");
}

awaitable<Fleet::Told> Fleet::asked(const peer::Call& call) {
  if (!voter_) co_return why(404, "has no store, and no vote");
  const auto reply = co_await vote(peer::ask_of(call.body));
  if (!reply) co_return why(503, store_failed_ ? "its store failed" : "its store is full of work");
  co_return Told{200, peer::text_of(*reply)};
}

awaitable<Fleet::Told> Fleet::hello() {
  Out out;
  out.put("name", me_.name).put("address", said_.listen.value);
  if (voter_) out.put("store", voter_->memory().store);
  peer::put(out, agreement_.voters());
  co_return Told{200, out.end()};
}

awaitable<Fleet::Told> Fleet::founded(const peer::Call& call) {
  if (!voter_) co_return why(404, "has no store, and no vote");
  const Voters v = peer::voters_of(peer::parsed(call.body));
  const Voters known = voter_->memory().voters;
  if (known.version > 0 && !(known.version == 1 && known == v))
    co_return why(400, fmt::format("its store belongs to voters of version {} already", known.version));
  if (auto c = voter_->found(v)) {
    if (!co_await lasts(std::move(c))) co_return why(503, "its store failed");
  } else if (known.version == 0) {
    co_return why(400, "its store is not among those voters");
  }
  know(v);
  co_return Told{200, "{}"};
}

// ---- operators' calls

awaitable<Fleet::Told> Fleet::order(const peer::Call& call) {
  const auto d = peer::parsed(call.body);
  const std::string what = read::text(d, "do", "");
  const auto within = std::chrono::milliseconds(
      std::clamp<std::int64_t>(std::int64_t(peer::count(d, "within_ms")), 0, 4'000));
  const auto until = steady::now() + (within > 0ms ? within : order_limit);
  if (what == "get") co_return co_await get(d, until);
  if (what == "set") co_return co_await set(d, until);
  if (what == "status") co_return co_await status(until);
  if (what == "init") co_return co_await init(until);
  if (what == "change") co_return co_await change(d, until);
  co_return why(404, "no such order");
}

namespace {

peer::Told ended(const Outcome& o) {
  Out out;
  out.put("how", word(o.how));
  if (o.how == fate::chosen || o.how == fate::refused)
    out.put("version", o.value.version).put("text", o.value.text).put("by", o.value.by);
  return {200, out.end()};
}

// Named before it is awaited: this compiler ends a braced temporary in a co_await twice (GCC's bug 98401 and
// its kin).
Want reading(std::string name) { return {wish::read, std::move(name), 0, "", ""}; }

std::string register_of(const read::value& o, bool writes) {
  std::string name = read::text(read::need(o, "name"), "name");
  if (name.empty() || name.size() > longest_name)
    read::wrong(fmt::format("name is not from 1 to {} bytes", longest_name));
  if (writes && name == voters_register) read::wrong("the voters are changed by add, remove and replace");
  return name;
}

}  // namespace

awaitable<Fleet::Told> Fleet::get(const value& o, steady::time_point until) {
  const Want w = reading(register_of(o, false));
  co_return ended(co_await agreement_.settle(w, until));
}

awaitable<Fleet::Told> Fleet::set(const value& o, steady::time_point until) {
  Want w{wish::write, register_of(o, true), peer::count(o, "version"), read::text(o, "text", ""),
         read::text(o, "by", "")};
  if (w.text.size() > longest_text)
    co_return why(400, fmt::format("the value is over {} bytes", longest_text));
  const bool again = !w.by.empty() && read::flag(o, "again");
  if (w.by.empty()) w.by = agreement_.fresh_mark();
  const Outcome end = co_await agreement_.settle(w, until, again);
  if (end.how == fate::chosen) facts_.agreed("written", w.name, std::int64_t(end.value.version));
  co_return ended(end);
}

void Fleet::put(Out& out, const std::vector<members::Seen>& all) {
  out.list("members", all, [](Out& m, const members::Seen& s) {
    m.put("name", s.about.name)
        .put("incarnation", s.about.incarnation)
        .put("hall", s.about.hall)
        .put("tier", s.about.tier)
        .put("version", s.about.version)
        .put("config", s.about.config)
        .put("address", s.about.address)
        .put("store", s.about.store)
        .put("is", members::word(s.is))
        .put("suspicion", std::min(300.0, s.suspicion))
        .put("since_us", std::int64_t(s.since))
        .put("last_us", std::int64_t(s.last))
        .put("starts", s.starts)
        .put("twice", s.twice);
  });
}

awaitable<std::optional<std::vector<members::Seen>>> Fleet::members_heard(steady::time_point until) {
  const auto seat = [this] {
    for (const Seat& s : agreement_.voters().all())
      if (voter_ && s.store == voter_->memory().store) return true;
    return false;
  };
  // Before there are voters nobody knows more than this node, and those asked would ask in turn.
  if (seat() || agreement_.voters().version == 0) co_return members_.all(span_clock());
  for (const auto& address : voter_addresses()) {
    const auto to = caller(address);
    if (!to) continue;
    const auto a = co_await to->call("/fleet/order", R"({"do":"status","within_ms":500})",
                                     std::min(until, steady::now() + 700ms));
    if (a.how != peer::came::answered || a.status != 200) continue;
    const auto d = peer::parsed(a.body);
    std::vector<members::Seen> all;
    read::each(read::need(d, "members"), "members", [&](const value& m) {
      members::Seen s;
      s.about.name = read::text(m, "name", "");
      s.about.incarnation = read::text(m, "incarnation", "");
      s.about.hall = read::text(m, "hall", "");
      s.about.version = read::text(m, "version", "");
      s.about.config = read::text(m, "config", "");
      s.about.address = read::text(m, "address", "");
      s.about.store = read::text(m, "store", "");
      s.about.tier = int(read::number(m, "tier", 0));
      const std::string is = read::text(m, "is", "");
      s.is = is == "heard"      ? members::standing::heard
             : is == "doubtful" ? members::standing::doubtful
                                : members::standing::silent;
      s.suspicion = read::number(m, "suspicion", 0);
      s.since = std::int64_t(read::number(m, "since_us", 0));
      s.last = std::int64_t(read::number(m, "last_us", 0));
      s.starts = int(read::number(m, "starts", 1));
      s.twice = read::flag(m, "twice");
      all.push_back(std::move(s));
    });
    co_return all;
  }
  co_return std::nullopt;
}

// Whether a majority answers is tried, not guessed.
awaitable<Fleet::Told> Fleet::status(steady::time_point until) {
  const auto before = steady::now();
  const Want voters = reading(std::string(voters_register));
  const Outcome o = co_await agreement_.settle(voters, std::min(until, before + 1500ms));
  const auto heard = co_await members_heard(until);
  const Voters& v = agreement_.voters();
  Out out;
  out.put("fleet", said_.name.value).put("me", me_.name).put("incarnation", incarnation_);
  out.put("majority", o.how == fate::chosen).put("voters_version", v.version).put("changing", v.changing());
  if (voter_)
    out.put("vote", store_failed_ ? "store failed"
                    : voter_->standing() == verdict::yes
                        ? (v.seat(voter_->memory().store) ? "votes" : "no seat")
                    : voter_->standing() == verdict::older ? "older copy"
                                                           : "returning")
        .put("store", voter_->memory().store)
        .put("counter", lasting_)
        .put("registers", std::uint64_t(voter_->memory().slots.size()));
  const auto seats = v.all();
  out.list("voters", seats, [&](Out& s, const Seat& seat) {
    const auto among = [&](const auto& set) {
      return std::any_of(set.begin(), set.end(), [&](const Seat& x) { return x.store == seat.store; });
    };
    std::string is = "not heard";
    if (heard)
      for (const auto& m : *heard)
        if (m.about.name == seat.voter)
          is = m.about.store == seat.store ? members::word(m.is) : "another store";
    s.put("voter", seat.voter).put("store", seat.store).put("address", seat.address).put("is", is);
    if (v.changing()) s.put("change", !among(v.next) ? "leaves" : !among(v.now) ? "comes" : "stays");
  });
  put(out, heard.value_or(std::vector<members::Seen>{}));
  out.put("members_known", heard.has_value());
  co_return Told{200, out.end()};
}

// The first voters of a fleet: each of those that the file names has to be there and to agree.
awaitable<Fleet::Told> Fleet::init(steady::time_point until) {
  if (agreement_.voters().version > 0)
    co_return why(
        400, fmt::format("the fleet is founded: its voters have version {}", agreement_.voters().version));
  Voters v;
  v.version = 1;
  for (const auto& m : said_.members) {
    if (!m.voter.value) continue;
    if (m.name.value == me_.name) {
      if (!voter_) co_return why(400, fmt::format("{} is to vote and has no store", me_.name));
      v.now.push_back({me_.name, voter_->memory().store, said_.listen.value});
      continue;
    }
    const auto to = caller(m.address.value);
    const peer::Answer a = co_await to->call("/fleet/hello", "{}", std::min(until, steady::now() + 1s));
    if (a.how != peer::came::answered)
      co_return why(503, fmt::format("{} at {} is {}: nothing was done", m.name.value, m.address.value,
                                     peer::word(a.how)));
    const auto d = peer::parsed(a.body);
    if (a.status != 200) co_return why(400, fmt::format("{}: {}", m.name.value, read::text(d, "why", "")));
    if (read::text(d, "name", "") != m.name.value)
      co_return why(
          400, fmt::format("at {} is {}, not {}", m.address.value, read::text(d, "name", ""), m.name.value));
    if (read::text(d, "store", "").empty())
      co_return why(400, fmt::format("{} is to vote and has no store", m.name.value));
    if (peer::voters_of(d).version > 1)
      co_return why(400, fmt::format("{} belongs to a fleet already", m.name.value));
    v.now.push_back({m.name.value, read::text(d, "store", ""), read::text(d, "address", "")});
  }
  Out body;
  peer::put(body, v);
  const std::string text = body.end();
  // In this order: who has agreed to nothing can be asked again, with the same voters.
  for (const Seat& s : v.now) {
    Told t;
    if (voter_ && s.store == voter_->memory().store) {
      const peer::Call own{"", me_.name, incarnation_, text};
      t = co_await founded(own);
    } else {
      const auto a =
          co_await caller(address_of(s))->call("/fleet/found", text, std::min(until, steady::now() + 1s));
      t = a.how == peer::came::answered ? Told{a.status, a.body} : why(503, peer::word(a.how));
    }
    if (t.status != 200)
      co_return why(t.status, fmt::format("{}: {}; ask again once it is mended", s.voter,
                                          read::text(peer::parsed(t.body), "why", "")));
  }
  know(v);
  co_return co_await status(until);
}

awaitable<Fleet::Told> Fleet::change(const value& o, steady::time_point until) {
  const std::string out = read::text(o, "remove", ""), in = read::text(o, "add", "");
  const bool force = read::flag(o, "force");
  Want voters = reading(std::string(voters_register));
  voters.what = wish::settle;
  const Outcome stands = co_await agreement_.settle(voters, until);
  if (stands.how != fate::chosen) co_return why(503, "no majority of the voters answers");
  if (const auto v = Voters::read(stands.value.version, stands.value.text)) know(*v);
  const std::vector<Seat> as_begun;
  if (agreement_.voters().changing() && !co_await agreement_.change(as_begun, until))
    co_return why(503, "a change is under way and could not be ended; ask again");
  const Voters now = agreement_.voters();
  std::vector<Seat> wanted = now.now;
  const auto heard = co_await members_heard(until);
  if (!heard) co_return why(503, "no voter tells who is heard");
  std::string done;
  if (!out.empty()) {
    const auto gone = std::erase_if(wanted, [&](const Seat& s) { return s.voter == out; });
    if (gone == 0) co_return why(400, fmt::format("{} is no voter", out));
  }
  if (!in.empty()) {
    const auto m =
        std::find_if(heard->begin(), heard->end(), [&](const auto& s) { return s.about.name == in; });
    if (m == heard->end()) co_return why(400, fmt::format("{} is not heard of: start it first", in));
    if (m->about.store.empty()) co_return why(400, fmt::format("{} has no store, and can't vote", in));
    if (std::any_of(wanted.begin(), wanted.end(), [&](const Seat& s) { return s.voter == in; }))
      co_return why(400, fmt::format("{} is a voter", in));
    if (now.seat(m->about.store)) co_return why(400, fmt::format("{} has the store that votes already", in));
    wanted.push_back({in, m->about.store, m->about.address});
  }
  if (wanted.empty() || wanted.size() > most_voters)
    co_return why(400, fmt::format("{} voters can't be", wanted.size()));
  std::set<std::string> live;
  std::string missing;
  for (const Seat& s : wanted) {
    const bool is = std::any_of(heard->begin(), heard->end(), [&](const auto& m) {
      return m.about.store == s.store && m.is == members::standing::heard;
    });
    if (is)
      live.insert(s.store);
    else
      missing += (missing.empty() ? "" : ", ") + s.voter;
  }
  // All that is left has to carry one failure less than before, or it is said what is given up.
  if (2 * live.size() <= wanted.size() && !force)
    co_return why(
        400,
        fmt::format(
            "of {} voters {} would be live ({} not heard): no majority, every register would stand still; "
            "--force does it all the same",
            wanted.size(), live.size(), missing));
  if (!co_await agreement_.change(wanted, until))
    co_return why(503, "the change is under way and did not end in time; ask again, or see status");
  // Who votes now is told at once; whoever misses it is told at its next call.
  for (const auto& set : {now.now, wanted})
    for (const Seat& s : set) {
      Ask a;
      a.what = phase::names;
      a.store = s.store;
      a.voters = agreement_.voters();
      asio::co_spawn(io_, to_voter(s, a, steady::now() + 1s),
                     [](std::exception_ptr, const std::optional<Reply>&) {});
    }
  co_return co_await status(until);
}

// ---- told without asking anybody

std::string Fleet::told() const {
  const Voters& v = agreement_.voters();
  Out out;
  out.put("fleet", said_.name.value)
      .put("me", me_.name)
      .put("incarnation", incarnation_)
      .put("voters_version", v.version)
      .put("changing", v.changing());
  const auto seats = v.all();
  out.list("voters", seats, [](Out& o, const Seat& s) { o.put("voter", s.voter).put("address", s.address); });
  if (voter_)
    out.put("vote", store_failed_                          ? "store failed"
                    : voter_->standing() == verdict::yes   ? "votes"
                    : voter_->standing() == verdict::older ? "older copy"
                                                           : "returning");
  std::vector<std::pair<std::string, bool>> heard;
  for (const auto& [address, b] : beating_) heard.emplace_back(address, b.second);
  out.list("beats", heard, [](Out& o, const auto& b) { o.put("to", b.first).put("heard", b.second); });
  return out.end() + "\n";
}

std::string Fleet::figures() const {
  std::string out;
  const auto one = [&](const char* name, const char* type, const char* help, std::uint64_t n) {
    out += fmt::format("# HELP svc_fleet_{0} {2}\n# TYPE svc_fleet_{0} {1}\nsvc_fleet_{0} {3}\n", name, type,
                       help, n);
  };
  one("beats_total", "counter", "Beats to voters.", beats_);
  one("beats_failed_total", "counter", "Beats that no voter answered.", beats_failed_);
  one("voters_heard", "gauge", "Voters that answered the last beat.",
      std::uint64_t(
          std::count_if(beating_.begin(), beating_.end(), [](const auto& b) { return b.second.second; })));
  one("voters_version", "gauge", "Version of the voters that this node knows.", agreement_.voters().version);
  one("tries_total", "counter", "Tries at calls on registers.", agreement_.tries);
  one("outbid_total", "counter", "Tries that another one outbid.", agreement_.outbid);
  one("unknown_total", "counter", "Writes whose outcome is not known.", agreement_.unknown);
  one("strangers_total", "counter", "Calls turned away: another fleet, a newer format, no name.",
      listener_.strangers());
  if (!voter_) return out;
  const auto f = store_->figures();
  one("votes_now", "gauge", "1 if this node may vote.", voter_->standing() == verdict::yes ? 1 : 0);
  one("store_failed", "gauge", "1 if its store failed: it votes no more.", store_failed_ ? 1 : 0);
  one("asks_total", "counter", "Calls that this voter answered.", asks_);
  one("store_commits_total", "counter", "Commits of its store.", f.commits);
  one("store_writes_total", "counter", "Writes in them.", f.writes);
  one("store_longest_us", "gauge", "The longest commit, microseconds.", f.longest_us);
  one("registers", "gauge", "Registers that this voter keeps.", voter_->memory().slots.size());
  one("members", "gauge", "Members that beat to this voter.", members_.size());
  one("beats_taken_total", "counter", "Beats of members.", beats_taken_);
  return out;
}

}  // namespace robinpin::node
