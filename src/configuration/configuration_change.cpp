#include "configuration_change.h"

#include <rapidjson/document.h>
#include <rapidjson/pointer.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <map>
#include <set>

#include "json_measure.h"

namespace robinpin::configuration {

namespace {

using rapidjson::Value;
using Out = rapidjson::Writer<rapidjson::StringBuffer>;
constexpr std::size_t most_faults = 50;
constexpr long long longest_deadline = 600'000'000;  // ten minutes
constexpr double longest_duration = 1e15;  // microseconds: beyond any use, and far from what a count holds
constexpr std::size_t most_levels = 16;    // of lists and objects in a call
// For each JSON value: itself, as the parser moves it twice, and what is read from it.
constexpr std::size_t bytes_per_value = 96;

std::string_view text_of(const Value& v) { return {v.GetString(), v.GetStringLength()}; }

bool read_version(const Value* v, std::uint64_t& version) {
  if (!v || !v->IsString() || v->GetStringLength() != 8) return false;
  const char* end = v->GetString() + 8;
  const auto [stop, wrong] = std::from_chars(v->GetString(), end, version, 16);
  return wrong == std::errc() && stop == end;
}

// One record as an object of its own, nulls left out.
struct Row {
  std::string pointer;
  std::map<std::string_view, const Value*> fields;
  const Value* get(std::string_view name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? nullptr : it->second;
  }
};

// Records that share the names of their fields.
struct Table {
  std::string records_at;
  std::vector<std::string_view> names;
  const Value* records = nullptr;  // a list, or null
};

class Reader {
 public:
  explicit Reader(ConfigurationChange& change) : change_(change) {}

  void read(std::string_view body) {
    constexpr unsigned flags = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;
    if (!measure_json(body, most_levels) || doc_.Parse<flags>(body.data(), body.size()).HasParseError() ||
        !doc_.IsObject())
      return fault("", "no JSON object, whole");
    const Value* apply = rapidjson::Pointer("/apply").Get(doc_);
    const Value* remove = rapidjson::Pointer("/remove").Get(doc_);
    for (const auto& [part, name] : {std::pair{apply, "/apply"}, std::pair{remove, "/remove"}})
      if (part && !part->IsNull() && !part->IsObject()) fault(name, "no object");
    if (!apply && !remove) fault("", "neither apply nor remove");
    if (!change_.faults.empty()) return;
    const Table channels = table("/apply/channels"), targets = table("/apply/targets");
    each_row(targets, [this](const Row& r) { target(r); });
    std::set<std::string, std::less<>> dropped;
    drops("/remove/targets", target_prefix, &dropped);
    each_row(channels, [this](const Row& r) { channel(r); });
    drops("/remove/channels", channel_prefix, nullptr);
    saturation();
  }

 private:
  void fault(std::string pointer, std::string reason) {
    if (change_.faults.size() < most_faults)
      change_.faults.push_back({std::move(pointer), std::move(reason)});
  }

  Table table(const std::string& at) {
    Table found;
    const Value* list = rapidjson::Pointer(at.c_str(), at.size()).Get(doc_);
    if (!list || list->IsNull()) return found;
    const std::string axes_at = at + "/axes";
    found.records_at = at + "/records";
    const Value* axes = rapidjson::Pointer(axes_at.c_str(), axes_at.size()).Get(doc_);
    const Value* records = rapidjson::Pointer(found.records_at.c_str(), found.records_at.size()).Get(doc_);
    if (!axes || !axes->IsArray()) return fault(axes_at, "no list of fields"), found;
    if (!records || !records->IsArray()) return fault(found.records_at, "no list of records"), found;
    if (axes->Size() > max_fields) return fault(axes_at, "more than 256 fields"), found;
    for (const Value& name : axes->GetArray()) {
      if (!name.IsString()) return fault(axes_at, "a field's name is no text"), found;
      if (name.GetStringLength() > max_field_name_bytes)
        return fault(axes_at, "a field's name is longer than 256 bytes"), found;
      if (std::find(found.names.begin(), found.names.end(), text_of(name)) != found.names.end())
        return fault(axes_at, "a field is named twice"), found;
      found.names.push_back(text_of(name));
    }
    found.records = records;
    return found;
  }

