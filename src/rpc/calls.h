// The control calls, each with its answer. Method and path are those of the protocol; `read` returns nothing
// for a request that is no such call.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/pointer.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "../configuration/configuration_change.h"
#include "server.h"

namespace robinpin::rpc {

// 200 without content, or 503 with the fault.
struct Acknowledgement {
  bool is_success = true;
  std::string fault;

  operator Reply() const { return is_success ? Reply{} : Reply{503, "{\"fault\":\"" + fault + "\"}", {}}; }
};

// The application server beside a sidecar is there, and how it is.
struct Heartbeat {
  static constexpr std::string_view method = "POST", path = "/v1/Servers.Heartbeat/";
  using Answer = Acknowledgement;

  std::string id;
  std::string target;  // the service
  std::string address;
  std::string zone;
  bool draining = false;
  int capacity = 1;              // requests at once
  std::int64_t warmup_left = 0;  // microseconds
  std::uint64_t sequence = 0;

  static std::optional<Heartbeat> read(std::string_view argument, std::string_view body) {
    rapidjson::Document document;
    // Iterative, as lists in lists would take the stack of a recursive parser.
    document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
    if (argument.empty() || document.HasParseError() || !document.IsObject()) return std::nullopt;
    Heartbeat heartbeat;
    heartbeat.id = argument;
    heartbeat.target = text_at(document, "/target");
    heartbeat.address = text_at(document, "/address");
    heartbeat.zone = text_at(document, "/zone");
    heartbeat.draining = text_at(document, "/state") == "draining";
    const auto* capacity = rapidjson::Pointer("/capacity").Get(document);
    if (capacity && capacity->IsInt()) heartbeat.capacity = std::max(1, capacity->GetInt());
    const auto* sequence = rapidjson::Pointer("/sequence").Get(document);
    if (sequence && sequence->IsUint64()) heartbeat.sequence = sequence->GetUint64();
    const std::int64_t warmup_left = configuration::duration_of(text_at(document, "/warmup_left"));
    heartbeat.warmup_left = std::max<std::int64_t>(0, warmup_left);
    if (heartbeat.target.empty() || heartbeat.address.empty()) return std::nullopt;
    return heartbeat;
  }

 private:
  static std::string text_at(const rapidjson::Document& document, const char* pointer) {
    const rapidjson::Value* value = rapidjson::Pointer(pointer).Get(document);
    if (!value || !value->IsString()) return {};
    return {value->GetString(), value->GetStringLength()};
  }
};

// The application server beside a sidecar has ended.
struct Departure {
  static constexpr std::string_view method = "POST", path = "/v1/Servers.Departure/";
  using Answer = Acknowledgement;
  std::string id;
  static std::optional<Departure> read(std::string_view argument, std::string_view) {
    if (argument.empty()) return std::nullopt;
    return Departure{std::string(argument)};
  }
};

// Whether the process may be used.
struct Readiness {
  static constexpr std::string_view method = "GET", path = "/v1/readiness";
  using Answer = Acknowledgement;
  static std::optional<Readiness> read(std::string_view, std::string_view) { return Readiness{}; }
};

// Changes the configuration.
struct Adjust {
  static constexpr std::string_view method = "POST", path = "/v1/Configuration.Adjust";
  using Answer = Reply;
  std::string_view body;  // of the request, which stands until it is answered
  static std::optional<Adjust> read(std::string_view, std::string_view body) { return Adjust{body}; }
};

// Reads the whole configuration.
struct Read {
  static constexpr std::string_view method = "GET", path = "/v1/Configuration.Read";
  using Answer = Reply;
  static std::optional<Read> read(std::string_view, std::string_view) { return Read{}; }
};

// Evacuates a zone, or revokes its evacuation.
template <bool begins>
struct Evacuation {
  static constexpr std::string_view method = "POST";
  static constexpr std::string_view path = begins ? "/v1/Evacuation.Begin/" : "/v1/Evacuation.Finish/";
  static constexpr std::size_t longest_zone_name = 200;  // bytes
  using Answer = Reply;
  std::string zone;
  static std::optional<Evacuation> read(std::string_view argument, std::string_view) {
    if (argument.empty() || argument.size() > longest_zone_name) return std::nullopt;
    return Evacuation{std::string(argument)};
  }
};

// An extension of the protocol: how many core machines vote.
struct CoreSize {
  static constexpr std::string_view method = "POST", path = "/v1/Core.Size/";
  static constexpr std::size_t most_digits = 2;
  using Answer = Reply;
  std::string count;
  static std::optional<CoreSize> read(std::string_view argument, std::string_view) {
    if (argument.empty() || argument.size() > most_digits) return std::nullopt;
    return CoreSize{std::string(argument)};
  }
};

// An extension of the protocol: what this process is and believes, for operators and tools.
struct Status {
  static constexpr std::string_view method = "GET", path = "/v1/status";
  using Answer = Reply;
  static std::optional<Status> read(std::string_view, std::string_view) { return Status{}; }
};

}  // namespace robinpin::rpc
