#include "json_measure.h"

#include <rapidjson/encodedstream.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>

namespace robinpin::configuration {

namespace {

// Counts the events of a parser; one that returns false ends it.
class Counter : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, Counter> {
 public:
  explicit Counter(std::size_t most_levels) : most_levels_(most_levels) {}

  bool Default() {
    ++measure.values;
    return true;
  }
  bool String(const char*, rapidjson::SizeType length, bool) {
    measure.text_bytes += length;
    return Default();
  }
  bool Key(const char* text, rapidjson::SizeType length, bool copy) { return String(text, length, copy); }
  bool StartObject() { return enter(); }
  bool StartArray() { return enter(); }
  bool EndObject(rapidjson::SizeType) { return leave(); }
  bool EndArray(rapidjson::SizeType) { return leave(); }

  JsonMeasure measure;

 private:
  bool enter() { return ++levels_ <= most_levels_ && Default(); }
  bool leave() {
    --levels_;
    return true;
  }

  const std::size_t most_levels_;
  std::size_t levels_ = 0;
};

}  // namespace

std::optional<JsonMeasure> measure_json(std::string_view text, std::size_t most_levels) {
  constexpr unsigned flags = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;
  // To the parser a zero byte is the end, whatever comes behind it.
  if (text.find('\0') != std::string_view::npos) return std::nullopt;
  rapidjson::MemoryStream memory(text.data(), text.size());
  rapidjson::EncodedInputStream<rapidjson::UTF8<>, rapidjson::MemoryStream> stream(memory);
  rapidjson::Reader reader;
  Counter counter(most_levels);
  if (!reader.Parse<flags>(stream, counter)) return std::nullopt;
  return counter.measure;
}

}  // namespace robinpin::configuration
