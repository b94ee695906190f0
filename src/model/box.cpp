#include "box.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace robinpin::model {

namespace {

constexpr micros look = 100'000;  // between looks at warmth, crowding and load
constexpr double quick = 500;     // work of an answer that needs none: an error, a known mark

}  // namespace

bool Marks::known(const std::string& mark, micros now, micros window) {
  while (!order_.empty() && order_.front().first <= now) {
    // A mark that was seen again later stands in the order twice.
    if (const auto s = seen_.find(order_.front().second); s != seen_.end() && s->second <= now)
      seen_.erase(s);
    order_.pop_front();
  }
  const auto s = seen_.find(mark);
  if (s != seen_.end() && s->second > now) return true;
  seen_[mark] = now + window;
  order_.emplace_back(now + window, mark);
  return false;
}

Box::Box(Agenda& agenda, Make make, std::uint64_t seed, std::shared_ptr<Marks> marks)
    : agenda_(agenda), make_(make), chance_(seed, "box"), marks_(std::move(marks)) {
  settled_ = looked_ = agenda_.now();
  started_ = agenda_.now() - make_.cold_for;
  tick();
}

double Box::warmth() const {
  if (make_.cold_for <= 0) return 1;
  const double age = double(agenda_.now() - started_) / double(make_.cold_for);
  return std::clamp(make_.cold_from + (1 - make_.cold_from) * age, make_.cold_from, 1.0);
}

double Box::capacity() const {
  if (!up_ || hangs_ || fell) return 0;
  double speed = make_.speed * warmth() * (1 - taken_) / slow_;
  if (choked_) speed /= make_.choke_slower;
  const double over = double(held_.size()) / make_.cores / make_.thrash_at - 1;
  if (over > 0) speed /= 1 + make_.thrash * over;
  return speed * make_.cores;
}

double Box::rate() const {
  const auto n = double(running_.size());
  return n == 0 ? 0 : capacity() / make_.cores * std::min(1.0, make_.cores / n);
}

void Box::settle() {
  const micros now = agenda_.now();
  const double span = double(now - settled_);
  if (span > 0) {
    const double r = rate();
    attained_ += r * span;
    work_done += r * span * double(running_.size());
    const double busy = std::min(1.0, double(running_.size()) / make_.cores);
    const double fade = std::exp(-span / 1e6);
    busy_ = busy_ * fade + busy * (1 - fade);
    settled_ = now;
  }
}

void Box::plan() {
  const std::uint64_t plan = ++plan_;
  const double r = rate();
  if (running_.empty() || r <= 0) return;
  const double span = std::max(0.0, running_.begin()->first - attained_) / r;
  agenda_.in(micros(std::ceil(span)), [this, plan] {
    if (plan != plan_) return;
    settle();
    // Rounded up to a whole microsecond, several may be through.
    std::vector<std::uint64_t> through;
    while (!running_.empty() && running_.begin()->first <= attained_ + 1e-6) {
      through.push_back(running_.begin()->second);
      running_.erase(running_.begin());
    }
    for (const auto number : through) work_done_by(number);
    this->plan();
  });
}

std::uint64_t Box::arrive(Job job, const std::string& from) {
  const std::uint64_t number = ++number_;
  if (!up_) return number;  // nobody is there to answer
  double work = job.work;
  if (const auto d = dear_.find(job.scheme); d != dear_.end() && chance_.hits(d->second.first))
    work *= d->second.second;
  watch_cold(work, from);
  if (fell || hangs_) {
    // It takes what comes and says nothing.
    Held h;
    h.job = std::move(job);
    h.left = work;
    h.came = agenda_.now();
    if (hangs_ && !fell && int(held_.size()) < make_.slots + make_.queue) {
      held_.emplace(number, std::move(h));
      queue_.push_back(number);
    }
    return number;
  }
  if (draining_ || refusing_ || int(queue_.size()) >= make_.queue) {
    job.ended(done::refused);
    return number;
  }
  Held h;
  h.job = std::move(job);
  h.left = work;
  h.came = agenda_.now();
  held_.emplace(number, std::move(h));
  queue_.push_back(number);
  touch([&] { begin_next(); });
  return number;
}

