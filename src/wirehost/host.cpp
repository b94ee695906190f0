#include "host.h"

#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdio>
#include <functional>
#include <string_view>
#include <utility>

#include "../read/house.h"

namespace robinpin::wirehost {

namespace {

using namespace read;

ending ending_of(int code) {
  static constexpr std::array codes = {ending::settled,   ending::error,       ending::refused,
                                       ending::timed_out, ending::unreachable, ending::reset,
                                       ending::withdrawn, ending::moot};
  if (code < 0 || code >= int(codes.size())) wrong("outcome " + std::to_string(code) + " is not known");
  return codes[std::size_t(code)];
}

constexpr ListNames names = {"Server",  "Dc",     "Flavor",     "UnitGroup",   "Share",
                             "ReadyAt", "Health", "in_service", "terminating", "terminated"};

}  // namespace

struct Host::Instance {
  std::unique_ptr<Balancer> balancer;
  House house;

  void boot(const value& e, micros now);
  bool report(const value& e, Report& out) const;
};

void Host::Instance::boot(const value& e, micros now) {
  house = read::house(object(need(e, "Config"), "Config"));
  const value& salt = need(e, "Salt");
  if (!salt.IsUint64() && !salt.IsInt64()) wrong("Salt is not a whole number");
  const std::uint64_t seed = salt.IsUint64() ? salt.GetUint64() : std::uint64_t(salt.GetInt64());
  balancer = std::make_unique<Balancer>(house.terms, std::uint32_t(seed ^ (seed >> 32)), now);
}

bool Host::Instance::report(const value& e, Report& out) const {
  const value* row = find(e, "Feedback");
  if (!row) return false;
  array(*row, "Feedback");
  for (rapidjson::SizeType i = 0; i < row->Size() && i < house.figures.size(); ++i)
    if (!(*row)[i].IsNull()) set_figure(out, house.figures[i], number((*row)[i], "Feedback"));
  return true;
}

// One batch: its events in order, and the reply as it grows.
class Host::Batch {
 public:
  Batch(Host& host, const value& batch, std::int64_t seq) : host_(host), out_(buffer_) {
    now_ = time_of(batch, "Now");
    out_.StartObject();
    out_.Key("seq");
    out_.Int64(seq);
    out_.Key("do");
    out_.StartArray();
    for (const value& happened : array(need(batch, "happened"), "happened").GetArray()) {
      if (!happened.IsObject() || happened.MemberCount() != 1)
        wrong("an event is not an object with one key");
      const auto& event = *happened.MemberBegin();
      name_ = {event.name.GetString(), event.name.GetStringLength()};
      pass(object(event.value, name_.c_str()));
    }
    out_.EndArray();
    out_.EndObject();
  }

  std::string text() const { return {buffer_.GetString(), buffer_.GetSize()}; }

 private:
  void pass(const value& e);
  void boot(const value& e);
  void sync(Instance& in, const value& e);
  void taken(Instance& in, const value& e);
  void ended(Instance& in, const value& e);
  void peer(Instance& in, const value& e);
  Decisions call(Instance& in, const value& e);
  void write(const Decisions& d);
  void list(const value& e);

  template <typename Fields>
  void action(const char* name, Fields fields) {
    out_.StartObject();
    out_.Key(name);
    out_.StartObject();
    out_.Key("I");
    out_.Int(instance_);
    fields();
    out_.EndObject();
    out_.EndObject();
  }
  void put(const char* key, const std::string& s) {
    out_.Key(key);
    out_.String(s.data(), rapidjson::SizeType(s.size()));
  }
  void put(const char* key, micros t) {
    char digits[32];
    const int n = std::snprintf(digits, sizeof digits, "%lld.%03lld", static_cast<long long>(t / 1000),
                                static_cast<long long>(t % 1000));
    out_.Key(key);
    out_.RawValue(digits, std::size_t(n), rapidjson::kNumberType);
  }

