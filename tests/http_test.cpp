#include "help.h"

using namespace robinpin;
using namespace robinpin::help::net;

namespace {

reading feed(Message& m, std::string_view text, std::size_t step) {
  reading r = reading::unfinished;
  for (; !text.empty() && r == reading::unfinished; text.remove_prefix(std::min(step, text.size()))) {
    const auto [to, size] = m.room();
    const std::size_t n = std::min({step, size, text.size()});
    std::copy_n(text.data(), n, to);
    r = m.take(n);
  }
  return r;
}

}  // namespace

TEST_CASE("a message is the same in whatever pieces it comes") {
  const std::size_t step = GENERATE(1, 2, 7, 1000);
  Message m(HTTP_REQUEST);
  REQUIRE(feed(m, "POST /api?k=a HTTP/1.1\r\nRequest-Id: r1 \r\nTENANT: x\r\nContent-Length: 5\r\n\r\nhello",
               step) == reading::complete);
  CHECK(m.method() == "POST");
  CHECK(m.target() == "/api?k=a");
  CHECK(m.header("request-id") == "r1");
  CHECK(m.header("Tenant") == "x");
  CHECK(m.header("none").empty());
  CHECK(m.body() == "hello");
  CHECK(m.keep_alive());
}

TEST_CASE("chunks are joined in place, whatever their size lines") {
  const std::size_t step = GENERATE(1, 3, 1000);
  Message m(HTTP_RESPONSE);
  REQUIRE(feed(m,
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0004\r\ndefg\r\n0\r\nT: "
               "u\r\n\r\n",
               step) == reading::complete);
  CHECK(m.body() == "abcdefg");
  CHECK(m.header("T").empty());
}

// Guards against a sender that keeps a process busy with chunks that carry next to nothing.
TEST_CASE("chunks of a few bytes are read, as long as the body is worth their number") {
  constexpr std::size_t legal_body = 4 * 1024 * 1024;
  const auto [chunk, chunks, expected] = GENERATE(table<std::string, int, reading>(
      {{"1\r\nb\r\n", 10'000, reading::complete},
       {"1\r\nb\r\n", 30'000, reading::malformed},
       {"10\r\n0123456789abcdef\r\n", 200'000, reading::complete},
       {"1;" + std::string(1'000, 'x') + "\r\nb\r\n", 100, reading::malformed}}));
  std::string text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int n = 0; n < chunks; ++n) text += chunk;
  Message m(HTTP_REQUEST, {.head = 16 * 1024, .body = legal_body});
  CHECK(feed(m, text + "0\r\n\r\n", 1000) == expected);
}

TEST_CASE("what comes behind a message is the next one") {
  const auto m = message("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
  CHECK(m->target() == "/a");
  CHECK(m->behind());
  CHECK(m->next() == reading::complete);
  CHECK(m->target() == "/b");
  CHECK(m->next() == reading::unfinished);
  CHECK_FALSE(m->begun());
}

TEST_CASE("a body that goes to the end of the connection is whole then, one cut short is not") {
  const auto open = message("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", HTTP_RESPONSE);
  CHECK(open->ended() == reading::complete);
  CHECK(open->body() == "hello");
  CHECK(message("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", HTTP_RESPONSE)->ended() ==
        reading::malformed);
}

TEST_CASE("what is no message, or too long a one, is said to be so") {
  const std::string a(80 * 1024, 'a');
  const auto [text, what] = GENERATE_COPY(table<std::string, reading>(
      {{"nonsense\r\n\r\n", reading::malformed},
       {"GET / HTTP/2.0\r\n\r\n", reading::malformed},
       {"GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", reading::malformed},
       {"GET / HTTP/1.1\r\nA: " + a + "\r\n\r\n", reading::head_too_long},
       {"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", reading::body_too_long},
       {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n14000\r\n" + a, reading::body_too_long}}));
  Message m(HTTP_REQUEST);
  CHECK(feed(m, text, 1000) == what);
}

TEST_CASE("the memory of a long message is given back, its connection's fate is kept") {
  const auto m = message("POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + std::string(60000, 'x'));
  REQUIRE(m->body().size() == 60000);
  m->let_go();
  CHECK(m->body().empty());
  CHECK(m->keep_alive());
  CHECK(m->next() == reading::unfinished);
  CHECK(feed(*m, "GET /b HTTP/1.1\r\n\r\n", 5) == reading::complete);
}

TEST_CASE("a whole number has digits and nothing else") {
  CHECK(whole_number("480") == 480);
  for (const char* none : {"", "-1", "+1", " 1", "1.5", "0x1", "99999999999999999999"})
    CHECK(whole_number(none) == -1);
}

// Guards against a peer that makes a process hold memory for a request that never begins.
TEST_CASE("empty lines before a message take no memory, and have an end") {
  Message m(HTTP_REQUEST, {4'096, 4'096});
  REQUIRE(feed(m, std::string(4'000, '\n'), 100) == reading::unfinished);
  CHECK(m.footprint() < 4'096);
  REQUIRE(feed(m, "GET /a HTTP/1.1\r\n\r\n", 3) == reading::complete);
  CHECK(m.target() == "/a");
  CHECK(m.next() == reading::unfinished);
  CHECK(feed(m, std::string(8'192, '\n'), 100) == reading::head_too_long);
}

// Guards against short header lines that take a multiple of their length.
TEST_CASE("the table of a head's lines is counted, and given back") {
  Message m(HTTP_REQUEST, {64 * 1'024, 0});
  std::string head = "GET / HTTP/1.1\r\n";
  for (int i = 0; i < 10'000; ++i) head += "a:\r\n";
  REQUIRE(feed(m, head, 1'000) == reading::unfinished);
  CHECK(m.footprint() > head.size() + 10'000 * 16);
  REQUIRE(feed(m, "\r\n", 2) == reading::complete);
  CHECK(m.headers() == 10'000);
  CHECK(m.next() == reading::unfinished);
  CHECK(m.footprint() < 16 * 1'024);
}
