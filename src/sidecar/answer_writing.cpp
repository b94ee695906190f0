// Writing the answer to a request, held whole or streamed.
#include <fmt/format.h>

#include "../rpc/server.h"
#include "outbound_proxy.h"
#include "proxy_limits.h"

namespace robinpin::sidecar {

namespace {

enum class Framing { none, by_length, chunked, by_end_of_connection };

Framing framing_of(const codec::Message& request, int status, const AnswerStream* stream) {
  if (status == 204 || status == 304) return Framing::none;
  if (!stream || stream->length()) return Framing::by_length;
  return request.minor() > 0 ? Framing::chunked : Framing::by_end_of_connection;
}

std::string framing_header(Framing framing, std::uint64_t length) {
  switch (framing) {
    case Framing::by_length:
      return fmt::format("Content-Length: {}\r\n", length);
    case Framing::chunked:
      return "Transfer-Encoding: chunked\r\n";
    case Framing::none:
    case Framing::by_end_of_connection:
      break;
  }
  return {};
}

}  // namespace

awaitable<bool> OutboundProxy::write_answer(std::shared_ptr<Connection> c, Answer answer, bool has_body,
                                            bool& stays) {
  const auto stream = answer.stream;
  const Framing framing = framing_of(c->in, answer.status, stream.get());
  stays = stays && framing != Framing::by_end_of_connection;
  const std::uint64_t length = stream ? stream->length().value_or(0) : answer.body.size();
  std::string head =
      fmt::format("HTTP/1.1 {} {}\r\n{}{}{}\r\n", answer.status, rpc::phrase(answer.status), answer.headers,
                  framing_header(framing, length), stays ? "" : "Connection: close\r\n");
  if (stream && has_body) {
    const bool is_whole = co_await stream->write_to(c, std::move(head), framing == Framing::chunked);
    if (!is_whole) c->abort();
    co_return is_whole;
  }
  c->hold(std::move(answer.held));
  c->limit(steady::now() + write_limit);
  std::size_t written = 0;
  const std::string_view body = has_body ? std::string_view(answer.body) : std::string_view();
  const asio::error_code error = co_await c->write(head, body, written);
  co_return !error;
}

}  // namespace robinpin::sidecar
