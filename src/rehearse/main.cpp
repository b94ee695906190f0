// robinpin-rehearse: the commands.
#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>

#include "fleet_stage.h"
#include "report.h"

namespace {

using namespace robinpin;
using namespace robinpin::rehearse;

constexpr int good = 0, faulty = 2, misused = 2;
volatile std::sig_atomic_t interrupted = 0;

void print(const std::string& text) {
  std::fwrite(text.data(), 1, text.size(), stdout);
  std::fflush(stdout);
}
void complain(const std::string& text) { std::fwrite(text.data(), 1, text.size(), stderr); }

// Beside this program, unless said otherwise.
std::string beside() {
  std::error_code none;
  const auto self = std::filesystem::read_symlink("/proc/self/exe", none);
  return (self.parent_path() / "robinpin").string();
}

std::optional<Plan> plan_of(const std::string& file, const std::vector<std::string>& set) {
  PlanRead r = load_plan(file, set);
  if (r.good()) return std::move(r.plan);
  complain(config::text(file, r.faults));
  complain(fmt::format("{}: {} fault{}\n", file, r.faults.size(), r.faults.size() == 1 ? "" : "s"));
  return std::nullopt;
}

void show(const Plan& plan, const Progress& p) {
  if (::isatty(STDERR_FILENO) == 0) return;
  constexpr int width = 30;
  const int done = std::clamp(int(p.part * width), 0, width);
  const double left = std::max(0.0, (1 - p.part) * double(plan.length) / 1e6);
  complain(fmt::format("\r[{}{}] {:4.0f} s left, {:3.0f}% answered  {:<40.40}",
                       std::string(std::size_t(done), '#'), std::string(std::size_t(width - done), '.'), left,
                       100 * p.service, fmt::format("{}", fmt::join(p.going_wrong, ", "))));
}

// One run, kept in its folder.
std::optional<Outcome> run_once(const Plan& plan, const Setup& setup) {
  try {
    Outcome o = play(
        plan, setup, [&](const Progress& p) { show(plan, p); }, [] { return interrupted != 0; });
    if (::isatty(STDERR_FILENO) != 0) complain(fmt::format("\r{:90}\r", ""));
    std::ofstream(setup.out + "/report.json") << json(plan, o, setup.seed) << "\n";
    return o;
  } catch (const std::exception& wrong) {
    complain(fmt::format("{}\n", wrong.what()));
    return std::nullopt;
  }
}

// ---- fleets in trouble

std::optional<std::string> fleet_text(const std::string& file) {
  const auto text = config::settled_bytes(file);
  return text && is_fleet_plan(*text) ? text : std::nullopt;
}

std::string folder(std::string out) {
  if (!out.empty()) return out;
  out = (std::filesystem::temp_directory_path() / "rehearse-XXXXXX").string();
  return ::mkdtemp(out.data()) ? out : "";
}

int run_fleet(const FleetPlan& plan, const FleetSetup& setup, bool as_json, std::string& told) {
  try {
    const FleetOutcome o = play(plan, setup, [] { return interrupted != 0; });
    const std::string whole = json(plan, o, setup.seed) + "\n";
    std::ofstream(setup.out + "/report.json") << whole;
    told = as_json ? whole : summary(plan, o, setup.seed);
    return !o.void_because.empty() ? 3 : o.broken.empty() ? good : 1;
  } catch (const std::exception& wrong) {
    told = fmt::format("{} (seed {}): VOID: {}\n", plan.name, setup.seed, wrong.what());
    return 3;
  }
}

// So many seeds, some of them side by side; those that are not kept are told, and their folders stay.
int many_fleets(const FleetPlan& plan, const FleetSetup& setup, int plays, int jobs) {
  std::mutex lock;
  int next = 0, kept = 0, broken = 0, voided = 0;
  std::vector<std::thread> all;
  for (int j = 0; j < jobs; ++j)
    all.emplace_back([&] {
      for (;;) {
        FleetSetup own = setup;
        {
          const std::lock_guard held(lock);
          if (next >= plays || interrupted != 0) return;
          own.seed = setup.seed + std::uint64_t(next++);
        }
        own.out = fmt::format("{}/{}", setup.out, own.seed);
        std::string told;
        const int code = run_fleet(plan, own, false, told);
        const std::lock_guard held(lock);
        ++(code == 0 ? kept : code == 1 ? broken : voided);
        if (code != 0) print(told + "  kept in " + own.out + "\n");
        std::error_code none;
        if (code == 0) std::filesystem::remove_all(own.out, none);
      }
    });
  for (auto& t : all) t.join();
  print(fmt::format("{}: {} plays kept, {} broken, {} void\n", plan.name, kept, broken, voided));
  return broken > 0 ? 1 : voided > 0 ? 3 : good;
}

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  struct sigaction stop {};
  stop.sa_handler = [](int) { interrupted = 1; };
  ::sigaction(SIGINT, &stop, nullptr);
  ::sigaction(SIGTERM, &stop, nullptr);