  Host& host_;
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> out_;
  micros now_ = 0;
  int instance_ = 0;
  std::string name_;
};

void Host::Batch::list(const value& e) {
  const int id = integer(need(e, "RosterId"), "RosterId");
  if (id < 0 || id >= int(host_.lists_.size())) wrong("RosterId is out of range");
  auto& lines = host_.lists_[std::size_t(id)];
  lines.clear();
  for (const value& entry : array(need(e, "Lines"), "Lines").GetArray())
    lines.push_back(line_of(entry, names));
}

void Host::Batch::pass(const value& e) {
  if (name_ == "Catalog") return list(e);
  instance_ = integer(need(e, "I"), "I");
  if (name_ == "Boot") {
    auto in = std::make_unique<Instance>();
    in->boot(e, now_);
    host_.instances_[instance_] = std::move(in);
    return;
  }
  const auto it = host_.instances_.find(instance_);
  if (it == host_.instances_.end()) wrong(name_ + " for an instance that has not started");
  if (name_ == "Kill") {
    host_.instances_.erase(it);
    return;
  }
  try {
    write(call(*it->second, e));
  } catch (const malformed&) {
    throw;
  } catch (const std::exception& failure) {
    action("Exception", [&] { put("Words", std::string(failure.what())); });
  }
}

Decisions Host::Batch::call(Instance& in, const value& e) {
  Balancer& b = *in.balancer;
  const auto ticket = [&] { return read::text(need(e, "Ticket"), "Ticket"); };
  const auto server = [&] { return read::text(need(e, "Server"), "Server"); };
  Report r;
  if (name_ == "ClosedAttempt") {
    const bool reported = in.report(e, r);
    const ending how = ending_of(integer(need(e, "Rc"), "Rc"));
    const std::string named = server();
    if (named.empty()) wrong("Server is empty");
    return b.posting_ended(now_, ticket(), integer(need(e, "N"), "N"), how, time_of(e, "Lag"),
                           flag(e, "Final"), reported ? &r : nullptr);
  }
  if (name_ == "Req") {
    const std::string scheme = read::text(need(e, "Service"), "Service");
    const auto known = in.house.schemes.find(scheme);
    if (known == in.house.schemes.end()) wrong("scheme " + scheme + " is not in the settings");
    int tenant = -1;
    if (const value* t = find(e, "UserGroup"); t && t->IsString()) {
      const auto of = in.house.tenants.find(t->GetString());
      if (of != in.house.tenants.end()) tenant = of->second;
    }
    const int marks = find(e, "Marks") ? integer(*find(e, "Marks"), "Marks") : 0;
    const double cost = (marks & 1) != 0 ? number(e, "Predicted", 0) * 1000 : 0;
    Said said;
    said.repeat = (marks & 2) != 0;
    if (const value* key = find(e, "Entity"); key && key->IsString())
      said.key = hashed({key->GetString(), key->GetStringLength()});
    return b.txn_taken(now_, ticket(), known->second, tenant, time_of(e, "Grace"), cost, {}, said);
  }
  if (name_ == "Wakeup") {
    read::text(need(e, "Token"), "Token");
    return b.woke(now_);
  }
  if (name_ == "Aborted") return b.client_left(now_, ticket());
  if (name_ == "UnderWay") return b.stream_begun(now_, ticket(), integer(need(e, "N"), "N"));
  if (name_ == "Sampled") {
    const bool ok = integer(need(e, "Rc"), "Rc") == 0, reported = in.report(e, r);
    return b.probe_answered(now_, server(), ok, time_of(e, "Lag"), reported ? &r : nullptr);
  }
  if (name_ == "Peer") {
    const std::string raw = read::text(need(e, "Raw"), "Raw");
    return b.peer_heard(now_, integer(need(e, "SrcPeer"), "SrcPeer"), raw);
  }
  if (name_ == "Sync") {
    const std::string form = read::text(need(e, "Form"), "Form");
    if (form == "broken") return b.list_failed(now_);
    if (form != "patch" && form != "whole" && form != "stale_copy") wrong("Form " + form + " is not known");
    const int id = integer(need(e, "RosterId"), "RosterId");
    if (id < 0 || id >= int(host_.lists_.size())) wrong("RosterId is out of range");
    return b.list_told(now_, host_.lists_[std::size_t(id)], form != "patch", form != "stale_copy");
  }
  wrong("event " + name_ + " is not known");
}

void Host::Batch::write(const Decisions& d) {
  for (const auto& f : d.finals)
    action(f.declined ? "Reject" : "DropRequest", [&] {
      put("Ticket", f.txn);
      if (f.declined && f.come_back > 0) put("RetryIn", f.come_back);
    });
  for (const auto& w : d.withdrawals)
    action("Revoke", [&] {
      put("Ticket", w.txn);
      out_.Key("N");
      out_.Int(w.posting);
    });
  for (const auto& s : d.sends)
    action("Attempt", [&] {
      put("Ticket", s.txn);
      put("Server", s.server);
      if (s.wait > 0) put("MaxWait", s.wait);
    });
  for (const auto& p : d.probes) action("SoundOut", [&] { put("Server", p); });
  if (d.list == list_call::watch)
    action("Subscribe", [&] {
      out_.Key("Enable");
      out_.Bool(true);
    });
  if (d.wake_in > 0)
    action("Timer", [&] {
      put("FromNow", d.wake_in);
      put("Token", std::string("look"));
    });
}

Host::Host() = default;
Host::~Host() = default;

std::string Host::reply(std::string line) {
  rapidjson::Document batch;
  batch.ParseInsitu<rapidjson::kParseFullPrecisionFlag>(line.data());
  if (batch.HasParseError())
    throw malformed(std::string("batch of unknown seq: not JSON: ") +
                    GetParseError_En(batch.GetParseError()));
  if (!batch.IsObject()) throw malformed("batch of unknown seq: not an object");
  const value* seq = find(batch, "seq");
  if (!seq || !seq->IsInt64())
    throw malformed("batch of unknown seq: field seq is missing or not a whole number");
  try {
    return Batch(*this, batch, seq->GetInt64()).text();
  } catch (const malformed& what) {
    throw malformed("batch seq " + std::to_string(seq->GetInt64()) + ": " + what.what());
  }
}

}  // namespace robinpin::wirehost
