// HTTP/1.1 messages, read with http-parser over one buffer a connection. The buffer grows with a message and
// is compacted in place: parts that came in pieces are joined where they lie, what was read past is dropped.
#pragma once

#include <http_parser.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace robinpin::codec {

struct Limits {
  std::size_t head = 16 * 1024;
  std::size_t body = 64 * 1024;
};

// `longer`: the head is whole, and more of a body is to come than its reader keeps.
enum class reading { unfinished, complete, malformed, head_too_long, body_too_long, longer };

class Message {
 public:
  explicit Message(http_parser_type kind, Limits limits = {});
  Message(const Message&) = delete;
  Message& operator=(const Message&) = delete;

  static constexpr std::size_t first_buffer_bytes = 2048;
  // Room for the next bytes, and how many of them have come.
  std::pair<char*, std::size_t> room();
  // Bytes of memory that it holds, and that it will hold once room() has made room.
  std::size_t footprint() const { return buffer_.capacity() + header_table_bytes(); }
  std::size_t footprint_with_room() const {
    return std::max(buffer_.capacity(), size_with_room()) + header_table_bytes();
  }
  reading take(std::size_t came);
  reading ended();  // no more will come: completes a body that goes to the end
  // Drops the message that was read and looks at what came behind it.
  reading next();

  // Gives back the memory of a message that is not read on. All that is read later is malformed.
  void discard();

  // The head is whole and its body more than that, as told or as it has come.
  bool longer_than(std::size_t kept) const {
    return head_done_ && !complete_ && (body_.size > kept || (content_length() && *content_length() > kept));
  }
  std::optional<std::uint64_t> content_length() const {  // the body's length
    return head_done_ && length_ != no_length ? std::optional(length_) : std::nullopt;
  }
  bool is_complete() const { return complete_; }
  // Its body has no told length and is not whole: how long it will be nobody knows.
  bool open_ended() const { return head_done_ && !complete_ && !content_length(); }
  std::uint64_t came() const { return came_; }  // of the body, what was passed on too
  // Drops what has come of the body: its reader has passed it on, and the room is used again.
  void pass_on();
  // Once a message, if its sender waits to be told to go on with the body.
  bool expects_continue();

  bool begun() const { return begun_; }           // of the present message anything has come
  bool behind() const { return end_ > parsed_; }  // bytes of a next one have come
  bool keep_alive() const { return keep_alive_; }
  bool has_body() const { return body_.size > 0; }
  // Everything in it is as the standard has it: names, target, length. What only one reader understands could
  // hide something from the next.
  bool clean() const;
  // Gives back the memory of a long message that has been copied; what it said is gone, but for keep_alive().
  void let_go();
  int status() const { return parser_.status_code; }
  std::string_view reason() const { return text(reason_); }  // of a response, behind its status
  int minor() const { return parser_.http_minor; }
  std::string_view method() const { return http_method_str(http_method(parser_.method)); }
  bool connects() const { return parser_.method == HTTP_CONNECT || parser_.upgrade; }
  std::string_view target() const { return text(target_); }
  std::string_view body() const { return text(body_); }
  // The value of the first header of that name, in any case; empty if there is none.
  std::string_view header(std::string_view name) const;
  int times(std::string_view name) const;
  std::size_t headers() const { return headers_.size(); }
  std::pair<std::string_view, std::string_view> header(std::size_t i) const {
    return {text(headers_[i].first), text(headers_[i].second)};
  }

 private:
  struct Span {
    std::size_t at = 0, size = 0;
  };
  // In a head, which is below 4 GB.
  struct HeadSpan {
    std::uint32_t at = 0, size = 0;
    operator Span() const { return {at, size}; }
  };
  std::size_t header_table_bytes() const { return headers_.capacity() * sizeof(headers_[0]); }
  std::size_t size_with_room() const;
  std::string_view text(Span s) const { return {buffer_.data() + s.at, s.size}; }
  template <typename S>
  void join(S& span, const char* at, std::size_t size);
  void forget();
  reading parse();
  std::size_t execute(std::size_t bytes);
  bool has_too_much_framing() const;
  static const http_parser_settings& callbacks();
  static Message& of(http_parser* p) { return *static_cast<Message*>(p->data); }

  http_parser parser_{};
  Limits limits_;
  std::vector<char> buffer_;
  static constexpr std::uint64_t no_length = ~std::uint64_t(0);
  std::size_t parsed_ = 0, end_ = 0;
  std::size_t empty_lines_ = 0;  // bytes of them, dropped before the present message
  std::size_t floor_ = 0;        // where the body begins in the buffer
  std::uint64_t framing_ = 0;    // bytes of chunk sizes, their line ends and trailers
  std::uint64_t length_ = no_length, came_ = 0;
  Span target_, body_, reason_;
  std::vector<std::pair<HeadSpan, HeadSpan>> headers_;
  bool begun_ = false, in_value_ = false, head_done_ = false, complete_ = false, keep_alive_ = false,
       was_continue_sent_ = false;
  reading failed_ = reading::unfinished;
};

bool same_name(std::string_view a, std::string_view b);
bool plain_word(std::string_view s);        // fit for an id: letters, digits and -_.:~, 128 at the most
std::string_view trim(std::string_view s);  // of blanks
// A whole number without sign or blanks; -1 if it is none or too large.
long long whole_number(std::string_view text);

}  // namespace robinpin::codec