void Box::begin_next() {
  while (in_slots_ < make_.slots && !queue_.empty() && !hangs_) {
    const auto number = queue_.front();
    queue_.pop_front();
    begin(number);
  }
}

void Box::begin(std::uint64_t number) {
  const auto it = held_.find(number);
  if (it == held_.end()) return;
  Held& h = it->second;
  if (make_.drops_expired && agenda_.now() >= h.job.expiry) {
    const auto ended = std::move(h.job.ended);
    held_.erase(it);
    ended(done::refused);
    return;
  }
  ++in_slots_;
  h.begun = true;
  if (!h.job.mark.empty() && marks_->known(h.job.mark, agenda_.now(), h.job.window)) {
    h.job.calls = 0;  // its first run has done all that
    h.after = 0;
    run(number, quick);
    return;
  }
  h.job.runs();
  if (chance_.hits(std::max(failing_, make_.error_rate))) {
    h.job.calls = -1;  // fails, and fast
    run(number, quick);
    return;
  }
  const double first = h.job.calls > 0 ? h.left / 2 : h.left;
  h.after = h.left - first;
  run(number, first);
}

void Box::run(std::uint64_t number, double work) {
  Held& h = held_.at(number);
  h.running = true;
  h.finish = attained_ + work;
  h.piece = work;
  running_.emplace(h.finish, number);
}

void Box::work_done_by(std::uint64_t number) {
  const auto it = held_.find(number);
  if (it == held_.end()) return;
  Held& h = it->second;
  h.running = false;
  h.spent += h.piece;
  if (h.job.calls < 0) return end(number, done::error);
  if (h.call < h.job.calls) {
    const auto call = h.job.call;  // it may answer at once
    const int n = h.call++;
    call(n);
    return;
  }
  if (h.after > 0) {
    const double rest = h.after;
    h.after = 0;
    run(number, rest);
    return;
  }
  end(number, done::served);
}

void Box::called(std::uint64_t number, bool served) {
  const auto it = held_.find(number);
  if (it == held_.end()) return;
  if (!served) {
    touch([&] { end(number, done::error); });
    return;
  }
  if (it->second.call < it->second.job.calls) {
    const auto call = it->second.job.call;
    call(it->second.call++);
    return;
  }
  touch([&] {
    const double rest = std::max(1.0, it->second.after);
    it->second.after = 0;
    run(number, rest);
  });
}

void Box::end(std::uint64_t number, done how) {
  const auto it = held_.find(number);
  if (it == held_.end()) return;
  Held h = std::move(it->second);
  held_.erase(it);
  --in_slots_;
  const double took = double(agenda_.now() - h.came);
  latency_ = latency_ == 0 ? took : latency_ + 0.1 * (took - latency_);
  if (h.gone) work_wasted += h.spent;
  begin_next();
  h.job.ended(how);
}

void Box::cancel(std::uint64_t number) {
  const auto it = held_.find(number);
  if (it == held_.end()) return;
  Held& h = it->second;
  h.gone = true;
  const bool waits = !h.begun;
  if (make_.cancel == cancels::none || (make_.cancel == cancels::queued && !waits)) return;
  touch([&] {
    if (waits) {
      std::erase(queue_, number);
    } else {
      if (h.running) {
        const auto [low, high] = running_.equal_range(h.finish);
        for (auto r = low; r != high; ++r)
          if (r->second == number) {
            running_.erase(r);
            break;
          }
      }
      --in_slots_;
    }
    held_.erase(number);
    begin_next();
  });
}

