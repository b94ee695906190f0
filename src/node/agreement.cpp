#include "agreement.h"

#include <algorithm>

namespace robinpin::node {

using namespace consensus;
using namespace std::chrono_literals;

namespace {
constexpr steady::duration ask_limit = 1s;  // for one voter's answer: a disk may take its time
}

struct Agreement::Run {
  Run(asio::io_context& io, Proposal p, steady::time_point by)
      : proposal(std::move(p)), until(by), ended(io, by) {}
  Proposal proposal;
  steady::time_point until;
  asio::steady_timer ended;
  std::optional<Outcome> end;
  bool given_up = false;  // a late answer must not send what the caller was told is not done
};

void Agreement::know(const Voters& v) {
  if (v.version > voters_.version) voters_ = v;
}

void Agreement::send(const std::shared_ptr<Run>& run, const Step& step) {
  if (step.end) {
    run->end = step.end;
    run->ended.cancel();
  }
  for (const Sending& s : step.send) asio::co_spawn(io_, ask(run, s), asio::detached);
}

awaitable<void> Agreement::ask(std::shared_ptr<Run> run, Sending s) {
  const phase what = s.ask.what;
  const std::string store = s.to.store;
  std::optional<Reply> reply;
  try {
    reply = co_await carry_(s.to, std::move(s.ask), std::min(run->until, steady::now() + ask_limit));
  } catch (const std::exception&) {
    // As no answer: what came can't be read.
  }
  if (run->proposal.over() || run->given_up) co_return;
  send(run, reply ? run->proposal.heard(*reply) : run->proposal.lost(store, what));
}

awaitable<Outcome> Agreement::once(Want want, bool again, Voters under, steady::time_point until) {
  Outcome none;
  if (under.version == 0) co_return none;  // no voters are known yet
  const auto run =
      std::make_shared<Run>(io_, Proposal(std::move(under), {++round_, me_}, std::move(want), again), until);
  send(run, run->proposal.begin());
  asio::error_code ignored;
  if (!run->end) co_await run->ended.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  if (run->end) co_return *run->end;
  // Its time is over: what was sent to be accepted may yet be.
  run->given_up = true;
  none.how = run->proposal.stage() == phase::accept ? fate::unknown : fate::unreachable;
  none.round = round_;
  co_return none;
}

awaitable<Outcome> Agreement::settle(Want want, steady::time_point until, bool again) {
  asio::steady_timer pause(io_);
  for (int n = 1;; ++n) {
    ++tries;
    // A try takes its part of the time: one that met a silent majority is not all.
    Outcome o = co_await once(want, again, voters_, std::min(until, steady::now() + 2 * ask_limit));
    round_ = std::max(round_, o.round);
    if (o.newer) know(*o.newer);
    if (o.how == fate::chosen || o.how == fate::refused || o.how == fate::overtaken || o.how == fate::full)
      co_return o;
    outbid += o.how == fate::outbid ? 1 : 0;
    again = again || o.how == fate::unknown;
    const auto wait = std::chrono::microseconds(
        wait_before(o.newer ? 1 : n, std::uniform_real_distribution<>(0, 1)(draw_)) +
        (o.how == fate::unreachable ? 20'000 : 0));
    if (steady::now() + wait >= until) {
      if (again && want.what == wish::write) {
        o.how = fate::unknown;
        ++unknown;
      }
      co_return o;
    }
    pause.expires_after(wait);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

awaitable<bool> Agreement::change(std::vector<Seat> wanted, steady::time_point until) {
  Succession s(voters_, std::move(wanted));
  asio::steady_timer pause(io_);
  for (int n = 1; const auto job = s.next(); ++n) {
    if (steady::now() >= until) co_return false;
    const Outcome o =
        co_await once(job->want, n > 1, job->under, std::min(until, steady::now() + 2 * ask_limit));
    round_ = std::max(round_, o.round);
    s.ended(o);
    know(s.voters());
    if (o.newer && o.newer->version > s.voters().version) {
      know(*o.newer);
      co_return false;  // somebody else has changed them meanwhile
    }
    if (o.how == fate::chosen) {
      n = 0;
      continue;
    }
    pause.expires_after(
        std::chrono::microseconds(wait_before(n, std::uniform_real_distribution<>(0, 1)(draw_)) + 5'000));
    co_await pause.async_wait(asio::use_awaitable);
  }
  co_return s.done();
}

}  // namespace robinpin::node
