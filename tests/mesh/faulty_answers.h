// What a faulty application server sends in place of an answer: each kind goes on until its caller closes the
// connection.
#pragma once

#include <fmt/format.h>

#include <array>
#include <memory>
#include <string>

#include "processes.h"

namespace robinpin::mesh_test {

enum class FaultyAnswer {
  none,
  endless_header_value,  // a head that never ends
  endless_header_lines,
  interim_answers,         // 1xx one behind another
  body_of_legal_length,    // 64 MiB, as told
  body_until_the_end,      // without a length: it lasts as long as the connection
  chunks,                  // of 64 KiB, without end
  one_byte_chunks,         // without end
  one_endless_chunk,       // of 2^63 - 1 bytes
  endless_trailers,        // behind a last chunk
  stalled_short_answer,    // 60 of 64 KB, then nothing
  bytes_behind_an_answer,  // behind one that is whole
};

// Whether such an answer begins as a sound one of great length: it is passed on as it comes, until its time
// is over.
inline bool begins_as_long_answer(FaultyAnswer kind) {
  switch (kind) {
    case FaultyAnswer::body_of_legal_length:
    case FaultyAnswer::chunks:
    case FaultyAnswer::one_byte_chunks:
    case FaultyAnswer::one_endless_chunk:
      return true;
    default:
      return false;
  }
}

// Writes such an answer, with that status line and those headers of a sound one, until the connection ends.
inline awaitable<void> send_faulty_answer(std::shared_ptr<node::Connection> connection, FaultyAnswer kind,
                                          std::string head) {
  constexpr std::size_t block_bytes = 65'536;
  const auto repeated = [](const std::string& text) {
    std::string all;
    while (all.size() < block_bytes) all += text;
    return all;
  };
  std::string begin = head, again;
  switch (kind) {
    case FaultyAnswer::none:
      co_return;
    case FaultyAnswer::endless_header_value:
      begin += "X-Long: ";
      again = std::string(block_bytes, 'v');
      break;
    case FaultyAnswer::endless_header_lines:
      again = repeated("a: b\r\n");
      break;
    case FaultyAnswer::interim_answers:
      begin = "";
      again = repeated("HTTP/1.1 103 Early Hints\r\n\r\n");
      break;
    case FaultyAnswer::body_of_legal_length:
      begin += "Content-Length: 67108864\r\n\r\n";
      again = std::string(block_bytes, 'b');
      break;
    case FaultyAnswer::body_until_the_end:
      begin += "Connection: close\r\n\r\n";
      again = std::string(block_bytes, 'b');
      break;
    case FaultyAnswer::chunks:
      begin += "Transfer-Encoding: chunked\r\n\r\n";
      again = "10000\r\n" + std::string(block_bytes, 'b') + "\r\n";
      break;
    case FaultyAnswer::one_byte_chunks:
      begin += "Transfer-Encoding: chunked\r\n\r\n";
      again = repeated("1\r\nb\r\n");
      break;
    case FaultyAnswer::one_endless_chunk:
      begin += "Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n";
      again = std::string(block_bytes, 'b');
      break;
    case FaultyAnswer::endless_trailers:
      begin += "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n";
      again = repeated("a: b\r\n");
      break;
    case FaultyAnswer::stalled_short_answer:
      begin += "Content-Length: 64000\r\n\r\n" + std::string(60'000, 'b');
      break;
    case FaultyAnswer::bytes_behind_an_answer:
      begin += "Content-Length: 1\r\n\r\nb";
      again = std::string(block_bytes, 'z');
      break;
  }
  std::size_t written = 0;
  asio::error_code error = co_await connection->write(begin, {}, written);
  while (!error && !again.empty()) error = co_await connection->write(again, {}, written);
  std::array<char, 4'096> dropped{};
  while (!error)
    co_await connection->socket.async_read_some(asio::buffer(dropped),
                                                asio::redirect_error(asio::use_awaitable, error));
}

}  // namespace robinpin::mesh_test
