// Tells what a file means: its faults as text or JSON, and why a txn gets the limits that it gets.
#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <iterator>
#include <set>

#include "file.h"

namespace robinpin::config {

std::string json(const Reading& reading) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> out(buffer);
  const auto string = [&](const char* key, const std::string& s) {
    out.Key(key);
    out.String(s.data(), rapidjson::SizeType(s.size()));
  };
  const auto list = [&](const char* key, const std::vector<Fault>& faults) {
    out.Key(key);
    out.StartArray();
    for (const Fault& f : faults) {
      out.StartObject();
      out.Key("line");
      out.Int(f.at.line);
      out.Key("column");
      out.Int(f.at.column);
      string("key", f.key);
      string("what", f.what);
      out.EndObject();
    }
    out.EndArray();
  };
  out.StartObject();
  string("file", reading.file.path);
  string("hash", reading.file.hash);
  out.Key("good");
  out.Bool(reading.good());
  out.Key("routes");
  out.Uint64(reading.file.routes.size());
  const Deployment& d = reading.file.deployment;
  out.Key("deployment");  // what the file says itself
  out.StartObject();
  if (d.streams.said()) out.Key("streams"), out.Int(d.streams.value);
  if (d.repeats_marked.said()) out.Key("repeats_marked"), out.Bool(d.repeats_marked.value);
  if (d.warm_keys.said()) out.Key("warm_keys"), out.Bool(d.warm_keys.value);
  out.EndObject();
  list("faults", reading.faults);
  list("notes", reading.notes);
  out.EndObject();
  return buffer.GetString();
}

std::string explain(const File& file, const read::House& house, const Question& q) {
  const Terms& terms = house.terms;
  const auto scheme = house.schemes.find(q.scheme);
  if (scheme == house.schemes.end()) return "";
  const scheme_row& row = terms.schemes[std::size_t(scheme->second)];
  const auto tenant = house.tenants.find(q.tenant);
  const std::string method = !q.method.empty() ? q.method : row.kind == repeats::repeatable ? "GET" : "POST";
  const std::string path = q.path.empty() ? "/" : q.path;
  const limits::Table table(routes(file, house));
  const int number = table.find(
      {scheme->second, tenant == house.tenants.end() ? limits::any : tenant->second, method, path});
  const bool own = number >= 0 && std::size_t(number) < file.routes.size();
  const Route none;
  const Route& route = own ? file.routes[std::size_t(number)] : none;
  const Limits l = effective(file, route);

  std::string out = fmt::format("txn       {} {} of {} ({})\n", method, path, q.scheme, word(row.kind));
  out += own ? fmt::format("route     {}, {}:{}\n", route.name.value, file.path, route.at.line)
             : fmt::format("route     none; [defaults] of {}\n", file.path);
  const auto put = [&](const char* key, const std::string& value, const std::string& why) {
    fmt::format_to(std::back_inserter(out), "  {:<18} {:<12} {}\n", key, value, why);
  };
  std::set<int> defaults;
  {
    const Limits& d = file.defaults;
    for (const At& at :
         {d.posting_timeout.at, d.second_copy_after.at, d.come_back.at, d.postings.at, d.in_flight.at,
          d.second_copies.at, d.further_share.at, d.rate.at, d.burst.at, d.may_repeat.at, d.within.at})
      if (own && at.said()) defaults.insert(at.line);
  }
  const auto line = [&](At at) {
    return fmt::format("{}:{}{}", file.path, at.line, defaults.contains(at.line) ? " (defaults)" : "");
  };
  const auto cut = [&](At at, const char* term, const std::string& said) {
    return fmt::format("the terms ({}); {} would allow {}", term, line(at), said);
  };

  put("repeats", word(std::max(row.kind, l.may_repeat.said() ? l.may_repeat.value : row.kind)),
      l.may_repeat.said() && l.may_repeat.value > row.kind
          ? fmt::format("{}, stricter than the terms' {}", line(l.may_repeat.at), word(row.kind))
          : "the terms (Effect)");
  if (row.kind == repeats::referenced)
    put("within", word(std::max(row.within, l.within.said() ? l.within.value : row.within)),
        l.within.said() && l.within.value > row.within ? line(l.within.at) : "the terms (Group)");
  put("expiry", duration(row.expiry), "the terms (Expiry), or less where the client says so");
  if (l.posting_timeout.said())
    put("posting_timeout", duration(l.posting_timeout.value), line(l.posting_timeout.at));
  else
    put("posting_timeout", "-", "not set: until the client gives up");
  if (!l.postings.said())
    put("postings", std::to_string(terms.most_postings), "the terms (MostPostings)");
  else if (l.postings.value > terms.most_postings)
    put("postings", std::to_string(terms.most_postings),
        cut(l.postings.at, "MostPostings", std::to_string(l.postings.value)));
  else
    put("postings", std::to_string(l.postings.value), line(l.postings.at));
  const bool once = std::max(row.kind, l.may_repeat.value) == repeats::once_only;
  if (once)
    put("second_copies", "no", "once-only");
  else if (!terms.two_at_once)
    put("second_copies", "no",
        l.second_copies.said() && l.second_copies.value ? cut(l.second_copies.at, "SecondCopies", "them")
                                                        : "the terms (SecondCopies)");
  else if (!l.second_copies.said())
    put("second_copies", "yes", "the terms (SecondCopies)");
  else
    put("second_copies", l.second_copies.value ? "yes" : "no", line(l.second_copies.at));
  if (!once)
    put("second_copy_after", l.second_copy_after.said() ? duration(l.second_copy_after.value) : "-",
        l.second_copy_after.said() ? line(l.second_copy_after.at) : "not set: four mean latencies");
  put("further_share", l.further_share.said() ? fmt::format("{}", l.further_share.value) : "-",
      l.further_share.said() ? line(l.further_share.at) : "not set: second copies by the module's tenth");
  put("in_flight", l.in_flight.said() ? std::to_string(l.in_flight.value) : "-",
      l.in_flight.said() ? line(l.in_flight.at) : "not set: any number");
  put("rate", l.rate.said() ? fmt::format("{}/s", l.rate.value) : "-",
      l.rate.said() ? line(l.rate.at) : "not set: any number");
  if (l.rate.said())
    put("burst", l.burst.said() ? fmt::format("{}", l.burst.value) : "1",
        l.burst.said() ? line(l.burst.at) : "not set: one at once");
  if (!terms.advice_heeded)
    put("come_back", "-",
        l.come_back.said() ? cut(l.come_back.at, "RetryAfter", duration(l.come_back.value))
                           : "the terms (RetryAfter)");
  else if (!l.come_back.said())
    put("come_back", "-", "not set: two mean latencies, or when a turn is free");
  else if (l.come_back.value > terms.longest_advice)
    put("come_back", duration(terms.longest_advice),
        cut(l.come_back.at, "MaxRetryAfter", duration(l.come_back.value)));
  else
    put("come_back", duration(l.come_back.value), line(l.come_back.at));
  const Deployment& d = file.deployment;
  out += "deployment\n";
  const auto by = [&](At at, const char* term) {
    return at.said() ? line(at) : fmt::format("the terms ({})", term);
  };
  const Terms in_force = applied(file, house).terms;
  put("streams", std::to_string(in_force.streams), by(d.streams.at, "StreamsPerConn"));
  put("repeats_marked", in_force.repeats_marked ? "yes" : "no", by(d.repeats_marked.at, "MarksRetry"));
  put("warm_keys", in_force.warm_keys ? "yes" : "no", by(d.warm_keys.at, "WarmKeys"));
  return out;
}

}  // namespace robinpin::config
