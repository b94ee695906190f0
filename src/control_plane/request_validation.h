// What an operator's call comes to, held against a state: what it changes, or the answer that it gets. Free
// of I/O.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "../configuration/configuration_change.h"
#include "../configuration/configuration_store.h"

namespace robinpin::control_plane {

struct RequestOutcome {
  int status = 503;
  std::string body;
};

struct OperatorRequest {
  enum class what { read, adjust, begin, finish, size };
  what is = what::read;
  std::string text;  // a configuration, a zone, or how many voters
};

// A state with changes on top of it that are not settled yet.
class StateView {
 public:
  explicit StateView(const configuration::ConfigurationStore& stands) : stands_(&stands) {}
  const configuration::VersionedItem* find(std::string_view name) const {
    const auto it = above_.find(name);
    return it == above_.end() ? stands_->find(name) : &it->second;
  }
  void put(const configuration::VersionedItem& item) { above_[item.name] = item; }
  // In the order of their names; each once.
  std::vector<configuration::VersionedItem> changes() const;
  std::size_t standing() const;
  std::size_t bytes() const;

 private:
  const configuration::ConfigurationStore* stands_;
  std::map<std::string, configuration::VersionedItem, std::less<>> above_;
};

constexpr std::string_view size_name = "k/voters";
constexpr std::size_t most_change = 4'000'000;  // bytes of one call's items
constexpr std::size_t most_item = 48'000;       // bytes of one: nodes are told of it in one datagram

// Read once; judged as often as the state moves under it.
class ValidatedCall {
 public:
  explicit ValidatedCall(OperatorRequest order);
  // Puts what it changes on top of `view`; all of it or, where the answer is no 200, nothing.
  RequestOutcome judge(StateView& view) const;
  bool reads() const { return is_ == OperatorRequest::what::read; }

 private:
  OperatorRequest::what is_;
  std::string zone_;
  configuration::ConfigurationChange change_;
};

}  // namespace robinpin::control_plane
