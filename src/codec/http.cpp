#include "http.h"

#include <algorithm>
#include <charconv>
#include <climits>
#include <cstdint>
#include <cstring>

namespace robinpin::codec {

namespace {

constexpr std::size_t first_size = Message::first_buffer_bytes, kept_size = 16 * 1024, kept_headers = 128,
                      believed = 64 * 1024, streamed = 32 * 1024;

char lower(char c) { return c >= 'A' && c <= 'Z' ? char(c - 'A' + 'a') : c; }

bool letter(char c) { return (lower(c) >= 'a' && lower(c) <= 'z') || (c >= '0' && c <= '9'); }

}  // namespace

bool plain_word(std::string_view s) {
  return !s.empty() && s.size() <= 128 && std::all_of(s.begin(), s.end(), [](char c) {
    return letter(c) || c == '-' || c == '_' || c == '.' || c == ':' || c == '~';
  });
}

bool same_name(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

long long whole_number(std::string_view text) {
  long long n = 0;
  const auto [stop, wrong] = std::from_chars(text.data(), text.data() + text.size(), n);
  return wrong == std::errc() && stop == text.data() + text.size() && n >= 0 && text[0] != '-' ? n : -1;
}

Message::Message(http_parser_type kind, Limits limits) : limits_(limits) {
  http_parser_init(&parser_, kind);
  parser_.data = this;
}

const http_parser_settings& Message::callbacks() {
  static const http_parser_settings table = [] {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_message_begin = [](http_parser* p) {
      of(p).begun_ = true;
      return 0;
    };
    s.on_url = [](http_parser* p, const char* at, std::size_t n) {
      of(p).join(of(p).target_, at, n);
      return 0;
    };
    s.on_status = [](http_parser* p, const char* at, std::size_t n) {
      of(p).join(of(p).reason_, at, n);
      return 0;
    };
    s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
      Message& m = of(p);
      if (m.head_done_) return 0;  // trailers are passed over
      if (m.headers_.empty() || m.in_value_) m.headers_.emplace_back();
      m.in_value_ = false;
      m.join(m.headers_.back().first, at, n);
      return 0;
    };
    s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
      Message& m = of(p);
      if (m.head_done_) return 0;
      m.in_value_ = true;
      m.join(m.headers_.back().second, at, n);
      return 0;
    };
    s.on_headers_complete = [](http_parser* p) {
      Message& m = of(p);
      m.head_done_ = true;
      if (p->http_major != 1) m.failed_ = reading::malformed;
      const bool has_length = p->content_length != ULLONG_MAX;
      // Without a length, and kept open all the same, it would never end: its head is spoilt.
      const bool bare = p->status_code < 200 || p->status_code == 204 || p->status_code == 304;
      if (p->type == HTTP_RESPONSE && !has_length && !bare &&
          (p->flags & (F_CHUNKED | F_CONNECTION_CLOSE)) == 0 && p->http_minor > 0)
        m.failed_ = reading::malformed;
      m.length_ = has_length ? p->content_length : no_length;
      if (has_length && p->content_length > m.limits_.body) m.failed_ = reading::body_too_long;
      return m.failed_ == reading::unfinished ? 0 : -1;
    };
    s.on_body = [](http_parser* p, const char* at, std::size_t n) {
      Message& m = of(p);
      if (m.came_ + n > m.limits_.body) m.failed_ = reading::body_too_long;
      if (m.failed_ != reading::unfinished) return -1;
      if (m.came_ == 0) m.floor_ = std::size_t(at - m.buffer_.data());
      m.came_ += n;
      m.join(m.body_, at, n);
      return 0;
    };
    s.on_message_complete = [](http_parser* p) {
      Message& m = of(p);
      m.complete_ = true;
      m.keep_alive_ = http_should_keep_alive(p) != 0;
      http_parser_pause(p, 1);
      return 0;
    };
    return s;
  }();
  return table;
}

// Pieces of one part need not lie side by side (chunks, folded headers): the later is moved to the earlier.
template <typename S>
void Message::join(S& span, const char* at, std::size_t size) {
  using Number = decltype(span.at);
  const auto from = std::size_t(at - buffer_.data());
  if (span.size == 0)
    span.at = Number(from);
  else if (std::size_t(span.at) + span.size != from)
    std::memmove(buffer_.data() + span.at + span.size, at, size);
  span.size = Number(span.size + size);
}

std::size_t Message::size_with_room() const {
  if (buffer_.size() - end_ >= first_size / 2) return buffer_.size();
  // A body whose length was told needs no more than that: doubling would keep half of each buffer empty.
  // But a long one is believed only as far as it has come.
  const bool has_length = head_done_ && parser_.content_length <= limits_.body;
  const std::size_t whole =
      has_length ? end_ + std::size_t(parser_.content_length) + first_size / 2 : 2 * buffer_.size();
  return std::max(first_size, std::min(whole, std::max(believed, 2 * buffer_.size())));
}

std::pair<char*, std::size_t> Message::room() {
  buffer_.resize(size_with_room());
  return {buffer_.data() + end_, buffer_.size() - end_};
}

reading Message::take(std::size_t came) {
  end_ += came;
  return parse();
}