  // One at a time: all rows of a call would take a multiple of its text.
  template <typename Use>
  void each_row(const Table& table, const Use& use) {
    if (!table.records) return;
    std::size_t n = 0;
    for (const Value& record : table.records->GetArray()) {
      if (change_.is_too_long) return;
      Row row;
      row.pointer = table.records_at + "/" + std::to_string(n++);
      if (!record.IsArray() || record.Size() != table.names.size()) {
        fault(row.pointer, "not as many values as axes");
        continue;
      }
      for (rapidjson::SizeType i = 0; i < record.Size(); ++i)
        if (!record[i].IsNull()) row.fields[table.names[i]] = &record[i];
      use(row);
    }
  }

  bool named(const Row& r, std::string_view prefix, VersionedItem& item) {
    const Value* label = r.get("label");
    if (!label || !label->IsString() || label->GetStringLength() == 0 || label->GetStringLength() > 256)
      return fault(r.pointer, "label: no name"), false;
    item.name = std::string(prefix) + std::string(text_of(*label));
    if (!read_version(r.get("revision"), item.version))
      return fault(r.pointer, "revision: not eight hexadecimal digits"), false;
    return true;
  }

  void keep(const Row& r, VersionedItem item) {
    rapidjson::StringBuffer buffer;
    Out out(buffer);
    out.StartObject();
    for (const auto& [name, value] : r.fields) {
      out.Key(name.data(), rapidjson::SizeType(name.size()));
      value->Accept(out);
    }
    out.EndObject();
    item.text = buffer.GetString();
    add(std::move(item));
  }

  void add(VersionedItem item) {
    bytes_ += item.name.size() + item.text.size();
    if (bytes_ > max_call_bytes)
      change_.is_too_long = true;
    else
      change_.items.push_back(std::move(item));
  }

  void target(const Row& r) {
    VersionedItem item;
    if (!named(r, target_prefix, item)) return;
    if (const Value* w = r.get("warmup"); w && (!w->IsString() || duration_of(text_of(*w)) < 0))
      fault(r.pointer, "warmup: no time");
    if (const Value* p = r.get("warmup_per_s"); p && (!p->IsNumber() || p->GetDouble() < 0))
      fault(r.pointer, "warmup_per_s: no rate");
    if (const Value* c = r.get("conn_limit"); c && (!c->IsInt64() || c->GetInt64() < 1))
      fault(r.pointer, "conn_limit: no count");
    called_.insert(item.name);
    keep(r, std::move(item));
  }

  void knows(const Row& r, const Value& service) {
    if (!service.IsString()) return fault(r.pointer, "target: no name");
    std::string name = std::string(target_prefix) + std::string(text_of(service));
    const bool brought = called_.contains(name);
    change_.needs.push_back(
        {change_.items.size(), std::move(name), r.pointer, brought});  // of the item that is about to be kept
  }

  void channel(const Row& r) {
    VersionedItem item;
    if (!named(r, channel_prefix, item)) return;
    const Value* host = r.get("authority");
    if (!host || !host->IsString() || host->GetStringLength() == 0) fault(r.pointer, "authority: empty");
    const Value* prefix = r.get("path_prefix");
    if (!prefix || !prefix->IsString() || prefix->GetStringLength() == 0 || text_of(*prefix).front() != '/' ||
        text_of(*prefix).back() != '/')
      fault(r.pointer, "path_prefix: does not begin and end with a slash");
    const Value* mode = r.get("mode");
    if (!mode || !mode->IsString() ||
        (text_of(*mode) != "idempotent" && text_of(*mode) != "effectful" && text_of(*mode) != "inflow"))
      fault(r.pointer, "mode: none of idempotent, effectful, inflow");
    const auto time = [&](const char* name, bool needed) {
      const Value* v = r.get(name);
      if (!v && !needed) return;
      const long long span = v && v->IsString() ? duration_of(text_of(*v)) : -1;
      if (span <= 0 || span > longest_deadline)
        fault(r.pointer, std::string(name) + ": no time from 1 ms to ten minutes");
    };
    time("deadline", true);
    time("setpoint_time", false);
    if (const Value* t = r.get("tries"); t && (!t->IsInt64() || t->GetInt64() < 1))
      fault(r.pointer, "tries: below 1");
    const Value *single = r.get("target"), *split = r.get("distribution");
    if (!single && !split) fault(r.pointer, "target: names no service");
    if (single) knows(r, *single);
    if (split) distribution(r, *split);
    keep(r, std::move(item));
  }

