// The bench adapter on short transcripts of its wire protocol.
#include "drill/drill.h"

#include <gtest/gtest.h>

#include <sstream>

namespace shorelead::drill {
namespace {

struct RunResult {
  int code;
  std::string out;
  std::string errors;
};

RunResult feed(const std::string& input) {
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream errors;
  const int code = run(in, out, errors);
  return {code, out.str(), errors.str()};
}

const char* const kInit =
    R"({"msg":"Init","NodeId":"node-1","Nonce64":7,"Settings":{"Unheard":[1],"Instances":1,"Me":0,)"
    R"("Services":[{"Name":"a","Aim":100,"GiveUp":400,"Effect":"pure","Novel":{"x":1}},)"
    R"({"Name":"b","Aim":100,"GiveUp":400,"Effect":"side_effect"}],)"
    R"("Allowed":{"Probing":true,"Cancel":true,"MostTries":3,"ParallelTries":false},)"
    R"("Invariants":{"ColdShare":0.5,"WarmUp":1000,"FallMultiple":3,"Fall":1000},"RegistryMode":"automatic"}})"
    "\n";
const char* const kStoredList =
    R"({"msg":"Sync","NodeId":"node-1","Mode":"disk","Index":1,"Entries":[)"
    R"({"Backend":"h1:80","GenerationHw":0,"State":"live","Bay":0,"Locality":0,"Units":1,"Extra":3}]})"
    "\n";
const std::string kClock = "{\"msg\":\"Clock\",\"Now\":1000}\n";
const std::string kEnd = "{\"msg\":\"End\"}\n";
const std::string kRequest =
    R"({"msg":"Knock","NodeId":"node-1","Rid":5,"Category":0,"Due":1400,"Mystery":null})"
    "\n";

std::string started() { return kClock + kInit + kStoredList + kEnd; }

void expect_refused(const std::string& input, const std::string& line, const std::string& cause) {
  const RunResult result = feed(input);
  EXPECT_NE(result.code, 0) << input;
  EXPECT_EQ(result.errors.rfind("line " + line + ": ", 0), 0U) << result.errors;
  EXPECT_NE(result.errors.find(cause), std::string::npos) << result.errors;
  EXPECT_EQ(std::count(result.errors.begin(), result.errors.end(), '\n'), 1) << result.errors;
}

TEST(Drill, EmptyInputExitsWithZero) {
  const RunResult result = feed("");
  EXPECT_EQ(result.code, 0);
  EXPECT_EQ(result.out, "");
}

TEST(Drill, EmptyBatchGetsEmptyReply) {
  const RunResult result = feed(kClock + kEnd + kClock + kEnd);
  EXPECT_EQ(result.code, 0);
  EXPECT_EQ(result.out, "{\"msg\":\"Next\"}\n{\"msg\":\"Next\"}\n");
}

TEST(Drill, SendsARequestAndIgnoresUnknownFields) {
  const RunResult result = feed(started() + kClock + kRequest + kEnd);
  EXPECT_EQ(result.code, 0) << result.errors;
  EXPECT_NE(result.out.find(R"({"msg":"Dispatch","NodeId":"node-1","Rid":5,"Backend":"h1:80")"),
            std::string::npos)
      << result.out;
}

TEST(Drill, AcceptsEveryOutcome) {
  for (const char* code : {"served", "server_error", "turned_away", "no_answer", "no_connection",
                           "connection_lost", "called_off", "not_sent"}) {
    const std::string outcome =
        std::string(R"({"msg":"ReportBack","NodeId":"node-1","Rid":5,"StateCode":")") + code +
        R"(","Backend":"h1:80","Duration":400,"Trial":0,"Feedback":{"util":0.5,"odd":1}})" + "\n";
    const RunResult result =
        feed(started() + kClock + kRequest + kEnd + "{\"msg\":\"Clock\",\"Now\":1401}\n" + outcome + kEnd);
    EXPECT_EQ(result.code, 0) << code << result.errors;
  }
}

TEST(Drill, AcceptsEveryOtherEvent) {
  const RunResult result = feed(
      started() + kClock + kRequest +
      R"({"msg":"Accepted","NodeId":"node-1","Rid":5,"Trial":0,"Backend":"h1:80","Duration":1})" + "\n" +
      R"({"msg":"Lapsed","NodeId":"node-1","Rid":5})" + "\n" +
      R"({"msg":"Checked","NodeId":"node-1","Backend":"h1:80","StateCode":"served","Duration":1.5})" + "\n" +
      R"({"msg":"Due","NodeId":"node-1","Cookie":0})" + "\n" +
      R"({"msg":"Sync","NodeId":"node-1","Mode":"diff","Index":2,"Entries":[{"Backend":"h1:80","State":"quiescing"}]})" +
      "\n" + R"({"msg":"Sync","NodeId":"node-1","Mode":"error","Index":2})" + "\n" +
      R"({"msg":"Stop","NodeId":"node-1"})" + "\n" + kEnd);
  EXPECT_EQ(result.code, 0) << result.errors;
}

