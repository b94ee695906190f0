// The calls that PROTOCOL names, each with its answer.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/pointer.h>

#include <optional>
#include <string>
#include <string_view>

#include "../configuration/configuration_change.h"
#include "server.h"

namespace robinpin::rpc {

struct Done {  // a plain yes or no
  bool good = true;
  std::string fault;
  operator Reply() const { return good ? Reply{} : Reply{503, "{\"fault\":\"" + fault + "\"}", {}}; }
};

struct Heartbeat {
  static constexpr std::string_view method = "POST", path = "/v1/Servers.Heartbeat/";
  using Answer = Done;
  std::string id, target, address, zone;
  bool draining = false;
  int capacity = 1;
  std::int64_t warmup_left = 0;  // microseconds
  std::uint64_t sequence = 0;
  static std::optional<Heartbeat> read(std::string_view argument, std::string_view body) {
    rapidjson::Document d;
    if (argument.empty() || d.Parse(body.data(), body.size()).HasParseError() || !d.IsObject())
      return std::nullopt;
    const auto text = [&](const char* p) -> std::string {
      const rapidjson::Value* v = rapidjson::Pointer(p).Get(d);
      return v && v->IsString() ? std::string(v->GetString(), v->GetStringLength()) : std::string();
    };
    Heartbeat b;
    b.id = argument, b.target = text("/target"), b.address = text("/address"), b.zone = text("/zone");
    b.draining = text("/state") == "draining";
    if (const auto* v = rapidjson::Pointer("/capacity").Get(d); v && v->IsInt())
      b.capacity = std::max(1, v->GetInt());
    if (const auto* v = rapidjson::Pointer("/sequence").Get(d); v && v->IsUint64())
      b.sequence = v->GetUint64();
    b.warmup_left = std::max<std::int64_t>(0, configuration::span_of(text("/warmup_left")));
    if (b.target.empty() || b.address.empty()) return std::nullopt;
    return b;
  }
};

struct Departure {
  static constexpr std::string_view method = "POST", path = "/v1/Servers.Departure/";
  using Answer = Done;
  std::string id;
  static std::optional<Departure> read(std::string_view argument, std::string_view) {
    return argument.empty() ? std::nullopt : std::optional(Departure{std::string(argument)});
  }
};

struct Readiness {
  static constexpr std::string_view method = "GET", path = "/v1/readiness";
  using Answer = Done;
  static std::optional<Readiness> read(std::string_view, std::string_view) { return Readiness{}; }
};

struct Adjust {
  static constexpr std::string_view method = "POST", path = "/v1/Configuration.Adjust";
  using Answer = Reply;
  std::string body;
  static std::optional<Adjust> read(std::string_view, std::string_view body) {
    return Adjust{std::string(body)};
  }
};

struct Read {
  static constexpr std::string_view method = "GET", path = "/v1/Configuration.Read";
  using Answer = Reply;
  static std::optional<Read> read(std::string_view, std::string_view) { return Read{}; }
};

template <bool begins>
struct Evacuation {
  static constexpr std::string_view method = "POST",
                                    path = begins ? "/v1/Evacuation.Begin/" : "/v1/Evacuation.Finish/";
  using Answer = Reply;
  std::string zone;
  static std::optional<Evacuation> read(std::string_view argument, std::string_view) {
    return argument.empty() || argument.size() > 200 ? std::nullopt
                                                     : std::optional(Evacuation{std::string(argument)});
  }
};

struct CoreSize {  // ours: how many core machines vote
  static constexpr std::string_view method = "POST", path = "/v1/Core.Size/";
  using Answer = Reply;
  std::string count;
  static std::optional<CoreSize> read(std::string_view argument, std::string_view) {
    return argument.empty() || argument.size() > 2 ? std::nullopt
                                                   : std::optional(CoreSize{std::string(argument)});
  }
};

struct Status {  // ours: what this process is and believes, for operators and tools
  static constexpr std::string_view method = "GET", path = "/v1/status";
  using Answer = Reply;
  static std::optional<Status> read(std::string_view, std::string_view) { return Status{}; }
};

}  // namespace robinpin::rpc
