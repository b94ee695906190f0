// The rest of a long answer: it goes on to its client piece by piece as it comes from its server, at the pace
// of the slower side. What a client does not read stays at the server, however long the answer is.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "../net/connection.h"

namespace robinpin::sidecar {

using asio::awaitable;
using node::Connection;
using node::steady;

class AnswerStream {
 public:
  // Bytes of body: an answer up to that is held whole.
  static constexpr std::size_t buffered_bytes = 64 * 1024;
  // So much of a longer one has come before its head goes on; until then another's may take its place.
  static constexpr std::size_t first_bytes = 48 * 1024;

  // `from`: its head and the beginning of its body are read. `until`: its server has sent all of it by then,
  // but for the time that its client takes to read. `on_complete` is called once all of it has been passed
  // on.
  AnswerStream(std::shared_ptr<Connection> from, steady::time_point until, std::function<void()> on_complete);
  ~AnswerStream();
  AnswerStream(const AnswerStream&) = delete;
  AnswerStream& operator=(const AnswerStream&) = delete;

  // Bytes of body; none: it comes in chunks.
  std::optional<std::uint64_t> length() const { return from_->in.content_length(); }
  // Whether its server's connection stands; that of an answer that waits while others are tried may end.
  bool is_open() const { return from_->open(); }
  // Writes `head` and the body to `to`, in chunks where it says so. False: it broke off on either side, and
  // the connection must be aborted, so that its peer can tell.
  awaitable<bool> write_to(std::shared_ptr<Connection> to, std::string head, bool is_chunked);

 private:
  awaitable<bool> write_chunks(Connection& to, std::string head, bool is_chunked);
  // Counts the time that a slow client takes for it.
  awaitable<bool> write_chunk(Connection& to, std::string_view before, std::string_view body);
  awaitable<bool> read_chunk();

  const std::shared_ptr<Connection> from_;
  const steady::time_point until_;
  std::function<void()> on_complete_;
  steady::duration waited_for_client_{};
  bool is_complete_ = false;
};

// Reads an answer until it is whole or, where it is to be streamed, until the first bytes of it have come
// (`longer`). One that is known to have over `longest` bytes of body is not read on.
awaitable<codec::reading> read_answer(Connection& from, asio::error_code& error, std::size_t longest);

}  // namespace robinpin::sidecar