std::size_t Message::execute(std::size_t bytes) {
  const bool is_body = head_done_;
  const std::uint64_t came_before = came_;
  const std::size_t read = http_parser_execute(&parser_, &callbacks(), buffer_.data() + parsed_, bytes);
  if (is_body) framing_ += read - (came_ - came_before);
  return read;
}

// Chunks of a byte or two without end cost many times the work of the body that they carry.
bool Message::has_too_much_framing() const {
  constexpr std::uint64_t always_allowed = 64 * 1024, allowed_for_a_byte = 2;
  return framing_ > always_allowed + allowed_for_a_byte * came_;
}

reading Message::parse() {
  if (complete_) return reading::complete;
  if (failed_ != reading::unfinished) return failed_;
  const std::size_t n = end_ - parsed_;
  if (n == 0) return reading::unfinished;
  parsed_ += execute(n);
  if (complete_) {
    http_parser_pause(&parser_, 0);
    return reading::complete;
  }
  if (failed_ == reading::unfinished && HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
    failed_ =
        HTTP_PARSER_ERRNO(&parser_) == HPE_HEADER_OVERFLOW ? reading::head_too_long : reading::malformed;
  if (failed_ == reading::unfinished && !head_done_ && parsed_ > limits_.head)
    failed_ = reading::head_too_long;
  if (failed_ == reading::unfinished && has_too_much_framing()) failed_ = reading::malformed;
  // Empty lines before a message are allowed, but not without end.
  if (failed_ == reading::unfinished && !begun_) {
    empty_lines_ += parsed_;
    parsed_ = end_ = 0;
    if (empty_lines_ > limits_.head) failed_ = reading::head_too_long;
  }
  // What lies behind the body so far (chunk sizes) has been read and is dropped.
  if (failed_ == reading::unfinished && body_.size > 0) parsed_ = end_ = body_.at + body_.size;
  return failed_;
}

reading Message::ended() {
  if (complete_ || failed_ != reading::unfinished) return parse();
  http_parser_execute(&parser_, &callbacks(), buffer_.data(), 0);
  return complete_ ? reading::complete : reading::malformed;
}

// Unfinished, all that is in the buffer has been parsed; complete, the next message may lie behind the body.
void Message::pass_on() {
  if (!complete_ && came_ > 0) {
    parsed_ = end_ = floor_;
    if (buffer_.size() > floor_ + 2 * streamed) {
      buffer_.resize(floor_ + streamed);
      buffer_.shrink_to_fit();
    }
  }
  body_.size = 0;
}

bool Message::expects_continue() {
  if (parser_.type != HTTP_REQUEST || was_continue_sent_ || !head_done_ || complete_ || came_ > 0 ||
      behind() || parser_.http_minor == 0)
    return false;
  was_continue_sent_ = same_name(header("Expect"), "100-continue");
  return was_continue_sent_;
}

void Message::forget() {
  target_ = body_ = reason_ = {};
  floor_ = empty_lines_ = 0;
  framing_ = 0;
  length_ = no_length;
  came_ = 0;
  was_continue_sent_ = false;
  headers_.clear();
  begun_ = in_value_ = head_done_ = complete_ = keep_alive_ = false;
}

reading Message::next() {
  if (end_ > parsed_) std::memmove(buffer_.data(), buffer_.data() + parsed_, end_ - parsed_);
  end_ -= parsed_;
  parsed_ = 0;
  forget();
  if (end_ == 0 && buffer_.size() > kept_size) std::vector<char>().swap(buffer_);
  if (headers_.capacity() > kept_headers) decltype(headers_)().swap(headers_);
  return parse();
}

void Message::discard() {
  forget();
  std::vector<char>().swap(buffer_);
  decltype(headers_)().swap(headers_);
  parsed_ = end_ = 0;
  failed_ = reading::malformed;
}

void Message::let_go() {
  if (behind() || buffer_.size() <= kept_size) return;
  const bool stays = keep_alive_;
  forget();
  complete_ = true;
  keep_alive_ = stays;
  std::vector<char>().swap(buffer_);
  parsed_ = end_ = 0;
}

std::string_view Message::header(std::string_view name) const {
  for (const auto& [field, v] : headers_)
    if (same_name(text(field), name)) return trim(text(v));
  return {};
}

bool Message::clean() const {
  static constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  const auto in_name = [&](char c) { return letter(c) || marks.find(c) != std::string_view::npos; };
  const auto visible = [](char c) { return c > ' ' && c < 127; };
  const auto printed = [&](char c) { return visible(c) || c == ' ' || c == '\t' || std::uint8_t(c) > 127; };
  const auto all = [](std::string_view s, auto fits) { return std::all_of(s.begin(), s.end(), fits); };
  for (std::size_t i = 0; i < headers_.size(); ++i) {
    const auto [name, value] = header(i);
    if (name.empty() || !all(name, in_name) || !all(value, printed)) return false;
  }
  const auto length = header("Content-Length");
  if (times("Content-Length") > 0 && whole_number(length) < 0) return false;
  return all(target(), visible);
}

int Message::times(std::string_view name) const {
  return int(std::count_if(headers_.begin(), headers_.end(),
                           [&](const auto& h) { return same_name(text(h.first), name); }));
}

}  // namespace robinpin::codec
