#include "help.h"
#include "host.h"

using namespace robinpin;
using Catch::Matchers::Contains;

namespace {

const std::string boot =
    R"({"Boot":{"I":3,"Salt":5,"Unheard":1,"Config":{"Schemes":[{"Name":"view","Effect":"safe","SlaTime":500.0,)"
    R"("Expiry":1200.0,"Revenue":5.0}],"Permissions":{"MostPostings":5},"Zone":"a"}}})";

std::string list(const std::string& server, const std::string& number = "0") {
  return R"({"Catalog":{"RosterId":)" + number + R"(,"Lines":[{"Server":")" + server +
         R"(","Dc":"a","Health":"in_service"}]}},{"Sync":{"I":3,"RosterId":)" + number +
         R"(,"Form":"whole","Index":1}})";
}

std::string req(const std::string& id) {
  return R"({"Req":{"I":3,"Ticket":")" + id + R"(","Grace":1200.0,"Marks":0,"Service":"view"}})";
}

std::string batch(const std::string& events) {
  return R"({"Now":8412.25,"seq":12,"happened":[)" + events + "]}";
}

}  // namespace

TEST_CASE("an empty batch gets an empty reply under its number") {
  wirehost::Host host;
  CHECK(host.reply(batch("")) == R"({"seq":12,"do":[]})");
}

TEST_CASE("a txn goes out to the one server, and lists are resolved in the order of events") {
  wirehost::Host host;
  const std::string reply = host.reply(
      batch(boot + "," + list("10.0.0.1:1") + "," + list("10.0.0.2:2") + "," + req("e4ebfe895d3a91c4")));
  CHECK_THAT(reply, Contains(R"({"Attempt":{"I":3,"Ticket":"e4ebfe895d3a91c4","Server":"10.0.0.2:2"}})"));
}

TEST_CASE("a restart in one batch forgets everything") {
  wirehost::Host host;
  host.reply(batch(boot + "," + list("10.0.0.1:1")));
  CHECK_THAT(host.reply(batch(R"({"Kill":{"I":3}},)" + boot + "," + req("e4ebfe895d3a91c4"))),
             !Contains("Attempt"));
}

TEST_CASE("what no longer concerns the instance is passed over") {
  wirehost::Host host;
  host.reply(batch(boot + "," + list("10.0.0.1:1")));
  const std::string event = GENERATE(
      R"({"Aborted":{"I":3,"Ticket":"ae7a6cde0e6f2b19"}})",
      R"({"ClosedAttempt":{"I":3,"Ticket":"ae7a6cde0e6f2b19","N":0,"Server":"10.9.9.9:9","Rc":3,"Lag":1.0}})",
      R"({"Sampled":{"I":3,"Server":"10.9.9.9:9","Lag":1.4,"Rc":0,"Feedback":[3]}})",
      R"({"Peer":{"I":3,"SrcPeer":2,"Raw":"68692037"}})");
  CHECK(host.reply(batch(event)) == R"({"seq":12,"do":[]})");
}

TEST_CASE("what the wire does not allow is named, with its batch") {
  wirehost::Host host;
  host.reply(batch(boot));
  const auto [event, what] = GENERATE(table<std::string, std::string>({
      {R"({"Sundry":{"I":3}})", "batch seq 12: event Sundry is not known"},
      {R"({"Aborted":{"I":3}})", "field Ticket is missing"},
      {R"({"Aborted":{"I":4,"Ticket":"aa"}})", "not started"},
      {R"({"Req":{"I":3,"Ticket":"aa","Grace":1.0,"Service":"other"}})",
       "scheme other is not in the settings"},
      {R"({"Req":{"I":3,"Ticket":"aa","Grace":"1","Service":"view"}})", "Grace is not a number"},
      {R"({"ClosedAttempt":{"I":3,"Ticket":"aa","N":0,"Server":"s","Rc":9,"Lag":1.0}})",
       "outcome 9 is not known"},
      {R"({"Sync":{"I":3,"RosterId":77,"Form":"whole","Index":1}})", "RosterId is out of range"},
      {R"(7)", "an event is not an object with one key"},
  }));
  CHECK_THROWS_WITH(host.reply(batch(event)), Contains(what));
}

TEST_CASE("a line that is not JSON is malformed") {
  wirehost::Host host;
  CHECK_THROWS_AS(host.reply("{\"Now\":1,"), wirehost::malformed);
}