bool Box::connected() {
  if (!up_ || connections_ >= make_.connections) return false;
  ++connections_;
  // The handshake is work like any other, of nobody's.
  if (make_.handshake > 0 && !hangs_ && !fell) {
    touch([&] {
      const auto number = ++number_;
      Held h;
      h.begun = true;
      h.came = agenda_.now();
      h.job.ended = [](done) {};
      h.job.call = [](int) {};
      held_.emplace(number, std::move(h));
      ++in_slots_;
      run(number, double(make_.handshake));
    });
  }
  return true;
}

void Box::disconnected() { connections_ = std::max(0, connections_ - 1); }

void Box::stop() {
  settle();
  up_ = false;
  ++plan_;
  ++life_;
  held_.clear();
  queue_.clear();
  running_.clear();
  pressure_.clear();
  reports_.clear();
  told_ = {};
  in_slots_ = connections_ = 0;
  crowd_ = busy_ = latency_ = 0;
  choked_ = fell = false;
}

void Box::start(bool cold) {
  stop();
  up_ = true;
  draining_ = hangs_ = refusing_ = false;
  slow_ = 1;
  failing_ = 0;
  started_ = cold ? agenda_.now() : agenda_.now() - make_.cold_for;
  settled_ = looked_ = agenda_.now();
  calm_since_ = -1;
  tick();
}

// A cold box that is sent far more than it can do falls over and stays down. Work counts, also that turned
// away.
void Box::watch_cold(double work, const std::string& from) {
  const micros now = agenda_.now();
  if (warmth() >= 1 || fell) return;
  pressure_.emplace_back(now, work, from);
  while (!pressure_.empty() && now - std::get<0>(pressure_.front()) > make_.fall_window)
    pressure_.pop_front();
  double sum = 0, largest = 0;
  for (const auto& [at, w, who] : pressure_) {
    sum += w;
    largest = std::max(largest, w);
  }
  const double can = make_.speed * make_.cores * warmth() * double(make_.fall_window);
  // A little slack for chance: a few txns of the usual size.
  if (sum <= make_.fall_multiple * can + 4 * largest) return;
  settle();
  fell = true;
  ++plan_;
  std::map<std::string, double> by_sender;
  for (const auto& [at, w, who] : pressure_) by_sender[who] += w;
  if (on_fall) on_fall(by_sender);
}

void Box::tick() {
  const std::uint64_t life = life_;
  agenda_.in(look, [this, life] {
    if (life != life_ || !up_) return;
    settle();
    const double span = double(look), fade = std::exp(-span / double(make_.choke_over));
    crowd_ = crowd_ * fade + double(held_.size()) * (1 - fade);
    const micros now = agenda_.now();
    if (!choked_ && crowd_ > make_.cores + make_.choke_at * std::sqrt(make_.cores)) {
      choked_ = true;
      choked_at_ = now;
      calm_since_ = -1;
      ++tipped;
    } else if (choked_) {
      if (busy_ >= make_.choke_below)
        calm_since_ = -1;
      else if (calm_since_ < 0)
        calm_since_ = now;
      if ((calm_since_ >= 0 && now - calm_since_ >= make_.choke_rest) ||
          now - choked_at_ >= make_.choke_most) {
        choked_ = false;
        crowd_ = 0;
      }
    }
    if (now / make_.report_every != (now - look) / make_.report_every) {
      const auto noisy = [&](double v) {
        return std::max(0.0, v * (1 + make_.report_noise * (2 * chance_.part() - 1)));
      };
      Load l;
      l.waiting = int(std::lround(noisy(double(queue_.size()))));
      l.in_work = int(std::lround(noisy(double(held_.size() - queue_.size()))));
      l.busy = std::min(1.0, noisy(busy_));
      l.latency = micros(noisy(latency_));
      reports_.emplace_back(now + make_.report_delay, l);
    }
    while (!reports_.empty() && reports_.front().first <= now) {
      told_ = reports_.front().second;
      reports_.pop_front();
    }
    plan();
    tick();
  });
}

Load Box::load() const { return told_; }

}  // namespace robinpin::model
