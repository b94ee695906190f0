// Long bodies and answers: passed on as they come, in every form, within a bounded room.
#include "help.h"

using namespace robinpin;
using namespace robinpin::help;
using namespace robinpin::help::net;
using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;

namespace {

const std::string long_body = [] {
  std::string s(1'500'000, 0);
  for (std::size_t i = 0; i < s.size(); ++i) s[i] = char('a' + i * i % 26);
  return s;
}();

std::string chunked(const std::string& body, std::size_t piece, const std::string& trailer = "") {
  std::string out;
  for (std::size_t at = 0; at < body.size(); at += piece) {
    const std::string part = body.substr(at, piece);
    out += fmt::format("{:x};why=not\r\n", part.size()) + part + "\r\n";
  }
  return out + "0\r\n" + trailer + "\r\n";
}

constexpr Limits wide = {16 * 1024, 8 * 1024 * 1024};

std::string unframed(const std::string& answer, http_parser_type kind = HTTP_RESPONSE) {
  const auto m = message(answer, kind, wide);
  if (!m->is_complete()) m->ended();
  return m->is_complete() ? std::string(m->body()) : "not whole";
}

// Takes all that comes, says something once `after` bytes have, and keeps what it got.
struct Taker {
  tcp::acceptor acceptor;
  std::string says, got;  // the last message
  std::size_t after;
  bool closed_on = false;
  int connections = 0;
  Taker(asio::io_context& io, std::string answer, std::size_t n = 0)
      : acceptor(io, here), says(std::move(answer)), after(n) {
    asio::co_spawn(io, run(), asio::detached);
  }
  awaitable<void> run() {
    for (;;) {
      tcp::socket s = co_await acceptor.async_accept(asio::use_awaitable);
      ++connections;
      std::string now;
      for (std::string bytes(100'000, 0);;) {
        asio::error_code error;
        const auto n =
            co_await s.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        if ((closed_on = bool(error))) break;
        now.append(bytes, 0, n);
        if (after > 0 ? now.size() < after : unframed(now, HTTP_REQUEST) == "not whole") continue;
        got = std::exchange(now, {});
        co_await asio::async_write(s, asio::buffer(says), asio::redirect_error(asio::use_awaitable, error));
      }
    }
  }
};

struct Caller {  // sends in pieces, reads until its answer is whole or the end
  std::string heard;
  asio::error_code end;
  bool done = false;
  awaitable<void> run(asio::io_context& io, tcp::endpoint to, std::string bytes, std::size_t piece) {
    tcp::socket s(io);
    co_await s.async_connect(to, asio::use_awaitable);
    for (std::size_t at = 0; at < bytes.size() && !end; at += piece)
      co_await asio::async_write(s, asio::buffer(bytes.data() + at, std::min(piece, bytes.size() - at)),
                                 asio::redirect_error(asio::use_awaitable, end));
    end = {};
    Message m(HTTP_RESPONSE, wide);
    for (reading got = reading::unfinished; !end && (got == reading::unfinished || !m.keep_alive());) {
      std::string some(m.room().second, 0);
      const auto n =
          co_await s.async_read_some(asio::buffer(some), asio::redirect_error(asio::use_awaitable, end));
      heard.append(some, 0, n);
      std::copy_n(some.data(), n, m.room().first);
      got = m.take(n);
    }
    done = true;
  }
};

struct Streams : Parts {
  Streams() { listens(); }
  Caller call(const std::string& bytes, std::size_t piece = 1 << 20) {
    Caller c;
    asio::co_spawn(io, c.run(io, clients.at(), bytes, piece), asio::detached);
    until(c.done);
    return c;
  }
};

std::string with(const std::string& id, const std::string& scheme, const std::string& framing) {
  std::string r = request(id, scheme);
  r.replace(r.find("Content-Length: 0"), 17, framing);
  return r;
}

}  // namespace

TEST_CASE("a long body reaches the server whole and once, told or in chunks, for every kind of scheme") {
  const auto [framing, bytes] = GENERATE(table<std::string, std::string>(
      {{"Content-Length: " + std::to_string(long_body.size()), long_body},
       {"Transfer-Encoding: chunked", chunked(long_body, 70'001, "Trailer-Field: x\r\n")}}));
  const std::string scheme = GENERATE("add", "pay");
  Streams p;
  Taker s(p.io, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  p.knows("a", s.acceptor.local_endpoint());
  const Caller c = p.call(with("1", scheme, framing) + bytes);
  CHECK(unframed(c.heard) == "ok");
  CHECK(unframed(s.got, HTTP_REQUEST) == long_body);
  CHECK((s.connections == 1 && p.counters.postings_written == 1 && p.clients.pending() == 0));
}

TEST_CASE("a long answer reaches the client whole in every form, also where it knows no chunks") {
  const std::string all = "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n";
  const std::string answer =
      all + GENERATE(as<std::string>(), "Content-Length: 1500000\r\n\r\n" + long_body,
                     "Transfer-Encoding: chunked\r\n\r\n" + chunked(long_body, 9'999, "T: x\r\n"),
                     "Connection: close\r\n\r\n" + long_body);
  const std::string version = GENERATE("HTTP/1.1", "HTTP/1.0");
  Streams p;
  StandIn s(p.io, answer, true);
  p.knows("a", s.at());
  std::string ask = request("1");
  const Caller c = p.call(ask.replace(ask.find("HTTP/1.1"), 8, version), 1);
  CHECK_THAT(c.heard.substr(0, 300), Contains("Content-Type: a/b"));
  CHECK(unframed(c.heard) == long_body);
  CHECK((version == "HTTP/1.1" || c.heard.find("chunked") == std::string::npos));
  CHECK(p.counters.ended(0).settled == 1);
}

TEST_CASE(
    "an answer that breaks off after its first bytes is failed so that the client can tell, and is not asked "
    "again") {
  const std::string answer =
      "HTTP/1.1 200 OK\r\n" + GENERATE(as<std::string>(), "Content-Length: 1500000\r\n\r\n",
                                       "Transfer-Encoding: chunked\r\n\r\n100000\r\n");
  Streams p;
  StandIn s(p.io, answer + long_body.substr(0, 900'000), true);
  p.knows("a", s.at());
  const Caller c = p.call(request("1"));
  CHECK(unframed(c.heard) == "not whole");
  CHECK((c.end && s.got.size() == 1));
  CHECK((p.counters.ended(0).reversed == 1 && p.counters.ended(0).settled == 0));
}

// What is let go can't be sent again; but the last byte was not written, so that nothing ran.
TEST_CASE(
    "a server that turns away in the midst of a long body leaves the txn declined, and nothing goes "
    "elsewhere") {
  Streams p;
  Taker early(p.io, "HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", 400'000);
  p.knows("a", early.acceptor.local_endpoint());
  const Caller d = p.call(with("2", "pay", "Content-Length: 40000000") + long_body + long_body);
  CHECK_THAT(d.heard, StartsWith("HTTP/1.1 503"));
  CHECK((early.connections == 1 && p.counters.postings_written == 0));
}

TEST_CASE("a long body goes to another server while nothing of it was let go") {
  Streams p;
  Taker s(p.io, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  p.knows("none", endpoint_of("127.0.0.1:1"));
  p.knows("a", s.acceptor.local_endpoint());
  for (int i = 0; i < 4; ++i)
    CHECK(unframed(p.call(with(std::to_string(i), "add", "Content-Length: 1500000") + long_body).heard) ==
          "ok");
}

TEST_CASE("a client that breaks off its long body takes its txn with it") {
  Streams p;
  Taker s(p.io, "");
  p.knows("a", s.acceptor.local_endpoint());
  {
    const tcp::socket client =
        p.opened(with("1", "add", "Content-Length: 1500000") + long_body.substr(0, 300'000));
    CHECK(p.comes([&] { return p.clients.pending() == 1 && p.sockets.open() == 2; }));
  }
  CHECK(p.comes([&] { return p.clients.pending() == 0 && s.closed_on && p.sockets.open() == 0; }));
  CHECK(p.counters.clients_left == 1);
}

// Its length is not told, and over 64 KiB the first bytes count: to wait for those would make it late.
TEST_CASE("of an answer in chunks that come slowly the first are passed on while the rest has yet to come") {
  Streams p;
  StandIn s(p.io, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  p.knows("a", s.at());
  tcp::socket client = p.opened(request("1"));
  CHECK_THAT(p.listen_to(client, 1000ms), Contains("200 OK") && Contains("abc") && !Contains("\r\n0\r\n"));
  CHECK(p.clients.pending() == 1);
}

TEST_CASE("a client that waits for the word to go on is given it") {
  Streams p;
  StandIn s(p.io, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  p.knows("a", s.at());
  tcp::socket client = p.opened(with("1", "pay", "Expect: 100-continue\r\nContent-Length: 3"));
  CHECK(p.listen_to(client, 1000ms) == "HTTP/1.1 100 Continue\r\n\r\n");
  asio::write(client, asio::buffer(std::string("abc")));
  CHECK_THAT(p.listen_to(client), Contains("200 OK"));
  CHECK(s.got[0].find("Expect") == std::string::npos);
}

TEST_CASE("a client that does not read holds up no other, and little of its answer is in the node") {
  Streams p;
  StandIn s(p.io, "HTTP/1.1 200 OK\r\nContent-Length: 1500000\r\n\r\n" + long_body);
  p.knows("a", s.at());
  tcp::socket still = p.opened(request("1"));
  still.set_option(asio::socket_base::receive_buffer_size(4096));
  CHECK(p.comes([&] { return p.clients.pending() == 1; }));
  CHECK(unframed(p.call(request("2")).heard) == long_body);
  CHECK(p.clients.pending() == 1);
}

TEST_CASE("at one byte a read a body that is passed on takes the room of what it has not passed on") {
  Message m(HTTP_REQUEST, {16 * 1024, 1 << 20});
  const std::string text =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(long_body.substr(0, 50'000), 77);
  std::string got;
  reading r = reading::unfinished;
  for (const char c : text + "GET / HTTP/1.1\r\n\r\n") {
    const auto [to, size] = m.room();
    CHECK_FALSE(size > 8 * 1024);
    *to = c;
    if (r == reading::complete) break;
    r = m.take(1);
    got += m.body();
    m.pass_on();
  }
  CHECK(got == long_body.substr(0, 50'000));
  CHECK(m.came() == 50'000);
  CHECK(m.next() == reading::unfinished);
}

TEST_CASE(
    "while its body is coming a txn is not late, nor its server at work, and both are once it is whole") {
  Balancer b = knowing({"a"});
  Said coming;
  coming.coming = true;
  REQUIRE(b.txn_taken(noon, "t", 0, -1, 300 * ms, 0, {}, coming).sends.size() == 1);
  CHECK(b.servers["a"].out.empty());
  CHECK(b.still_coming(noon + 5000 * ms, "t", 5000 * ms, false).finals.empty());
  CHECK(b.still_coming(noon + 6000 * ms, "t", 1000 * ms, true).finals.empty());
  CHECK(b.servers["a"].out == std::vector<micros>{noon + 6000 * ms});
  CHECK(b.still_coming(noon + 9000 * ms, "t", 3000 * ms, false).finals.size() == 1);  // whole: its time runs
}

TEST_CASE("a byte now and then does not hold a transfer for ever, and a slow one is let be") {
  CHECK(too_slow(stall_limit + 1s, 5));
  CHECK_FALSE(too_slow(stall_limit + 1s, 2 * least_pace));
  CHECK_FALSE(too_slow(stall_limit / 2, 0));
}
