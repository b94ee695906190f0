// What processes of a fleet say to each other, as JSON: the calls of consensus, beats, and what an operator
// asks of a node. Read with the node's JSON reader; what is no such text throws read::malformed.
#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <string>
#include <string_view>

#include "../consensus/register.h"
#include "../members/members.h"
#include "../read/json.h"

namespace robinpin::peer {

inline constexpr int format = 1;  // of all that follows; a newer one is answered with a reason

// Writes one JSON object, a key after the other.
class Out {
 public:
  Out() { writer_.StartObject(); }
  Out& put(const char* key, std::string_view text) {
    writer_.Key(key);
    writer_.String(text.data(), rapidjson::SizeType(text.size()));
    return *this;
  }
  Out& put(const char* key, const char* text) { return put(key, std::string_view(text)); }
  Out& put(const char* key, const std::string& text) { return put(key, std::string_view(text)); }
  Out& put(const char* key, std::uint64_t n) {
    writer_.Key(key);
    writer_.Uint64(n);
    return *this;
  }
  Out& put(const char* key, std::int64_t n) {
    writer_.Key(key);
    writer_.Int64(n);
    return *this;
  }
  Out& put(const char* key, int n) { return put(key, std::int64_t(n)); }
  Out& put(const char* key, double n) {
    writer_.Key(key);
    writer_.Double(n);
    return *this;
  }
  Out& put(const char* key, bool b) {
    writer_.Key(key);
    writer_.Bool(b);
    return *this;
  }
  template <typename Fill>
  Out& object(const char* key, Fill fill) {
    writer_.Key(key);
    writer_.StartObject();
    fill(*this);
    writer_.EndObject();
    return *this;
  }
  // `fill(out, entry)` puts each entry's keys.
  template <typename List, typename Fill>
  Out& list(const char* key, const List& all, Fill fill) {
    writer_.Key(key);
    writer_.StartArray();
    for (const auto& entry : all) {
      writer_.StartObject();
      fill(*this, entry);
      writer_.EndObject();
    }
    writer_.EndArray();
    return *this;
  }
  template <typename List>
  Out& words(const char* key, const List& all) {
    writer_.Key(key);
    writer_.StartArray();
    for (const auto& word : all) writer_.String(word.data(), rapidjson::SizeType(word.size()));
    writer_.EndArray();
    return *this;
  }
  std::string end() {
    writer_.EndObject();
    return {buffer_.GetString(), buffer_.GetSize()};
  }

 private:
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> writer_{buffer_};
};

rapidjson::Document parsed(std::string_view text);
std::uint64_t count(const read::value& o, const char* name);  // 0 where it is missing

std::string text_of(const consensus::Ask& ask);
std::string text_of(const consensus::Reply& reply);
std::string text_of(const members::About& about);
consensus::Ask ask_of(std::string_view text);
consensus::Reply reply_of(std::string_view text);
members::About about_of(std::string_view text);
void put(Out& out, const consensus::Voters& voters);  // as "voters" and "voters_version"
consensus::Voters voters_of(const read::value& o);

}  // namespace robinpin::peer
