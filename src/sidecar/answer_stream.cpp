#include "answer_stream.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "disconnect_watch.h"
#include "proxy_limits.h"

namespace robinpin::sidecar {

namespace {
constexpr std::chrono::seconds stall_limit{5};        // a client that takes no piece for so long is given up
constexpr std::chrono::milliseconds slow_write{100};  // who takes as long for a piece is a slow client
}  // namespace

AnswerStream::AnswerStream(std::shared_ptr<Connection> from, steady::time_point until,
                           std::function<void()> on_complete)
    : from_(std::move(from)), until_(until), on_complete_(std::move(on_complete)) {}

AnswerStream::~AnswerStream() {
  if (!is_complete_) from_->abort();
}

awaitable<bool> AnswerStream::write_to(std::shared_ptr<Connection> to, std::string head, bool is_chunked) {
  to->set_streamed_from(from_);
  {
    const DisconnectWatch watch(to, nullptr, [this] { from_->abort(); });
    is_complete_ = co_await write_chunks(*to, std::move(head), is_chunked);
  }
  to->set_streamed_from(nullptr);
  if (is_complete_) std::exchange(on_complete_, nullptr)();
  co_return is_complete_;
}

awaitable<bool> AnswerStream::write_chunks(Connection& to, std::string head, bool is_chunked) {
  std::string before = std::move(head);
  for (;;) {
    const std::string_view body = from_->in.body();
    const bool is_chunk = is_chunked && !body.empty();
    if (is_chunk) before += fmt::format("{:x}\r\n", body.size());
    bool goes_on = co_await write_chunk(to, before, body);
    if (!goes_on) co_return false;
    before = is_chunk ? "\r\n" : "";
    if (from_->in.is_complete()) break;
    goes_on = co_await read_chunk();
    if (!goes_on || !to.open()) co_return false;
  }
  if (!is_chunked) co_return true;
  before += "0\r\n\r\n";
  const bool is_ended = co_await write_chunk(to, before, {});
  co_return is_ended;
}

awaitable<bool> AnswerStream::write_chunk(Connection& to, std::string_view before, std::string_view body) {
  from_->no_limit();
  const auto begun = steady::now();
  to.limit(begun + std::min<steady::duration>(stall_limit, write_limit - waited_for_client_));
  std::size_t written = 0;
  const asio::error_code error = co_await to.write(before, body, written);
  to.no_limit();
  const auto taken = steady::now() - begun;
  if (taken >= slow_write) waited_for_client_ += taken;
  co_return !error;
}

awaitable<bool> AnswerStream::read_chunk() {
  from_->limit(until_ + std::min<steady::duration>(waited_for_client_, write_limit));
  from_->in.pass_on();
  asio::error_code error;
  const codec::reading got = co_await from_->more(error);
  co_return !error && (got == codec::reading::unfinished || got == codec::reading::complete);
}

awaitable<codec::reading> read_answer(Connection& from, asio::error_code& error, std::size_t longest) {
  const bool is_streamed = longest > AnswerStream::buffered_bytes;
  codec::reading got = from.in.is_complete()
                           ? codec::reading::complete
                           : co_await from.read(error, std::min(longest, AnswerStream::buffered_bytes));
  if (!is_streamed || got != codec::reading::longer) co_return got;
  while (from.in.body().size() < AnswerStream::first_bytes) {
    got = co_await from.more(error);
    if (error || got != codec::reading::unfinished) co_return got;
  }
  co_return codec::reading::longer;
}

}  // namespace robinpin::sidecar