  void distribution(const Row& r, const Value& split) {
    if (!split.IsArray()) return fault(r.pointer, "distribution: no list");
    double sum = 0;
    for (const Value& s : split.GetArray()) {
      const Value* gain = s.IsObject() ? rapidjson::Pointer("/gain").Get(s) : nullptr;
      const Value* service = s.IsObject() ? rapidjson::Pointer("/target").Get(s) : nullptr;
      if (!gain || !gain->IsNumber() || gain->GetDouble() < 0 || !service) {
        fault(r.pointer, "distribution: a share without target or gain");
        continue;
      }
      sum += gain->GetDouble();
      knows(r, *service);
    }
    if (sum <= 0) fault(r.pointer, "distribution: the gains sum to 0");
  }

  void drops(const std::string& at, std::string_view prefix, std::set<std::string, std::less<>>* names) {
    const Value* list = rapidjson::Pointer(at.c_str(), at.size()).Get(doc_);
    if (!list || list->IsNull()) return;
    if (!list->IsArray()) return fault(at, "no list");
    std::size_t n = 0;
    for (const Value& v : list->GetArray()) {
      if (change_.is_too_long) return;
      const std::string here = at + "/" + std::to_string(n++);
      const Value* label = v.IsObject() ? rapidjson::Pointer("/label").Get(v) : nullptr;
      VersionedItem item;
      item.dropped = true;
      if (!label || !label->IsString() || label->GetStringLength() == 0)
        fault(here, "label: no name");
      else if (!read_version(rapidjson::Pointer("/revision").Get(v), item.version))
        fault(here, "revision: not eight hexadecimal digits");
      else {
        item.name = std::string(prefix) + std::string(text_of(*label));
        if (names) names->insert(item.name);
        add(std::move(item));
      }
    }
  }

  void saturation() {
    const Value* s = rapidjson::Pointer("/apply/saturation").Get(doc_);
    if (!s || s->IsNull()) return;
    const std::string at = "/apply/saturation";
    if (!s->IsObject()) return fault(at, "no object");
    VersionedItem item;
    item.name = saturation_name;
    if (!read_version(rapidjson::Pointer("/revision").Get(*s), item.version))
      fault(at, "revision: not eight hexadecimal digits");
    for (const char* name : {"/header", "/idle"}) {
      const Value* v = rapidjson::Pointer(name).Get(*s);
      if (v && !v->IsNull() && (!v->IsString() || duration_of(text_of(*v)) <= 0)) fault(at + name, "no time");
    }
    for (const char* name : {"/header_bytes", "/body_bytes"}) {
      const Value* v = rapidjson::Pointer(name).Get(*s);
      if (v && !v->IsNull() && (!v->IsInt64() || v->GetInt64() <= 0)) fault(at + name, "no count of bytes");
    }
    rapidjson::StringBuffer buffer;
    Out out(buffer);
    s->Accept(out);
    item.text = buffer.GetString();
    add(std::move(item));
  }

