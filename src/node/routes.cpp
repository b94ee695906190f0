#include "routes.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <chrono>

#include "../log/log.h"

namespace robinpin::node {

namespace {

std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

bool Routes::renew(const config::Reading& reading) {
  const config::File& file = reading.file;
  if (!reading.good()) {
    const std::string faults = config::text(file.path, reading.faults);
    ++counters_.config_refused;
    refused_ms_ = unix_ms();
    // The same faults of the same bytes are told once, however often the file is read.
    if (refused_hash_ != file.hash || refused_ != faults) {
      log::error(log::part::config, "{} is not used, {} stays in force:\n{}", file.path,
                 version_ > 0 ? "version " + std::to_string(version_) : "nothing of it", faults);
      facts_.configured(file.hash, version_, faults);
    }
    refused_hash_ = file.hash;
    refused_ = faults;
    return false;
  }
  table_ = std::make_shared<limits::Table>(config::routes(file, house_), table_.get());
  path_ = file.path;
  hash_ = file.hash;
  accepted_ms_ = unix_ms();
  refused_.clear();
  refused_hash_.clear();
  ++version_;
  ++counters_.config_accepted;
  log::info(log::part::config, "{} is in force: version {}, hash {}, {} routes", path_, version_, hash_,
            file.routes.size());
  if (!reading.notes.empty())
    log::warning(log::part::config, "of it, cut short:\n{}", config::text(path_, reading.notes));
  facts_.configured(hash_, version_, "");
  return true;
}

limits::Taken Routes::take(const limits::Asked& txn, micros now) const {
  return table_ ? table_->take(txn, now) : limits::Taken{};
}

std::string Routes::told() const {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> out(buffer);
  const auto string = [&](const char* key, const std::string& s) {
    out.Key(key);
    out.String(s.data(), rapidjson::SizeType(s.size()));
  };
  out.StartObject();
  out.Key("version");
  out.Int(version_);
  out.Key("deployment");
  out.StartObject();
  out.Key("streams");
  out.Int(house_.terms.streams);
  out.Key("repeats_marked");
  out.Bool(house_.terms.repeats_marked);
  out.Key("warm_keys");
  out.Bool(house_.terms.warm_keys);
  out.Key("nodes");
  out.Int(house_.terms.nodes);
  out.EndObject();
  if (version_ > 0) {
    string("file", path_);
    string("hash", hash_);
    out.Key("accepted_ms");
    out.Int64(accepted_ms_);
    out.Key("routes");
    out.StartArray();
    for (std::size_t i = 0; i < table_->routes().size(); ++i) {
      out.StartObject();
      string("name", table_->routes()[i].name);
      out.Key("in_flight");
      out.Int(table_->account(int(i)).in_flight);
      out.EndObject();
    }
    out.EndArray();
  }
  if (!refused_.empty()) {
    out.Key("refused");
    out.StartObject();
    string("hash", refused_hash_);
    out.Key("at_ms");
    out.Int64(refused_ms_);
    string("faults", refused_);
    out.EndObject();
  }
  out.EndObject();
  return std::string(buffer.GetString(), buffer.GetSize()) + "\n";
}

}  // namespace robinpin::node