  CLI::App app{
      "robinpin-rehearse plays an afternoon against real nodes: stand-in boxes, list and clients on "
      "loopback, faults by a\n"
      "plan, and a judge that goes by what clients and boxes saw."};
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 the plan's expectations hold; 1 a rule or an expectation is broken; 2 misuse or a "
      "faulty plan; 3 the\n"
      "run is void. Plans: plans/, their keys: docs/rehearse.md.");

  std::string file, out, daemon = beside(), by = "module";
  std::uint64_t seed = 1;
  int seeds = 3;
  bool as_json = false;
  std::vector<std::string> set, folders;
  const std::map<std::string, policy> policies = {
      {"module", policy::module}, {"random", policy::random}, {"least", policy::least}};
  const auto common = [&](CLI::App* c) {
    c->add_option("plan", file, "the plan (TOML)")->required()->type_name("PLAN");
    c->add_option("--set", set, "a key of the plan over what the file says, as load.rate=500")
        ->type_name("KEY=VALUE");
  };
  const auto playing = [&](CLI::App* c) {
    c->add_option("--daemon", daemon, "the node's program")->capture_default_str()->type_name("FILE");
    c->add_option("--policy", by, "who decides: the daemon's module, or a baseline of the kit's")
        ->check(CLI::IsMember({"module", "random", "least"}))
        ->capture_default_str();
    c->add_option("--out", out, "folder for reports and the nodes' logs (default: a new one under /tmp)")
        ->type_name("DIR");
  };
  auto* run = app.add_subcommand("run", "Play a plan and judge it.");
  common(run);
  playing(run);
  run->add_option("--seed", seed, "what is drawn by chance: the same seed, the same afternoon")
      ->capture_default_str();
  run->add_flag("--json", as_json, "print one JSON object");
  auto* check = app.add_subcommand("check", "Read a plan and tell every fault in it.");
  common(check);
  auto* boxes =
      app.add_subcommand("boxes", "Start the plan's boxes alone, to poke at by hand, until interrupted.");
  common(boxes);
  auto* compare = app.add_subcommand("compare", "Put kept runs side by side, paired over their seeds.");
  compare->add_option("folders", folders, "of runs, as --out named them")->required()->type_name("DIR");
  auto* sweep = app.add_subcommand("sweep", "Play a plan for each of a key's values and several seeds.");
  common(sweep);
  playing(sweep);
  std::string misled;
  int jobs = 4, plays = 20;
  auto* many = app.add_subcommand("plays", "Play a plan of a fleet over many seeds, some side by side.");
  common(many);
  playing(many);
  many->add_option("--seed", seed, "the first")->capture_default_str();
  many->add_option("--plays", plays, "so many")->check(CLI::Range(1, 100'000))->capture_default_str();
  many->add_option("--jobs", jobs, "at once")->check(CLI::Range(1, 64))->capture_default_str();
  for (auto* c : {run, many})
    c->add_option("--misled", misled,
                  "what has a daemon load the library that breaks its clocks and disk (plans of fleets; "
                  "docs/rehearse.md)")
        ->type_name("VARIABLE=VALUE");
  sweep->add_option("--seeds", seeds, "so many")->check(CLI::Range(1, 100))->capture_default_str();

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& wrong) {
    return app.exit(wrong) == 0 ? good : misused;
  }

  if (*run || *many || *check)
    if (const auto text = fleet_text(file)) {
      const FleetPlanRead r = read_fleet_plan(file, *text);
      if (!r.good()) {
        complain(config::text(file, r.faults));
        return faulty;
      }
      if (*check) {
        print(fmt::format("{}: good; {} voters of {} nodes, {} faults and {} drawn, {:.0f} s\n", file,
                          r.plan.voters, r.plan.nodes, r.plan.breaches.size(), r.plan.drawn,
                          double(r.plan.length) / 1e6));
        return good;
      }
      FleetSetup setup{daemon, folder(out), misled, seed};
      if (*many) return many_fleets(r.plan, setup, plays, jobs);
      std::string told;
      const int code = run_fleet(r.plan, setup, as_json, told);
      print(told + (as_json ? "" : "  kept in " + setup.out + "\n"));
      return code;
    }
  if (*many) {
    complain("plays takes a plan of a fleet\n");
    return misused;
  }

  if (*compare) {
    try {
      std::map<std::string, std::map<std::uint64_t, Kept>> by_folder;
      print(fmt::format("{:<40} {:>6} {:>8} {:>8} {:>8} {:>7} {:>6}\n", "run", "seed", "service", "p50 ms",
                        "p99 ms", "waste", "breaks"));
      std::vector<Kept> all;
      for (const auto& f : folders) {
        all.push_back(kept(f));
        const Kept& k = all.back();
        print(fmt::format("{:<40} {:>6} {:>8.2f} {:>8.1f} {:>8.1f} {:>7.2f} {:>6}{}\n", k.where, k.seed,
                          k.service, k.p50, k.p99, k.waste, k.breaks, k.voided ? "  VOID" : ""));
      }
      // The first seed's runs name the sides: the n-th run of each seed is of the n-th side.
      std::map<std::uint64_t, std::vector<const Kept*>> of_seed;
      for (const auto& k : all) of_seed[k.seed].push_back(&k);
      const std::size_t sides = of_seed.empty() ? 0 : of_seed.begin()->second.size();
      for (std::size_t side = 1; side < sides; ++side) {
        std::vector<double> a, b, la, lb;
        for (const auto& [s, runs] : of_seed)
          if (runs.size() > side && !runs[0]->voided && !runs[side]->voided) {
            a.push_back(runs[0]->service);
            b.push_back(runs[side]->service);
            la.push_back(runs[0]->p99);
            lb.push_back(runs[side]->p99);
          }
        const auto d = difference(a, b), l = difference(la, lb);
        print(fmt::format(
            "side {} against side 1, {} pairs: service {:+.2f} (95%: +-{:.2f}), p99 {:+.1f} ms (+-{:.1f})\n",
            side + 1, d.pairs, d.mean, d.either_side, l.mean, l.either_side));
      }
      return good;
    } catch (const std::exception& wrong) {
      complain(fmt::format("{}\n", wrong.what()));
      return faulty;
    }
  }

  // A sweep's lists of values are taken apart before the plan is read.
  std::string swept;
  std::vector<std::string> values;
  if (*sweep) {
    for (auto it = set.begin(); it != set.end(); ++it) {
      const auto equals = it->find('=');
      if (equals == std::string::npos || it->find(',') == std::string::npos ||
          it->find('[') != std::string::npos)
        continue;
      if (!swept.empty()) {
        complain("sweep takes one key with several values\n");
        return misused;
      }
      swept = it->substr(0, equals);
      std::string rest = it->substr(equals + 1);
      for (std::size_t at = 0; at <= rest.size();) {
        const auto comma = std::min(rest.find(',', at), rest.size());
        values.push_back(rest.substr(at, comma - at));
        at = comma + 1;
      }
      set.erase(it);
      break;
    }
    if (swept.empty()) {
      complain("sweep wants a key with several values: --set load.rate=300,400,500\n");
      return misused;
    }
  }

  auto plan = plan_of(file, set);
  if (!plan) return faulty;
  if (*check) {
    print(fmt::format("{}: good; {} halls, {} tiers, {} faults, {:.0f} s\n", file, plan->halls.size(),
                      plan->tiers.size(), plan->mishaps.size(), double(plan->length) / 1e6));
    return good;
  }
  if (out.empty()) {
    std::string name = (std::filesystem::temp_directory_path() / "rehearse-XXXXXX").string();
    if (!::mkdtemp(name.data())) {
      complain("no folder can be made for the run\n");
      return 3;
    }
    out = name;
  }
  Setup setup;
  setup.daemon = daemon;
  setup.out = out;
  setup.seed = seed;
  setup.by = policies.at(by);

  if (*boxes) {
    setup.boxes_only = true;
    print("boxes listen on 127.*.10.* port 3000 (one address a hall); interrupt to end\n");
    return run_once(*plan, setup) ? good : 3;
  }
  if (*run) {
    const auto o = run_once(*plan, setup);
    if (!o) return int(verdict::voided);
    print(as_json ? json(*plan, *o, seed) + "\n" : summary(*plan, *o, seed) + "  kept in " + out + "\n");
    return int(verdict_of(*plan, *o));
  }

  print(fmt::format("{:<16} {:>5} {:>9} {:>9} {:>9} {:>9} {:>8} {:>8} {:>7}\n", swept, "runs", "service",
                    "+-95%", "p50 ms", "p99 ms", "waste", "tries", "breaks"));
  int worst = good;
  for (const std::string& value : values) {
    auto all = set;
    all.push_back(swept + "=" + value);
    const auto one = plan_of(file, all);
    if (!one) return faulty;
    std::vector<double> service, p50, p99, waste, tries;
    std::uint64_t breaks = 0;
    for (int s = 0; s < seeds && interrupted == 0; ++s) {
      setup.seed = seed + std::uint64_t(s);
      setup.out = fmt::format("{}/{}-{}", out, value, setup.seed);
      const auto o = run_once(*one, setup);
      if (!o || !o->void_because.empty()) {
        complain(fmt::format("{}: void{}\n", setup.out, o ? ": " + o->void_because : ""));
        worst = std::max(worst, 3);
        continue;
      }
      const Kept k = kept(setup.out);
      service.push_back(k.service);
      p50.push_back(k.p50);
      p99.push_back(k.p99);
      waste.push_back(k.waste);
      tries.push_back(k.tries_per_txn);
      breaks += k.breaks;
    }
    if (breaks > 0) worst = std::max(worst, 1);
    const std::vector<double> zero(service.size());
    print(fmt::format("{:<16} {:>5} {:>9.2f} {:>9.2f} {:>9.1f} {:>9.1f} {:>8.2f} {:>8.2f} {:>7}\n", value,
                      service.size(), difference(zero, service).mean, difference(zero, service).either_side,
                      difference(zero, p50).mean, difference(zero, p99).mean, difference(zero, waste).mean,
                      difference(zero, tries).mean, breaks));
  }
  return worst;
}
