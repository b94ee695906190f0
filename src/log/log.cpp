#include "log.h"

#include <poll.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <memory>
#include <mutex>

namespace robinpin::log {

bool Folding::take(time now, std::size_t logger, int l, std::string_view text, std::vector<Line>& due) {
  sweep(now, due);
  for (Seen& s : seen_)
    if (s.line.logger == logger && s.line.level == l && s.line.text == text) {
      ++s.line.times;
      return false;
    }
  if (seen_.size() >= most_) {
    if (seen_.front().line.times > 1) due.push_back(seen_.front().line);
    seen_.erase(seen_.begin());
  }
  seen_.push_back({{logger, l, std::string(text), 1, fold_}, now});
  return true;
}

void Folding::sweep(time now, std::vector<Line>& due, bool all) {
  std::erase_if(seen_, [&](const Seen& s) {
    const bool over = all || now - s.since >= fold_ || now < s.since;
    if (over && s.line.times > 1) due.push_back(s.line);
    return over;
  });
}

namespace {

spdlog::level::level_enum of(level l) {
  constexpr std::array is = {spdlog::level::debug, spdlog::level::info, spdlog::level::warn,
                             spdlog::level::err, spdlog::level::off};
  return is[std::size_t(l)];
}

// One JSON object a line.
class JsonLines final : public spdlog::formatter {
 public:
  void format(const spdlog::details::log_msg& m, spdlog::memory_buf_t& to) override {
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(m.time.time_since_epoch()).count();
    const auto name = spdlog::level::to_string_view(m.level);
    fmt::format_to(std::back_inserter(to), R"({{"wall_us":{},"level":"{}","part":"{}","text":")", us,
                   std::string_view(name.data(), name.size()),
                   std::string_view(m.logger_name.data(), m.logger_name.size()));
    for (const char c : std::string_view(m.payload.data(), m.payload.size())) {
      if (c == '"' || c == '\\') {
        to.push_back('\\');
        to.push_back(c);
      } else if (static_cast<unsigned char>(c) < 0x20) {
        fmt::format_to(std::back_inserter(to), "\\u{:04x}", int(static_cast<unsigned char>(c)));
      } else {
        to.push_back(c);
      }
    }
    constexpr std::string_view end = "\"}\n";
    to.append(end.data(), end.data() + end.size());
  }
  std::unique_ptr<spdlog::formatter> clone() const override { return std::make_unique<JsonLines>(); }
};

class Sink final : public spdlog::sinks::base_sink<std::mutex> {
 public:
  explicit Sink(std::chrono::milliseconds fold) : folding_(fold) {}

  void sweep(bool all) {
    const std::lock_guard lock(mutex_);
    std::vector<Folding::Line> due;
    folding_.sweep(std::chrono::system_clock::now(), due, all);
    tell(due);
  }
  std::uint64_t dropped() {
    const std::lock_guard lock(mutex_);
    return dropped_;
  }

 private:
  void sink_it_(const spdlog::details::log_msg& m) override {
    std::vector<Folding::Line> due;
    const std::string_view name(m.logger_name.data(), m.logger_name.size());
    const auto part = std::size_t(std::find(part_names.begin(), part_names.end(), name) - part_names.begin());
    const bool written =
        folding_.take(m.time, part, int(m.level), std::string_view(m.payload.data(), m.payload.size()), due);
    tell(due);
    if (written) put(m);
  }
  void flush_() override {}

  void tell(const std::vector<Folding::Line>& due) {
    for (const auto& line : due) {
      const std::string text = fmt::format("{} (and {} times more within {:.0f} s)", line.text,
                                           line.times - 1, double(line.within.count()) / 1000);
      put({spdlog::source_loc{}, part_names[line.logger], spdlog::level::level_enum(line.level), text});
    }
  }

  void put(const spdlog::details::log_msg& m) {
    if (untold_ > 0 && writable()) {
      const std::string text =
          fmt::format("{} lines of the log were dropped: standard error took none", untold_);
      if (out({spdlog::source_loc{}, part_names[0], spdlog::level::warn, text})) untold_ = 0;
    }
    if (!out(m)) {
      ++dropped_;
      ++untold_;
    }
  }

  static bool writable() {
    pollfd p{STDERR_FILENO, POLLOUT, 0};
    return ::poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0;
  }

  // A pipe that is writable takes a page without waiting, a socket says so itself, a file always does.
  bool out(const spdlog::details::log_msg& m) {
    constexpr std::size_t page = 4096;
    spdlog::memory_buf_t line;
    formatter_->format(m, line);
    for (std::size_t at = 0; at < line.size();) {
      if (!writable()) return false;
      const std::size_t size = std::min(page, line.size() - at);
      auto n = ::send(STDERR_FILENO, line.data() + at, size, MSG_DONTWAIT | MSG_NOSIGNAL);
      if (n < 0 && errno == ENOTSOCK) n = ::write(STDERR_FILENO, line.data() + at, size);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      at += std::size_t(n);
    }
    return true;
  }

  Folding folding_;
  std::uint64_t dropped_ = 0, untold_ = 0;
};

struct Loggers {
  std::shared_ptr<Sink> sink;
  std::vector<std::unique_ptr<spdlog::logger>> all;
  explicit Loggers(const Manner& manner) : sink(std::make_shared<Sink>(manner.fold)) {
    if (manner.json)
      sink->set_formatter(std::make_unique<JsonLines>());
    else
      sink->set_formatter(std::make_unique<spdlog::pattern_formatter>("%E.%e %l %n: %v"));
    for (std::size_t i = 0; i < parts; ++i) {
      all.push_back(std::make_unique<spdlog::logger>(part_names[i], sink));
      all.back()->set_level(of(manner.least[i]));
    }
  }
};

// Never taken down: a thread that hangs in a write to a disk may come back after the end of main and say so.
std::unique_ptr<Loggers>& loggers() {
  static auto* kept = new std::unique_ptr<Loggers>(std::make_unique<Loggers>(Manner{}));
  return *kept;
}

}  // namespace

void open(const Manner& manner) {
  finish();
  loggers() = std::make_unique<Loggers>(manner);
}

bool writes(part from, level l) { return loggers()->all[std::size_t(from)]->should_log(of(l)); }

void write(part from, level l, const std::string& line) {
  loggers()->all[std::size_t(from)]->log(of(l), spdlog::string_view_t(line.data(), line.size()));
}

void sweep() { loggers()->sink->sweep(false); }
void finish() { loggers()->sink->sweep(true); }
std::uint64_t dropped() { return loggers()->sink->dropped(); }

}  // namespace robinpin::log
