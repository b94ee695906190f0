#include "report.h"

#include <fmt/format.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace robinpin::rehearse {

namespace {

constexpr std::array rules = {"no txn lost", "no effect twice", "drains kept",
                              "cold servers not pushed over"};

double points(const Service& s) { return 100 * s.share(); }

std::pair<double, std::size_t> worst_window(const Verdict& v) {
  double worst = 100;
  std::size_t at = 0;
  for (std::size_t i = 0; i < v.windows.size(); ++i) {
    Service all;
    for (const auto& s : v.windows[i]) {
      all.asked += s.asked;
      all.served += s.served;
    }
    if (points(all) < worst) {
      worst = points(all);
      at = i;
    }
  }
  return {worst, at};
}

}  // namespace

double quantile(const std::vector<double>& sorted, double part) {
  if (sorted.empty()) return 0;
  return sorted[std::min(sorted.size() - 1, std::size_t(part * double(sorted.size())))];
}

std::vector<std::string> unmet(const Plan& plan, const Outcome& o) {
  std::vector<std::string> all;
  for (std::size_t i = 0; i < rules.size(); ++i)
    if (o.verdict.counts[i] > 0)
      all.push_back(fmt::format("rule {} ({}) is broken {} times", i + 1, rules[i], o.verdict.counts[i]));
  for (const auto& c : o.crashed) all.push_back(c);
  const Expect& e = plan.expect;
  const auto least = [&](const Told<double>& wanted, double is, const std::string& what) {
    if (wanted.said() && is < wanted.value)
      all.push_back(fmt::format("{} is {:.2f}, expected {} at the least (line {})", what, is, wanted.value,
                                wanted.at.line));
  };
  least(e.service, points(o.verdict.service), "service");
  for (const auto& [name, wanted] : e.halls)
    for (std::size_t i = 0; i < o.grounds.halls.size(); ++i)
      if (o.grounds.halls[i] == name) least(wanted, points(o.verdict.by_hall[i]), "service of " + name);
  for (const auto& [name, wanted] : e.schemes)
    for (std::size_t i = 0; i < o.grounds.schemes.size(); ++i)
      if (o.grounds.schemes[i].name == name)
        least(wanted, points(o.verdict.by_scheme[i]), "service of " + name);
  if (e.waste.said() && 100 * o.waste > e.waste.value)
    all.push_back(fmt::format("waste is {:.2f}, expected {} at the most (line {})", 100 * o.waste,
                              e.waste.value, e.waste.at.line));
  if (e.tipped.said() && o.tipped > e.tipped.value)
    all.push_back(fmt::format("boxes tipped {} times, expected {} at the most (line {})", o.tipped,
                              e.tipped.value, e.tipped.at.line));
  return all;
}

verdict verdict_of(const Plan& plan, const Outcome& o) {
  if (!o.void_because.empty()) return verdict::voided;
  return unmet(plan, o).empty() ? verdict::holds : verdict::broken;
}

std::string summary(const Plan& plan, const Outcome& o, std::uint64_t seed) {
  std::string out =
      fmt::format("{} (seed {}): service {:.0f} of 100\n", plan.name, seed, points(o.verdict.service));
  const auto put = [&](const std::string& line) { out += "  " + line + "\n"; };
  const Verdict& v = o.verdict;
  put(fmt::format("{} txns, {} tries, {} postings, {} declined, {} failed", v.txns, v.tries, v.postings,
                  v.declined, v.failed));
  put(fmt::format("answers: half within {:.0f} ms, 95% within {:.0f}, 99% within {:.0f}",
                  quantile(v.latency, 0.5), quantile(v.latency, 0.95), quantile(v.latency, 0.99)));
  std::string halls, schemes;
  for (std::size_t i = 0; i < o.grounds.halls.size(); ++i)
    halls += fmt::format("{}{} {:.1f}", i ? ", " : "", o.grounds.halls[i], points(v.by_hall[i]));
  for (std::size_t i = 0; i < o.grounds.schemes.size(); ++i)
    schemes += fmt::format("{}{} {:.1f}", i ? ", " : "", o.grounds.schemes[i].name, points(v.by_scheme[i]));
  put("by hall: " + halls);
  put("by scheme: " + schemes);
  const auto [worst, at] = worst_window(v);
  put(fmt::format("worst 5 s: {:.0f}, from {:.0f} s; boxes tipped {} times, fell {}; waste {:.1f}%", worst,
                  double(plan.warm_up + micros(at) * o.grounds.window) / 1e6, o.tipped, o.fallen,
                  100 * o.waste));
  if (!o.happened.empty()) {
    put("what happened:");
    for (const auto& [t, what] : o.happened) put(fmt::format("  {:7.1f} s  {}", double(t) / 1e6, what));
  }
  for (const auto& b : v.breaks) put(fmt::format("rule {} broken: {}", b.rule, b.what));
  put(fmt::format("the kit: {:.0f} sends a second, {:.2f} cores, late by {:.2f} ms at the 99th percentile",
                  o.sends_a_second, o.kit_cores, o.late_p99_ms));
  if (!o.void_because.empty()) {
    put("VOID: " + o.void_because);
    return out;
  }
  const auto missed = unmet(plan, o);
  for (const auto& m : missed) put("NOT MET: " + m);
  if (missed.empty()) put("all rules kept, every expectation met");
  return out;
}

