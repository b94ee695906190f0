// Connections of other nodes: requests that they forward to the server beside this one.
#include <fmt/format.h>

#include <algorithm>

#include "../rpc/server.h"
#include "disconnect_watch.h"
#include "outbound_proxy.h"
#include "proxy_limits.h"
#include "scoped_count.h"

namespace robinpin::sidecar {

namespace {

using namespace std::chrono_literals;
constexpr std::chrono::seconds body_limit{10};
constexpr std::chrono::seconds refused_body_limit{1};  // to send on what is refused already
constexpr std::string_view no_memory = "memory";       // why a request is held back

// Of the answer to a request that this node holds back before its server hears of it.
std::string held_head(const codec::Message& request, std::string_view why) {
  return fmt::format(
      "HTTP/1.1 503 Held\r\n{}: {}\r\nX-Attempt-Id: {}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
      held_header, why, request.header("X-Attempt-Id"));
}

admission::AdmissionController::RequestInfo asked_by(const codec::Message& m) {
  const auto told = [&](std::string_view name) {
    return std::max<long long>(0, codec::whole_number(m.header(name))) * 1000;
  };
  const bool comes = m.longer_than(Source::handed);
  return {told(deadline_header), told(aim_header), told("X-Remaining-Ms"), comes,
          comes ? double(m.content_length().value_or(Source::kept)) : 0};
}

}  // namespace

awaitable<codec::reading> OutboundProxy::read_inner(Connection& c, asio::error_code& error,
                                                    admission::RejectReason& held) {
  std::uint64_t counted = 0;
  for (codec::reading got = codec::reading::unfinished;;) {
    got = co_await c.more(error);
    if (error || got != codec::reading::unfinished) co_return got;
    if (c.in.expects_continue()) {
      held = inbound_proxy_.verdict(std::string(c.in.header(instance_header)), asked_by(c.in));
      if (held != admission::RejectReason::none) co_return codec::reading::unfinished;
      std::size_t written = 0;
      error = co_await c.write(go_on, {}, written);
      if (error) co_return codec::reading::unfinished;
    }
    if (c.in.longer_than(Source::handed)) co_return codec::reading::longer;
    if (c.in.came() - counted >= pace) counted = c.in.came(), c.limit(steady::now() + body_limit);
  }
}

// Another node's request: what it wants is known by its headers, and how far it came goes back by ours.
awaitable<void> OutboundProxy::serve_inner(std::shared_ptr<Connection> c) {
  for (;;) {
    if (c->is_turn_over()) co_await c->yield();
    c->limit(steady::now() + 60s);
    asio::error_code error;
    admission::RejectReason early = admission::RejectReason::none;
    const codec::reading got =
        c->in.is_complete() ? codec::reading::complete : co_await read_inner(*c, error, early);
    const bool is_named = c->in.times("X-Attempt-Id") == 1;
    if (error == asio::error::no_buffer_space && is_named) {
      const std::string head = held_head(c->in, no_memory);
      c->discard();
      c->limit(steady::now() + write_limit);
      std::size_t written = 0;
      error = co_await c->write(head, {}, written);
      if (!error) co_await c->see_out(refused_body_limit);
      co_return;
    }
    if (error) co_return;
    if (early != admission::RejectReason::none) {
      std::size_t written = 0;
      co_await c->write(held_head(c->in, admission::reject_reason_names[std::size_t(early)]), {}, written);
      co_return;
    }
    const auto source = got == codec::reading::longer ? std::make_shared<Source>(io_, c) : nullptr;
    if (got != codec::reading::complete && !source) co_return;
    c->no_limit();
    const codec::Message& m = c->in;
    auto request = std::make_shared<OutgoingRequest>();
    request->id = m.header("X-Attempt-Id");
    request->method = m.method();
    request->target = m.target();
    std::string instance(m.header(instance_header));
    const bool probes = !m.header("X-Mesh-Probe").empty();
    const micros told = std::max<long long>(0, codec::whole_number(m.header("X-Remaining-Ms"))) * 1000;
    const micros left = std::max<micros>(0, told - (clock_.now() - clock_.of(c->message_arrived())));
    const admission::AdmissionController::RequestInfo asked = asked_by(m);
    const std::string_view listed = m.header("Connection");
    for (std::size_t i = 0; i < m.headers(); ++i) {
      const auto [name, value] = m.header(i);
      if (!of_connection(name, listed) && !of_mesh(name))
        request->headers += fmt::format("{}: {}\r\n", name, codec::trim(value));
    }
    request->source = source;
    if (!source && m.has_body())
      request->body = std::make_shared<const std::string>(m.body()), inner_bytes_ += m.body().size();
    Answer a;
    bool gone = false;
    const ScopedCount pending(pending_, 1);
    if (probes) {
      const auto f = co_await inbound_proxy_.probe(instance, probe_limit);
      a.status = f && f->how_far == came::answered ? f->status : 503;
      a.headers = fmt::format("X-Attempt-Id: {}\r\n", request->id);
    } else {
      const auto in_flight = std::make_shared<InFlightRequest>();
      Result r;
      if (!sockets_.memory().ensure_capacity_for_request()) {
        r.how = outcome::held;
        r.why = no_memory;
      } else {
        const DisconnectWatch watch(c, source, [&gone, in_flight] {
          gone = true;
          in_flight->call_off();
        });
        r = co_await inbound_proxy_.take(in_flight, request, std::move(instance), asked,
                                         steady::now() + std::chrono::microseconds(left + closing_margin));
      }
      if (r.how == outcome::answered || r.how == outcome::refused) {
        a = passed_on(r.fate);
        if (r.fate.header("X-Attempt-Id").empty())
          a.headers +=
              fmt::format("X-Attempt-Id: {}\r\n", request->id);  // between nodes each answer has its name
      } else {
        a.status = r.how == outcome::held ? 503 : 502;
        a.headers =
            fmt::format("{}: {}\r\nX-Attempt-Id: {}\r\n", r.how == outcome::held ? held_header : broke_header,
                        r.why.empty() ? "broken" : r.why, request->id);
      }
    }
    if (source) inner_bytes_ += c->in.came();
    if (gone || !c->open() || (source && source->failed)) co_return;
    const bool rest = source && !c->in.is_complete();
    bool stays = !rest && c->in.keep_alive() && !ending_;
    const bool is_written = co_await write_answer(c, std::move(a), true, stays);
    if (is_written && rest) co_await read_out(*c);
    if (!is_written || !stays) co_return;
    if (const auto next = c->next(); next != codec::reading::unfinished && next != codec::reading::complete)
      co_return;
  }
}

}  // namespace robinpin::sidecar