TEST(Drill, StopAndInitInOneBatchStartANewInstance) {
  const RunResult result = feed(started() + kClock + R"({"msg":"Stop","NodeId":"node-1"})" + "\n" + kInit +
                                kStoredList + kRequest + kEnd);
  EXPECT_EQ(result.code, 0) << result.errors;
  EXPECT_NE(result.out.find("\"Dispatch\""), std::string::npos);
}

TEST(Drill, AcceptsBatchesOfMegabytes) {
  std::string batch = kClock;
  for (int i = 0; i < 40000; ++i) {
    batch += R"({"msg":"Knock","NodeId":"node-1","Rid":)" + std::to_string(i) +
             R"(,"Category":0,"Due":1400})" + "\n";
  }
  ASSERT_GT(batch.size(), 2'000'000U);
  const RunResult result = feed(started() + batch + kEnd);
  EXPECT_EQ(result.code, 0) << result.errors;
  std::size_t answered = 0;
  for (std::size_t at = 0; (at = result.out.find("\"Rid\":", at)) != std::string::npos; ++at) ++answered;
  EXPECT_GE(answered, 40000U);
}

TEST(Drill, SameInputGivesSameOutput) {
  const std::string input = started() + kClock + kRequest + kEnd;
  EXPECT_EQ(feed(input).out, feed(input).out);
}

TEST(Drill, ExceptionOfThePolicyBecomesInternalError) {
  const std::string knock = R"({"msg":"Knock","NodeId":"node-1","Rid":5,"Category":9,"Due":1400})"
                            "\n";
  const RunResult result = feed(started() + kClock + knock + kEnd);
  EXPECT_EQ(result.code, 0);
  EXPECT_NE(result.out.find(R"("msg":"InternalError","NodeId":"node-1")"), std::string::npos) << result.out;
}

TEST(DrillRefuses, BrokenJson) { expect_refused(started() + kClock + "{\"msg\":\n", "6", "broken JSON"); }
TEST(DrillRefuses, SomethingOtherThanAnObject) { expect_refused("[1]\n", "1", "not a JSON object"); }
TEST(DrillRefuses, ALineBeforeClock) { expect_refused(kEnd, "1", "before \"Clock\""); }
TEST(DrillRefuses, ClockInsideABatch) { expect_refused(kClock + kClock, "2", "inside a batch"); }
TEST(DrillRefuses, AMissingField) {
  expect_refused(started() + kClock +
                     R"({"msg":"Knock","NodeId":"node-1","Category":0,"Due":1})"
                     "\n",
                 "6", "\"Rid\" is missing");
}
TEST(DrillRefuses, AWrongType) {
  expect_refused(started() + kClock +
                     R"({"msg":"Knock","NodeId":"node-1","Rid":"5","Category":0,"Due":1})"
                     "\n",
                 "6", "\"Rid\" is not a whole number");
  expect_refused(started() + kClock +
                     R"({"msg":"Knock","NodeId":"node-1","Rid":5,"Category":0,"Due":"x"})"
                     "\n",
                 "6", "\"Due\" is not a number");
}
TEST(DrillRefuses, AnUnknownInstance) {
  expect_refused(started() + kClock +
                     R"({"msg":"Lapsed","NodeId":"node-2","Rid":5})"
                     "\n",
                 "6", "unknown instance \"node-2\"");
}
TEST(DrillRefuses, AnUnknownMessage) {
  expect_refused(started() + kClock +
                     R"({"msg":"Hello","NodeId":"node-1"})"
                     "\n",
                 "6", "unknown message \"Hello\"");
}
TEST(DrillRefuses, AnUnknownCode) {
  expect_refused(
      started() + kClock +
          R"({"msg":"Checked","NodeId":"node-1","Backend":"h1:80","StateCode":"fine","Duration":1})"
          "\n",
      "6", "unknown StateCode \"fine\"");
}
TEST(DrillRefuses, ABackendInNoList) {
  expect_refused(
      started() + kClock +
          R"({"msg":"Checked","NodeId":"node-1","Backend":"h9:80","StateCode":"served","Duration":1})"
          "\n",
      "6", "no list has named");
}
TEST(DrillRefuses, EndOfInputInsideABatch) {
  expect_refused(started() + kClock, "6", "input ended inside a batch");
}

}  // namespace
}  // namespace shorelead::drill
