// Reading tables of keys from TOML with every fault kept: types, units, ranges, unknown names. Shared by all
// files of ours; include it in .cpp files only, it brings the TOML library along.
#pragma once

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "told.h"

namespace robinpin::config {

// What was not read from the text (put in by hand) is told as its beginning.
inline At at_of(const toml::node& n) {
  return {std::max(1, int(n.source().begin.line)), std::max(1, int(n.source().begin.column))};
}
inline At at_of(const toml::key& k) { return {int(k.source().begin.line), int(k.source().begin.column)}; }

// The known name that is likeliest meant; none if nothing is near.
std::string nearest_name(const std::string& name, const std::vector<std::string>& known);
std::optional<double> bytes(std::string_view text);  // "2MiB"

class Keys {
 public:
  using take = std::function<void(const toml::node&)>;
  using mapped = std::map<std::string, take, std::less<>>;

  explicit Keys(std::vector<Fault>& faults) : faults_(faults) {}

  void fault(At at, std::string key, std::string what) {
    faults_.push_back({at, std::move(key), std::move(what)});
  }

  // Where a key stands, for messages.
  static std::string in(const std::string& where, const std::string& name) {
    return where.empty() ? name : where + (where.back() == '"' ? " " : ".") + name;
  }

  void table(const toml::table& t, const std::string& where, const mapped& keys) {
    for (const auto& [k, node] : t) {
      const std::string name(k.str());
      if (const auto it = keys.find(name); it != keys.end()) {
        it->second(node);
        continue;
      }
      std::vector<std::string> names;
      for (const auto& [other, none] : keys) names.push_back(other);
      const std::string nearest = nearest_name(name, names);
      std::string what = "no such key";
      if (!nearest.empty())
        what += fmt::format("; did you mean \"{}\"?", nearest);
      else
        what += fmt::format("; there are {}", fmt::join(names, " "));
      fault(at_of(k), in(where, name), what);
    }
  }

  void part(const toml::node& n, const std::string& where, const mapped& keys) {
    if (const auto* t = n.as_table())
      table(*t, where, keys);
    else
      fault(at_of(n), where, fmt::format("must be a table: [{}]", where));
  }

  // Each of a list of tables: `of` gives the keys that one is read by, and its name for messages.
  template <typename Of>
  void each(const toml::node& n, const std::string& where, std::size_t most, Of of) {
    const auto* list = n.as_array();
    if (!list) return fault(at_of(n), where, fmt::format("must be a list of tables: [[{}]]", where));
    if (list->size() > most)
      return fault(at_of(n), where, fmt::format("{} are over the most, {}", list->size(), most));
    for (const toml::node& entry : *list) {
      const auto* t = entry.as_table();
      if (!t)
        fault(at_of(entry), where, fmt::format("must be a table: [[{}]]", where));
      else
        of(*t, at_of(entry));
    }
  }

  // One key's value, through `read`, which says what is wrong with it.
  template <typename T>
  take into(Told<T>& to, std::string key, std::function<std::string(const toml::node&, T&)> read) {
    return [this, &to, key = std::move(key), read = std::move(read)](const toml::node& n) {
      T value{};
      if (const std::string wrong = read(n, value); !wrong.empty())
        fault(at_of(n), key, wrong);
      else
        to = {std::move(value), at_of(n)};
    };
  }

