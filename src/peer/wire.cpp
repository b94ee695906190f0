#include "wire.h"

namespace robinpin::peer {

using namespace consensus;

rapidjson::Document parsed(std::string_view text) {
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (d.HasParseError() || !d.IsObject()) read::wrong("is no JSON object");
  return d;
}

std::uint64_t count(const read::value& o, const char* name) {
  const auto* v = read::find(o, name);
  if (!v) return 0;
  if (!v->IsUint64()) read::wrong(std::string(name) + " is not a whole number");
  return v->GetUint64();
}

namespace {

std::string text(const read::value& o, const char* name) { return read::text(o, name, ""); }

void put(Out& out, const char* round, const char* by, const Ballot& b) {
  if (b.round > 0) out.put(round, b.round).put(by, b.proposer);
}
Ballot ballot(const read::value& o, const char* round, const char* by) {
  return {count(o, round), text(o, by)};
}

void put(Out& out, const Value& v) {
  if (v.version > 0) out.put("version", v.version).put("text", v.text).put("by", v.by);
}
Value value(const read::value& o) { return {count(o, "version"), text(o, "text"), text(o, "by")}; }

template <typename Enum>
Enum one_of(const read::value& o, const char* name, int most) {
  const auto n = count(o, name);
  if (n > std::uint64_t(most)) read::wrong(std::string(name) + " is not known");
  return Enum(int(n));
}

constexpr rapidjson::SizeType most_seen = 64;

}  // namespace

void put(Out& out, const Voters& v) {
  if (v.version > 0) out.put("voters_version", v.version).put("voters", v.text());
}

Voters voters_of(const read::value& o) {
  const auto version = count(o, "voters_version");
  if (version == 0) return {};
  const auto v = Voters::read(version, text(o, "voters"));
  if (!v) read::wrong("voters can't be read");
  return *v;
}

std::string text_of(const Ask& a) {
  Out out;
  out.put("what", int(a.what)).put("store", a.store).put("name", a.name);
  put(out, "round", "proposer", a.ballot);
  put(out, a.value);
  put(out, a.voters);
  if (!a.seen.empty())
    out.list("seen", a.seen, [](Out& o, const auto& s) { o.put("store", s.first).put("counter", s.second); });
  return out.end();
}

Ask ask_of(std::string_view json) {
  const auto d = parsed(json);
  Ask a;
  a.what = one_of<phase>(d, "what", int(phase::names));
  a.store = text(d, "store");
  a.name = text(d, "name");
  a.ballot = ballot(d, "round", "proposer");
  a.value = value(d);
  a.voters = voters_of(d);
  if (const auto* seen = read::find(d, "seen"))
    read::each(*seen, "seen", [&](const read::value& s) {
      if (a.seen.size() < most_seen)
        a.seen.emplace_back(text(read::object(s, "seen"), "store"), count(s, "counter"));
    });
  return a;
}

std::string text_of(const Reply& r) {
  Out out;
  out.put("how", int(r.how)).put("what", int(r.what)).put("store", r.store).put("counter", r.counter);
  put(out, "round", "proposer", r.ballot);
  put(out, "promised", "promised_by", r.promised);
  put(out, "accepted", "accepted_by", r.accepted);
  put(out, r.value);
  put(out, r.voters);
  if (!r.names.empty()) out.words("names", r.names);
  return out.end();
}

Reply reply_of(std::string_view json) {
  const auto d = parsed(json);
  Reply r;
  r.how = one_of<verdict>(d, "how", int(verdict::older));
  r.what = one_of<phase>(d, "what", int(phase::names));
  r.store = text(d, "store");
  r.counter = count(d, "counter");
  r.ballot = ballot(d, "round", "proposer");
  r.promised = ballot(d, "promised", "promised_by");
  r.accepted = ballot(d, "accepted", "accepted_by");
  r.value = value(d);
  r.voters = voters_of(d);
  if (const auto* names = read::find(d, "names"))
    read::each(*names, "names", [&](const read::value& n) { r.names.push_back(read::text(n, "name")); });
  return r;
}

std::string text_of(const members::About& a) {
  return Out()
      .put("name", a.name)
      .put("incarnation", a.incarnation)
      .put("hall", a.hall)
      .put("version", a.version)
      .put("config", a.config)
      .put("address", a.address)
      .put("store", a.store)
      .put("tier", a.tier)
      .put("counter", a.counter)
      .put("every", std::int64_t(a.every))
      .end();
}

members::About about_of(std::string_view json) {
  const auto d = parsed(json);
  members::About a;
  a.name = text(d, "name");
  a.incarnation = text(d, "incarnation");
  a.hall = text(d, "hall");
  a.version = text(d, "version");
  a.config = text(d, "config");
  a.address = text(d, "address");
  a.store = text(d, "store");
  a.tier = int(read::number(d, "tier", 0));
  a.counter = count(d, "counter");
  a.every = std::int64_t(std::min<std::uint64_t>(count(d, "every"), 3'600'000'000));
  if (a.name.empty() || a.incarnation.empty() || a.every == 0)
    read::wrong("name, incarnation or every is missing");
  if (json.size() > 4096) read::wrong("too long");
  return a;
}

}  // namespace robinpin::peer
