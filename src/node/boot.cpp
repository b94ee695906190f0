#include "boot.h"

#include <rapidjson/error/en.h>
#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>

#include "control.h"

namespace robinpin::node {

namespace {

constexpr int kept_back =
    24;  // descriptors that are no sockets of peers: standard streams, epoll, signals, timers
constexpr int least_sockets = 16;
constexpr int usual_sockets = 1024;

std::uint32_t seed_of(const std::string& hex) {
  std::uint64_t n = 0;
  const auto [stop, wrong] = std::from_chars(hex.data(), hex.data() + hex.size(), n, 16);
  if (wrong != std::errc() || stop != hex.data() + hex.size()) read::wrong("seed is not hexadecimal");
  return std::uint32_t(n ^ (n >> 32));
}

}  // namespace

int sockets_for_peers(int most) { return std::max(least_sockets, most - kept_back); }

namespace {

int sockets_of(const read::value& config) {
  int most = usual_sockets;
  if (const auto* limits = read::find(config, "limits"))
    most = int(std::min(1e6, read::number(read::object(*limits, "limits"), "sockets", usual_sockets)));
  if (rlimit own{}; getrlimit(RLIMIT_NOFILE, &own) == 0) {
    const auto wanted = rlim_t(std::max(0, most));
    if (own.rlim_cur < wanted) {
      own.rlim_cur = std::min(own.rlim_max, wanted);
      setrlimit(RLIMIT_NOFILE, &own);
      getrlimit(RLIMIT_NOFILE, &own);
    }
    most = int(std::min(own.rlim_cur, wanted));
  }
  if (most < kept_back + least_sockets) read::wrong("limits.sockets is too small: " + std::to_string(most));
  return most - kept_back;
}

void check_memory(const read::value& config) {
  const auto* limits = read::find(config, "limits");
  if (limits && !(read::number(read::object(*limits, "limits"), "memory_mb", 1) > 0))
    read::wrong("limits.memory_mb is not above 0");
}

// What no house can mean, and the module is not made for.
void check(const read::House& h) {
  const auto above = [](double v, const char* name) {
    if (!(v > 0)) read::wrong(std::string(name) + " is not above 0");
  };
  above(double(h.terms.schemes.size()), "the number of Schemes");
  for (std::size_t i = 0; i < h.terms.schemes.size(); ++i)
    read::inside("Schemes[" + std::to_string(i) + "]", [&] {
      above(double(h.terms.schemes[i].sla), "SlaTime");
      above(double(h.terms.schemes[i].expiry), "Expiry");
    });
  above(h.terms.most_postings, "MostPostings");
  above(h.terms.streams, "StreamsPerConn");
  above(double(h.dial_limit), "DialTimeout");
  above(double(h.keep_idle), "Keepalive");
}

rapidjson::Document parsed(const std::string& text) {
  rapidjson::Document config;
  config.Parse<rapidjson::kParseFullPrecisionFlag | rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (config.HasParseError())
    read::wrong(std::string("EDGE_CONFIG is not JSON: ") + GetParseError_En(config.GetParseError()));
  if (!config.IsObject()) read::wrong("EDGE_CONFIG is not an object");
  return config;
}

void gather(const read::value& v, const std::string& path, Keys& keys) {
  if (v.IsObject())
    for (const auto& member : v.GetObject()) {
      if (member.value.IsNull()) continue;
      const std::string below = path + "." + member.name.GetString();
      keys.insert(below);
      gather(member.value, below, keys);
    }
  if (!v.IsArray() || v.Empty()) return;
  Keys all;
  for (rapidjson::SizeType i = 0; i < v.Size(); ++i) {
    Keys one;
    gather(v[i], path + "[]", one);
    if (i == 0)
      all = std::move(one);
    else
      std::erase_if(all, [&](const std::string& key) { return !one.contains(key); });
  }
  keys.merge(all);
}

Keys keys_in(const read::value& config) {
  Keys keys;
  for (const auto& member : config.GetObject()) {
    const std::string_view name(member.name.GetString(), member.name.GetStringLength());
    if (name == "known" || name == "seed" || member.value.IsNull()) continue;  // new with each start
    keys.insert(std::string(name));
    gather(member.value, std::string(name), keys);
  }
  return keys;
}

read::House house_in(const read::value& config) {
  const read::value& settings = read::object(read::need(config, "settings"), "settings");
  return read::inside("settings", [&] {
    read::House h = read::house(settings);
    check(h);
    // On sockets the list is told only to who asks, and a probe has no form: trials are txns.
    h.terms.ask_list = true;
    h.terms.may_probe = false;
    return h;
  });
}

}  // namespace

Keys keys_of(const std::string& text) { return keys_in(parsed(text)); }

read::House house_of(const std::string& text) { return house_in(parsed(text)); }

std::string bytes_of(const std::string& path, const std::string& what) {
  std::ifstream file(path, std::ios::binary);
  if (!file) read::wrong(what + ": can't read " + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

Boot boot_from(const std::string& text, const environment& variable) {
  const rapidjson::Document config = parsed(text);
  // The environment has the last word over the file.
  const auto told = [&](const char* edge, const char* key) {
    const char* v = variable(edge);
    return v && *v ? std::string(v) : read::text(read::need(config, key), key);
  };
  const auto address = [&](const char* edge, const char* key) {
    const std::string at = told(edge, key);
    return read::inside(key, [&] { return endpoint_of(at); });
  };
  Boot b;
  b.name = told("EDGE_NAME", "name");
  b.listen = address("EDGE_LISTEN", "listen");
  b.discovery = address("EDGE_DISCOVERY", "discovery");
  const char* at = variable("EDGE_CONTROL");
  if ((at && *at) || read::find(config, "control")) b.control = address("EDGE_CONTROL", "control");
  if (const char* fd = variable("EDGE_FD"); fd && *fd) {
    b.inherited = int(std::min(whole_number(fd), 1LL << 20));
    if (b.inherited < 0) read::wrong("EDGE_FD is no descriptor: " + std::string(fd));
  }
  b.seed = seed_of(read::text(read::need(config, "seed"), "seed"));
  b.kept_back = kept_back + (b.control ? Control::descriptors : 0);
  b.most_sockets = sockets_of(config) + kept_back - b.kept_back;
  if (const char* folder = variable("TMPDIR"); b.inherited >= 0 && folder) b.folder = folder;
  check_memory(config);
  if (const auto* known = read::find(config, "known"))
    b.known = read::inside("known", [&] { return news_of(*known); });
  b.house = house_in(config);
  b.keys = keys_in(config);
  return b;
}

namespace {

std::string bytes_told(const environment& variable, const std::string& otherwise) {
  const char* told = variable("EDGE_CONFIG");
  const std::string path = told && *told ? told : otherwise;
  if (path.empty()) read::wrong("EDGE_CONFIG is not set");
  return bytes_of(path, "EDGE_CONFIG");
}

}  // namespace

Boot boot(const environment& variable, const std::string& otherwise) {
  return boot_from(bytes_told(variable, otherwise), variable);
}

Boot boot_again(const environment& variable, const std::string& otherwise, const Keys& first) {
  const std::string text = bytes_told(variable, otherwise);
  Boot b = boot_from(text, [&](const char* name) {
    return std::string_view(name) == "EDGE_DISCOVERY" ? nullptr : variable(name);
  });
  for (const std::string& key : first)
    if (!b.keys.contains(key)) read::wrong("field " + key + " is missing");
  return b;
}

}  // namespace robinpin::node