  ConfigurationChange& change_;
  std::size_t bytes_ = 0;  // of all items
  rapidjson::Document doc_;
  std::set<std::string, std::less<>> called_;  // services that the call itself brings
};

void list_of(Out& out, const ConfigurationStore& stands, std::string_view prefix,
             const std::vector<std::string>& order) {
  rapidjson::MemoryPoolAllocator<>
      pool;  // of all records: one of its own each takes a whole chunk for itself
  std::vector<rapidjson::Document> records;
  std::vector<std::string> axes;
  const auto add = [&](std::string_view name) {
    for (const std::string& a : axes)
      if (a == name) return;
    axes.emplace_back(name);
  };
  for (auto it = stands.items().lower_bound(prefix);
       it != stands.items().end() && it->first.starts_with(prefix); ++it) {
    if (it->second.dropped) continue;
    records.emplace_back(&pool).Parse(it->second.text.data(), it->second.text.size());
  }
  for (const std::string& name : order)
    for (const auto& r : records)
      if (r.HasMember(name.c_str())) {
        add(name);
        break;
      }
  for (const auto& r : records)
    for (const auto& m : r.GetObject()) add(text_of(m.name));
  out.StartObject();
  out.Key("axes");
  out.StartArray();
  for (const std::string& a : axes) out.String(a.data(), rapidjson::SizeType(a.size()));
  out.EndArray();
  out.Key("records");
  out.StartArray();
  for (const auto& r : records) {
    out.StartArray();
    for (const std::string& a : axes) {
      const auto m = r.FindMember(a.c_str());
      if (m == r.MemberEnd())
        out.Null();
      else
        m->value.Accept(out);
    }
    out.EndArray();
  }
  out.EndArray();
  out.EndObject();
}

}  // namespace

long long duration_of(std::string_view text) {
  std::size_t digits = 0;
  while (digits < text.size() && ((text[digits] >= '0' && text[digits] <= '9') || text[digits] == '.'))
    ++digits;
  const std::string_view unit = text.substr(digits);
  if (digits == 0 || digits > 18 || (unit != "ms" && unit != "s")) return -1;
  double n = 0;
  const auto [stop, wrong] = std::from_chars(text.data(), text.data() + digits, n);
  if (wrong != std::errc() || stop != text.data() + digits) return -1;
  n *= unit == "s" ? 1e6 : 1e3;
  return n < longest_duration ? std::llround(n) : -1;
}

std::string version_text(std::uint64_t version) {
  static constexpr char digits[] = "0123456789abcdef";
  std::string text(8, '0');
  for (std::size_t i = 8; i-- > 0; version >>= 4) text[i] = digits[version & 15];
  return text;
}

std::size_t ConfigurationChange::bytes() const {
  std::size_t sum = 0;
  for (const VersionedItem& item : items) sum += sizeof item + item.name.size() + item.text.size();
  for (const ServiceReference& need : needs) sum += sizeof need + need.service.size() + need.pointer.size();
  for (const ValidationError& fault : faults)
    sum += sizeof fault + fault.pointer.size() + fault.reason.size();
  return sum;
}

std::size_t bytes_to_read(std::string_view body) {
  const std::optional<JsonMeasure> measure = measure_json(body, most_levels);
  return measure ? measure->values * bytes_per_value + measure->text_bytes : 0;
}

ConfigurationChange read_call(std::string_view body) {
  ConfigurationChange change;
  Reader(change).read(body);
  const bool is_refused = change.is_too_long || !change.faults.empty();
  if (is_refused) change.items = {}, change.needs = {};
  return change;
}

ConfigurationChange read_change(std::string_view body, const ConfigurationStore& stands) {
  ConfigurationChange change = read_call(body);
  for (const ServiceReference& n : change.needs)
    if (!n.brought && !stands.stands(n.service))
      change.faults.push_back(
          {n.pointer, "target: nobody knows the service " + n.service.substr(target_prefix.size())});
  if (!change.faults.empty()) change.items.clear();
  return change;
}

std::string faults_as_json(const std::vector<ValidationError>& faults) {
  rapidjson::StringBuffer buffer;
  Out out(buffer);
  out.StartObject();
  out.Key("fault");
  out.StartArray();
  for (const ValidationError& f : faults) {
    out.StartObject();
    out.Key("pointer");
    out.String(f.pointer.data(), rapidjson::SizeType(f.pointer.size()));
    out.Key("reason");
    out.String(f.reason.data(), rapidjson::SizeType(f.reason.size()));
    out.EndObject();
  }
  out.EndArray();
  out.EndObject();
  return buffer.GetString();
}

std::string written_out(const ConfigurationStore& stands) {
  rapidjson::StringBuffer buffer;
  Out out(buffer);
  out.StartObject();
  out.Key("channels");
  list_of(out, stands, channel_prefix,
          {"label", "authority", "path_prefix", "mode", "deadline", "setpoint_time", "rank", "distribution",
           "tries", "revision", "target"});
  out.Key("targets");
  list_of(out, stands, target_prefix,
          {"label", "probe", "conn_limit", "protocol", "tls", "warmup", "warmup_per_s", "revision"});
  if (const VersionedItem* s = stands.find(saturation_name); s && !s->dropped) {
    rapidjson::Document d;
    d.Parse(s->text.data(), s->text.size());
    out.Key("saturation");
    d.Accept(out);
  }
  out.EndObject();
  return buffer.GetString();
}

}  // namespace robinpin::configuration
