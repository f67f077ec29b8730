// The wire adapter, fed small transcripts written for these tests.
#include "drill/drill.h"

#include <gtest/gtest.h>

#include <sstream>

namespace shorelead::drill {
namespace {

struct Ran {
  int code;
  std::string out;
  std::string errors;
};

Ran feed(const std::string& input) {
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
const char* const kDisk =
    R"({"msg":"Sync","NodeId":"node-1","Mode":"disk","Index":1,"Entries":[)"
    R"({"Backend":"h1:80","GenerationHw":0,"State":"live","Bay":0,"Locality":0,"Units":1,"Extra":3}]})"
    "\n";
const std::string kClock = "{\"msg\":\"Clock\",\"Now\":1000}\n";
const std::string kEnd = "{\"msg\":\"End\"}\n";
const std::string kKnock =
    R"({"msg":"Knock","NodeId":"node-1","Rid":5,"Category":0,"Due":1400,"Mystery":null})"
    "\n";

std::string opened() { return kClock + kInit + kDisk + kEnd; }

void expect_refused(const std::string& input, const std::string& line, const std::string& cause) {
  const Ran ran = feed(input);
  EXPECT_NE(ran.code, 0) << input;
  EXPECT_EQ(ran.errors.rfind("line " + line + ": ", 0), 0U) << ran.errors;
  EXPECT_NE(ran.errors.find(cause), std::string::npos) << ran.errors;
  EXPECT_EQ(std::count(ran.errors.begin(), ran.errors.end(), '\n'), 1) << ran.errors;
}

TEST(Drill, NoInputEndsWell) {
  const Ran ran = feed("");
  EXPECT_EQ(ran.code, 0);
  EXPECT_EQ(ran.out, "");
}

TEST(Drill, EmptyBatchGetsAnEmptyReply) {
  const Ran ran = feed(kClock + kEnd + kClock + kEnd);
  EXPECT_EQ(ran.code, 0);
  EXPECT_EQ(ran.out, "{\"msg\":\"Next\"}\n{\"msg\":\"Next\"}\n");
}

TEST(Drill, SendsARequestAndPassesOverUnknownFields) {
  const Ran ran = feed(opened() + kClock + kKnock + kEnd);
  EXPECT_EQ(ran.code, 0) << ran.errors;
  EXPECT_NE(ran.out.find(R"({"msg":"Dispatch","NodeId":"node-1","Rid":5,"Backend":"h1:80")"),
            std::string::npos)
      << ran.out;
}

TEST(Drill, AnswersEveryOutcome) {
  for (const char* code : {"served", "server_error", "turned_away", "no_answer", "no_connection",
                           "connection_lost", "called_off", "not_sent"}) {
    const std::string outcome =
        std::string(R"({"msg":"ReportBack","NodeId":"node-1","Rid":5,"StateCode":")") + code +
        R"(","Backend":"h1:80","Duration":400,"Trial":0,"Feedback":{"util":0.5,"odd":1}})" + "\n";
    const Ran ran =
        feed(opened() + kClock + kKnock + kEnd + "{\"msg\":\"Clock\",\"Now\":1401}\n" + outcome + kEnd);
    EXPECT_EQ(ran.code, 0) << code << ran.errors;
  }
}

TEST(Drill, TakesEveryOtherEvent) {
  const Ran ran = feed(
      opened() + kClock + kKnock +
      R"({"msg":"Accepted","NodeId":"node-1","Rid":5,"Trial":0,"Backend":"h1:80","Duration":1})" + "\n" +
      R"({"msg":"Lapsed","NodeId":"node-1","Rid":5})" + "\n" +
      R"({"msg":"Checked","NodeId":"node-1","Backend":"h1:80","StateCode":"served","Duration":1.5})" + "\n" +
      R"({"msg":"Due","NodeId":"node-1","Cookie":0})" + "\n" +
      R"({"msg":"Sync","NodeId":"node-1","Mode":"diff","Index":2,"Entries":[{"Backend":"h1:80","State":"quiescing"}]})" +
      "\n" + R"({"msg":"Sync","NodeId":"node-1","Mode":"error","Index":2})" + "\n" +
      R"({"msg":"Stop","NodeId":"node-1"})" + "\n" + kEnd);
  EXPECT_EQ(ran.code, 0) << ran.errors;
}

TEST(Drill, StopAndInitInOneBatchStartAfresh) {
  const Ran ran =
      feed(opened() + kClock + R"({"msg":"Stop","NodeId":"node-1"})" + "\n" + kInit + kDisk + kKnock + kEnd);
  EXPECT_EQ(ran.code, 0) << ran.errors;
  EXPECT_NE(ran.out.find("\"Dispatch\""), std::string::npos);
}

TEST(Drill, TakesBatchesOfMegabytes) {
  std::string batch = kClock;
  for (int i = 0; i < 40000; ++i) {
    batch += R"({"msg":"Knock","NodeId":"node-1","Rid":)" + std::to_string(i) +
             R"(,"Category":0,"Due":1400})" + "\n";
  }
  ASSERT_GT(batch.size(), 2'000'000U);
  const Ran ran = feed(opened() + batch + kEnd);
  EXPECT_EQ(ran.code, 0) << ran.errors;
  std::size_t answered = 0;
  for (std::size_t at = 0; (at = ran.out.find("\"Rid\":", at)) != std::string::npos; ++at) ++answered;
  EXPECT_GE(answered, 40000U);
}

TEST(Drill, SameInputGivesTheSameReply) {
  const std::string input = opened() + kClock + kKnock + kEnd;
  EXPECT_EQ(feed(input).out, feed(input).out);
}

TEST(Drill, ModuleExceptionBecomesInternalError) {
  const std::string knock = R"({"msg":"Knock","NodeId":"node-1","Rid":5,"Category":9,"Due":1400})"
                            "\n";
  const Ran ran = feed(opened() + kClock + knock + kEnd);
  EXPECT_EQ(ran.code, 0);
  EXPECT_NE(ran.out.find(R"("msg":"InternalError","NodeId":"node-1")"), std::string::npos) << ran.out;
}

TEST(DrillRefuses, BrokenJson) { expect_refused(opened() + kClock + "{\"msg\":\n", "6", "broken JSON"); }
TEST(DrillRefuses, SomethingOtherThanAnObject) { expect_refused("[1]\n", "1", "not a JSON object"); }
TEST(DrillRefuses, ALineBeforeClock) { expect_refused(kEnd, "1", "before \"Clock\""); }
TEST(DrillRefuses, ClockInsideABatch) { expect_refused(kClock + kClock, "2", "inside a batch"); }
TEST(DrillRefuses, AMissingField) {
  expect_refused(opened() + kClock +
                     R"({"msg":"Knock","NodeId":"node-1","Category":0,"Due":1})"
                     "\n",
                 "6", "\"Rid\" is missing");
}
TEST(DrillRefuses, AWrongType) {
  expect_refused(opened() + kClock +
                     R"({"msg":"Knock","NodeId":"node-1","Rid":"5","Category":0,"Due":1})"
                     "\n",
                 "6", "\"Rid\" is not a whole number");
  expect_refused(opened() + kClock +
                     R"({"msg":"Knock","NodeId":"node-1","Rid":5,"Category":0,"Due":"x"})"
                     "\n",
                 "6", "\"Due\" is not a number");
}
TEST(DrillRefuses, AnUnknownInstance) {
  expect_refused(opened() + kClock +
                     R"({"msg":"Lapsed","NodeId":"node-2","Rid":5})"
                     "\n",
                 "6", "unknown instance \"node-2\"");
}
TEST(DrillRefuses, AnUnknownMessage) {
  expect_refused(opened() + kClock +
                     R"({"msg":"Hello","NodeId":"node-1"})"
                     "\n",
                 "6", "unknown message \"Hello\"");
}
TEST(DrillRefuses, AnUnknownCode) {
  expect_refused(
      opened() + kClock +
          R"({"msg":"Checked","NodeId":"node-1","Backend":"h1:80","StateCode":"fine","Duration":1})"
          "\n",
      "6", "unknown StateCode \"fine\"");
}
TEST(DrillRefuses, ABackendInNoList) {
  expect_refused(
      opened() + kClock +
          R"({"msg":"Checked","NodeId":"node-1","Backend":"h9:80","StateCode":"served","Duration":1})"
          "\n",
      "6", "no list has named");
}
TEST(DrillRefuses, EndOfInputInsideABatch) {
  expect_refused(opened() + kClock, "6", "input ended inside a batch");
}

}  // namespace
}  // namespace shorelead::drill
