#include "status_json.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "../transport/address.h"

namespace robinpin::app {

namespace {

constexpr std::int64_t microseconds_per_millisecond = 1'000;

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

void put_text(JsonWriter& json, const char* key, const std::string& value) {
  json.Key(key);
  json.String(value.c_str());
}

void put_bool(JsonWriter& json, const char* key, bool value) {
  json.Key(key);
  json.Bool(value);
}

void put_count(JsonWriter& json, const char* key, std::uint64_t value) {
  json.Key(key);
  json.Uint64(value);
}

void put_milliseconds(JsonWriter& json, const char* key, std::int64_t microseconds) {
  json.Key(key);
  json.Int64(microseconds / microseconds_per_millisecond);
}

void put_identity(JsonWriter& json, const char* role, const bootstrap::Settings& settings) {
  put_text(json, "role", role);
  put_text(json, "node", settings.node);
  put_text(json, "zone", settings.zone);
}

void put_traffic(JsonWriter& json, const transport::UdpTransport& transport) {
  put_count(json, "datagrams", transport.datagrams_sent);
  put_count(json, "datagram_bytes", transport.bytes_sent);
}

void put_memory(JsonWriter& json, const node::MemoryBudget& memory) {
  json.Key("peer_memory");
  json.StartObject();
  put_count(json, "limit", memory.limit());
  put_count(json, "in_use", memory.in_use());
  put_count(json, "highest", memory.highest());
  put_count(json, "refused", memory.refused());
  put_count(json, "closed", memory.evicted());
  put_count(json, "over_share", memory.refused_by_share());
  put_text(json, "last_server_over_share", memory.last_refused_server());
  json.EndObject();
}

void put_resources(JsonWriter& json, const ResourceUsage& usage) {
  json.Key("resources");
  json.StartObject();
  put_count(json, "resident", usage.resident_bytes);
  put_count(json, "unread", usage.unread_bytes);
  put_count(json, "unsent", usage.unsent_bytes);
  put_count(json, "memory_limit", usage.memory_limit_bytes);
  put_count(json, "connections", std::uint64_t(usage.connections));
  put_count(json, "connection_limit", std::uint64_t(usage.connection_limit));
  put_count(json, "connections_refused", usage.connections_refused);
  json.EndObject();
}

const char* server_state(const gossip::MemberRecord& record) {
  if (record.expired) return "expired";
  return record.draining ? "draining" : "admitted";
}

const char* member_state(const gossip::MemberRecord& record) {
  if (record.expired) return "expired";
  return record.leaving ? "leaving" : "member";
}

void put_request_counts(JsonWriter& json, const sidecar::OutboundProxy::Counts& counts) {
  put_count(json, "taken", counts.taken);
  put_count(json, "good", counts.good);
  put_count(json, "failed", counts.failed);
  put_count(json, "refused", counts.refused);
  put_count(json, "further", counts.further);
  put_count(json, "held", counts.held);
  put_count(json, "own_4xx", counts.own_4xx);
  put_count(json, "probes", counts.probes);
}

void put_servers(JsonWriter& json, const ProcessView& process) {
  json.Key("servers");
  json.StartArray();
  for (const auto& [machine, entry] : process.gossip.members().entries()) {
    if (entry.record.server.empty()) continue;
    json.StartObject();
    put_text(json, "id", entry.record.server);
    put_text(json, "service", entry.record.service);
    put_text(json, "zone", entry.record.zone);
    put_text(json, "machine", transport::format_address(machine));
    put_text(json, "state", server_state(entry.record));
    put_milliseconds(json, "heard_ms", process.now - entry.heard);
    json.EndObject();
  }
  json.EndArray();
}

void put_cores(JsonWriter& json, const gossip::Gossip& gossip) {
  json.Key("core");
  json.StartArray();
  for (const auto machine : gossip.cores()) json.String(transport::format_address(machine).c_str());
  json.EndArray();
}

void put_peers(JsonWriter& json, const control_plane::ReplicatedState& state, std::int64_t now) {
  json.Key("peers");
  json.StartArray();
  for (const auto& [machine, peer] : state.peers()) {
    json.StartObject();
    put_text(json, "machine", transport::format_address(machine));
    put_text(json, "store", peer.heartbeat.store);
    put_count(json, "number", peer.heartbeat.committed.number);
    put_bool(json, "votes", peer.heartbeat.votes);
    put_bool(json, "leaving", peer.heartbeat.leaving);
    put_milliseconds(json, "heard_ms", now - peer.last_heard);
    json.Key("answered_ms");
    json.Int64(peer.last_contact < 0 ? -1 : (now - peer.last_contact) / microseconds_per_millisecond);
    json.EndObject();
  }
  json.EndArray();
}

void put_members(JsonWriter& json, const gossip::Gossip& gossip) {
  json.Key("members");
  json.StartArray();
  for (const auto& [machine, entry] : gossip.members().entries()) {
    json.StartObject();
    put_text(json, "machine", transport::format_address(machine));
    put_text(json, "zone", entry.record.zone);
    put_text(json, "state", member_state(entry.record));
    put_text(json, "server", entry.record.server);
    json.EndObject();
  }
  json.EndArray();
}

}  // namespace

std::string sidecar_status_json(const ProcessView& process, const sidecar::OutboundProxy& outbound_proxy,
                                bool is_ready) {
  rapidjson::StringBuffer buffer;
  JsonWriter json(buffer);
  json.StartObject();
  put_identity(json, "sidecar", process.settings);
  put_bool(json, "ready", is_ready);
  put_count(json, "items", process.configuration.items().size());
  put_count(json, "machines", process.gossip.members().entries().size());
  put_count(json, "pending", outbound_proxy.pending());
  put_request_counts(json, outbound_proxy.counts());
  put_traffic(json, process.transport);
  put_memory(json, process.memory);
  put_resources(json, process.resources);
  put_servers(json, process);
  json.EndObject();
  return buffer.GetString();
}

std::string control_plane_status_json(const ProcessView& process,
                                      const control_plane::ReplicatedState& replicated_state) {
  rapidjson::StringBuffer buffer;
  JsonWriter json(buffer);
  json.StartObject();
  put_identity(json, "control-plane", process.settings);
  put_bool(json, "copy_whole", replicated_state.is_current(process.now));
  put_text(json, "store", replicated_state.store());
  put_bool(json, "votes", replicated_state.is_voter());
  put_count(json, "number", replicated_state.committed_number());
  put_count(json, "epoch", replicated_state.voters().version);
  put_bool(json, "changing", replicated_state.voters().changing());
  put_count(json, "floor", process.configuration.floor());
  put_count(json, "items", process.configuration.items().size());
  put_count(json, "orders", replicated_state.pending_requests());
  put_traffic(json, process.transport);
  put_memory(json, process.memory);
  put_resources(json, process.resources);
  put_cores(json, process.gossip);
  put_peers(json, replicated_state, process.now);
  put_members(json, process.gossip);
  json.EndObject();
  return buffer.GetString();
}

}  // namespace robinpin::app