  take time(Told<micros>& to, const std::string& key, micros least = 1, micros most = 3'600'000'000) {
    return into<micros>(to, key, [=](const toml::node& n, micros& v) -> std::string {
      const auto said = n.value_exact<std::string>();
      if (!said) return "must be text with a unit, as \"250ms\" (us, ms, s, m)";
      const auto t = duration(*said);
      if (!t) return fmt::format("\"{}\" is no time; say a number and us, ms, s or m, as \"250ms\"", *said);
      if (*t < 0) return fmt::format("\"{}\" is below zero", *said);
      if (*t == 0 && least > 0) return fmt::format("\"{}\" is zero; leave the key out for no limit", *said);
      if (*t < least) return fmt::format("\"{}\" is shorter than the shortest, {}", *said, duration(least));
      if (*t > most)
        return fmt::format("\"{}\" is longer than the longest, {}", *said,
                           most == 3'600'000'000 ? "60m" : duration(most));
      v = *t;
      return "";
    });
  }

  take size(Told<std::size_t>& to, const std::string& key, double least, double most) {
    return into<std::size_t>(to, key, [=](const toml::node& n, std::size_t& v) -> std::string {
      const auto said = n.value_exact<std::string>();
      const auto b = said ? bytes(*said) : std::nullopt;
      if (!b) return "must be text with a unit, as \"2MiB\" (B, KiB, MiB, GiB, KB, MB, GB)";
      if (!(*b >= least && *b <= most))
        return fmt::format("\"{}\" is not from {:.0f} to {:.0f} bytes", *said, least, most);
      v = std::size_t(*b);
      return "";
    });
  }

  take whole(Told<int>& to, const std::string& key, int least, int most) {
    return into<int>(to, key, [=](const toml::node& n, int& v) -> std::string {
      const auto said = n.value_exact<std::int64_t>();
      if (!said) return "must be a whole number";
      if (*said == 0 && least == 1)
        return "is zero: nothing would ever go out; leave the key out for no limit";
      if (*said < least || *said > most) return fmt::format("{} is not from {} to {}", *said, least, most);
      v = int(*said);
      return "";
    });
  }

  // Above zero, unless `for_none` is empty.
  take number(Told<double>& to, const std::string& key, double most, const std::string& for_none) {
    return into<double>(to, key, [=](const toml::node& n, double& v) -> std::string {
      if (!n.is_number()) return "must be a number";
      const double said = n.value<double>().value_or(std::nan(""));
      if (std::isnan(said)) return "is not a number (nan)";
      if (said == 0 && !for_none.empty()) return fmt::format("is zero; {}", for_none);
      if (said < 0) return fmt::format("{} is below zero", said);
      if (!(said <= most)) return fmt::format("{} is over the most, {:g}", said, most);
      v = said;
      return "";
    });
  }

  take flag(Told<bool>& to, const std::string& key) {
    return into<bool>(to, key, [](const toml::node& n, bool& v) -> std::string {
      if (!n.is_boolean()) return "must be true or false";
      v = n.value<bool>().value_or(false);
      return "";
    });
  }

  take text(Told<std::string>& to, const std::string& key) {
    return into<std::string>(to, key, [](const toml::node& n, std::string& v) -> std::string {
      const auto said = n.value_exact<std::string>();
      if (!said || said->empty()) return "must be text that is not empty";
      v = *said;
      return "";
    });
  }

  template <typename T>
  take one_of(Told<T>& to, const std::string& key, std::vector<std::pair<std::string, T>> words) {
    return into<T>(to, key, [words = std::move(words)](const toml::node& n, T& v) -> std::string {
      const auto said = n.value_exact<std::string>();
      std::string what = said ? "\"" + *said + "\" is none of" : "must be one of";
      for (const auto& [word, meaning] : words) {
        if (said && *said == word) {
          v = meaning;
          return "";
        }
        what += " \"" + word + "\"";
      }
      return what;
    });
  }

  take words(Told<std::vector<std::string>>& to, const std::string& key) {
    return into<std::vector<std::string>>(
        to, key, [](const toml::node& n, std::vector<std::string>& v) -> std::string {
          const auto* list = n.as_array();
          if (!list || list->empty()) return "must be a list of text that is not empty";
          for (const auto& entry : *list) {
            const auto said = entry.value_exact<std::string>();
            if (!said || said->empty()) return "must be a list of text";
            v.push_back(*said);
          }
          return "";
        });
  }

 private:
  std::vector<Fault>& faults_;
};

// Parses `text` and hands the table to `read`; what is no TOML is one fault. Faults end in the order of the
// file.
template <typename Read>
void read_toml(const std::string& path, std::string_view text, std::vector<Fault>& faults, Read read) {
  try {
    toml::table t = toml::parse(text, path);
    read(t);
  } catch (const toml::parse_error& wrong) {
    const auto& at = wrong.source().begin;
    faults.push_back({{int(at.line), int(at.column)}, "TOML", std::string(wrong.description())});
  }
  std::stable_sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) {
    return std::pair(a.at.line, a.at.column) < std::pair(b.at.line, b.at.column);
  });
}

}  // namespace robinpin::config
