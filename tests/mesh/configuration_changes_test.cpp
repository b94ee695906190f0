// A whole mesh of real processes on loopback whose configuration changes without pause while clients call and
// processes are killed, stopped or emptied. What operators, clients and servers saw is judged by the rules
// CONFIG (a change that was acknowledged is in force, and never taken back) and LOST (no request read whole
// ends without an answer). ROBINPIN_PLAY_SECONDS plays longer, ROBINPIN_PLAY_SEED plays one seed again.
#include "mesh_processes.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using namespace robinpin::mesh_test;

namespace {

constexpr std::chrono::milliseconds converge = 2500ms, contact = 3s;  // of the envelope
constexpr auto limit = 30s;  // for what has to come, on a slow machine too
constexpr std::chrono::seconds request_time = 4s, client_patience = 12s;
constexpr auto route_rests = 4s;  // between two changes of a route, so that its last one can be judged
const std::vector<std::string> services{"alpha", "beta", "gamma"};

long long milliseconds(steady::duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

// A version of a route, as it was sent.
struct Version {
  std::map<std::string, int> gains;  // by service; empty: the route is dropped
  std::string deadline;
  std::optional<steady::time_point> acknowledged;
  // Whether a request may end so: run by that service, or, without one, refused as on no route.
  bool allows(const std::string& service) const {
    return service.empty() ? gains.empty() : gains.contains(service);
  }
  std::string text() const {
    std::string told = deadline;
    for (const auto& [service, gain] : gains) told += fmt::format(" {}:{}", service, gain);
    return gains.empty() ? "dropped" : told;
  }
};

struct Route {
  std::map<std::uint64_t, Version> versions{{0, {}}};  // 0: before the first one
  bool first = false;                                  // it stands since before the traffic
  steady::time_point changed{};
  std::uint64_t newest() const { return versions.rbegin()->first; }
  std::uint64_t acknowledged(steady::time_point before) const {
    std::uint64_t found = 0;
    for (const auto& [number, v] : versions)
      if (v.acknowledged && *v.acknowledged < before) found = number;
    return found;
  }
  // The least version from `floor` on that allows such an end, if any does.
  std::optional<std::uint64_t> least(std::uint64_t floor, const std::string& service) const {
    for (auto v = versions.lower_bound(floor); v != versions.end(); ++v)
      if (v->second.allows(service)) return v->first;
    return std::nullopt;
  }
};

// A call of an operator, whole: its body and which versions it brings.
struct Change {
  std::string body;
  std::vector<std::pair<std::string, std::uint64_t>> brings;
  std::uint64_t idle = 0;  // the version of the idle bound, if it has one
};

class Play {
 public:
  Play(int cores, std::uint32_t seed, std::chrono::seconds least)
      : core_(loop_, seed), chance_(seed), cores_(cores), least_(least) {}
  ~Play() { end_all(); }
  Play(const Play&) = delete;
  Play& operator=(const Play&) = delete;

  // What was broken, a line each; the figures are printed.
  std::string run() {
    bool over = false;
    asio::co_spawn(loop_.io, whole(), [&](std::exception_ptr thrown) {
      if (thrown) broken("the play threw");
      over = true;
    });
    while (!over) loop_.io.run_one();
    end_all();
    fmt::print(
        "{} cores: {} changes, {} refused, {} reads, {} requests on first and {} on later routes, {} "
        "uploads, {} long answers, {} without a verdict, oldest handling {} ms after an acknowledgement\n",
        cores_, changes_, refused_, reads_, handled_[1], handled_[0], uploads_, long_answers_,
        unserved_[0] + unserved_[1], milliseconds(oldest_handling_));
    return told_;
  }

 private:
  static constexpr int sidecars = 6, clients = 3, first_routes = 200, big = 500;
  enum class client_kind { short_requests, uploads };

  int drawn(int below) { return int(chance_() % std::uint32_t(below)); }
  void broken(const std::string& what) {
    if (++faults_ <= 12) told_ += "\n" + what;  // the first of them tell the cause
  }
  awaitable<void> pause(steady::duration time) { return core_.span(time); }

  void end_all() {
    spinning_.clear();
    for (auto& s : sidecars_) s->process().tell(SIGKILL);
    for (auto& s : sidecars_) s->process().kill();
    core_.end_all();
  }

  awaitable<void> whole() {
    co_await begin();
    if (faults_ > 0) co_return;
    begun_ = steady::now();
    for (int n = 0; n < 2; ++n) spawn(operate(n));
    spawn(read_all_the_time());
    for (int n = 0; n < sidecars; ++n)
      for (int c = 0; c < clients; ++c)
        spawn(call(n, c == 0 ? client_kind::uploads : client_kind::short_requests));
    do co_await all_faults();
    while (steady::now() - begun_ < least_);
    const auto enough = [&] {
      return changes_ >= 100 && refused_ >= 5 && repeated_ >= 5 && reads_ >= 20 && handled_[0] >= 20 &&
             handled_[1] >= 200 && uploads_ >= 5 && long_answers_ >= 5 && big_taken_;
    };
    const bool happened = co_await core_.eventually(limit, enough);
    ending_ = true;
    const auto idle = [&] { return active_ == 0; };
    if (!co_await core_.eventually(4 * limit, idle)) broken("an operator or a client never ends");
    co_await look_at_the_end();
    const auto share = [&](int first) {
      return handled_[first] / double(handled_[first] + unserved_[first]);
    };
    if (share(0) * 4 < share(1))
      broken(fmt::format("routes added later are served {:.2f}, the first {:.2f}", share(0), share(1)));
    if (!happened) broken("void: too little happened to judge by");
  }
  void spawn(awaitable<void> what) {
    ++active_;
    asio::co_spawn(loop_.io, std::move(what), [this](std::exception_ptr thrown) {
      --active_;
      if (thrown) broken("an operator or a client threw");
    });
  }

  // All processes, with the first configuration; drawn again where an address was taken.
  awaitable<void> begin() {
    for (int tries = 0; tries < 5; ++tries) {
      sidecars_.clear();
      core_.begin(cores_);
      try {
        for (int n = 0; n < sidecars; ++n) {
          sidecars_.push_back(
              std::make_unique<Sidecar>(loop_, core_, 20 + n, services[std::size_t(n) % 3], arrived_));
          sidecars_.back()->start();
        }
      } catch (const std::runtime_error&) {
        continue;
      }
      std::vector<Wording> all;
      routes_.clear(), names_.clear();
      for (int n = 0; n < first_routes; ++n)
        all.push_back(next_of(fmt::format("first{}-{}", n % 2, n), false));
      for (auto& [name, route] : routes_) route.first = true;
      const int status = co_await acknowledged(change_of(all, true));
      bool up = status == 200;
      for (auto& s : sidecars_) up = co_await ready(*s) && up;
      if (up) co_return;
    }
    broken("void: no mesh comes up");
  }
  awaitable<bool> ready(Sidecar& s) {
    for (const auto until = steady::now() + limit; steady::now() < until && s.process().running();) {
      auto c = std::make_shared<node::Connection>(tcp::socket(loop_.io), loop_.sockets, HTTP_RESPONSE,
                                                  message_limits);
      c->limit(steady::now() + 1s);
      asio::error_code error = co_await c->connect(s.readiness());
      std::size_t written = 0;
      if (!error)
        error = co_await c->write("GET /v1/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", {},
                                  written);
      if (!error) co_await c->read(error);
      if (!error && c->in.status() == 200) {
        s.serves = true;
        co_return true;
      }
      co_await pause(20ms);
    }
    co_return false;
  }

  // ---- Operators

  using Wording = std::pair<std::string, Version>;
  static bool takes_uploads(const std::string& name) { return name.ends_with("0"); }

  // The next version of a route: another service, a split, a time-out, or none any more.
  Wording next_of(const std::string& name, bool drops) {
    Route& r = routes_[name];
    if (r.newest() == 0) names_.push_back(name);
    const std::uint64_t number = r.newest() + 1 + std::uint64_t(drawn(3));
    Version v;
    if (!drops) {
      const auto& old = r.versions.rbegin()->second.gains;
      for (const auto& s : services)  // none of those before, so that old and new can be told apart
        if (!old.contains(s) && (v.gains.empty() || drawn(3) == 0)) v.gains[s] = 10 + drawn(90);
      if (v.gains.empty()) v.gains[services[std::size_t(drawn(3))]] = 1;
      v.deadline = fmt::format("{}ms", 4'000 + drawn(1'000));
    }
    r.versions[number] = v;
    r.changed = steady::now();
    return {name, v};
  }
  static std::string record_of(const std::string& name, const Version& v, std::uint64_t number) {
    std::vector<std::string> parts;
    for (const auto& [service, gain] : v.gains)
      parts.push_back(fmt::format(R"({{"target":"{}","gain":{}}})", service, gain));
    return fmt::format(R"(["{0}","a.example","/{0}/","{1}","{2}","{3:08x}",[{4}]])", name,
                       takes_uploads(name) ? "inflow" : "idempotent", v.deadline, number,
                       fmt::join(parts, ","));
  }
  static std::string body_of(const std::vector<std::string>& set, const std::vector<std::string>& drop,
                             const std::string& rest = "") {
    return fmt::format(
        R"({{"apply":{{"channels":{{"axes":["label","authority","path_prefix","mode","deadline","revision","distribution"],"records":[{}]}}{}}},)"
        R"("remove":{{"channels":[{}]}}}})",
        fmt::join(set, ","), rest, fmt::join(drop, ","));
  }
  Change change_of(const std::vector<Wording>& items, bool with_services = false, bool with_idle = false) {
    Change c;
    std::vector<std::string> set, drop, known;
    for (const auto& [name, v] : items) {
      const std::uint64_t number = routes_[name].newest();
      c.brings.emplace_back(name, number);
      if (v.gains.empty())
        drop.push_back(fmt::format(R"({{"label":"{}","revision":"{:08x}"}})", name, number));
      else
        set.push_back(record_of(name, v, number));
    }
    std::string rest;
    if (with_services) {
      for (const auto& s : services)
        known.push_back(fmt::format(R"(["{}","/probe",130,"h1",false,"3s",2100.0,"00000001"])", s));
      rest = fmt::format(
          R"(,"targets":{{"axes":["label","probe","conn_limit","protocol","tls","warmup","warmup_per_s","revision"],"records":[{}]}})",
          fmt::join(known, ","));
    }
    if (with_services || with_idle)
      rest += fmt::format(
          R"(,"saturation":{{"header_bytes":16384,"body_bytes":67108864,"header":"3000ms","idle":"{}ms","revision":"{:08x}"}})",
          8'000 + drawn(8'000), c.idle = ++idle_version_);
    c.body = body_of(set, drop, rest);
    return c;
  }
  // Sends it until the answer is clear, to one core after the other.
  awaitable<int> answered(std::string body) {
    const int from = drawn(cores_);
    for (const auto until = steady::now() + limit; steady::now() < until;) {
      for (int n = 0; n < cores_; ++n) {
        const Answer a =
            co_await core_.call(1 + (from + n) % cores_, "POST", "/v1/Configuration.Adjust", body, 1s);
        if (a.clear()) co_return a.status;
      }
      co_await pause(20ms);
    }
    co_return 0;
  }
  awaitable<int> acknowledged(Change c) {
    ++orders_open_;
    const int status = co_await answered(c.body);
    --orders_open_;
    if (status != 200) {
      broken(fmt::format("a valid change of {} is answered {}", c.brings.front().first, status));
      co_return status;
    }
    ++changes_;
    idle_acknowledged_ = std::max(idle_acknowledged_, c.idle);
    for (const auto& [name, number] : c.brings) routes_[name].versions[number].acknowledged = steady::now();
    co_return status;
  }

