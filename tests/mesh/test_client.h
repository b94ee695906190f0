// A client of real processes: each call goes over a connection of its own.
#pragma once

#include <fmt/format.h>

#include <memory>
#include <string>

#include "processes.h"

namespace robinpin::mesh_test {

class TestClient {
 public:
  explicit TestClient(Loop& loop) : loop_(loop) {}

  // With a constructor: gcc 12 destroys a temporary without one twice where it is waited for.
  struct Outcome {
    explicit Outcome(int answered = 0, bool whole = false) : status(answered), is_whole(whole) {}
    int status;     // of the answer's head; 0: none came
    bool is_whole;  // all of the answer has come; else its connection ended before that, or the limit did
  };

  // What became of a call, within the limit. The body of its answer is dropped as it comes. `headers`: each
  // with its line end.
  awaitable<Outcome> outcome_of(tcp::endpoint to, std::string method, std::string path, std::string headers,
                                std::string body, steady::duration limit) {
    const auto c = std::make_shared<node::Connection>(tcp::socket(loop_.io), loop_.sockets, HTTP_RESPONSE,
                                                      answer_limits);
    c->limit(steady::now() + limit);
    asio::error_code error = co_await c->connect(to);
    const std::string head =
        fmt::format("{} {} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n{}Content-Length: {}\r\n\r\n",
                    method, path, headers, body.size());
    std::size_t written = 0;
    if (!error) error = co_await c->write(head, body, written);
    codec::reading got = codec::reading::unfinished;
    while (!error && got == codec::reading::unfinished) {
      got = co_await c->more(error);
      if (got == codec::reading::unfinished) c->in.pass_on();
    }
    const bool has_head = c->in.is_complete() || c->in.content_length() || c->in.open_ended();
    co_return Outcome(has_head ? c->in.status() : 0, !error && got == codec::reading::complete);
  }

  // The status of the answer; 0: none came whole within the limit.
  awaitable<int> call(tcp::endpoint to, std::string method, std::string path, std::string headers,
                      std::string body, steady::duration limit = 5s) {
    const Outcome outcome = co_await outcome_of(to, std::move(method), std::move(path), std::move(headers),
                                                std::move(body), limit);
    co_return outcome.is_whole ? outcome.status : 0;
  }

  // The same under an attempt id of its own and with four seconds to be answered.
  awaitable<int> request(tcp::endpoint to, std::string method, std::string path, std::string body = "",
                         steady::duration limit = 5s) {
    const Outcome outcome =
        co_await outcome_of_request(to, std::move(method), std::move(path), std::move(body), limit);
    co_return outcome.is_whole ? outcome.status : 0;
  }
  awaitable<Outcome> outcome_of_request(tcp::endpoint to, std::string method, std::string path,
                                        std::string body, steady::duration limit) {
    std::string headers = fmt::format("X-Attempt-Id: r{}\r\nX-Remaining-Ms: 4000\r\n", ++requests_);
    const Outcome outcome = co_await outcome_of(to, std::move(method), std::move(path), std::move(headers),
                                                std::move(body), limit);
    co_return outcome;
  }

  // Requests again until it is answered 200 or the time is over; the last status.
  awaitable<int> request_until_served(tcp::endpoint to, std::string method, std::string path,
                                      std::string body, steady::duration time) {
    for (const auto until = steady::now() + time;;) {
      const int status = co_await request(to, method, path, body);
      if (status == 200 || steady::now() > until) co_return status;
      asio::steady_timer pause(loop_.io, 20ms);
      co_await pause.async_wait(asio::use_awaitable);
    }
  }

 private:
  static constexpr codec::Limits answer_limits = {16 * 1024, 64 * 1024 * 1024};
  Loop& loop_;
  int requests_ = 0;
};

}  // namespace robinpin::mesh_test
