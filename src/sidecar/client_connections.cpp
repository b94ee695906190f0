// Connections of clients: reads their requests in order and writes each answer.
#include <fmt/format.h>

#include <algorithm>

#include "../rpc/server.h"
#include "outbound_proxy.h"
#include "proxy_limits.h"
#include "scoped_count.h"

namespace robinpin::sidecar {

namespace {
constexpr std::chrono::seconds out_limit{1};
}  // namespace

// For want of memory: it has not been passed on. A connection closed over unread bytes would be reset.
awaitable<void> OutboundProxy::refuse_unread(std::shared_ptr<Connection> c) {
  ++counts_.refused;
  c->discard();
  c->limit(steady::now() + write_limit);
  const Answer answer = own(503, "this node holds all it can", unready_back);
  const std::string head = fmt::format("HTTP/1.1 503 {}\r\n{}Content-Length: {}\r\nConnection: close\r\n\r\n",
                                       rpc::phrase(answer.status), answer.headers, answer.body.size());
  std::size_t written = 0;
  const asio::error_code error = co_await c->write(head, answer.body, written);
  if (!error) co_await c->see_out(out_limit);
}

awaitable<void> OutboundProxy::serve(std::shared_ptr<Connection> c) {
  callers_.push_back(c);
  for (bool first = true;; first = false) {
    if (c->is_turn_over()) co_await c->yield();
    if (!c->in.begun()) {
      const configuration::Bounds& bounds = plan_->bounds;
      if (!first) c->idle_since = steady::now();
      c->limit(steady::now() + std::chrono::microseconds(first ? bounds.header : bounds.idle));
      if (!c->in.behind()) {
        asio::error_code gone;
        co_await c->socket.async_wait(tcp::socket::wait_read,
                                      asio::redirect_error(asio::use_awaitable, gone));
        if (gone) co_return;
      }
    }
    const ScopedCount pending(pending_, 1);
    c->limit(steady::now() + std::chrono::microseconds(plan_->bounds.header));
    asio::error_code error;
    const codec::reading got =
        c->in.is_complete() ? codec::reading::complete : co_await c->read(error, Source::kept, pace);
    if (error == asio::error::no_buffer_space) co_return co_await refuse_unread(c);
    if (error || got == codec::reading::unfinished) co_return;
    c->no_limit();
    Answer a;
    bool gone = false;
    const auto source = got == codec::reading::longer ? std::make_shared<Source>(io_, c) : nullptr;
    const bool read = got == codec::reading::complete || source;
    if (!read) {
      ++counts_.own_4xx;
      a = own(got == codec::reading::body_too_long   ? 413
              : got == codec::reading::head_too_long ? 431
                                                     : 400,
              "the request can't be read");
    } else {
      if (source && c->in.expects_continue()) {
        std::size_t written = 0;
        error = co_await c->write(go_on, {}, written);
        if (error) co_return;
      }
      const ScopedCount body_bytes(bodies_, source ? Source::kept : c->in.body().size());
      most_held_ = std::max(most_held_, *bodies_);
      if (*bodies_ <= most_bodies_ && sockets_.memory().ensure_capacity_for_request())
        a = co_await answer_to(c, source, gone);
      else
        ++counts_.refused, a = own(503, "this node holds all it can", unready_back);
      while (source && source->pouring)
        co_await source->rest.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    if (gone || !c->open()) co_return;
    const bool rest = source && !c->in.is_complete();
    // What a client has sent behind this request already is answered, too, before a process ends.
    const bool last = ending_ && !c->in.behind() && c->still();
    bool stays = read && !rest && c->in.keep_alive() && !last && !sockets_.is_crowded();
    const bool is_written = co_await write_answer(c, std::move(a), c->in.method() != "HEAD", stays);
    if (is_written && rest) co_await read_out(*c);
    if (is_written && !stays) co_await c->see_out(out_limit);
    if (!is_written || !stays) co_return;
    if (const auto next = c->next(); next != codec::reading::unfinished && next != codec::reading::complete)
      co_return;
  }
}

}  // namespace robinpin::sidecar