  awaitable<void> operate(int me) {
    std::vector<std::string> mine;  // of those that this operator alone changes
    for (const auto& [name, r] : routes_)
      if (name[5] == '0' + me) mine.push_back(name);
    std::vector<Change> taken;
    bool big_sent = me != 0;
    for (int added = 0; !ending_; co_await pause(std::chrono::milliseconds(5 + drawn(40)))) {
      std::vector<Wording> items;
      const int what = drawn(20);
      if (!big_sent && steady::now() - begun_ > 1s) {
        big_sent = true;
        for (int n = 0; n < big; ++n) items.push_back(next_of(fmt::format("big-{}", n), false));
      } else if (what == 0 && !taken.empty()) {
        const Change& again = taken[std::size_t(drawn(int(taken.size())))];
        const int status = co_await answered(again.body);
        if (status != 200)
          broken(fmt::format("a change of {} that was acknowledged is answered {}",
                             again.brings.front().first, status));
        ++repeated_;
        continue;
      } else if (what == 1) {
        co_await send_invalid(mine[std::size_t(drawn(int(mine.size())))]);
        continue;
      } else if (what < 4 && added < 200) {
        mine.push_back(fmt::format("later{}-{}", me, added++));
        items.push_back(next_of(mine.back(), false));
      } else {
        for (int tries = 0; tries < 20 && int(items.size()) <= drawn(3); ++tries) {
          const std::string& name = mine[std::size_t(drawn(int(mine.size())))];
          const Route& r = routes_[name];
          if (steady::now() - r.changed < route_rests) continue;
          items.push_back(next_of(name, !r.first && drawn(3) == 0));
        }
        if (items.empty()) continue;
      }
      Change c = change_of(items, false, me == 0 && drawn(5) == 0);
      if (const int status = co_await acknowledged(c); status != 200) continue;
      big_taken_ = big_taken_ || c.brings.size() >= big;
      for (const auto& [name, number] : c.brings) routes_[name].changed = steady::now();
      taken.push_back(std::move(c));
    }
  }
  // A higher version of a route in a call that is faulty elsewhere; the number is never used again.
  awaitable<void> send_invalid(std::string name) {
    Version v;
    v.gains = {{services[std::size_t(drawn(3))], 1}}, v.deadline = "3777ms";
    const std::uint64_t number = routes_[name].newest() + 100;
    const std::string good = record_of(name, v, number);
    const std::vector<std::string> faulty{
        R"(["bad","a.example","/bad/","idempotent","4000ms","00000001",[{"target":"nobody","gain":1}]])",
        R"(["bad","a.example","/bad/","idempotent","4000ms","00000001",[{"target":"alpha","gain":0}]])",
        R"(["bad","","/bad/","idempotent","4000ms","00000001",[{"target":"alpha","gain":1}]])",
        R"(["bad","a.example","/bad/","careless","4000ms","00000001",[{"target":"alpha","gain":1}]])",
        R"(["bad","a.example","/bad/","idempotent","601s","00000001",[{"target":"alpha","gain":1}]])"};
    std::string body = body_of({good, faulty[std::size_t(drawn(int(faulty.size())))]}, {});
    if (drawn(6) == 0) body = body_of({good}, {}).substr(0, body.size() / 2);
    const int status = co_await answered(body);
    if (status / 100 != 4) broken(fmt::format("an invalid change is answered {}: {}", status, body));
    ++refused_;
  }