std::string json(const Plan& plan, const Outcome& o, std::uint64_t seed) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> out(buffer);
  out.SetMaxDecimalPlaces(6);
  const auto key = [&](const char* k) { out.Key(k); };
  const auto text = [&](const char* k, const std::string& s) {
    out.Key(k);
    out.String(s.data(), rapidjson::SizeType(s.size()));
  };
  const auto number = [&](const char* k, double d) {
    out.Key(k);
    out.Double(d);
  };
  const auto count = [&](const char* k, std::uint64_t n) {
    out.Key(k);
    out.Uint64(n);
  };
  const Verdict& v = o.verdict;
  out.StartObject();
  count("schema", 1);
  text("plan", plan.name);
  count("seed", seed);
  number("service", points(v.service));
  key("rules");
  out.StartObject();
  for (std::size_t i = 0; i < rules.size(); ++i) count(std::to_string(i + 1).c_str(), v.counts[i]);
  out.EndObject();
  key("breaks");
  out.StartArray();
  for (const auto& b : v.breaks) {
    out.StartObject();
    count("rule", std::uint64_t(b.rule));
    text("what", b.what);
    out.EndObject();
  }
  out.EndArray();
  const auto shares = [&](const char* k, const auto& names, const std::vector<Service>& of) {
    key(k);
    out.StartObject();
    for (std::size_t i = 0; i < of.size(); ++i) number(names(i).c_str(), points(of[i]));
    out.EndObject();
  };
  shares(
      "by_hall", [&](std::size_t i) { return o.grounds.halls[i]; }, v.by_hall);
  shares(
      "by_scheme", [&](std::size_t i) { return o.grounds.schemes[i].name; }, v.by_scheme);
  key("windows");
  out.StartArray();
  for (std::size_t i = 0; i < v.windows.size(); ++i) {
    out.StartObject();
    number("from_s", double(plan.warm_up + micros(i) * o.grounds.window) / 1e6);
    for (std::size_t h = 0; h < v.windows[i].size(); ++h)
      number(o.grounds.halls[h].c_str(), points(v.windows[i][h]));
    out.EndObject();
  }
  out.EndArray();
  key("latency_ms");
  out.StartObject();
  for (const auto& [name, part] :
       {std::pair{"p50", 0.5}, {"p90", 0.9}, {"p95", 0.95}, {"p99", 0.99}, {"p999", 0.999}})
    number(name, quantile(v.latency, part));
  out.EndObject();
  count("txns", v.txns);
  count("tries", v.tries);
  count("postings", v.postings);
  count("declined", v.declined);
  count("failed", v.failed);
  number("waste", 100 * o.waste);
  count("boxes_tipped", std::uint64_t(o.tipped));
  count("boxes_fallen", std::uint64_t(o.fallen));
  key("crashed");
  out.StartArray();
  for (const auto& c : o.crashed) out.String(c.data(), rapidjson::SizeType(c.size()));
  out.EndArray();
  key("happened");
  out.StartArray();
  for (const auto& [t, what] : o.happened) {
    out.StartObject();
    number("at_s", double(t) / 1e6);
    text("what", what);
    out.EndObject();
  }
  out.EndArray();
  key("not_met");
  out.StartArray();
  for (const auto& m : unmet(plan, o)) out.String(m.data(), rapidjson::SizeType(m.size()));
  out.EndArray();
  key("void");
  out.Bool(!o.void_because.empty());
  text("void_because", o.void_because);
  key("kit");
  out.StartObject();
  number("late_p99_ms", o.late_p99_ms);
  number("sends_a_second", o.sends_a_second);
  number("cores", o.kit_cores);
  out.EndObject();
  out.EndObject();
  return buffer.GetString();
}

Kept kept(const std::string& folder) {
  const std::string path = folder + "/report.json";
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  rapidjson::Document d;
  d.Parse(text.c_str());
  const auto number = [&](const rapidjson::Value& of, const char* k) {
    const auto m = of.FindMember(k);
    if (m == of.MemberEnd() || !m->value.IsNumber())
      throw std::runtime_error(path + ": " + k + " is missing or no number");
    return m->value.GetDouble();
  };
  if (d.HasParseError() || !d.IsObject() || !d.HasMember("latency_ms") || !d["latency_ms"].IsObject() ||
      !d.HasMember("rules") || !d["rules"].IsObject() || !d.HasMember("plan") || !d["plan"].IsString())
    throw std::runtime_error(path + ": no report of a run");
  Kept k;
  k.where = folder;
  k.plan = d["plan"].GetString();
  k.seed = std::uint64_t(number(d, "seed"));
  k.service = number(d, "service");
  k.p50 = number(d["latency_ms"], "p50");
  k.p99 = number(d["latency_ms"], "p99");
  k.waste = number(d, "waste");
  const double txns = std::max(1.0, number(d, "txns"));
  k.postings_per_txn = number(d, "postings") / txns;
  k.tries_per_txn = number(d, "tries") / txns;
  for (const auto& r : d["rules"].GetObject()) k.breaks += r.value.IsUint64() ? r.value.GetUint64() : 0;
  k.voided = d.HasMember("void") && d["void"].IsTrue();
  return k;
}

// Student's t at 97.5%, for so many degrees of freedom.
static double student(int degrees) {
  static constexpr std::array t = {12.71, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228};
  return degrees <= 0 ? 0 : degrees <= int(t.size()) ? t[std::size_t(degrees - 1)] : 1.96 + 2.4 / degrees;
}

Difference difference(const std::vector<double>& a, const std::vector<double>& b) {
  Difference d;
  d.pairs = int(std::min(a.size(), b.size()));
  if (d.pairs == 0) return d;
  for (int i = 0; i < d.pairs; ++i) d.mean += (b[std::size_t(i)] - a[std::size_t(i)]) / d.pairs;
  double squares = 0;
  for (int i = 0; i < d.pairs; ++i) squares += std::pow(b[std::size_t(i)] - a[std::size_t(i)] - d.mean, 2);
  if (d.pairs > 1) d.either_side = student(d.pairs - 1) * std::sqrt(squares / (d.pairs - 1) / d.pairs);
  return d;
}

}  // namespace robinpin::rehearse