  awaitable<void> read_all_the_time() {
    while (!ending_) {
      co_await read(1 + drawn(cores_));
      co_await pause(std::chrono::milliseconds(20 + drawn(100)));
    }
  }
  // What it read holds what was acknowledged before it was asked, or something newer.
  awaitable<bool> read(int n) {
    const auto asked = steady::now();
    const std::uint64_t idle = idle_acknowledged_;
    const Answer a = co_await core_.call(n, "GET", "/v1/Configuration.Read", "", 2s);
    if (a.status != 200) co_return false;
    ++reads_;
    rapidjson::Document d;
    d.Parse(a.body.data(), a.body.size());
    if (d.HasParseError() || !d.HasMember("channels") || !d.HasMember("saturation")) {
      broken(fmt::format("core {} reads no configuration", n));
      co_return false;
    }
    if (std::stoull(d["saturation"]["revision"].GetString(), nullptr, 16) < idle)
      broken("an older idle bound is read");
    std::map<std::string, std::pair<std::uint64_t, std::string>> found;
    std::map<std::string, rapidjson::SizeType> axis;
    for (const auto& name : d["channels"]["axes"].GetArray())
      axis.emplace(name.GetString(), rapidjson::SizeType(axis.size()));
    for (const auto& r : d["channels"]["records"].GetArray()) {
      Version v;
      v.deadline = r[axis.at("deadline")].GetString();
      for (const auto& part : r[axis.at("distribution")].GetArray())
        v.gains[part["target"].GetString()] = int(part["gain"].GetDouble());
      found[r[axis.at("label")].GetString()] = {std::stoull(r[axis.at("revision")].GetString(), nullptr, 16),
                                                v.text()};
    }
    for (const auto& [name, r] : routes_) {
      const std::uint64_t floor = r.acknowledged(asked);
      const auto it = found.find(name);
      const bool good = it == found.end()
                            ? r.least(floor, "").has_value()
                            : it->second.first >= floor && r.versions.contains(it->second.first) &&
                                  r.versions.at(it->second.first).text() == it->second.second;
      if (!good)
        broken(fmt::format(
            "core {} reads {} {}, and {} was acknowledged", n, name,
            it == found.end() ? "dropped" : fmt::format("{} {}", it->second.first, it->second.second),
            floor));
    }
    for (const auto& [name, text] : found)
      if (!routes_.contains(name))
        broken(fmt::format("core {} reads {}, which no valid change brought", n, name));
    co_return true;
  }

  // ---- Clients

  awaitable<void> call(int n, client_kind kind) {
    Sidecar& s = *sidecars_[std::size_t(n)];
    std::shared_ptr<node::Connection> kept;
    while (!ending_) {
      co_await pause(std::chrono::milliseconds(drawn(kind == client_kind::uploads ? 120 : 20)));
      const std::string name = names_[std::size_t(drawn(int(names_.size())))];
      if (s.serves && takes_uploads(name) == (kind == client_kind::uploads))
        kept = co_await request(s, std::move(kept), name);
    }
  }
  // Sends a request and judges how it ends; gives the connection back if it lasts.
  awaitable<std::shared_ptr<node::Connection>> request(Sidecar& s, std::shared_ptr<node::Connection> c,
                                                       std::string name) {
    asio::error_code error;
    if (c && !c->quiet()) c.reset();  // closed while it was idle
    const bool kept = bool(c);
    if (!kept) {
      c = std::make_shared<node::Connection>(tcp::socket(loop_.io), loop_.sockets, HTTP_RESPONSE,
                                             message_limits);
      c->limit(steady::now() + client_patience);
      error = co_await c->connect(s.outbound());
      if (error) co_return nullptr;
    }
    const bool uploads = takes_uploads(name), lasts = !uploads && !ending_ && drawn(30) == 0;
    const std::string body(uploads ? std::size_t(100'000 + drawn(900'000)) : 0, 'u');
    const std::string id = fmt::format("{:016x}", ++attempts_);
    const std::string head = fmt::format(
        "{} /{}/{} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {}\r\nX-Remaining-Ms: {}\r\nContent-Length: "
        "{}\r\n\r\n",
        uploads ? "POST" : "GET", name, lasts ? "long" : "short", id, milliseconds(request_time),
        body.size());
    const int incarnation = s.incarnation;
    const auto sent = steady::now();
    Route& r = routes_[name];
    const std::uint64_t seen = s.seen[name];
    c->limit(sent + client_patience);
    ++s.requests_open;
    std::size_t written = 0;
    error = co_await c->write(head, body, written);
    const bool whole = !error;
    auto got = codec::reading::unfinished;
    if (!error) got = co_await c->read(error);
    --s.requests_open;
    if (incarnation != s.incarnation) co_return nullptr;  // its sidecar was killed
    const auto ended = steady::now();
    if (got != codec::reading::complete) {
      judge_cut(s, fmt::format("{} of {} at {}", id, name, s.outbound().address().to_string()), sent, ended,
                whole && kept, c->in.begun(), c->ran_out(), arrived_.contains(id));
      co_return nullptr;
    }
    const int status = c->in.status();
    if (status == 200 || status == 404) {
      const std::string seal(c->in.header("X-Server-Seal"));
      judge(s, r, name, status == 404 ? "" : seal.substr(0, seal.find('.')), sent, seen);
      if (status == 200) ++handled_[r.first], uploads_ += uploads, long_answers_ += lasts;
    } else {
      ++unserved_[r.first];
      if (status < 500 && status != 429 && status != 408 && status != 421)
        broken(fmt::format("{} is answered {}", name, status));
    }
    if (!c->in.keep_alive() || c->in.next() == codec::reading::malformed) co_return nullptr;
    co_return c;
  }
  // CONFIG. `service`: that ran it, none for a 404. `seen`: what this process had shown before it was sent.
  void judge(Sidecar& s, const Route& r, const std::string& name, const std::string& service,
             steady::time_point sent, std::uint64_t seen) {
    const auto told = [&](std::uint64_t floor) {
      return fmt::format("{} at {} is {} {} ms after the start, and version {} was", name,
                         s.outbound().address().to_string(),
                         service.empty() ? "answered 404" : "run by " + service, milliseconds(sent - begun_),
                         floor);
    };
    for (const auto& [number, v] : r.versions) {
      if (!v.acknowledged || *v.acknowledged >= sent || r.least(number, service)) continue;
      const auto age = sent - *v.acknowledged;
      if (sent < s.disturbed_until) break;
      oldest_handling_ = std::max<steady::duration>(oldest_handling_, age);
      if (age > converge) broken(told(number) + fmt::format(" acknowledged {} ms before", milliseconds(age)));
      break;
    }
    const auto shown = r.least(seen, service);
    if (!shown) broken(told(seen) + " in force there before");
    if (shown) s.seen[name] = std::max(s.seen[name], *shown);
  }
  // LOST: no whole answer came.
  void judge_cut(const Sidecar& s, const std::string& told, steady::time_point sent, steady::time_point ended,
                 bool read_whole, bool answer_begun, bool ran_out, bool arrived) {
    const bool late = ended - sent > request_time * 7 / 10;
    const auto age = fmt::format("{} {} ms after it was sent, {} ms after the start",
                                 arrived ? "passed on" : "not passed on", milliseconds(ended - sent),
                                 milliseconds(ended - begun_));
    if (ran_out) {
      if (sent > s.disturbed_until) broken(fmt::format("{} gets no answer: {}", told, age));
    } else if (!answer_begun && (read_whole || arrived) && !late) {
      broken(fmt::format("{} is closed without an answer: {}", told, age));
    } else if (answer_begun && !late && sent > trouble_ + contact) {
      broken(fmt::format("the answer to {} is cut: {}", told, age));
    }
  }

  // ---- Faults

  awaitable<void> all_faults() {
    std::vector<int> kinds{0, 1, 2, 3, 4, 5, 6};
    std::shuffle(kinds.begin(), kinds.end(), chance_);
    for (const int kind : kinds) {
      const int n = 1 + drawn(cores_);
      Sidecar& s = *sidecars_[std::size_t(drawn(sidecars))];
      fmt::print("{} ", kind), std::fflush(stdout);
      if (kind == 0)
        co_await lose_core(n, false);
      else if (kind == 1)
        co_await lose_core(n, true);
      else if (kind == 2)
        co_await stop_core(n);
      else if (kind == 3)
        co_await kill_sidecar(s);
      else if (kind == 4)
        co_await stop_sidecars(s);
      else if (kind == 5)
        co_await change_settings(s);
      else
        co_await be_busy();
    }
  }
  std::chrono::milliseconds span() { return std::chrono::milliseconds(300 + drawn(1'200)); }
  awaitable<void> when_orders_are_open() {
    const auto open = [&] { return orders_open_ > 0; };
    if (!co_await core_.eventually(limit, open)) broken("void: a fault met no order");
  }
  awaitable<void> when_requests_are_open(const Sidecar& s) {
    const auto open = [&] { return s.requests_open > 0; };
    if (!co_await core_.eventually(limit, open)) broken("void: a fault met no request");
  }
  awaitable<void> lose_core(int n, bool disk_too) {
    co_await when_orders_are_open();
    core_.kill(n);
    if (disk_too) core_.empty(n);
    co_await pause(span());
    core_.start(n);
    co_await votes_again(n);
  }
  awaitable<void> stop_core(int n) {
    co_await when_orders_are_open();
    co_await core_.stop(n);
    co_await pause(span());
    core_.wake(n);
    co_await votes_again(n);
  }
  awaitable<void> votes_again(int n) {
    for (const auto until = steady::now() + limit; steady::now() < until; co_await pause(20ms)) {
      const Answer a = co_await core_.call(n, "GET", "/v1/status", "", 1s);
      rapidjson::Document d;
      d.Parse(a.body.data(), a.body.size());
      if (a.status == 200 && !d.HasParseError() && d["copy_whole"].GetBool() && d["votes"].GetBool() &&
          !d["changing"].GetBool())
        co_return;
    }
    broken(fmt::format("core {} never votes again", n));
  }
  awaitable<void> kill_sidecar(Sidecar& s) {
    co_await when_requests_are_open(s);
    s.serves = false, ++s.incarnation, s.seen.clear();
    s.process().kill();
    trouble_ = steady::now();
    co_await pause(span());
    s.start();
    const bool is_ready = co_await ready(s);  // gcc 12 traps where the condition itself waits here
    if (!is_ready) broken("a sidecar is never ready again");
    trouble_ = steady::now();
  }
  // One sidecar of each service at once.
  awaitable<void> stop_sidecars(Sidecar& first) {
    co_await when_requests_are_open(first);
    const auto from = sidecars_.begin() + 3 * drawn(2), to = from + 3;
    std::for_each(from, to, [](auto& s) {
      s->disturbed_until = steady::time_point::max() - 1h;
      s->process().tell(SIGSTOP);
    });
    trouble_ = steady::time_point::max() - 1h;
    co_await pause(span());
    trouble_ = steady::now();
    std::for_each(from, to, [this](auto& s) {
      s->process().tell(SIGCONT);
      s->disturbed_until = trouble_ + contact;
    });
  }
  awaitable<void> change_settings(Sidecar& s) {
    co_await when_requests_are_open(s);
    const int before = s.settings_taken();
    s.change_settings();
    const auto taken = [&] { return s.settings_taken() > before; };
    if (!co_await core_.eventually(limit, taken)) broken("void: a changed settings file is not taken on");
  }
  awaitable<void> be_busy() {
    for (unsigned n = 0; n < std::thread::hardware_concurrency(); ++n)
      spinning_.emplace_back([](std::stop_token over) {
        while (!over.stop_requested()) {
        }
      });
    co_await pause(span());
    spinning_.clear();
  }

  // ---- At the end

  // All cores read back all that was acknowledged; each sidecar handles each route by its newest version.
  awaitable<void> look_at_the_end() {
    for (int n = 1; n <= cores_; ++n) {
      bool good = co_await read(n);
      for (const auto until = steady::now() + limit; !good && steady::now() < until; good = co_await read(n))
        co_await pause(20ms);
      if (!good) broken(fmt::format("core {} does not read back", n));
    }
    const auto last = steady::now();
    const auto in_force = [&] { return steady::now() > std::max(last + converge, trouble_ + contact); };
    co_await core_.eventually(limit, in_force);
    for (auto& s : sidecars_) {
      std::shared_ptr<node::Connection> kept;
      int served = 0, asked = 0;
      for (const auto& name : names_) {
        if (takes_uploads(name) || routes_[name].versions.rbegin()->second.gains.empty()) continue;
        const int before = handled_[0] + handled_[1];
        kept = co_await request(*s, std::move(kept), name);
        ++asked, served += handled_[0] + handled_[1] - before;
      }
      if (served * 4 < asked) broken(fmt::format("of {} routes {} are served at the end", asked, served));
    }
  }

  Loop loop_;  // outlives all that runs on it
  Core core_;
  std::mt19937 chance_;
  const int cores_;
  const std::chrono::seconds least_;
  std::set<std::string> arrived_;
  std::vector<std::unique_ptr<Sidecar>> sidecars_;
  std::vector<std::jthread> spinning_;
  std::map<std::string, Route> routes_;
  std::vector<std::string> names_;
  std::uint64_t attempts_ = 0, idle_version_ = 0, idle_acknowledged_ = 0;
  steady::time_point begun_{}, trouble_{};  // when a sidecar was last killed or stopped
  steady::duration oldest_handling_{};
  int active_ = 0, orders_open_ = 0, faults_ = 0, changes_ = 0, refused_ = 0, repeated_ = 0, reads_ = 0;
  int handled_[2] = {}, unserved_[2] = {};  // [1]: on the first routes
  int uploads_ = 0, long_answers_ = 0;
  bool ending_ = false, big_taken_ = false;
  std::string told_;
};

void play(int cores) {
  const char *seconds = std::getenv("ROBINPIN_PLAY_SECONDS"), *told = std::getenv("ROBINPIN_PLAY_SEED");
  const auto seed = std::uint32_t(told ? std::stoul(told) : std::random_device{}());
  fmt::print("seed {} ", seed), std::fflush(stdout);
  const std::string broken = Play(cores, seed, std::chrono::seconds(seconds ? std::stol(seconds) : 0)).run();
  if (!broken.empty()) FAIL((fmt::format("seed {}", seed) + broken).c_str());
}

}  // namespace

TEST_GROUP(ProcessChanges){};

TEST(ProcessChanges, a_change_is_not_in_force_or_a_request_is_lost_with_three_cores) { play(3); }
TEST(ProcessChanges, a_change_is_not_in_force_or_a_request_is_lost_with_five_cores) { play(5); }
